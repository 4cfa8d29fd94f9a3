//! The life of one online request.

mod explanation;
mod request;
mod session_cache;

pub use explanation::{DecisionStep, Explanation, ExplanationStore};
pub use request::{Delivery, OnlineCall, OnlinePhase, OnlineRequest, PieceOutcome};
pub use session_cache::SessionCache;

use crate::retry_budget::RetryBudgetLimits;

/// Retries of one node: one for every five requests in the long run, 50 saved up, 10 at the start.
pub(super) const RETRY_LIMITS: RetryBudgetLimits = RetryBudgetLimits { deposit: 0.2, capacity: 50.0, initial: 10.0 };
