//! Membership of the job table's group: replaces lost members, drains machines on request, and lets a group of two
//! tolerate the loss of one member. A spare is a storage node that is not a member.
//!
//! Each replica has its own [`MembershipPlanner`]. [`MembershipPlanner::plan`] returns the actions that are due, and the
//! caller carries them out. `change_safety` decides which changes can be committed.

mod change_safety;
mod dissolved_pair;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use self::dissolved_pair::DissolvedPair;
use super::directory::{StorageDirectory, StorageRecord};
use super::pair::{PairRecord, PairView, StoredPair};
use crate::hashing::{hash_bytes, rendezvous_weight};
use crate::identity::NodeId;
use crate::replication::{
    GroupMembership, LogIndex, MembershipChange, RepairInput, Replica, ReplicaHealth, StoreCandidate, plan_repair,
};
use crate::time::{Millis, Timestamp};

/// The time without contact after which a member is replaced if there is a spare. Long enough for a restart.
const MEMBER_TIMEOUT: Millis = Millis(2_200);
/// A spare is added to the group only if it was in contact within this time. Keeps a dead one from being added.
const SPARE_CONTACT_TIMEOUT: Millis = Millis(1_500);
/// The interval between two plans. Limits the CPU time of planning.
const PLAN_INTERVAL: Millis = Millis(100);
/// The time without contact after which a member of a pair is considered lost. Longer than for larger groups, because
/// the survivor continues alone.
const PAIR_MEMBER_TIMEOUT: Millis = Millis(3_500);

/// A learner is caught up if it holds what was committed this long ago. A lone voter commits its entries at once, so its learner
/// always lags by those on the way.
const LEARNER_LAG: Millis = Millis(500);

/// The interval between two join requests of a ready spare. Bounds how late the leader learns of a spare.
const JOIN_INTERVAL: Millis = Millis(400);
/// The number of spares in each zone that send join requests at the short interval.
const MAX_READY_SPARES: usize = 4;
/// The interval between two join requests of all other spares, which replace ready spares that are gone. Keeps the load
/// of the leader low in large fleets.
const RESERVE_JOIN_INTERVAL: Millis = Millis(4_000);

/// Returns the rank of a storage node among those of its zone. All nodes compute the same ranking.
pub fn spare_rank(directory: &StorageDirectory, zone: &str, own: NodeId) -> usize {
    let key = hash_bytes(zone.as_bytes());
    let own_weight = rendezvous_weight(key, own.0);
    let in_zone = directory.records().filter(|record| &*record.zone == zone && record.node != own);
    in_zone.filter(|record| rendezvous_weight(key, record.node.0) < own_weight).count()
}

/// Returns the number of voters required to tolerate the loss of `tolerated` of them. Data stored by a majority then
/// survives on at least one of the rest.
pub fn voters_tolerating(tolerated: usize) -> usize {
    2 * tolerated + 1
}

/// Returns whether a group with this number of voters retains all acknowledged data and continues after the loss of
/// `tolerated` of them. Either member of a pair may continue alone (see [`super::pair`]).
fn tolerates_losses(voters: usize, tolerated: usize) -> bool {
    let is_pair = voters == 2 && tolerated == 1;
    is_pair || voters >= voters_tolerating(tolerated)
}

/// The progress of draining a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainState {
    /// Replicas are being created elsewhere.
    InProgress,
    /// The machine can be removed without loss of data.
    Completed,
}

/// An action that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Changes one member.
    Change(MembershipChange),
    /// Transfers leadership to another member.
    TransferLeadership(NodeId),
    /// Writes the record of the pair if its revision in the store is unchanged.
    WritePair {
        /// The record to write.
        record: PairRecord,
        /// The expected revision.
        revision: u64,
    },
    /// Withdraws a change of this replica that can't be committed, since too many of the voters that it leaves are lost.
    WithdrawChange,
    /// Continues as the only voter, as decided by the metadata store.
    ContinueAlone,
    /// Campaigns for the vote of the only learner of a pair whose other member is gone for good.
    CampaignWithLearner,
    /// Reports the progress of draining a machine to the operator.
    ReportDrain {
        /// The name of the machine.
        machine: Arc<str>,
        /// The progress of the drain.
        state: DrainState,
    },
}

