//! One operator's change, made accepted by one compare-and-swap of the manifest.
//!
//! The parts are written first, each under its digest; writing one again changes nothing. Then the
//! manifest is swapped against the version that was read. An answer that is lost is resolved by
//! reading the manifest back: it remembers the ids of the latest changes.

use super::bundle::{ApplyId, Bundle, Manifest, PartDigest};
use crate::time::{Millis, Timestamp};

/// How long a change may take before its outcome is called unknown.
const APPLY_TIMEOUT: Millis = Millis(10_000);

/// What the state machine wants done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyStep {
    /// Read the manifest.
    ReadManifest,
    /// Write a part, unless it is there.
    WritePart(PartDigest),
    /// Swap the manifest for the next, if its stored version is still `expected`.
    SwapManifest {
        /// The version that was read; 0 if there was none.
        expected: u64,
        /// The new manifest.
        manifest: Manifest,
    },
    /// The change is done.
    Done(ApplyOutcome),
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It was accepted.
    Accepted(Manifest),
    /// The set is what is in force already.
    Unchanged(Manifest),
    /// Another revision was accepted since the one the change was made against.
    Conflict {
        /// The revision now in force.
        current: u64,
    },
    /// The key-value service can't be reached, and nothing was swapped.
    Unavailable,
    /// The swap was sent and its outcome could not be learned.
    Unknown,
}

/// The answer of the key-value service to a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyAnswer {
    /// The stored manifest and its version; `None` if there is none yet.
    Manifest(Option<(u64, Manifest)>),
    /// A part is written.
    PartWritten,
    /// The swap took effect.
    Swapped,
    /// The stored version was another.
    VersionMismatch,
    /// No answer came, or an error. The step may have taken effect.
    NoAnswer,
}

/// One operator's change under way.
#[derive(Clone, Debug)]
pub struct ConfigurationApply {
    id: ApplyId,
    bundle: Bundle,
    expected_revision: Option<u64>,
    deadline: Timestamp,
    unwritten: Vec<PartDigest>,
    base: Option<(u64, Manifest)>,
    /// Whether a swap was ever sent, so that the change may be in force.
    swap_sent: bool,
}

impl ConfigurationApply {
    /// Starts a change. With `expected_revision`, only that revision may be replaced.
    pub fn new(id: ApplyId, bundle: Bundle, expected_revision: Option<u64>, now: Timestamp) -> Self {
        let unwritten = bundle.parts().into_keys().collect();
        let deadline = now + APPLY_TIMEOUT;
        Self { id, bundle, expected_revision, deadline, unwritten, base: None, swap_sent: false }
    }

    /// The change's id.
    pub fn id(&self) -> ApplyId {
        self.id
    }

    /// The set of files.
    pub fn bundle(&self) -> &Bundle {
        &self.bundle
    }

    /// Whether the step under way writes a part.
    pub fn writes_parts(&self) -> bool {
        self.base.is_some() && !self.unwritten.is_empty()
    }

    /// When the change is given up.
    pub fn deadline(&self) -> Timestamp {
        self.deadline
    }

    /// The first step.
    pub fn begin(&self) -> ApplyStep {
        ApplyStep::ReadManifest
    }

    /// How the change ends if it is given up now.
    pub fn give_up(&self) -> ApplyOutcome {
        if self.swap_sent { ApplyOutcome::Unknown } else { ApplyOutcome::Unavailable }
    }

    /// Takes the answer to the last step and says what to do next.
    pub fn on_answer(&mut self, answer: ApplyAnswer, now: Timestamp) -> ApplyStep {
        if now >= self.deadline {
            return ApplyStep::Done(self.give_up());
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
            // A stale read: the operator, or this change itself, saw a later revision.
            return ApplyStep::ReadManifest;
        }
        if self.expected_revision.is_some_and(|expected| expected != current) {
            return ApplyStep::Done(ApplyOutcome::Conflict { current });
        }
        if current > 0 && manifest.parts == self.bundle.references() {
            return ApplyStep::Done(ApplyOutcome::Unchanged(manifest));
        }
        // Without an expected revision the first one read counts as the one the operator saw.
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
