//! The bootstrap of all replica groups by one compare-and-swap.
//!
//! The key-value service only decides which of several concurrent bootstraps wins. Afterwards each
//! group stores its membership in its own log, independently of the service.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::identity::{GroupId, NodeId};
use crate::replication::{StoreCandidate, rank_candidates};

/// Key of the bootstrap record in the key-value service.
pub const GROUPS_KEY: &str = "groups";
/// Number of replicas per group, if there are enough storage nodes.
pub const REPLICAS_PER_GROUP: usize = 3;

/// The bootstrap record: the initial members of each group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupsRecord {
    /// The initial members, indexed by group ID.
    pub groups: Vec<BTreeSet<NodeId>>,
}

/// Chooses the members of every group by rendezvous hashing, in distinct zones where possible.
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
