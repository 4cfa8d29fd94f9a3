//! Limits how often the progress of running items is logged.

use crate::time::{Millis, Timestamp};

/// The interval at which the output of running items is logged. Bounds the output that is lost when the leader changes.
const PROGRESS_INTERVAL: Millis = Millis(1_000);

/// Schedules the logging of progress, independently of changes of leadership.
#[derive(Clone, Copy, Debug)]
pub struct ItemPacing {
    last_progress_log: Timestamp,
}

impl ItemPacing {
    /// Schedules the first logging one interval after `now`.
    pub fn new(now: Timestamp) -> Self {
        Self { last_progress_log: now }
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
