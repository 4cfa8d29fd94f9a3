//! Selection of the storage nodes that relay the store's changes, and of the nodes that each of them serves.
//!
//! In a small zone, all nodes query the storage node that ranks first, and that node watches the store. In a zone
//! with many storage nodes, a single relay would serve hundreds of nodes, so there are two tiers: the nodes that rank
//! first (roots) watch the store and are queried only by a few other storage nodes (forwarders), among which the
//! remaining nodes of the zone are distributed. The number of forwarders grows with the number of storage nodes in
//! the zone, so the load of one node does not grow with the fleet.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;

use super::choice::rank_relays;
use crate::hashing::rendezvous_weight;
use crate::identity::NodeId;
use crate::serving::jobs::directory::StorageDirectory;

/// Number of storage nodes of a zone that may watch the store for it. Equals the number of relays that a node tries.
const ROOTS_PER_ZONE: usize = 3;
/// Number of storage nodes of a zone per forwarder.
const NODES_PER_FORWARDER: usize = 4;
/// Minimum number of forwarders. A zone that would have fewer has none, and its nodes query the roots.
const MIN_FORWARDERS: usize = 2;
/// Number of forwarders of its own zone that a node tries before one of another zone.
const FORWARDERS_PER_NODE: usize = 2;

/// Tier of a node in the distribution of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayTier {
    /// Watches the store while other nodes query it.
    Root,
    /// Always queries the roots, even while other nodes query it.
    Forwarder,
    /// Is not queried by other nodes.
    Leaf,
}

/// A node's tier and the relays that it queries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayPlan {
    /// Tier of the node.
    pub tier: RelayTier,
    /// Relays that it may query, in order of preference.
    pub relays: Vec<NodeId>,
}

/// Storage nodes of one zone, by tier.
struct ZoneTiers {
    roots: Vec<NodeId>,
    forwarders: Vec<NodeId>,
}

impl ZoneTiers {
    fn of(storage: &StorageDirectory, zone: &str) -> Self {
        let in_zone = |node: &NodeId| storage.of_node(*node).is_some_and(|record| &*record.zone == zone);
        let no_node = NodeId(0);
        let mut ranked: Vec<NodeId> = rank_relays(storage, zone, no_node).into_iter().take_while(in_zone).collect();
        let count = ranked.len() / NODES_PER_FORWARDER;
        let mut forwarders = ranked.split_off(ranked.len().min(ROOTS_PER_ZONE));
        forwarders.truncate(if count < MIN_FORWARDERS { 0 } else { count });
        Self { roots: ranked, forwarders }
    }

    fn tier_of(&self, node: NodeId) -> RelayTier {
        if self.roots.contains(&node) {
            RelayTier::Root
        } else if self.forwarders.contains(&node) {
            RelayTier::Forwarder
        } else {
            RelayTier::Leaf
        }
    }

    /// Returns the forwarders in an order specific to the node, which distributes the nodes evenly.
    fn forwarders_for(&self, node: NodeId) -> Vec<NodeId> {
        let mut ordered = self.forwarders.clone();
        ordered.sort_by_key(|forwarder| Reverse(rendezvous_weight(node.0, forwarder.0)));
        ordered
    }
}

/// Returns the plan for node `own` of a zone.
pub fn plan_relays(storage: &StorageDirectory, zone: &str, own: NodeId) -> RelayPlan {
    let tiers = ZoneTiers::of(storage, zone);
    let tier = tiers.tier_of(own);
    let ranked = rank_relays(storage, zone, own);
    if tiers.forwarders.is_empty() || tier != RelayTier::Leaf {
        return RelayPlan { tier, relays: ranked };
    }
    let mut relays: Vec<NodeId> = tiers.forwarders_for(own).into_iter().take(FORWARDERS_PER_NODE).collect();
    relays.extend(forwarder_in_other_zone(storage, zone, own));
    relays.extend(ranked);
    RelayPlan { tier, relays }
}

/// Returns a forwarder of another zone, for use when all storage nodes of the node's zone are down.
fn forwarder_in_other_zone(storage: &StorageDirectory, zone: &str, own: NodeId) -> Option<NodeId> {
    let zones: BTreeSet<Arc<str>> = storage.records().map(|record| record.zone.clone()).collect();
    let other_zones = zones.iter().filter(|other| &***other != zone);
    let forwarders = other_zones.flat_map(|other| ZoneTiers::of(storage, other).forwarders);
    forwarders.max_by_key(|forwarder| rendezvous_weight(own.0, forwarder.0))
}
