//! The schedule of load exchanges: the peer, the interval, and the handling of missing answers.

use crate::identity::NodeId;
use crate::serving::jobs::directory::StorageDirectory;
use crate::serving::relay::choice::{RelaySelector, rank_acting_aggregators, rank_aggregators};
use crate::serving::workers::LoadReport;
use crate::time::{Millis, Timestamp};

/// Timeout for the answer to a load exchange.
pub const EXCHANGE_TIMEOUT: Millis = Millis(250);
/// Interval between exchanges while this node has no load to report. Limits the CPU time spent on the leader.
const IDLE_INTERVAL: Millis = Millis(600);
/// Interval between attempts to reach the leader while an acting aggregator takes its place.
const LEADER_RETRY_INTERVAL: Millis = Millis(300);
/// Timeout for such an attempt. Short, since no loads are exchanged meanwhile.
const LEADER_RETRY_TIMEOUT: Millis = Millis(100);
/// Age from which the sums of the lost leader are replaced by those of an acting aggregator in any case.
const MAX_FORMER_SUMS_AGE: Millis = Millis(600);
/// Time for which an aggregator is skipped after the first missing answer. Doubles with each consecutive one. Saves the
/// exchanges that would be lost on one that is gone.
const AGGREGATOR_BACKOFF: Millis = Millis(1_000);

/// The peer of a load exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadPartner {
    /// The job table's leader.
    Leader,
    /// A storage node that aggregates the loads of the zone's gateways.
    Aggregator(NodeId),
    /// A storage node that aggregates the loads of all gateways while the leader does not answer.
    Acting(NodeId),
}

/// Determines the peer and the time of this node's next load exchange.
///
/// If an answer is missing, the interval stays unchanged and the loads received earlier expire. An aggregator that did
/// not answer is skipped for a while.
#[derive(Clone, Debug)]
pub struct LoadSchedule {
    aggregators: RelaySelector,
    acting: RelaySelector,
    /// The time of the next attempt to reach the leader; `None` while it answers.
    leader_retry_at: Option<Timestamp>,
    /// The number of gateways in the latest answer of the leader, and its time.
    leader_sums: (u32, Timestamp),
    /// Whether there are so many gateways that loads are first aggregated per zone.
    uses_zone_aggregators: bool,
    interval: Millis,
}

impl Default for LoadSchedule {
    fn default() -> Self {
        let interval = LoadReport::default().interval();
        Self {
            aggregators: RelaySelector::default(),
            acting: RelaySelector::default(),
            leader_retry_at: None,
            leader_sums: (0, Timestamp::default()),
            uses_zone_aggregators: false,
            interval,
        }
    }
}

impl LoadSchedule {
    /// Returns the peer of the next exchange: the leader or, if there are many gateways, the first aggregator in the
    /// zone's ranking that is not currently skipped. While the leader does not answer, a few gateways report to an acting
    /// aggregator instead, except for an attempt to reach the leader now and then.
    pub fn partner(&self, storage: &StorageDirectory, zone: &str, own: NodeId, now: Timestamp) -> LoadPartner {
        if !self.uses_zone_aggregators {
            let waits = self.leader_retry_at.is_some_and(|retry_at| now < retry_at);
            let acting = self.acting.first_usable(now, &rank_acting_aggregators(storage));
            return acting.filter(|_| waits).map_or(LoadPartner::Leader, LoadPartner::Acting);
        }
        let aggregator = self.aggregators.first_usable(now, &rank_aggregators(storage, zone, own));
        aggregator.map_or(LoadPartner::Leader, LoadPartner::Aggregator)
    }

    /// Returns the timeout for the answer of a partner.
    pub fn timeout(&self, partner: LoadPartner) -> Millis {
        let is_retry = partner == LoadPartner::Leader && self.leader_retry_at.is_some();
        if is_retry { LEADER_RETRY_TIMEOUT } else { EXCHANGE_TIMEOUT }
    }

    /// Returns whether the sums in an answer are better than those known. An acting aggregator knows only the gateways
    /// that have turned to it, so at first the sums of the lost leader are better although they are older.
    pub fn is_usable(&self, partner: LoadPartner, report: &LoadReport, now: Timestamp) -> bool {
        let (gateways, at) = self.leader_sums;
        let is_almost_complete = u64::from(report.nodes) * 10 >= u64::from(gateways) * 9;
        !matches!(partner, LoadPartner::Acting(_)) || is_almost_complete || now.since(at) >= MAX_FORMER_SUMS_AGE
    }

    /// Records an answer, which contains the loads of all other gateways.
    pub fn record_answer(&mut self, partner: LoadPartner, report: &LoadReport, now: Timestamp) {
        match partner {
            LoadPartner::Leader => {
                self.leader_retry_at = None;
                self.leader_sums = (report.nodes, now);
            }
            LoadPartner::Aggregator(aggregator) => self.aggregators.record_answer(aggregator),
            LoadPartner::Acting(aggregator) => {
                self.acting.record_answer(aggregator);
                // It may not know all gateways, and gateways that are cut off must not change how the others report.
                return;
            }
        }
        self.uses_zone_aggregators = report.uses_zone_aggregators();
        self.interval = report.interval();
    }

    /// Records a missing or invalid answer.
    pub fn record_failure(&mut self, partner: LoadPartner, now: Timestamp) {
        match partner {
            LoadPartner::Leader => self.leader_retry_at = Some(now + LEADER_RETRY_INTERVAL),
            LoadPartner::Aggregator(aggregator) => {
                self.aggregators.record_failure(aggregator, AGGREGATOR_BACKOFF, now);
            }
            LoadPartner::Acting(aggregator) => self.acting.record_failure(aggregator, AGGREGATOR_BACKOFF, now),
        }
    }

    /// Returns whether the next exchange follows a failed one at once: an idle node that did not reach the leader turns to
    /// an acting aggregator, which tells why there is no leader. After the usual delay it would try the leader again.
    pub fn follows_at_once(&self, failed: LoadPartner, next: LoadPartner, own: &LoadReport) -> bool {
        failed == LoadPartner::Leader && matches!(next, LoadPartner::Acting(_)) && own.workers.is_empty()
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
