//! The replicas that this node hosts: feeding them, applying what they commit, and answering those
//! who asked.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::effect::Effect;
use super::machine::Node;
use super::settings::NodeSettings;
use super::status::GroupStatus;
use crate::identity::{GroupId, JobId, NodeId};
use crate::log_event::LogEvent;
use crate::node::control::{DirectoryEntry, REPLICAS_PER_GROUP};
use crate::node::partition::{Command, CommandOutcome, JobPhase, PartitionState};
use crate::peer_message::{GroupAnswer, GroupAnswerBody, GroupRefusal, GroupRequest, GroupRequestBody, PeerMessage};
use crate::replication::{
    EntryPayload, GroupMembership, LogIndex, MembershipChange, PersistedReplica, ProposalError, REPAIR_DELAY,
    RepairInput, Replica, ReplicaEffect, ReplicaHealth, ReplicaSettings, ReplicationMessage, Snapshot, StoreCandidate,
    Term, plan_repair,
};
use crate::time::{Millis, Timestamp};

/// Time between two looks at the health of a group's members.
const REPAIR_INTERVAL: Millis = Millis(1_000);
/// A log may grow to this many times its limit while a follower is behind.
const COMPACT_PATIENCE: usize = 4;
/// A learner is caught up when it misses at most this many entries.
const CAUGHT_UP_ENTRIES: u64 = 16;

/// Someone who waits for a command to be applied.
struct Waiting {
    term: Term,
    request: u64,
    from: NodeId,
    applied: Option<(Timestamp, CommandOutcome)>,
}

/// One hosted replica with its state machine.
pub(super) struct HostedGroup {
    pub(super) replica: Replica,
    pub(super) state: PartitionState,
    waiting: BTreeMap<LogIndex, Waiting>,
    was_leader: bool,
}

/// All hosted replicas.
pub(super) struct GroupHost {
    id: NodeId,
    settings: ReplicaSettings,
    hosted: BTreeMap<GroupId, HostedGroup>,
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

    /// Starts a replica. The store has verified the snapshot, so that it can be read.
    fn open(&mut self, group: GroupId, persisted: PersistedReplica, now: Timestamp) {
        let state = PartitionState::decode(&persisted.snapshot.state).unwrap_or_default();
        let seed = self.random.random();
        let replica = Replica::new(group, self.id, self.settings, persisted, now, seed);
        let hosted = HostedGroup { replica, state, waiting: BTreeMap::new(), was_leader: false };
        self.hosted.insert(group, hosted);
    }

    pub(super) fn get(&self, group: GroupId) -> Option<&HostedGroup> {
        self.hosted.get(&group)
    }

    pub(super) fn ids(&self) -> Vec<GroupId> {
        self.hosted.keys().copied().collect()
    }

    /// Groups that this node leads and knows all of.
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
                caught_up: hosted.replica.is_established_leader() && hosted.replica.all_voters_caught_up(),
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

    /// Gives a hosted replica its first membership, from the founding record.
    pub(super) fn found_group(&mut self, group: GroupId, membership: GroupMembership) {
        if self.groups.get(group).is_none() {
            self.groups.open(group, PersistedReplica::default(), self.clock.now);
        }
        let now = self.clock.now;
        if let Some(hosted) = self.groups.hosted.get_mut(&group) {
            hosted.replica.found(membership, now);
        }
        self.settle_group(group);
    }

    pub(super) fn on_group_request(&mut self, request: GroupRequest) {
        let now = self.clock.now;
        let Some(hosted) = self.groups.hosted.get_mut(&request.group) else {
            let leader = self.directory.get(request.group).and_then(|entry| entry.leader);
            let refusal = GroupRefusal::NotLeader { term: Term(0), leader };
            self.answer_group_request(request.from, request.id, request.group, Err(refusal));
            return;
        };
        match request.body {
            // The groups of this node hold no pass-through jobs, and it keeps no view of a metadata store.
            GroupRequestBody::Jobs(_) | GroupRequestBody::Changes(_) => {
                let result = Err(GroupRefusal::Busy);
                self.answer_group_request(request.from, request.id, request.group, result);
            }
            GroupRequestBody::Query(query) => {
                let result = if hosted.replica.may_answer_reads(now) {
                    Ok(GroupAnswerBody::Answer(hosted.state.query(&query)))
                } else {
                    Err(refusal_of(&hosted.replica))
                };
                self.answer_group_request(request.from, request.id, request.group, result);
            }
            GroupRequestBody::Command(command) => {
                let term = hosted.replica.term();
                match hosted.replica.propose(command.encode(), now) {
                    Ok(index) => {
                        let waiting = Waiting { term, request: request.id, from: request.from, applied: None };
                        hosted.waiting.insert(index, waiting);
                    }
                    Err(ProposalError::NotLeader(_)) => {
                        let refusal = refusal_of(&hosted.replica);
                        self.answer_group_request(request.from, request.id, request.group, Err(refusal));
                    }
                    Err(ProposalError::Busy) => {
                        let result = Err(GroupRefusal::Busy);
                        self.answer_group_request(request.from, request.id, request.group, result);
                    }
                }
                self.settle_group(request.group);
            }
        }
    }

