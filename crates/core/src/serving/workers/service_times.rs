//! Response times of the workers of one service, from the requests of this node.
//!
//! The times to the first event and the slot occupancy of completed requests are averaged to predict the time to the
//! first event of new requests.

use crate::moving_mean::RunningMean;
use crate::time::Millis;

/// Minimum weight of one sample, so that the mean follows the most recent samples.
const MIN_WEIGHT: f64 = 0.05;
/// Longer samples are clamped to this value, since they indicate a fault and not the service's normal response time.
const MAX_SAMPLE_MS: f64 = 10_000.0;

/// Moving means of a service's response times.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTimes {
    /// Time from sending a request to its first event at a worker with a free slot, in milliseconds.
    first_event: RunningMean,
    /// Time for which a request occupies a slot, in milliseconds.
    slot_time: RunningMean,
}

impl Default for ServiceTimes {
    fn default() -> Self {
        Self { first_event: RunningMean::empty(MIN_WEIGHT), slot_time: RunningMean::empty(MIN_WEIGHT) }
    }
}

fn sample(duration: Millis) -> f64 {
    (duration.0 as f64).min(MAX_SAMPLE_MS)
}

impl ServiceTimes {
    /// Records the time to the first event of a request that did not wait for a slot.
    pub fn record_first_event(&mut self, elapsed: Millis) {
        self.first_event.record(sample(elapsed));
    }

    /// Records the time for which a request occupied a slot.
    pub fn record_slot_time(&mut self, elapsed: Millis) {
        self.slot_time.record(sample(elapsed));
    }

    /// Returns the mean time for which a request occupies a slot. `None` without samples.
    pub fn mean_slot_time(&self) -> Option<Millis> {
        self.slot_time.value().map(|mean| Millis(mean.round() as u64))
    }

    /// Returns the expected time to the first event of a request at position `waiting` in the queue for `slots` slots,
    /// 0 if a slot is free. `None` without enough samples.
    pub fn expected_time_to_first_event(&self, waiting: u32, slots: u32) -> Option<Millis> {
        let (first_event, slot_time) = (self.first_event.value()?, self.slot_time.value()?);
        let slot_interval = slot_time / f64::from(slots.max(1));
        Some(Millis((first_event + f64::from(waiting) * slot_interval).round() as u64))
    }
}
