//! One node's copy of the metadata store.
//!
//! Stores the items, the tombstones of recently removed keys, and the time at which the copy was last confirmed to be
//! complete.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::item::{KeyState, MetadataItem, Revision};
use super::message::ChangeSet;
use crate::time::{Millis, Timestamp};

/// Minimum number of tombstones retained when there are fewer items. Followers that are further behind receive all
/// items.
const MIN_TOMBSTONES: usize = 1_024;

/// How to treat known keys that a list of the complete store lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissingKeys {
    /// They were removed.
    Removed,
    /// They may have expired during an outage and be written again by their owners.
    MayHaveExpired,
}

impl MissingKeys {
    fn state(self) -> KeyState {
        match self {
            Self::Removed => KeyState::Removed,
            Self::MayHaveExpired => KeyState::Lapsed,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct StoredState {
    state: KeyState,
    revision: Revision,
}

/// A key and the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct KeyAt {
    revision: Revision,
    key: Arc<str>,
}

/// One node's copy of the metadata store.
///
/// Invariants: the revision up to which the view is complete never decreases; no key returns to an older revision;
/// each removal after `removals_known_after` has a tombstone.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    items: BTreeMap<Arc<str>, StoredState>,
    /// Index of all keys by revision, to find changes without a scan.
    by_revision: BTreeSet<KeyAt>,
    /// Keys without a value, by revision.
    tombstones: BTreeSet<KeyAt>,
    /// Revision up to which the view is complete; `None` before the first list.
    at: Option<Revision>,
    /// Tombstones of removals up to this revision may have been dropped.
    removals_known_after: Revision,
    /// Time at which the view was last confirmed to be complete.
    confirmed_at: Timestamp,
}

impl Mirror {
    /// Returns the revision up to which the view is complete; `None` before the first list.
    pub fn at(&self) -> Option<Revision> {
        self.at
    }

    /// Returns the time since the view was last confirmed to be complete; `None` before the first list.
    pub fn age(&self, now: Timestamp) -> Option<Millis> {
        self.at.map(|_| now.since(self.confirmed_at))
    }

    /// Records that the view was complete at the given time. Times before the last recorded one are ignored.
    pub fn confirm(&mut self, at: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Applies a list of the complete store, read at revision `at`, and returns the items that changed. A list older
    /// than the view is ignored, since its items may have been removed since.
    pub fn replace(&mut self, listed: Vec<MetadataItem>, at: Revision, missing: MissingKeys) -> Vec<MetadataItem> {
        if Some(at) < self.at {
            return Vec::new();
        }
        let present: BTreeSet<Arc<str>> =
            listed.iter().filter(|item| item.value().is_some()).map(|item| item.key.clone()).collect();
        let mut changed = self.store_newer(listed);
        // Items of the view that changed after the list was read are not missing.
        let is_missing = |key: &Arc<str>, stored: &StoredState| {
            matches!(stored.state, KeyState::Present(_)) && stored.revision <= at && !present.contains(key)
        };
        let absent: Vec<MetadataItem> = self
            .items
            .iter()
            .filter(|(key, stored)| is_missing(key, stored))
            .map(|(key, _)| MetadataItem { key: key.clone(), state: missing.state(), revision: at })
            .collect();
        for item in absent {
            self.insert(&item);
            changed.push(item);
        }
        self.removals_known_after = self.removals_known_after.max(at);
        self.advance_to(at);
        changed
    }

    /// Applies changes that follow this view and returns the items that changed.
    pub fn advance(&mut self, changes: Vec<MetadataItem>, at: Revision) -> Vec<MetadataItem> {
        let changed = self.store_newer(changes);
        self.advance_to(at);
        changed
    }

    /// Returns the changes that bring a view that is complete up to `since` up to this one, or all items where the
    /// history does not reach back that far; `None` before the first list.
    pub fn changes_since(&self, since: Revision) -> Option<ChangeSet> {
        let at = self.at?;
        if !self.has_changes_since(since) {
            return self.all_items();
        }
        let next = KeyAt { revision: Revision(since.0.saturating_add(1)), key: Arc::from("") };
        let changed = self.by_revision.range(next..);
        let items = changed.filter_map(|KeyAt { key, .. }| Some(item_of(key, self.items.get(key)?))).collect();
        Some(ChangeSet { base: Some(since), at, items })
    }

    /// Returns all items, for a view that cannot be updated incrementally; `None` before the first list.
    pub fn all_items(&self) -> Option<ChangeSet> {
        let items = self.items.iter().filter(|(_, stored)| stored.state != KeyState::Removed);
        let items = items.map(|(key, stored)| item_of(key, stored)).collect();
        Some(ChangeSet { base: None, at: self.at?, items })
    }

    /// Returns whether a view that is complete up to `since` can be updated incrementally.
    pub fn has_changes_since(&self, since: Revision) -> bool {
        since >= self.removals_known_after
    }

    /// Iterates over all keys that have a value.
    pub fn present(&self) -> impl Iterator<Item = (&Arc<str>, &[u8])> {
        self.items.iter().filter_map(|(key, stored)| match &stored.state {
            KeyState::Present(value) => Some((key, &**value)),
            KeyState::Removed | KeyState::Lapsed => None,
        })
    }

    /// Stores the items that are newer than the stored ones and returns those.
    fn store_newer(&mut self, items: Vec<MetadataItem>) -> Vec<MetadataItem> {
        let is_new =
            |item: &MetadataItem| self.items.get(&item.key).is_none_or(|stored| stored.revision < item.revision);
        let changed: Vec<MetadataItem> = items.into_iter().filter(is_new).collect();
        for item in &changed {
            self.insert(item);
        }
        changed
    }

    fn insert(&mut self, item: &MetadataItem) {
        let stored = StoredState { state: item.state.clone(), revision: item.revision };
        if let Some(previous) = self.items.insert(item.key.clone(), stored) {
            let previous = KeyAt { revision: previous.revision, key: item.key.clone() };
            self.by_revision.remove(&previous);
            self.tombstones.remove(&previous);
        }
        let entry = KeyAt { revision: item.revision, key: item.key.clone() };
        if !matches!(item.state, KeyState::Present(_)) {
            self.tombstones.insert(entry.clone());
        }
        self.by_revision.insert(entry);
    }

    fn advance_to(&mut self, at: Revision) {
        self.at = self.at.max(Some(at));
        self.trim_tombstones();
    }

    /// Drops the oldest tombstones while they outnumber the items: sending all items is then cheaper than sending the
    /// removals.
    fn trim_tombstones(&mut self) {
        let present = self.items.len() - self.tombstones.len();
        while self.tombstones.len() > present.max(MIN_TOMBSTONES) {
            let Some(oldest) = self.tombstones.pop_first() else { return };
            self.removals_known_after = self.removals_known_after.max(oldest.revision);
            self.items.remove(&oldest.key);
            self.by_revision.remove(&oldest);
        }
    }
}

fn item_of(key: &Arc<str>, stored: &StoredState) -> MetadataItem {
    MetadataItem { key: key.clone(), state: stored.state.clone(), revision: stored.revision }
}
