//! A queue of ready items: by due time, those first that can still be in time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::super::command::{ItemKey, JobKey};
use super::run_estimate::RunEstimate;
use crate::time::UnixMillis;

/// The place of an item in the order in which items run: items that can be in time before all others, then by due time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Urgency {
    is_late: bool,
    due: UnixMillis,
    pub(super) key: ItemKey,
}

/// Items by due time.
#[derive(Clone, Debug, Default)]
pub(super) struct ItemQueue {
    by_due: BTreeSet<(UnixMillis, ItemKey)>,
    /// The number of events of each item that has output.
    begun: BTreeMap<(UnixMillis, ItemKey), u64>,
}

impl ItemQueue {
    pub(super) fn insert(&mut self, due: UnixMillis, key: ItemKey, events: u64) {
        if events > 0 {
            self.begun.insert((due, key.clone()), events);
        }
        self.by_due.insert((due, key));
    }

    pub(super) fn remove(&mut self, due: UnixMillis, key: &ItemKey) {
        let place = (due, key.clone());
        self.by_due.remove(&place);
        self.begun.remove(&place);
    }

    pub(super) fn len(&self) -> usize {
        self.by_due.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_due.is_empty()
    }

    /// Returns the item that is due first, even if it can no longer be in time.
    pub(super) fn first_due(&self) -> Option<&ItemKey> {
        self.by_due.first().map(|(_, key)| key)
    }

    /// Returns the item to run next. Of the items that are due within the time of a whole run, only those with output
    /// can be in time, so that only those are examined.
    pub(super) fn most_urgent(&self, wall_time: UnixMillis, estimate: &RunEstimate) -> Option<Urgency> {
        let ends_after = |events: u64| UnixMillis(wall_time.0.saturating_add(estimate.remaining(events).0));
        let whole_run_ends = first_place_at(ends_after(0));
        let unhurried = self.by_due.range(whole_run_ends.clone()..).next();
        let mut hurried = self.begun.range(first_place_at(wall_time)..whole_run_ends);
        let in_time = hurried.find(|((due, _), events)| ends_after(**events) <= *due).map(|(place, _)| place);
        let urgency = |(due, key): &(UnixMillis, ItemKey), is_late| Urgency { is_late, due: *due, key: key.clone() };
        match in_time.into_iter().chain(unhurried).min() {
            Some(place) => Some(urgency(place, false)),
            None => self.by_due.first().map(|place| urgency(place, true)),
        }
    }
}

/// Returns the lower bound of the places of items that are due at this time.
fn first_place_at(due: UnixMillis) -> (UnixMillis, ItemKey) {
    (due, ItemKey { job: JobKey(Arc::default()), item: 0 })
}
