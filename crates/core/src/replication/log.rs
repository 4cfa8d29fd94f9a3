//! The in-memory log of one replica: a snapshot and the entries that follow it.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::membership::GroupMembership;
use crate::identity::NodeId;

/// A Raft term. Increases monotonically; each term has at most one leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Term(pub u64);

/// A position in the log. The first entry has index 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// Returns the following index.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the preceding index, saturating at 0.
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// The payload of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// No payload. A new leader appends such an entry to commit the entries of earlier terms.
    Empty,
    /// An encoded command for the state machine.
    Command(#[serde(with = "crate::byte_string")] Arc<[u8]>),
    /// The group's membership, in effect from this entry on.
    Membership(GroupMembership),
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that created the entry.
    pub term: Term,
    /// The entry's position in the log.
    pub index: LogIndex,
    /// The entry's content.
    pub payload: EntryPayload,
}

impl Entry {
    fn changes_membership(&self) -> bool {
        matches!(self.payload, EntryPayload::Membership(_))
    }
}

/// The state machine at one log index. Replaces all entries up to that index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last entry that the snapshot includes.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: Term,
    /// The membership in effect at that entry.
    pub membership: GroupMembership,
    /// The encoded state machine.
    #[serde(with = "crate::byte_string")]
    pub state: Arc<[u8]>,
}

/// The Raft state that must be durable before a replica sends any message that depends on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term seen.
    pub term: Term,
    /// The candidate that received this replica's vote in that term.
    pub voted_for: Option<NodeId>,
}

/// A set of changes that is written to disk atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogWrite {
    /// The new term and vote, if changed.
    pub hard_state: Option<HardState>,
    /// The new snapshot, if any. Entries up to its index may be deleted.
    pub snapshot: Option<Snapshot>,
    /// Entries at and after this index are deleted before `entries` are appended.
    pub truncate_from: Option<LogIndex>,
    /// Entries to append, in order.
    pub entries: Vec<Entry>,
}

impl LogWrite {
    /// Returns whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none() && self.snapshot.is_none() && self.truncate_from.is_none() && self.entries.is_empty()
    }
}

/// The persistent state of one replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistedReplica {
    /// The current term and vote.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Snapshot,
    /// The entries after the snapshot, in order and without gaps.
    pub entries: Vec<Entry>,
}

impl PersistedReplica {
    /// Applies a write. Simulated disks and tests use this; on-disk stores must behave the same.
    pub fn write(&mut self, write: &LogWrite) {
        if let Some(hard_state) = write.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(from) = write.truncate_from {
            self.entries.retain(|entry| entry.index < from);
        }
        if let Some(snapshot) = &write.snapshot {
            self.entries.retain(|entry| entry.index > snapshot.index);
            self.snapshot = snapshot.clone();
        }
        self.entries.extend(write.entries.iter().cloned());
    }
}

/// The log of one replica: its latest snapshot and the entries after it.
#[derive(Clone, Debug, Default)]
pub struct ReplicatedLog {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    bytes: usize,
    /// The index of the snapshot's membership, if this process has seen the entry.
    snapshot_membership: Option<LogIndex>,
    /// The index since which the snapshot's voters are the same, if this process has seen the entry.
    snapshot_voters: Option<LogIndex>,
}

