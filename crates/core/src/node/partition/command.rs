//! Commands of the partition's state machine and their outcomes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::job::{ItemResult, JobPhase, JobSpecification, NewItem};
use super::mark::{RequestKey, Settlement};
use super::session::{SessionKey, SessionRecord};
use crate::identity::{AttemptId, JobId};
use crate::time::UnixMillis;

/// A result to record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletedItem {
    /// The item's place in its job.
    pub item: u32,
    /// Its result.
    pub result: ItemResult,
}

/// A change to the partition's state. `at` is the proposing node's civil time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Begin to upload a job.
    OpenJob {
        /// The job.
        job: JobId,
        /// What it is.
        specification: JobSpecification,
        /// When.
        at: UnixMillis,
    },
    /// Add items to a job that is being uploaded.
    AddItems {
        /// The job.
        job: JobId,
        /// The place of the first.
        first: u32,
        /// The items, in order.
        items: Vec<NewItem>,
    },
    /// Accept a job whose items all arrived.
    AcceptJob {
        /// The job.
        job: JobId,
    },
    /// Record results.
    CompleteItems {
        /// The job.
        job: JobId,
        /// The results.
        results: Vec<CompletedItem>,
        /// When.
        at: UnixMillis,
    },
    /// Stop a job.
    CancelJob {
        /// The job.
        job: JobId,
        /// When.
        at: UnixMillis,
    },
    /// Claim the right to send a not-repeatable request.
    MarkRequest {
        /// The request.
        request: RequestKey,
        /// Its digest.
        digest: u64,
        /// The attempt that wants to send.
        holder: AttemptId,
        /// When.
        at: UnixMillis,
    },
    /// Say what became of a marked request.
    SettleRequest {
        /// The request.
        request: RequestKey,
        /// Its digest.
        digest: u64,
        /// The attempt that held the mark.
        holder: AttemptId,
        /// What became of it.
        settlement: Settlement,
        /// When.
        at: UnixMillis,
    },
    /// Create a session's record or move it; taken only if the generation is the next.
    PlaceSession {
        /// The session.
        session: SessionKey,
        /// The new record.
        record: SessionRecord,
    },
    /// Forget ended jobs, marks and sessions last touched before a time.
    Forget {
        /// The time.
        before: UnixMillis,
    },
}

/// What a command did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// The job is known; `received` items have arrived.
    JobOpen {
        /// Items received.
        received: u32,
        /// How far the job is.
        phase: JobPhase,
    },
    /// The key was used before with other content.
    JobConflict,
    /// There is no such job.
    UnknownJob,
    /// The job was cancelled.
    JobCancelled,
    /// The job can't be accepted yet: items are missing.
    ItemsMissing {
        /// Items received.
        received: u32,
    },
    /// Results were recorded.
    ItemsCompleted {
        /// How many of them were dropped because the item had a result or the job had ended.
        dropped: u32,
    },
    /// The holder may send.
    Marked,
    /// Another attempt marked the request before.
    AlreadyMarked {
        /// What became of that attempt, if known.
        settlement: Option<Settlement>,
    },
    /// The key was used before with another request.
    MarkConflict,
    /// The mark is settled.
    Settled,
    /// The session's record, after the command.
    Session(SessionRecord),
    /// Old state was forgotten.
    Forgotten,
}

impl Command {
    /// Encodes the command for the log.
    pub fn encode(&self) -> Arc<[u8]> {
        postcard::to_stdvec(self).map(Arc::from).unwrap_or_default()
    }

    /// Reads a command from the log.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
