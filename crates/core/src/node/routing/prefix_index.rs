//! Index of the prompt prefixes in the engines' KV caches.
//!
//! Cache events may arrive late and with gaps. After a gap, the entries of that engine are ignored until
//! it sends a snapshot of its cache.

use std::collections::{BTreeMap, BTreeSet};

use crate::hashing::hash_parts;
use crate::identity::EngineName;

/// Size of a prompt block in bytes.
pub const BLOCK_BYTES: usize = 64;
/// Maximum number of blocks of a prompt that are hashed.
const MAX_BLOCKS: usize = 64;
/// Maximum number of blocks tracked per engine. Insertion order is not tracked, so the lowest hashes are
/// evicted first.
const MAX_BLOCKS_PER_ENGINE: usize = 65_536;

/// Identifies a prompt prefix: the hash of a block and all preceding blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BlockHash(pub u64);

/// A change to an engine's KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// A prefix was cached.
    Stored(BlockHash),
    /// A prefix was evicted.
    Removed(BlockHash),
}

/// Consecutive cache events of one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEventBatch {
    /// Sequence number of the first event.
    pub first: u64,
    /// Events in order.
    pub events: Vec<CacheEvent>,
    /// Whether the events describe the complete cache rather than changes to it.
    pub is_snapshot: bool,
}

/// Returns the block hashes of a prompt, shortest prefix first.
pub fn prompt_blocks(model: &str, prompt: &str) -> Vec<BlockHash> {
    let mut hash = hash_parts(&[model.as_bytes()]);
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    blocks
        .map(|block| {
            hash = hash_parts(&[&hash.to_le_bytes(), block]);
            BlockHash(hash)
        })
        .collect()
}

#[derive(Clone, Debug, Default)]
struct EngineBlocks {
    blocks: BTreeSet<BlockHash>,
    next: u64,
    in_sync: bool,
}

/// Cached prefixes by engine.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    engines: BTreeMap<EngineName, EngineBlocks>,
}

impl PrefixIndex {
    /// Applies a batch of events, skipping those already applied. Returns whether the index is in sync with
    /// the engine afterwards.
    pub fn record(&mut self, engine: &EngineName, batch: &CacheEventBatch) -> bool {
        let cache = self.engines.entry(engine.clone()).or_default();
        if batch.is_snapshot {
            cache.blocks.clear();
            cache.in_sync = true;
        } else if batch.first > cache.next {
            cache.in_sync = false;
        }
        let already_applied = cache.next.saturating_sub(batch.first) as usize;
        let skip = if batch.is_snapshot { 0 } else { already_applied };
        for event in batch.events.iter().skip(skip) {
            match event {
                CacheEvent::Stored(block) => cache.blocks.insert(*block),
                CacheEvent::Removed(block) => cache.blocks.remove(block),
            };
        }
        while cache.blocks.len() > MAX_BLOCKS_PER_ENGINE {
            cache.blocks.pop_first();
        }
        cache.next = cache.next.max(batch.first + batch.events.len() as u64);
        cache.in_sync
    }

    /// Returns the sequence number of the next event to request from an engine, or `None` if a snapshot is
    /// needed.
    pub fn next_event(&self, engine: &EngineName) -> Option<u64> {
        self.engines.get(engine).filter(|cache| cache.in_sync).map(|cache| cache.next)
    }

    /// Returns the number of leading blocks of a prompt cached by an engine, or zero if the index is out of
    /// sync with it.
    pub fn overlap(&self, engine: &EngineName, blocks: &[BlockHash]) -> usize {
        let Some(cache) = self.engines.get(engine).filter(|cache| cache.in_sync) else { return 0 };
        blocks.iter().take_while(|block| cache.blocks.contains(block)).count()
    }

    /// Removes the entries of an engine that has restarted.
    pub fn forget(&mut self, engine: &EngineName) {
        self.engines.remove(engine);
    }
}
