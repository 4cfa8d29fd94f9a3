//! Accessors for the state of a replica: leadership, read lease and replication progress.

use super::log::{LogIndex, ReplicatedLog, Term};
use super::membership::GroupMembership;
use super::progress::Progress;
use super::replica::Replica;
use super::role::Role;
use crate::identity::{GroupId, NodeId};
use crate::time::{Millis, Timestamp};

/// The read lease of a leader, in percent of the time for which its followers refuse to elect another one. Below 100 to
/// allow for clock drift.
const READ_LEASE_PERCENT: u64 = 80;

impl Replica {
    /// Returns the replica's group.
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns whether this replica is the leader of the current term.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<NodeId> {
        match &self.role {
            Role::Leader(_) => Some(self.id),
            Role::Follower { leader } => *leader,
            _ => None,
        }
    }

    /// Returns whether this replica is a leader that has committed and applied an entry of its own term. Its state then
    /// includes all entries committed in earlier terms.
    pub fn is_established_leader(&self) -> bool {
        match &self.role {
            Role::Leader(state) => self.commit >= state.first_index && self.applied >= state.first_index,
            _ => false,
        }
    }

    /// Returns whether this replica is an established leader with a valid read lease, so that it may answer reads from
    /// its local state.
    ///
    /// The lease is valid while a majority followed this leader so recently that none of them can have helped to elect
    /// another one. It starts at the send time of the messages that they answered, and is shorter than the time for
    /// which they refuse votes.
    pub fn may_answer_reads(&self, now: Timestamp) -> bool {
        let Role::Leader(state) = &self.role else { return false };
        if state.transfer.is_some() || !self.is_established_leader() {
            return false;
        }
        let lease = Millis(self.settings.election_timeout.0 * READ_LEASE_PERCENT / 100);
        let membership = self.log.membership();
        let is_within_lease = |voter: &NodeId| {
            let since = state.progress.get(voter).and_then(|progress| progress.last_acked_send);
            *voter == self.id || since.is_some_and(|at| now.since(at) < lease)
        };
        membership.voters.iter().filter(|voter| is_within_lease(voter)).count() >= membership.majority()
    }

    /// Returns the highest index known to be committed.
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Returns the index of the last entry handed to the state machine.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns the log of this replica.
    pub fn log(&self) -> &ReplicatedLog {
        &self.log
    }

    /// Returns the membership in effect.
    pub fn membership(&self) -> &GroupMembership {
        self.log.membership()
    }

    /// Returns the replication progress of a follower, or `None` if this replica is not the leader.
    pub fn progress(&self, node: NodeId) -> Option<&Progress> {
        match &self.role {
            Role::Leader(state) => state.progress.get(&node),
            _ => None,
        }
    }

    /// Returns whether every voter that answered recently has persisted the log up to `index`.
    pub fn is_on_all_responsive_voters(&self, index: LogIndex, now: Timestamp) -> bool {
        let Role::Leader(state) = &self.role else { return false };
        let window = Millis(self.settings.answer_time.0 * 3);
        let is_responsive = |progress: &Progress| progress.last_answer.is_some_and(|at| now.since(at) < window);
        self.log.membership().voters.iter().filter(|voter| **voter != self.id).all(|voter| {
            state.progress.get(voter).is_none_or(|progress| progress.matched >= index || !is_responsive(progress))
        })
    }

    /// Returns whether all members, learners included, have the log up to the applied index. Always true on a replica
    /// that is not the leader.
    pub fn all_members_caught_up(&self) -> bool {
        let Role::Leader(state) = &self.role else { return true };
        let others = self.log.membership().members().filter(|member| *member != self.id);
        others
            .into_iter()
            .all(|member| state.progress.get(&member).is_some_and(|progress| progress.matched >= self.applied))
    }
}
