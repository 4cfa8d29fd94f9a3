//! How long the workers of one service take, learned from the requests of this node.

use crate::time::Millis;

/// The least weight of one more request in a mean: it goes by some twenty of the latest.
const LEAST_WEIGHT: f64 = 0.05;
/// Longer times than this tell of a fault and not of the service, in milliseconds.
const LONGEST_MS: f64 = 10_000.0;

/// A mean of the latest values.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    value: f64,
    count: u32,
}

impl Mean {
    fn note(&mut self, span: Millis) {
        let sample = (span.0 as f64).min(LONGEST_MS);
        self.count = self.count.saturating_add(1);
        let weight = (1.0 / f64::from(self.count)).max(LEAST_WEIGHT);
        self.value += (sample - self.value) * weight;
    }

    fn get(&self) -> Option<f64> {
        (self.count > 0).then_some(self.value)
    }
}

/// What was learned of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTimes {
    /// From sending a request to its first event, at a worker with a free slot.
    first: Mean,
    /// For which a request holds a slot.
    hold: Mean,
}

impl ServiceTimes {
    /// A request that found a free slot had its first event after this time.
    pub fn note_first(&mut self, took: Millis) {
        self.first.note(took);
    }

    /// A request held its slot for this time.
    pub fn note_hold(&mut self, took: Millis) {
        self.hold.note(took);
    }

    /// How long the first event of a request should take that is the `waiting`th to wait for one of `slots` slots, 0
    /// if one is free. `None` while too little is known.
    pub fn expected_first(&self, waiting: u32, slots: u32) -> Option<Millis> {
        let (first, hold) = (self.first.get()?, self.hold.get()?);
        let between_ends = hold / f64::from(slots.max(1));
        Some(Millis((first + f64::from(waiting) * between_ends).round() as u64))
    }
}
