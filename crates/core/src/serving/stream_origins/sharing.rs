//! When a gateway stores the origin of a stream at storage nodes.

use crate::serving::relay::continuity::MAX_VIEW_AGE;
use crate::serving::workers::versions::KnownVersions;
use crate::time::Millis;

/// Returns whether other nodes can deduce the origin of streams that last for at most `lifetime`, even those that learned
/// of the version later than this node.
pub fn is_deducible(versions: &KnownVersions, lifetime: Millis) -> bool {
    matches!(versions, KnownVersions::Sole { lasted, .. } if *lasted >= lifetime + MAX_VIEW_AGE)
}
