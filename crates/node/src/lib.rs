//! The I/O layer of a node: runs the state machine of `stallmoor-core` on sockets, clocks and disks.
//!
//! | module | contents |
//! |---|---|
//! | [`settings`] | the node's settings file |
//! | [`running`] | startup and shutdown |
//! | `actor` | adapter between the actor runtime and message handlers |
//! | `driver` | the actor that feeds events to the state machine and applies its effects |
//! | `streams` | the actor that runs engine streams |
//! | `transport` | messages between nodes over TCP and UDP |
//! | `callers` | delivery of answers to callers |
//! | `http` | the HTTP interface for callers and operators |

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
