//! A set of files as it is stored in the key-value service and spread between nodes.
//!
//! Each file is a part, stored under the digest of its content and never changed. The manifest names
//! the parts and is the only thing that a compare-and-swap accepts. A change of one file moves one
//! part, however large the set.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::check::check_files;
use super::fleet::FleetConfiguration;
use super::reader::{ConfigurationError, SourceFile};
use crate::hashing::hash_parts;

/// How many past changes a manifest remembers, to find out whether a change whose answer was lost took effect.
pub const REMEMBERED_APPLIES: usize = 64;

/// Names the content of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartDigest(pub u64);

/// Names one operator's change. Drawn at random by whoever makes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ApplyId(pub u64);

/// A file of the set, by name and digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReference {
    /// The file's name.
    pub name: String,
    /// The digest of its content.
    pub digest: PartDigest,
}

/// What one revision consists of.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Grows by one with each accepted change; the first is 1.
    pub revision: u64,
    /// The files, in order of name.
    pub parts: Vec<PartReference>,
    /// The latest changes and the revision each made, newest last.
    pub applies: Vec<(ApplyId, u64)>,
}

/// The parts of a set, by digest.
pub type PartContents = BTreeMap<PartDigest, Arc<str>>;

/// A set of files.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bundle {
    /// Content by file name.
    pub files: BTreeMap<String, Arc<str>>,
}

impl PartDigest {
    /// The digest of a content.
    pub fn of(content: &str) -> Self {
        Self(hash_parts(&[content.as_bytes()]))
    }
}

impl Bundle {
    /// Checks the set.
    ///
    /// # Errors
    ///
    /// All errors of all files.
    pub fn check(&self) -> Result<FleetConfiguration, Vec<ConfigurationError>> {
        let files: Vec<SourceFile> =
            self.files.iter().map(|(name, text)| SourceFile { name: name.clone(), text: text.to_string() }).collect();
        check_files(&files)
    }

    /// The parts, by digest.
    pub fn parts(&self) -> PartContents {
        self.files.values().map(|content| (PartDigest::of(content), content.clone())).collect()
    }

    /// The references to the parts, in order of name.
    pub fn references(&self) -> Vec<PartReference> {
        self.files
            .iter()
            .map(|(name, content)| PartReference { name: name.clone(), digest: PartDigest::of(content) })
            .collect()
    }
}

impl Manifest {
    /// The manifest that follows this one by a change.
    pub fn next(&self, apply: ApplyId, parts: Vec<PartReference>) -> Self {
        let revision = self.revision + 1;
        let mut applies = self.applies.clone();
        applies.push((apply, revision));
        let excess = applies.len().saturating_sub(REMEMBERED_APPLIES);
        applies.drain(..excess);
        Self { revision, parts, applies }
    }

    /// The revision that a change made, if it was accepted.
    pub fn revision_of(&self, apply: ApplyId) -> Option<u64> {
        self.applies.iter().find(|(id, _)| *id == apply).map(|(_, revision)| *revision)
    }

    /// The set that this manifest names, or the first part that `contents` lacks.
    pub fn assemble(&self, contents: &PartContents) -> Result<Bundle, PartDigest> {
        let mut bundle = Bundle::default();
        for part in &self.parts {
            let content = contents.get(&part.digest).ok_or(part.digest)?;
            bundle.files.insert(part.name.clone(), content.clone());
        }
        Ok(bundle)
    }
}
