//! Requests to a relay for changes of the store, and the relay's answers.

use serde::{Deserialize, Serialize};

use super::item::{MetadataItem, Revision};
use crate::time::{Millis, Timestamp};

/// Requests the changes since a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesRequest {
    /// Revision up to which the requester's view is complete.
    pub since: Revision,
    /// Maximum time for which the relay may hold the request until there is a change.
    pub hold: Millis,
}

/// Changes of the store known to the relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesAnswer {
    /// Changes since the requested revision, or the complete contents.
    pub changes: ChangeSet,
    /// Time since the relay's view was last confirmed to be complete, as of the answer.
    pub age: Millis,
    /// Time for which the relay has been unable to reach the store; 0 while it can.
    pub away: Millis,
    /// Time for which the relay held the request.
    pub held: Millis,
}

impl ChangesAnswer {
    /// Returns whether a node that requested changes since `since` can apply the answer: the changes must start at
    /// exactly that revision, or be the complete contents at the same or a later one, and no key may be empty.
    pub fn is_valid_for(&self, since: Revision) -> bool {
        let has_keys = self.changes.items.iter().all(|item| !item.key.is_empty());
        let is_continuous = match self.changes.base {
            Some(base) => base == since,
            None => self.changes.at >= since,
        };
        has_keys && is_continuous
    }

    /// Returns when the relay's view was last confirmed, by the clock of the node that sent the request at
    /// `requested_at`. Only the time for which the relay held the request is taken into account, so that any other delay
    /// makes the view appear older, never younger.
    pub fn confirmed_at(&self, requested_at: Timestamp) -> Timestamp {
        requested_at + self.held - self.age
    }
}

/// Items that bring a view up to a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeSet {
    /// Revision that the items follow; `None` if they are the complete contents of the store.
    pub base: Option<Revision>,
    /// Revision up to which a view is complete once the items are applied.
    pub at: Revision,
    /// Changed items. Some may be newer than `at`.
    pub items: Vec<MetadataItem>,
}
