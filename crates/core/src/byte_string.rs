//! Serializes shared byte strings as a whole.
//!
//! For use with `#[serde(with = "crate::byte_string")]`. The encoding is that of a sequence of bytes, which derived code
//! would write and read one byte at a time: too slow for the bodies of jobs and for snapshots.

use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serializer};
use serde_bytes::ByteBuf;

/// Serializes a byte string.
///
/// # Errors
///
/// Returns the error of the serializer.
pub fn serialize<S: Serializer>(bytes: &Arc<[u8]>, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

/// Deserializes a byte string.
///
/// # Errors
///
/// Returns the error of the deserializer.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Arc<[u8]>, D::Error> {
    Ok(Arc::from(ByteBuf::deserialize(deserializer)?.into_vec()))
}
