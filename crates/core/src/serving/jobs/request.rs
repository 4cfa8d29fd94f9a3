//! What nodes ask of the table's leader.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::command::{JobKey, Submission};
use super::table::ResultPage;
use crate::serving::configuration::tenant::CallerIdentity;
use crate::serving::quota::message::{QuotaLevels, QuotaReport};
use crate::serving::workers::{LoadReport, WorkerCount, WorkerId};
use crate::time::Millis;

/// A request to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobsRequest {
    /// Take a job.
    Submit(Submission),
    /// Results from a position on. Held for up to `wait` until there is one.
    Read {
        /// The job.
        job: JobKey,
        /// The first position wanted.
        first: u32,
        /// How long to wait for a result.
        wait: Millis,
        /// Who reads.
        caller: CallerIdentity,
    },
    /// The body of an item without a result.
    Body {
        /// The job.
        job: JobKey,
        /// The item's id.
        item: Arc<str>,
        /// Who reads.
        caller: CallerIdentity,
    },
    /// End a job.
    End {
        /// The job.
        job: JobKey,
        /// Who ends it.
        caller: CallerIdentity,
    },
    /// The sender is there and could hold the table.
    Join,
    /// The sender's online requests at each worker; those of all others are wanted, from the leader.
    ReportLoad(LoadReport),
    /// The same, from any storing node: one that doesn't lead gathers the loads of its zone.
    AggregateLoad(LoadReport),
    /// What the sender let through of each tenant; what the tenants have left is wanted.
    ReportQuota(QuotaReport),
    /// Permits for requests to workers that have just started are wanted, one for each.
    RequestPermits(Vec<WorkerId>),
}

impl JobsRequest {
    /// A short name, for figures.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Submit(_) => "submit",
            Self::Read { .. } => "read",
            Self::Body { .. } => "body",
            Self::End { .. } => "end",
            Self::Join => "join",
            Self::ReportLoad(_) => "report_load",
            Self::AggregateLoad(_) => "aggregate_load",
            Self::ReportQuota(_) => "report_quota",
            Self::RequestPermits(_) => "request_permits",
        }
    }
}

/// The leader's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobsAnswer {
    /// The job is taken, and safe.
    Accepted,
    /// The job does not fit, and nothing of it was taken.
    OverQuota {
        /// Tokens that wait now.
        waiting: u64,
    },
    /// The disks have no room for the job, and nothing of it was taken.
    NoRoom,
    /// Another tenant has a job of this id, and nothing was taken.
    KeyTaken,
    /// There is no such job, or none that the caller may see.
    UnknownJob,
    /// Results.
    Page(ResultPage),
    /// A body.
    Body(Arc<[u8]>),
    /// The job has no such item without a result.
    UnknownItem,
    /// The job has ended.
    Ended,
    /// Requests at each worker, of all nodes but the asker, batch items among them.
    Loads(LoadReport),
    /// What tenants have left.
    Quota(QuotaLevels),
    /// The command was proposed, and whether it took effect is not known.
    Indeterminate,
    /// Permits for requests to workers that have just started. Each holds for a moment from the question on.
    Permits(Vec<WorkerCount>),
}

impl JobsAnswer {
    /// A short name, for figures.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Page(_) => "page",
            Self::Body(_) => "item_body",
            Self::Loads(_) => "loads",
            Self::Quota(_) => "levels",
            Self::Permits(_) => "permits",
            Self::Accepted
            | Self::OverQuota { .. }
            | Self::NoRoom
            | Self::KeyTaken
            | Self::UnknownJob
            | Self::UnknownItem
            | Self::Ended
            | Self::Indeterminate => "word",
        }
    }

    /// Whether it says that the request it answers took nothing, which tells nothing of an earlier try.
    pub fn is_rejection(&self) -> bool {
        matches!(self, Self::OverQuota { .. } | Self::NoRoom | Self::KeyTaken)
    }
}
