//! Deterministic simulation: the nodes' real decision code on a virtual clock, under failure.
//!
//! Everything around the nodes is a model here: the network, the disks, the key-value service, the
//! machine list, the engines, callers and operators. A run is a function of its seed. What callers saw
//! is held against what the engines did; a violation names the seed, and the same seed replays it.
//!
//! | module | owns |
//! |---|---|
//! | `world` | the virtual clock, the queue of events, and one run from its start to its report |
//! | `events` | what can happen |
//! | `nodes` | where nodes run: their starts and ends, disks, pauses and clocks |
//! | `effects` | carrying out what a node wants |
//! | `calls` | who waits at which node, and who gets the answer |
//! | `network` | delays, losses, doubles and cuts |
//! | `platform` | the key-value service and the machine list |
//! | `engines` | engines with their faults, and their own count of runs |
//! | `callers` | online callers, and what they were answered |
//! | `jobs` | batch submitters, and what became of their jobs |
//! | `operators` | operators who apply files, at times at the same moment |
//! | `faults` | what breaks, when, and for how long |
//! | `oracle` | the invariants and their tallies |
//! | `liveness` | what must have come about after the failures |
//! | `report` | what a run came to |

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
