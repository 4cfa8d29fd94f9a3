//! Items of the metadata store.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A revision of the metadata store: one counter that rises with each change of any key.
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

/// What is under a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyState {
    /// A value.
    Present(Arc<[u8]>),
    /// Nothing: the key was removed, or never was.
    Removed,
    /// Nothing: the key was missing when a node reached the store again after an outage. Its owner may write it again.
    Lapsed,
}

/// A key at a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MetadataItem {
    /// The key.
    pub key: Arc<str>,
    /// What is under it.
    pub state: KeyState,
    /// The revision of its last change; 0 if it never was.
    pub revision: Revision,
}

impl MetadataItem {
    /// The value, if there is one.
    pub fn value(&self) -> Option<&[u8]> {
        match &self.state {
            KeyState::Present(value) => Some(value),
            KeyState::Removed | KeyState::Lapsed => None,
        }
    }
}
