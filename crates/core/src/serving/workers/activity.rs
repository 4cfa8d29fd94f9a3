//! The set of active workers: those with requests, a recent load report, or an ejection.
//!
//! A node in a large fleet uses few of the workers. Building and applying load reports visits only active workers, so
//! that the cost grows with the node's traffic and not with the fleet.
//!
//! Invariant: a worker that is not active has no requests of this node, no valid load reported by others, and no
//! current ejection.

use std::collections::BTreeSet;

use super::table::WorkerTable;
use super::worker::{WorkerEntry, WorkerId};
use crate::time::Timestamp;

/// IDs of the workers that may be active.
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
    /// Returns the number of workers visited when a load report is built or applied.
    pub fn active_count(&self) -> usize {
        self.active.ids.len()
    }

    /// Returns the number of workers visited when suspicions are reviewed: those with failures.
    pub fn reviewed_count(&self) -> usize {
        self.evidence.reviewed.len()
    }

    pub(super) fn active_entries(&self) -> impl Iterator<Item = &WorkerEntry> {
        self.active.ids.iter().filter_map(|id| self.workers.get(id))
    }

    /// Calls `change` for each active worker and removes workers that are idle afterwards.
    pub(super) fn update_active(&mut self, now: Timestamp, mut change: impl FnMut(&mut WorkerEntry)) {
        let Self { active, workers, .. } = self;
        active.ids.retain(|id| {
            let Some(entry) = workers.get_mut(id) else { return false };
            change(entry);
            !entry.is_idle(now)
        });
    }
}
