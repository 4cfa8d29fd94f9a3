//! The programs `stallmoor gateway` and `stallmoor storage`, which serve online requests and batch jobs on the users'
//! platform and forward their contents unchanged.
//!
//! A gateway forwards callers' requests to workers. A storage node stores batch jobs and, while it is the leader, runs
//! their items. [`stallmoor_core::serving`] makes the decisions; this crate performs the I/O on sockets, clocks and
//! disks. Only an [`adapter`] knows the formats of callers, workers and the metadata store.
//!
//! Each module depends only on those above it in the table, with one exception: [`leader`] uses the leader client of
//! [`batch`] ([`batch::job_calls::JobCalls`]).
//!
//! | module | contents |
//! |---|---|
//! | [`sockets`], [`clock`] | socket options, listening and accepting; a node's clocks |
//! | [`http`] | answers, refusals and plain HTTP listeners |
//! | [`observe`] | log lines and metrics |
//! | [`adapter`] | the interface that a platform adapter implements |
//! | [`peers`] | messages between nodes |
//! | [`fleet`] | this node's view of the fleet |
//! | [`leader`] | exchanges with the leader of the job table |
//! | [`streams`] | the origins of streams, which decide where they are resumed |
//! | [`workers`] | connections and requests to workers |
//! | [`online`] | online requests, from admission to the last byte of the answer |
//! | [`batch`] | callers' requests about batch jobs |
//! | [`callers`] | the listener for callers |
//! | [`shutdown`] | the progress of a graceful shutdown |
//! | [`storage`] | the storage node |
//! | [`process`] | process setup: settings, signals, startup, shutdown, reload |

pub mod adapter;
pub mod batch;
pub mod callers;
pub mod clock;
pub mod fleet;
pub mod http;
pub mod leader;
pub mod observe;
pub mod online;
pub mod peers;
pub mod process;
pub mod shutdown;
pub mod sockets;
pub mod storage;
pub mod streams;
pub mod workers;
