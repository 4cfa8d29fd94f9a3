//! The items that may run now. Each waits for what it lacks by itself.
//!
//! An item for which there is no worker, or whose route is not known yet, moves to the queue of the items with the same
//! needs. In each round the items are tried in their order over all queues. A queue whose first item cannot start is closed
//! for this round, and items that turn out to have the same needs join it untried. A round therefore costs a try for each
//! kind of needs and a look at each item that has become ready, however many items wait.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::super::command::ItemKey;
use super::item_queue::{ItemQueue, Urgency};
use super::run_estimate::RunEstimate;
use super::wait_cause::WaitCause;
use super::wait_log::WaitingItems;
use crate::time::{Millis, Timestamp, UnixMillis};

/// The delay before items of a service are tried again after none of its workers had room for one. Limits the CPU time of
/// tries: each examines all workers, and without the delay the caller would make one after every event. The items of a
/// service are tried together, so that the most urgent one gets the first slot that is free.
const NO_CAPACITY_BACKOFF: Millis = Millis(15);

/// The items with the same needs.
#[derive(Clone, Debug)]
struct WaitQueue {
    items: ItemQueue,
    /// Whether the items may be tried in this round.
    is_open: bool,
    /// The time of the last start of an item with these needs, or else that of the first item's arrival.
    since: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct ServiceBackoff {
    until: Timestamp,
    /// The round in which the backoff began, which goes on for items with other needs.
    round: u64,
}

/// Where a ready item is.
#[derive(Clone, Debug)]
struct Place {
    due: UnixMillis,
    /// `None` if it is not known what the item lacks.
    cause: Option<Arc<WaitCause>>,
}

/// The ready items.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadyItems {
    places: BTreeMap<ItemKey, Place>,
    /// Items that were not tried since they became ready.
    untried: ItemQueue,
    /// Bounded by the services, their versions and the regions of routes.
    waiting: BTreeMap<Arc<WaitCause>, WaitQueue>,
    backoffs: BTreeMap<Arc<str>, ServiceBackoff>,
    round: u64,
}

impl ReadyItems {
    /// Adds an item whose needs are not known, or moves it to those items.
    pub(super) fn insert(&mut self, key: ItemKey, due: UnixMillis, events: u64) {
        self.remove(&key);
        self.untried.insert(due, key.clone(), events);
        self.places.insert(key, Place { due, cause: None });
    }

    /// Adds an item that waits.
    pub(super) fn insert_waiting(
        &mut self,
        key: ItemKey,
        due: UnixMillis,
        events: u64,
        cause: &WaitCause,
        now: Timestamp,
    ) {
        self.remove(&key);
        let cause = self.queue(cause, now);
        if let Some(queue) = self.waiting.get_mut(&cause) {
            queue.items.insert(due, key.clone(), events);
        }
        self.places.insert(key, Place { due, cause: Some(cause) });
    }

    pub(super) fn remove(&mut self, key: &ItemKey) {
        let Some(Place { due, cause }) = self.places.remove(key) else { return };
        match cause.and_then(|cause| self.waiting.get_mut(&cause)) {
            Some(queue) => queue.items.remove(due, key),
            None => self.untried.remove(due, key),
        }
    }

    pub(super) fn contains(&self, key: &ItemKey) -> bool {
        self.places.contains_key(key)
    }

    /// Returns whether it is known what a ready item lacks.
    pub(super) fn has_known_needs(&self, key: &ItemKey) -> bool {
        self.places.get(key).is_some_and(|place| place.cause.is_some())
    }

    /// Returns whether there are items to try.
    pub(super) fn has_candidates(&self, now: Timestamp) -> bool {
        let may_open = |(cause, queue): (&Arc<WaitCause>, &WaitQueue)| {
            !queue.items.is_empty() && cause.service().is_some_and(|service| !self.is_backing_off(service, now))
        };
        !self.untried.is_empty() || self.waiting.iter().any(may_open)
    }

