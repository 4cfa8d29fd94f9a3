//! Which workers anything is known of beyond their records: requests, a recent word on their load, an ejection.
//!
//! A node of a large fleet uses few of its workers. What it reports, and what it takes from reports of others, goes by
//! these few, so that its work grows with its own traffic and not with the fleet.
//!
//! Invariant: a worker that is not active has no requests of this node, and neither a load that others reported nor an
//! ejection that is still believed.

use std::collections::BTreeSet;

use super::table::WorkerTable;
use super::worker::{WorkerEntry, WorkerId};
use crate::time::Timestamp;

/// The workers of which something may be known.
#[derive(Clone, Debug, Default)]
pub(super) struct ActiveWorkers {
    ids: BTreeSet<WorkerId>,
}

impl ActiveWorkers {
    pub(super) fn add(&mut self, id: &WorkerId) {
        if !self.ids.contains(id) {
            self.ids.insert(id.clone());
        }
    }
}

impl WorkerTable {
    /// How many workers this node looks at when it reports loads or takes a report.
    pub fn active_count(&self) -> usize {
        self.active.ids.len()
    }

    pub(super) fn active_entries(&self) -> impl Iterator<Item = &WorkerEntry> {
        self.active.ids.iter().filter_map(|id| self.workers.get(id))
    }

    /// Calls `change` for each active worker, and leaves out those that are idle by now.
    pub(super) fn change_active(&mut self, now: Timestamp, mut change: impl FnMut(&mut WorkerEntry)) {
        let Self { active, workers, .. } = self;
        active.ids.retain(|id| {
            let Some(entry) = workers.get_mut(id) else { return false };
            change(entry);
            !entry.is_idle(now)
        });
    }
}
