//! Estimates the duration of item runs.

use crate::time::Millis;

/// The weight of a new run in the moving averages, which thus reflect about the last ten runs.
const NEW_RUN_WEIGHT: f64 = 0.1;
/// The time per event that is assumed before any run has ended.
const UNKNOWN_EVENT_MS: u64 = 50;

/// Estimates the duration of complete runs, to detect items that can no longer finish in time.
///
/// The first run sets the averages, and later runs have the weight [`NEW_RUN_WEIGHT`]. [`crate::moving_mean`] weights
/// the first runs differently, which would change the order of items.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunEstimate {
    /// The average number of events in a complete output.
    events: f64,
    /// The average time per event in milliseconds.
    ms_per_event: f64,
}

impl Default for RunEstimate {
    fn default() -> Self {
        Self { events: 1.0, ms_per_event: 0.0 }
    }
}

impl RunEstimate {
    /// Records a run that produced `events` events in `duration`.
    pub(super) fn record(&mut self, events: u64, is_complete: bool, duration: Millis) {
        if events == 0 {
            return;
        }
        let is_first = self.ms_per_event == 0.0;
        let ms_per_event = duration.0 as f64 / events as f64;
        let weight = if is_first { 1.0 } else { NEW_RUN_WEIGHT };
        self.ms_per_event += (ms_per_event - self.ms_per_event) * weight;
        if is_complete {
            let weight = if self.events == 1.0 { 1.0 } else { NEW_RUN_WEIGHT };
            self.events += (events as f64 - self.events) * weight;
        }
    }

    /// Returns the expected remaining duration of an item that has produced `events_done` events.
    pub(super) fn remaining(&self, events_done: u64) -> Millis {
        Millis(((self.events - events_done as f64).max(0.0) * self.ms_per_event) as u64)
    }

    /// Returns the expected duration of producing `events` events.
    pub(super) fn duration_of(&self, events: u64) -> Millis {
        let ms_per_event = if self.ms_per_event > 0.0 { self.ms_per_event } else { UNKNOWN_EVENT_MS as f64 };
        Millis((events as f64 * ms_per_event) as u64)
    }
}
