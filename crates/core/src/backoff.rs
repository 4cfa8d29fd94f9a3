//! Exponential backoff: delays that double with each consecutive failure.
//!
//! The caller counts the failures, resets the count on success, and adds jitter where many nodes could otherwise retry
//! at the same time.

use crate::time::Millis;

/// An exponential backoff policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    initial: Millis,
    max: Millis,
}

impl Backoff {
    /// Creates a policy whose delays start at `initial` and never exceed `max`.
    pub const fn new(initial: Millis, max: Millis) -> Self {
        Self { initial, max }
    }

    /// Returns the delay after a failure that follows `previous_failures` consecutive failures.
    pub fn wait(self, previous_failures: u32) -> Millis {
        let doubled = self.initial.0.saturating_mul(1_u64.checked_shl(previous_failures).unwrap_or(u64::MAX));
        Millis(doubled).min(self.max)
    }
}
