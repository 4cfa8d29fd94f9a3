//! The newest revision that this node knows. It never goes back.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::bundle::{Manifest, PartContents, PartDigest};
use super::fleet::FleetConfiguration;
use crate::hashing::hash_parts;

/// A revision in force.
#[derive(Clone, Debug)]
pub struct InForce {
    /// What it consists of.
    pub manifest: Manifest,
    /// Its parts.
    pub contents: PartContents,
    /// What it says.
    pub fleet: Arc<FleetConfiguration>,
}

/// What came of an offer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The revision is now in force.
    Taken,
    /// It is not newer than what is known.
    NotNewer,
    /// These parts are missing.
    Missing(Vec<PartDigest>),
    /// Its files don't pass the check. Only a node of another version could have accepted them.
    Invalid,
}

/// The newest revision that this node knows.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationReplica {
    in_force: Option<Arc<InForce>>,
    /// A newer manifest whose parts are still arriving.
    pending: Option<Manifest>,
    arrived: PartContents,
}

impl ConfigurationReplica {
    /// What is in force.
    pub fn in_force(&self) -> Option<&Arc<InForce>> {
        self.in_force.as_ref()
    }

    /// The revision in force; 0 for none.
    pub fn revision(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |in_force| in_force.manifest.revision)
    }

    /// The newest revision known, in force or still arriving.
    pub fn newest_known(&self) -> u64 {
        self.pending.as_ref().map_or(0, |manifest| manifest.revision).max(self.revision())
    }

    /// Takes a manifest. A revision that is not higher is ignored, whatever its source says.
    pub fn offer(&mut self, manifest: Manifest) -> OfferOutcome {
        if manifest.revision <= self.revision() {
            return OfferOutcome::NotNewer;
        }
        if self.pending.as_ref().is_none_or(|pending| pending.revision < manifest.revision) {
            self.pending = Some(manifest);
        }
        self.try_take()
    }

    /// Takes a part that was asked for. A content that doesn't match its digest is dropped.
    pub fn offer_part(&mut self, digest: PartDigest, content: Arc<str>) -> OfferOutcome {
        let wanted = self.missing().contains(&digest);
        if wanted && PartDigest::of(&content) == digest {
            self.arrived.insert(digest, content);
        }
        self.try_take()
    }

    /// Parts that the pending revision lacks.
    pub fn missing(&self) -> Vec<PartDigest> {
        let Some(pending) = &self.pending else { return Vec::new() };
        let wanted: BTreeSet<PartDigest> = pending.parts.iter().map(|part| part.digest).collect();
        wanted.into_iter().filter(|digest| self.part(*digest).is_none()).collect()
    }

    /// A part that is in force or has arrived.
    pub fn part(&self, digest: PartDigest) -> Option<&Arc<str>> {
        let held = self.in_force.as_ref().and_then(|in_force| in_force.contents.get(&digest));
        held.or_else(|| self.arrived.get(&digest))
    }

    /// A digest of what is in force, to compare nodes by.
    pub fn digest(&self) -> u64 {
        let Some(in_force) = &self.in_force else { return 0 };
        let parts: Vec<[u8; 8]> = in_force.manifest.parts.iter().map(|part| part.digest.0.to_le_bytes()).collect();
        let slices: Vec<&[u8]> = parts.iter().map(|digest| &digest[..]).collect();
        hash_parts(&slices)
    }

    fn try_take(&mut self) -> OfferOutcome {
        let Some(pending) = &self.pending else { return OfferOutcome::NotNewer };
        let missing = self.missing();
        if !missing.is_empty() {
            return OfferOutcome::Missing(missing);
        }
        let contents: PartContents =
            pending.parts.iter().filter_map(|part| Some((part.digest, self.part(part.digest)?.clone()))).collect();
        let manifest = pending.clone();
        self.pending = None;
        self.arrived.clear();
        let checked = manifest.assemble(&contents).ok().and_then(|bundle| bundle.check().ok());
        let Some(fleet) = checked else { return OfferOutcome::Invalid };
        self.in_force = Some(Arc::new(InForce { manifest, contents, fleet: Arc::new(fleet) }));
        OfferOutcome::Taken
    }
}
