//! The replicas that this node hosts: passes messages and ticks to them, executes their effects, and
//! applies committed entries.
//!
//! Owns the replicas and their state machines. `group_requests` answers requests; `group_repair`
//! replaces lost members.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::effect::Effect;
use super::group_requests::PendingCommand;
use super::machine::Node;
use super::settings::NodeSettings;
use super::status::GroupStatus;
use crate::identity::{GroupId, JobId, NodeId};
use crate::log_event::LogEvent;
use crate::node::control::DirectoryEntry;
use crate::node::partition::{Command, CommandOutcome, JobPhase, PartitionState};
use crate::peer_message::PeerMessage;
use crate::replication::{
    EntryPayload, GroupMembership, LogIndex, PersistedReplica, Replica, ReplicaEffect, ReplicaSettings,
    ReplicationMessage, Snapshot,
};
use crate::time::{Millis, Timestamp};

/// Interval between health checks of group members.
const REPAIR_INTERVAL: Millis = Millis(1_000);
/// Factor by which a log may exceed its size limit while a follower lags behind.
const MAX_LOG_GROWTH_FACTOR: usize = 4;
/// A hosted replica with its state machine.
pub(super) struct HostedGroup {
    pub(super) replica: Replica,
    pub(super) state: PartitionState,
    pub(super) pending: BTreeMap<LogIndex, PendingCommand>,
    was_leader: bool,
}

/// All hosted replicas.
pub(super) struct GroupHost {
    id: NodeId,
    settings: ReplicaSettings,
    pub(super) hosted: BTreeMap<GroupId, HostedGroup>,
    random: Xoshiro256PlusPlus,
    next_repair: Timestamp,
}

impl GroupHost {
    pub(super) fn new(
        settings: &NodeSettings,
        persisted: BTreeMap<GroupId, PersistedReplica>,
        now: Timestamp,
        seed: u64,
    ) -> Self {
        let mut host = Self {
            id: settings.id,
            settings: settings.replication,
            hosted: BTreeMap::new(),
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            next_repair: now + REPAIR_INTERVAL,
        };
        for (group, replica) in persisted {
            host.open(group, replica, now);
        }
        host
    }

    /// Starts a replica. Decoding cannot fail here because the store has verified the snapshot.
    fn open(&mut self, group: GroupId, persisted: PersistedReplica, now: Timestamp) {
        let state = PartitionState::decode(&persisted.snapshot.state).unwrap_or_default();
        let seed = self.random.random();
        let replica = Replica::new(group, self.id, self.settings, persisted, now, seed);
        let hosted = HostedGroup { replica, state, pending: BTreeMap::new(), was_leader: false };
        self.hosted.insert(group, hosted);
    }

    pub(super) fn get(&self, group: GroupId) -> Option<&HostedGroup> {
        self.hosted.get(&group)
    }

    pub(super) fn ids(&self) -> Vec<GroupId> {
        self.hosted.keys().copied().collect()
    }

    /// Returns the groups of which this node is the established leader.
    pub(super) fn led(&self) -> impl Iterator<Item = (GroupId, &HostedGroup)> {
        self.hosted
            .iter()
            .filter(|(_, hosted)| hosted.replica.is_established_leader())
            .map(|(group, hosted)| (*group, hosted))
    }

    pub(super) fn statuses(&self) -> Vec<GroupStatus> {
        let name_all = |nodes: &std::collections::BTreeSet<NodeId>| nodes.iter().map(NodeId::to_string).collect();
        self.hosted
            .iter()
            .map(|(group, hosted)| GroupStatus {
                group: group.0,
                leads: hosted.replica.is_leader(),
                term: hosted.replica.term().0,
                commit: hosted.replica.commit().0,
                caught_up: hosted.replica.is_established_leader() && hosted.replica.all_members_caught_up(),
                voters: name_all(&hosted.replica.membership().voters),
                learners: name_all(&hosted.replica.membership().learners),
            })
            .collect()
    }
}

impl Node {
    pub(super) fn tick_groups(&mut self) {
        let now = self.clock.now;
        for group in self.groups.ids() {
            if let Some(hosted) = self.groups.hosted.get_mut(&group) {
                hosted.replica.tick(now);
            }
            self.settle_group(group);
            self.compact_group(group);
        }
        if now >= self.groups.next_repair {
            self.groups.next_repair = now + REPAIR_INTERVAL;
            self.repair_groups();
        }
    }

    pub(super) fn on_replication(&mut self, message: ReplicationMessage) {
        if !self.settings.stores || message.to != self.settings.id {
            self.counters.messages_refused += 1;
            let detail = format!("replication message for {} from {}", message.to, message.from);
            self.log(LogEvent::MessageRefused, detail);
            return;
        }
        let group = message.group;
        if self.groups.get(group).is_none() {
            self.groups.open(group, PersistedReplica::default(), self.clock.now);
        }
        let now = self.clock.now;
        if let Some(hosted) = self.groups.hosted.get_mut(&group) {
            hosted.replica.step(message, now);
        }
        self.settle_group(group);
    }

    /// Bootstraps a hosted replica with the initial membership from the bootstrap record.
    pub(super) fn bootstrap_group(&mut self, group: GroupId, membership: GroupMembership) {
        if self.groups.get(group).is_none() {
            self.groups.open(group, PersistedReplica::default(), self.clock.now);
        }
        let now = self.clock.now;
        if let Some(hosted) = self.groups.hosted.get_mut(&group) {
            hosted.replica.bootstrap(membership, now);
        }
        self.settle_group(group);
    }

