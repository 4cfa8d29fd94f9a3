//! The online requests of all nodes, gathered at the table's leader.
//!
//! Each gateway reports its own requests at each worker a few times a second and gets those of all
//! others. So nodes don't choose the same worker, and batch items stay out of the way.
//!
//! Where there are many gateways, a storing node of each zone aggregates for the zone: it reports to the leader the sums
//! over its gateways, and keeps what it gets of all other zones as the report of one more node.
//!
//! The sums over all nodes are kept, not made anew for each node that reports: with `n` nodes that would be
//! work of `n * n` a round.

use std::collections::BTreeMap;

use crate::identity::NodeId;
use crate::serving::workers::{LoadReport, WorkerCount, WorkerId, WorkerReport};
use crate::time::{Millis, Timestamp};

/// What a node reported is believed for this long, in milliseconds. A gateway that is gone doesn't count for longer.
const LIFETIME: Millis = Millis(1_000);
/// The sums are made anew after this long, in milliseconds, without what is believed no longer. Saves the leader's
/// processor.
const REBUILD_INTERVAL: Millis = Millis(100);

/// Stands for the table's leader among the nodes that report to an aggregator of a zone. No node has this identity.
const LEADER: NodeId = NodeId(0);

#[derive(Debug)]
struct StoredReport {
    report: LoadReport,
    at: Timestamp,
}

impl StoredReport {
    /// How many gateways it is of.
    fn nodes(&self) -> u32 {
        self.report.nodes.max(1)
    }

    /// When the gateways reported it, weighted by the requests that they placed.
    fn weighted_time(&self) -> u64 {
        let reported_at = self.at.as_millis().saturating_sub(self.report.age.0);
        reported_at * u64::from(self.report.placed_per_s)
    }
}

/// What all reporters together say of one worker.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    requests: u32,
    self_reported: Option<u32>,
    failing: u32,
    batch: u32,
}

impl Total {
    fn report(&self, worker: &WorkerId, requests: u32) -> WorkerReport {
        let Self { self_reported, failing, batch, .. } = *self;
        WorkerReport { worker: worker.clone(), requests, self_reported, ejected_by: failing, batch }
    }
}

/// How many gateways there are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GatewayCount {
    /// Their reports reach this node, or one that reports to it.
    pub reachable: u32,
    /// As one of them knows, those out of reach included.
    pub known: u32,
}

/// What all reporters together say.
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
        self.placed_per_s += stored.report.placed_per_s;
        self.nodes += stored.nodes();
        self.weighted_time += stored.weighted_time();
        for worker in &stored.report.workers {
            let total = self.workers.entry(worker.worker.clone()).or_default();
            total.requests += worker.requests;
            total.failing += worker.ejected_by;
            total.batch += worker.batch;
            total.self_reported = total.self_reported.max(worker.self_reported);
        }
    }

    /// The sums as one node's report.
    fn report(&self, now: Timestamp) -> LoadReport {
        let workers = self.workers.iter().map(|(worker, total)| total.report(worker, total.requests)).collect();
        let reported_at = self.weighted_time.checked_div(u64::from(self.placed_per_s));
        let age = reported_at.map_or(Millis(0), |reported_at| now.since(Timestamp::from_millis(reported_at)));
        LoadReport { workers, placed_per_s: self.placed_per_s, nodes: self.nodes, age, ..LoadReport::default() }
    }

    /// Takes back what a node reported. The workers' own figures stay until the sums are made anew.
    fn subtract(&mut self, stored: &StoredReport) {
        self.placed_per_s = self.placed_per_s.saturating_sub(stored.report.placed_per_s);
        self.nodes = self.nodes.saturating_sub(stored.nodes());
        self.weighted_time = self.weighted_time.saturating_sub(stored.weighted_time());
        for worker in &stored.report.workers {
            if let Some(total) = self.workers.get_mut(&worker.worker) {
                total.requests = total.requests.saturating_sub(worker.requests);
                total.failing = total.failing.saturating_sub(worker.ejected_by);
                total.batch = total.batch.saturating_sub(worker.batch);
            }
        }
    }
}

/// What the gateways reported.
#[derive(Debug, Default)]
pub struct LoadAggregator {
    nodes: BTreeMap<NodeId, StoredReport>,
    totals: Totals,
    rebuilt_at: Timestamp,
}

