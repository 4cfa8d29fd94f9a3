//! The protocol between nodes: typed messages to bytes and back.
//!
//! Owns the Cap'n Proto schema, its generated code, and the codec between it and
//! [`PeerMessage`](stallmoor_core::peer_message::PeerMessage). A frame on a TCP stream is a length of four
//! bytes, little-endian, and that many bytes of one envelope; a datagram is one envelope.
//!
//! Bytes from the network are never trusted: a message that is truncated, of another version, or
//! holds what it must not is an [`WireError`], never a panic.

mod codec;
mod generated;

pub use codec::{WireError, decode, encode};

/// The version of the protocol. A node refuses messages of any other.
pub const PROTOCOL_VERSION: u16 = 1;

/// Most bytes in one frame.
pub const MAX_FRAME_BYTES: usize = 256 << 20;
