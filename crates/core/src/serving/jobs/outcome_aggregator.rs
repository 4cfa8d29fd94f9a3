//! Sums the reports of nodes on failed and served runs, for the leader of the job table and the aggregators of zones.
//!
//! Each node reports its decayed counts and receives those of all other nodes, and separately those of its zone. An
//! aggregator passes its sums on to the leader, and stores the leader's answer like the report of one more node.
//!
//! The sums are updated with each report. Counts decay with the age of their report: they are stored scaled to a common
//! base time, so that the decay is a single factor of an answer.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::identity::NodeId;
use crate::serving::workers::WorkerId;
use crate::serving::workers::outcome_report::{MilliCount, OutcomeReport, RouteOutcomes, WorkerOutcomes};
use crate::time::{Millis, Timestamp, UnixMillis};

/// Time after which a report expires. Bounds the time for which the counts of a stopped node still matter.
const REPORT_LIFETIME: Millis = Millis(3_000);
/// Time constant with which the counts of a report decay. Equals that of the evidence at the nodes.
const DECAY_MS: f64 = 4_000.0;
/// Interval at which the sums are rebuilt from the reports, which removes rounding errors and moves the base time.
const REBUILD_INTERVAL: Millis = Millis(5_000);
/// Interval at which the workers of the answers are selected, so that its cost does not grow with the number of nodes.
const SELECTION_INTERVAL: Millis = Millis(100);
/// Maximum number of workers in a report or an answer.
pub const MAX_WORKERS: usize = 256;
/// Maximum number of entries for workers in a report. Leaves room for several routes per worker.
const MAX_ENTRIES: usize = 4 * MAX_WORKERS;
/// Maximum number of routes in a report or an answer.
const MAX_ROUTES: usize = 256;
/// Maximum number of nodes whose reports are stored, several times the size of the largest fleet.
const MAX_NODES: usize = 4_096;
/// Maximum plausible count of runs in a report.
const MAX_COUNT: MilliCount = MilliCount(100_000_000);
/// Minimum number of failures, over all nodes, of a worker in an answer. Ends the exchange some time after the last
/// failure.
const MIN_FAILURES: f64 = 0.05;

/// Represents the leader of the table among the nodes that report to the aggregator of a zone. No real node has this
/// ID.
const LEADER_ID: NodeId = NodeId(0);

/// The sender of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// A node that reports its own runs.
    Node(NodeId),
    /// The aggregator of a zone, which reports the sums over several nodes.
    Aggregator(NodeId),
}

impl Sender {
    fn id(self) -> NodeId {
        match self {
            Self::Node(id) | Self::Aggregator(id) => id,
        }
    }

    fn max_failing_nodes(self) -> u32 {
        match self {
            Self::Node(_) => 1,
            Self::Aggregator(_) => MAX_NODES as u32,
        }
    }
}

/// What is known of a worker, to check the entries of reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownWorker {
    /// Start time of the present incarnation, if the worker reports it.
    pub started_at: Option<UnixMillis>,
}

/// Sums of counts, in runs.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    served: f64,
    failed: f64,
    failing_nodes: u32,
}

impl Sum {
    fn new(served: MilliCount, failed: MilliCount, failing_nodes: u32, weight: f64) -> Self {
        let count = |count: MilliCount| f64::from(count.0) / 1_000.0 * weight;
        Self { served: count(served), failed: count(failed), failing_nodes }
    }

    fn add(&mut self, other: Self) {
        self.served += other.served;
        self.failed += other.failed;
        self.failing_nodes += other.failing_nodes;
    }

    fn subtract(&mut self, other: Self) {
        self.served = (self.served - other.served).max(0.0);
        self.failed = (self.failed - other.failed).max(0.0);
        self.failing_nodes = self.failing_nodes.saturating_sub(other.failing_nodes);
    }

    fn is_empty(&self) -> bool {
        self.failing_nodes == 0 && self.served < f64::EPSILON && self.failed < f64::EPSILON
    }

    fn scaled(self, factor: f64) -> Self {
        Self { served: self.served * factor, failed: self.failed * factor, ..self }
    }
}

fn milli_count(count: f64) -> MilliCount {
    // The conversion saturates.
    MilliCount((count * 1_000.0).round() as u32)
}

/// A worker's incarnation and a route.
type RunKey = (Option<UnixMillis>, Arc<str>);

#[derive(Debug)]
struct StoredReport {
    zone: Arc<str>,
    workers: Vec<WorkerOutcomes>,
    routes: Vec<RouteOutcomes>,
    received_at: Timestamp,
    /// Factor with which the counts are contained in the sums.
    weight: f64,
}

