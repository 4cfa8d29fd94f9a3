//! Sending online requests and batch items to workers.
//!
//! | module | contents |
//! |---|---|
//! | [`answer_memory`] | the memory that long answers hold together |
//! | [`answer_reader`] | reading the bodies of answers within their limits |
//! | [`attempt`] | a single attempt at a worker, from connecting to the head of the answer |
//! | [`crash_check`] | detecting worker crashes after interrupted requests |
//! | [`informational_heads`] | the limit on informational heads before an answer |
//! | [`permits`] | permits to send requests to workers that have just started |
//! | [`suspicion`] | the evidence on failing workers, and the log of suspicions |
//! | [`connections`] | the connection pool and its limit per worker |

pub mod answer_memory;
pub mod answer_reader;
pub mod attempt;
pub mod connections;
pub mod crash_check;
pub mod informational_heads;
pub mod permits;
pub mod suspicion;
