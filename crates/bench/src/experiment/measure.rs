//! What is counted, and the report.

use serde::Serialize;

use crate::latency::{LatencyHistogram, Percentiles};

/// What one run came to.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RunReport {
    /// Batch items completed a second.
    pub batch_items_per_s: f64,
    /// Slot time that batch used, as a share of what online left free while batch was waiting.
    pub idle_share: f64,
    /// From sending to the first token.
    pub ttft_ms: Percentiles,
    /// Between tokens.
    pub itl_ms: Percentiles,
    /// The worse of the two p99 over that of the run without batch.
    pub harm_p99: f64,
    /// Online requests that came to an engine whose slots were all taken, some by batch.
    pub online_behind_batch: u64,
    /// Batch items that were late.
    pub items_late: u64,
    /// Batch tokens that were generated and thrown away.
    pub wasted_tokens: u64,
    /// Online requests answered.
    pub online_answered: u64,
    /// Online requests refused or lost.
    pub online_refused: u64,
    /// Batch streams paused for online.
    pub batch_paused: u64,
    /// The mean difference between the load nodes went by and the true one, in sequences an engine.
    pub load_error: f64,
}

/// What both runs came to.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ExperimentReport {
    /// Whose fleet.
    pub profile: String,
    /// The seed.
    pub seed: u64,
    /// Without batch: the floor.
    pub online_only: RunReport,
    /// With batch.
    pub with_batch: RunReport,
}

/// What is counted in one run.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    /// First-token times, in microseconds.
    pub first_token: LatencyHistogram,
    /// Times between tokens, in microseconds.
    pub between: LatencyHistogram,
    /// Online requests answered.
    pub online_answered: u64,
    /// Online requests refused or lost.
    pub online_refused: u64,
    /// Batch items completed.
    pub items: u64,
    /// Of those, late ones.
    pub items_late: u64,
    /// Batch tokens that were thrown away.
    pub wasted_tokens: u64,
    /// Online requests behind batch.
    pub behind_batch: u64,
    /// Batch streams paused.
    pub paused: u64,
    /// Slot time free of online while batch waited, in slot microseconds.
    pub idle_slot_us: u64,
    /// Slot time used by batch meanwhile, in slot microseconds.
    pub batch_slot_us: u64,
    /// The sum and count of load errors.
    pub load_error: (f64, u64),
    /// The length of the load, in microseconds.
    pub load_us: u64,
}

impl Measured {
    /// The report, against the run without batch.
    pub fn report(&self, floor: &Measured) -> RunReport {
        let (ttft_ms, itl_ms) = (self.first_token.percentiles(), self.between.percentiles());
        let (floor_ttft, floor_itl) = (floor.first_token.percentiles(), floor.between.percentiles());
        let ratio = |own: f64, floor: f64| if floor > 0.0 { own / floor } else { 1.0 };
        let seconds = (self.load_us as f64 / 1_000_000.0).max(1e-9);
        let (error, samples) = self.load_error;
        RunReport {
            batch_items_per_s: self.items as f64 / seconds,
            idle_share: self.batch_slot_us as f64 / (self.idle_slot_us.max(1)) as f64,
            ttft_ms,
            itl_ms,
            harm_p99: ratio(ttft_ms.p99, floor_ttft.p99).max(ratio(itl_ms.p99, floor_itl.p99)),
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
