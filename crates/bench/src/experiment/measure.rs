//! Metrics of a run, and the report computed from them.

use serde::Serialize;

use crate::latency::{LatencyHistogram, Percentiles};

/// Results of one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RunReport {
    /// Batch items completed per second.
    pub batch_items_per_s: f64,
    /// Fraction of the slot time left free by online requests that batch used while batch items were waiting.
    pub idle_share: f64,
    /// Time from sending a request to its first token.
    pub ttft_ms: Percentiles,
    /// Intervals between consecutive tokens.
    pub itl_ms: Percentiles,
    /// Larger of the p99 ratios of `ttft_ms` and `itl_ms` to the run without batch.
    pub harm_p99: f64,
    /// Number of online requests that arrived at an engine whose slots were all in use, some of them by batch.
    pub online_behind_batch: u64,
    /// Number of batch items completed after their deadline.
    pub items_late: u64,
    /// Number of batch tokens generated and discarded.
    pub wasted_tokens: u64,
    /// Number of online requests answered.
    pub online_answered: u64,
    /// Number of online requests refused or lost.
    pub online_refused: u64,
    /// Number of batch streams paused in favor of online requests.
    pub batch_paused: u64,
    /// Mean absolute error of the nodes' load estimates, in sequences per engine.
    pub load_error: f64,
}

/// Results of the runs with and without batch.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ExperimentReport {
    /// Name of the profile.
    pub profile: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Run without batch, used as the baseline.
    pub online_only: RunReport,
    /// Run with batch.
    pub with_batch: RunReport,
}

/// Metrics collected during one run.
#[derive(Clone, Debug, Default)]
pub struct RunMetrics {
    /// Times to the first token.
    pub first_token: LatencyHistogram,
    /// Intervals between consecutive tokens.
    pub inter_token: LatencyHistogram,
    /// Number of online requests answered.
    pub online_answered: u64,
    /// Number of online requests refused or lost.
    pub online_refused: u64,
    /// Number of batch items completed.
    pub items: u64,
    /// Number of batch items completed after their deadline.
    pub items_late: u64,
    /// Number of batch tokens discarded.
    pub wasted_tokens: u64,
    /// Number of online requests that arrived at an engine whose slots were all in use, some of them by batch.
    pub behind_batch: u64,
    /// Number of batch streams paused.
    pub paused: u64,
    /// Slot time not used by online requests while batch items waited, in slot microseconds.
    pub idle_slot_us: u64,
    /// Slot time used by batch while batch items waited, in slot microseconds.
    pub batch_slot_us: u64,
    /// Sum and count of the load estimate errors.
    pub load_error: (f64, u64),
    /// Duration of the load, in microseconds.
    pub load_us: u64,
}

impl RunMetrics {
    /// Computes the report relative to the run without batch.
    pub fn report(&self, baseline: &RunMetrics) -> RunReport {
        let (ttft_ms, itl_ms) = (self.first_token.percentiles(), self.inter_token.percentiles());
        let (baseline_ttft, baseline_itl) = (baseline.first_token.percentiles(), baseline.inter_token.percentiles());
        let ratio = |value: f64, baseline: f64| if baseline > 0.0 { value / baseline } else { 1.0 };
        let seconds = (self.load_us as f64 / 1_000_000.0).max(1e-9);
        let (error, samples) = self.load_error;
        RunReport {
            batch_items_per_s: self.items as f64 / seconds,
            idle_share: self.batch_slot_us as f64 / (self.idle_slot_us.max(1)) as f64,
            ttft_ms,
            itl_ms,
            harm_p99: ratio(ttft_ms.p99, baseline_ttft.p99).max(ratio(itl_ms.p99, baseline_itl.p99)),
            online_behind_batch: self.behind_batch,
            items_late: self.items_late,
            wasted_tokens: self.wasted_tokens,
            online_answered: self.online_answered,
            online_refused: self.online_refused,
            batch_paused: self.paused,
            load_error: error / samples.max(1) as f64,
        }
    }
}
