//! The items that run at each worker, and how many of them are pausing.

use std::collections::{BTreeMap, BTreeSet};

use super::super::command::ItemKey;
use crate::serving::workers::WorkerId;

/// The items at one worker.
#[derive(Clone, Debug, Default)]
struct RunsAtWorker {
    continuing: BTreeSet<ItemKey>,
    pausing: BTreeSet<ItemKey>,
}

/// The running items by worker, so that a pause examines the items of one worker and not all.
#[derive(Clone, Debug, Default)]
pub struct WorkerRuns {
    /// Bounded by the workers with items.
    workers: BTreeMap<WorkerId, RunsAtWorker>,
}

impl WorkerRuns {
    /// Records the start of an item's run.
    pub fn add(&mut self, worker: &WorkerId, key: &ItemKey) {
        if !self.workers.contains_key(worker) {
            self.workers.insert(worker.clone(), RunsAtWorker::default());
        }
        if let Some(runs) = self.workers.get_mut(worker) {
            runs.continuing.insert(key.clone());
        }
    }

    /// Records that an item was requested to pause.
    pub fn record_pause(&mut self, worker: &WorkerId, key: &ItemKey) {
        if let Some(runs) = self.workers.get_mut(worker)
            && let Some(key) = runs.continuing.take(key)
        {
            runs.pausing.insert(key);
        }
    }

    /// Records the end of an item's run.
    pub fn remove(&mut self, worker: &WorkerId, key: &ItemKey) {
        let Some(runs) = self.workers.get_mut(worker) else { return };
        runs.continuing.remove(key);
        runs.pausing.remove(key);
        if runs.continuing.is_empty() && runs.pausing.is_empty() {
            self.workers.remove(worker);
        }
    }

    /// Returns the number of items to pause at a worker so that `count` are pausing, including those that already are.
    pub fn pauses_due(&self, worker: &WorkerId, count: u32) -> usize {
        let runs = self.workers.get(worker);
        let missing = |runs: &RunsAtWorker| (count as usize).saturating_sub(runs.pausing.len());
        runs.map_or(0, |runs| missing(runs).min(runs.continuing.len()))
    }

    /// Returns the items at a worker that are not pausing.
    pub fn continuing(&self, worker: &WorkerId) -> impl Iterator<Item = &ItemKey> {
        self.workers.get(worker).into_iter().flat_map(|runs| &runs.continuing)
    }
}
