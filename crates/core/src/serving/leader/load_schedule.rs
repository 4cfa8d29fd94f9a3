//! The exchange of loads between gateways: with whom, how often, and what a missing answer means.

use crate::identity::NodeId;
use crate::serving::jobs::directory::StorageDirectory;
use crate::serving::relay::choice::{RelayChoice, rank_aggregators};
use crate::serving::workers::LoadReport;
use crate::time::{Millis, Timestamp};

/// An exchange without an answer counts as lost after this long, in milliseconds.
pub const EXCHANGE_TIMEOUT: Millis = Millis(250);
/// The time between two exchanges while this node has no requests, in milliseconds: saves the leader's processor from
/// gateways that have nothing to report.
const IDLE_INTERVAL: Millis = Millis(600);
/// An aggregator that gave no answer is avoided for this long at first, in milliseconds: saves the exchanges that one
/// which is gone would lose.
const AVOID_AGGREGATOR: Millis = Millis(1_000);

/// With whom loads are exchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadPartner {
    /// The job table's leader.
    Leader,
    /// A storing node that gathers the loads of the zone's gateways.
    Aggregator(NodeId),
}

/// With whom this node exchanges loads next, and when.
///
/// A missing answer changes neither: the loads that were gathered age out, and the next exchange is made at the usual
/// time. Only an aggregator that gave none is avoided for a while.
#[derive(Clone, Debug)]
pub struct LoadSchedule {
    aggregators: RelayChoice,
    /// There are so many gateways that loads are gathered in each zone first.
    uses_zone_aggregators: bool,
    interval: Millis,
}

impl Default for LoadSchedule {
    fn default() -> Self {
        let interval = LoadReport::default().interval();
        Self { aggregators: RelayChoice::default(), uses_zone_aggregators: false, interval }
    }
}

impl LoadSchedule {
    /// The partner of the next exchange: the leader, or, where there are many gateways, the first aggregator of the
    /// zone's ranking that is not avoided.
    pub fn partner(&self, storage: &StorageDirectory, zone: &str, own: NodeId, now: Timestamp) -> LoadPartner {
        if !self.uses_zone_aggregators {
            return LoadPartner::Leader;
        }
        let aggregator = self.aggregators.usable(now, &rank_aggregators(storage, zone, own));
        aggregator.map_or(LoadPartner::Leader, LoadPartner::Aggregator)
    }

    /// The partner answered with the loads of all other gateways.
    pub fn answered(&mut self, partner: LoadPartner, gathered: &LoadReport) {
        if let LoadPartner::Aggregator(aggregator) = partner {
            self.aggregators.answered(aggregator);
        }
        self.uses_zone_aggregators = gathered.uses_zone_aggregators();
        self.interval = gathered.interval();
    }

    /// The partner gave no answer, or a wrong one.
    pub fn failed(&mut self, partner: LoadPartner, now: Timestamp) {
        if let LoadPartner::Aggregator(aggregator) = partner {
            self.aggregators.failed(aggregator, AVOID_AGGREGATOR, now);
        }
    }

    /// The wait before the next exchange, after one in which this node reported `own`.
    pub fn wait_after(&self, own: &LoadReport) -> Millis {
        if own.workers.is_empty() { IDLE_INTERVAL } else { self.interval }
    }
}

/// How fast this node places requests, smoothed: each sample counts as much as all before it.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRate {
    placed: u64,
    at: Timestamp,
    per_s: u32,
}

impl PlacementRate {
    /// The rate of a node that has placed nothing yet.
    pub fn new(now: Timestamp) -> Self {
        Self { placed: 0, at: now, per_s: 0 }
    }

    /// Takes the count of requests placed so far. Returns requests in a second.
    pub fn sample(&mut self, placed: u64, now: Timestamp) -> u32 {
        let span = now.since(self.at).0.max(1);
        let per_s = (placed - self.placed) * 1_000 / span;
        self.per_s = (self.per_s + u32::try_from(per_s).unwrap_or(u32::MAX)).div_ceil(2);
        self.placed = placed;
        self.at = now;
        self.per_s
    }
}
