//! What a replica says of itself: whether it leads, whether it may answer reads, how far its group is.

use super::log::{LogIndex, ReplicatedLog, Term};
use super::membership::GroupMembership;
use super::progress::Progress;
use super::replica::Replica;
use super::role::Role;
use crate::identity::{GroupId, NodeId};
use crate::time::{Millis, Timestamp};

/// A leader's read lease, in percent of the time for which its followers keep to it.
const READ_LEASE_PERCENT: u64 = 80;

impl Replica {
    /// The replica's group.
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Whether this replica leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The leader of this term, if known.
    pub fn leader(&self) -> Option<NodeId> {
        match &self.role {
            Role::Leader(_) => Some(self.id),
            Role::Follower { leader } => *leader,
            _ => None,
        }
    }

    /// Whether this leader has committed an entry of its own term, and so knows all that is committed.
    pub fn is_established_leader(&self) -> bool {
        match &self.role {
            Role::Leader(state) => self.commit >= state.first_index && self.applied >= state.first_index,
            _ => false,
        }
    }

    /// Whether this leader may answer reads from its state: it knows all that is committed, and a majority
    /// followed it so recently that none of them can have helped to elect another leader since. The lease
    /// counts from when the leader sent what they answered, and is shorter than they keep to it.
    pub fn may_answer_reads(&self, now: Timestamp) -> bool {
        let Role::Leader(state) = &self.role else { return false };
        if state.transfer.is_some() || !self.is_established_leader() {
            return false;
        }
        let lease = Millis(self.settings.election_timeout.0 * READ_LEASE_PERCENT / 100);
        let membership = self.log.membership();
        let follows = |voter: &NodeId| {
            let since = state.progress.get(voter).and_then(|progress| progress.follows_since);
            *voter == self.id || since.is_some_and(|at| now.since(at) < lease)
        };
        membership.voters.iter().filter(|voter| follows(voter)).count() >= membership.majority()
    }

    /// How far the group has committed, as known here.
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// How far the state machine was fed.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// The log.
    pub fn log(&self) -> &ReplicatedLog {
        &self.log
    }

    /// The membership in force.
    pub fn membership(&self) -> &GroupMembership {
        self.log.membership()
    }

    /// For a leader: what it knows of a follower.
    pub fn progress(&self, node: NodeId) -> Option<&Progress> {
        match &self.role {
            Role::Leader(state) => state.progress.get(&node),
            _ => None,
        }
    }

    /// Whether every voter that answers holds the log up to `index` on disk.
    pub fn is_on_all_responsive_voters(&self, index: LogIndex, now: Timestamp) -> bool {
        let Role::Leader(state) = &self.role else { return false };
        let window = Millis(self.settings.heartbeat_interval.0 * 3);
        let answering = |progress: &Progress| progress.last_answer.is_some_and(|at| now.since(at) < window);
        self.log.membership().voters.iter().filter(|voter| **voter != self.id).all(|voter| {
            state.progress.get(voter).is_none_or(|progress| progress.matched >= index || !answering(progress))
        })
    }

    /// Whether all voters, this one included, hold the log up to the applied place.
    pub fn all_members_caught_up(&self) -> bool {
        let Role::Leader(state) = &self.role else { return true };
        let others = self.log.membership().members().filter(|member| *member != self.id);
        others
            .into_iter()
            .all(|member| state.progress.get(&member).is_some_and(|progress| progress.matched >= self.applied))
    }
}
