//! Messages between nodes over TCP.
//!
//! Uses `stallmoor_wire` to encode messages and [`crate::sockets`] to connect. Incoming connections are handled by
//! `crate::storage::peer_listener`.
//!
//! | module | contents |
//! |---|---|
//! | [`frames`] | framing of messages on a stream |
//! | [`peer_link`] | connections to other nodes, for one-way messages and requests |

pub mod frames;
pub mod peer_link;
