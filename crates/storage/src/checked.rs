//! Values with a checksum before them.

use serde::Serialize;
use serde::de::DeserializeOwned;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of the checksum.
const CHECKSUM_BYTES: usize = 8;

/// A value failed its checksum, or can't be read although it passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Damaged;

/// Encodes a value, with its checksum first.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let body = postcard::to_stdvec(value).unwrap_or_default();
    let mut bytes = Vec::with_capacity(CHECKSUM_BYTES + body.len());
    bytes.extend_from_slice(&xxh3_64(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Decodes a value after verifying its checksum.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Damaged> {
    let (checksum, body) = bytes.split_at_checked(CHECKSUM_BYTES).ok_or(Damaged)?;
    if xxh3_64(body).to_le_bytes() != checksum {
        return Err(Damaged);
    }
    postcard::from_bytes(body).map_err(|_| Damaged)
}