/// What a replica wants of the record of the pair.
#[derive(Clone, Copy, Debug, Default)]
struct PairIntent {
    leads: bool,
    wants_change: bool,
    wants_withdrawal: bool,
    other_is_lost: bool,
}

/// Plans the changes of membership for one replica, from its contacts with other nodes and the requested drains.
#[derive(Clone, Debug)]
pub struct MembershipPlanner {
    own: NodeId,
    /// The number of disks that may be lost at the same time.
    tolerated: usize,
    started_at: Timestamp,
    planned_at: Timestamp,
    last_join: Timestamp,
    last_contact: BTreeMap<NodeId, Timestamp>,
    drains: BTreeMap<Arc<str>, Option<DrainState>>,
    pair: StoredPair,
    pair_write_in_progress: bool,
    /// The revision of the record of the pair that this process last wrote, or read from the store after a write.
    confirmed_pair: Option<u64>,
    dissolved_pair: DissolvedPair,
    /// The change that is due, and the time since which its voters have to answer.
    wanted_change: Option<(MembershipChange, Timestamp)>,
    /// What was committed at the plans of the last [`LEARNER_LAG`], while this node led.
    commits: VecDeque<(Timestamp, LogIndex)>,
}

impl MembershipPlanner {
    /// Creates a planner without any contacts. The group should tolerate the loss of `tolerated` disks at the same
    /// time.
    pub fn new(own: NodeId, tolerated: usize, now: Timestamp) -> Self {
        Self {
            own,
            tolerated,
            started_at: now,
            planned_at: now,
            last_join: now,
            last_contact: BTreeMap::new(),
            drains: BTreeMap::new(),
            pair: StoredPair::default(),
            pair_write_in_progress: false,
            confirmed_pair: None,
            dissolved_pair: DissolvedPair::default(),
            wanted_change: None,
            commits: VecDeque::new(),
        }
    }

    /// Records that another node was in contact.
    pub fn record_contact(&mut self, node: NodeId, now: Timestamp) {
        self.last_contact.insert(node, now);
    }

    /// Returns the time since another node was in contact; `None` if it never was.
    pub fn contact_age(&self, node: NodeId, now: Timestamp) -> Option<Millis> {
        self.last_contact.get(&node).map(|at| now.since(*at))
    }

    /// Requests that a machine be drained.
    pub fn drain(&mut self, machine: Arc<str>) {
        self.drains.entry(machine).or_insert(None);
    }

    /// Applies the record of the pair as read from the store.
    pub fn apply_pair_record(&mut self, pair: StoredPair) {
        self.pair.update(pair);
    }

    /// Finishes a write of the record of the pair. `read` is the record after the write, if known.
    pub fn finish_pair_write(&mut self, read: Option<StoredPair>) {
        self.pair_write_in_progress = false;
        self.dissolved_pair.finish_write(read.as_ref());
        if let Some(pair) = read {
            self.confirmed_pair = Some(pair.revision);
            self.pair.update(pair);
        }
    }

    /// Returns whether a join request is due because this node is not a member or knows no leader, and if so schedules
    /// the next one. `rank` is the node's rank among the storage nodes of its zone: only a few spares send requests at
    /// the short interval.
    pub fn poll_join(&mut self, replica: &Replica, rank: usize, now: Timestamp) -> bool {
        let has_joined = replica.membership().contains(self.own) && replica.leader().is_some();
        let is_ready = rank < MAX_READY_SPARES || replica.membership().contains(self.own);
        let interval = if is_ready { JOIN_INTERVAL } else { RESERVE_JOIN_INTERVAL };
        let is_due = !has_joined && now.since(self.last_join) >= interval;
        if is_due {
            self.last_join = now;
        }
        is_due
    }

