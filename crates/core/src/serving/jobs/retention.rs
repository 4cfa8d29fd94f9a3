//! When jobs that are over are forgotten.

use super::command::JobCommand;
use crate::time::{Millis, Timestamp, UnixMillis};

/// Jobs that are over are remembered this much longer than their results have to be kept, in milliseconds: their age
/// goes by the clocks of two nodes, and readers' clocks are others again.
const FORGET_MARGIN: Millis = Millis(60_000);
/// The time between two rounds of forgetting, in milliseconds. Saves the log commands that forget nothing.
const FORGET_INTERVAL: Millis = Millis(15_000);

/// The rounds of forgetting. They go on over changes of leadership.
#[derive(Clone, Copy, Debug)]
pub struct Retention {
    /// How long results are kept, from the submission on.
    results_kept: Millis,
    last_round: Timestamp,
}

impl Retention {
    /// The first round is due an interval from now.
    pub fn new(results_kept: Millis, now: Timestamp) -> Self {
        Self { results_kept, last_round: now }
    }

    /// The command of a round that is due. `civil` is the time of day, which submissions are stamped with.
    pub fn poll_forget(&mut self, now: Timestamp, civil: UnixMillis) -> Option<JobCommand> {
        if now.since(self.last_round) < FORGET_INTERVAL {
            return None;
        }
        self.last_round = now;
        let remembered = self.results_kept + FORGET_MARGIN;
        Some(JobCommand::Forget { before: UnixMillis(civil.0.saturating_sub(remembered.0)) })
    }
}
