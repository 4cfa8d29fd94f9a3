//! When a gateway stores the origin of a stream at storage nodes.

use crate::serving::relay::continuity::MAX_VIEW_AGE;
use crate::serving::workers::versions::KnownVersions;
use crate::time::Millis;

/// When the origin of a stream is stored at storage nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    /// Not as long as nothing changes: other nodes can deduce it.
    Deducible,
    /// At once.
    Prompt,
    /// Before the first event is forwarded: other nodes may not know the version yet and would deduce another one.
    BeforeFirstEvent,
}

impl Sharing {
    /// Returns the name used in log fields.
    pub fn name(self) -> &'static str {
        match self {
            Self::Deducible => "deducible",
            Self::Prompt => "shared",
            Self::BeforeFirstEvent => "shared_first",
        }
    }

    /// Returns whether nodes whose views count as current may not know a version that this node has known for `known_for`.
    pub fn is_new(known_for: Millis) -> bool {
        known_for <= MAX_VIEW_AGE
    }

    /// Decides for a stream that lasts for at most `lifetime`, whose version this node has known for `known_for` among
    /// the `versions` of the service.
    pub fn of(versions: &KnownVersions, known_for: Millis, lifetime: Millis) -> Self {
        if is_deducible(versions, lifetime) {
            Self::Deducible
        } else if Self::is_new(known_for) {
            Self::BeforeFirstEvent
        } else {
            Self::Prompt
        }
    }
}

/// Returns whether other nodes can deduce the origin of streams that last for at most `lifetime`, even those that learned
/// of the version later than this node.
pub fn is_deducible(versions: &KnownVersions, lifetime: Millis) -> bool {
    matches!(versions, KnownVersions::Sole { lasted, .. } if *lasted >= lifetime + MAX_VIEW_AGE)
}
