//! State of online requests, their decision traces, and cached session records.

mod explanation;
mod request;
mod session_cache;

pub use explanation::{DecisionStep, Explanation, ExplanationStore};
pub use request::{ChunkOutcome, Delivery, OnlineCall, OnlinePhase, OnlineRequest};
pub use session_cache::SessionCache;

use crate::retry_budget::RetryBudgetLimits;

/// Retry budget of a node: one retry per five requests, with a burst of 50.
pub(super) const RETRY_BUDGET_LIMITS: RetryBudgetLimits =
    RetryBudgetLimits { deposit: 0.2, capacity: 50.0, initial: 10.0 };
