//! Replaces lost members of the groups that this node leads, one membership change at a time.
//!
//! Determines the health of each member; `plan_repair` selects the next change.

use super::groups::HostedGroup;
use super::machine::Node;
use crate::identity::{GroupId, NodeId};
use crate::log_event::LogEvent;
use crate::node::control::REPLICAS_PER_GROUP;
use crate::replication::{MembershipChange, REPAIR_DELAY, RepairInput, ReplicaHealth, StoreCandidate, plan_repair};
use crate::time::Timestamp;

/// Maximum number of missing log entries for a learner to count as caught up.
const MAX_CAUGHT_UP_LAG: u64 = 16;

impl Node {
    pub(super) fn repair_groups(&mut self) {
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
                target_voters: REPLICAS_PER_GROUP,
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
        let absent_since = match self.membership.member(node) {
            Some(member) if member.is_present() => None,
            Some(_) => self.membership.changed_at(node),
            None => Some(Timestamp::default()),
        };
        let progress = hosted.replica.progress(node);
        let matched = progress.map_or(0, |progress| progress.matched.0);
        let is_responsive =
            progress.and_then(|progress| progress.last_answer).is_some_and(|at| now.since(at) < REPAIR_DELAY);
        let is_absent = absent_since.is_some_and(|since| now.since(since) >= REPAIR_DELAY);
        ReplicaHealth {
            node,
            is_lost: !is_own && is_absent && !is_responsive,
            is_caught_up: matched + MAX_CAUGHT_UP_LAG >= hosted.replica.commit().0 && is_responsive,
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
}
