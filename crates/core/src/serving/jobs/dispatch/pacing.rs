//! Limits how often items are tried and how often the progress of running items is logged.

use crate::time::{Millis, Timestamp};

/// The delay before the next attempt after no worker had capacity for an item. Limits the CPU time of attempts: each
/// examines all ready items and all workers, and without the delay the caller would make one after every event.
const NO_CAPACITY_BACKOFF: Millis = Millis(15);
/// The interval at which the output of running items is logged. Bounds the output that is lost when the leader changes.
const PROGRESS_INTERVAL: Millis = Millis(1_000);

/// Schedules attempts and the logging of progress, independently of changes of leadership.
#[derive(Clone, Copy, Debug)]
pub struct ItemPacing {
    /// No item is tried before this time because no worker had capacity.
    no_capacity_until: Timestamp,
    last_progress_log: Timestamp,
}

impl ItemPacing {
    /// Allows attempts from `now` on, and schedules the first logging one interval later.
    pub fn new(now: Timestamp) -> Self {
        Self { no_capacity_until: now, last_progress_log: now }
    }

    /// Returns whether items may be tried.
    pub fn may_start(&self, now: Timestamp) -> bool {
        now >= self.no_capacity_until
    }

    /// Records that no worker had capacity for an item.
    pub fn record_no_capacity(&mut self, now: Timestamp) {
        self.no_capacity_until = now + NO_CAPACITY_BACKOFF;
    }

    /// Returns whether progress is due to be logged, and if so schedules the next time.
    pub fn poll_progress(&mut self, now: Timestamp) -> bool {
        let is_due = now.since(self.last_progress_log) >= PROGRESS_INTERVAL;
        if is_due {
            self.last_progress_log = now;
        }
        is_due
    }
}
