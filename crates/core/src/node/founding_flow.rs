//! Founding groups, and finding those that were founded.

use rand::Rng;

use super::effect::KeyValueOperation;
use super::event::KeyValueOutcome;
use super::key_value_flow::KeyValuePurpose;
use super::machine::Node;
use crate::identity::{GroupId, NodeId};
use crate::log_event::LogEvent;
use crate::node::control::{DirectoryEntry, GROUPS_KEY, GroupsRecord, plan_groups};
use crate::peer_message::PeerMessage;
use crate::replication::{GroupMembership, LogIndex, StoreCandidate, Term};
use crate::time::{Millis, Timestamp};

/// Time between two tries to learn of the groups.
const FIND_INTERVAL: Millis = Millis(1_000);
/// Time between two reads of the founding record by any of the storing nodes.
const READ_SPREAD: Millis = Millis(200);
/// Time between two looks at the directory once it is known.
const REFRESH_INTERVAL: Millis = Millis(5_000);
/// How many nodes are asked for their directory at a time.
const DIRECTORY_PEERS: usize = 2;

/// What a node keeps until the groups are found.
pub(super) struct FoundingState {
    next: Timestamp,
    call_pending: bool,
    /// The record was read, so that it need not be again: it never changes.
    record_read: bool,
    /// When the record may be read next.
    next_read: Timestamp,
}

impl FoundingState {
    pub(super) fn new(now: Timestamp) -> Self {
        Self { next: now, call_pending: false, record_read: false, next_read: now }
    }
}

impl Node {
    pub(super) fn tick_founding(&mut self) {
        let now = self.clock.now;
        if now < self.founding.next {
            return;
        }
        let is_known = self.directory.group_count() > 0;
        self.founding.next = now + if is_known { REFRESH_INTERVAL } else { FIND_INTERVAL };
        self.ask_directory();
        if self.may_read_record() {
            self.founding.call_pending = true;
            let operation = KeyValueOperation::Get { key: GROUPS_KEY.to_owned() };
            self.call_key_value(KeyValuePurpose::ReadGroups, operation);
        }
    }

    /// Storing nodes read the record until they have it, since it may name them; together they do so no
    /// more often than a few times a second. The others learn of the groups from their peers.
    fn may_read_record(&mut self) -> bool {
        let now = self.clock.now;
        let founding = &self.founding;
        if founding.record_read || founding.call_pending || now < founding.next_read || !self.settings.stores {
            return false;
        }
        let stores = self.membership.present().filter(|member| member.stores).count() as u64;
        let spread = READ_SPREAD.0 * stores.max(1);
        // Uniform between half the spread and one and a half, so that the reads of the nodes don't fall together.
        let wait = spread / 2 + self.random.random_range(0..=spread);
        self.founding.next_read = now + Millis(wait);
        true
    }

    /// Asks a storing node where the groups are, if this node knows too little.
    fn ask_directory(&mut self) {
        let known = self.directory.entries().filter(|entry| entry.leader.is_some()).count();
        if known > 0 && known == self.directory.group_count() as usize {
            return;
        }
        let from = self.settings.id;
        for node in self.membership.sample_present(DIRECTORY_PEERS) {
            self.send(node, PeerMessage::DirectoryRequest { from });
        }
    }

    pub(super) fn on_directory_request(&mut self, from: NodeId) {
        let group_count = self.directory.group_count();
        if group_count == 0 {
            return;
        }
        let entries = self.directory.entries().cloned().collect();
        self.send(from, PeerMessage::DirectoryAnswer { group_count, entries });
    }

    pub(super) fn on_directory_answer(&mut self, group_count: u32, entries: Vec<DirectoryEntry>) {
        self.directory.learn_group_count(group_count);
        for entry in entries {
            self.directory.learn(entry);
        }
    }

    pub(super) fn on_groups_read(&mut self, outcome: KeyValueOutcome) {
        self.founding.call_pending = false;
        match outcome {
            KeyValueOutcome::Value { value, .. } => {
                if let Ok(record) = serde_json::from_str::<GroupsRecord>(&value) {
                    self.founding.record_read = true;
                    self.take_groups(&record);
                }
            }
            KeyValueOutcome::NotFound => self.found_groups(),
            _ => {}
        }
    }

    /// Tries to found the groups. If another node was first, its record is read at the next tick.
    fn found_groups(&mut self) {
        let Some(fleet) = self.fleet() else { return };
        if !self.settings.stores || fleet.fleet.replica_groups == 0 {
            return;
        }
        let candidates: Vec<StoreCandidate> = self
            .membership
            .present()
            .filter(|member| member.stores)
            .map(|member| StoreCandidate { node: member.id, zone: member.zone.clone() })
            .collect();
        if candidates.len() < self.settings.founding_stores {
            return;
        }
        let record = plan_groups(&candidates, fleet.fleet.replica_groups);
        let Ok(value) = serde_json::to_string(&record) else { return };
        let operation = KeyValueOperation::CompareAndSwap { key: GROUPS_KEY.to_owned(), expected: 0, value };
        self.founding.call_pending = true;
        self.call_key_value(KeyValuePurpose::FoundGroups(record), operation);
    }

    pub(super) fn on_groups_founded(&mut self, record: &GroupsRecord, outcome: KeyValueOutcome) {
        self.founding.call_pending = false;
        self.founding.next = self.clock.now;
        self.founding.next_read = self.clock.now;
        if matches!(outcome, KeyValueOutcome::Written) {
            self.founding.record_read = true;
            self.log(LogEvent::GroupFounded, format!("{} groups", record.groups.len()));
            self.take_groups(record);
        }
    }

    fn take_groups(&mut self, record: &GroupsRecord) {
        self.directory.learn_group_count(record.groups.len() as u32);
        for (place, members) in record.groups.iter().enumerate() {
            let group = GroupId(place as u32);
            self.directory.learn(DirectoryEntry {
                group,
                term: Term(0),
                membership_index: LogIndex(0),
                members: members.iter().copied().collect(),
                leader: None,
            });
            if members.contains(&self.settings.id) {
                self.found_group(group, GroupMembership::of_voters(members.iter().copied()));
            }
        }
    }
}
