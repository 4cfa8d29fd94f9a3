//! The membership record of a node.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::identity::NodeId;

/// The liveness state of a node, ordered by severity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberStatus {
    /// The node responds to probes.
    Alive,
    /// The node missed a probe and may still refute the suspicion.
    Suspect,
    /// The node did not refute the suspicion in time.
    Dead,
    /// The node left by a graceful shutdown.
    Left,
}

/// The record of a node. Of two records, the one with the higher incarnation wins, then the one with the more
/// severe status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The ID of the node.
    pub id: NodeId,
    /// The incarnation number, incremented only by the node itself.
    pub incarnation: u64,
    /// The liveness state.
    pub status: MemberStatus,
    /// The address for messages from other nodes.
    pub peer_address: SocketAddr,
    /// The address for requests from callers and operators.
    pub caller_address: SocketAddr,
    /// The zone of the node.
    pub zone: Arc<str>,
    /// Whether the node stores replicas.
    pub stores: bool,
}

impl Member {
    /// Returns whether this record replaces `other`.
    pub fn supersedes(&self, other: &Member) -> bool {
        (self.incarnation, self.status) > (other.incarnation, other.status)
    }

    /// Returns whether the node may receive work, that is, whether it is alive or suspected.
    pub fn is_present(&self) -> bool {
        matches!(self.status, MemberStatus::Alive | MemberStatus::Suspect)
    }
}
