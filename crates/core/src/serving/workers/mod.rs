//! The workers as this node knows them, and the choice among them.
//!
//! | module | owns |
//! |---|---|
//! | [`table`] | all workers, and what this node notes of each |
//! | [`worker`] | one worker: its record, its load, what nodes report of it |
//! | [`choice`] | the choice of a worker for a request or a batch item |
//! | `cost` | what it costs to send a request to a worker |
//! | [`connection_limit`] | how many connections one node opens to a worker |
//! | [`load_in_transit`] | requests that other nodes placed since loads were gathered |
//! | [`prefix_cache`] | which prompt parts a worker is thought to hold |
//! | [`service_times`] | how long the workers of a service take |

pub mod choice;
pub mod connection_limit;
mod cost;
pub mod load_in_transit;
pub mod prefix_cache;
pub mod service_times;
pub mod table;
pub mod worker;

pub use choice::{Choice, WorkerAsk};
pub use table::{WorkerChange, WorkerTable};
pub use worker::{LoadReport, Standing, WorkerCount, WorkerId, WorkerLoad, WorkerRecord, WorkerReport};
