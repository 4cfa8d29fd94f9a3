//! Changes that can be committed: which members are live, whether a change may be proposed, and whether one that was proposed
//! has to be withdrawn.

use super::{MEMBER_TIMEOUT, MembershipAction, MembershipPlanner, PairIntent};
use crate::identity::NodeId;
use crate::replication::{GroupMembership, MembershipChange, Replica};
use crate::serving::jobs::directory::StorageDirectory;
use crate::time::{Millis, Timestamp};

/// The time for which an answer shows that a voter is live when a change of the voters is considered. A few heartbeat
/// intervals.
const ANSWER_TIMEOUT: Millis = Millis(500);

impl MembershipPlanner {
    /// Returns the wanted change if it is safe now. It is considered anew once its voters have answered again.
    pub(super) fn safe_step(
        &mut self,
        replica: &Replica,
        directory: &StorageDirectory,
        wanted: Option<MembershipChange>,
        now: Timestamp,
    ) -> Option<MembershipChange> {
        let since =
            self.wanted_change.filter(|(known, since)| Some(*known) == wanted && now.since(*since) < ANSWER_TIMEOUT);
        self.wanted_change = since.or(wanted.map(|change| (change, now)));
        let (change, since) = self.wanted_change?;
        // A voter that may be live is given up only for others that all are.
        let next = replica.membership().after(change);
        let mut removed = replica.membership().voters.difference(&next.voters);
        let removes_live_voter = removed.any(|voter| !self.is_lost(replica, directory, *voter, now));
        self.leaves_live_majority(replica, change, removes_live_voter, since).then_some(change)
    }

    /// Returns whether a majority of the voters after a change holds all committed entries, and has answered a message that
    /// was sent since the change is wanted. Otherwise the change, which is in effect as soon as it is appended, might never be
    /// committed. If the change removes a voter that may be live, all others have to be.
    fn leaves_live_majority(
        &self,
        replica: &Replica,
        change: MembershipChange,
        removes_live_voter: bool,
        wanted_since: Timestamp,
    ) -> bool {
        let next = replica.membership().after(change);
        let has_answered = |node: &NodeId| {
            let acked_send = replica.progress(*node).and_then(|progress| progress.last_acked_send);
            *node == self.own || acked_send.is_some_and(|at| at >= wanted_since)
        };
        let is_caught_up = |node: &NodeId| {
            let is_promoted = change == MembershipChange::Promote(*node);
            self.is_caught_up(replica, *node) || (is_promoted && self.is_nearly_caught_up(replica, *node))
        };
        let is_nearly_live = |node: &NodeId| has_answered(node) && self.is_nearly_caught_up(replica, *node);
        if removes_live_voter && !next.voters.iter().all(is_nearly_live) {
            return false;
        }
        next.voters.iter().filter(|node| has_answered(node) && is_caught_up(node)).count() >= next.majority()
    }

    /// Withdraws a change of this replica that can't be committed. If it forms a pair, the pair is dissolved first, so that
    /// the other member does not continue alone.
    pub(super) fn plan_withdrawal(
        &mut self,
        replica: &Replica,
        directory: &StorageDirectory,
        now: Timestamp,
    ) -> Option<MembershipAction> {
        if !self.is_change_lost(replica, directory, now) {
            return None;
        }
        if self.pair.allows_change(replica.membership(), replica.log().known_membership_index()) {
            let confirmation = self.confirm_pair(replica);
            let is_confirmed = self.is_pair_confirmed(replica.membership());
            return if is_confirmed { Some(MembershipAction::WithdrawChange) } else { confirmation };
        }
        self.pair_write(&PairIntent { wants_withdrawal: true, ..PairIntent::default() }, replica)
    }

    /// Returns whether this replica proposed a change that can't be committed, but without which there would be a leader.
    fn is_change_lost(&self, replica: &Replica, directory: &StorageDirectory, now: Timestamp) -> bool {
        let Some(before) = replica.membership_before_withdrawable_change() else { return false };
        let has_majority = |membership: &GroupMembership| {
            let live = membership.voters.iter().filter(|voter| !self.is_lost(replica, directory, **voter, now));
            live.count() >= membership.majority()
        };
        !has_majority(replica.membership()) && has_majority(&before)
    }

    /// A member is lost if its machine's disk has a new identity or the node has not been in contact for too long.
    pub(super) fn is_lost(
        &self,
        replica: &Replica,
        directory: &StorageDirectory,
        node: NodeId,
        now: Timestamp,
    ) -> bool {
        node != self.own && (directory.of_node(node).is_none() || self.has_timed_out(replica, node, now))
    }

    /// A member is gone if it is lost, and its machine's disk has a new identity. A directory that lists this node is loaded.
    pub(super) fn is_gone(
        &self,
        replica: &Replica,
        directory: &StorageDirectory,
        node: NodeId,
        now: Timestamp,
    ) -> bool {
        let is_replaced = directory.of_node(self.own).is_some() && directory.of_node(node).is_none();
        is_replaced && self.has_timed_out(replica, node, now)
    }

    fn has_timed_out(&self, replica: &Replica, node: NodeId, now: Timestamp) -> bool {
        let is_old = |at: Option<Timestamp>| at.is_none_or(|at| now.since(at) >= MEMBER_TIMEOUT);
        let answered_at = replica.progress(node).and_then(|progress| progress.last_answer);
        node != self.own && is_old(answered_at) && is_old(self.last_contact.get(&node).copied())
    }
}
