//! Verdicts on workers that fail requests which other workers serve.
//!
//! A worker is suspected if the failure rates of its routes at the other workers do not explain its failures. The test
//! is a likelihood ratio of two samples for each route: whether the runs of the worker and those of the others have one
//! failure rate or two. With many runs of others it equals the ratio against their rate; with few it demands more
//! evidence, since their rate is then uncertain.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::evidence::{Counts, MIN_COUNT, Suspicion, WorkerEvidence};
use super::outcomes::SuspicionChange;
use super::table::WorkerTable;
use super::worker::WorkerId;
use crate::time::{Millis, Timestamp};

/// Minimum failure rate assumed for the other workers.
const MIN_BASE_RATE: f64 = 0.02;
/// Minimum difference between the failure rates of a suspected worker and of the others.
const MIN_EXCESS_RATE: f64 = 0.2;
/// At any time, about one healthy worker in this many fleets is suspected by chance.
const FLEETS_PER_FALSE_SUSPICION: f64 = 100.0;
/// A suspicion ends below this fraction of the threshold.
const TRUST_FRACTION: f64 = 0.5;
/// Minimum number of nodes with failures for counts of several nodes to make a worker suspected.
const MIN_FAILING_NODES: u32 = 2;
/// Minimum decayed number of failures with which a node counts as having failures.
const MIN_NODE_FAILURES: f64 = 0.1;
/// Number of runs at the base rate that a worker's expected failures are averaged with, so that single failures have
/// little effect and the expectation ends as counts decay.
const EXPECTED_FAILURES_PRIOR_RUNS: f64 = 4.0;
/// Expected fraction of failures below which a worker that was suspected costs no more than others.
const MIN_RETURN_RATE: f64 = 0.05;
/// The counts of all nodes are not applied in a zone whose own counts contradict them with this log-likelihood ratio:
/// about four served runs against a failure rate of a third in other zones.
const ZONE_CONTRADICTION_RATIO: f64 = 1.5;
/// Maximum failure rate with which the counts of a zone are compared, since one served run would rule out a rate of 1.
const MAX_COMPARED_RATE: f64 = 0.95;
/// Maximum number of failures of a worker that one node contributes to the sums of several nodes, so that a node can't
/// reach the threshold nearly alone when a second node happens to see one failure.
const MAX_SHARED_FAILURES: f64 = 1.0;
/// Number of workers with failures that may be reviewed for each millisecond since the last review. Limits the time
/// spent when many workers fail.
const REVIEWED_PER_MS: u64 = 20;
/// Time after which a review is repeated without new evidence, since counts decay.
const REPEATED_REVIEW_INTERVAL: Millis = Millis(500);

/// Returns the log-likelihood ratio for a worker with failure rate above that of the other workers: two rates against
/// one common rate. 0 if the worker's rate is not higher. The others are assumed to fail at 2% at least.
pub fn likelihood_ratio(worker: Counts, others: Counts) -> f64 {
    let others_failed = others.failed.max(others.total() * MIN_BASE_RATE);
    let others = Counts { served: others.total() - others_failed, failed: others_failed };
    if worker.failure_rate() <= others.failure_rate() {
        return 0.0;
    }
    let common = worker.plus(others).failure_rate();
    divergence(worker, common) + divergence(others, common)
}

/// Returns the log-likelihood ratio of counts between their own failure rate and another one.
fn divergence(counts: Counts, rate: f64) -> f64 {
    let term = |count: f64, own: f64, other: f64| if count > 0.0 { count * (own / other).ln() } else { 0.0 };
    let own = counts.failure_rate();
    term(counts.failed, own, rate) + term(counts.served, 1.0 - own, 1.0 - rate)
}

/// Returns the log-likelihood ratio at which a worker becomes suspected in a fleet of `workers`.
pub fn suspicion_threshold(workers: usize) -> f64 {
    (workers.max(1) as f64).ln() + FLEETS_PER_FALSE_SUSPICION.ln()
}