    /// Returns the actions that are due. Only nodes for which `is_eligible` returns true are added to the group.
    pub fn plan(
        &mut self,
        replica: &Replica,
        leads: bool,
        directory: &StorageDirectory,
        is_eligible: impl Fn(&StorageRecord) -> bool,
        now: Timestamp,
    ) -> Vec<MembershipAction> {
        if now.since(self.planned_at) < PLAN_INTERVAL {
            return Vec::new();
        }
        self.planned_at = now;
        self.record_commit(replica, leads, now);
        if leads {
            self.plan_as_leader(replica, directory, is_eligible, now)
        } else {
            let withdrawal = self.plan_withdrawal(replica, directory, now);
            withdrawal.map_or_else(|| self.plan_as_survivor(replica, directory, now), |action| vec![action])
        }
    }

    /// Returns a caught-up voter that could take over leadership.
    pub fn successor(&self, replica: &Replica) -> Option<NodeId> {
        let others = replica.membership().voters.iter().copied().filter(|voter| *voter != self.own);
        // Another voter may have caught up and then stopped itself, so the one heard from last is preferred.
        others
            .filter(|voter| self.is_caught_up(replica, *voter))
            .max_by_key(|voter| replica.progress(*voter).and_then(|progress| progress.last_answer))
    }

    /// Returns a caught-up voter that could take over leadership and is not in `drained`.
    fn successor_excluding(&self, replica: &Replica, drained: &BTreeSet<NodeId>) -> Option<NodeId> {
        let voters = replica.membership().voters.iter().copied();
        let mut others = voters.filter(|voter| *voter != self.own && !drained.contains(voter));
        others.find(|voter| self.is_caught_up(replica, *voter))
    }

    fn plan_as_leader(
        &mut self,
        replica: &Replica,
        directory: &StorageDirectory,
        is_eligible: impl Fn(&StorageRecord) -> bool,
        now: Timestamp,
    ) -> Vec<MembershipAction> {
        let membership = replica.membership();
        let drained = self.drained_nodes(directory);
        // A successor that is to be drained too would transfer leadership back at once, so this node remains the leader
        // and replaces the other members until another successor has caught up.
        if drained.contains(&self.own)
            && membership.voters.contains(&self.own)
            && let Some(target) = self.successor_excluding(replica, &drained)
        {
            return vec![MembershipAction::TransferLeadership(target)];
        }
        let mut actions = Vec::new();
        let wanted = self.next_step(replica, directory, &drained, is_eligible, now);
        let step = self.safe_step(replica, directory, wanted, now);
        let wants_change = matches!(wanted, Some(MembershipChange::Promote(_) | MembershipChange::Remove(_)));
        let intent = PairIntent { leads: true, wants_change, ..PairIntent::default() };
        actions.extend(self.pair_write(&intent, replica));
        if wants_change && !self.pair.allows_change(membership, replica.log().known_membership_index()) {
            return actions;
        }
        if wants_change && !self.is_pair_confirmed(membership) {
            actions.extend(self.confirm_pair(replica));
            return actions;
        }
        actions.extend(step.map(MembershipAction::Change));
        actions.extend(self.drain_reports(replica, directory));
        actions
    }

