//! Commands of the partition state machine and their outcomes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::job::{ItemResult, JobPhase, JobSpecification, NewItem};
use super::mark::{RequestKey, Settlement};
use super::session::{SessionKey, SessionRecord};
use crate::identity::{AttemptId, JobId};
use crate::time::UnixMillis;

/// The result of one item, to be recorded in its job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletedItem {
    /// Index of the item in its job.
    pub item: u32,
    /// The result to record.
    pub result: ItemResult,
}

/// A change to the partition state. `at` is the proposing node's wall-clock time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Create a job and begin its upload.
    OpenJob {
        /// ID of the job.
        job: JobId,
        /// The job's specification.
        specification: JobSpecification,
        /// Time of the proposal.
        at: UnixMillis,
    },
    /// Append items to a job that is being uploaded.
    AddItems {
        /// ID of the job.
        job: JobId,
        /// Index of the first item.
        first: u32,
        /// Consecutive items of the job.
        items: Vec<NewItem>,
    },
    /// Accept a job whose items have all been received.
    AcceptJob {
        /// ID of the job.
        job: JobId,
    },
    /// Record results of a job's items.
    CompleteItems {
        /// ID of the job.
        job: JobId,
        /// The results to record.
        results: Vec<CompletedItem>,
        /// Time of the proposal.
        at: UnixMillis,
    },
    /// Cancel a job.
    CancelJob {
        /// ID of the job.
        job: JobId,
        /// Time of the proposal.
        at: UnixMillis,
    },
    /// Claim the exclusive right to send a non-repeatable request.
    MarkRequest {
        /// Key of the request.
        request: RequestKey,
        /// Digest of the request.
        digest: u64,
        /// The attempt that claims the right to send.
        holder: AttemptId,
        /// Time of the proposal.
        at: UnixMillis,
    },
    /// Record the final state of a marked request.
    SettleRequest {
        /// Key of the request.
        request: RequestKey,
        /// Digest of the request.
        digest: u64,
        /// The attempt that holds the mark.
        holder: AttemptId,
        /// The final state of the request.
        settlement: Settlement,
        /// Time of the proposal.
        at: UnixMillis,
    },
    /// Create or move a session. Applied only if the record's generation is the current one plus one.
    PlaceSession {
        /// Key of the session.
        session: SessionKey,
        /// The record to store.
        record: SessionRecord,
    },
    /// Remove marks and sessions last written before a time, and jobs that ended or, if still uploading,
    /// were opened before it.
    Forget {
        /// Entries older than this are removed.
        before: UnixMillis,
    },
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// The job exists.
    JobOpen {
        /// Number of items received so far.
        received: u32,
        /// Phase of the job.
        phase: JobPhase,
    },
    /// The key was already used for a job with different content.
    JobConflict,
    /// The job does not exist.
    UnknownJob,
    /// The job has been canceled.
    JobCancelled,
    /// The job cannot be accepted because items are missing.
    ItemsMissing {
        /// Number of items received so far.
        received: u32,
    },
    /// The results were processed.
    ItemsCompleted {
        /// Number of results dropped because the item already had one or the job had ended.
        dropped: u32,
    },
    /// The mark was granted: the holder may send the request.
    Marked,
    /// The request was already marked and may not be sent by this attempt.
    AlreadyMarked {
        /// The settlement of the existing mark, if any.
        settlement: Option<Settlement>,
    },
    /// The key was already used for a different request.
    MarkConflict,
    /// The settlement was processed.
    Settled,
    /// The session's record after the command.
    Session(SessionRecord),
    /// Expired state was removed.
    Forgotten,
}

impl Command {
    /// Encodes the command for the replicated log.
    pub fn encode(&self) -> Arc<[u8]> {
        postcard::to_stdvec(self).map(Arc::from).unwrap_or_default()
    }

    /// Decodes a command from the replicated log. Returns `None` if the bytes are invalid.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
