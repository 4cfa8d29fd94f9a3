//! Batch jobs, whose items are forwarded to workers unchanged.
//!
//! | module | contents |
//! |---|---|
//! | [`command`] | commands that change the replicated table, and their outcomes |
//! | [`table`] | the replicated table: jobs, items, and results at fixed positions |
//! | [`request`] | requests of other nodes to the leader of the table |
//! | [`node`] | one replica of the table: the log, the table, and the acknowledgments |
//! | [`pending_reads`] | reads that wait for a result |
//! | [`disk_budget`] | whether a job fits on the disk |
//! | [`retention`] | when finished jobs are removed |
//! | [`dispatch`] | the order in which items run, and the handling of ended runs |
//! | [`members`] | membership of the table's replication group |
//! | [`placement`] | the regions in which the table may be stored |
//! | [`pair`] | failover of a group with two replicas |
//! | [`load_aggregator`] | the online requests of all nodes, aggregated at the leader |
//! | [`outcome_aggregator`] | the failed and served runs of all nodes, aggregated at the leader |
//! | [`standstill`] | why accepted items make no progress, and when it is reported |
//! | [`directory`] | the registered storage nodes, and the initial members of the group |
//!
//! The table is changed only by commands, in the order of the replicated log ([`crate::replication`]). Applying a
//! command is a pure function, and every command may be applied twice.

pub mod command;
pub mod directory;
pub mod disk_budget;
pub mod dispatch;
pub mod load_aggregator;
pub mod members;
pub mod node;
pub mod outcome_aggregator;
pub mod pair;
pub mod pending_reads;
pub mod placement;
pub mod request;
pub mod retention;
pub mod standstill;
pub mod table;
