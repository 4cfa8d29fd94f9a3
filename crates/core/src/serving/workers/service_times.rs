//! How long the workers of one service take, learned from the requests of this node.
//!
//! Owns the means from which the time to a first event is expected; the end of a request's stream and its first event
//! are what it learns from.

use crate::moving_mean::RunningMean;
use crate::time::Millis;

/// The least weight of one more request in a mean, so that it goes by some twenty of the latest.
const LEAST_WEIGHT: f64 = 0.05;
/// A longer time than this, in milliseconds, counts as this long: it shows a fault, not the service.
const LONGEST_MS: f64 = 10_000.0;

/// What was learned of a service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTimes {
    /// From sending a request to its first event, at a worker with a free slot, in milliseconds.
    first: RunningMean,
    /// For which a request takes up a slot, in milliseconds.
    in_slot: RunningMean,
}

impl Default for ServiceTimes {
    fn default() -> Self {
        Self { first: RunningMean::empty(LEAST_WEIGHT), in_slot: RunningMean::empty(LEAST_WEIGHT) }
    }
}

fn sample(span: Millis) -> f64 {
    (span.0 as f64).min(LONGEST_MS)
}

impl ServiceTimes {
    /// A request that found a free slot had its first event after this time.
    pub fn note_first(&mut self, took: Millis) {
        self.first.record(sample(took));
    }

    /// A request took up its slot for this time.
    pub fn record_slot_time(&mut self, took: Millis) {
        self.in_slot.record(sample(took));
    }

    /// How long the first event of a request should take that is the `waiting`th to wait for one of `slots` slots, 0
    /// if one is free. `None` while too little is known.
    pub fn expected_time_to_first_event(&self, waiting: u32, slots: u32) -> Option<Millis> {
        let (first, in_slot) = (self.first.value()?, self.in_slot.value()?);
        let between_ends = in_slot / f64::from(slots.max(1));
        Some(Millis((first + f64::from(waiting) * between_ends).round() as u64))
    }
}
