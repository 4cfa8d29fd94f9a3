//! Simulation, experiments and load generation for `stallmoor node`.
//!
//! | module | contents |
//! |---|---|
//! | [`chaos`] | load and checks against a running fleet under fault injection |
//! | [`experiment`] | the shared-fleet experiment on a virtual clock |
//! | [`fleet_client`] | a client of a running fleet |
//! | [`latency`] | latencies and their percentiles |
//! | [`load`] | open-loop load generation against a running fleet |
//! | [`simulation`] | deterministic simulation of many nodes with fault injection, checked against invariants |

pub mod chaos;
mod event_queue;
pub mod experiment;
pub mod fleet_client;
pub mod latency;
pub mod load;
pub mod simulation;
