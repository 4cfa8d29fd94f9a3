//! The online requests of all nodes, gathered at the table's leader.
//!
//! Each gateway tells its own requests at each worker a few times a second and hears those of all
//! others. So nodes don't choose the same worker, and batch items stay out of the way.
//!
//! Where there are many gateways, a storing node of each zone gathers for the zone: it tells the leader the sums
//! over its gateways, and keeps what it hears of all other zones as if one more node told it.
//!
//! The sums over all nodes are kept, not made anew for each node that tells: with `n` nodes that would be
//! work of `n * n` a round.

use std::collections::BTreeMap;

use crate::identity::NodeId;
use crate::serving::workers::{LoadReport, WorkerCount, WorkerId, WorkerReport};
use crate::time::{Millis, Timestamp};

/// What a node told is believed for this long.
const LIFETIME: Millis = Millis(1_000);
/// The sums are made anew after this long, without what is believed no longer.
const REBUILD_INTERVAL: Millis = Millis(100);

/// Stands for the table's leader among the nodes that tell a gatherer of a zone. No node has this identity.
const LEADER: NodeId = NodeId(0);

#[derive(Debug)]
struct Told {
    news: LoadReport,
    at: Timestamp,
}

impl Told {
    /// How many gateways it is of.
    fn nodes(&self) -> u32 {
        self.news.nodes.max(1)
    }

    /// When the gateways told it, weighted by the requests that they placed.
    fn weighted_time(&self) -> u64 {
        let told_at = self.at.as_millis().saturating_sub(self.news.age.0);
        told_at * u64::from(self.news.placed_per_s)
    }
}

/// What all reporters together say of one worker.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    requests: u32,
    told: Option<u32>,
    failing: u32,
    batch: u32,
}

impl Total {
    fn news(&self, worker: &WorkerId, requests: u32) -> WorkerReport {
        let Self { told, failing, batch, .. } = *self;
        WorkerReport { worker: worker.clone(), requests, self_reported: told, ejected_by: failing, batch }
    }
}

/// What all reporters together say.
#[derive(Debug, Default)]
struct Totals {
    workers: BTreeMap<WorkerId, Total>,
    placed_per_s: u32,
    nodes: u32,
    /// The sum of [`Told::weighted_time`].
    weighted_time: u64,
}

impl Totals {
    fn add(&mut self, told: &Told) {
        self.placed_per_s += told.news.placed_per_s;
        self.nodes += told.nodes();
        self.weighted_time += told.weighted_time();
        for worker in &told.news.workers {
            let total = self.workers.entry(worker.worker.clone()).or_default();
            total.requests += worker.requests;
            total.failing += worker.ejected_by;
            total.batch += worker.batch;
            total.told = total.told.max(worker.self_reported);
        }
    }

    /// The sums as one node's news.
    fn news(&self, now: Timestamp) -> LoadReport {
        let workers = self.workers.iter().map(|(worker, total)| total.news(worker, total.requests)).collect();
        let told_at = self.weighted_time.checked_div(u64::from(self.placed_per_s));
        let age = told_at.map_or(Millis(0), |told_at| now.since(Timestamp::from_millis(told_at)));
        LoadReport { workers, placed_per_s: self.placed_per_s, nodes: self.nodes, age, ..LoadReport::default() }
    }

    /// Takes back what a node told. The workers' own word stays until the sums are made anew.
    fn subtract(&mut self, told: &Told) {
        self.placed_per_s = self.placed_per_s.saturating_sub(told.news.placed_per_s);
        self.nodes = self.nodes.saturating_sub(told.nodes());
        self.weighted_time = self.weighted_time.saturating_sub(told.weighted_time());
        for worker in &told.news.workers {
            if let Some(total) = self.workers.get_mut(&worker.worker) {
                total.requests = total.requests.saturating_sub(worker.requests);
                total.failing = total.failing.saturating_sub(worker.ejected_by);
                total.batch = total.batch.saturating_sub(worker.batch);
            }
        }
    }
}

