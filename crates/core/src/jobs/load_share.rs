//! The online requests of all nodes, gathered at the table's leader.
//!
//! Each gateway tells its own requests at each worker a few times a second and hears those of all
//! others. So nodes don't choose the same worker, and batch items stay out of the way.
//!
//! The sums over all nodes are kept, not made anew for each node that tells: with `n` nodes that would be
//! work of `n * n` a round.

use std::collections::BTreeMap;

use crate::gateway::workers::{LoadNews, WorkerCount, WorkerId, WorkerNews};
use crate::identity::NodeId;
use crate::time::{Millis, Timestamp};

/// What a node told is believed for this long.
const LIFETIME: Millis = Millis(1_000);
/// The sums are made anew after this long, without what is believed no longer.
const REBUILD_INTERVAL: Millis = Millis(100);

#[derive(Debug)]
struct Told {
    news: LoadNews,
    at: Timestamp,
}

/// What all tellers together say of one worker.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    requests: u32,
    told: Option<u32>,
    failing: u32,
}

impl Total {
    fn news(&self, worker: &WorkerId, requests: u32) -> WorkerNews {
        WorkerNews { worker: worker.clone(), requests, told: self.told, failing: self.failing }
    }
}

/// What all tellers together say.
#[derive(Debug, Default)]
struct Totals {
    workers: BTreeMap<WorkerId, Total>,
    placed_per_s: u32,
}

impl Totals {
    fn add(&mut self, news: &LoadNews) {
        self.placed_per_s += news.placed_per_s;
        for worker in &news.workers {
            let total = self.workers.entry(worker.worker.clone()).or_default();
            total.requests += worker.requests;
            total.failing += worker.failing;
            total.told = total.told.max(worker.told);
        }
    }

    /// Takes back what a node told. The workers' own word stays until the sums are made anew.
    fn subtract(&mut self, news: &LoadNews) {
        self.placed_per_s = self.placed_per_s.saturating_sub(news.placed_per_s);
        for worker in &news.workers {
            if let Some(total) = self.workers.get_mut(&worker.worker) {
                total.requests = total.requests.saturating_sub(worker.requests);
                total.failing = total.failing.saturating_sub(worker.failing);
            }
        }
    }
}

/// What the gateways told.
#[derive(Debug, Default)]
pub struct LoadShare {
    nodes: BTreeMap<NodeId, Told>,
    totals: Totals,
    rebuilt_at: Timestamp,
}

impl LoadShare {
    /// A node told its requests.
    pub fn tell(&mut self, node: NodeId, news: LoadNews, now: Timestamp) {
        self.totals.add(&news);
        if let Some(earlier) = self.nodes.insert(node, Told { news, at: now }) {
            self.totals.subtract(&earlier.news);
        }
    }

    /// What all nodes but one told, with the requests of `batch` added. What the workers themselves told
    /// counts from every node.
    pub fn without(&mut self, node: NodeId, batch: &[WorkerCount], now: Timestamp) -> LoadNews {
        self.refresh(now);
        let own = self.nodes.get(&node).map(|told| &told.news);
        let own_requests: BTreeMap<&WorkerId, u32> =
            own.iter().flat_map(|news| &news.workers).map(|news| (&news.worker, news.requests)).collect();
        let mut batch: BTreeMap<&WorkerId, u32> = batch.iter().map(|count| (&count.worker, count.requests)).collect();
        let mut workers: Vec<WorkerNews> = Vec::with_capacity(self.totals.workers.len());
        for (worker, total) in &self.totals.workers {
            let others = total.requests.saturating_sub(own_requests.get(worker).copied().unwrap_or(0));
            let requests = others + batch.remove(worker).unwrap_or(0);
            workers.push(total.news(worker, requests));
        }
        let only_batch = batch.into_iter().map(|(worker, requests)| (worker.clone(), requests));
        workers.extend(only_batch.map(|(worker, requests)| Total::default().news(&worker, requests)));
        let own_rate = own.map_or(0, |news| news.placed_per_s);
        let tellers = u32::try_from(self.nodes.len()).unwrap_or(u32::MAX);
        LoadNews { workers, placed_per_s: self.totals.placed_per_s.saturating_sub(own_rate), tellers }
    }

    /// Online requests at each worker, of all nodes.
    pub fn online(&mut self, now: Timestamp) -> Vec<WorkerCount> {
        self.refresh(now);
        let busy = self.totals.workers.iter().filter(|(_, total)| total.requests > 0);
        busy.map(|(worker, total)| WorkerCount { worker: worker.clone(), requests: total.requests }).collect()
    }

    /// Workers that are held to be dead.
    pub fn dead(&mut self, now: Timestamp) -> Vec<WorkerId> {
        self.refresh(now);
        let news = self.totals.workers.iter().map(|(worker, total)| total.news(worker, total.requests));
        news.filter(WorkerNews::says_dead).map(|news| news.worker).collect()
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
            self.totals.add(&told.news);
        }
    }
}
