//! Stable hash functions. They must never change, because all nodes and versions must compute the same placement.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::identity::GroupId;

/// Hashes a byte string.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Hashes a sequence of byte strings. The length of each is hashed too, so that moving a boundary between two of them
/// changes the result.
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
    parts.iter().fold(0, |seed, part| {
        let part_hash = xxh3_64_with_seed(part, seed);
        xxh3_64_with_seed(&part.len().to_le_bytes(), part_hash)
    })
}

/// Returns the weight of `candidate` for `key` in rendezvous hashing (Thaler and Ravishankar, 1998).
pub fn rendezvous_weight(key: u64, candidate: u64) -> u64 {
    xxh3_64_with_seed(&candidate.to_le_bytes(), key)
}

/// Returns the `count` candidates with the highest weights for `key`, best first.
pub fn rendezvous<T: Copy>(
    key: u64,
    candidates: impl Iterator<Item = T>,
    identity: impl Fn(T) -> u64,
    count: usize,
) -> Vec<T> {
    let mut weighted: Vec<(u64, T)> =
        candidates.map(|candidate| (rendezvous_weight(key, identity(candidate)), candidate)).collect();
    weighted.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    weighted.into_iter().take(count).map(|(_, candidate)| candidate).collect()
}

/// Returns the replica group that stores the data of `tenant` and `key`.
pub fn group_of(tenant: &str, key: &str, group_count: u32) -> GroupId {
    let hash = hash_parts(&[tenant.as_bytes(), key.as_bytes()]);
    GroupId((hash % u64::from(group_count.max(1))) as u32)
}