/// A set of nodes whose counts are summed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    /// This node.
    Own,
    /// The nodes of this node's zone.
    Zone,
    /// All nodes.
    All,
}

/// Counts by scope.
#[derive(Clone, Copy, Debug, Default)]
struct ScopedCounts([Counts; 3]);

impl ScopedCounts {
    fn of(&self, scope: Scope) -> Counts {
        self.0[scope as usize]
    }

    fn plus(self, other: Self) -> Self {
        Self(std::array::from_fn(|scope| self.0[scope].plus(other.0[scope])))
    }

    fn minus(self, other: Self) -> Self {
        Self(std::array::from_fn(|scope| self.0[scope].minus(other.0[scope])))
    }
}

/// What a review knows about one worker.
#[derive(Debug)]
struct Reviewed {
    id: WorkerId,
    /// Counts by route.
    routes: Vec<(Arc<str>, ScopedCounts)>,
    failing_nodes: u32,
    failing_zone_nodes: u32,
    was_suspected: bool,
}

/// Counts of the workers that are not suspected, by route.
#[derive(Debug, Default)]
struct BaseCounts {
    by_route: BTreeMap<Arc<str>, ScopedCounts>,
}

/// Result of the test for one set of nodes.
#[derive(Clone, Copy, Debug, Default)]
struct Judgement {
    counts: Counts,
    /// Failures that the base rates explain.
    explained: f64,
    ratio: f64,
    failing_nodes: u32,
}

impl Judgement {
    fn base_rate(&self) -> f64 {
        if self.counts.total() > 0.0 { self.explained / self.counts.total() } else { MIN_BASE_RATE }
    }

    fn is_suspicious(&self, threshold: f64) -> bool {
        let has_excess = self.counts.failed - self.explained >= MIN_EXCESS_RATE * self.counts.total();
        self.ratio >= threshold && has_excess
    }

    fn add_route(&mut self, counts: Counts, others: Counts) {
        self.counts = self.counts.plus(counts);
        self.explained += counts.total() * base_rate(others);
        self.ratio += likelihood_ratio(counts, others);
    }

    /// Returns the expected fraction of failures beyond the base rate.
    fn expected_failures(&self) -> f64 {
        (self.counts.failed - self.explained).max(0.0) / (self.counts.total() + EXPECTED_FAILURES_PRIOR_RUNS)
    }
}

impl BaseCounts {
    fn remove(&mut self, worker: &Reviewed) {
        for (route, counts) in &worker.routes {
            if let Some(base) = self.by_route.get_mut(route) {
                *base = base.minus(*counts);
            }
        }
    }

    fn add(&mut self, worker: &Reviewed) {
        for (route, counts) in &worker.routes {
            let base = self.by_route.entry(route.clone()).or_default();
            *base = base.plus(*counts);
        }
    }
}

fn base_rate(others: Counts) -> f64 {
    others.failure_rate().max(MIN_BASE_RATE)
}

impl Reviewed {
    fn total(&self, scope: Scope) -> Counts {
        self.routes.iter().fold(Counts::default(), |sum, (_, counts)| sum.plus(counts.of(scope)))
    }

    /// Judges the worker by the counts of one scope. `base` must not contain the worker.
    fn judge_in(&self, scope: Scope, base: &BaseCounts) -> Judgement {
        let mut judgement = Judgement::default();
        for (route, counts) in &self.routes {
            let others = base.by_route.get(route).copied().unwrap_or_default().of(scope);
            judgement.add_route(counts.of(scope), others);
        }
        judgement
    }

    /// Judges the worker by the counts of this node, of its zone and of all nodes. `base` must not contain the worker.
    fn judge(&self, base: &BaseCounts) -> [Judgement; 3] {
        let [mut own, mut zone, mut all] =
            [Scope::Own, Scope::Zone, Scope::All].map(|scope| self.judge_in(scope, base));
        let is_failing_here = u32::from(is_failing_node(own.counts, own.base_rate()));
        own.failing_nodes = is_failing_here;
        zone.failing_nodes = self.failing_zone_nodes + is_failing_here;
        all.failing_nodes = self.failing_nodes + is_failing_here;
        [own, zone, all]
    }
}