    fn next_step(
        &self,
        replica: &Replica,
        directory: &StorageDirectory,
        drained: &BTreeSet<NodeId>,
        is_eligible: impl Fn(&StorageRecord) -> bool,
        now: Timestamp,
    ) -> Option<MembershipChange> {
        let membership = replica.membership();
        // This node is replaced by the next leader.
        let is_drained = |node: &NodeId| *node != self.own && drained.contains(node);
        let candidates: Vec<StoreCandidate> = directory
            .records()
            .filter(|record| !drained.contains(&record.node) && self.is_reachable(record.node, now))
            .filter(|record| is_eligible(record))
            .map(|record| StoreCandidate { node: record.node, zone: record.zone.clone() })
            .collect();
        let health: Vec<ReplicaHealth> = membership
            .members()
            .map(|node| ReplicaHealth {
                node,
                is_lost: is_drained(&node) || self.is_lost(replica, directory, node, now),
                is_caught_up: self.is_nearly_caught_up(replica, node),
            })
            .collect();
        let input = RepairInput {
            group: replica.group(),
            leader: self.own,
            membership,
            target_voters: voters_tolerating(self.tolerated),
            health: &health,
            candidates: &candidates,
        };
        // A voter whose identity is gone never votes again. It is removed before others, which still hold the data, and so is
        // one that is lost: it may not come back.
        let voter =
            |is_chosen: &dyn Fn(NodeId) -> bool| membership.voters.iter().copied().find(|voter| is_chosen(*voter));
        let gone_voter = || voter(&|voter| self.is_gone(replica, directory, voter, now));
        let lost_voter = || voter(&|voter| self.is_lost(replica, directory, voter, now));
        let has_surplus = membership.voters.len() > input.target_voters;
        let surplus = gone_voter().or_else(lost_voter).filter(|_| has_surplus).map(MembershipChange::Remove);
        let repair = || plan_repair(&input).map(|step| step.0);
        // Without a spare to replace such a voter or a drained machine, the group shrinks if the remaining voters are enough.
        let may_shrink = tolerates_losses(membership.voters.len().saturating_sub(1), self.tolerated);
        let has_lost_others = |drained: NodeId| {
            membership.voters.iter().any(|voter| *voter != drained && self.is_lost(replica, directory, *voter, now))
        };
        let drained_voter = || voter(&|voter| is_drained(&voter)).filter(|drained| !has_lost_others(*drained));
        let shrinks = || may_shrink && membership.learners.is_empty();
        let removal = || gone_voter().or_else(drained_voter).filter(|_| shrinks()).map(MembershipChange::Remove);
        surplus.or_else(repair).or_else(removal)
    }

    /// Makes this member the survivor of a pair whose other member is lost, once the metadata store has decided so.
    fn plan_as_survivor(
        &mut self,
        replica: &Replica,
        directory: &StorageDirectory,
        now: Timestamp,
    ) -> Vec<MembershipAction> {
        let membership = replica.membership();
        if replica.is_leader() || membership.voters.len() != 2 || !membership.voters.contains(&self.own) {
            return Vec::new();
        }
        if self.pair.is_survivor(self.own, membership, self.pair.first_index(replica.log(), false)) {
            let confirmation = self.confirm_pair(replica);
            return if self.is_pair_confirmed(membership) {
                vec![MembershipAction::ContinueAlone]
            } else {
                confirmation.into_iter().collect()
            };
        }
        if !self.is_pair_peer_lost(membership, directory, now) {
            return Vec::new();
        }
        if let Some(action) = self.plan_learner_election(replica, directory, now) {
            return vec![action];
        }
        self.pair_write(&PairIntent { other_is_lost: true, ..PairIntent::default() }, replica).into_iter().collect()
    }

    fn is_pair_peer_lost(&self, membership: &GroupMembership, directory: &StorageDirectory, now: Timestamp) -> bool {
        let Some(other) = membership.voters.iter().copied().find(|voter| *voter != self.own) else { return false };
        // A directory that lists this node is loaded; a missing peer then means that its disk has a new identity.
        let is_replaced = directory.of_node(self.own).is_some() && directory.of_node(other).is_none();
        let contact_at = self.last_contact.get(&other).copied().unwrap_or(self.started_at);
        is_replaced || now.since(contact_at) >= PAIR_MEMBER_TIMEOUT
    }

