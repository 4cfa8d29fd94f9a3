//! Estimate of the prompt prefixes in a worker's cache, from the requests that this node sent to it.
//!
//! Workers do not report their cache contents. Prefixes sent by other nodes are not included, so the estimate is low.

use std::collections::BTreeMap;

use crate::serving::request::{PrefixBlock, count_tokens};
use crate::time::Timestamp;

/// Percentage of a worker's memory assumed to be available for cached prefixes.
const CACHE_MEMORY_PERCENT: u64 = 70;
/// Assumed cache capacity, in tokens, of workers whose memory size is unknown.
const DEFAULT_CAPACITY_TOKENS: u64 = 50_000;

#[derive(Clone, Copy, Debug)]
struct CachedBlock {
    tokens: u32,
    used_at: Timestamp,
}

/// Estimated contents of a worker's prefix cache, with least recently used eviction.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    blocks: BTreeMap<u64, CachedBlock>,
    tokens: u64,
}

impl PrefixCache {
    /// Returns the number of prompt tokens covered by the longest cached prefix.
    pub fn cached_tokens(&self, prefix: &[PrefixBlock]) -> u32 {
        count_tokens(prefix.iter().take_while(|block| self.blocks.contains_key(&block.chain)))
    }

    /// Records a prompt that was sent to the worker. `memory_tokens` is the worker's memory size in tokens, 0 if
    /// unknown.
    pub fn record(&mut self, prefix: &[PrefixBlock], memory_tokens: u64, now: Timestamp) {
        for block in prefix {
            let cached = CachedBlock { tokens: block.tokens, used_at: now };
            let replaced = self.blocks.insert(block.chain, cached).map_or(0, |replaced| replaced.tokens);
            self.tokens = self.tokens + u64::from(block.tokens) - u64::from(replaced);
        }
        let capacity = match memory_tokens {
            0 => DEFAULT_CAPACITY_TOKENS,
            tokens => tokens.saturating_mul(CACHE_MEMORY_PERCENT) / 100,
        };
        while self.tokens > capacity && self.evict_least_recently_used() {}
    }

    fn evict_least_recently_used(&mut self) -> bool {
        let Some((chain, block)) =
            self.blocks.iter().min_by_key(|(_, block)| block.used_at).map(|(chain, block)| (*chain, *block))
        else {
            return false;
        };
        self.blocks.remove(&chain);
        self.tokens -= u64::from(block.tokens);
        true
    }
}