impl StoredReport {
    fn worker_sums(&self) -> impl Iterator<Item = (&WorkerId, RunKey, Sum)> {
        self.workers.iter().map(|entry| {
            let sum = Sum::new(entry.served, entry.failed, entry.failing_nodes, self.weight);
            (&entry.worker, (entry.started_at, entry.route.clone()), sum)
        })
    }

    fn route_sums(&self) -> impl Iterator<Item = (&Arc<str>, Sum)> {
        self.routes.iter().map(|entry| (&entry.route, Sum::new(entry.served, entry.failed, 0, self.weight)))
    }
}

/// The part of the sums that the asker of an answer reported itself.
#[derive(Debug, Default)]
struct OwnSums<'a> {
    workers: BTreeMap<(&'a WorkerId, RunKey), Sum>,
    routes: BTreeMap<&'a Arc<str>, Sum>,
}

impl<'a> OwnSums<'a> {
    fn of(report: &'a StoredReport) -> Self {
        let mut own = Self::default();
        for (worker, key, sum) in report.worker_sums() {
            own.workers.entry((worker, key)).or_default().add(sum);
        }
        for (route, sum) in report.route_sums() {
            own.routes.entry(route).or_default().add(sum);
        }
        own
    }

    fn subtract_from(&self, total: &mut Sum, worker: &WorkerId, key: &RunKey) {
        if !self.workers.is_empty()
            && let Some(own) = self.workers.get(&(worker, key.clone()))
        {
            total.subtract(*own);
        }
    }

    fn subtract_from_route(&self, total: &mut Sum, route: &Arc<str>) {
        if let Some(own) = self.routes.get(route) {
            total.subtract(*own);
        }
    }
}

/// Sums over the reports of several nodes.
#[derive(Debug, Default)]
struct Sums {
    workers: BTreeMap<WorkerId, BTreeMap<RunKey, Sum>>,
    routes: BTreeMap<Arc<str>, Sum>,
}

impl Sums {
    fn add(&mut self, report: &StoredReport) {
        for (worker, key, sum) in report.worker_sums() {
            if !self.workers.contains_key(worker) {
                self.workers.insert(worker.clone(), BTreeMap::new());
            }
            if let Some(runs) = self.workers.get_mut(worker) {
                runs.entry(key).or_default().add(sum);
            }
        }
        for (route, sum) in report.route_sums() {
            self.routes.entry(route.clone()).or_default().add(sum);
        }
    }

    fn subtract(&mut self, report: &StoredReport) {
        for (worker, key, sum) in report.worker_sums() {
            let Some(runs) = self.workers.get_mut(worker) else { continue };
            if let Some(total) = runs.get_mut(&key) {
                total.subtract(sum);
                if total.is_empty() {
                    runs.remove(&key);
                }
            }
            if runs.is_empty() {
                self.workers.remove(worker);
            }
        }
        for (route, sum) in report.route_sums() {
            if let Some(total) = self.routes.get_mut(route) {
                total.subtract(sum);
                if total.is_empty() {
                    self.routes.remove(route);
                }
            }
        }
    }

    /// Returns the sums of the given workers without those of `own`, scaled by `factor`.
    fn worker_outcomes(&self, workers: &BTreeSet<WorkerId>, own: &OwnSums<'_>, factor: f64) -> Vec<WorkerOutcomes> {
        let mut outcomes = Vec::new();
        for worker in workers {
            let Some(runs) = self.workers.get(worker) else { continue };
            for (key, sum) in runs {
                let mut sum = *sum;
                own.subtract_from(&mut sum, worker, key);
                let sum = sum.scaled(factor);
                let (served, failed) = (milli_count(sum.served), milli_count(sum.failed));
                if served > MilliCount(0) || failed > MilliCount(0) {
                    let (worker, (started_at, route)) = (worker.clone(), key.clone());
                    let failing_nodes = sum.failing_nodes;
                    outcomes.push(WorkerOutcomes { worker, started_at, route, served, failed, failing_nodes });
                }
            }
        }
        outcomes
    }

    /// Returns the sums of all routes without those of `own`, scaled by `factor`.
    fn route_outcomes(&self, own: &OwnSums<'_>, factor: f64) -> Vec<RouteOutcomes> {
        let outcomes = self.routes.iter().map(|(route, sum)| {
            let mut sum = *sum;
            own.subtract_from_route(&mut sum, route);
            let sum = sum.scaled(factor);
            RouteOutcomes { route: route.clone(), served: milli_count(sum.served), failed: milli_count(sum.failed) }
        });
        outcomes.filter(|entry| entry.served > MilliCount(0) || entry.failed > MilliCount(0)).take(MAX_ROUTES).collect()
    }

