//! A storing node: one replica of the job table, and the running of its items while this node leads.
//!
//! | module | owns |
//! |---|---|
//! | [`service`] | the replica at work: its log, its callers, its membership, the items that run |
//! | [`item_run`] | one run of one item at a worker |
//! | [`disk_writer`] | the thread that writes the log |
//! | [`peer_listener`] | the listener for other nodes |
//! | [`registration`] | this node's record in the metadata store, and the founding of the group |

pub mod disk_writer;
pub mod item_run;
pub mod peer_listener;
pub mod registration;
pub mod service;
