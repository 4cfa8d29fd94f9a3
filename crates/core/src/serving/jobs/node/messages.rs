//! What one replica of the job table exchanges with its driver.

use crate::identity::NodeId;
use crate::replication::{LogIndex, LogWrite, ReplicationMessage, Snapshot};
use crate::serving::jobs::command::{ItemKey, JobKey};
use crate::serving::jobs::request::JobsAnswer;

/// Names who waits for an answer, as the driver numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Waiter(pub u64);

/// What a driver must do, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobsEffect {
    /// Write to disk, durably, before anything after it.
    Persist(LogWrite),
    /// Send to another replica.
    Send(ReplicationMessage),
    /// Replace the table ([`JobsNode::restore`]).
    Restore(Snapshot),
    /// Apply what is committed ([`JobsNode::apply_up_to`]).
    ApplyUpTo(LogIndex),
}

/// What applying the log brought about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobsChange {
    /// Someone's answer.
    Answer {
        /// Who waits.
        waiter: Waiter,
        /// The answer.
        answer: JobsAnswer,
    },
    /// A job is in the table.
    Accepted(JobKey),
    /// An item's result is committed.
    ResultCommitted(ItemKey),
    /// A result was proposed that does not follow on what the log has of the item: it must go on from
    /// there.
    ResultDropped(ItemKey),
    /// A job has ended.
    Ended(JobKey),
    /// A committed command can't be read, by this version of the program at least. The table stays as it was.
    Unreadable(LogIndex),
}

/// Why a command was not proposed. Nothing of it will take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotProposed {
    /// Another replica leads, if known.
    NotLeader(Option<NodeId>),
    /// This replica leads and is not ready.
    Busy,
    /// The job does not fit.
    OverQuota {
        /// Tokens that wait now.
        waiting: u64,
    },
}

/// A snapshot whose table can't be read, by this version of the program at least.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreadableSnapshot {
    /// The last entry that it covers.
    pub index: LogIndex,
}

impl std::fmt::Display for UnreadableSnapshot {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "the snapshot up to entry {} of the job table's log", self.index.0)
    }
}

impl std::error::Error for UnreadableSnapshot {}
