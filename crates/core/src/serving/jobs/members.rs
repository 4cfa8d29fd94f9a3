//! Who should hold the job table: lost members are replaced, machines are drained by order, and a group
//! of two is kept able to lose one.
//!
//! Every replica has one of these; [`MembershipPlanner::plan`] says what is due, and a driver carries it out.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::directory::{StorageDirectory, StorageRecord};
use super::pair::{PairRecord, PairView, StoredPair};
use crate::hashing::{hash_bytes, rendezvous_weight};
use crate::identity::NodeId;
use crate::replication::{
    GroupMembership, MembershipChange, RepairInput, Replica, ReplicaHealth, StoreCandidate, plan_repair,
};
use crate::time::{Millis, Timestamp};

/// A member that has not answered for this long is replaced where there is a spare, in milliseconds. One that restarts
/// is not replaced at once.
const LOST_AFTER: Millis = Millis(2_200);
/// A spare that was not in contact for this long is not chosen, in milliseconds. A dead one isn't taken in.
const SPARE_CONTACT_WITHIN: Millis = Millis(1_500);
/// The time between two plans, in milliseconds. Saves processor time.
const INTERVAL: Millis = Millis(100);
/// A member of a pair counts as lost once it was not in contact for this long, in milliseconds. A survivor is named
/// only once the other is surely gone.
const PAIR_LOST_AFTER: Millis = Millis(3_500);

/// The time between two join requests of a spare, in milliseconds. The leader learns of a spare this soon.
const JOIN_INTERVAL: Millis = Millis(400);
/// Spares of each zone that ask at that interval.
const READY_SPARES: usize = 4;
/// The time between two join requests of all other spares, in milliseconds: they take the place of ready ones that are
/// gone, and cost the leader little however many they are.
const RESERVE_JOIN_INTERVAL: Millis = Millis(4_000);

/// The place of a storing node among those of its zone, as all nodes rank them.
pub fn spare_rank(directory: &StorageDirectory, zone: &str, own: NodeId) -> usize {
    let key = hash_bytes(zone.as_bytes());
    let own_weight = rendezvous_weight(key, own.0);
    let in_zone = directory.records().filter(|record| &*record.zone == zone && record.node != own);
    in_zone.filter(|record| rendezvous_weight(key, record.node.0) < own_weight).count()
}

/// How many voters bear the loss of `tolerated` of them: what a majority holds is then still held by a
/// majority's worth of the rest.
pub fn voters_tolerating(tolerated: usize) -> usize {
    2 * tolerated + 1
}

/// Whether a group of that many voters goes on with all that it acknowledged after the loss of `tolerated`
/// of them. Of a pair either member may go on alone ([`super::pair`]).
fn tolerates_losses(voters: usize, tolerated: usize) -> bool {
    let is_pair = voters == 2 && tolerated == 1;
    is_pair || voters >= voters_tolerating(tolerated)
}

/// How far the draining of a machine is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainState {
    /// Copies are being made elsewhere.
    InProgress,
    /// The machine holds nothing that is needed.
    Completed,
}

/// Something that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Change one member.
    Change(MembershipChange),
    /// Hand leadership to a member.
    TransferLeadership(NodeId),
    /// Write the pair's record if the store's revision of it is still this one.
    WritePair {
        /// The record.
        record: PairRecord,
        /// The revision.
        revision: u64,
    },
    /// Go on as the only voter: the store says so.
    ContinueAlone,
    /// Report to the operator how far the draining of a machine is.
    ReportDrain {
        /// The machine.
        machine: Arc<str>,
        /// How far it is.
        state: DrainState,
    },
}

/// What one replica knows of the others, and what it has reported.
#[derive(Clone, Debug)]
pub struct MembershipPlanner {
    own: NodeId,
    /// Losses of disks that must be borne at once.
    tolerated: usize,
    started_at: Timestamp,
    looked_at: Timestamp,
    last_join: Timestamp,
    last_contact: BTreeMap<NodeId, Timestamp>,
    drains: BTreeMap<Arc<str>, Option<DrainState>>,
    pair: StoredPair,
    pair_write_under_way: bool,
}

impl MembershipPlanner {
    /// Knows nothing of the others yet. The group should bear the loss of `tolerated` disks at once.
    pub fn new(own: NodeId, tolerated: usize, now: Timestamp) -> Self {
        Self {
            own,
            tolerated,
            started_at: now,
            looked_at: now,
            last_join: now,
            last_contact: BTreeMap::new(),
            drains: BTreeMap::new(),
            pair: StoredPair::default(),
            pair_write_under_way: false,
        }
    }

