//! The workers at which items failed recently.

use std::collections::BTreeMap;

use super::super::command::ItemKey;
use super::failures::EXCUSE_WINDOW;
use crate::serving::workers::WorkerId;
use crate::time::{Millis, Timestamp};

/// Time for which a worker at which an item failed has no good record. Equals the time constant of the evidence on
/// workers.
const BAD_RECORD: Millis = Millis(4_000);

#[derive(Clone, Debug)]
struct LastFailure {
    item: ItemKey,
    at: Timestamp,
}

/// The last failed run at each worker.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentFailures {
    /// Bounded by the number of workers that fail within [`BAD_RECORD`].
    last: BTreeMap<WorkerId, LastFailure>,
}

impl RecentFailures {
    /// Records a failed run. Returns whether another item failed at the worker shortly before.
    pub(super) fn record(&mut self, worker: &WorkerId, item: &ItemKey, now: Timestamp) -> bool {
        self.last.retain(|_, failure| now.since(failure.at) < BAD_RECORD);
        let failed_before = self.failed_others(worker, item, now);
        self.last.insert(worker.clone(), LastFailure { item: item.clone(), at: now });
        failed_before
    }

    /// Returns whether the last failure at the worker is recent and that of another item.
    pub(super) fn failed_others(&self, worker: &WorkerId, item: &ItemKey, now: Timestamp) -> bool {
        self.last.get(worker).is_some_and(|last| last.item != *item && now.since(last.at) < EXCUSE_WINDOW)
    }

    /// Returns the workers without a good record.
    pub(super) fn workers(&self, now: Timestamp) -> impl Iterator<Item = &WorkerId> {
        self.last.iter().filter(move |(_, last)| now.since(last.at) < BAD_RECORD).map(|(worker, _)| worker)
    }

    /// Returns the workers at which items failed so recently that a suspicion excuses them.
    pub(super) fn excusing_workers(&self, now: Timestamp) -> impl Iterator<Item = &WorkerId> {
        self.last.iter().filter(move |(_, last)| now.since(last.at) < EXCUSE_WINDOW).map(|(worker, _)| worker)
    }
}
