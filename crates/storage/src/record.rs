//! Records of replica files: compressed values, prefixed with their length and checksum.

use std::io::{self, Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use xxhash_rust::xxh3::xxh3_64;

/// Size of a record's header: the body's length (4 bytes) and checksum (8 bytes), both little-endian.
const HEADER_BYTES: usize = 12;

/// Encodes a value as one record.
///
/// # Errors
///
/// The value cannot be serialized, or its compressed form is 4 GiB or longer.
pub(crate) fn encode<T: Serialize>(value: &T) -> io::Result<Vec<u8>> {
    let plain = postcard::to_stdvec(value).map_err(io::Error::other)?;
    let mut encoder = DeflateEncoder::new(vec![0; HEADER_BYTES], Compression::fast());
    encoder.write_all(&plain)?;
    let mut record = encoder.finish()?;
    let body = &record[HEADER_BYTES..];
    let length = u32::try_from(body.len()).map_err(io::Error::other)?;
    let checksum = xxh3_64(body);
    record[..4].copy_from_slice(&length.to_le_bytes());
    record[4..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    Ok(record)
}

/// Decodes the record at the start of `bytes`. Returns its value and its length in bytes, or `None` if `bytes` does not
/// start with a complete, valid record.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<(T, usize)> {
    let (header, rest) = bytes.split_at_checked(HEADER_BYTES)?;
    let (length, checksum) = header.split_at(4);
    let length = u32::from_le_bytes(length.try_into().ok()?) as usize;
    let body = rest.get(..length)?;
    if xxh3_64(body).to_le_bytes() != checksum {
        return None;
    }
    let mut plain = Vec::new();
    DeflateDecoder::new(body).read_to_end(&mut plain).ok()?;
    let value = postcard::from_bytes(&plain).ok()?;
    Some((value, HEADER_BYTES + length))
}
