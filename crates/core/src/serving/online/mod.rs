//! An online request: its attempts at workers, and the events of its answer.
//!
//! | module | owns |
//! |---|---|
//! | [`attempt`] | how an attempt ended and what may be done next |
//! | [`event_stream`] | splitting an answer into whole events |
//! | [`move_budget`] | how many requests may move away from slow workers |

pub mod attempt;
pub mod event_stream;
pub mod move_budget;
