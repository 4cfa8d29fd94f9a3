//! Which relay a node asks.
//!
//! Owns which relays are avoided, and for how long. Relies on the records of the storing nodes, which all nodes of a
//! zone rank alike.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::backoff::Backoff;
use crate::hashing::{hash_bytes, hash_parts, rendezvous_weight};
use crate::identity::NodeId;
use crate::serving::jobs::directory::StorageDirectory;
use crate::time::{Millis, Timestamp};

/// How many relays a node tries. One is enough while it lives; with a third of the machines cut off from the store,
/// three in a row that are is one case in 27.
const RELAYS_TRIED: usize = 3;
/// The time for which a relay that gave no answer is avoided grows to at most this many times the first: one that lives
/// again is tried again.
const LONGEST_AVOIDED: u64 = 8;

#[derive(Clone, Copy, Debug)]
struct Avoided {
    until: Timestamp,
    failures: u32,
}

/// The relays that a node avoids for a while.
#[derive(Clone, Debug, Default)]
pub struct RelayChoice {
    avoided: BTreeMap<NodeId, Avoided>,
}

impl RelayChoice {
    /// The relay to ask, of those ranked by [`rank_relays`].
    pub fn usable(&self, now: Timestamp, relays: &[NodeId]) -> Option<NodeId> {
        let is_avoided = |relay: &NodeId| self.avoided.get(relay).is_some_and(|avoided| now < avoided.until);
        relays.iter().take(RELAYS_TRIED).find(|relay| !is_avoided(relay)).copied()
    }

    /// The time until one of the relays may be asked again; `None` if none is avoided.
    pub fn until_usable(&self, now: Timestamp, relays: &[NodeId]) -> Option<Millis> {
        let avoided = relays.iter().take(RELAYS_TRIED).filter_map(|relay| self.avoided.get(relay));
        avoided.map(|avoided| avoided.until.since(now)).min()
    }

    /// A relay answered as it should.
    pub fn answered(&mut self, relay: NodeId) {
        self.avoided.remove(&relay);
    }

    /// No relay is avoided any more.
    pub fn forgive(&mut self) {
        self.avoided.clear();
    }

    /// A relay gave no answer: it is avoided for `span`, longer with each failure in a row.
    pub fn failed(&mut self, relay: NodeId, span: Millis, now: Timestamp) {
        let failures = self.avoided.get(&relay).map_or(0, |avoided| avoided.failures);
        let backoff = Backoff::new(span, Millis(span.0 * LONGEST_AVOIDED));
        let until = now + backoff.wait(failures);
        self.avoided.insert(relay, Avoided { until, failures: failures + 1 });
    }

    /// A relay's answer was of no use: it is avoided for `span`.
    pub fn avoid(&mut self, relay: NodeId, span: Millis, now: Timestamp) {
        self.avoided.insert(relay, Avoided { until: now + span, failures: 0 });
    }
}

/// The nodes that may be relays of a zone, the best first. All nodes of the zone see the same order, so few
/// nodes of a zone are relays; those of the zone come first, since bytes between zones are paid for.
pub fn rank_relays(storage: &StorageDirectory, zone: &str, own: NodeId) -> Vec<NodeId> {
    rank_by(hash_bytes(zone.as_bytes()), storage, zone, own)
}

/// The same for aggregators of loads, in another order: no node has both duties where there are many.
pub fn rank_aggregators(storage: &StorageDirectory, zone: &str, own: NodeId) -> Vec<NodeId> {
    rank_by(hash_parts(&[b"loads", zone.as_bytes()]), storage, zone, own)
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
