//! The workers as this node knows them, and the choice among them.
//!
//! Owns what one node believes of each worker; relies on the metadata store's records for which there are, on the ends of
//! the node's own attempts, and on the load reports of other nodes.
//!
//! | module | owns |
//! |---|---|
//! | [`table`] | which workers there are, and which may be sent requests |
//! | `worker` | what is believed of one worker |
//! | `activity` | which workers anything moves at |
//! | `loads` | how many requests are at each worker |
//! | `health` | ejection of workers that failed, slowness, what the end of an attempt says |
//! | [`choice`] | the choice of a worker for a request or a batch item |
//! | [`cold_start`] | workers that have just started, and this node's permits to send them requests |
//! | [`permit_grants`] | the leader's side of such permits |
//! | `evacuation` | zones whose workers get nothing by the operator's order |
//! | `cost` | what it costs to send a request to a worker |
//! | [`load_report`] | what nodes report to each other, and how often |
//! | [`load_in_transit`] | requests that other nodes placed since their last report |
//! | [`prefix_cache`] | which prompt parts a worker is believed to have cached |
//! | [`service_times`] | how long the workers of a service take |
//! | [`connection_limit`] | how many connections one node opens to a worker |

mod activity;
pub mod choice;
pub mod cold_start;
pub mod connection_limit;
mod cost;
mod evacuation;
mod health;
pub mod load_in_transit;
pub mod load_report;
mod loads;
pub mod permit_grants;
pub mod prefix_cache;
pub mod service_times;
pub mod table;
pub mod worker;

pub use choice::{Choice, WorkerQuery};
pub use load_report::{LoadReport, WorkerCount, WorkerReport};
pub use table::{WorkerChange, WorkerTable};
pub use worker::{Availability, Slowdown, WorkerId, WorkerIncarnation, WorkerLoad, WorkerRecord};
