//! An online request: its admission, its attempts at workers, and the events of its answer.
//!
//! Owns every rule by which a request is admitted, shed, retried, resumed and given up; relies on
//! [`configuration`](super::configuration) for its route and on [`workers`](super::workers) for the choice of a worker.
//!
//! | module | owns |
//! |---|---|
//! | [`request_state`] | one request: what was tried, what may be tried next, when it is given up |
//! | [`attempt`] | how an attempt ended, and whether the request may have run |
//! | [`timeouts`] | how long an attempt is awaited before another worker is tried |
//! | [`shedding`] | which new streams are refused at once, and their `Retry-After` |
//! | [`retry_budget`] | how many requests may be retried because their worker is slow |
//! | [`event_stream`] | splitting an answer into whole events |
//! | [`stream_progress`] | how far a stream is, and which events of a worker go on to the caller |

pub mod attempt;
pub mod event_stream;
pub mod request_state;
pub mod retry_budget;
pub mod shedding;
pub mod stream_progress;
pub mod timeouts;
