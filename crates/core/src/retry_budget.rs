//! A retry budget: limits retries to a fraction of the requests, to prevent retry storms under overload.

/// The limits of a retry budget, in tokens. Each retry costs one token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Tokens added by each request.
    pub deposit: f64,
    /// Maximum number of accumulated tokens.
    pub capacity: f64,
    /// Tokens available at the start.
    pub initial: f64,
}

/// A token bucket that is filled by requests and drained by retries.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a budget with the initial number of tokens.
    pub const fn new(limits: RetryBudgetLimits) -> Self {
        Self { limits, tokens: limits.initial }
    }

    /// Adds the tokens for one request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.limits.deposit).min(self.limits.capacity);
    }

    /// Returns whether a retry is permitted.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Removes a token for a retry that was made regardless of the budget. The budget does not become negative.
    pub fn withdraw(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Removes a token for a retry. Returns false and removes nothing if no token is available.
    pub fn try_withdraw(&mut self) -> bool {
        let has_token = self.has_token();
        if has_token {
            self.withdraw();
        }
        has_token
    }
}
