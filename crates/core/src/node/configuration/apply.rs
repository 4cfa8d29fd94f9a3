//! The state machine that commits an operator's configuration change.
//!
//! The parts are written first, each under its digest, so repeating a write is idempotent. The change
//! is then committed by one compare-and-swap of the manifest against the version that was read. If a
//! response is lost, the manifest is read again: it lists the IDs of the most recent changes.

use super::bundle::{ApplyId, Bundle, Manifest, PartDigest};
use crate::time::{Millis, Timestamp};

/// Maximum duration of a change.
const APPLY_TIMEOUT: Millis = Millis(10_000);

/// The next operation that the caller must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyStep {
    /// Read the manifest.
    ReadManifest,
    /// Write a part unless it already exists.
    WritePart(PartDigest),
    /// Replace the manifest if its stored version is still `expected`.
    SwapManifest {
        /// The version that was read; 0 if no manifest exists.
        expected: u64,
        /// The new manifest.
        manifest: Manifest,
    },
    /// The change is complete; no further operation is needed.
    Done(ApplyOutcome),
}

/// The final result of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change was committed with this manifest.
    Accepted(Manifest),
    /// The files are identical to the current revision.
    Unchanged(Manifest),
    /// The current revision differs from the one the change was based on.
    Conflict {
        /// The current revision.
        current: u64,
    },
    /// The key-value service is unreachable and no swap was sent.
    Unavailable,
    /// A swap was sent, but its result could not be determined.
    Unknown,
}

/// The response of the key-value service to a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyAnswer {
    /// The stored version and manifest; `None` if no manifest exists yet.
    Manifest(Option<(u64, Manifest)>),
    /// The part is stored.
    PartWritten,
    /// The manifest was replaced.
    Swapped,
    /// The stored version differs from the expected one.
    VersionMismatch,
    /// The call failed or timed out. The operation may have taken effect.
    NoAnswer,
}

/// An operator's change in progress.
#[derive(Clone, Debug)]
pub struct ConfigurationApply {
    id: ApplyId,
    bundle: Bundle,
    expected_revision: Option<u64>,
    deadline: Timestamp,
    unwritten: Vec<PartDigest>,
    base: Option<(u64, Manifest)>,
    /// Whether a swap was sent, in which case the change may have taken effect.
    swap_sent: bool,
}

impl ConfigurationApply {
    /// Creates a change. If `expected_revision` is given, the change replaces only that revision.
    pub fn new(id: ApplyId, bundle: Bundle, expected_revision: Option<u64>, now: Timestamp) -> Self {
        let unwritten = bundle.parts().into_keys().collect();
        let deadline = now + APPLY_TIMEOUT;
        Self { id, bundle, expected_revision, deadline, unwritten, base: None, swap_sent: false }
    }

    /// Returns the ID of the change.
    pub fn id(&self) -> ApplyId {
        self.id
    }

    /// Returns the files to apply.
    pub fn bundle(&self) -> &Bundle {
        &self.bundle
    }

    /// Returns whether the current step writes a part.
    pub fn writes_parts(&self) -> bool {
        self.base.is_some() && !self.unwritten.is_empty()
    }

    /// Returns the time at which the change times out.
    pub fn deadline(&self) -> Timestamp {
        self.deadline
    }

    /// Returns the first step.
    pub fn begin(&self) -> ApplyStep {
        ApplyStep::ReadManifest
    }

    /// Returns the outcome of the change if it times out now.
    pub fn timeout_outcome(&self) -> ApplyOutcome {
        if self.swap_sent { ApplyOutcome::Unknown } else { ApplyOutcome::Unavailable }
    }

    /// Processes the response to the last step and returns the next step.
    pub fn on_answer(&mut self, answer: ApplyAnswer, now: Timestamp) -> ApplyStep {
        if now >= self.deadline {
            return ApplyStep::Done(self.timeout_outcome());
        }
        match answer {
            ApplyAnswer::Manifest(stored) => self.on_manifest(stored),
            ApplyAnswer::PartWritten => {
                self.unwritten.pop();
                self.write_or_swap()
            }
            ApplyAnswer::Swapped => self.accepted(),
            ApplyAnswer::VersionMismatch => ApplyStep::ReadManifest,
            ApplyAnswer::NoAnswer if self.swap_sent => ApplyStep::ReadManifest,
            ApplyAnswer::NoAnswer if self.base.is_none() => ApplyStep::ReadManifest,
            ApplyAnswer::NoAnswer => self.write_or_swap(),
        }
    }

    fn on_manifest(&mut self, stored: Option<(u64, Manifest)>) -> ApplyStep {
        let (version, manifest) = stored.unwrap_or_default();
        if manifest.revision_of(self.id).is_some() {
            return ApplyStep::Done(ApplyOutcome::Accepted(manifest));
        }
        let current = manifest.revision;
        if self.expected_revision.is_some_and(|expected| expected > current) {
            // Stale read: the operator or this change has already seen a later revision.
            return ApplyStep::ReadManifest;
        }
        if self.expected_revision.is_some_and(|expected| expected != current) {
            return ApplyStep::Done(ApplyOutcome::Conflict { current });
        }
        if current > 0 && manifest.parts == self.bundle.references() {
            return ApplyStep::Done(ApplyOutcome::Unchanged(manifest));
        }
        // Without an expected revision, the change is based on the first revision read.
        self.expected_revision = Some(current);
        self.base = Some((version, manifest));
        self.write_or_swap()
    }

    fn write_or_swap(&mut self) -> ApplyStep {
        if let Some(digest) = self.unwritten.last() {
            return ApplyStep::WritePart(*digest);
        }
        let (expected, base) = self.base.clone().unwrap_or_default();
        let manifest = base.next(self.id, self.bundle.references());
        self.swap_sent = true;
        ApplyStep::SwapManifest { expected, manifest }
    }

    fn accepted(&self) -> ApplyStep {
        let base = self.base.as_ref().map(|(_, manifest)| manifest.clone()).unwrap_or_default();
        ApplyStep::Done(ApplyOutcome::Accepted(base.next(self.id, self.bundle.references())))
    }
}
