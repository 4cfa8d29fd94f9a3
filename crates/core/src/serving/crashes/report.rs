//! Crash reports that nodes exchange through the metadata store.
//!
//! Each node maintains one record, which all other nodes watch. Nodes of earlier versions ignore it. The JSON field
//! names are part of the stored format and must not change.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::digest::{PartDigest, RequestDigest};
use super::evidence::Observation;
use crate::serving::workers::WorkerId;
use crate::time::{Millis, UnixMillis};

/// Maximum number of crashes in the reports of all gateways together. Each node stores all of them.
const MAX_FLEET_CRASHES: usize = 65_536;
/// Number of crashes that each machine may report regardless of the size of the fleet, enough for several quarantines.
const MIN_REPORTED_CRASHES: usize = 32;
/// Maximum number of crashes in a report.
pub(super) const MAX_REPORTED_CRASHES: usize = 1_024;

/// Maximum number of reports per second that all gateways together write to the metadata store.
const MAX_REPORTS_PER_S: u64 = 1_000;
/// Maximum interval between the reports of one machine, so that crashes become known in time on a fleet of any size.
const MAX_REPORT_INTERVAL: Millis = Millis(1_000);

/// Returns the minimum interval between a report of one machine and its next one. `gateways` is 0 if unknown.
pub fn min_report_interval(gateways: u32) -> Millis {
    Millis(u64::from(gateways) * 1_000 / MAX_REPORTS_PER_S).min(MAX_REPORT_INTERVAL)
}

/// Returns the maximum number of crashes in the report of one machine. `gateways` is 0 if unknown.
pub fn max_reported_crashes(gateways: u32) -> usize {
    let share = MAX_FLEET_CRASHES.checked_div(gateways as usize).unwrap_or(MAX_REPORTED_CRASHES);
    share.clamp(MIN_REPORTED_CRASHES, MAX_REPORTED_CRASHES)
}

/// A crash of a worker while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// ID of the worker.
    pub worker: WorkerId,
    /// Time of the crash, by the clock of the node that observed it.
    pub at: UnixMillis,
    /// Number of the last event of the response before the crash, 0 for none.
    #[serde(default)]
    pub progress: u64,
    /// The run during which the worker crashed; `None` if a node of an earlier version observed the crash.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run: Option<CrashedRun>,
}

/// The run of a request during which a worker crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// Service of the worker.
    pub service: Arc<str>,
    /// Number of workers of the service that accepted requests when the crash was observed.
    pub workers: u32,
    /// Time from the start of the run to its end, in milliseconds.
    pub lasted: Millis,
    /// Number of events received during the run.
    pub events: u64,
}

/// A completion of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Time of the completion, by the clock of the node that observed it.
    pub at: UnixMillis,
}

/// A crash of a worker while it ran a request with a part.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartCrash {
    /// Digest of the part.
    pub part: PartDigest,
    /// ID of the worker.
    pub worker: WorkerId,
    /// Time of the crash, by the clock of the node that observed it.
    pub at: UnixMillis,
    /// Digest of the request.
    pub request: RequestDigest,
    /// Number of parts before this one in the request's prompt.
    #[serde(default)]
    pub position: u32,
}

impl PartCrash {
    pub(super) fn observation(&self) -> Observation {
        Observation { worker: self.worker.clone(), at: self.at }
    }
}

/// A request with a part that its worker survived: it went on after the first event.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartSurvival {
    /// Digest of the part.
    pub part: PartDigest,
    /// Time of the survival, by the clock of the node that observed it.
    pub at: UnixMillis,
}

/// What one node observed about parts of prompts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    /// Crashes that later survivals have not cleared.
    #[serde(default)]
    pub crashes: Vec<PartCrash>,
    /// Last survivals of parts with crashes, which clear the earlier crashes.
    #[serde(default)]
    pub survivals: Vec<PartSurvival>,
}

impl PartReport {
    fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.survivals.is_empty()
    }
}

/// Crashes and completions that one node observed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Crashes that later completions have not cleared.
    #[serde(default)]
    pub crashes: Vec<Crash>,
    /// Last completions of requests with crashes, which clear the earlier crashes.
    #[serde(default)]
    pub completions: Vec<Completion>,
    /// Crashes and survivals by prompt part. Nodes of earlier versions ignore them.
    #[serde(default, skip_serializing_if = "PartReport::is_empty")]
    pub parts: PartReport,
    /// The same, observed during batch items. Nodes of earlier versions ignore them.
    #[serde(default, skip_serializing_if = "PartReport::is_empty")]
    pub item_parts: PartReport,
}
