//! The membership of a replica group.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::identity::NodeId;

/// The members of a group. Each change affects a single member, so that majorities of the old and the new membership
/// always overlap (Ongaro's thesis, section 4.1).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMembership {
    /// Replicas that vote and count toward a majority.
    pub voters: BTreeSet<NodeId>,
    /// Replicas that receive the log but neither vote nor count toward a majority.
    pub learners: BTreeSet<NodeId>,
}

/// A change of a single member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a replica that receives the log without voting.
    AddLearner(NodeId),
    /// Turns a learner into a voter.
    Promote(NodeId),
    /// Removes a voter or learner.
    Remove(NodeId),
}

impl GroupMembership {
    /// Creates a membership without learners.
    pub fn of_voters(voters: impl IntoIterator<Item = NodeId>) -> Self {
        Self { voters: voters.into_iter().collect(), learners: BTreeSet::new() }
    }

    /// Returns the number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether `node` is a voter or a learner.
    pub fn contains(&self, node: NodeId) -> bool {
        self.voters.contains(&node) || self.learners.contains(&node)
    }

    /// Returns all members, voters first.
    pub fn members(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.voters.iter().chain(self.learners.iter()).copied()
    }

    /// Returns the membership that results from `change`.
    pub fn after(&self, change: MembershipChange) -> Self {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner(node) => {
                if !next.voters.contains(&node) {
                    next.learners.insert(node);
                }
            }
            MembershipChange::Promote(node) => {
                if next.learners.remove(&node) {
                    next.voters.insert(node);
                }
            }
            MembershipChange::Remove(node) => {
                next.voters.remove(&node);
                next.learners.remove(&node);
            }
        }
        next
    }
}
