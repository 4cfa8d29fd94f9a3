//! What is known of one node.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::identity::NodeId;

/// How a node is held to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberStatus {
    /// It answers.
    Alive,
    /// It missed a probe and may refute.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It left by a planned stop.
    Left,
}

/// What is known of one node. Spread as a whole; the higher incarnation wins, then the worse status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The node.
    pub id: NodeId,
    /// Raised by the node itself only.
    pub incarnation: u64,
    /// How it is held to be.
    pub status: MemberStatus,
    /// Where it takes messages of other nodes.
    pub peer_address: SocketAddr,
    /// Where it serves callers and operators.
    pub caller_address: SocketAddr,
    /// Its zone.
    pub zone: Arc<str>,
    /// Whether it stores replicas.
    pub stores: bool,
}

impl Member {
    /// Whether this knowledge replaces `other`.
    pub fn supersedes(&self, other: &Member) -> bool {
        (self.incarnation, self.status) > (other.incarnation, other.status)
    }

    /// Whether the node may be given work: alive or only suspected.
    pub fn is_present(&self) -> bool {
        matches!(self.status, MemberStatus::Alive | MemberStatus::Suspect)
    }
}