    /// Begins a round: items of the services whose backoff is over are tried again.
    pub(super) fn begin_round(&mut self, now: Timestamp) {
        self.round += 1;
        self.backoffs.retain(|_, backoff| now < backoff.until);
        self.waiting.retain(|_, queue| !queue.items.is_empty());
        for (cause, queue) in &mut self.waiting {
            queue.is_open = cause.service().is_some_and(|service| !self.backoffs.contains_key(service));
        }
    }

    /// Removes and returns the next item to try in this round.
    pub(super) fn take_next(&mut self, wall_time: UnixMillis, estimate: &RunEstimate) -> Option<ItemKey> {
        let open = self.waiting.values().filter(|queue| queue.is_open).map(|queue| &queue.items);
        let queues = open.chain(std::iter::once(&self.untried));
        let Urgency { key, .. } = queues.filter_map(|queue| queue.most_urgent(wall_time, estimate)).min()?;
        self.remove(&key);
        Some(key)
    }

    /// Returns whether an item with these needs has to wait in this round without a try.
    pub(super) fn is_held(&self, cause: &WaitCause) -> bool {
        match self.waiting.get(cause) {
            Some(queue) => !queue.is_open,
            None => {
                let backoff = cause.service().and_then(|service| self.backoffs.get(service));
                backoff.is_some_and(|backoff| backoff.round != self.round)
            }
        }
    }

    /// Records that an item could not start for want of these needs. Items that need the same wait until the next round
    /// after the backoff, or for a configuration.
    pub(super) fn record_unmet(&mut self, cause: &WaitCause, now: Timestamp) {
        let cause = self.queue(cause, now);
        if let Some(queue) = self.waiting.get_mut(&cause) {
            queue.is_open = false;
        }
        if let Some(service) = cause.service() {
            let backoff = ServiceBackoff { until: now + NO_CAPACITY_BACKOFF, round: self.round };
            self.backoffs.insert(service.clone(), backoff);
        }
    }

    /// Records that an item with these needs has started.
    pub(super) fn record_start(&mut self, cause: &WaitCause, now: Timestamp) {
        if let Some(queue) = self.waiting.get_mut(cause) {
            queue.since = now;
        }
    }

    /// Forgets what all items lack. `events_of` returns the number of events of an item's output.
    pub(super) fn release_all(&mut self, events_of: impl Fn(&ItemKey) -> u64) {
        self.waiting.clear();
        self.backoffs.clear();
        self.untried = ItemQueue::default();
        for (key, place) in &mut self.places {
            place.cause = None;
            self.untried.insert(place.due, key.clone(), events_of(key));
        }
    }

    /// Returns the items that wait, by what they lack.
    pub(super) fn waiting(&self) -> Vec<WaitingItems> {
        let occupied = self.waiting.iter().filter(|(_, queue)| !queue.items.is_empty());
        let items_of = |(cause, queue): (&Arc<WaitCause>, &WaitQueue)| WaitingItems {
            cause: (**cause).clone(),
            items: queue.items.len(),
            since: queue.since,
        };
        occupied.map(items_of).collect()
    }

    /// Returns the item of each queue that is due first.
    pub(super) fn first_due(&self) -> impl Iterator<Item = &ItemKey> {
        let queues = self.waiting.values().map(|queue| &queue.items);
        queues.chain(std::iter::once(&self.untried)).filter_map(ItemQueue::first_due)
    }

    /// Returns the key of the queue of items with these needs. A new queue is closed until the next round.
    fn queue(&mut self, cause: &WaitCause, now: Timestamp) -> Arc<WaitCause> {
        if let Some((known, _)) = self.waiting.get_key_value(cause) {
            return known.clone();
        }
        let cause = Arc::new(cause.clone());
        self.waiting.insert(cause.clone(), WaitQueue { items: ItemQueue::default(), is_open: false, since: now });
        cause
    }

    fn is_backing_off(&self, service: &Arc<str>, now: Timestamp) -> bool {
        self.backoffs.get(service).is_some_and(|backoff| now < backoff.until)
    }
}
