//! Items of the metadata store.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Revision of the metadata store: a counter that increases with each change of any key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for Revision {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// State of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyState {
    /// The key has this value.
    Present(#[serde(with = "crate::byte_string")] Arc<[u8]>),
    /// The key was removed or has never existed.
    Removed,
    /// The key was missing when a node reconnected to the store after an outage, in which its record may have
    /// expired. Its owner may write it again.
    Lapsed,
}

/// A key with its state and the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MetadataItem {
    /// Full key in the store.
    pub key: Arc<str>,
    /// State at `revision`.
    pub state: KeyState,
    /// Revision of the last change; 0 if the key has never existed.
    pub revision: Revision,
}

impl MetadataItem {
    /// Returns the value if the key is present.
    pub fn value(&self) -> Option<&[u8]> {
        match &self.state {
            KeyState::Present(value) => Some(value),
            KeyState::Removed | KeyState::Lapsed => None,
        }
    }
}