    /// Returns whether the group is not a pair, or its record is known not to have changed since this process wrote or read
    /// it. The view may be that of a node that has not reached the store for long.
    fn is_pair_confirmed(&self, membership: &GroupMembership) -> bool {
        membership.voters.len() != 2 || self.confirmed_pair == Some(self.pair.revision)
    }

    /// Writes the record of the pair once more, unless it is confirmed or a write is in progress.
    fn confirm_pair(&mut self, replica: &Replica) -> Option<MembershipAction> {
        if self.pair_write_in_progress || self.is_pair_confirmed(replica.membership()) {
            return None;
        }
        let record = self.pair.record.clone()?;
        let index = record.index.max(replica.log().membership_index());
        self.pair_write_in_progress = true;
        Some(MembershipAction::WritePair { record: PairRecord { index, ..record }, revision: self.pair.revision })
    }

    fn pair_write(&mut self, intent: &PairIntent, replica: &Replica) -> Option<MembershipAction> {
        if self.pair_write_in_progress {
            return None;
        }
        let record_index = replica.log().membership_index();
        let view = PairView {
            own: self.own,
            leads: intent.leads,
            membership: replica.membership(),
            index: self.pair.first_index(replica.log(), intent.leads),
            record_index,
            is_committed: record_index <= replica.commit(),
            other_is_lost: intent.other_is_lost,
            wants_change: intent.wants_change,
            wants_withdrawal: intent.wants_withdrawal,
        };
        let record = self.pair.next_write(&view)?;
        self.pair_write_in_progress = true;
        Some(MembershipAction::WritePair { record, revision: self.pair.revision })
    }

    fn drained_nodes(&self, directory: &StorageDirectory) -> BTreeSet<NodeId> {
        let records = self.drains.keys().filter_map(|machine| directory.of_machine(machine));
        records.map(|record| record.node).collect()
    }

    fn is_reachable(&self, node: NodeId, now: Timestamp) -> bool {
        node == self.own || self.last_contact.get(&node).is_some_and(|at| now.since(*at) < SPARE_CONTACT_TIMEOUT)
    }

    fn is_caught_up(&self, replica: &Replica, node: NodeId) -> bool {
        node == self.own || replica.progress(node).is_some_and(|progress| progress.matched >= replica.commit())
    }

    fn record_commit(&mut self, replica: &Replica, leads: bool, now: Timestamp) {
        self.commits.retain(|(at, _)| leads && now.since(*at) <= LEARNER_LAG);
        if leads {
            self.commits.push_back((now, replica.commit()));
        }
    }

    /// Returns whether a member holds what was committed a moment ago.
    fn is_nearly_caught_up(&self, replica: &Replica, node: NodeId) -> bool {
        let committed = self.commits.front().map_or(replica.commit(), |(_, commit)| *commit);
        self.is_caught_up(replica, node) || replica.progress(node).is_some_and(|progress| progress.matched >= committed)
    }

    /// A machine is drained once it hosts no member, the change is committed, and all members have the complete log.
    fn drain_reports(&mut self, replica: &Replica, directory: &StorageDirectory) -> Vec<MembershipAction> {
        let membership = replica.membership();
        let index = replica.log().membership_index();
        let is_settled = index <= replica.commit()
            && self.pair.is_intact(membership, replica.log().known_membership_index())
            && replica.all_members_caught_up()
            && membership.learners.is_empty();
        let mut reports = Vec::new();
        for (machine, reported) in &mut self.drains {
            let hosts_member = directory.of_machine(machine).is_some_and(|record| membership.contains(record.node));
            let state = if hosts_member || !is_settled { DrainState::InProgress } else { DrainState::Completed };
            if *reported != Some(state) && *reported != Some(DrainState::Completed) {
                *reported = Some(state);
                reports.push(MembershipAction::ReportDrain { machine: machine.clone(), state });
            }
        }
        reports
    }
}
