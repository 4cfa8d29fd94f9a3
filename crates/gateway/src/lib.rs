//! The programs `stallmoor gateway` and `stallmoor storage`: serving requests and batch jobs that pass through
//! unchanged, on the platform of the users.
//!
//! A gateway takes callers' requests and passes them to workers; a storing node keeps batch jobs and, while it leads,
//! runs their items. Decisions are in [`stallmoor_core::serving`]; this crate has the sockets, clocks and disks. How
//! callers, workers and the metadata store spell things is known to an adapter alone ([`adapter`]).
//!
//! A room relies only on those above it, but for one: the exchanges of [`leader`] use the way to the leader that
//! [`batch`] keeps ([`batch::job_calls::JobCalls`]).
//!
//! | room | owns |
//! |---|---|
//! | [`sockets`], [`clock`] | how sockets are set up and connections accepted; the two clocks of a node |
//! | [`http`] | answers, refusals and plain listeners |
//! | [`observe`] | log lines and metrics |
//! | [`adapter`] | what an adapter to a platform brings |
//! | [`peers`] | messages between nodes |
//! | [`fleet`] | what this node knows of the fleet |
//! | [`leader`] | what a node exchanges with the leader of the job table |
//! | [`workers`] | talking to workers |
//! | [`online`] | a request from its admission to the last byte of its answer |
//! | [`batch`] | callers' calls about batch jobs |
//! | [`callers`] | the callers' listener |
//! | [`storage`] | a storing node at work |
//! | [`process`] | a process put together: settings, signals, start, stop, reload |

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
pub mod sockets;
pub mod storage;
pub mod workers;
