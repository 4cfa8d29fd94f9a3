//! The messages that one replica of the job table exchanges with its caller.

use crate::identity::NodeId;
use crate::replication::{LogIndex, LogWrite, ReplicationMessage, Snapshot};
use crate::serving::jobs::command::{ItemKey, JobKey};
use crate::serving::jobs::request::JobsAnswer;
use crate::serving::jobs::table::JobTable;

/// Identifies the recipient of an answer. The caller assigns the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Waiter(pub u64);

/// An effect that the caller must carry out, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobsEffect {
    /// Writes to disk. The write must be durable before any later effect is carried out.
    Persist(LogWrite),
    /// Sends a message to another replica.
    Send(ReplicationMessage),
    /// Sends a message to another replica at once, ahead of earlier effects.
    SendNow(ReplicationMessage),
    /// Replaces the table (see [`JobsNode::restore`](super::JobsNode::restore)).
    Restore(Snapshot),
    /// Encodes a snapshot, which may take long, and passes it to
    /// [`JobsNode::finish_snapshot`](super::JobsNode::finish_snapshot). May be carried out at any time, on another thread.
    EncodeSnapshot(SnapshotSource),
    /// Applies committed entries (see [`JobsNode::apply_up_to`](super::JobsNode::apply_up_to)).
    ApplyUpTo(LogIndex),
}

/// A copy of the table from which a snapshot is encoded. It shares the bodies and results with the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotSource {
    /// The snapshot without its state.
    header: Snapshot,
    table: JobTable,
}

impl SnapshotSource {
    pub(super) fn new(header: Snapshot, table: JobTable) -> Self {
        Self { header, table }
    }

    /// Encodes the snapshot. Takes a time that grows with the bodies and results in the table.
    pub fn encode(self) -> Snapshot {
        Snapshot { state: self.table.encode(), ..self.header }
    }
}

/// A consequence of applying log entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobsChange {
    /// An answer is ready.
    Answer {
        /// The recipient of the answer.
        waiter: Waiter,
        /// The answer to send.
        answer: JobsAnswer,
    },
    /// A job is in the table.
    Accepted(JobKey),
    /// The result of an item is committed.
    ResultCommitted(ItemKey),
    /// The proposed result of an item does not continue its logged output. The item must be resumed from there.
    ResultDropped(ItemKey),
    /// A job has ended.
    Ended(JobKey),
    /// This version cannot decode a committed command. The table is unchanged.
    Unreadable(LogIndex),
}

/// The reason why a command was not proposed. It has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotProposed {
    /// Another replica leads; its ID is given if known.
    NotLeader(Option<NodeId>),
    /// This replica leads but is not ready.
    Busy,
    /// The job exceeds the limit of queued tokens.
    OverQuota {
        /// The number of tokens queued at present.
        waiting: u64,
    },
}

/// This version cannot decode the table in a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreadableSnapshot {
    /// The index of the last entry that the snapshot covers.
    pub index: LogIndex,
}

impl std::fmt::Display for UnreadableSnapshot {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "the snapshot up to entry {} of the job table's log", self.index.0)
    }
}

impl std::error::Error for UnreadableSnapshot {}
