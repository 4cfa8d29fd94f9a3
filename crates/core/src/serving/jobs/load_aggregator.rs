//! Aggregates the online requests of all gateways at the leader of the job table.
//!
//! Each gateway reports its own requests at each worker several times per second and receives those of all others. This
//! prevents gateways from all choosing the same worker, and batch items from being sent to busy workers.
//!
//! In large fleets a storage node in each zone aggregates the reports of the zone: it sends the sums over its gateways
//! to the leader, receives the sums over all other zones, and stores those like the report of one more node.
//!
//! The sums over all nodes are updated incrementally. Computing them for each report would take time quadratic in the
//! number of nodes.

use std::collections::BTreeMap;

use crate::identity::NodeId;
use crate::serving::workers::load_report::ZONE_AGGREGATION_THRESHOLD;
use crate::serving::workers::{LoadReport, WorkerCount, WorkerId, WorkerReport};
use crate::time::{Millis, Timestamp};

/// The time after which a report expires. Bounds the time for which a stopped gateway is still counted.
const REPORT_LIFETIME: Millis = Millis(1_000);
/// The interval at which the sums are rebuilt without expired reports. Limits the CPU time of the leader.
const REBUILD_INTERVAL: Millis = Millis(100);
/// The minimum time between two updates of the leader's own view of the workers. Each visits all active workers, so one
/// for each report would cost the number of gateways times that of the workers.
const OWN_VIEW_INTERVAL: Millis = Millis(20);

/// Represents the leader of the table among the nodes that report to the aggregator of a zone. No real node has this
/// ID.
const LEADER_ID: NodeId = NodeId(0);

#[derive(Debug)]
struct StoredReport {
    report: LoadReport,
    received_at: Timestamp,
}

impl StoredReport {
    /// Returns the number of gateways that the report covers.
    fn nodes(&self) -> u32 {
        self.report.nodes.max(1)
    }

    /// Returns the time at which the gateways reported, weighted by the requests that they placed.
    fn weighted_time(&self) -> u64 {
        let reported_at = self.received_at.as_millis().saturating_sub(self.report.age.0);
        reported_at.saturating_mul(u64::from(self.report.placed_per_s))
    }
}

/// The sums over all reports for one worker.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    requests: u32,
    self_reported: Option<u32>,
    ejecting_nodes: u32,
    batch: u32,
}

impl Total {
    fn report(&self, worker: &WorkerId, requests: u32) -> WorkerReport {
        let Self { self_reported, ejecting_nodes, batch, .. } = *self;
        WorkerReport { worker: worker.clone(), requests, self_reported, ejected_by: ejecting_nodes, batch }
    }
}

/// The number of gateways, by their reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GatewayCount {
    /// Gateways whose reports reach this node directly or through an aggregator.
    pub reachable: u32,
    /// Gateways known to any of the reporting gateways, including unreachable ones.
    pub known: u32,
}

/// The sums over all reports.
#[derive(Debug, Default)]
struct Totals {
    workers: BTreeMap<WorkerId, Total>,
    placed_per_s: u32,
    nodes: u32,
    /// The sum of [`StoredReport::weighted_time`].
    weighted_time: u64,
}

impl Totals {
    fn add(&mut self, stored: &StoredReport) {
        self.placed_per_s = self.placed_per_s.saturating_add(stored.report.placed_per_s);
        self.nodes = self.nodes.saturating_add(stored.nodes());
        self.weighted_time = self.weighted_time.saturating_add(stored.weighted_time());
        for worker in &stored.report.workers {
            let total = self.workers.entry(worker.worker.clone()).or_default();
            total.requests = total.requests.saturating_add(worker.requests);
            total.ejecting_nodes = total.ejecting_nodes.saturating_add(worker.ejected_by);
            total.batch = total.batch.saturating_add(worker.batch);
            total.self_reported = total.self_reported.max(worker.self_reported);
        }
    }

