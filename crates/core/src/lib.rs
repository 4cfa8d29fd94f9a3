//! The decision logic of stallmoor, free of I/O.
//!
//! Modules are written as state machines that take an event and the current time and return effects. The crate uses no
//! sockets, clocks, threads or unseeded randomness, so that simulations run the same code as a live node and every
//! simulation run is determined by its seed.
//!
//! Two products share the crate: `stallmoor gateway` and `stallmoor storage`, which serve requests to workers on a
//! user's platform, and `stallmoor node`, which forms a self-contained fleet.
//!
//! | module | used by | contents |
//! |---|---|---|
//! | [`serving`] | gateways and storage nodes | online requests and batch jobs that are forwarded unchanged |
//! | [`node`] | `stallmoor node` | configuration files, engines, partitions, and the node composed of them |
//! | [`replication`] | both | the replicated log of a group (Raft) and the repair of its membership |
//! | [`peer_message`] | both | messages between nodes |
//! | [`backoff`], [`retry_budget`] | both | delays between retries and limits on their number |
//! | [`moving_mean`] | both | moving averages |
//! | [`identity`], [`time`], [`hashing`] | both | identifiers, timestamps and durations, stable hashes |
//! | [`error`], [`log_event`] | both | error kinds and numbered log events |

pub mod backoff;
mod byte_string;
pub mod error;
pub mod hashing;
pub mod identity;
pub mod log_event;
pub mod moving_mean;
pub mod node;
pub mod peer_message;
pub mod replication;
pub mod retry_budget;
pub mod serving;
pub mod time;