    /// Returns the workers with most failures, up to [`MAX_WORKERS`].
    fn worst_workers(&self, factor: f64) -> BTreeSet<WorkerId> {
        let failures = |runs: &BTreeMap<RunKey, Sum>| runs.values().map(|sum| sum.failed).sum::<f64>() * factor;
        let failing = self.workers.iter().map(|(worker, runs)| (failures(runs), worker));
        let mut failing: Vec<(f64, &WorkerId)> = failing.filter(|(failed, _)| *failed >= MIN_FAILURES).collect();
        if failing.len() > MAX_WORKERS {
            failing.select_nth_unstable_by(MAX_WORKERS, |left, right| right.0.total_cmp(&left.0));
            failing.truncate(MAX_WORKERS);
        }
        failing.into_iter().map(|(_, worker)| worker.clone()).collect()
    }
}

/// The reports of all nodes, and their sums.
#[derive(Debug, Default)]
pub struct OutcomeAggregator {
    reports: BTreeMap<NodeId, StoredReport>,
    /// Times of the reports, for their expiry.
    received: BTreeSet<(Timestamp, NodeId)>,
    totals: Sums,
    /// Keyed by zone.
    zones: BTreeMap<Arc<str>, Sums>,
    /// The workers of the answers.
    selected: BTreeSet<WorkerId>,
    selected_at: Timestamp,
    base: Timestamp,
}

impl OutcomeAggregator {
    /// Records the report of a node, replacing its earlier one. `known` returns what this node knows of a worker.
    /// Returns descriptions of what was dropped or clamped, for logging.
    pub fn record_report(
        &mut self,
        sender: Sender,
        report: OutcomeReport,
        known: impl Fn(&WorkerId) -> Option<KnownWorker>,
        now: Timestamp,
    ) -> Vec<String> {
        self.refresh(now);
        self.remove(sender.id());
        let mut checked = CheckedReport::default();
        checked.add(report, sender, known);
        if self.reports.len() >= MAX_NODES {
            return vec![format!("the report of a node beyond the first {MAX_NODES}")];
        }
        let CheckedReport { zone, workers, routes, problems } = checked;
        let stored = StoredReport { zone, workers, routes, received_at: now, weight: self.weight_of(now) };
        self.totals.add(&stored);
        self.zones.entry(stored.zone.clone()).or_default().add(&stored);
        self.received.insert((now, sender.id()));
        self.reports.insert(sender.id(), stored);
        problems.describe()
    }

    /// Records the leader's answer to this zone's aggregator: the sums over the nodes of all other zones.
    pub fn apply_leader_answer(
        &mut self,
        answer: OutcomeReport,
        known: impl Fn(&WorkerId) -> Option<KnownWorker>,
        now: Timestamp,
    ) -> Vec<String> {
        // The sums of other zones belong to none.
        let report = OutcomeReport { zone: Arc::from(""), ..answer };
        self.record_report(Sender::Aggregator(LEADER_ID), report, known, now)
    }

    /// Returns the sums over all nodes except `node`, and of those over the nodes of `zone`.
    pub fn answer_for(&mut self, node: NodeId, zone: &str, now: Timestamp) -> OutcomeReport {
        self.refresh(now);
        self.select(now);
        let factor = self.factor(now);
        let report = self.reports.get(&node);
        let own = report.map(OwnSums::of).unwrap_or_default();
        let is_in_zone = report.is_some_and(|report| &*report.zone == zone);
        let own_in_zone = if is_in_zone { &own } else { &OwnSums::default() };
        let zone_sums = self.zones.get(zone);
        let of_zone = |sums: &Sums| sums.worker_outcomes(&self.selected, own_in_zone, factor);
        OutcomeReport {
            zone: Arc::from(zone),
            workers: self.totals.worker_outcomes(&self.selected, &own, factor),
            zone_workers: zone_sums.map(of_zone).unwrap_or_default(),
            routes: self.totals.route_outcomes(&own, factor),
        }
    }

    /// Returns the sums over this zone's nodes as a report to the leader. Excludes what the leader reported, which would
    /// otherwise circulate forever.
    pub fn zone_report(&mut self, zone: &str, now: Timestamp) -> OutcomeReport {
        OutcomeReport { zone_workers: Vec::new(), ..self.answer_for(LEADER_ID, zone, now) }
    }

    /// Returns the number of nodes with a recent report.
    pub fn node_count(&self) -> usize {
        self.reports.len()
    }

