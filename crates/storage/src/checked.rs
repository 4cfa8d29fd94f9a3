//! Encoding of values that are prefixed with a checksum.

use serde::Serialize;
use serde::de::DeserializeOwned;
use xxhash_rust::xxh3::xxh3_64;

const CHECKSUM_BYTES: usize = 8;

/// The checksum of a value does not match, or the value cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Damaged;

/// Encodes a value, prefixed with its checksum.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let body = postcard::to_stdvec(value).unwrap_or_default();
    let mut bytes = Vec::with_capacity(CHECKSUM_BYTES + body.len());
    bytes.extend_from_slice(&xxh3_64(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Verifies the checksum of a value and decodes it.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Damaged> {
    let (checksum, body) = bytes.split_at_checked(CHECKSUM_BYTES).ok_or(Damaged)?;
    if xxh3_64(body).to_le_bytes() != checksum {
        return Err(Damaged);
    }
    postcard::from_bytes(body).map_err(|_| Damaged)
}
