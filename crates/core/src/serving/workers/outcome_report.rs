//! Reports on what requests showed about workers, exchanged between nodes.
//!
//! Each node reports its decayed counts of served and failed requests; the answer holds the sums over the other nodes.
//! Reports are wire messages whose encoding depends on the order of the fields.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::worker::WorkerId;
use crate::time::{Millis, UnixMillis};

/// Minimum time between two exchanges of a node.
pub const MIN_EXCHANGE_INTERVAL: Millis = Millis(200);
/// Maximum time between two exchanges of a node, a third of the time after which its report expires.
const MAX_EXCHANGE_INTERVAL: Millis = Millis(1_000);
/// Maximum number of entries that an aggregator or the leader sends per second; limits its CPU usage.
const MAX_ENTRIES_PER_S: u64 = 25_000;

/// Thousandths of a request. Decayed counts are fractions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MilliCount(pub u32);

/// Decayed counts of the runs of one route at one incarnation of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerOutcomes {
    /// ID of the worker.
    pub worker: WorkerId,
    /// Start time of the worker's incarnation, if known.
    pub started_at: Option<UnixMillis>,
    /// Name of the route.
    pub route: Arc<str>,
    /// Runs that the worker served.
    pub served: MilliCount,
    /// Runs that failed and that the request itself does not explain.
    pub failed: MilliCount,
    /// Number of nodes with failures among their counts.
    pub failing_nodes: u32,
}

/// Decayed counts of the runs of one route at all workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteOutcomes {
    /// Name of the route.
    pub route: Arc<str>,
    /// Runs that workers served.
    pub served: MilliCount,
    /// Runs that failed and that the requests themselves do not explain.
    pub failed: MilliCount,
}

/// A node's report on the outcomes of its runs, or the answer with those of all other nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeReport {
    /// In a report: the zone of the sender.
    pub zone: Arc<str>,
    /// Workers with failures, and workers that the last answer listed.
    pub workers: Vec<WorkerOutcomes>,
    /// In an answer: the part of `workers` that comes from nodes in the asker's zone.
    pub zone_workers: Vec<WorkerOutcomes>,
    /// Totals of all routes with failures.
    pub routes: Vec<RouteOutcomes>,
}

impl OutcomeReport {
    /// Returns whether no worker has failures.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty() && self.routes.is_empty()
    }

    /// Returns the time between two exchanges of a node that received this answer from a node with `reporters`.
    pub fn exchange_interval(&self, reporters: u32) -> Millis {
        let entries = self.workers.len() as u64 * u64::from(reporters);
        Millis((entries * 1_000).div_ceil(MAX_ENTRIES_PER_S)).clamp(MIN_EXCHANGE_INTERVAL, MAX_EXCHANGE_INTERVAL)
    }
}
