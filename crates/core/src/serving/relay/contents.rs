//! Complete contents of the metadata store as a relay sends them to nodes that have just started.
//!
//! Records resemble each other and compress to about a tenth of their size. The compressed form is cached by the
//! relay and shared by the nodes that request it at the same time.

use std::io::{self, Read, Write};
use std::sync::Arc;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use super::item::{MetadataItem, Revision};
use super::message::{ChangeSet, ChangesAnswer};
use crate::time::Millis;

/// Maximum size of decompressed contents in bytes. Bounds the memory that a corrupt answer can take.
const MAX_UNPACKED_BYTES: u64 = 64 << 20;

/// Complete contents of a relay's view of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentsAnswer {
    /// Revision up to which the contents are complete.
    pub at: Revision,
    /// Age of the relay's view when it answered.
    pub age: Millis,
    /// Time for which the relay has been unable to reach the store; 0 while it can.
    pub away: Millis,
    /// Time for which the relay held the request.
    pub held: Millis,
    /// Serialized and compressed items.
    #[serde(with = "crate::byte_string")]
    pub packed: Arc<[u8]>,
}

/// Reason why contents cannot be decoded.
#[derive(Debug, Snafu)]
pub enum ContentsError {
    /// The compressed data is truncated or corrupt.
    #[snafu(display("contents that can't be unpacked: {source}"))]
    Damaged {
        /// Error of the decompressor.
        source: io::Error,
    },
    /// The decompressed data exceeds the size limit.
    #[snafu(display("contents of over {MAX_UNPACKED_BYTES} bytes"))]
    TooLarge,
    /// The decompressed data is not a list of items.
    #[snafu(display("contents that hold no items: {source}"))]
    Malformed {
        /// Error of the deserializer.
        source: postcard::Error,
    },
}

/// Serializes and compresses items.
pub fn pack(items: &[MetadataItem]) -> Arc<[u8]> {
    // Cannot fail: all lengths are known, and a vector accepts any amount of data.
    let plain = postcard::to_stdvec(items).unwrap_or_default();
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let packed = encoder.write_all(&plain).and_then(|()| encoder.finish());
    Arc::from(packed.unwrap_or_default())
}

impl ContentsAnswer {
    /// Decodes the contents as a change set that replaces the whole view.
    ///
    /// # Errors
    ///
    /// [`ContentsError`] if the contents cannot be decoded. Nothing is decoded partially.
    pub fn unpack(&self) -> Result<ChangesAnswer, ContentsError> {
        let mut plain = Vec::new();
        let mut decoder = DeflateDecoder::new(&*self.packed).take(MAX_UNPACKED_BYTES + 1);
        decoder.read_to_end(&mut plain).context(DamagedSnafu)?;
        if plain.len() as u64 > MAX_UNPACKED_BYTES {
            return TooLargeSnafu.fail();
        }
        let items: Vec<MetadataItem> = postcard::from_bytes(&plain).context(MalformedSnafu)?;
        let changes = ChangeSet { base: None, at: self.at, items };
        Ok(ChangesAnswer { changes, age: self.age, away: self.away, held: self.held })
    }
}
