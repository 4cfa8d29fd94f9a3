//! Wire format of messages between nodes.
//!
//! Contains the Cap'n Proto schema, its generated code, and the codec between it and
//! [`PeerMessage`](stallmoor_core::peer_message::PeerMessage). A frame on a TCP stream is a 4-byte little-endian length
//! followed by one envelope of that length. A datagram is one envelope.
//!
//! Bytes from the network are not trusted: a message that is truncated, invalid or of another protocol version yields a
//! [`WireError`], never a panic.

mod codec;
mod generated;

pub use codec::{WireError, decode, decode_within, encode};

/// Version of the protocol. Messages of any other version are rejected.
pub const PROTOCOL_VERSION: u16 = 1;

/// Maximum length of a frame, without its length prefix.
pub const MAX_FRAME_BYTES: usize = 256 << 20;
