//! What nodes report to each other of the workers, and how often.
//!
//! Each gateway sends a report of its own to the leader of the job table, or to an aggregator of its zone, and gets the
//! sums over all others. The reports are messages between nodes: the order of their fields is their form.

use serde::{Deserialize, Serialize};

use super::worker::WorkerId;
use crate::time::Millis;

/// From this many gateways on, those of a zone report to an aggregator of the zone, which reports sums to the leader.
/// Two steps at the shortest interval are no older than one at the interval that the leader can serve with this many:
/// four times half of 40 ms, against 100 nodes at 900 exchanges a second.
const CENTRAL_NODES: u32 = 100;
/// Exchanges of reports that an aggregator serves in a second: bounds the processor time of the leader.
const EXCHANGES_PER_S: u64 = 900;
/// The shortest time between two exchanges of one node, in milliseconds.
const LEAST_INTERVAL: Millis = Millis(40);
/// The longest time between two exchanges of one node, in milliseconds.
const LONGEST_INTERVAL: Millis = Millis(400);
/// This many nodes must have ejected a worker before the others do: one node that is cut off ejects nothing for others.
const FAILED_NODES: u32 = 2;

/// How many requests are at a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCount {
    /// The worker.
    pub worker: WorkerId,
    /// Requests.
    pub requests: u32,
}

/// What one node, or several summed, report of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker.
    pub worker: WorkerId,
    /// The reporters' requests there.
    pub requests: u32,
    /// All requests there, if the worker itself reported that a moment ago.
    pub self_reported: Option<u32>,
    /// How many reporters have ejected the worker for what it did to them.
    pub ejected_by: u32,
    /// Batch items among the requests, which make room for online requests.
    pub batch: u32,
}

impl WorkerReport {
    /// Whether every node should eject the worker: it failed several, and reported its load to none a moment ago.
    pub fn should_eject(&self) -> bool {
        self.ejected_by >= FAILED_NODES && self.self_reported.is_none()
    }
}

/// What one node reports of its requests, or is answered of those of all others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The workers of which there is anything to report.
    pub workers: Vec<WorkerReport>,
    /// Requests placed in a second.
    pub placed_per_s: u32,
    /// In an answer: how many nodes report to the one that answers. In a report: how many gateways the sender knows of,
    /// those out of reach included.
    pub reporters: u32,
    /// How many gateways it covers: in an answer all but the asker; 0 in a report of one gateway.
    pub nodes: u32,
    /// How long ago the gateways reported it, on average over the requests placed, in milliseconds.
    pub age: Millis,
}

impl LoadReport {
    /// Whether there are so many gateways that those of a zone report to an aggregator first.
    pub fn uses_zone_aggregators(&self) -> bool {
        self.nodes >= CENTRAL_NODES
    }

    /// The time between two exchanges of one node, in milliseconds: as short as the aggregator can serve, since requests
    /// are placed by the last report.
    pub fn interval(&self) -> Millis {
        let spread = u64::from(self.reporters) * 1_000 / EXCHANGES_PER_S;
        Millis(spread).clamp(LEAST_INTERVAL, LONGEST_INTERVAL)
    }
}
