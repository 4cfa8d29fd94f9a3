//! Slots that failed runs keep in a worker's load estimate.
//!
//! A worker that fails requests in a few milliseconds has few requests at any time. If a failed run left the estimate at
//! once, the worker would look idle and attract more requests than those that serve them.

use crate::time::Timestamp;

/// Slots kept until given times.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldSlots {
    /// Times at which the slots are released, at most one for each slot of the worker.
    until: Vec<Timestamp>,
}

impl HeldSlots {
    /// Keeps a slot until `until`. Replaces the slot that is released first if the worker has no more slots.
    pub(super) fn hold(&mut self, until: Timestamp, slots: u32, now: Timestamp) {
        self.until.retain(|held| *held > now);
        if self.until.len() >= slots as usize {
            let first = self.until.iter().enumerate().min_by_key(|(_, held)| **held).map(|(index, _)| index);
            first.map(|index| self.until.swap_remove(index));
        }
        if slots > 0 {
            self.until.push(until);
        }
    }

    /// Releases the slot that was kept last.
    pub(super) fn release_last(&mut self) {
        self.until.pop();
    }

    pub(super) fn count(&self, now: Timestamp) -> u32 {
        self.until.iter().filter(|held| **held > now).count() as u32
    }
}
