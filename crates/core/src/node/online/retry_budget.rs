//! A budget that keeps retries a small share of requests, so that they can't become a storm.

/// Retries earned by one request.
const EARNED_PER_REQUEST: f64 = 0.2;
/// Most retries saved up.
const MOST_SAVED: f64 = 50.0;
/// What a node starts with.
const INITIAL: f64 = 10.0;

/// The budget of one node.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: INITIAL }
    }
}

impl RetryBudget {
    /// A request came in.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_REQUEST).min(MOST_SAVED);
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
