//! Moving means: what a figure usually is, by its latest samples.

/// A mean that starts from an assumed value. Each sample has the same weight, so that the mean goes by about
/// `1 / weight` of the latest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MovingMean {
    value: f64,
    weight: f64,
}

impl MovingMean {
    /// A mean that is `value` until there are samples, each of which has a weight between 0 and 1.
    pub const fn starting_at(value: f64, weight: f64) -> Self {
        Self { value, weight }
    }

    /// Takes a sample.
    pub fn record(&mut self, sample: f64) {
        self.value = self.value * (1.0 - self.weight) + sample * self.weight;
    }

    /// The mean.
    pub fn value(&self) -> f64 {
        self.value
    }
}

/// A mean that is not known until there is a sample. The first samples count alike; from `1 / least_weight` samples on
/// it goes by about as many of the latest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunningMean {
    value: f64,
    samples: u32,
    least_weight: f64,
}

impl RunningMean {
    /// A mean without samples, each of which will have a weight of at least `least_weight`, between 0 and 1.
    pub const fn empty(least_weight: f64) -> Self {
        Self { value: 0.0, samples: 0, least_weight }
    }

    /// Takes a sample.
    pub fn record(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(self.least_weight);
        self.value += (sample - self.value) * weight;
    }

    /// The mean; `None` without a sample.
    pub fn value(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }
}