    fn answer_group_request(
        &mut self,
        to: NodeId,
        id: u64,
        group: GroupId,
        result: Result<GroupAnswerBody, GroupRefusal>,
    ) {
        self.send(to, PeerMessage::GroupAnswer(GroupAnswer { id, group, result }));
    }

    /// Carries out what a replica wants, applies what it committed, and answers those who wait.
    fn settle_group(&mut self, group: GroupId) {
        let Some(hosted) = self.groups.hosted.get_mut(&group) else { return };
        let effects = hosted.replica.take_effects();
        for effect in effects {
            match effect {
                ReplicaEffect::Persist(write) => self.effects.push(Effect::Persist { group, write }),
                ReplicaEffect::Send(message) => self.send(message.to, PeerMessage::Replication(message)),
                ReplicaEffect::Restore(snapshot) => self.restore_group(group, &snapshot),
            }
        }
        self.note_leadership(group);
        self.apply_committed(group);
        self.answer_waiting(group);
    }

    fn restore_group(&mut self, group: GroupId, snapshot: &Snapshot) {
        if let Some(hosted) = self.groups.hosted.get_mut(&group)
            && let Some(state) = PartitionState::decode(&snapshot.state)
        {
            hosted.state = state;
        }
        self.log(LogEvent::SnapshotInstalled, format!("group {group} up to entry {}", snapshot.index.0));
    }

