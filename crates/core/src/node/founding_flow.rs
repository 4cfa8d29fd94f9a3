//! Bootstraps the replica groups and locates existing ones.

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

/// Interval between directory requests while the number of groups is unknown.
const DIRECTORY_RETRY_INTERVAL: Millis = Millis(1_000);
/// Mean interval between reads of the bootstrap record, over all storage nodes together.
const RECORD_READ_INTERVAL: Millis = Millis(200);
/// Interval between directory checks once the number of groups is known.
const DIRECTORY_REFRESH_INTERVAL: Millis = Millis(5_000);
/// Number of nodes queried for their directory at a time.
const DIRECTORY_PEERS: usize = 2;

/// Progress in locating or bootstrapping the groups.
pub(super) struct BootstrapState {
    next: Timestamp,
    call_pending: bool,
    /// Whether the bootstrap record was read or written. It is immutable and need not be read again.
    record_read: bool,
    /// Earliest time of the next read of the bootstrap record.
    next_read: Timestamp,
}

impl BootstrapState {
    pub(super) fn new(now: Timestamp) -> Self {
        Self { next: now, call_pending: false, record_read: false, next_read: now }
    }
}

impl Node {
    pub(super) fn tick_bootstrap(&mut self) {
        let now = self.clock.now;
        if now < self.bootstrap.next {
            return;
        }
        let is_known = self.directory.group_count() > 0;
        self.bootstrap.next = now + if is_known { DIRECTORY_REFRESH_INTERVAL } else { DIRECTORY_RETRY_INTERVAL };
        self.request_directory();
        if self.may_read_record() {
            self.bootstrap.call_pending = true;
            let operation = KeyValueOperation::Get { key: GROUPS_KEY.to_owned() };
            self.call_key_value(KeyValuePurpose::ReadGroups, operation);
        }
    }

    /// Returns whether the bootstrap record is due to be read, and schedules the next read.
    ///
    /// Storage nodes read the record until they have it, because they may be members of a group. The reads are
    /// spread over all storage nodes to limit the load on the service. Other nodes query their peers instead.
    fn may_read_record(&mut self) -> bool {
        let now = self.clock.now;
        let bootstrap = &self.bootstrap;
        if bootstrap.record_read || bootstrap.call_pending || now < bootstrap.next_read || !self.settings.stores {
            return false;
        }
        let stores = self.membership.present().filter(|member| member.stores).count() as u64;
        let mean_wait = RECORD_READ_INTERVAL.0 * stores.max(1);
        // Jitter between 0.5 and 1.5 times the mean prevents the nodes from reading at the same time.
        let wait = mean_wait / 2 + self.random.random_range(0..=mean_wait);
        self.bootstrap.next_read = now + Millis(wait);
        true
    }

    /// Queries random nodes for their directory unless the leader of every group is known.
    fn request_directory(&mut self) {
        let known_leaders = self.directory.entries().filter(|entry| entry.leader.is_some()).count();
        if known_leaders > 0 && known_leaders == self.directory.group_count() as usize {
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
        self.directory.set_group_count(group_count);
        for entry in entries {
            self.directory.upsert(entry);
        }
    }

    pub(super) fn on_groups_read(&mut self, outcome: KeyValueOutcome) {
        self.bootstrap.call_pending = false;
        match outcome {
            KeyValueOutcome::Value { value, .. } => {
                if let Ok(record) = serde_json::from_str::<GroupsRecord>(&value) {
                    self.bootstrap.record_read = true;
                    self.apply_groups_record(&record);
                }
            }
            KeyValueOutcome::NotFound => self.bootstrap_groups(),
            _ => {}
        }
    }

    /// Attempts to bootstrap the groups. If another node wins, its record is read on the next tick.
    fn bootstrap_groups(&mut self) {
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
        self.bootstrap.call_pending = true;
        self.call_key_value(KeyValuePurpose::WriteGroups(record), operation);
    }

    pub(super) fn on_groups_written(&mut self, record: &GroupsRecord, outcome: KeyValueOutcome) {
        self.bootstrap.call_pending = false;
        self.bootstrap.next = self.clock.now;
        self.bootstrap.next_read = self.clock.now;
        if matches!(outcome, KeyValueOutcome::Written) {
            self.bootstrap.record_read = true;
            self.log(LogEvent::GroupFounded, format!("{} groups", record.groups.len()));
            self.apply_groups_record(record);
        }
    }

    fn apply_groups_record(&mut self, record: &GroupsRecord) {
        self.directory.set_group_count(record.groups.len() as u32);
        for (index, members) in record.groups.iter().enumerate() {
            let group = GroupId(index as u32);
            self.directory.upsert(DirectoryEntry {
                group,
                term: Term(0),
                membership_index: LogIndex(0),
                members: members.iter().copied().collect(),
                leader: None,
            });
            if members.contains(&self.settings.id) {
                self.bootstrap_group(group, GroupMembership::of_voters(members.iter().copied()));
            }
        }
    }
}
