//! The settings a node starts with.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::identity::NodeId;
use crate::node::membership::MembershipSettings;
use crate::replication::ReplicaSettings;
use crate::time::Millis;

/// The settings a node starts with.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Its identity: from its disk, or drawn.
    pub id: NodeId,
    /// Its zone.
    pub zone: Arc<str>,
    /// Where it takes messages of other nodes.
    pub peer_address: SocketAddr,
    /// Where it serves callers and operators.
    pub caller_address: SocketAddr,
    /// Addresses of nodes that may be up.
    pub seeds: Vec<SocketAddr>,
    /// Whether it has a data folder.
    pub stores: bool,
    /// How many storing nodes must be present before groups are founded.
    pub founding_stores: usize,
    /// Membership times.
    pub membership: MembershipSettings,
    /// Replication times.
    pub replication: ReplicaSettings,
    /// Time between two reads of the configuration by a watching node.
    pub configuration_poll: Millis,
    /// Time between two load polls of an engine.
    pub engine_poll: Millis,
    /// Time between two reads of the machine list by a watching node.
    pub machine_poll: Millis,
    /// A log is compacted once it holds this many bytes.
    pub compact_bytes: usize,
    /// How long a planned stop waits for requests in hand.
    pub stop_timeout: Millis,
    /// Most online requests in hand.
    pub online_requests: usize,
    /// Most calls a second to the key-value service.
    pub key_value_rate: f64,
}

impl NodeSettings {
    /// Settings with the usual times and limits.
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
