//! Messages of the membership protocol.

use super::member::Member;
use crate::identity::NodeId;

/// What a message is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipPayload {
    /// Answer me. `target` is `None` when only the address is known.
    Ping {
        /// Who should answer.
        target: Option<NodeId>,
    },
    /// The answer to a ping: `subject` is alive.
    Ack {
        /// The node that is alive.
        subject: NodeId,
    },
    /// Ping `target` for me.
    PingRequest {
        /// The node to ping.
        target: NodeId,
    },
    /// All I know; answer with all you know.
    SyncRequest,
    /// All I know.
    SyncAnswer,
}

/// One message of the membership protocol, with what it carries along.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipMessage {
    /// The sender, as it is now.
    pub sender: Member,
    /// Matches an answer to its ping.
    pub sequence: u64,
    /// The configuration revision in force at the sender; 0 for none.
    pub configuration_revision: u64,
    /// What the message is for.
    pub payload: MembershipPayload,
    /// What the sender learned lately, or everything for a sync.
    pub updates: Vec<Member>,
}
