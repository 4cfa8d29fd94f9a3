//! Reads of the partition's state.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::job::{ItemResult, JobSummary};
use super::session::{SessionKey, SessionRecord};
use crate::identity::JobId;

/// A read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// What a job is and how far.
    JobStatus {
        /// The job.
        job: JobId,
    },
    /// Results in order of item.
    JobResults {
        /// The job.
        job: JobId,
        /// The first item wanted.
        first: u32,
        /// Most items looked at.
        limit: u32,
    },
    /// A tenant's jobs in this group, in order of id.
    JobList {
        /// The tenant.
        tenant: Arc<str>,
        /// Most jobs wanted.
        limit: u32,
    },
    /// Where a session lives.
    Session {
        /// The session.
        session: SessionKey,
    },
}

/// An item with its result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedItem {
    /// The item's place in its job.
    pub item: u32,
    /// The caller's name for it.
    pub label: Arc<str>,
    /// Its result.
    pub result: ItemResult,
}

/// The answer to a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueryAnswer {
    /// There is no such job.
    UnknownJob,
    /// The job.
    Job(JobSummary),
    /// Results.
    Results {
        /// Those present among the items looked at.
        results: Vec<FinishedItem>,
        /// The first item not looked at; `None` at the job's end.
        next: Option<u32>,
    },
    /// Jobs.
    Jobs(Vec<(JobId, JobSummary)>),
    /// The session's record, if there is one.
    Session(Option<SessionRecord>),
}