/// Returns whether a node's counts of a worker show failures that the base rate does not explain. A node with a few
/// failures among many served runs does not confirm the evidence of another node.
fn is_failing_node(own: Counts, base_rate: f64) -> bool {
    own.failed >= MIN_NODE_FAILURES && own.failure_rate() >= base_rate + MIN_EXCESS_RATE
}

/// Returns whether the counts of a zone contradict the failure rate seen by the nodes of all other zones.
fn is_contradicted(zone: &Judgement, all: &Judgement) -> bool {
    let (rate, base) = (all.counts.minus(zone.counts).failure_rate().min(MAX_COMPARED_RATE), zone.base_rate());
    if rate <= base {
        return false;
    }
    let ratio = zone.counts.failed * (rate / base).ln() + zone.counts.served * ((1.0 - rate) / (1.0 - base)).ln();
    ratio <= -ZONE_CONTRADICTION_RATIO
}

/// Returns the judgements that may decide, given the numbers of nodes with failures.
fn applicable([own, zone, all]: [Judgement; 3]) -> impl Iterator<Item = Judgement> {
    let is_shared = |judgement: &Judgement| judgement.failing_nodes >= MIN_FAILING_NODES;
    let zone_verdict = Some(zone).filter(is_shared);
    let all_verdict = Some(all).filter(is_shared).filter(|all| !is_contradicted(&zone, all));
    [Some(own), zone_verdict, all_verdict].into_iter().flatten()
}

impl WorkerEvidence {
    /// Returns whether this node counts as one with failures of the worker on a route, for its report.
    pub(super) fn is_failing_on(&self, own: Counts, others: Counts) -> bool {
        is_failing_node(own, base_rate(others))
    }

    fn route_counts(&self, shared_weight: f64, now: Timestamp) -> Vec<(Arc<str>, ScopedCounts)> {
        let weight = self.contribution_weight(now);
        let own = self.own(now).map(|(route, own)| {
            let contribution = own.scaled(weight);
            (route.clone(), ScopedCounts([own, contribution, contribution]))
        });
        let mut routes: Vec<(Arc<str>, ScopedCounts)> = own.collect();
        for (route, shared) in &self.shared {
            let shared = shared.decayed(shared_weight);
            let others = ScopedCounts([Counts::default(), shared.zone, shared.all]);
            if let Some((_, counts)) = routes.iter_mut().find(|(known, _)| known == route) {
                *counts = counts.plus(others);
            } else {
                routes.push((route.clone(), others));
            }
        }
        routes
    }

    /// Returns the weight with which this node's counts contribute to the sums of several nodes. It keeps the failure
    /// rate and bounds the number of failures.
    pub(super) fn contribution_weight(&self, now: Timestamp) -> f64 {
        (MAX_SHARED_FAILURES / self.own_total(now).failed).min(1.0)
    }
}

impl WorkerTable {
    /// Decides anew which workers are suspected, and returns the changes. Without new evidence only the bounds on
    /// exclusions are applied anew, since they depend on the load.
    pub fn review_suspicion(&mut self, now: Timestamp) -> Vec<SuspicionChange> {
        if self.evidence.reviewed.is_empty() || self.was_just_reviewed(now) {
            return Vec::new();
        }
        if !self.is_review_due(now) {
            self.update_exclusions(now);
            return Vec::new();
        }
        self.evidence.reviewed_at = Some(now);
        self.evidence.has_new = false;
        self.evidence.reviews += 1;
        let mut reviewed = self.collect_reviewed(now);
        let mut base = self.base_counts(&reviewed, now);
        let threshold = suspicion_threshold(self.workers.len());
        let rate = |worker: &Reviewed| worker.total(Scope::All).failure_rate();
        reviewed.sort_by(|left, right| rate(right).total_cmp(&rate(left)));
        let changes: Vec<SuspicionChange> =
            reviewed.iter().filter_map(|worker| self.review_worker(worker, &mut base, threshold, now)).collect();
        self.update_exclusions(now);
        changes
    }