impl ReplicatedLog {
    /// Creates a log from persisted state.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let bytes = entries.iter().map(entry_bytes).sum();
        Self { snapshot, entries, bytes, snapshot_membership: None, snapshot_voters: None }
    }

    /// Returns the latest snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.entries.last().map_or(self.snapshot.index, |entry| entry.index)
    }

    /// Returns the term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries.last().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Returns the approximate size in bytes of the entries after the snapshot.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether the entries after `index` take up at least `bytes`.
    pub fn has_bytes_after(&self, index: LogIndex, bytes: usize) -> bool {
        let mut total = 0;
        let after = self.entries.iter().rev().take_while(|entry| entry.index > index);
        after.map(entry_bytes).any(|size| {
            total += size;
            total >= bytes
        })
    }

    /// Returns the number of entries after the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no entry follows the snapshot.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the term at `index`, or `None` if the index is compacted or past the end of the log.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Returns the entry at `index`, or `None` if it is compacted or past the end of the log.
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.snapshot.index.0 + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns entries starting at `from`, up to `max_bytes` but at least one if any exists.
    pub fn entries_from(&self, from: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let Some(offset) = from.0.checked_sub(self.snapshot.index.0 + 1) else {
            return Vec::new();
        };
        let mut taken = Vec::new();
        let mut bytes = 0;
        for entry in self.entries.iter().skip(offset as usize) {
            bytes += entry_bytes(entry);
            if !taken.is_empty() && bytes > max_bytes {
                break;
            }
            taken.push(entry.clone());
        }
        taken
    }

    /// Appends an entry, whose index must directly follow the last one.
    pub fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index().next());
        self.bytes += entry_bytes(&entry);
        self.entries.push(entry);
    }

    /// Removes all entries at and after `from`.
    pub fn truncate_from(&mut self, from: LogIndex) {
        while self.entries.last().is_some_and(|entry| entry.index >= from) {
            if let Some(entry) = self.entries.pop() {
                self.bytes -= entry_bytes(&entry);
            }
        }
    }

    /// Replaces the entries up to the snapshot's index with the snapshot.
    pub fn compact(&mut self, snapshot: Snapshot) {
        self.snapshot_voters = self.voters_since(&snapshot.membership.voters, snapshot.index);
        let replaced = self.entries.iter().rev().filter(|entry| entry.index <= snapshot.index);
        self.snapshot_membership = replaced
            .filter(|entry| entry.changes_membership())
            .map(|entry| entry.index)
            .next()
            .or(self.snapshot_membership);
        self.entries.retain(|entry| entry.index > snapshot.index);
        self.bytes = self.entries.iter().map(entry_bytes).sum();
        self.snapshot = snapshot;
    }

    /// Replaces the entire log with a snapshot received from the leader.
    pub fn restore(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.bytes = 0;
        self.snapshot_membership = None;
        self.snapshot_voters = None;
        self.snapshot = snapshot;
    }

    /// Returns the latest membership in the log. A membership takes effect when appended, before it is committed.
    pub fn membership(&self) -> &GroupMembership {
        self.membership_entry().map_or(&self.snapshot.membership, |(_, membership)| membership)
    }

    /// Returns the index of the latest membership change, or the snapshot's index if no entry after it changes the
    /// membership. The latter differs between replicas, so it must not identify a membership.
    pub fn membership_index(&self) -> LogIndex {
        self.membership_entry().map_or(self.snapshot.index, |(index, _)| index)
    }

    /// Returns the index of the latest membership change, which is the same at all replicas; `None` if the entry was
    /// compacted before this process started, or was part of a snapshot from the leader.
    pub fn known_membership_index(&self) -> Option<LogIndex> {
        self.membership_entry().map(|(index, _)| index).or(self.snapshot_membership)
    }

    /// Returns the index since which the voters are the same, whatever learners came and went; `None` if the entry was compacted
    /// before this process started, or was part of a snapshot from the leader.
    pub fn known_voters_index(&self) -> Option<LogIndex> {
        self.voters_since(&self.membership().voters, self.last_index())
    }

    /// Returns the index since which the group has had these voters, which are those in effect at `index`.
    fn voters_since(&self, voters: &BTreeSet<NodeId>, index: LogIndex) -> Option<LogIndex> {
        let changes = || self.membership_entries().filter(|(at, _)| *at <= index);
        let is_same = |membership: &GroupMembership| membership.voters == *voters;
        let earliest = changes().take_while(|(_, membership)| is_same(membership)).last().map(|(at, _)| at);
        let has_other = !is_same(&self.snapshot.membership) || changes().any(|(_, membership)| !is_same(membership));
        if has_other { earliest } else { self.snapshot_voters }
    }

    /// Returns the membership in effect at `index`.
    pub fn membership_at(&self, index: LogIndex) -> GroupMembership {
        let in_log = self.entries.iter().rev().filter(|entry| entry.index <= index);
        in_log
            .filter_map(|entry| match &entry.payload {
                EntryPayload::Membership(membership) => Some(membership.clone()),
                _ => None,
            })
            .next()
            .unwrap_or_else(|| self.snapshot.membership.clone())
    }

    fn membership_entry(&self) -> Option<(LogIndex, &GroupMembership)> {
        self.membership_entries().next()
    }

    /// Returns the membership changes in the log, the latest first.
    fn membership_entries(&self) -> impl Iterator<Item = (LogIndex, &GroupMembership)> {
        self.entries.iter().rev().filter_map(|entry| match &entry.payload {
            EntryPayload::Membership(membership) => Some((entry.index, membership)),
            _ => None,
        })
    }
}

/// Returns the approximate size of an entry in bytes, which is used only for limits.
fn entry_bytes(entry: &Entry) -> usize {
    const OVERHEAD: usize = 32;
    match &entry.payload {
        EntryPayload::Empty => OVERHEAD,
        EntryPayload::Command(command) => OVERHEAD + command.len(),
        EntryPayload::Membership(membership) => OVERHEAD + 8 * membership.members().count(),
    }
}
