//! An online request: its attempts at workers, and the events of its answer.
//!
//! | module | owns |
//! |---|---|
//! | [`attempt`] | how an attempt ended and what may be done next |
//! | [`event_stream`] | splitting an answer into whole events |
//! | [`retry_budget`] | how many requests may be retried because their worker is slow |

pub mod attempt;
pub mod event_stream;
pub mod retry_budget;
