//! Plans the repair of a group by its leader: replaces lost members with other storage nodes.
//!
//! Members change one at a time. The replacement is added as a learner and promoted once caught up; only then is the
//! lost member removed, so that the repair never reduces the number of replicas.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::membership::{GroupMembership, MembershipChange};
use crate::hashing::{hash_parts, rendezvous};
use crate::identity::{GroupId, NodeId};
use crate::time::Millis;

/// Time that a member must be unreachable before it is replaced.
pub const REPAIR_DELAY: Millis = Millis(10_000);

/// A storage node that can host a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreCandidate {
    /// The node's identity.
    pub node: NodeId,
    /// The zone in which the node runs.
    pub zone: Arc<str>,
}

/// The leader's view of one member's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaHealth {
    /// The member.
    pub node: NodeId,
    /// Whether the member has been unreachable for longer than the repair delay.
    pub is_lost: bool,
    /// Whether the member's log is complete enough for promotion to voter.
    pub is_caught_up: bool,
}

/// The state on which a repair plan is based.
#[derive(Clone, Debug)]
pub struct RepairInput<'a> {
    /// The group to repair.
    pub group: GroupId,
    /// The group's leader, which makes the plan. It is never removed as surplus.
    pub leader: NodeId,
    /// The group's current membership.
    pub membership: &'a GroupMembership,
    /// The number of voters that the group should have.
    pub target_voters: usize,
    /// The health of the members.
    pub health: &'a [ReplicaHealth],
    /// All storage nodes that are available, including current members.
    pub candidates: &'a [StoreCandidate],
}

/// A membership change that brings the group closer to its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepairStep(pub MembershipChange);

/// Returns the next step toward a group with the target number of healthy voters, or `None` if no step is needed or
/// possible.
pub fn plan_repair(input: &RepairInput<'_>) -> Option<RepairStep> {
    let lost: BTreeSet<NodeId> =
        input.health.iter().filter(|health| health.is_lost).map(|health| health.node).collect();
    if let Some(learner) = input.membership.learners.iter().find(|learner| lost.contains(learner)) {
        return Some(RepairStep(MembershipChange::Remove(*learner)));
    }
    if let Some(step) = promote_caught_up(input) {
        return Some(step);
    }
    let healthy = input.membership.voters.iter().filter(|voter| !lost.contains(voter)).count();
    let lost_voter = input.membership.voters.iter().find(|voter| lost.contains(voter));
    if let Some(voter) = lost_voter
        && healthy >= input.target_voters
    {
        return Some(RepairStep(MembershipChange::Remove(*voter)));
    }
    if healthy > input.target_voters {
        return choose_voter_to_remove(input).map(|node| RepairStep(MembershipChange::Remove(node)));
    }
    if healthy < input.target_voters && input.membership.learners.is_empty() {
        return choose_new_member(input, &lost).map(|node| RepairStep(MembershipChange::AddLearner(node)));
    }
    None
}

/// Chooses the voter to remove from a group with too many voters, for example after a replaced member has rejoined.
/// Prefers voters that share their zone with another one, and among those the lowest-ranked by rendezvous hashing.
fn choose_voter_to_remove(input: &RepairInput<'_>) -> Option<NodeId> {
    let voters: Vec<&StoreCandidate> = rank_candidates(input.candidates, input.group)
        .into_iter()
        .filter(|candidate| input.membership.voters.contains(&candidate.node))
        .collect();
    let shares_zone =
        |candidate: &&&StoreCandidate| voters.iter().filter(|other| other.zone == candidate.zone).count() > 1;
    let is_removable = |candidate: &&&StoreCandidate| candidate.node != input.leader;
    let last_in_shared_zone = voters.iter().rev().filter(is_removable).find(shares_zone);
    last_in_shared_zone.or_else(|| voters.iter().rev().find(is_removable)).map(|candidate| candidate.node)
}

fn promote_caught_up(input: &RepairInput<'_>) -> Option<RepairStep> {
    let is_caught_up = |node: &NodeId| {
        input.health.iter().any(|health| health.node == *node && health.is_caught_up && !health.is_lost)
    };
    let learner = input.membership.learners.iter().find(|learner| is_caught_up(learner))?;
    Some(RepairStep(MembershipChange::Promote(*learner)))
}

/// Chooses a node to add to the group. Prefers nodes in zones without a healthy member.
fn choose_new_member(input: &RepairInput<'_>, lost: &BTreeSet<NodeId>) -> Option<NodeId> {
    let zones: BTreeSet<&str> = input
        .candidates
        .iter()
        .filter(|candidate| input.membership.contains(candidate.node) && !lost.contains(&candidate.node))
        .map(|candidate| &*candidate.zone)
        .collect();
    let non_members: Vec<&StoreCandidate> = rank_candidates(input.candidates, input.group)
        .into_iter()
        .filter(|candidate| !input.membership.contains(candidate.node))
        .collect();
    let in_new_zone = non_members.iter().find(|non_member| !zones.contains(&*non_member.zone));
    in_new_zone.or_else(|| non_members.first()).map(|non_member| non_member.node)
}

/// Returns the candidates for a group ordered by rendezvous hashing, best first.
pub(crate) fn rank_candidates(candidates: &[StoreCandidate], group: GroupId) -> Vec<&StoreCandidate> {
    let key = hash_parts(&[b"group", &group.0.to_le_bytes()]);
    rendezvous(key, candidates.iter(), |candidate| candidate.node.0, candidates.len())
}
