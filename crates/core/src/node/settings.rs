//! Startup settings of a node.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::identity::NodeId;
use crate::node::membership::MembershipSettings;
use crate::replication::ReplicaSettings;
use crate::time::Millis;

/// Settings of a [`Node`](super::Node), fixed at startup.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Node ID, read from disk or generated at random.
    pub id: NodeId,
    /// Zone of the node.
    pub zone: Arc<str>,
    /// Address on which the node receives messages from peers.
    pub peer_address: SocketAddr,
    /// Address on which the node serves callers and operators.
    pub caller_address: SocketAddr,
    /// Peer addresses contacted to join the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Whether the node has a data directory and hosts replicas.
    pub stores: bool,
    /// Number of storage nodes that must be present before groups are bootstrapped.
    pub founding_stores: usize,
    /// Membership protocol settings.
    pub membership: MembershipSettings,
    /// Replication settings.
    pub replication: ReplicaSettings,
    /// Interval at which a watching node reads the configuration.
    pub configuration_poll: Millis,
    /// Interval between load polls of an engine.
    pub engine_poll: Millis,
    /// Interval at which a watching node reads the machine list.
    pub machine_poll: Millis,
    /// Log size in bytes at which a log is compacted.
    pub compact_bytes: usize,
    /// Maximum time that a graceful shutdown waits for requests in progress.
    pub stop_timeout: Millis,
    /// Maximum number of online requests in progress.
    pub online_requests: usize,
    /// Maximum rate of calls to the key-value service, in calls per second.
    pub key_value_rate: f64,
}

impl NodeSettings {
    /// Returns settings with default timeouts and limits, no seeds, and no storage.
    pub fn new(id: NodeId, zone: &str, peer_address: SocketAddr, caller_address: SocketAddr) -> Self {
        Self {
            id,
            zone: Arc::from(zone),
            peer_address,
            caller_address,
            seeds: Vec::new(),
            stores: false,
            founding_stores: 3,
            membership: MembershipSettings::default(),
            replication: ReplicaSettings::default(),
            configuration_poll: Millis(2_000),
            engine_poll: Millis(500),
            machine_poll: Millis(1_000),
            compact_bytes: 8 << 20,
            stop_timeout: Millis(30_000),
            online_requests: 4_096,
            key_value_rate: 10.0,
        }
    }
}
