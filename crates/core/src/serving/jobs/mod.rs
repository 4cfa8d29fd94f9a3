//! Batch jobs whose items pass through to workers unchanged.
//!
//! | module | owns |
//! |---|---|
//! | [`command`] | changes of the replicated table, and their outcomes |
//! | [`table`] | the replicated table: jobs, items, results at fixed positions |
//! | [`request`] | what other nodes ask of the table's leader |
//! | [`node`] | one replica of the table: the log, the table, and the acknowledgements |
//! | [`pending_reads`] | reads that wait for a result |
//! | [`disk_budget`] | whether a job fits on the disk |
//! | [`retention`] | when jobs that are over are forgotten |
//! | [`dispatch`] | which item runs next, and what follows from how a run ended |
//! | [`members`] | who should hold the table |
//! | [`placement`] | where the table may lie |
//! | [`pair`] | who goes on if one of two replicas is lost |
//! | [`load_aggregator`] | the online requests of all nodes, gathered at the leader |
//! | [`directory`] | the storing nodes, and which of them should hold the table |
//!
//! The table is changed only by commands in the order of the replicated log
//! ([`crate::replication`]). Applying a command is a pure function, and every command may arrive twice.

pub mod command;
pub mod directory;
pub mod disk_budget;
pub mod dispatch;
pub mod load_aggregator;
pub mod members;
pub mod node;
pub mod pair;
pub mod pending_reads;
pub mod placement;
pub mod request;
pub mod retention;
pub mod table;
