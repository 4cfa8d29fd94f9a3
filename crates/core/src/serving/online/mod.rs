//! An online request: its attempts at workers, and the events of its answer.
//!
//! | module | owns |
//! |---|---|
//! | [`attempt`] | how an attempt ended and what may be done next |
//! | [`event_stream`] | splitting an answer into whole events |

pub mod attempt;
pub mod event_stream;

use crate::retry_budget::RetryBudgetLimits;

/// Retries of requests whose worker is merely slow. In the long run 3 of 100 requests are retried, so that under
/// overload, when every worker is slow, retries add no more than that to the load; 8 are saved up, for the requests
/// that one worker holds when it stalls. Not measured.
pub const RETRY_LIMITS: RetryBudgetLimits = RetryBudgetLimits { deposit: 0.03, capacity: 8.0, initial: 8.0 };
