//! A running node: the decision code of `stallmoor-core` between real sockets, clocks and disks.
//!
//! | module | owns |
//! |---|---|
//! | [`settings`] | the node's settings file |
//! | [`running`] | starting the parts and stopping them |
//! | `actor` | the way from the actor runtime to a state that takes messages |
//! | `driver` | the actor that feeds events to the decision code and carries out its effects |
//! | `streams` | the actor that holds the streams from engines |
//! | `transport` | messages between nodes over TCP and UDP |
//! | `callers` | answers on their way to callers |
//! | `http` | the interface for callers and operators |

mod actor;
mod callers;
mod clock;
mod driver;
mod events;
mod http;
pub mod running;
pub mod settings;
mod streams;
mod transport;

pub use running::{NodeError, RunningNode, start};
pub use settings::{NodeFileSettings, parse_settings};
