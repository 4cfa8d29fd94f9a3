//! Exponentially weighted moving averages.

/// An exponentially weighted moving average with an assumed initial value. It mostly reflects the latest `1 / weight`
/// samples.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MovingMean {
    value: f64,
    weight: f64,
}

impl MovingMean {
    /// Creates an average that is `value` until the first sample. `weight` is the weight of each sample, from 0 to 1.
    pub const fn starting_at(value: f64, weight: f64) -> Self {
        Self { value, weight }
    }

    /// Adds a sample.
    pub fn record(&mut self, sample: f64) {
        self.value = self.value * (1.0 - self.weight) + sample * self.weight;
    }

    /// Returns the current average.
    pub fn value(&self) -> f64 {
        self.value
    }
}

/// An average without an initial value. It is the arithmetic mean of the first `1 / min_weight` samples and an
/// exponentially weighted moving average after that.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunningMean {
    value: f64,
    samples: u32,
    min_weight: f64,
}

impl RunningMean {
    /// Creates an average without samples. `min_weight` is the minimum weight of a sample, from 0 to 1.
    pub const fn empty(min_weight: f64) -> Self {
        Self { value: 0.0, samples: 0, min_weight }
    }

    /// Adds a sample.
    pub fn record(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(self.min_weight);
        self.value += (sample - self.value) * weight;
    }

    /// Returns the current average, or `None` if there are no samples.
    pub fn value(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }
}
