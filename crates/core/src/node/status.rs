//! Node and fleet status, as reported to operators.

use serde::{Deserialize, Serialize};

/// Status of a node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Node ID.
    pub node: String,
    /// Zone of the node.
    pub zone: String,
    /// Address on which the node serves callers.
    pub caller_address: String,
    /// Whether the node is a storage node.
    pub stores: bool,
    /// Whether the node is ready to accept requests.
    pub ready: bool,
    /// Whether a graceful shutdown is in progress.
    pub stopping: bool,
    /// Active configuration revision, or 0 if there is none.
    pub configuration_revision: u64,
    /// Hexadecimal digest of the active configuration.
    pub configuration_digest: String,
    /// Number of members that this node considers present.
    pub members_present: usize,
    /// Number of online requests in progress.
    pub online_requests: usize,
    /// Number of active batch streams.
    pub batch_streams: usize,
    /// Replicas hosted by this node.
    pub groups: Vec<GroupStatus>,
    /// Counters of the node.
    pub counters: NodeCounters,
}

/// Counters since the node started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeCounters {
    /// Online requests admitted.
    pub online_admitted: u64,
    /// Online requests answered completely.
    pub online_answered: u64,
    /// Online requests refused.
    pub online_refused: u64,
    /// Retries of online requests.
    pub retries: u64,
    /// Chunks dropped because they were late, duplicated, out of sequence, or of another attempt.
    pub pieces_dropped: u64,
    /// Batch streams started.
    pub batch_started: u64,
    /// Batch results committed.
    pub batch_completed: u64,
    /// Duplicate batch results dropped.
    pub batch_results_dropped: u64,
    /// Batch streams paused to free capacity for online requests.
    pub batch_paused: u64,
    /// Peer messages rejected.
    pub messages_refused: u64,
    /// Failed calls to the key-value service.
    pub key_value_failures: u64,
}

/// Status of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Group number.
    pub group: u32,
    /// Whether this replica is the leader.
    pub leads: bool,
    /// Current term.
    pub term: u64,
    /// Commit index.
    pub commit: u64,
    /// Whether this replica is the leader and all members have replicated every applied entry.
    pub caught_up: bool,
    /// IDs of the voting members.
    pub voters: Vec<String>,
    /// IDs of the non-voting members.
    pub learners: Vec<String>,
}

/// Status of all nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Status of each node that responded.
    pub nodes: Vec<NodeStatus>,
    /// IDs of present members that did not respond in time.
    pub silent: Vec<String>,
}
