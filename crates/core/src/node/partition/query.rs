//! Queries of the partition state.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::job::{ItemResult, JobSummary};
use super::session::{SessionKey, SessionRecord};
use crate::identity::JobId;

/// A read-only query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// A job's specification and progress.
    JobStatus {
        /// ID of the job.
        job: JobId,
    },
    /// A job's results, ordered by item.
    JobResults {
        /// ID of the job.
        job: JobId,
        /// Index of the first item to read.
        first: u32,
        /// Maximum number of items to examine.
        limit: u32,
    },
    /// A tenant's jobs in this group, ordered by ID.
    JobList {
        /// The tenant whose jobs are listed.
        tenant: Arc<str>,
        /// Maximum number of jobs to return.
        limit: u32,
    },
    /// A session's record.
    Session {
        /// Key of the session.
        session: SessionKey,
    },
}

/// An item that has a result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedItem {
    /// Index of the item in its job.
    pub item: u32,
    /// Name given to the item by the caller.
    pub label: Arc<str>,
    /// The committed result.
    pub result: ItemResult,
}

/// The answer to a query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueryAnswer {
    /// The job does not exist.
    UnknownJob,
    /// The status of the job.
    Job(JobSummary),
    /// A page of results.
    Results {
        /// The results found among the examined items.
        results: Vec<FinishedItem>,
        /// Index of the first item not examined; `None` at the end of the job.
        next: Option<u32>,
    },
    /// The tenant's jobs with their status.
    Jobs(Vec<(JobId, JobSummary)>),
    /// The session's record, if it exists.
    Session(Option<SessionRecord>),
}