impl LoadAggregator {
    /// A node reported its requests.
    pub fn record_report(&mut self, node: NodeId, report: LoadReport, now: Timestamp) {
        let stored = StoredReport { report, at: now };
        self.totals.add(&stored);
        if let Some(earlier) = self.nodes.insert(node, stored) {
            self.totals.subtract(&earlier);
        }
    }

    /// The leader answered this aggregator of a zone with the loads of all other zones, and batch.
    pub fn apply_leader_report(&mut self, report: LoadReport, now: Timestamp) {
        self.record_report(LEADER, report, now);
    }

    /// What this aggregator of a zone reports to the leader: the sums over its gateways. What the workers reported to the
    /// leader is left out, or it would go round for ever. `None` if no gateway reported to this node of late.
    pub fn zone_report(&mut self, now: Timestamp) -> Option<LoadReport> {
        self.refresh(now);
        let mut totals = Totals::default();
        for (_, stored) in self.nodes.iter().filter(|(node, _)| **node != LEADER) {
            totals.add(stored);
        }
        let has_gateways = totals.nodes > 0;
        has_gateways.then(|| LoadReport { reporters: self.known_gateways(), ..totals.report(now) })
    }

    /// What all nodes but one reported, with the requests of `batch` added. What the workers themselves reported
    /// counts from every node.
    pub fn report_for(&mut self, node: NodeId, batch: &[WorkerCount], now: Timestamp) -> LoadReport {
        self.refresh(now);
        let own = self.nodes.get(&node).map(|stored| &stored.report.workers);
        let own_requests: BTreeMap<&WorkerId, u32> =
            own.into_iter().flatten().map(|report| (&report.worker, report.requests)).collect();
        let mut batch: BTreeMap<&WorkerId, u32> = batch.iter().map(|count| (&count.worker, count.requests)).collect();
        let mut workers: Vec<WorkerReport> = Vec::with_capacity(self.totals.workers.len());
        for (worker, total) in &self.totals.workers {
            let others = total.requests.saturating_sub(own_requests.get(worker).copied().unwrap_or(0));
            let items = batch.remove(worker).unwrap_or(0);
            let total = Total { batch: total.batch + items, ..*total };
            workers.push(total.report(worker, others + items));
        }
        let only_batch = batch.into_iter().map(|(worker, requests)| (worker.clone(), requests));
        let items = |batch: u32| Total { batch, ..Total::default() };
        workers.extend(only_batch.map(|(worker, requests)| items(requests).report(&worker, requests)));
        let mut rest = Totals { workers: BTreeMap::new(), ..self.totals };
        if let Some(own) = self.nodes.get(&node) {
            rest.subtract(own);
        }
        let reporters = u32::try_from(self.nodes.len()).unwrap_or(u32::MAX);
        LoadReport { workers, reporters, ..rest.report(now) }
    }

    /// Online requests at each worker, of all nodes.
    pub fn online_requests(&mut self, now: Timestamp) -> Vec<WorkerCount> {
        self.refresh(now);
        let busy = self.totals.workers.iter().filter(|(_, total)| total.requests > 0);
        busy.map(|(worker, total)| WorkerCount { worker: worker.clone(), requests: total.requests }).collect()
    }

    /// Online requests that all nodes place in a second.
    pub fn placed_per_s(&mut self, now: Timestamp) -> u32 {
        self.refresh(now);
        self.totals.placed_per_s
    }

    /// How many gateways there are, by their reports.
    pub fn gateways(&mut self, now: Timestamp) -> GatewayCount {
        self.refresh(now);
        GatewayCount { reachable: self.totals.nodes, known: self.known_gateways() }
    }

    fn known_gateways(&self) -> u32 {
        let gateways = self.nodes.iter().filter(|(node, _)| **node != LEADER);
        gateways.map(|(_, stored)| stored.report.reporters).max().unwrap_or(0)
    }

    /// Workers that are reported dead.
    pub fn failed_workers(&mut self, now: Timestamp) -> Vec<WorkerId> {
        self.refresh(now);
        let reports = self.totals.workers.iter().map(|(worker, total)| total.report(worker, total.requests));
        reports.filter(WorkerReport::should_eject).map(|report| report.worker).collect()
    }

    /// Forgets everything: this node leads no longer.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    fn refresh(&mut self, now: Timestamp) {
        if now.since(self.rebuilt_at) < REBUILD_INTERVAL {
            return;
        }
        self.rebuilt_at = now;
        self.nodes.retain(|_, stored| now.since(stored.at) < LIFETIME);
        self.totals = Totals::default();
        for stored in self.nodes.values() {
            self.totals.add(stored);
        }
    }
}
