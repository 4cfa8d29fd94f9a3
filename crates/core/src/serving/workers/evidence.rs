//! Decayed counts of served and failed runs, per worker and route and per route over all workers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::worker::WorkerId;
use crate::time::{Millis, Timestamp};

/// Time in which counts decay by a factor of e. Long enough for a dozen runs of one worker over all nodes.
const TIME_CONSTANT: Millis = Millis(4_000);
/// Counts below this value are dropped; a single run reaches it after 18 s.
pub(super) const MIN_COUNT: f64 = 0.01;
/// Maximum number of routes for which counts of one worker are kept.
pub(super) const MAX_ROUTES_PER_WORKER: usize = 16;
/// Maximum number of routes for which totals are kept.
pub(super) const MAX_ROUTES: usize = 256;

/// Numbers of served and failed runs, possibly fractions.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Served runs.
    pub served: f64,
    /// Failed runs.
    pub failed: f64,
}

impl Counts {
    /// Returns the number of runs.
    pub fn total(self) -> f64 {
        self.served + self.failed
    }

    /// Returns the fraction of failed runs, 0 without runs.
    pub fn failure_rate(self) -> f64 {
        if self.total() > 0.0 { self.failed / self.total() } else { 0.0 }
    }

    pub(super) fn plus(self, other: Self) -> Self {
        Self { served: self.served + other.served, failed: self.failed + other.failed }
    }

    /// Subtracts counts; rounding and delayed reports never lead to negative results.
    pub(super) fn minus(self, other: Self) -> Self {
        Self { served: (self.served - other.served).max(0.0), failed: (self.failed - other.failed).max(0.0) }
    }

    pub(super) fn scaled(self, factor: f64) -> Self {
        Self { served: self.served * factor, failed: self.failed * factor }
    }
}

/// Returns the weight that a run from `from` has at `to`.
pub(super) fn decay(from: Timestamp, to: Timestamp) -> f64 {
    (-(to.since(from).0 as f64) / TIME_CONSTANT.0 as f64).exp()
}

/// Counts that decay over time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayedCounts {
    counts: Counts,
    at: Timestamp,
}

impl DecayedCounts {
    pub(super) fn at(&self, now: Timestamp) -> Counts {
        self.counts.scaled(decay(self.at, now))
    }

    pub(super) fn add(&mut self, counts: Counts, now: Timestamp) {
        *self = Self { counts: self.at(now).plus(counts), at: now.max(self.at) };
    }

    pub(super) fn subtract(&mut self, counts: Counts, now: Timestamp) {
        *self = Self { counts: self.at(now).minus(counts), at: now.max(self.at) };
    }
}

/// Counts of other nodes for one worker and route, as of the last answer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SharedCounts {
    pub(super) all: Counts,
    pub(super) zone: Counts,
    pub(super) failing_nodes: u32,
    pub(super) failing_zone_nodes: u32,
}

/// Verdict on a suspected worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspicion {
    /// Ratio of the last review.
    pub(super) ratio: f64,
    /// Fraction of failed runs at the last review.
    pub(super) failure_rate: f64,
    /// Whether the worker is excluded from selection.
    pub(super) is_excluded: bool,
    /// Time from which this node may send a trial request; `None` if the number of nodes is unknown.
    pub(super) next_trial: Option<Timestamp>,
}

/// Evidence on one incarnation of a worker.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkerEvidence {
    /// Counts of this node by route. A vector, since there are few routes and there may be many workers.
    own: Vec<(Arc<str>, DecayedCounts)>,
    /// Counts of other nodes by route.
    pub(super) shared: Vec<(Arc<str>, SharedCounts)>,
    pub(super) suspicion: Option<Suspicion>,
    /// Expected fraction of failures beyond the base rate, as of the last review; 0 for a worker that is neither suspected
    /// nor returns from a suspicion.
    pub(super) expected_failures: f64,
}

impl WorkerEvidence {
    pub(super) fn record_own(&mut self, route: &Arc<str>, counts: Counts, now: Timestamp) {
        if let Some((_, own)) = self.own.iter_mut().find(|(name, _)| name == route) {
            own.add(counts, now);
            return;
        }
        self.own.retain(|(_, own)| own.at(now).total() >= MIN_COUNT);
        if self.own.len() < MAX_ROUTES_PER_WORKER {
            let mut own = DecayedCounts::default();
            own.add(counts, now);
            self.own.push((route.clone(), own));
        }
    }