    /// Another node was in contact.
    pub fn record_contact(&mut self, node: NodeId, now: Timestamp) {
        self.last_contact.insert(node, now);
    }

    /// The operator wants a machine drained.
    pub fn drain(&mut self, machine: Arc<str>) {
        self.drains.entry(machine).or_insert(None);
    }

    /// The store has this as the pair's record.
    pub fn apply_pair_record(&mut self, pair: StoredPair) {
        self.pair.take(pair);
    }

    /// A write of the pair's record ended; `read` is the record after it, if known.
    pub fn finish_pair_write(&mut self, read: Option<StoredPair>) {
        self.pair_write_under_way = false;
        if let Some(pair) = read {
            self.pair.take(pair);
        }
    }

    /// Whether a join request is due: this node is outside the membership, or knows no leader. If so, the next one is
    /// due an interval from now.
    /// `rank` is the node's place among the storing nodes of its zone: the leader needs to know of a few spares only.
    pub fn poll_join(&mut self, replica: &Replica, rank: usize, now: Timestamp) -> bool {
        let belongs = replica.membership().contains(self.own) && replica.leader().is_some();
        let is_ready = rank < READY_SPARES || replica.membership().contains(self.own);
        let interval = if is_ready { JOIN_INTERVAL } else { RESERVE_JOIN_INTERVAL };
        let is_due = !belongs && now.since(self.last_join) >= interval;
        if is_due {
            self.last_join = now;
        }
        is_due
    }

    /// What is due now. Only a node that `may_hold` the table is taken in.
    pub fn plan(
        &mut self,
        replica: &Replica,
        leads: bool,
        directory: &StorageDirectory,
        may_hold: impl Fn(&StorageRecord) -> bool,
        now: Timestamp,
    ) -> Vec<MembershipAction> {
        if now.since(self.looked_at) < INTERVAL {
            return Vec::new();
        }
        self.looked_at = now;
        if leads {
            self.plan_as_leader(replica, directory, may_hold, now)
        } else {
            self.plan_as_survivor(replica, directory, now)
        }
    }

    /// A caught-up voter that could lead in this node's place.
    pub fn successor(&self, replica: &Replica) -> Option<NodeId> {
        self.successor_but(replica, &BTreeSet::new())
    }

    /// The same, outside of `drained`.
    fn successor_but(&self, replica: &Replica, drained: &BTreeSet<NodeId>) -> Option<NodeId> {
        let voters = replica.membership().voters.iter().copied();
        let mut others = voters.filter(|voter| *voter != self.own && !drained.contains(voter));
        others.find(|voter| self.is_caught_up(replica, *voter))
    }

