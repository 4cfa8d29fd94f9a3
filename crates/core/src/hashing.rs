//! Stable hashes: placement must agree between nodes and versions, so the function is fixed.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::identity::GroupId;

/// Hash of a byte string.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Hash of several parts, each delimited by its length so that parts can't run into each other.
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
    parts.iter().fold(0, |seed, part| {
        let sized = xxh3_64_with_seed(part, seed);
        xxh3_64_with_seed(&part.len().to_le_bytes(), sized)
    })
}

/// The weight of `candidate` for `key` in rendezvous hashing (Thaler and Ravishankar, 1998).
pub fn rendezvous_weight(key: u64, candidate: u64) -> u64 {
    xxh3_64_with_seed(&candidate.to_le_bytes(), key)
}

/// The `count` candidates with the greatest weight for `key`, best first.
pub fn rendezvous<T: Copy>(
    key: u64,
    candidates: impl Iterator<Item = T>,
    identity: impl Fn(T) -> u64,
    count: usize,
) -> Vec<T> {
    let mut weighed: Vec<(u64, T)> =
        candidates.map(|candidate| (rendezvous_weight(key, identity(candidate)), candidate)).collect();
    weighed.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    weighed.into_iter().take(count).map(|(_, candidate)| candidate).collect()
}

/// The group that holds everything filed under `tenant` and `key`.
pub fn group_of(tenant: &str, key: &str, group_count: u32) -> GroupId {
    let hash = hash_parts(&[tenant.as_bytes(), key.as_bytes()]);
    GroupId((hash % u64::from(group_count.max(1))) as u32)
}
