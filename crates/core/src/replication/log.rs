//! The log of one replica in memory: a snapshot and the entries that follow it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::membership::GroupMembership;
use crate::identity::NodeId;

/// The number of a leader's reign. Grows; at most one leader per term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Term(pub u64);

/// A place in the log. The first entry has index 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// The place after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The place before this one; the first place has none before it and stays.
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Nothing: a new leader's first entry.
    Empty,
    /// A command of the partition's state machine, encoded.
    Command(Arc<[u8]>),
    /// The group's membership from this entry on.
    Membership(GroupMembership),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The leader's term when the entry was made.
    pub term: Term,
    /// The entry's place.
    pub index: LogIndex,
    /// What it carries.
    pub payload: EntryPayload,
}

/// The state machine at one place in the log; stands in for all entries up to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that the snapshot covers.
    pub index: LogIndex,
    /// That entry's term.
    pub term: Term,
    /// The membership at that entry.
    pub membership: GroupMembership,
    /// The encoded state machine.
    pub state: Arc<[u8]>,
}

/// What a replica must never forget between votes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term seen.
    pub term: Term,
    /// Who got this replica's vote in that term.
    pub voted_for: Option<NodeId>,
}

/// One atomic write to the disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogWrite {
    /// The new term and vote, if changed.
    pub hard_state: Option<HardState>,
    /// The new snapshot, if any: entries up to its index may be dropped.
    pub snapshot: Option<Snapshot>,
    /// Entries from this index on are dropped before `entries` are written.
    pub truncate_from: Option<LogIndex>,
    /// Entries to write, in order.
    pub entries: Vec<Entry>,
}

impl LogWrite {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none() && self.snapshot.is_none() && self.truncate_from.is_none() && self.entries.is_empty()
    }
}

/// What a disk holds of one replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistedReplica {
    /// Term and vote.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Snapshot,
    /// Entries after the snapshot, in order and without gaps.
    pub entries: Vec<Entry>,
}

impl PersistedReplica {
    /// Carries out a write. The simulation's disks and the tests use this; it is also the
    /// specification for the store on a real disk.
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

/// The log of one replica.
#[derive(Clone, Debug, Default)]
pub struct ReplicatedLog {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    bytes: usize,
}

impl ReplicatedLog {
    /// Rebuilds the log from what the disk held.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let bytes = entries.iter().map(entry_bytes).sum();
        Self { snapshot, entries, bytes }
    }

    /// The latest snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// The last place in the log.
    pub fn last_index(&self) -> LogIndex {
        self.entries.last().map_or(self.snapshot.index, |entry| entry.index)
    }

    /// The term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries.last().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Bytes of commands kept since the snapshot.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether commands of at least that many bytes follow `index`.
    pub fn has_bytes_after(&self, index: LogIndex, bytes: usize) -> bool {
        let mut found = 0;
        let after = self.entries.iter().rev().take_while(|entry| entry.index > index);
        after.map(entry_bytes).any(|more| {
            found += more;
            found >= bytes
        })
    }

    /// Entries kept since the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no entry follows the snapshot.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The term at `index`, or `None` if the log doesn't hold that place.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// The entry at `index`.
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.snapshot.index.0 + 1)?;
        self.entries.get(offset as usize)
    }

    /// Entries from `from` on, up to `max_bytes` but at least one if there is any.
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

    /// Appends an entry, whose index must be the next.
    pub fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index().next());
        self.bytes += entry_bytes(&entry);
        self.entries.push(entry);
    }

    /// Drops all entries from `from` on.
    pub fn truncate_from(&mut self, from: LogIndex) {
        while self.entries.last().is_some_and(|entry| entry.index >= from) {
            if let Some(entry) = self.entries.pop() {
                self.bytes -= entry_bytes(&entry);
            }
        }
    }

    /// Replaces the entries up to the snapshot's index by the snapshot.
    pub fn compact(&mut self, snapshot: Snapshot) {
        self.entries.retain(|entry| entry.index > snapshot.index);
        self.bytes = self.entries.iter().map(entry_bytes).sum();
        self.snapshot = snapshot;
    }

    /// Replaces the whole log by a snapshot from the leader.
    pub fn restore(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.bytes = 0;
        self.snapshot = snapshot;
    }

    /// The latest membership in the log, committed or not: it is in force once appended.
    pub fn membership(&self) -> &GroupMembership {
        self.membership_entry().map_or(&self.snapshot.membership, |(_, membership)| membership)
    }

    /// The place of the latest membership change, if it is still in the log.
    pub fn membership_index(&self) -> LogIndex {
        self.membership_entry().map_or(self.snapshot.index, |(index, _)| index)
    }

    /// The membership in force at `index`.
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
        self.entries.iter().rev().find_map(|entry| match &entry.payload {
            EntryPayload::Membership(membership) => Some((entry.index, membership)),
            _ => None,
        })
    }
}

/// A rough size of an entry in bytes, used for limits only.
fn entry_bytes(entry: &Entry) -> usize {
    const OVERHEAD: usize = 32;
    match &entry.payload {
        EntryPayload::Empty => OVERHEAD,
        EntryPayload::Command(command) => OVERHEAD + command.len(),
        EntryPayload::Membership(membership) => OVERHEAD + 8 * membership.members().count(),
    }
}
