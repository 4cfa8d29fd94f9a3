//! The online requests of all nodes, gathered at the table's leader.
//!
//! Each gateway tells its own requests at each worker a few times a second and hears those of all
//! others. So nodes don't choose the same worker, and batch items stay out of the way.

use std::collections::BTreeMap;

use crate::gateway::workers::{WorkerCount, WorkerId};
use crate::identity::NodeId;
use crate::time::{Millis, Timestamp};

/// What a node told is believed for this long.
const LIFETIME: Millis = Millis(1_000);

struct Told {
    loads: Vec<WorkerCount>,
    at: Timestamp,
}

/// What the gateways told.
#[derive(Default)]
pub struct LoadShare {
    nodes: BTreeMap<NodeId, Told>,
}

impl LoadShare {
    /// A node told its requests.
    pub fn tell(&mut self, node: NodeId, loads: Vec<WorkerCount>, now: Timestamp) {
        self.nodes.insert(node, Told { loads, at: now });
        self.nodes.retain(|_, told| now.since(told.at) < LIFETIME);
    }

    /// Requests at each worker, of all nodes but one, with `batch` added.
    pub fn without(&self, node: Option<NodeId>, batch: &[WorkerCount], now: Timestamp) -> Vec<WorkerCount> {
        let mut totals: BTreeMap<&WorkerId, u32> = BTreeMap::new();
        let others = self.nodes.iter().filter(|(id, told)| Some(**id) != node && now.since(told.at) < LIFETIME);
        for count in others.flat_map(|(_, told)| &told.loads).chain(batch) {
            *totals.entry(&count.worker).or_default() += count.requests;
        }
        totals.into_iter().map(|(worker, requests)| WorkerCount { worker: worker.clone(), requests }).collect()
    }

    /// Forgets everything: this node leads no longer.
    pub fn clear(&mut self) {
        self.nodes.clear();
    }
}
