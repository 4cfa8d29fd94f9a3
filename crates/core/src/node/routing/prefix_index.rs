//! Which engines hold which prompt prefixes in their KV cache.
//!
//! Engines publish cache events late and with gaps. An engine whose events have a gap is distrusted:
//! what the index holds of it counts for nothing until the engine has sent its whole state again.

use std::collections::{BTreeMap, BTreeSet};

use crate::hashing::hash_parts;
use crate::identity::EngineName;

/// Bytes of prompt text in one block.
pub const BLOCK_BYTES: usize = 64;
/// Most blocks of a prompt that are looked at.
const MAX_BLOCKS: usize = 64;
/// Most blocks remembered for one engine; the oldest hashes are not known, so any may go.
const MAX_BLOCKS_PER_ENGINE: usize = 65_536;

/// Names a prefix: the hash of a block and of all before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BlockHash(pub u64);

/// One change of an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// A prefix is cached.
    Stored(BlockHash),
    /// A prefix was evicted.
    Removed(BlockHash),
}

/// Events of one engine, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEventBatch {
    /// The sequence number of the first event.
    pub first: u64,
    /// The events.
    pub events: Vec<CacheEvent>,
    /// The events are the engine's whole state rather than changes to it.
    pub is_snapshot: bool,
}

/// The block hashes of a prompt, shortest prefix first.
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

/// Which engines hold which prefixes.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    engines: BTreeMap<EngineName, EngineBlocks>,
}

impl PrefixIndex {
    /// Takes events of an engine. Returns whether the engine is trusted after them.
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

    /// The sequence number of the next event wanted of an engine, or `None` if its whole state is.
    pub fn next_wanted(&self, engine: &EngineName) -> Option<u64> {
        self.engines.get(engine).filter(|cache| cache.in_sync).map(|cache| cache.next)
    }

    /// How many leading blocks of a prompt an engine holds. A distrusted engine holds none.
    pub fn overlap(&self, engine: &EngineName, blocks: &[BlockHash]) -> usize {
        let Some(cache) = self.engines.get(engine).filter(|cache| cache.in_sync) else { return 0 };
        blocks.iter().take_while(|block| cache.blocks.contains(block)).count()
    }

    /// Forgets an engine, because it started anew.
    pub fn forget(&mut self, engine: &EngineName) {
        self.engines.remove(engine);
    }
}
