//! What a node asks a relay, and the answer.

use serde::{Deserialize, Serialize};

use super::item::{MetadataItem, Revision};
use crate::time::{Millis, Timestamp};

/// Asks for what changed in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesRequest {
    /// The asker's view is complete up to here.
    pub since: Revision,
    /// How long the answer may be held back until there is a change.
    pub hold: Millis,
}

/// What changed in the store, as far as the relay knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesAnswer {
    /// The items.
    pub changes: ChangeSet,
    /// How long ago, at the time of the answer, the relay's view is known to have been complete.
    pub age: Millis,
    /// For how long the store has been out of the relay's reach; 0 if it is not.
    pub away: Millis,
    /// How long the answer was held back.
    pub held: Millis,
}

impl ChangesAnswer {
    /// Whether the answer can be believed by a node that asked for what changed since a revision: it follows on just
    /// that, or is all that the store holds and no older. A key is never empty.
    pub fn is_valid_for(&self, since: Revision) -> bool {
        let is_keyed = self.changes.items.iter().all(|item| !item.key.is_empty());
        let follows = match self.changes.base {
            Some(base) => base == since,
            None => self.changes.at >= since,
        };
        is_keyed && follows
    }

    /// When the relay's view is known to have been complete, by the clock of the node that asked at `asked_at`. Only
    /// the time for which the answer was held back is counted in, so an answer that was held up elsewhere makes a view
    /// older, never younger.
    pub fn confirmed_at(&self, asked_at: Timestamp) -> Timestamp {
        asked_at + self.held - self.age
    }
}

/// Items that bring a view up to a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeSet {
    /// The items follow on a view that is complete up to here; `None` if they are all that the store holds.
    pub base: Option<Revision>,
    /// A view with these items is complete up to here.
    pub at: Revision,
    /// The items. Some may be newer than `at`.
    pub items: Vec<MetadataItem>,
}
