//! Decisions for requests that pass through unchanged: which route a request takes, which worker
//! serves it, and what follows from how an attempt ended.
//!
//! | module | owns |
//! |---|---|
//! | [`configuration`] | routes, services and limits as the operator wrote them |
//! | [`tenant`] | tenants, their keys and limits |
//! | [`request`] | what the decisions need to know of a request |
//! | [`prefix_cache`] | which prompt parts a worker is thought to hold |
//! | `cost` | what it costs to send a request to a worker |
//! | [`service_times`] | how long the workers of a service take |
//! | [`unseen_load`] | requests that other nodes placed since loads were gathered |
//! | [`worker`] | one worker: its record, what is believed of it, what nodes tell of it |
//! | [`workers`] | all workers, and what this node notes of each |
//! | [`choice`] | the choice of a worker for a request or a batch item |
//! | [`attempt`] | how an attempt ended and what may be done next |
//! | [`event_stream`] | splitting an answer into whole events |
//! | [`move_budget`] | how many requests may move away from slow workers |

pub mod attempt;
pub mod choice;
pub mod configuration;
mod cost;
pub mod event_stream;
pub mod move_budget;
pub mod prefix_cache;
pub mod request;
pub mod service_times;
pub mod tenant;
pub mod unseen_load;
pub mod worker;
pub mod workers;