    /// Drops all reports, since this node gained or lost the leadership.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    fn weight_of(&self, received_at: Timestamp) -> f64 {
        (received_at.since(self.base).0 as f64 / DECAY_MS).exp()
    }

    fn factor(&self, now: Timestamp) -> f64 {
        1.0 / self.weight_of(now)
    }

    fn remove(&mut self, node: NodeId) {
        let Some(report) = self.reports.remove(&node) else { return };
        self.received.remove(&(report.received_at, node));
        self.totals.subtract(&report);
        if let Some(sums) = self.zones.get_mut(&report.zone) {
            sums.subtract(&report);
            if sums.workers.is_empty() && sums.routes.is_empty() {
                self.zones.remove(&report.zone);
            }
        }
    }

    fn refresh(&mut self, now: Timestamp) {
        while let Some((received_at, node)) = self.received.first().copied() {
            if now.since(received_at) < REPORT_LIFETIME {
                break;
            }
            self.remove(node);
        }
        if now.since(self.base) >= REBUILD_INTERVAL {
            self.rebuild(now);
        }
    }

    /// Rebuilds the sums with a base time that precedes all reports.
    fn rebuild(&mut self, now: Timestamp) {
        self.base = self.received.first().map_or(now, |(received_at, _)| *received_at);
        self.totals = Sums::default();
        self.zones.clear();
        let base = self.base;
        for report in self.reports.values_mut() {
            report.weight = (report.received_at.since(base).0 as f64 / DECAY_MS).exp();
            self.totals.add(report);
            self.zones.entry(report.zone.clone()).or_default().add(report);
        }
    }

    /// Selects the workers of the answers if it is due.
    fn select(&mut self, now: Timestamp) {
        if now.since(self.selected_at) < SELECTION_INTERVAL && !self.selected.is_empty() {
            return;
        }
        self.selected_at = now;
        self.selected = self.totals.worst_workers(self.factor(now));
    }
}

/// What was dropped from a report, by cause.
#[derive(Debug, Default)]
struct Problems {
    unknown: usize,
    implausible: usize,
    excess: usize,
}

impl Problems {
    fn describe(&self) -> Vec<String> {
        let causes = [
            (self.unknown, "of an unknown worker or an earlier incarnation"),
            (self.implausible, "with an implausible count"),
            (self.excess, "beyond the maximum size of a report"),
        ];
        let found = causes.into_iter().filter(|(count, _)| *count > 0);
        found.map(|(count, cause)| format!("{count} entries on outcomes {cause}")).collect()
    }
}

/// The valid part of a report.
#[derive(Debug, Default)]
struct CheckedReport {
    zone: Arc<str>,
    workers: Vec<WorkerOutcomes>,
    routes: Vec<RouteOutcomes>,
    problems: Problems,
}

impl CheckedReport {
    fn add(&mut self, report: OutcomeReport, sender: Sender, known: impl Fn(&WorkerId) -> Option<KnownWorker>) {
        self.zone = report.zone;
        let mut listed = BTreeSet::new();
        for entry in report.workers {
            let is_new = !listed.contains(&entry.worker);
            if self.workers.len() >= MAX_ENTRIES || (is_new && listed.len() >= MAX_WORKERS) {
                self.problems.excess += 1;
            } else if !is_present(&entry, &known) {
                self.problems.unknown += 1;
            } else if entry.served > MAX_COUNT || entry.failed > MAX_COUNT {
                self.problems.implausible += 1;
            } else {
                listed.insert(entry.worker.clone());
                self.workers.push(clamp_nodes(entry, sender));
            }
        }
        for entry in report.routes {
            if self.routes.len() >= MAX_ROUTES {
                self.problems.excess += 1;
            } else if entry.served > MAX_COUNT || entry.failed > MAX_COUNT {
                self.problems.implausible += 1;
            } else {
                self.routes.push(entry);
            }
        }
    }
}

/// Returns whether an entry is about a known worker and not about an earlier incarnation of it.
fn is_present(entry: &WorkerOutcomes, known: impl Fn(&WorkerId) -> Option<KnownWorker>) -> bool {
    let Some(worker) = known(&entry.worker) else { return false };
    worker.started_at.zip(entry.started_at).is_none_or(|(present, reported)| reported >= present)
}

/// Limits the number of nodes that a sender can speak for.
fn clamp_nodes(entry: WorkerOutcomes, sender: Sender) -> WorkerOutcomes {
    let has_failures = entry.failed > MilliCount(0);
    let failing_nodes = if has_failures { entry.failing_nodes.clamp(1, sender.max_failing_nodes()) } else { 0 };
    WorkerOutcomes { failing_nodes, ..entry }
}
