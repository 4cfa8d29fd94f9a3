//! Requests of other nodes to the leader of the job table.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::command::{JobKey, Submission};
use super::table::ResultPage;
use crate::serving::configuration::tenant::CallerIdentity;
use crate::serving::quota::message::{QuotaLevels, QuotaReport};
use crate::serving::workers::outcome_report::OutcomeReport;
use crate::serving::workers::{LoadReport, WorkerCount, WorkerId};
use crate::time::Millis;

/// A request to the leader of the job table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobsRequest {
    /// Submits a job.
    Submit(Submission),
    /// Reads results starting at a position. The leader waits up to `wait` for a result before it answers.
    Read {
        /// The job to read.
        job: JobKey,
        /// The position of the first result to return.
        first: u32,
        /// The maximum time to wait for a result.
        wait: Millis,
        /// The caller that reads.
        caller: CallerIdentity,
    },
    /// Reads the body of an item without a result.
    Body {
        /// The job that contains the item.
        job: JobKey,
        /// The ID of the item.
        item: Arc<str>,
        /// The caller that reads.
        caller: CallerIdentity,
    },
    /// Ends a job.
    End {
        /// The job to end.
        job: JobKey,
        /// The caller that ends the job.
        caller: CallerIdentity,
    },
    /// Announces the sender as available to become a replica of the table.
    Join,
    /// Reports the sender's online requests at each worker to the leader, and requests those of all other nodes.
    ReportLoad(LoadReport),
    /// Like `ReportLoad`, but sent to any storage node; one that does not lead aggregates the loads of its zone.
    AggregateLoad(LoadReport),
    /// Reports what the sender admitted for each tenant, and requests the remaining quota of the tenants.
    ReportQuota(QuotaReport),
    /// Requests one permit for each of these workers, which have just started.
    RequestPermits(Vec<WorkerId>),
    /// Reports what the sender's requests showed about workers, and requests what those of all other nodes showed.
    /// Answered by any storage node that receives load reports.
    ReportOutcomes(OutcomeReport),
}

impl JobsRequest {
    /// Returns the name that is used as a metric label.
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
            Self::ReportOutcomes(_) => "report_outcomes",
        }
    }
}

/// The leader's answer to a [`JobsRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobsAnswer {
    /// The job was accepted and is durable.
    Accepted,
    /// The job was rejected because it exceeds the limit of queued tokens.
    OverQuota {
        /// The number of tokens queued at present.
        waiting: u64,
    },
    /// The job was rejected because there is not enough disk space.
    NoRoom,
    /// The job was rejected because another tenant has a job with this ID.
    KeyTaken,
    /// The job does not exist or is not visible to the caller.
    UnknownJob,
    /// A page of results.
    Page(ResultPage),
    /// The body of an item.
    Body(#[serde(with = "crate::byte_string")] Arc<[u8]>),
    /// The job has no item with this ID and without a result.
    UnknownItem,
    /// The job has ended.
    Ended,
    /// Requests at each worker from all nodes except the sender, including batch items.
    Loads(LoadReport),
    /// The remaining quota of the tenants.
    Quota(QuotaLevels),
    /// The command was proposed, but it is unknown whether it took effect.
    Indeterminate,
    /// Permits for requests to workers that have just started. Each expires shortly after it was requested.
    Permits(Vec<WorkerCount>),
    /// What the requests of all nodes except the sender showed about workers.
    Outcomes(OutcomeReport),
}

impl JobsAnswer {
    /// Returns the name that is used as a metric label.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Page(_) => "page",
            Self::Body(_) => "item_body",
            Self::Loads(_) => "loads",
            Self::Quota(_) => "levels",
            Self::Permits(_) => "permits",
            Self::Outcomes(_) => "outcomes",
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

    /// Returns whether the request was rejected without effect. An earlier attempt may still have taken effect.
    pub fn is_rejection(&self) -> bool {
        matches!(self, Self::OverQuota { .. } | Self::NoRoom | Self::KeyTaken)
    }
}
