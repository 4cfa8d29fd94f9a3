//! Selection of the relay that a node queries.
//!
//! Tracks which relays are skipped after failures, and until when. The candidates come from the records of the
//! storage nodes, which all nodes of a zone rank alike.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::backoff::Backoff;
use crate::hashing::{hash_bytes, hash_parts, rendezvous_weight};
use crate::identity::NodeId;
use crate::serving::jobs::directory::StorageDirectory;
use crate::time::{Millis, Timestamp};

/// Maximum number of relays considered. With a third of the machines disconnected from the store, all three are
/// unusable in one case of 27.
const MAX_RELAYS_TRIED: usize = 3;
/// Maximum factor by which the cooldown of an unresponsive relay grows, so that a recovered relay is retried.
const MAX_COOLDOWN_FACTOR: u64 = 8;

#[derive(Clone, Copy, Debug)]
struct Cooldown {
    until: Timestamp,
    failures: u32,
}

/// Relays that are skipped for a while after failures or stale answers.
#[derive(Clone, Debug, Default)]
pub struct RelaySelector {
    cooldowns: BTreeMap<NodeId, Cooldown>,
}

impl RelaySelector {
    /// Returns the first relay to query, of those ranked by [`rank_relays`], that is not in its cooldown.
    pub fn first_usable(&self, now: Timestamp, relays: &[NodeId]) -> Option<NodeId> {
        let is_cooling_down = |relay: &NodeId| self.cooldowns.get(relay).is_some_and(|cooldown| now < cooldown.until);
        relays.iter().take(MAX_RELAYS_TRIED).find(|relay| !is_cooling_down(relay)).copied()
    }

    /// Returns the time until the first cooldown of these relays ends; `None` if none is in a cooldown.
    pub fn time_until_usable(&self, now: Timestamp, relays: &[NodeId]) -> Option<Millis> {
        let cooldowns = relays.iter().take(MAX_RELAYS_TRIED).filter_map(|relay| self.cooldowns.get(relay));
        cooldowns.map(|cooldown| cooldown.until.since(now)).min()
    }

    /// Records a usable answer of a relay, which ends its cooldown.
    pub fn record_answer(&mut self, relay: NodeId) {
        self.cooldowns.remove(&relay);
    }

    /// Ends all cooldowns.
    pub fn clear(&mut self) {
        self.cooldowns.clear();
    }

    /// Records that a relay did not answer. Its cooldown starts at `span` and doubles with each consecutive failure.
    pub fn record_failure(&mut self, relay: NodeId, span: Millis, now: Timestamp) {
        let failures = self.cooldowns.get(&relay).map_or(0, |cooldown| cooldown.failures);
        let backoff = Backoff::new(span, Millis(span.0 * MAX_COOLDOWN_FACTOR));
        let until = now + backoff.wait(failures);
        self.cooldowns.insert(relay, Cooldown { until, failures: failures + 1 });
    }

    /// Records an answer that could not be used. The relay is skipped for `span`, independent of earlier failures.
    pub fn avoid(&mut self, relay: NodeId, span: Millis, now: Timestamp) {
        self.cooldowns.insert(relay, Cooldown { until: now + span, failures: 0 });
    }
}

/// Ranks the nodes that may serve as relays for a zone, best first. All nodes of a zone compute the same order, so
/// only a few become relays. Nodes of the zone itself come first, since traffic between zones is billed.
pub fn rank_relays(storage: &StorageDirectory, zone: &str, own: NodeId) -> Vec<NodeId> {
    rank_by(hash_bytes(zone.as_bytes()), storage, zone, own)
}

/// Ranks the nodes that may serve as aggregators of loads. Uses a different order than [`rank_relays`], so that in a
/// large zone no node has both duties.
pub fn rank_aggregators(storage: &StorageDirectory, zone: &str, own: NodeId) -> Vec<NodeId> {
    rank_by(hash_parts(&[b"loads", zone.as_bytes()]), storage, zone, own)
}

/// Ranks the nodes that may sum up loads for the whole fleet while there is no leader. The same for all nodes.
pub fn rank_acting_aggregators(storage: &StorageDirectory) -> Vec<NodeId> {
    let key = hash_parts(&[b"acting aggregator"]);
    let mut ranked: Vec<(Reverse<u64>, NodeId)> =
        storage.records().map(|record| (Reverse(rendezvous_weight(key, record.node.0)), record.node)).collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, node)| node).collect()
}

fn rank_by(key: u64, storage: &StorageDirectory, zone: &str, own: NodeId) -> Vec<NodeId> {
    let mut ranked: Vec<(bool, Reverse<u64>, NodeId)> = storage
        .records()
        .filter(|record| record.node != own)
        .map(|record| (&*record.zone != zone, Reverse(rendezvous_weight(key, record.node.0)), record.node))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, node)| node).collect()
}
