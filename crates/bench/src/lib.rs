//! Measuring `stallmoor node`: simulation, experiments and load.
//!
//! | module | owns |
//! |---|---|
//! | [`chaos`] | load and checks against a running fleet that somebody breaks |
//! | [`experiment`] | the shared-fleet experiment on a virtual clock |
//! | [`fleet_client`] | a client of a running fleet |
//! | [`latency`] | latencies and their percentiles |
//! | [`load`] | open-loop load against a running fleet |
//! | [`simulation`] | many nodes on a virtual clock under failure, checked against an oracle |

pub mod chaos;
mod event_queue;
pub mod experiment;
pub mod fleet_client;
pub mod latency;
pub mod load;
pub mod simulation;
