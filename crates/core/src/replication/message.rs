//! Messages between the replicas of one group.

use super::log::{Entry, LogIndex, Snapshot, Term};
use crate::identity::{GroupId, NodeId};
use crate::time::{Millis, Timestamp};

/// The content of a replication message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Asks whether the receiver would vote for the sender. Does not change the receiver's state.
    PreVote {
        /// The index of the candidate's last entry.
        last_index: LogIndex,
        /// The term of the candidate's last entry.
        last_term: Term,
    },
    /// The answer to a pre-vote request.
    PreVoteAnswer {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests the receiver's vote.
    Vote {
        /// The index of the candidate's last entry.
        last_index: LogIndex,
        /// The term of the candidate's last entry.
        last_term: Term,
        /// Whether the election is part of a leadership transfer, so that the receiver ignores its leader lease.
        transfer: bool,
    },
    /// The answer to a vote request.
    VoteAnswer {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries to append. A heartbeat has none.
    Append {
        /// The index before the first entry.
        previous_index: LogIndex,
        /// The term at that index.
        previous_term: Term,
        /// The leader's commit index.
        commit: LogIndex,
        /// The time at which the leader sent this message, by the leader's clock. The answer echoes it.
        sent_at: Timestamp,
        /// The time for which the receiver must refuse to elect another leader. Absent in messages of earlier versions.
        election_timeout: Option<Millis>,
        /// The entries, in order and without gaps.
        entries: Vec<Entry>,
    },
    /// The answer to an append or a snapshot.
    AppendAnswer {
        /// Whether the entries were consistent with the receiver's log.
        accepted: bool,
        /// If accepted, the last index at which the receiver's log matches the leader's; otherwise the index to probe
        /// next.
        index: LogIndex,
        /// The `sent_at` of the answered append.
        echo: Option<Timestamp>,
    },
    /// A snapshot, for a follower that needs entries which the leader has already compacted.
    InstallSnapshot(Snapshot),
    /// Asks the receiver to start an election immediately, as the last step of a leadership transfer.
    TimeoutNow,
}

/// A message between two replicas of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicationMessage {
    /// The group of both replicas.
    pub group: GroupId,
    /// The sender.
    pub from: NodeId,
    /// The receiver.
    pub to: NodeId,
    /// The sender's term. For a pre-vote, the term of the election that the sender would start.
    pub term: Term,
    /// The content.
    pub kind: MessageKind,
}

impl MessageKind {
    /// Returns the name under which the message is counted in metrics.
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