    fn plan_as_leader(
        &mut self,
        replica: &Replica,
        directory: &StorageDirectory,
        may_hold: impl Fn(&StorageRecord) -> bool,
        now: Timestamp,
    ) -> Vec<MembershipAction> {
        let membership = replica.membership();
        let drained = self.drained_nodes(directory);
        // A member that is to be drained as well would hand leadership back at once, and so on. Until another one can take
        // over, this node leads on and replaces the others.
        if drained.contains(&self.own)
            && membership.voters.contains(&self.own)
            && let Some(target) = self.successor_but(replica, &drained)
        {
            return vec![MembershipAction::TransferLeadership(target)];
        }
        let mut actions = Vec::new();
        let step = self.next_step(replica, directory, &drained, may_hold, now);
        let changes_voters = matches!(step, Some(MembershipChange::Promote(_) | MembershipChange::Remove(_)));
        actions.extend(self.pair_write(replica, true, changes_voters, false));
        if changes_voters && !self.pair.allows_change(membership, replica.log().membership_index()) {
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
        may_hold: impl Fn(&StorageRecord) -> bool,
        now: Timestamp,
    ) -> Option<MembershipChange> {
        let membership = replica.membership();
        // This node is replaced by whoever leads after it.
        let is_drained = |node: &NodeId| *node != self.own && drained.contains(node);
        let candidates: Vec<StoreCandidate> = directory
            .records()
            .filter(|record| !drained.contains(&record.node) && self.is_there(record.node, now))
            .filter(|record| may_hold(record))
            .map(|record| StoreCandidate { node: record.node, zone: record.zone.clone() })
            .collect();
        let health: Vec<ReplicaHealth> = membership
            .members()
            .map(|node| ReplicaHealth {
                node,
                is_lost: is_drained(&node) || self.is_lost(replica, directory, node, now),
                is_caught_up: self.is_caught_up(replica, node),
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
        let step = plan_repair(&input).map(|step| step.0);
        // Where no spare takes an drained machine's place, the others go on without it if they are enough.
        let may_shrink = tolerates_losses(membership.voters.len().saturating_sub(1), self.tolerated);
        let drained_voter = || membership.voters.iter().copied().find(|voter| may_shrink && is_drained(voter));
        let removal = || drained_voter().filter(|_| membership.learners.is_empty()).map(MembershipChange::Remove);
        step.or_else(removal)
    }

    /// A member of a pair whose other member is lost becomes the survivor, once the store says so.
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
        if self.pair.makes_survivor(self.own, membership, replica.log().membership_index()) {
            return vec![MembershipAction::ContinueAlone];
        }
        if !self.other_of_pair_is_lost(membership, directory, now) {
            return Vec::new();
        }
        self.pair_write(replica, false, false, true).into_iter().collect()
    }

    fn other_of_pair_is_lost(
        &self,
        membership: &GroupMembership,
        directory: &StorageDirectory,
        now: Timestamp,
    ) -> bool {
        let Some(other) = membership.voters.iter().copied().find(|voter| *voter != self.own) else { return false };
        // The directory is known if it lists this node; then another identity lies on the other's disk.
        let is_replaced = directory.of_node(self.own).is_some() && directory.of_node(other).is_none();
        let contact_at = self.last_contact.get(&other).copied().unwrap_or(self.started_at);
        is_replaced || now.since(contact_at) >= PAIR_LOST_AFTER
    }

    fn pair_write(
        &mut self,
        replica: &Replica,
        leads: bool,
        wants_change: bool,
        other_is_lost: bool,
    ) -> Option<MembershipAction> {
        if self.pair_write_under_way {
            return None;
        }
        let index = replica.log().membership_index();
        let view = PairView {
            own: self.own,
            leads,
            membership: replica.membership(),
            index,
            is_committed: index <= replica.commit(),
            other_is_lost,
            wants_change,
        };
        let record = self.pair.next_write(&view)?;
        self.pair_write_under_way = true;
        Some(MembershipAction::WritePair { record, revision: self.pair.revision })
    }

    fn drained_nodes(&self, directory: &StorageDirectory) -> BTreeSet<NodeId> {
        let records = self.drains.keys().filter_map(|machine| directory.of_machine(machine));
        records.map(|record| record.node).collect()
    }

    fn is_there(&self, node: NodeId, now: Timestamp) -> bool {
        node == self.own || self.last_contact.get(&node).is_some_and(|at| now.since(*at) < SPARE_CONTACT_WITHIN)
    }

    /// A member is lost once another identity lies on its machine's disk, or it is silent for long.
    fn is_lost(&self, replica: &Replica, directory: &StorageDirectory, node: NodeId, now: Timestamp) -> bool {
        if node == self.own {
            return false;
        }
        let is_silent = |at: Option<Timestamp>| at.is_none_or(|at| now.since(at) >= LOST_AFTER);
        let answered_at = replica.progress(node).and_then(|progress| progress.last_answer);
        let contact_at = self.last_contact.get(&node).copied();
        directory.of_node(node).is_none() || (is_silent(answered_at) && is_silent(contact_at))
    }

    fn is_caught_up(&self, replica: &Replica, node: NodeId) -> bool {
        node == self.own || replica.progress(node).is_some_and(|progress| progress.matched >= replica.commit())
    }

    /// Machines whose duty has been moved: they hold no member, the change is committed, and all members
    /// hold the whole log.
    fn drain_reports(&mut self, replica: &Replica, directory: &StorageDirectory) -> Vec<MembershipAction> {
        let membership = replica.membership();
        let index = replica.log().membership_index();
        let is_settled = index <= replica.commit()
            && self.pair.is_whole(membership, index)
            && replica.all_members_caught_up()
            && membership.learners.is_empty();
        let mut reports = Vec::new();
        for (machine, reported) in &mut self.drains {
            let holds_member = directory.of_machine(machine).is_some_and(|record| membership.contains(record.node));
            let state = if holds_member || !is_settled { DrainState::InProgress } else { DrainState::Completed };
            if *reported != Some(state) && *reported != Some(DrainState::Completed) {
                *reported = Some(state);
                reports.push(MembershipAction::ReportDrain { machine: machine.clone(), state });
            }
        }
        reports
    }
}
