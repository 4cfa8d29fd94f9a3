//! The representation of a set of configuration files in the key-value service and between nodes.
//!
//! Each file is an immutable part, stored under the digest of its content. The manifest lists the
//! parts, and a change is committed by a compare-and-swap of the manifest alone. A change to one file
//! transfers only that part.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::check::check_files;
use super::fleet::FleetConfiguration;
use super::reader::{ConfigurationError, SourceFile};
use crate::hashing::hash_parts;

/// Maximum number of recent changes listed in a manifest. The list tells whether a change whose response was lost
/// took effect.
pub const MAX_RECENT_APPLIES: usize = 64;

/// The digest of a part's content, which identifies the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartDigest(pub u64);

/// Identifies an operator's change. Chosen at random by the client that submits it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ApplyId(pub u64);

/// A reference to a file by name and content digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReference {
    /// The file's name.
    pub name: String,
    /// The digest of the file's content.
    pub digest: PartDigest,
}

/// The contents of one configuration revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The revision number, starting at 1 and incremented by each accepted change.
    pub revision: u64,
    /// The files, sorted by name.
    pub parts: Vec<PartReference>,
    /// The most recent changes with the revision that each created, newest last.
    pub applies: Vec<(ApplyId, u64)>,
}

/// The contents of parts, keyed by digest.
pub type PartContents = BTreeMap<PartDigest, Arc<str>>;

/// A set of configuration files.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bundle {
    /// File contents, keyed by file name.
    pub files: BTreeMap<String, Arc<str>>,
}

impl PartDigest {
    /// Computes the digest of `content`.
    pub fn of(content: &str) -> Self {
        Self(hash_parts(&[content.as_bytes()]))
    }
}

impl Bundle {
    /// Validates the files and returns the resulting configuration.
    ///
    /// # Errors
    ///
    /// Returns all errors of all files.
    pub fn check(&self) -> Result<FleetConfiguration, Vec<ConfigurationError>> {
        let files: Vec<SourceFile> =
            self.files.iter().map(|(name, text)| SourceFile { name: name.clone(), text: text.to_string() }).collect();
        check_files(&files)
    }

    /// Returns the contents of the files, keyed by digest.
    pub fn parts(&self) -> PartContents {
        self.files.values().map(|content| (PartDigest::of(content), content.clone())).collect()
    }

    /// Returns references to the files, sorted by name.
    pub fn references(&self) -> Vec<PartReference> {
        self.files
            .iter()
            .map(|(name, content)| PartReference { name: name.clone(), digest: PartDigest::of(content) })
            .collect()
    }
}

impl Manifest {
    /// Returns the manifest that results from applying a change to this one.
    pub fn next(&self, apply: ApplyId, parts: Vec<PartReference>) -> Self {
        let revision = self.revision + 1;
        let mut applies = self.applies.clone();
        applies.push((apply, revision));
        let excess = applies.len().saturating_sub(MAX_RECENT_APPLIES);
        applies.drain(..excess);
        Self { revision, parts, applies }
    }

    /// Returns the revision that a change created, if the change is among the recent ones.
    pub fn revision_of(&self, apply: ApplyId) -> Option<u64> {
        self.applies.iter().find(|(id, _)| *id == apply).map(|(_, revision)| *revision)
    }

    /// Assembles the files of this manifest, or returns the first part that `contents` lacks.
    pub fn assemble(&self, contents: &PartContents) -> Result<Bundle, PartDigest> {
        let mut bundle = Bundle::default();
        for part in &self.parts {
            let content = contents.get(&part.digest).ok_or(part.digest)?;
            bundle.files.insert(part.name.clone(), content.clone());
        }
        Ok(bundle)
    }
}
