//! How a node is, as operators see it.

use serde::{Deserialize, Serialize};

/// How a node is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Where it serves callers.
    pub caller_address: String,
    /// Whether it stores replicas.
    pub stores: bool,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether a planned stop is under way.
    pub stopping: bool,
    /// The configuration revision in force; 0 for none.
    pub configuration_revision: u64,
    /// A digest of that configuration.
    pub configuration_digest: String,
    /// Members that this node holds to be present.
    pub members_present: usize,
    /// Online requests in hand.
    pub online_requests: usize,
    /// Batch streams in hand.
    pub batch_streams: usize,
    /// The replicas that this node hosts.
    pub groups: Vec<GroupStatus>,
    /// Counters since the node's start.
    pub counters: NodeCounters,
}

/// Counters since the node's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeCounters {
    /// Online requests taken in.
    pub online_admitted: u64,
    /// Online requests answered whole.
    pub online_answered: u64,
    /// Online requests refused.
    pub online_refused: u64,
    /// Attempts beyond the first.
    pub retries: u64,
    /// Pieces that were late, crossed or doubled, and dropped.
    pub pieces_dropped: u64,
    /// Batch streams started.
    pub batch_started: u64,
    /// Batch results committed.
    pub batch_completed: u64,
    /// Second results of items, dropped.
    pub batch_results_dropped: u64,
    /// Batch streams paused for online requests.
    pub batch_paused: u64,
    /// Messages of peers that were refused.
    pub messages_refused: u64,
    /// Calls to the key-value service that gave no answer.
    pub key_value_failures: u64,
}

/// How a replica is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The group.
    pub group: u32,
    /// Whether this replica leads.
    pub leads: bool,
    /// The term.
    pub term: u64,
    /// How far it has committed.
    pub commit: u64,
    /// Whether this replica leads and all members hold all that is applied.
    pub caught_up: bool,
    /// Voters.
    pub voters: Vec<String>,
    /// Learners.
    pub learners: Vec<String>,
}

/// How all nodes are.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The nodes that answered.
    pub nodes: Vec<NodeStatus>,
    /// Present members that did not answer in time.
    pub silent: Vec<String>,
}
