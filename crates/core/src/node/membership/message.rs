//! Messages of the membership protocol.

use super::member::Member;
use crate::identity::NodeId;

/// The type-specific content of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipPayload {
    /// A probe that requests an `Ack`.
    Ping {
        /// The node that should respond; `None` if only its address is known.
        target: Option<NodeId>,
    },
    /// The response to a ping.
    Ack {
        /// The node that was found to be alive.
        subject: NodeId,
    },
    /// Requests an indirect probe of another node.
    PingRequest {
        /// The node to ping.
        target: NodeId,
    },
    /// Carries the sender's full view and requests the receiver's.
    SyncRequest,
    /// Carries the sender's full view.
    SyncAnswer,
}

/// A message of the membership protocol with piggybacked updates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipMessage {
    /// The sender's current record of itself.
    pub sender: Member,
    /// The sequence number, which matches an ack to its ping.
    pub sequence: u64,
    /// The active configuration revision of the sender; 0 if there is none.
    pub configuration_revision: u64,
    /// The type-specific content.
    pub payload: MembershipPayload,
    /// Recently changed records, or the full view for a sync.
    pub updates: Vec<Member>,
}
