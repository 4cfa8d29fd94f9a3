//! Where each group is found. Only a hint: a wrong entry costs a detour, never correctness.

use std::collections::BTreeMap;

use crate::identity::{GroupId, NodeId};
use crate::replication::{LogIndex, Term};

/// Where one group is found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// The group.
    pub group: GroupId,
    /// The term in which this was known.
    pub term: Term,
    /// The place of the membership in the group's log.
    pub membership_index: LogIndex,
    /// Its voters.
    pub members: Vec<NodeId>,
    /// Its leader in that term, if known.
    pub leader: Option<NodeId>,
}

/// Where all groups are found.
#[derive(Clone, Debug, Default)]
pub struct GroupDirectory {
    group_count: u32,
    entries: BTreeMap<GroupId, DirectoryEntry>,
}

impl GroupDirectory {
    /// How many groups were founded; 0 if that is not known yet.
    pub fn group_count(&self) -> u32 {
        self.group_count
    }

    /// Learns how many groups there are. It never changes after the founding.
    pub fn learn_group_count(&mut self, count: u32) {
        if self.group_count == 0 {
            self.group_count = count;
        }
    }

    /// One entry.
    pub fn get(&self, group: GroupId) -> Option<&DirectoryEntry> {
        self.entries.get(&group)
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.entries.values()
    }

    /// Learns an entry, unless a later one is held.
    pub fn learn(&mut self, entry: DirectoryEntry) {
        let age = |entry: &DirectoryEntry| (entry.membership_index, entry.term, entry.leader.is_some());
        match self.entries.get(&entry.group) {
            Some(held) if age(held) > age(&entry) => {}
            _ => {
                self.entries.insert(entry.group, entry);
            }
        }
    }

    /// Learns of a leader of a later term.
    pub fn learn_leader(&mut self, group: GroupId, leader: NodeId, term: Term) {
        if let Some(entry) = self.entries.get_mut(&group)
            && term >= entry.term
        {
            entry.term = term;
            entry.leader = Some(leader);
        }
    }

    /// Drops the leader of a group because it doesn't answer as one.
    pub fn forget_leader(&mut self, group: GroupId, leader: NodeId) {
        if let Some(entry) = self.entries.get_mut(&group)
            && entry.leader == Some(leader)
        {
            entry.leader = None;
        }
    }
}
