//! The storage node, which stores one replica of the job table and runs batch items while it is the leader.
//!
//! | module | contents |
//! |---|---|
//! | [`service`] | the main task: replica, requests of other nodes, group membership, running items |
//! | [`item_run`] | one run of one item on a worker |
//! | [`disk_writer`] | the thread that writes the replicated log |
//! | [`kept_view`] | what the node knows of the metadata store, on its disk |
//! | [`peer_listener`] | the listener for connections of other nodes |
//! | [`registration`] | this node's record in the metadata store, and the bootstrap of the group |

pub mod disk_writer;
pub mod item_run;
pub mod kept_view;
pub mod peer_listener;
pub mod registration;
pub mod service;
