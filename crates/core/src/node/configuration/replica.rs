//! The node's copy of the newest configuration revision. The revision never decreases.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::bundle::{Manifest, PartContents, PartDigest};
use super::fleet::FleetConfiguration;
use crate::hashing::hash_parts;

/// The active configuration revision.
#[derive(Clone, Debug)]
pub struct ActiveConfiguration {
    /// The manifest of the revision.
    pub manifest: Manifest,
    /// The contents of all parts of the manifest.
    pub contents: PartContents,
    /// The validated configuration.
    pub fleet: Arc<FleetConfiguration>,
}

/// The result of offering a manifest or a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The revision is now active.
    Activated,
    /// The revision is not newer than the active one, or no revision is pending.
    NotNewer,
    /// The pending revision still lacks these parts.
    Missing(Vec<PartDigest>),
    /// The files fail validation, which means that a node of another version accepted them.
    Invalid,
}

/// The active revision and a newer one whose parts are still being fetched.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationReplica {
    active: Option<Arc<ActiveConfiguration>>,
    /// A newer manifest whose parts are still being fetched.
    pending: Option<Manifest>,
    received: PartContents,
}

impl ConfigurationReplica {
    /// Returns the active revision, if any.
    pub fn active(&self) -> Option<&Arc<ActiveConfiguration>> {
        self.active.as_ref()
    }

    /// Returns the number of the active revision; 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.active.as_ref().map_or(0, |active| active.manifest.revision)
    }

    /// Returns the number of the newest revision, active or pending.
    pub fn newest_revision(&self) -> u64 {
        self.pending.as_ref().map_or(0, |manifest| manifest.revision).max(self.revision())
    }

    /// Processes a manifest. Revisions that are not newer than the active one are ignored.
    pub fn offer(&mut self, manifest: Manifest) -> OfferOutcome {
        if manifest.revision <= self.revision() {
            return OfferOutcome::NotNewer;
        }
        if self.pending.as_ref().is_none_or(|pending| pending.revision < manifest.revision) {
            self.pending = Some(manifest);
        }
        self.try_activate()
    }

    /// Processes a requested part. Content that doesn't match the digest is discarded.
    pub fn offer_part(&mut self, digest: PartDigest, content: Arc<str>) -> OfferOutcome {
        let wanted = self.missing().contains(&digest);
        if wanted && PartDigest::of(&content) == digest {
            self.received.insert(digest, content);
        }
        self.try_activate()
    }

    /// Returns the parts that the pending revision lacks.
    pub fn missing(&self) -> Vec<PartDigest> {
        let Some(pending) = &self.pending else { return Vec::new() };
        let wanted: BTreeSet<PartDigest> = pending.parts.iter().map(|part| part.digest).collect();
        wanted.into_iter().filter(|digest| self.part(*digest).is_none()).collect()
    }

    /// Returns a part of the active revision or a received part of the pending one.
    pub fn part(&self, digest: PartDigest) -> Option<&Arc<str>> {
        let active = self.active.as_ref().and_then(|active| active.contents.get(&digest));
        active.or_else(|| self.received.get(&digest))
    }

    /// Returns a digest of the active revision for comparison between nodes; 0 if there is none.
    pub fn digest(&self) -> u64 {
        let Some(active) = &self.active else { return 0 };
        let parts: Vec<[u8; 8]> = active.manifest.parts.iter().map(|part| part.digest.0.to_le_bytes()).collect();
        let slices: Vec<&[u8]> = parts.iter().map(|digest| &digest[..]).collect();
        hash_parts(&slices)
    }

    fn try_activate(&mut self) -> OfferOutcome {
        let Some(pending) = &self.pending else { return OfferOutcome::NotNewer };
        let missing = self.missing();
        if !missing.is_empty() {
            return OfferOutcome::Missing(missing);
        }
        let contents: PartContents =
            pending.parts.iter().filter_map(|part| Some((part.digest, self.part(part.digest)?.clone()))).collect();
        let manifest = pending.clone();
        self.pending = None;
        self.received.clear();
        let checked = manifest.assemble(&contents).ok().and_then(|bundle| bundle.check().ok());
        let Some(fleet) = checked else { return OfferOutcome::Invalid };
        self.active = Some(Arc::new(ActiveConfiguration { manifest, contents, fleet: Arc::new(fleet) }));
        OfferOutcome::Activated
    }
}
