//! Decisions of stallmoor, and nothing else.
//!
//! Every module here is a state machine: an event and the current time go in, effects come out.
//! There are no sockets, clocks, threads or hidden randomness in this crate, so that the simulation
//! and the running node drive exactly the same code, and a run is a function of its seed.
//!
//! Two products share the crate. `stallmoor gateway` and `stallmoor storage` run before workers on the users'
//! platform; `stallmoor node` is the product's own fleet.
//!
//! | module | serves | owns |
//! |---|---|---|
//! | [`serving`] | gateways and storing nodes | requests and batch jobs that pass through unchanged |
//! | [`node`] | `stallmoor node` | the operators' files, engines, partitions, and one node composed of them |
//! | [`replication`] | both | the replicated log of one group, after Raft, and the repair of its membership |
//! | [`peer_message`] | both | messages between nodes |
//! | [`backoff`], [`retry_budget`] | both | waits between retries, and how many there may be |
//! | [`moving_mean`] | both | what a figure usually is, by its latest samples |
//! | [`identity`], [`time`], [`hashing`] | both | identities, points in time and spans, hashes |
//! | [`error`], [`log_event`] | both | the closed list of refusals, the numbered log events |

pub mod backoff;
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
