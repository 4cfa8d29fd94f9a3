//! Messages between the replicas of one group.

use super::log::{Entry, LogIndex, Snapshot, Term};
use crate::identity::{GroupId, NodeId};
use crate::time::Timestamp;

/// What a message is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Would you vote for me? Changes nothing at the receiver.
    PreVote {
        /// The candidate's last place.
        last_index: LogIndex,
        /// The candidate's last term.
        last_term: Term,
    },
    /// Answer to a pre-vote.
    PreVoteAnswer {
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Vote for me.
    Vote {
        /// The candidate's last place.
        last_index: LogIndex,
        /// The candidate's last term.
        last_term: Term,
        /// The leader asked for this election, so the receiver's leader lease doesn't count.
        transfer: bool,
    },
    /// Answer to a vote.
    VoteAnswer {
        /// Whether the vote is given.
        granted: bool,
    },
    /// Entries that follow a place, or none as a heartbeat.
    Append {
        /// The place before the first entry.
        previous_index: LogIndex,
        /// The term at that place.
        previous_term: Term,
        /// How far the leader has committed.
        commit: LogIndex,
        /// When the leader sent this, by its own clock; the answer gives it back.
        sent_at: Timestamp,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// Answer to an append or a snapshot.
    AppendAnswer {
        /// Whether the entries fit the receiver's log.
        accepted: bool,
        /// If accepted, how far the receiver's log matches the leader's; else where to try next.
        index: LogIndex,
        /// When the leader sent what is answered, by the leader's clock.
        echo: Option<Timestamp>,
    },
    /// The whole state, for a receiver too far behind.
    InstallSnapshot(Snapshot),
    /// Hold an election at once: the leader stops.
    TimeoutNow,
}

/// One message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicationMessage {
    /// The group it belongs to.
    pub group: GroupId,
    /// The sender.
    pub from: NodeId,
    /// The receiver.
    pub to: NodeId,
    /// The sender's term (for a pre-vote, the term it would take).
    pub term: Term,
    /// What it is for.
    pub kind: MessageKind,
}

impl MessageKind {
    /// A short name, for figures.
    pub fn name(&self) -> &'static str {
        match self {
            Self::PreVote { .. } | Self::PreVoteAnswer { .. } | Self::Vote { .. } | Self::VoteAnswer { .. } => {
                "election"
            }
            Self::Append { entries, .. } if entries.is_empty() => "heartbeat",
            Self::Append { .. } => "entries",
            Self::AppendAnswer { .. } => "append_answer",
            Self::InstallSnapshot(_) => "snapshot",
            Self::TimeoutNow => "hand_over",
        }
    }
}
