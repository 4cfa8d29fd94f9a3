//! The retry budget: how many requests may be retried at another worker because theirs is merely slow.
//!
//! A retry makes another worker read the prompt again. Under overload every worker is slow, and retries
//! would add load without end; so they come from a budget that requests pay into.

/// Retries that each request pays for: at most 3 of 100 requests are retried for slowness in the long run, so that the
/// load they add stays below that of one worker in thirty. Not measured.
const DEPOSIT: f64 = 0.03;
/// Most retries that are saved up: what one failing worker with as many requests needs at once. Not measured.
const MAX_TOKENS: f64 = 8.0;

/// Retries that may be made now, in tokens of one retry each.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// A request began.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + DEPOSIT).min(MAX_TOKENS);
    }

    /// Whether a retry may be made.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// A retry is made.
    pub fn withdraw(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }
}
