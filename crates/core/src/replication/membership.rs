//! Who belongs to a replica group.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::identity::NodeId;

/// The members of a group. A change alters one member at a time, so that the majorities of the old
/// and the new membership always overlap (Ongaro's thesis, section 4.1).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMembership {
    /// Replicas that vote and count toward a majority.
    pub voters: BTreeSet<NodeId>,
    /// Replicas that receive the log but neither vote nor count.
    pub learners: BTreeSet<NodeId>,
}

/// A change of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Start to send the log to a new replica.
    AddLearner(NodeId),
    /// Let a learner vote.
    Promote(NodeId),
    /// Remove a voter or learner.
    Remove(NodeId),
}

impl GroupMembership {
    /// A group of voters only.
    pub fn of_voters(voters: impl IntoIterator<Item = NodeId>) -> Self {
        Self { voters: voters.into_iter().collect(), learners: BTreeSet::new() }
    }

    /// How many voters are a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether `node` receives the log.
    pub fn contains(&self, node: NodeId) -> bool {
        self.voters.contains(&node) || self.learners.contains(&node)
    }

    /// Every member, voters first.
    pub fn members(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.voters.iter().chain(self.learners.iter()).copied()
    }

    /// The membership after `change`.
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
