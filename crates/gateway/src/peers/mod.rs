//! Messages between nodes over TCP.
//!
//! | module | owns |
//! |---|---|
//! | [`frames`] | one message on the wire, with its length |
//! | [`peer_link`] | connections to other nodes: messages sent, questions asked |

pub mod frames;
pub mod peer_link;
