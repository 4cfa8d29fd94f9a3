//! The online requests of all nodes, gathered at the table's leader.
//!
//! Each gateway tells its own requests at each worker a few times a second and hears those of all
//! others. So nodes don't choose the same worker, and batch items stay out of the way.

use std::collections::BTreeMap;

use crate::gateway::workers::{LoadNews, WorkerCount, WorkerId, WorkerNews};
use crate::identity::NodeId;
use crate::time::{Millis, Timestamp};

/// What a node told is believed for this long.
const LIFETIME: Millis = Millis(1_000);

struct Told {
    news: LoadNews,
    at: Timestamp,
}

/// What the gateways told.
#[derive(Default)]
pub struct LoadShare {
    nodes: BTreeMap<NodeId, Told>,
}

/// What all tellers together say of one worker.
#[derive(Clone, Copy, Default)]
struct Total {
    requests: u32,
    told: Option<u32>,
}

impl LoadShare {
    /// A node told its requests.
    pub fn tell(&mut self, node: NodeId, news: LoadNews, now: Timestamp) {
        self.nodes.insert(node, Told { news, at: now });
        self.nodes.retain(|_, told| now.since(told.at) < LIFETIME);
    }

    /// What all nodes but one told, with the requests of `batch` added. What the workers themselves told
    /// counts from every node.
    pub fn without(&self, node: NodeId, batch: &[WorkerCount], now: Timestamp) -> LoadNews {
        let mut totals: BTreeMap<&WorkerId, Total> = BTreeMap::new();
        let mut placed_per_s = 0;
        for (id, told) in self.nodes.iter().filter(|(_, told)| now.since(told.at) < LIFETIME) {
            let is_asker = *id == node;
            placed_per_s += if is_asker { 0 } else { told.news.placed_per_s };
            for news in &told.news.workers {
                let total = totals.entry(&news.worker).or_default();
                total.requests += if is_asker { 0 } else { news.requests };
                total.told = total.told.max(news.told);
            }
        }
        for count in batch {
            totals.entry(&count.worker).or_default().requests += count.requests;
        }
        let news = |(worker, total): (&WorkerId, Total)| WorkerNews {
            worker: worker.clone(),
            requests: total.requests,
            told: total.told,
        };
        LoadNews { workers: totals.into_iter().map(news).collect(), placed_per_s }
    }

    /// Online requests at each worker, of all nodes.
    pub fn online(&self, now: Timestamp) -> Vec<WorkerCount> {
        let mut totals: BTreeMap<&WorkerId, u32> = BTreeMap::new();
        let tellers = self.nodes.values().filter(|told| now.since(told.at) < LIFETIME);
        for news in tellers.flat_map(|told| &told.news.workers) {
            *totals.entry(&news.worker).or_default() += news.requests;
        }
        let busy = totals.into_iter().filter(|(_, requests)| *requests > 0);
        busy.map(|(worker, requests)| WorkerCount { worker: worker.clone(), requests }).collect()
    }

    /// Forgets everything: this node leads no longer.
    pub fn clear(&mut self) {
        self.nodes.clear();
    }
}
