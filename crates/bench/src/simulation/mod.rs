//! Deterministic simulation: runs the nodes' production decision code on a virtual clock with injected faults.
//!
//! Everything around the nodes is modeled: the network, disks, key-value service, machine list, engines,
//! callers and operators. A run is determined by its seed. What callers observed is checked against what the
//! engines executed; each violation names its seed, and rerunning that seed reproduces it.
//!
//! | module | contents |
//! |---|---|
//! | `world` | the virtual clock, the event queue, and one run from start to report |
//! | `events` | event types |
//! | `nodes` | node processes: starts and crashes, disks, pauses and clocks |
//! | `effects` | execution of the effects that a node emits |
//! | `calls` | pending calls, and dispatch of their answers |
//! | `network` | delay, loss, duplication and partitions |
//! | `platform` | the key-value service and the machine list |
//! | `engines` | engines with their faults, and their execution counts |
//! | `callers` | online callers and the answers they received |
//! | `jobs` | batch submitters and the state of their jobs |
//! | `operators` | operators who apply configuration, sometimes concurrently |
//! | `faults` | fault injection: kinds, times and durations |
//! | `oracle` | the invariants and their tallies |
//! | `liveness` | conditions that must hold after the faults end |
//! | `report` | the results of a run |

mod callers;
mod calls;
mod effects;
mod engines;
mod events;
mod faults;
mod jobs;
mod liveness;
mod network;
mod nodes;
mod operators;
mod oracle;
mod platform;
mod report;
mod world;

pub use oracle::Tally;
pub use report::{LivenessTally, SimulationReport};
pub use world::{SimulationOptions, simulate};
