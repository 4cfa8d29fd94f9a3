//! The metadata store's contents as one node knows them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::item::{ItemState, MetadataItem, Revision};
use super::message::ChangeSet;
use crate::time::{Millis, Timestamp};

/// Most keys of which it is remembered that nothing is under them. Each costs some hundred bytes.
const MOST_VACANT: usize = 1_024;

/// What became of keys that are missing from a list of all that the store holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissingKeys {
    /// They were removed.
    Removed,
    /// They may have lapsed in an outage, and can be written again.
    MayHaveLapsed,
}

impl MissingKeys {
    fn state(self) -> ItemState {
        match self {
            Self::Removed => ItemState::Removed,
            Self::MayHaveLapsed => ItemState::Lapsed,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Held {
    state: ItemState,
    revision: Revision,
}

/// The store's contents as one node knows them.
///
/// Invariants: the revision up to which the view is complete never goes down; a key never goes back to an older
/// revision; a removal after `removals_from` is remembered.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    items: BTreeMap<Arc<str>, Held>,
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

    /// Takes all that the store holds, read at a revision. Returns what is new to this view. A list that is older than the view is not taken: what it holds may have been
    /// removed since.
    pub fn replace(&mut self, listed: Vec<MetadataItem>, at: Revision, missing: MissingKeys) -> Vec<MetadataItem> {
        if Some(at) < self.at {
            return Vec::new();
        }
        let present: BTreeSet<Arc<str>> =
            listed.iter().filter(|item| item.value().is_some()).map(|item| item.key.clone()).collect();
        let mut news = self.take(listed);
        // Items may be newer than the revision up to which they are complete.
        let is_missing = |key: &Arc<str>, held: &Held| {
            matches!(held.state, ItemState::Present(_)) && held.revision <= at && !present.contains(key)
        };
        let gone: Vec<MetadataItem> = self
            .items
            .iter()
            .filter(|(key, held)| is_missing(key, held))
            .map(|(key, _)| MetadataItem { key: key.clone(), state: missing.state(), revision: at })
            .collect();
        for item in gone {
            self.hold(&item);
            news.push(item);
        }
        self.removals_from = self.removals_from.max(at);
        self.reach(at);
        news
    }

    /// Takes changes that follow on what this view holds. Returns what is new to it.
    pub fn advance(&mut self, changes: Vec<MetadataItem>, at: Revision) -> Vec<MetadataItem> {
        let news = self.take(changes);
        self.reach(at);
        news
    }

    /// What brings a view that is complete up to `since` up to this one; `None` before the first list.
    pub fn changes_since(&self, since: Revision) -> Option<ChangeSet> {
        let at = self.at?;
        let is_whole = since < self.removals_from;
        let is_wanted = |held: &Held| if is_whole { held.state != ItemState::Removed } else { held.revision > since };
        let items = self
            .items
            .iter()
            .filter(|(_, held)| is_wanted(held))
            .map(|(key, held)| MetadataItem { key: key.clone(), state: held.state.clone(), revision: held.revision })
            .collect();
        Some(ChangeSet { base: (!is_whole).then_some(since), at, items })
    }

    /// All keys that have a value.
    pub fn present(&self) -> impl Iterator<Item = (&Arc<str>, &[u8])> {
        self.items.iter().filter_map(|(key, held)| match &held.state {
            ItemState::Present(value) => Some((key, &**value)),
            ItemState::Removed | ItemState::Lapsed => None,
        })
    }

    /// Keeps the items that are newer than what is held, and returns those.
    fn take(&mut self, items: Vec<MetadataItem>) -> Vec<MetadataItem> {
        let is_new = |item: &MetadataItem| self.items.get(&item.key).is_none_or(|held| held.revision < item.revision);
        let news: Vec<MetadataItem> = items.into_iter().filter(is_new).collect();
        for item in &news {
            self.hold(item);
        }
        news
    }

    fn hold(&mut self, item: &MetadataItem) {
        self.items.insert(item.key.clone(), Held { state: item.state.clone(), revision: item.revision });
    }

    fn reach(&mut self, at: Revision) {
        self.at = self.at.max(Some(at));
        self.forget_vacant();
    }

    /// Forgets the oldest removals where there are many.
    fn forget_vacant(&mut self) {
        let is_vacant = |held: &Held| !matches!(held.state, ItemState::Present(_));
        let mut vacant: Vec<Revision> =
            self.items.values().filter(|held| is_vacant(held)).map(|held| held.revision).collect();
        if vacant.len() <= MOST_VACANT {
            return;
        }
        vacant.sort_unstable();
        let upto = vacant[vacant.len() - MOST_VACANT - 1];
        self.removals_from = self.removals_from.max(upto);
        self.items.retain(|_, held| !is_vacant(held) || held.revision > upto);
    }
}
