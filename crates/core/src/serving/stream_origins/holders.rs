//! The storage nodes that store the origin of a stream.
//!
//! All nodes derive them from the stream's key without coordination. Nodes that see different sets of storage nodes agree
//! on most of the holders, so a lookup asks more of them than a record is sent to.

use std::collections::BTreeSet;

use super::origin::StreamKey;
use crate::hashing::rendezvous;
use crate::serving::jobs::directory::{StorageDirectory, StorageRecord};

/// Number of storage nodes to which an origin is sent.
pub const COPIES: usize = 2;
/// Number of storage nodes that are asked for an origin.
pub const ASKED: usize = COPIES + 1;

/// Returns how many of a stream's `holders` have to answer so that one of them has the record that [`COPIES`] of them store.
pub fn lookup_quorum(holders: usize) -> usize {
    holders.saturating_sub(COPIES) + 1
}

/// Returns the storage nodes that may store a stream's origin, best first: in different zones as long as there are any.
pub fn holders(key: StreamKey, directory: &StorageDirectory) -> Vec<&StorageRecord> {
    let ranked = rendezvous(key.0, directory.records(), |record| record.node.0, directory.len());
    let mut zones = BTreeSet::new();
    let (first_of_zone, others): (Vec<_>, Vec<_>) = ranked.into_iter().partition(|record| zones.insert(&record.zone));
    first_of_zone.into_iter().chain(others).take(ASKED).collect()
}
