//! The prefix cache: prompt prefixes that the engine doesn't need to prefill again.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

const BLOCK_BYTES: usize = 64;
/// Maximum number of cached blocks per prompt.
const MAX_BLOCKS: usize = 64;

/// A cache change, as published by the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// The prefix with this hash was stored.
    Stored(u64),
    /// The prefix with this hash was evicted.
    Removed(u64),
}

/// Returns the block hashes of a prompt, shortest prefix first. Each hash covers the previous hash and the
/// block, both followed by their length.
pub fn prompt_blocks(model: &str, prompt: &str) -> Vec<u64> {
    let mut hash = hash_parts(&[model.as_bytes()]);
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    blocks
        .map(|block| {
            hash = hash_parts(&[&hash.to_le_bytes(), block]);
            hash
        })
        .collect()
}

fn hash_parts(parts: &[&[u8]]) -> u64 {
    parts.iter().fold(0, |seed, part| {
        let sized = xxh3_64_with_seed(part, seed);
        xxh3_64_with_seed(&part.len().to_le_bytes(), sized)
    })
}

/// A least-recently-used cache of prompt prefixes.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    capacity: usize,
    last_used: BTreeMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    uses: u64,
    changes: Vec<CacheChange>,
}

impl PrefixCache {
    /// Creates a cache of at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Returns the number of leading blocks that are cached.
    pub fn overlap(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.last_used.contains_key(block)).count()
    }

    /// Stores blocks, or marks them as recently used if they are cached.
    pub fn store(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.uses += 1;
            match self.last_used.insert(*block, self.uses) {
                Some(earlier) => {
                    self.by_last_use.remove(&earlier);
                }
                None => self.changes.push(CacheChange::Stored(*block)),
            }
            self.by_last_use.insert(self.uses, *block);
        }
        while self.last_used.len() > self.capacity {
            let Some((_, oldest)) = self.by_last_use.pop_first() else { break };
            self.last_used.remove(&oldest);
            self.changes.push(CacheChange::Removed(oldest));
        }
    }

    /// Returns the hashes of all cached blocks.
    pub fn blocks(&self) -> impl Iterator<Item = u64> + '_ {
        self.last_used.keys().copied()
    }

    /// Returns the changes since the previous call.
    pub fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }
}