    fn note_leadership(&mut self, group: GroupId) {
        let own = self.settings.id;
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
            self.directory.learn(entry.clone());
        }
        if !changed {
            return;
        }
        if leads {
            self.log(LogEvent::LeaderElected, format!("group {group} in term {}", entry.term.0));
        } else {
            self.log(LogEvent::LeaderStoodDown, format!("group {group} at {own}"));
            self.drop_waiting(group);
        }
        self.batch.is_dirty = true;
    }

    /// Whoever waits at a deposed leader is told to ask again elsewhere.
    fn drop_waiting(&mut self, group: GroupId) {
        let Some(hosted) = self.groups.hosted.get_mut(&group) else { return };
        let refusal = refusal_of(&hosted.replica);
        let waiting = std::mem::take(&mut hosted.waiting);
        for waiting in waiting.into_values() {
            self.answer_group_request(waiting.from, waiting.request, group, Err(refusal));
        }
    }

    fn apply_committed(&mut self, group: GroupId) {
        let now = self.clock.now;
        let Some(hosted) = self.groups.hosted.get_mut(&group) else { return };
        let mut notices = Vec::new();
        let mut applied_any = false;
        while let Some(entry) = hosted.replica.next_committed() {
            applied_any = true;
            let EntryPayload::Command(bytes) = &entry.payload else { continue };
            let Some(command) = Command::decode(bytes) else { continue };
            let outcome = hosted.state.apply(&command);
            if hosted.replica.is_leader() {
                notices.extend(Self::notice_of(&command, &outcome, &hosted.state));
            }
            if let Some(waiting) = hosted.waiting.get_mut(&entry.index) {
                if waiting.term == entry.term {
                    waiting.applied = Some((now, outcome));
                } else {
                    hosted.waiting.remove(&entry.index);
                }
            }
        }
        if applied_any {
            self.batch.is_dirty = true;
        }
        for (event, job) in notices {
            self.log(event, job.to_string());
        }
    }

    /// What an applied command means for the log.
    fn notice_of(command: &Command, outcome: &CommandOutcome, state: &PartitionState) -> Option<(LogEvent, JobId)> {
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

    /// An outcome is told once every replica that answers holds it, or after a short wait.
    fn answer_waiting(&mut self, group: GroupId) {
        let now = self.clock.now;
        let wait = self.settings.replication.acknowledge_wait;
        let Some(hosted) = self.groups.hosted.get_mut(&group) else { return };
        let mut ready = Vec::new();
        for (index, waiting) in &hosted.waiting {
            let Some((applied_at, _)) = &waiting.applied else { break };
            let waited = now.since(*applied_at) >= wait;
            if !waited && !hosted.replica.is_held_by_all_answering(*index, now) {
                break;
            }
            ready.push(*index);
        }
        let answered: Vec<Waiting> = ready.iter().filter_map(|index| hosted.waiting.remove(index)).collect();
        for waiting in answered {
            if let Some((_, outcome)) = waiting.applied {
                let result = Ok(GroupAnswerBody::Outcome(outcome));
                self.answer_group_request(waiting.from, waiting.request, group, result);
            }
        }
    }

    /// Bounds the log. While a follower is behind, the log is kept a while longer, so that it can
    /// catch up without a snapshot.
    fn compact_group(&mut self, group: GroupId) {
        let limit = self.settings.compact_bytes;
        let Some(hosted) = self.groups.hosted.get_mut(&group) else { return };
        let bytes = hosted.replica.log().bytes();
        let due = bytes > limit && hosted.replica.all_voters_caught_up();
        if due || bytes > limit * COMPACT_PATIENCE {
            let state = hosted.state.encode();
            hosted.replica.compact(state);
            self.settle_group(group);
        }
    }

    // Repair.

    fn repair_groups(&mut self) {
        let candidates: Vec<StoreCandidate> = self
            .membership
            .present()
            .filter(|member| member.stores)
            .map(|member| StoreCandidate { node: member.id, zone: member.zone.clone() })
            .collect();
        for group in self.groups.ids() {
            let Some(hosted) = self.groups.get(group) else { continue };
            if !hosted.replica.is_established_leader() {
                continue;
            }
            let membership = hosted.replica.membership().clone();
            let health: Vec<ReplicaHealth> =
                membership.members().map(|node| self.replica_health(hosted, node)).collect();
            let input = RepairInput {
                group,
                leader: self.settings.id,
                wanted: REPLICAS_PER_GROUP,
                membership: &membership,
                health: &health,
                candidates: &candidates,
            };
            if let Some(step) = plan_repair(&input) {
                self.change_membership(group, step.0);
            }
        }
    }

    fn replica_health(&self, hosted: &HostedGroup, node: NodeId) -> ReplicaHealth {
        let now = self.clock.now;
        let is_own = node == self.settings.id;
        let gone_since = match self.membership.member(node) {
            Some(member) if member.is_present() => None,
            Some(_) => self.membership.changed_at(node),
            None => Some(Timestamp::default()),
        };
        let progress = hosted.replica.progress(node);
        let matched = progress.map_or(0, |progress| progress.matched.0);
        let answers = progress.and_then(|progress| progress.last_answer).is_some_and(|at| now.since(at) < REPAIR_DELAY);
        let is_gone = gone_since.is_some_and(|since| now.since(since) >= REPAIR_DELAY);
        ReplicaHealth {
            node,
            is_lost: !is_own && is_gone && !answers,
            is_caught_up: matched + CAUGHT_UP_ENTRIES >= hosted.replica.commit().0 && answers,
        }
    }

    fn change_membership(&mut self, group: GroupId, change: MembershipChange) {
        let now = self.clock.now;
        let Some(hosted) = self.groups.hosted.get_mut(&group) else { return };
        if hosted.replica.propose_membership(change, now).is_err() {
            return;
        }
        match change {
            MembershipChange::AddLearner(node) => {
                self.log(LogEvent::ReplicaAdded, format!("group {group}: {node} learns"));
            }
            MembershipChange::Promote(node) => {
                self.log(LogEvent::ReplicaAdded, format!("group {group}: {node} votes"));
            }
            MembershipChange::Remove(node) => {
                self.log(LogEvent::ReplicaRemoved, format!("group {group}: {node}"));
            }
        }
        self.settle_group(group);
    }

    /// Hands over every group that this node leads. Returns whether it leads none any more.
    pub(super) fn hand_over_leadership(&mut self) -> bool {
        let now = self.clock.now;
        let own = self.settings.id;
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
                .filter(|voter| *voter != own && present.contains(voter))
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

fn refusal_of(replica: &Replica) -> GroupRefusal {
    if replica.is_leader() {
        return GroupRefusal::Busy;
    }
    GroupRefusal::NotLeader { term: replica.term(), leader: replica.leader() }
}
