//! Withdrawal of a membership change that can't be committed.
//!
//! A change is in effect once it is appended. If the voters of the new membership are lost before they acknowledge it, no
//! leader can be elected under it, and the voters that only the former membership has refuse the shorter log of each
//! other. The replica that proposed the change may then remove it from its own log:
//!
//! * only the leader that appended the change could have committed it, and this replica knows that it has not;
//! * another leader that has the change needs the vote of this replica, which is not granted any more once it has entries of
//!   a later term. The replica therefore forgets its proposal as soon as it votes for another one or follows a leader.
//!
//! What is known of the proposal is not stored: after a restart the replica can't tell whether it was committed.

use super::log::LogIndex;
use super::membership::GroupMembership;
use super::replica::Replica;
use super::role::Role;

impl Replica {
    /// Returns the membership before the change that this replica may withdraw, or `None` if there is no such change.
    pub fn membership_before_withdrawable_change(&self) -> Option<GroupMembership> {
        self.withdrawable_change().map(|index| self.log.membership_at(index.previous()))
    }

    /// Removes the change, and all entries after it, from this replica's log. They were never committed. Has no effect if
    /// there is no change that may be withdrawn.
    pub fn withdraw_membership_change(&mut self) {
        let Some(index) = self.withdrawable_change() else { return };
        self.proposed_change = None;
        self.role = Role::Follower { leader: None };
        self.truncate_from(index);
        self.flush();
    }

    fn withdrawable_change(&self) -> Option<LogIndex> {
        let is_without_leader = !self.is_leader() && self.leader().is_none();
        self.proposed_change.filter(|index| *index > self.commit && is_without_leader)
    }
}
