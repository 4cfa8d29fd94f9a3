//! Latency histograms and percentiles, for experiments and load.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Upper bound of recorded latencies (one hour); longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// Number of significant decimal digits recorded.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram of latencies in microseconds.
#[derive(Clone, Debug)]
pub struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        Self(histogram.unwrap_or_else(|_| unreachable!("the bounds are constant and valid")))
    }
}

impl LatencyHistogram {
    /// Records one latency in microseconds.
    pub fn record(&mut self, latency_us: u64) {
        self.0.saturating_record(latency_us.max(1));
    }

    /// Returns the percentiles of the recorded latencies.
    pub fn percentiles(&self) -> Percentiles {
        let at = |quantile: f64| self.0.value_at_quantile(quantile) as f64 / 1_000.0;
        Percentiles { p50: at(0.50), p95: at(0.95), p99: at(0.99) }
    }
}

/// Latency percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}