    /// Returns the sums as the report of a single node.
    fn report(&self, now: Timestamp) -> LoadReport {
        let workers = self.workers.iter().map(|(worker, total)| total.report(worker, total.requests)).collect();
        let reported_at = self.weighted_time.checked_div(u64::from(self.placed_per_s));
        let age = reported_at.map_or(Millis(0), |reported_at| now.since(Timestamp::from_millis(reported_at)));
        LoadReport { workers, placed_per_s: self.placed_per_s, nodes: self.nodes, age, ..LoadReport::default() }
    }

    /// Subtracts a report. Loads that the workers reported themselves stay until the next rebuild.
    fn subtract(&mut self, stored: &StoredReport) {
        self.placed_per_s = self.placed_per_s.saturating_sub(stored.report.placed_per_s);
        self.nodes = self.nodes.saturating_sub(stored.nodes());
        self.weighted_time = self.weighted_time.saturating_sub(stored.weighted_time());
        for worker in &stored.report.workers {
            if let Some(total) = self.workers.get_mut(&worker.worker) {
                total.requests = total.requests.saturating_sub(worker.requests);
                total.ejecting_nodes = total.ejecting_nodes.saturating_sub(worker.ejected_by);
                total.batch = total.batch.saturating_sub(worker.batch);
            }
        }
    }
}

/// The reports of all gateways, and their sums.
#[derive(Debug, Default)]
pub struct LoadAggregator {
    nodes: BTreeMap<NodeId, StoredReport>,
    totals: Totals,
    rebuilt_at: Timestamp,
    /// The time of the last update of the leader's own view.
    own_view_at: Option<Timestamp>,
}

impl LoadAggregator {
    /// Records the report of a node, replacing its earlier one.
    pub fn record_report(&mut self, node: NodeId, report: LoadReport, now: Timestamp) {
        let stored = StoredReport { report, received_at: now };
        self.totals.add(&stored);
        if let Some(earlier) = self.nodes.insert(node, stored) {
            self.totals.subtract(&earlier);
        }
    }

    /// Records the leader's answer to this zone's aggregator: the loads of all other zones, and of batch items.
    pub fn apply_leader_report(&mut self, report: LoadReport, now: Timestamp) {
        self.record_report(LEADER_ID, report, now);
    }

    /// Returns whether the reports are those of a zone in a large fleet, to be passed on to the leader. The gateways of a
    /// smaller fleet report here only while they don't reach the leader; passed on, they would be counted twice once
    /// they do.
    pub fn aggregates_zone(&self) -> bool {
        self.known_gateways() >= ZONE_AGGREGATION_THRESHOLD
    }

    /// Returns the sums over this zone's gateways as a report to the leader, or `None` if no gateway has reported
    /// recently. Excludes what the leader reported, which would otherwise circulate forever.
    pub fn zone_report(&mut self, now: Timestamp) -> Option<LoadReport> {
        self.refresh(now);
        let mut totals = Totals::default();
        for (_, stored) in self.nodes.iter().filter(|(node, _)| **node != LEADER_ID) {
            totals.add(stored);
        }
        let has_gateways = totals.nodes > 0;
        has_gateways.then(|| LoadReport { reporters: self.known_gateways(), ..totals.report(now) })
    }

