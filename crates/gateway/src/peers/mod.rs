//! Messages between nodes over TCP.
//!
//! Relies on `stallmoor_wire` for the form of messages and on [`crate::sockets`] for connections. What arrives from
//! other nodes unasked is the listener's (`crate::storage::peer_listener`).
//!
//! | module | owns |
//! |---|---|
//! | [`frames`] | one message on the wire, with its length |
//! | [`peer_link`] | connections to other nodes: messages sent, questions asked |

pub mod frames;
pub mod peer_link;
