//! How long a run of an item is expected to take.

use crate::time::Millis;

/// The share of a new run in the means. The expected run goes by some ten runs.
const WEIGHT: f64 = 0.1;

/// How long whole runs take, from those that ended, so that an item that can't be in time any more is
/// known early.
///
/// The first run sets the means, each later one has [`WEIGHT`]. The means of [`crate::moving_mean`] weigh the first runs
/// otherwise, which would choose other items.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunEstimate {
    /// Events in a whole output.
    events: f64,
    /// Milliseconds for each event.
    ms_per_event: f64,
}

impl Default for RunEstimate {
    fn default() -> Self {
        Self { events: 1.0, ms_per_event: 0.0 }
    }
}

impl RunEstimate {
    /// Notes a run that put out `events` events in `took`.
    pub(super) fn note(&mut self, events: u64, is_whole: bool, took: Millis) {
        if events == 0 {
            return;
        }
        let is_first = self.ms_per_event == 0.0;
        let ms_per_event = took.0 as f64 / events as f64;
        let weight = if is_first { 1.0 } else { WEIGHT };
        self.ms_per_event += (ms_per_event - self.ms_per_event) * weight;
        if is_whole {
            let weight = if self.events == 1.0 { 1.0 } else { WEIGHT };
            self.events += (events as f64 - self.events) * weight;
        }
    }

    /// How long an item with so many events behind it still takes.
    pub(super) fn remaining(&self, events_done: u64) -> Millis {
        Millis(((self.events - events_done as f64).max(0.0) * self.ms_per_event) as u64)
    }
}
