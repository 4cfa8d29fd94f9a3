//! The items that wait for a worker that can continue their output, by the time from which they may run elsewhere.

use std::collections::{BTreeMap, BTreeSet};

use super::super::command::ItemKey;
use crate::time::Timestamp;

/// Waiting items by time. Each item is listed once.
#[derive(Clone, Debug, Default)]
pub(super) struct BoundItems {
    times: BTreeMap<ItemKey, Timestamp>,
    by_time: BTreeSet<(Timestamp, ItemKey)>,
}

impl BoundItems {
    /// Lists an item that may run elsewhere from `at` on.
    pub(super) fn insert(&mut self, key: &ItemKey, at: Timestamp) {
        self.remove(key);
        self.times.insert(key.clone(), at);
        self.by_time.insert((at, key.clone()));
    }

    pub(super) fn remove(&mut self, key: &ItemKey) {
        if let Some(at) = self.times.remove(key) {
            self.by_time.remove(&(at, key.clone()));
        }
    }

    /// Removes and returns an item that may run elsewhere by now.
    pub(super) fn take_due(&mut self, now: Timestamp) -> Option<ItemKey> {
        let (_, key) = self.by_time.first().filter(|(at, _)| *at <= now)?.clone();
        self.remove(&key);
        Some(key)
    }
}
