//! Decides when finished jobs are removed from the table.

use super::command::JobCommand;
use crate::time::{Millis, Timestamp, UnixMillis};

/// The time for which finished jobs are retained beyond the retention period, as a margin for clock differences between
/// nodes and readers.
const RETENTION_MARGIN: Millis = Millis(60_000);
/// The interval between commands that remove expired jobs. Limits the number of log entries without effect.
const FORGET_INTERVAL: Millis = Millis(15_000);

/// Schedules the removal of expired jobs, independently of changes of leadership.
#[derive(Clone, Copy, Debug)]
pub struct Retention {
    /// The time for which results are retained, counted from the submission.
    retention: Millis,
    last_forget: Timestamp,
}

impl Retention {
    /// Schedules the first removal one interval from now.
    pub fn new(retention: Millis, now: Timestamp) -> Self {
        Self { retention, last_forget: now }
    }

    /// Returns the removal command if one is due. `wall_time` is comparable to the submission times of jobs.
    pub fn poll_forget(&mut self, now: Timestamp, wall_time: UnixMillis) -> Option<JobCommand> {
        if now.since(self.last_forget) < FORGET_INTERVAL {
            return None;
        }
        self.last_forget = now;
        let retained_for = self.retention + RETENTION_MARGIN;
        Some(JobCommand::Forget { before: UnixMillis(wall_time.0.saturating_sub(retained_for.0)) })
    }
}
