//! Talking to workers, for online requests and batch items alike.
//!
//! | module | owns |
//! |---|---|
//! | [`attempt`] | one attempt at one worker: from a connection to the head of the answer |
//! | [`crash_check`] | whether a worker died under a request that broke off |
//! | [`permits`] | permits to send requests to workers that have just started |
//! | [`connections`] | kept connections, and how many a worker may have from this node |

pub mod attempt;
pub mod connections;
pub mod crash_check;
pub mod permits;
