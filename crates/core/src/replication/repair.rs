//! The repair of a group by its leader: a member that is gone is replaced by a spare node.
//!
//! One member changes at a time. A new replica learns first, then votes; only then is the lost one
//! removed, so that the group never counts fewer copies than it has.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::membership::{GroupMembership, MembershipChange};
use crate::hashing::{hash_parts, rendezvous};
use crate::identity::{GroupId, NodeId};
use crate::time::Millis;

/// How long a member is gone before it is replaced.
pub const REPAIR_DELAY: Millis = Millis(10_000);

/// A node that could hold a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreCandidate {
    /// The node.
    pub node: NodeId,
    /// Its zone.
    pub zone: Arc<str>,
}

/// What the leader knows of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaHealth {
    /// The member.
    pub node: NodeId,
    /// It is gone for longer than the delay.
    pub is_lost: bool,
    /// Its log is nearly whole.
    pub is_caught_up: bool,
}

/// What the plan goes by.
#[derive(Clone, Debug)]
pub struct RepairInput<'a> {
    /// The group.
    pub group: GroupId,
    /// Its leader, which makes the plan.
    pub leader: NodeId,
    /// Its membership.
    pub membership: &'a GroupMembership,
    /// How many voters it should have.
    pub target_voters: usize,
    /// What is known of its members.
    pub health: &'a [ReplicaHealth],
    /// All nodes that store and are present, members included.
    pub candidates: &'a [StoreCandidate],
}

/// The next step of a repair.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepairStep(pub MembershipChange);

/// The next step toward a group of enough members that are all there, if one is due.
pub fn plan_repair(input: &RepairInput<'_>) -> Option<RepairStep> {
    let lost: BTreeSet<NodeId> =
        input.health.iter().filter(|health| health.is_lost).map(|health| health.node).collect();
    if let Some(learner) = input.membership.learners.iter().find(|learner| lost.contains(learner)) {
        return Some(RepairStep(MembershipChange::Remove(*learner)));
    }
    if let Some(step) = promote_caught_up(input) {
        return Some(step);
    }
    let sound = input.membership.voters.iter().filter(|voter| !lost.contains(voter)).count();
    let lost_voter = input.membership.voters.iter().find(|voter| lost.contains(voter));
    if let Some(voter) = lost_voter
        && sound >= input.target_voters
    {
        return Some(RepairStep(MembershipChange::Remove(*voter)));
    }
    if sound > input.target_voters {
        return choose_surplus(input).map(|node| RepairStep(MembershipChange::Remove(node)));
    }
    if sound < input.target_voters && input.membership.learners.is_empty() {
        return choose_spare(input, &lost).map(|node| RepairStep(MembershipChange::AddLearner(node)));
    }
    None
}

/// A member that came back after it was replaced is one too many: the voter to let go is one that
/// shares its zone with another, and among those the last in the order of rendezvous hashing.
fn choose_surplus(input: &RepairInput<'_>) -> Option<NodeId> {
    let voters: Vec<&StoreCandidate> = rank_candidates(input.candidates, input.group)
        .into_iter()
        .filter(|candidate| input.membership.voters.contains(&candidate.node))
        .collect();
    let shares_zone =
        |candidate: &&&StoreCandidate| voters.iter().filter(|other| other.zone == candidate.zone).count() > 1;
    let may_go = |candidate: &&&StoreCandidate| candidate.node != input.leader;
    let last_in_shared_zone = voters.iter().rev().filter(may_go).find(shares_zone);
    last_in_shared_zone.or_else(|| voters.iter().rev().find(may_go)).map(|candidate| candidate.node)
}

fn promote_caught_up(input: &RepairInput<'_>) -> Option<RepairStep> {
    let is_caught_up = |node: &NodeId| {
        input.health.iter().any(|health| health.node == *node && health.is_caught_up && !health.is_lost)
    };
    let learner = input.membership.learners.iter().find(|learner| is_caught_up(learner))?;
    Some(RepairStep(MembershipChange::Promote(*learner)))
}

/// A present node outside the group; one in a zone that has no sound member goes first.
fn choose_spare(input: &RepairInput<'_>, lost: &BTreeSet<NodeId>) -> Option<NodeId> {
    let zones: BTreeSet<&str> = input
        .candidates
        .iter()
        .filter(|candidate| input.membership.contains(candidate.node) && !lost.contains(&candidate.node))
        .map(|candidate| &*candidate.zone)
        .collect();
    let spares: Vec<&StoreCandidate> = rank_candidates(input.candidates, input.group)
        .into_iter()
        .filter(|candidate| !input.membership.contains(candidate.node))
        .collect();
    let in_new_zone = spares.iter().find(|spare| !zones.contains(&*spare.zone));
    in_new_zone.or_else(|| spares.first()).map(|spare| spare.node)
}

/// Candidates for a group in the order of rendezvous hashing.
pub(crate) fn rank_candidates(candidates: &[StoreCandidate], group: GroupId) -> Vec<&StoreCandidate> {
    let key = hash_parts(&[b"group", &group.0.to_le_bytes()]);
    rendezvous(key, candidates.iter(), |candidate| candidate.node.0, candidates.len())
}
