//! Processes that serve requests and batch jobs passing through unchanged.
//!
//! A gateway takes callers' requests and passes them to workers; a storing node keeps batch jobs and,
//! while it leads, runs their items. All decisions are in [`stallmoor_core::gateway`] and
//! [`stallmoor_core::jobs`]; this crate has the sockets, clocks and disks. The wire of callers,
//! workers and the metadata store is spelled by an adapter ([`adapter::PlatformAdapter`]).
//!
//! | module | owns |
//! |---|---|
//! | [`process`] | a process put together, its stop and its reload |
//! | [`settings`] | the settings file |
//! | [`signals`] | the signals that a process gets |
//! | [`adapter`], [`dialect`], [`metadata`] | what an adapter brings |
//! | [`metadata_view`], [`metadata_watch`] | this node's view of the metadata store, and keeping it up to date |
//! | [`fleet_view`] | what this node believes of the fleet |
//! | [`server`] | the listeners for callers and for readiness |
//! | [`online`] | a request from admission to the last byte of its answer |
//! | [`attempt`], [`connections`] | one attempt at one worker, and kept connections |
//! | [`job_calls`], [`jobs_client`] | callers' calls about batch jobs, and the way to the leader |
//! | [`storage_service`], [`storage_server`], [`item_run`], [`disk_writer`] | a storing node at work |
//! | [`load_sharing`] | exchanging loads with the leader |
//! | [`registration`] | a storing node's record, and the founding of the group |
//! | [`peer_link`], [`frames`] | messages between nodes |
//! | [`headers`] | which headers are passed on |
//! | [`measures`] | counters, gauges and histograms |
//! | [`journal`], [`log_writer`] | structured log lines, and where they go |

pub mod adapter;
pub mod answer_body;
pub mod attempt;
pub mod clock;
pub mod connections;
pub mod dialect;
pub mod disk_budget;
pub mod disk_writer;
pub mod fleet_view;
pub mod frames;
pub mod headers;
pub mod item_run;
pub mod job_calls;
pub mod jobs_client;
pub mod journal;
pub mod load_sharing;
pub mod log_writer;
pub mod measures;
pub mod metadata;
pub mod metadata_view;
pub mod metadata_watch;
pub mod online;
pub mod peer_link;
pub mod process;
pub mod rate_limits;
pub mod refusal;
pub mod registration;
pub mod server;
pub mod settings;
pub mod signals;
pub mod storage_server;
pub mod storage_service;
