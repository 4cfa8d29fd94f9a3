//! The rounds in which ready items are tried, and the waits of those that cannot start.

use super::super::command::{ItemKey, PartialOutput};
use super::wait_cause::WaitCause;
use super::wait_log::WaitingItems;
use super::{Dispatcher, Phase, StartDecision};
use crate::time::{Timestamp, UnixMillis};

impl Dispatcher {
    /// Returns whether any item may be tried now.
    pub fn has_ready(&mut self, now: Timestamp) -> bool {
        self.wake_delayed(now);
        self.ready.has_candidates(now)
    }

    /// Makes all items candidates if the version of the configuration is another one than before. Called before
    /// [`Dispatcher::has_ready`], which has no candidates as long as all items wait for a configuration.
    pub fn update_configuration(&mut self, version: u64) {
        if std::mem::replace(&mut self.configuration_version, version) != version {
            let items = &self.items;
            self.ready.release_all(|key| items.get(key).map_or(0, |open_item| open_item.output.events()));
        }
    }

    /// Begins a round under a version of the configuration. Items that waited for want of workers may be tried again once
    /// the backoff of their service is over, and all items under another version.
    pub fn begin_round(&mut self, configuration_version: u64, now: Timestamp) {
        self.update_configuration(configuration_version);
        self.ready.begin_round(now);
    }

    /// Takes the most urgent item that may be tried now. `wall_time` is comparable to due times.
    pub fn take_next(&mut self, now: Timestamp, wall_time: UnixMillis) -> Option<(ItemKey, PartialOutput)> {
        self.wake_delayed(now);
        let key = self.ready.take_next(wall_time, &self.estimate)?;
        let open_item = self.items.get_mut(&key)?;
        open_item.phase = Phase::Running;
        open_item.started_at = now;
        open_item.started_after = open_item.output.last_event.unwrap_or(0);
        Some((key, std::mem::take(&mut open_item.output)))
    }

    /// Returns whether an item with these needs has to wait in this round without a try, because another one could not
    /// start.
    pub fn is_held(&self, cause: &WaitCause) -> bool {
        self.ready.is_held(cause)
    }

    /// Records that an item could not start for want of these needs, so that no other item is tried for them in this
    /// round.
    pub fn record_unmet(&mut self, cause: &WaitCause, now: Timestamp) {
        self.ready.record_unmet(cause, now);
    }

    /// Returns an item that was taken and has not started to the items with the same needs.
    pub fn wait_for(&mut self, key: &ItemKey, output: PartialOutput, cause: &WaitCause, now: Timestamp) {
        let Some(open_item) = self.items.get_mut(key) else { return };
        if matches!(cause, WaitCause::Worker(needs) if needs.version.is_some()) {
            open_item.bound_since.get_or_insert(now);
        }
        let events = output.events();
        open_item.output = output;
        open_item.phase = Phase::Ready;
        self.ready.insert_waiting(key.clone(), open_item.due, events, cause, now);
    }

    /// Records that an item that was taken runs, so that it no longer waits for a trial or for a worker that can continue
    /// its output.
    pub fn record_start(&mut self, key: &ItemKey, cause: &WaitCause, now: Timestamp) {
        self.ready.record_start(cause, now);
        if let Some(open_item) = self.items.get_mut(key) {
            open_item.waits_for = None;
            open_item.bound_since = None;
            open_item.idle_since = None;
        }
    }

    /// Returns whether an item with output of `events` events has waited for a worker that can continue it for as long as
    /// other workers need to produce it again.
    pub fn may_restart_elsewhere(&self, key: &ItemKey, events: u64, now: Timestamp) -> bool {
        let bound_since = self.items.get(key).and_then(|open_item| open_item.bound_since);
        bound_since.is_some_and(|since| now.since(since) >= self.estimate.duration_of(events))
    }

    /// Returns the items that wait, by what they lack.
    pub fn waiting(&self) -> Vec<WaitingItems> {
        self.ready.waiting()
    }

    /// Gives up the items that are due first and for which it is time, even if they may not be tried now: items that can
    /// still be in time are tried before them. `decide` decides on an item. Returns whether there are results to propose.
    pub fn give_up_expired(&mut self, decide: impl Fn(&ItemKey) -> StartDecision) -> bool {
        let mut has_results = false;
        loop {
            let first_due = self.ready.first_due();
            let expired: Vec<ItemKey> = first_due.filter(|key| decide(key) == StartDecision::GiveUp).cloned().collect();
            if expired.is_empty() {
                return has_results;
            }
            for key in expired {
                self.ready.remove(&key);
                has_results |= self.give_up(&key);
            }
        }
    }
}
