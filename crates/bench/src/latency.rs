//! Latencies and their percentiles, for experiments and load.

use hdrhistogram::Histogram;
use serde::Serialize;

/// The longest latency that is told apart: an hour, in microseconds. Longer ones count as this.
const LONGEST_US: u64 = 3_600_000_000;
/// Significant decimal digits kept of a latency.
const DIGITS: u8 = 3;

/// Counts latencies, in microseconds.
#[derive(Clone, Debug)]
pub struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, LONGEST_US, DIGITS);
        Self(histogram.unwrap_or_else(|_| unreachable!("the bounds are constant and valid")))
    }
}

impl LatencyHistogram {
    /// Counts one latency, in microseconds.
    pub fn record(&mut self, latency_us: u64) {
        self.0.saturating_record(latency_us.max(1));
    }

    /// The percentiles of what was counted.
    pub fn percentiles(&self) -> Percentiles {
        let at = |quantile: f64| self.0.value_at_quantile(quantile) as f64 / 1_000.0;
        Percentiles { p50: at(0.50), p95: at(0.95), p99: at(0.99) }
    }
}

/// Percentiles, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// The median.
    pub p50: f64,
    /// 95 in 100 are lower.
    pub p95: f64,
    /// 99 in 100 are lower.
    pub p99: f64,
}
