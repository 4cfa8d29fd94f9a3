//! Exponential back-off: waits that double with each failure in a row.
//!
//! Whoever retries owns the count of failures, resets it at a success, and adds jitter of its own where many nodes
//! would otherwise retry at the same moment.

use crate::time::Millis;

/// The waits after failures in a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    first: Millis,
    longest: Millis,
}

impl Backoff {
    /// Waits from `first` on, none longer than `longest`.
    pub const fn new(first: Millis, longest: Millis) -> Self {
        Self { first, longest }
    }

    /// The wait after a failure that `earlier` failures in a row came before.
    pub fn wait(self, earlier: u32) -> Millis {
        let doubled = self.first.0.saturating_mul(1_u64.checked_shl(earlier).unwrap_or(u64::MAX));
        Millis(doubled).min(self.longest)
    }
}