    /// Executes a replica's effects, applies its committed entries, and answers pending commands.
    pub(super) fn settle_group(&mut self, group: GroupId) {
        let Some(hosted) = self.groups.hosted.get_mut(&group) else { return };
        let effects = hosted.replica.take_effects();
        for effect in effects {
            match effect {
                ReplicaEffect::Persist(write) => self.effects.push(Effect::Persist { group, write }),
                ReplicaEffect::Send(message) | ReplicaEffect::SendNow(message) => {
                    self.send(message.to, PeerMessage::Replication(message))
                }
                ReplicaEffect::Restore(snapshot) => self.restore_group(group, &snapshot),
            }
        }
        self.update_leadership(group);
        self.apply_committed(group);
        self.answer_pending_commands(group);
    }

    fn restore_group(&mut self, group: GroupId, snapshot: &Snapshot) {
        if let Some(hosted) = self.groups.hosted.get_mut(&group)
            && let Some(state) = PartitionState::decode(&snapshot.state)
        {
            hosted.state = state;
        }
        self.log(LogEvent::SnapshotInstalled, format!("group {group} up to entry {}", snapshot.index.0));
    }

    fn update_leadership(&mut self, group: GroupId) {
        let local_id = self.settings.id;
        let Some(hosted) = self.groups.hosted.get_mut(&group) else { return };
        let entry = DirectoryEntry {
            group,
            term: hosted.replica.term(),
            membership_index: hosted.replica.log().membership_index(),
            members: hosted.replica.membership().voters.iter().copied().collect(),
            leader: hosted.replica.leader(),
        };
        let leads = hosted.replica.is_leader();
        let changed = leads != hosted.was_leader;
        hosted.was_leader = leads;
        if !entry.members.is_empty() {
            self.directory.upsert(entry.clone());
        }
        if !changed {
            return;
        }
        if leads {
            self.log(LogEvent::LeaderElected, format!("group {group} in term {}", entry.term.0));
        } else {
            self.log(LogEvent::LeaderStoodDown, format!("group {group} at {local_id}"));
            self.reject_pending_commands(group);
        }
        self.batch.is_dirty = true;
    }

    fn apply_committed(&mut self, group: GroupId) {
        let now = self.clock.now;
        let Some(hosted) = self.groups.hosted.get_mut(&group) else { return };
        let mut log_events = Vec::new();
        let mut applied_any = false;
        while let Some(entry) = hosted.replica.next_committed() {
            applied_any = true;
            let EntryPayload::Command(bytes) = &entry.payload else { continue };
            let Some(command) = Command::decode(bytes) else { continue };
            let outcome = hosted.state.apply(&command);
            if hosted.replica.is_leader() {
                log_events.extend(Self::log_event_for(&command, &outcome, &hosted.state));
            }
            if let Some(pending) = hosted.pending.get_mut(&entry.index) {
                if pending.term == entry.term {
                    pending.applied = Some((now, outcome));
                } else {
                    hosted.pending.remove(&entry.index);
                }
            }
        }
        if applied_any {
            self.batch.is_dirty = true;
        }
        for (event, job) in log_events {
            self.log(event, job.to_string());
        }
    }

    /// Returns the log event that an applied command causes, if any.
    fn log_event_for(command: &Command, outcome: &CommandOutcome, state: &PartitionState) -> Option<(LogEvent, JobId)> {
        match (command, outcome) {
            (Command::AcceptJob { job }, CommandOutcome::JobOpen { phase: JobPhase::Accepted, .. }) => {
                Some((LogEvent::JobAccepted, *job))
            }
            (Command::CancelJob { job, .. }, CommandOutcome::JobOpen { phase: JobPhase::Cancelled, .. }) => {
                Some((LogEvent::JobCancelled, *job))
            }
            (Command::CompleteItems { job, results, .. }, CommandOutcome::ItemsCompleted { dropped }) => {
                let is_complete = state.job(*job).is_some_and(crate::node::partition::Job::is_complete);
                if is_complete && (*dropped as usize) < results.len() {
                    return Some((LogEvent::JobCompleted, *job));
                }
                (*dropped > 0).then_some((LogEvent::ResultDropped, *job))
            }
            _ => None,
        }
    }

    /// Compacts the log if it exceeds its size limit. Compaction is deferred while a follower lags
    /// behind, so that the follower can catch up without a snapshot.
    fn compact_group(&mut self, group: GroupId) {
        let limit = self.settings.compact_bytes;
        let Some(hosted) = self.groups.hosted.get_mut(&group) else { return };
        let bytes = hosted.replica.log().bytes();
        let is_wanted = bytes > limit && hosted.replica.all_members_caught_up();
        let is_overdue = bytes > limit * MAX_LOG_GROWTH_FACTOR;
        if (is_wanted || is_overdue) && hosted.replica.has_applied_since_snapshot() {
            let state = hosted.state.encode();
            hosted.replica.compact(state);
            self.settle_group(group);
        }
    }

    /// Transfers the leadership of every group that this node leads. Returns whether no transfer is
    /// pending.
    pub(super) fn transfer_all_leadership(&mut self) -> bool {
        let now = self.clock.now;
        let local_id = self.settings.id;
        let present: Vec<NodeId> = self.membership.present().map(|member| member.id).collect();
        let mut leads_none = true;
        for group in self.groups.ids() {
            let Some(hosted) = self.groups.hosted.get_mut(&group) else { continue };
            if !hosted.replica.is_leader() {
                continue;
            }
            let voters = hosted.replica.membership().voters.clone();
            let target = voters
                .into_iter()
                .filter(|voter| *voter != local_id && present.contains(voter))
                .max_by_key(|voter| hosted.replica.progress(*voter).map(|progress| progress.matched));
            if let Some(target) = target {
                leads_none = false;
                hosted.replica.transfer_leadership(target, now);
            }
            self.settle_group(group);
        }
        leads_none
    }
}
