//! The founding of all replica groups by one compare-and-swap.
//!
//! The key-value service decides only which of several founders wins. After that the groups keep
//! their own membership in their logs, so that no later step needs the service.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::identity::{GroupId, NodeId};
use crate::replication::{StoreCandidate, rank_candidates};

/// Where the founding record is kept in the key-value service.
pub const GROUPS_KEY: &str = "groups";
/// How many replicas a group has, where there are enough storing nodes.
pub const REPLICAS_PER_GROUP: usize = 3;

/// The founding record: the first members of each group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupsRecord {
    /// The members of group 0, 1 and so on.
    pub groups: Vec<BTreeSet<NodeId>>,
}

/// Chooses the members of every group: by rendezvous hashing, in different zones as far as there are.
pub fn plan_groups(candidates: &[StoreCandidate], group_count: u32) -> GroupsRecord {
    let groups = (0..group_count).map(|group| choose_members(candidates, GroupId(group))).collect();
    GroupsRecord { groups }
}

fn choose_members(candidates: &[StoreCandidate], group: GroupId) -> BTreeSet<NodeId> {
    let mut members = BTreeSet::new();
    let mut zones = BTreeSet::new();
    let ranked = rank_candidates(candidates, group);
    for candidate in &ranked {
        if members.len() < REPLICAS_PER_GROUP && zones.insert(candidate.zone.clone()) {
            members.insert(candidate.node);
        }
    }
    for candidate in &ranked {
        if members.len() < REPLICAS_PER_GROUP {
            members.insert(candidate.node);
        }
    }
    members
}
