//! A cache of the location of each replica group. Entries are hints: a stale entry costs an extra
//! round trip but never affects correctness.

use std::collections::BTreeMap;

use crate::identity::{GroupId, NodeId};
use crate::replication::{LogIndex, Term};

/// The known members and leader of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// The group that this entry describes.
    pub group: GroupId,
    /// The term to which `leader` belongs.
    pub term: Term,
    /// The log index of the group's membership.
    pub membership_index: LogIndex,
    /// The voters of the group.
    pub members: Vec<NodeId>,
    /// The leader in `term`, if known.
    pub leader: Option<NodeId>,
}

/// The known locations of all groups.
#[derive(Clone, Debug, Default)]
pub struct GroupDirectory {
    group_count: u32,
    entries: BTreeMap<GroupId, DirectoryEntry>,
}

impl GroupDirectory {
    /// Returns the number of groups; 0 if it is not known yet.
    pub fn group_count(&self) -> u32 {
        self.group_count
    }

    /// Sets the number of groups unless it is already known. It never changes after the bootstrap.
    pub fn set_group_count(&mut self, count: u32) {
        if self.group_count == 0 {
            self.group_count = count;
        }
    }

    /// Returns the entry of a group.
    pub fn get(&self, group: GroupId) -> Option<&DirectoryEntry> {
        self.entries.get(&group)
    }

    /// Returns all entries, sorted by group.
    pub fn entries(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.entries.values()
    }

    /// Stores an entry unless a newer one is already known.
    pub fn upsert(&mut self, entry: DirectoryEntry) {
        let version = |entry: &DirectoryEntry| (entry.membership_index, entry.term, entry.leader.is_some());
        match self.entries.get(&entry.group) {
            Some(known) if version(known) > version(&entry) => {}
            _ => {
                self.entries.insert(entry.group, entry);
            }
        }
    }

    /// Records the leader of a group unless a later term is already known.
    pub fn update_leader(&mut self, group: GroupId, leader: NodeId, term: Term) {
        if let Some(entry) = self.entries.get_mut(&group)
            && term >= entry.term
        {
            entry.term = term;
            entry.leader = Some(leader);
        }
    }

    /// Removes the recorded leader of a group after it failed to respond as the leader.
    pub fn clear_leader(&mut self, group: GroupId, leader: NodeId) {
        if let Some(entry) = self.entries.get_mut(&group)
            && entry.leader == Some(leader)
        {
            entry.leader = None;
        }
    }
}
