//! The schedule of load exchanges: the peer, the interval, and the handling of missing answers.

use crate::identity::NodeId;
use crate::serving::jobs::directory::StorageDirectory;
use crate::serving::relay::choice::{RelaySelector, rank_aggregators};
use crate::serving::workers::LoadReport;
use crate::time::{Millis, Timestamp};

/// Timeout for the answer to a load exchange.
pub const EXCHANGE_TIMEOUT: Millis = Millis(250);
/// Interval between exchanges while this node has no load to report. Limits the CPU time spent on the leader.
const IDLE_INTERVAL: Millis = Millis(600);
/// Time for which an aggregator is skipped after the first missing answer. Doubles with each consecutive one.
const AGGREGATOR_BACKOFF: Millis = Millis(1_000);

/// The peer of a load exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadPartner {
    /// The job table's leader.
    Leader,
    /// A storage node that aggregates the loads of the zone's gateways.
    Aggregator(NodeId),
}

/// Determines the peer and the time of this node's next load exchange.
///
/// If an answer is missing, the interval stays unchanged and the loads received earlier expire. An aggregator that did
/// not answer is skipped for a while.
#[derive(Clone, Debug)]
pub struct LoadSchedule {
    aggregators: RelaySelector,
    /// Whether there are so many gateways that loads are first aggregated per zone.
    uses_zone_aggregators: bool,
    interval: Millis,
}

impl Default for LoadSchedule {
    fn default() -> Self {
        let interval = LoadReport::default().interval();
        Self { aggregators: RelaySelector::default(), uses_zone_aggregators: false, interval }
    }
}

impl LoadSchedule {
    /// Returns the peer of the next exchange: the leader or, if there are many gateways, the first aggregator in the
    /// zone's ranking that is not currently skipped.
    pub fn partner(&self, storage: &StorageDirectory, zone: &str, own: NodeId, now: Timestamp) -> LoadPartner {
        if !self.uses_zone_aggregators {
            return LoadPartner::Leader;
        }
        let aggregator = self.aggregators.first_usable(now, &rank_aggregators(storage, zone, own));
        aggregator.map_or(LoadPartner::Leader, LoadPartner::Aggregator)
    }

    /// Records an answer, which contains the loads of all other gateways.
    pub fn record_answer(&mut self, partner: LoadPartner, report: &LoadReport) {
        if let LoadPartner::Aggregator(aggregator) = partner {
            self.aggregators.record_answer(aggregator);
        }
        self.uses_zone_aggregators = report.uses_zone_aggregators();
        self.interval = report.interval();
    }

    /// Records a missing or invalid answer.
    pub fn record_failure(&mut self, partner: LoadPartner, now: Timestamp) {
        if let LoadPartner::Aggregator(aggregator) = partner {
            self.aggregators.record_failure(aggregator, AGGREGATOR_BACKOFF, now);
        }
    }

    /// Returns the delay before the next exchange, after one in which this node reported `own`.
    pub fn wait_after(&self, own: &LoadReport) -> Millis {
        if own.workers.is_empty() { IDLE_INTERVAL } else { self.interval }
    }
}

/// The rate at which this node sends requests to workers, smoothed by averaging each sample with the previous rate.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRate {
    placed: u64,
    sampled_at: Timestamp,
    per_s: u32,
}

impl PlacementRate {
    /// Creates the rate of a node that has not sent any requests.
    pub fn new(now: Timestamp) -> Self {
        Self { placed: 0, sampled_at: now, per_s: 0 }
    }

    /// Updates the rate with the total number of requests sent so far. Returns requests per second.
    pub fn sample(&mut self, placed: u64, now: Timestamp) -> u32 {
        let span = now.since(self.sampled_at).0.max(1);
        let per_s = (placed - self.placed) * 1_000 / span;
        self.per_s = (self.per_s + u32::try_from(per_s).unwrap_or(u32::MAX)).div_ceil(2);
        self.placed = placed;
        self.sampled_at = now;
        self.per_s
    }
}