/// What the gateways told.
#[derive(Debug, Default)]
pub struct LoadAggregator {
    nodes: BTreeMap<NodeId, Told>,
    totals: Totals,
    rebuilt_at: Timestamp,
}

impl LoadAggregator {
    /// A node told its requests.
    pub fn tell(&mut self, node: NodeId, news: LoadReport, now: Timestamp) {
        let told = Told { news, at: now };
        self.totals.add(&told);
        if let Some(earlier) = self.nodes.insert(node, told) {
            self.totals.subtract(&earlier);
        }
    }

    /// The leader answered this gatherer of a zone with the loads of all other zones, and batch.
    pub fn apply_leader_report(&mut self, news: LoadReport, now: Timestamp) {
        self.tell(LEADER, news, now);
    }

    /// What this gatherer of a zone has to tell the leader: the sums over its gateways. What the workers told the
    /// leader is left out, or it would go round for ever. `None` if no gateway told this node anything of late.
    pub fn for_leader(&mut self, now: Timestamp) -> Option<LoadReport> {
        self.refresh(now);
        let mut totals = Totals::default();
        for (_, told) in self.nodes.iter().filter(|(node, _)| **node != LEADER) {
            totals.add(told);
        }
        let has_gateways = totals.nodes > 0;
        has_gateways.then(|| totals.news(now))
    }

    /// What all nodes but one told, with the requests of `batch` added. What the workers themselves told
    /// counts from every node.
    pub fn without(&mut self, node: NodeId, batch: &[WorkerCount], now: Timestamp) -> LoadReport {
        self.refresh(now);
        let own = self.nodes.get(&node).map(|told| &told.news.workers);
        let own_requests: BTreeMap<&WorkerId, u32> =
            own.into_iter().flatten().map(|news| (&news.worker, news.requests)).collect();
        let mut batch: BTreeMap<&WorkerId, u32> = batch.iter().map(|count| (&count.worker, count.requests)).collect();
        let mut workers: Vec<WorkerReport> = Vec::with_capacity(self.totals.workers.len());
        for (worker, total) in &self.totals.workers {
            let others = total.requests.saturating_sub(own_requests.get(worker).copied().unwrap_or(0));
            let items = batch.remove(worker).unwrap_or(0);
            let total = Total { batch: total.batch + items, ..*total };
            workers.push(total.news(worker, others + items));
        }
        let only_batch = batch.into_iter().map(|(worker, requests)| (worker.clone(), requests));
        let items = |batch: u32| Total { batch, ..Total::default() };
        workers.extend(only_batch.map(|(worker, requests)| items(requests).news(&worker, requests)));
        let mut rest = Totals { workers: BTreeMap::new(), ..self.totals };
        if let Some(own) = self.nodes.get(&node) {
            rest.subtract(own);
        }
        let reporters = u32::try_from(self.nodes.len()).unwrap_or(u32::MAX);
        LoadReport { workers, reporters, ..rest.news(now) }
    }

    /// Online requests at each worker, of all nodes.
    pub fn online(&mut self, now: Timestamp) -> Vec<WorkerCount> {
        self.refresh(now);
        let busy = self.totals.workers.iter().filter(|(_, total)| total.requests > 0);
        busy.map(|(worker, total)| WorkerCount { worker: worker.clone(), requests: total.requests }).collect()
    }

    /// Online requests that all nodes place in a second.
    pub fn placed_per_s(&mut self, now: Timestamp) -> u32 {
        self.refresh(now);
        self.totals.placed_per_s
    }

    /// Workers that are held to be dead.
    pub fn dead(&mut self, now: Timestamp) -> Vec<WorkerId> {
        self.refresh(now);
        let news = self.totals.workers.iter().map(|(worker, total)| total.news(worker, total.requests));
        news.filter(WorkerReport::should_eject).map(|news| news.worker).collect()
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
        self.nodes.retain(|_, told| now.since(told.at) < LIFETIME);
        self.totals = Totals::default();
        for told in self.nodes.values() {
            self.totals.add(told);
        }
    }
}