    fn was_just_reviewed(&self, now: Timestamp) -> bool {
        let pause = Millis(self.evidence.reviewed.len() as u64 / REVIEWED_PER_MS);
        self.evidence.reviewed_at.is_some_and(|at| now.since(at) < pause)
    }

    fn is_review_due(&self, now: Timestamp) -> bool {
        let is_old = self.evidence.reviewed_at.is_none_or(|at| now.since(at) >= REPEATED_REVIEW_INTERVAL);
        self.evidence.has_new || is_old
    }

    /// Returns the number of reviews that decided anew which workers are suspected.
    pub fn review_count(&self) -> u64 {
        self.evidence.reviews
    }

    /// Returns what is known about each worker with failures, and drops workers without.
    fn collect_reviewed(&mut self, now: Timestamp) -> Vec<Reviewed> {
        let mut collected = Vec::new();
        let Self { workers, evidence, .. } = self;
        let weight = evidence.shared_weight(now);
        let suspected = &mut evidence.suspected;
        evidence.reviewed.retain(|id| {
            let Some(known) = workers.get_mut(id).and_then(|entry| entry.evidence.as_mut()) else {
                suspected.remove(id);
                return false;
            };
            let routes = known.route_counts(weight, now);
            let failed: f64 = routes.iter().map(|(_, counts)| counts.of(Scope::All).failed).sum();
            if failed < MIN_COUNT && known.suspicion.is_none() {
                known.shared = Vec::new();
                known.expected_failures = 0.0;
                return false;
            }
            collected.push(Reviewed {
                id: id.clone(),
                routes,
                failing_nodes: known.shared.iter().map(|(_, shared)| shared.failing_nodes).max().unwrap_or(0),
                failing_zone_nodes: known.shared.iter().map(|(_, shared)| shared.failing_zone_nodes).max().unwrap_or(0),
                was_suspected: known.suspicion.is_some(),
            });
            true
        });
        collected
    }

    /// Returns the totals of the routes of reviewed workers, without suspected workers.
    fn base_counts(&self, reviewed: &[Reviewed], now: Timestamp) -> BaseCounts {
        let mut listed = BaseCounts::default();
        reviewed.iter().for_each(|worker| listed.add(worker));
        let contributions = self.total_contributions(now);
        let totals = listed.by_route.into_iter().map(|(route, listed)| {
            let contribution = contributions.get(&route).copied().unwrap_or_default();
            let totals = self.route_totals(&route, contribution, listed, now);
            (route, totals)
        });
        let mut base = BaseCounts { by_route: totals.collect() };
        reviewed.iter().filter(|worker| worker.was_suspected).for_each(|worker| base.remove(worker));
        base
    }

    /// Returns the totals of a route over all workers, given the sums over those with failures. The runs of a zone are
    /// known only for the latter, which have all of its failures; its other runs are estimated by its share of the runs
    /// at these workers.
    fn route_totals(&self, route: &str, contribution: Counts, listed: ScopedCounts, now: Timestamp) -> ScopedCounts {
        let own = self.evidence.own_total_of(route, now);
        let all = contribution.plus(self.evidence.shared_total_of(route, now));
        let (zone_listed, all_listed) = (listed.of(Scope::Zone), listed.of(Scope::All));
        let zone_share = if all_listed.total() > 0.0 { zone_listed.total() / all_listed.total() } else { 0.0 };
        let zone_served = (all.total() * zone_share - zone_listed.failed).max(zone_listed.served);
        ScopedCounts([own, Counts { served: zone_served, ..zone_listed }, all])
    }