    pub(super) fn retract_own(&mut self, route: &Arc<str>, counts: Counts, now: Timestamp) {
        if let Some((_, own)) = self.own.iter_mut().find(|(name, _)| name == route) {
            own.subtract(counts, now);
        }
    }

    pub(super) fn own(&self, now: Timestamp) -> impl Iterator<Item = (&Arc<str>, Counts)> {
        self.own.iter().map(move |(route, own)| (route, own.at(now)))
    }

    pub(super) fn own_total(&self, now: Timestamp) -> Counts {
        self.own(now).fold(Counts::default(), |sum, (_, counts)| sum.plus(counts))
    }

    pub(super) fn shared_failed(&self) -> f64 {
        self.shared.iter().map(|(_, shared)| shared.all.failed).sum()
    }

    pub(super) fn shared_mut(&mut self, route: &Arc<str>) -> Option<&mut SharedCounts> {
        if let Some(index) = self.shared.iter().position(|(name, _)| name == route) {
            return Some(&mut self.shared[index].1);
        }
        if self.shared.len() >= MAX_ROUTES_PER_WORKER {
            return None;
        }
        self.shared.push((route.clone(), SharedCounts::default()));
        self.shared.last_mut().map(|(_, shared)| shared)
    }
}

/// Evidence that concerns more than one worker.
#[derive(Clone, Debug, Default)]
pub(super) struct FleetEvidence {
    /// Workers with failures, or with counts of other nodes. Empty in a fleet without failures.
    pub(super) reviewed: BTreeSet<WorkerId>,
    /// Suspected workers.
    pub(super) suspected: BTreeSet<WorkerId>,
    /// Totals of this node by route.
    own_totals: BTreeMap<Arc<str>, DecayedCounts>,
    /// Totals of other nodes by route.
    pub(super) shared_totals: BTreeMap<Arc<str>, Counts>,
    /// When the counts of other nodes were received.
    pub(super) shared_at: Timestamp,
    /// Whether there is evidence that the last review did not see.
    pub(super) has_new: bool,
    pub(super) reviewed_at: Option<Timestamp>,
    /// Number of reviews.
    pub(super) reviews: u64,
}

impl FleetEvidence {
    pub(super) fn record_total(&mut self, route: &Arc<str>, counts: Counts, now: Timestamp) {
        if let Some(total) = self.own_totals.get_mut(route) {
            total.add(counts, now);
            return;
        }
        if self.own_totals.len() >= MAX_ROUTES {
            self.own_totals.retain(|_, total| total.at(now).total() >= MIN_COUNT);
        }
        if self.own_totals.len() < MAX_ROUTES {
            self.own_totals.entry(route.clone()).or_default().add(counts, now);
        }
    }

    pub(super) fn retract_total(&mut self, route: &Arc<str>, counts: Counts, now: Timestamp) {
        if let Some(total) = self.own_totals.get_mut(route) {
            total.subtract(counts, now);
        }
    }

    pub(super) fn own_totals(&self, now: Timestamp) -> impl Iterator<Item = (&Arc<str>, Counts)> {
        self.own_totals.iter().map(move |(route, total)| (route, total.at(now)))
    }

    pub(super) fn own_total_of(&self, route: &str, now: Timestamp) -> Counts {
        self.own_totals.get(route).map(|total| total.at(now)).unwrap_or_default()
    }

    pub(super) fn shared_total_of(&self, route: &str, now: Timestamp) -> Counts {
        let total = self.shared_totals.get(route).copied().unwrap_or_default();
        total.scaled(self.shared_weight(now))
    }

    /// Returns the weight of the counts of other nodes, which decay until the next answer.
    pub(super) fn shared_weight(&self, now: Timestamp) -> f64 {
        decay(self.shared_at, now)
    }
}

impl SharedCounts {
    pub(super) fn decayed(self, weight: f64) -> Self {
        Self { all: self.all.scaled(weight), zone: self.zone.scaled(weight), ..self }
    }
}
