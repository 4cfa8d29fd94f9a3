//! Decisions of stallmoor, and nothing else.
//!
//! Every module here is a state machine: an event and the current time go in, effects come out.
//! There are no sockets, clocks, threads or hidden randomness in this crate, so that the simulation
//! and the running node drive exactly the same code, and a run is a function of its seed.
//!
//! | module | owns |
//! |---|---|
//! | [`configuration`] | the operators' files: parsing, checking, and which revision is in force |
//! | [`membership`] | which nodes are alive, after SWIM |
//! | [`replication`] | the replicated log of one group, after Raft |
//! | [`partition`] | the state each group replicates: jobs, items, results, marks, sessions |
//! | [`routing`] | engines, their load, and which one serves a request |
//! | [`scheduling`] | batch credits and the dispatch of batch items |
//! | [`online`] | the life of one online request, from admission to its last piece |
//! | [`control`] | founding and repair of replica groups |
//! | [`gateway`] | routes, workers and attempts of requests that pass through unchanged |
//! | [`jobs`] | batch jobs whose items pass through unchanged: their replicated table and their dispatch |
//! | [`quota`] | limits on what a tenant may ask over all gateways |
//! | [`relay`] | passing the metadata store's changes on between nodes |
//! | [`node`] | the composition of all of the above into one node |

pub mod configuration;
pub mod control;
pub mod error;
pub mod gateway;
pub mod hashing;
pub mod identity;
pub mod jobs;
pub mod log_event;
pub mod membership;
pub mod node;
pub mod online;
pub mod partition;
pub mod quota;
pub mod relay;
pub mod replication;
pub mod routing;
pub mod scheduling;
pub mod time;