    /// Returns what this node's totals of each route contribute to the sums of several nodes.
    pub(super) fn total_contributions(&self, now: Timestamp) -> BTreeMap<Arc<str>, Counts> {
        let mut totals: BTreeMap<Arc<str>, Counts> =
            self.evidence.own_totals(now).map(|(route, total)| (route.clone(), total)).collect();
        let reviewed = self.evidence.reviewed.iter().filter_map(|id| self.workers.get(id)?.evidence.as_ref());
        for known in reviewed {
            let weight = known.contribution_weight(now);
            for (route, own) in known.own(now).filter(|_| weight < 1.0) {
                if let Some(total) = totals.get_mut(route) {
                    *total = total.minus(own).plus(own.scaled(weight));
                }
            }
        }
        totals
    }

    fn review_worker(
        &mut self,
        worker: &Reviewed,
        base: &mut BaseCounts,
        threshold: f64,
        now: Timestamp,
    ) -> Option<SuspicionChange> {
        if !worker.was_suspected {
            base.remove(worker);
        }
        let judgements = || applicable(worker.judge(base));
        let by_ratio = |left: &Judgement, right: &Judgement| left.ratio.total_cmp(&right.ratio);
        let suspicious = judgements().filter(|judgement| judgement.is_suspicious(threshold)).max_by(by_ratio);
        let worst = suspicious.or_else(|| judgements().max_by(by_ratio))?;
        let keeps_suspicion = worker.was_suspected && worst.ratio >= threshold * TRUST_FRACTION;
        let is_suspected = suspicious.is_some() || keeps_suspicion;
        if !is_suspected {
            base.add(worker);
        }
        self.set_suspicion(&worker.id, &worst, is_suspected, now);
        (is_suspected != worker.was_suspected).then(|| SuspicionChange {
            worker: worker.id.clone(),
            is_suspected,
            served: worst.counts.served,
            failed: worst.counts.failed,
            base_rate: worst.base_rate(),
            ratio: worst.ratio,
            threshold,
            failing_nodes: worst.failing_nodes,
        })
    }

    fn set_suspicion(&mut self, id: &WorkerId, judgement: &Judgement, is_suspected: bool, now: Timestamp) {
        let first_trial = self.trials.first(id, now);
        let Some(known) = self.workers.get_mut(id).and_then(|entry| entry.evidence.as_mut()) else { return };
        let expected = judgement.expected_failures();
        // Only suspected workers and those that return cost more. A few failures are common where answers are lost or
        // damaged at many workers; a cost for each would crowd the others.
        let is_returning = known.suspicion.is_some() || known.expected_failures > 0.0;
        let has_cost = is_suspected || (is_returning && expected >= MIN_RETURN_RATE);
        known.expected_failures = if has_cost { expected } else { 0.0 };
        if !is_suspected {
            known.suspicion = None;
            self.evidence.suspected.remove(id);
            return;
        }
        let (ratio, failure_rate) = (judgement.ratio, judgement.counts.failure_rate());
        let previous = known.suspicion;
        known.suspicion = Some(Suspicion {
            ratio,
            failure_rate,
            is_excluded: previous.is_some_and(|previous| previous.is_excluded),
            next_trial: previous.map_or(first_trial, |previous| previous.next_trial),
        });
        if previous.is_none() {
            self.evidence.suspected.insert(id.clone());
        }
    }

    /// Returns whether a worker is suspected of failing requests.
    pub fn is_suspected(&self, id: &WorkerId, _now: Timestamp) -> bool {
        self.workers.get(id).is_some_and(|entry| entry.suspicion().is_some())
    }

    /// Returns the number of suspected workers.
    pub fn suspected_count(&self) -> usize {
        let is_suspected = |id: &&WorkerId| self.workers.get(id).is_some_and(|entry| entry.suspicion().is_some());
        self.evidence.suspected.iter().filter(is_suspected).count()
    }
}
