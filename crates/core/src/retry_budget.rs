//! A retry budget: keeps retries a small share of requests, so that they can't become a storm under overload.

/// How a budget fills. All figures are in tokens; a retry costs one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// What each request pays in.
    pub deposit: f64,
    /// The most that is saved up.
    pub capacity: f64,
    /// What there is at the start.
    pub initial: f64,
}

/// Retries that may be made now.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    tokens: f64,
}

impl RetryBudget {
    /// A budget at its start.
    pub const fn new(limits: RetryBudgetLimits) -> Self {
        Self { limits, tokens: limits.initial }
    }

    /// A request came in.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.limits.deposit).min(self.limits.capacity);
    }

    /// Whether a retry may be made.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// A retry was made, whether or not there was a token for it.
    pub fn withdraw(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Takes a token for a retry. Returns false, and takes nothing, if there is none.
    pub fn try_withdraw(&mut self) -> bool {
        let has_token = self.has_token();
        if has_token {
            self.withdraw();
        }
        has_token
    }
}
