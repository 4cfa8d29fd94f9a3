//! An online request: its admission, its attempts at workers, and the events of its answer.
//!
//! Owns every rule by which a request is admitted, shed, retried, resumed and given up; relies on
//! [`configuration`](super::configuration) for its route and on [`workers`](super::workers) for the choice of a worker.
//!
//! | module | owns |
//! |---|---|
//! | [`admission`] | which requests are served, on which route and on whose behalf |
//! | [`request_state`] | one request: what was tried, what may be tried next, when it is given up |
//! | [`attempt`] | how an attempt ended, and whether the request may have run |
//! | [`timeouts`] | how long an attempt is awaited before another worker is tried |
//! | [`shedding`] | which new streams are refused at once, and their `Retry-After` |
//! | [`event_stream`] | splitting an answer into whole events |
//! | [`stream_progress`] | how far a stream is, and which events of a worker go on to the caller |

pub mod admission;
pub mod attempt;
pub mod event_stream;
pub mod request_state;
pub mod shedding;
pub mod stream_progress;
pub mod timeouts;

use crate::retry_budget::RetryBudgetLimits;

/// Retries of requests whose worker is merely slow. In the long run 3 of 100 requests are retried, so that under
/// overload, when every worker is slow, retries add no more than that to the load; 8 are saved up, for the requests
/// that one worker holds when it stalls.
pub const RETRY_LIMITS: RetryBudgetLimits = RetryBudgetLimits { deposit: 0.03, capacity: 8.0, initial: 8.0 };
