//! Load reports exchanged between nodes, and their interval.
//!
//! Each gateway sends its report to the leader of the job table, or to an aggregator in its zone, and receives the sums
//! over all other gateways. Reports are wire messages whose encoding depends on the order of the fields.

use serde::{Deserialize, Serialize};

use super::worker::WorkerId;
use crate::serving::jobs::standstill::Standstill;
use crate::time::Millis;

/// Minimum number of gateways at which each reports to an aggregator in its zone, which forwards sums to the leader.
/// With this many gateways, two hops at the minimum interval are not slower than direct exchanges with the leader,
/// whose interval grows with the number of gateways.
pub const ZONE_AGGREGATION_THRESHOLD: u32 = 100;
/// Maximum rate of report exchanges at an aggregator or the leader; limits its CPU usage.
const MAX_EXCHANGES_PER_S: u64 = 900;
/// Minimum time between two exchanges of a node.
const MIN_INTERVAL: Millis = Millis(40);
/// Maximum time between two exchanges of a node.
const MAX_INTERVAL: Millis = Millis(400);
/// Number of nodes that must have ejected a worker before all others do, so that a single partitioned node has no
/// effect.
const MIN_EJECTING_NODES: u32 = 2;

/// Number of requests at a worker, or of requests allowed there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCount {
    /// ID of the worker.
    pub worker: WorkerId,
    /// Number of requests.
    pub requests: u32,
}

/// Report on one worker, from one node or summed over several.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// ID of the worker.
    pub worker: WorkerId,
    /// Number of requests of the reporting nodes at the worker.
    pub requests: u32,
    /// Total number of requests at the worker, if the worker itself reported it recently.
    pub self_reported: Option<u32>,
    /// Number of reporting nodes that have ejected the worker because of their own failed attempts.
    pub ejected_by: u32,
    /// Number of batch items among the requests; they yield their slots to online requests.
    pub batch: u32,
}

impl WorkerReport {
    /// Returns whether every node should eject the worker: several nodes have, and none received a recent load report
    /// from the worker.
    pub fn should_eject(&self) -> bool {
        self.ejected_by >= MIN_EJECTING_NODES && self.self_reported.is_none()
    }
}

/// A node's report on its requests, or the answer with those of all other nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Workers with anything to report.
    pub workers: Vec<WorkerReport>,
    /// Requests placed per second.
    pub placed_per_s: u32,
    /// In an answer: the number of nodes that report to the answering node. In a report: the number of gateways known
    /// to the sender, including unreachable ones.
    pub reporters: u32,
    /// Number of gateways covered: in an answer all but the requester, in the report of a single gateway 0.
    pub nodes: u32,
    /// Mean age of the underlying reports, weighted by requests placed.
    pub age: Millis,
    /// In an answer: the batch items that make no progress; `None` if the answering node does not know. Sent beside the
    /// other fields, which nodes of former versions read alone.
    #[serde(skip)]
    pub standstill: Option<Standstill>,
}

impl LoadReport {
    /// Returns whether there are enough gateways that each reports to an aggregator in its zone.
    pub fn uses_zone_aggregators(&self) -> bool {
        self.nodes >= ZONE_AGGREGATION_THRESHOLD
    }

    /// Returns whether enough nodes have ejected a worker for the others to ask what they know about it.
    pub fn has_ejections(&self) -> bool {
        self.workers.iter().any(|worker| worker.ejected_by >= MIN_EJECTING_NODES)
    }

    /// Returns the time between two exchanges of a node: as short as the aggregator can serve, because stale reports
    /// lead to worse placement.
    pub fn interval(&self) -> Millis {
        let interval_ms = u64::from(self.reporters) * 1_000 / MAX_EXCHANGES_PER_S;
        Millis(interval_ms).clamp(MIN_INTERVAL, MAX_INTERVAL)
    }
}
