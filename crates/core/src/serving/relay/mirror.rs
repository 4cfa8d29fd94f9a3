//! The metadata store's contents as one node knows them.
//!
//! Owns the items, the removals that are still remembered, and when all of it was last known to be complete.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::item::{KeyState, MetadataItem, Revision};
use super::message::ChangeSet;
use crate::time::{Millis, Timestamp};

/// The least number of keys of which it is remembered that nothing is under them, while there are fewer items: followers
/// that are further behind get all items.
const LEAST_TOMBSTONES: usize = 1_024;

/// What became of keys that are missing from a list of all that the store holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissingKeys {
    /// They were removed.
    Removed,
    /// They may have lapsed in an outage, and can be written again.
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

/// The store's contents as one node knows them.
///
/// Invariants: the revision up to which the view is complete never goes down; a key never goes back to an older
/// revision; a removal after `removals_from` is remembered.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    items: BTreeMap<Arc<str>, StoredState>,
    /// All keys by revision, so that what changed is found without a look at the rest.
    by_revision: BTreeSet<KeyAt>,
    /// The keys without a value, by revision.
    tombstones: BTreeSet<KeyAt>,
    /// The view is complete up to here; `None` before the first list.
    at: Option<Revision>,
    /// Which keys were removed up to here is not known.
    removals_from: Revision,
    /// The view is known to have been complete at this time.
    confirmed_at: Timestamp,
}

impl Mirror {
    /// The revision up to which the view is complete.
    pub fn at(&self) -> Option<Revision> {
        self.at
    }

    /// How long ago the view is known to have been complete; `None` before the first list.
    pub fn age(&self, now: Timestamp) -> Option<Millis> {
        self.at.map(|_| now.since(self.confirmed_at))
    }

    /// The view was complete at a time.
    pub fn confirm(&mut self, at: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Takes all that the store holds, read at a revision. Returns what is new to this view. A list that is older than
    /// the view is not taken: what it holds may have been removed since.
    pub fn replace(&mut self, listed: Vec<MetadataItem>, at: Revision, missing: MissingKeys) -> Vec<MetadataItem> {
        if Some(at) < self.at {
            return Vec::new();
        }
        let present: BTreeSet<Arc<str>> =
            listed.iter().filter(|item| item.value().is_some()).map(|item| item.key.clone()).collect();
        let mut changed = self.take(listed);
        // Items may be newer than the revision up to which they are complete.
        let is_missing = |key: &Arc<str>, stored: &StoredState| {
            matches!(stored.state, KeyState::Present(_)) && stored.revision <= at && !present.contains(key)
        };
        let gone: Vec<MetadataItem> = self
            .items
            .iter()
            .filter(|(key, stored)| is_missing(key, stored))
            .map(|(key, _)| MetadataItem { key: key.clone(), state: missing.state(), revision: at })
            .collect();
        for item in gone {
            self.insert(&item);
            changed.push(item);
        }
        self.removals_from = self.removals_from.max(at);
        self.reach(at);
        changed
    }

    /// Takes changes that follow on what this view holds. Returns what is new to it.
    pub fn advance(&mut self, changes: Vec<MetadataItem>, at: Revision) -> Vec<MetadataItem> {
        let changed = self.take(changes);
        self.reach(at);
        changed
    }

    /// What brings a view that is complete up to `since` up to this one; `None` before the first list.
    pub fn changes_since(&self, since: Revision) -> Option<ChangeSet> {
        let at = self.at?;
        if !self.knows_changes_since(since) {
            return self.all_items();
        }
        let next = KeyAt { revision: Revision(since.0.saturating_add(1)), key: Arc::from("") };
        let changed = self.by_revision.range(next..);
        let items = changed.filter_map(|KeyAt { key, .. }| Some(item_of(key, self.items.get(key)?))).collect();
        Some(ChangeSet { base: Some(since), at, items })
    }

    /// All items, for a view that can't be told what changed alone; `None` before the first list.
    pub fn all_items(&self) -> Option<ChangeSet> {
        let items = self.items.iter().filter(|(_, stored)| stored.state != KeyState::Removed);
        let items = items.map(|(key, stored)| item_of(key, stored)).collect();
        Some(ChangeSet { base: None, at: self.at?, items })
    }

    /// Whether a node whose view is complete up to `since` can be told what changed since then alone.
    pub fn knows_changes_since(&self, since: Revision) -> bool {
        since >= self.removals_from
    }

    /// All keys that have a value.
    pub fn present(&self) -> impl Iterator<Item = (&Arc<str>, &[u8])> {
        self.items.iter().filter_map(|(key, stored)| match &stored.state {
            KeyState::Present(value) => Some((key, &**value)),
            KeyState::Removed | KeyState::Lapsed => None,
        })
    }

    /// Keeps the items that are newer than what is stored, and returns those.
    fn take(&mut self, items: Vec<MetadataItem>) -> Vec<MetadataItem> {
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
        if let Some(former) = self.items.insert(item.key.clone(), stored) {
            let former = KeyAt { revision: former.revision, key: item.key.clone() };
            self.by_revision.remove(&former);
            self.tombstones.remove(&former);
        }
        let place = KeyAt { revision: item.revision, key: item.key.clone() };
        if !matches!(item.state, KeyState::Present(_)) {
            self.tombstones.insert(place.clone());
        }
        self.by_revision.insert(place);
    }

    fn reach(&mut self, at: Revision) {
        self.at = self.at.max(Some(at));
        self.trim_tombstones();
    }

    /// Forgets the oldest removals where there are more than items: to tell all items is then no more than to tell them.
    fn trim_tombstones(&mut self) {
        let present = self.items.len() - self.tombstones.len();
        while self.tombstones.len() > present.max(LEAST_TOMBSTONES) {
            let Some(oldest) = self.tombstones.pop_first() else { return };
            self.removals_from = self.removals_from.max(oldest.revision);
            self.items.remove(&oldest.key);
            self.by_revision.remove(&oldest);
        }
    }
}

fn item_of(key: &Arc<str>, stored: &StoredState) -> MetadataItem {
    MetadataItem { key: key.clone(), state: stored.state.clone(), revision: stored.revision }
}