    /// Returns the sums over all nodes except `node`, plus the requests of `batch`. Loads that the workers reported
    /// themselves are included even if `node` forwarded them.
    pub fn report_for(&mut self, node: NodeId, batch: &[WorkerCount], now: Timestamp) -> LoadReport {
        self.refresh(now);
        let own = self.nodes.get(&node).map(|stored| &stored.report.workers);
        let own_requests: BTreeMap<&WorkerId, u32> =
            own.into_iter().flatten().map(|report| (&report.worker, report.requests)).collect();
        let mut batch = sorted(batch).into_iter().peekable();
        let mut workers: Vec<WorkerReport> = Vec::with_capacity(self.totals.workers.len());
        let only_batch = |count: &WorkerCount| {
            let total = Total { batch: count.requests, ..Total::default() };
            total.report(&count.worker, count.requests)
        };
        for (worker, total) in &self.totals.workers {
            while let Some(count) = batch.next_if(|count| count.worker < *worker) {
                workers.push(only_batch(count));
            }
            let items = batch.next_if(|count| count.worker == *worker).map_or(0, |count| count.requests);
            let others = total.requests.saturating_sub(own_requests.get(worker).copied().unwrap_or(0));
            let total = Total { batch: total.batch.saturating_add(items), ..*total };
            workers.push(total.report(worker, others.saturating_add(items)));
        }
        workers.extend(batch.map(only_batch));
        let mut rest = Totals { workers: BTreeMap::new(), ..self.totals };
        if let Some(own) = self.nodes.get(&node) {
            rest.subtract(own);
        }
        let reporters = u32::try_from(self.nodes.len()).unwrap_or(u32::MAX);
        LoadReport { workers, reporters, ..rest.report(now) }
    }

    /// Returns the number of online requests of all nodes at each worker if the leader's own view is due for an update.
    /// To be called for each report.
    pub fn poll_own_view(&mut self, now: Timestamp) -> Option<Vec<WorkerCount>> {
        if self.own_view_at.is_some_and(|at| now.since(at) < OWN_VIEW_INTERVAL) {
            return None;
        }
        self.own_view_at = Some(now);
        Some(self.online_requests(now))
    }

    /// Returns the number of online requests of all nodes at each worker.
    pub fn online_requests(&mut self, now: Timestamp) -> Vec<WorkerCount> {
        self.refresh(now);
        let busy = self.totals.workers.iter().filter(|(_, total)| total.requests > 0);
        busy.map(|(worker, total)| WorkerCount { worker: worker.clone(), requests: total.requests }).collect()
    }

    /// Returns the number of online requests that all nodes place per second.
    pub fn placed_per_s(&mut self, now: Timestamp) -> u32 {
        self.refresh(now);
        self.totals.placed_per_s
    }

    /// Returns the number of gateways, by their reports.
    pub fn gateways(&mut self, now: Timestamp) -> GatewayCount {
        self.refresh(now);
        GatewayCount { reachable: self.totals.nodes, known: self.known_gateways() }
    }

    fn known_gateways(&self) -> u32 {
        let gateways = self.nodes.iter().filter(|(node, _)| **node != LEADER_ID);
        gateways.map(|(_, stored)| stored.report.reporters).max().unwrap_or(0)
    }

    /// Returns the workers that enough nodes report as failed.
    pub fn failed_workers(&mut self, now: Timestamp) -> Vec<WorkerId> {
        self.refresh(now);
        let reports = self.totals.workers.iter().map(|(worker, total)| total.report(worker, total.requests));
        reports.filter(WorkerReport::should_eject).map(|report| report.worker).collect()
    }

    /// Drops all reports because this node no longer leads.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    fn refresh(&mut self, now: Timestamp) {
        if now.since(self.rebuilt_at) < REBUILD_INTERVAL {
            return;
        }
        self.rebuilt_at = now;
        self.nodes.retain(|_, stored| now.since(stored.received_at) < REPORT_LIFETIME);
        self.totals = Totals::default();
        for stored in self.nodes.values() {
            self.totals.add(stored);
        }
    }
}

/// Returns counts in the order of their workers, in which [`WorkerTable::local_loads`] lists them already.
///
/// [`WorkerTable::local_loads`]: crate::serving::workers::WorkerTable::local_loads
fn sorted(counts: &[WorkerCount]) -> Vec<&WorkerCount> {
    let mut sorted: Vec<&WorkerCount> = counts.iter().collect();
    sorted.sort_by_key(|count| &count.worker);
    sorted
}
