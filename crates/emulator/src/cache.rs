//! The prefix cache: which prompt prefixes the engine need not compute again.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of prompt text in one block.
const BLOCK_BYTES: usize = 64;
/// Most blocks of a prompt that are cached.
const MAX_BLOCKS: usize = 64;

/// One change of the cache, as the engine publishes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// A prefix is cached.
    Stored(u64),
    /// A prefix was evicted.
    Removed(u64),
}

/// The block hashes of a prompt, shortest prefix first: each is the hash of the one before and the
/// block, every part followed by its length.
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

/// Cached prefixes, the least recently used evicted first.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    capacity: usize,
    last_used: BTreeMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    uses: u64,
    changes: Vec<CacheChange>,
}

impl PrefixCache {
    /// A cache of at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// How many leading blocks are cached.
    pub fn overlap(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.last_used.contains_key(block)).count()
    }

    /// Caches blocks, or marks them as used.
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

    /// All cached blocks.
    pub fn blocks(&self) -> impl Iterator<Item = u64> + '_ {
        self.last_used.keys().copied()
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }
}
