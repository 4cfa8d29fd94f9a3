//! Rules for admitting, shedding, retrying and resuming online requests.
//!
//! Routes come from [`configuration`](super::configuration); [`workers`](super::workers) selects the worker of each
//! attempt.
//!
//! | module | contents |
//! |---|---|
//! | [`admission`] | route lookup and authentication of callers |
//! | [`request_state`] | the state of one request: attempts so far, and what may be tried next |
//! | [`answer_limits`] | limits on the size of answers |
//! | [`answer_times`] | durations of complete answers, by route |
//! | [`attempt`] | attempt outcomes, and whether the request may have run |
//! | [`attribution`] | what attempts say about their workers |
//! | [`timeouts`] | timeouts after which a request switches to another worker |
//! | [`shedding`] | immediate refusal of new streams that would be late, and their `Retry-After` |
//! | [`event_stream`] | splitting an answer into complete events |
//! | [`stream_end`] | whether the end of an answer completes a stream |
//! | [`stream_progress`] | the progress of a stream, and which events are forwarded to the caller |

pub mod admission;
pub mod answer_limits;
pub mod answer_times;
pub mod attempt;
pub mod attribution;
pub mod event_stream;
pub mod request_state;
pub mod shedding;
pub mod stream_end;
pub mod stream_progress;
pub mod timeouts;

use crate::retry_budget::RetryBudgetLimits;

/// Limits on retries of requests whose worker is slow. At most 3% of requests are retried in the long run, which bounds
/// the extra load when all workers are slow. Bursts of up to 8 retries cover the requests of a single stalled worker.
pub const RETRY_LIMITS: RetryBudgetLimits = RetryBudgetLimits { deposit: 0.03, capacity: 8.0, initial: 8.0 };
