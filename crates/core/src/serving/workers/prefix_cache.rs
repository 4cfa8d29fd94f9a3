//! Which prompt parts one worker is believed to have cached, from what this node sent there.
//!
//! The worker doesn't say. Parts of other nodes' requests are not known here, so the belief errs on the low side.

use std::collections::BTreeMap;

use crate::serving::request::PrefixBlock;
use crate::time::Timestamp;

/// The share of a worker's memory that cached parts are believed to take, in percent.
const CACHED_PERCENT: u64 = 70;
/// Tokens believed to be cached where the worker's memory is not known.
const DEFAULT_CAPACITY: u64 = 50_000;

#[derive(Clone, Copy, Debug)]
struct CachedLink {
    tokens: u32,
    used_at: Timestamp,
}

/// The parts that a worker is believed to have cached; the least recently used are evicted.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    links: BTreeMap<u64, CachedLink>,
    tokens: u64,
}

impl PrefixCache {
    /// Tokens of a prompt that need not be read again: those of the links that are cached without a gap.
    pub fn cached_tokens(&self, prefix: &[PrefixBlock]) -> u32 {
        prefix.iter().take_while(|link| self.links.contains_key(&link.chain)).map(|link| link.tokens).sum()
    }

    /// Notes that a prompt was read by the worker. `memory_tokens` is the worker's memory, 0 if not known.
    pub fn note(&mut self, prefix: &[PrefixBlock], memory_tokens: u64, now: Timestamp) {
        for link in prefix {
            let fresh = CachedLink { tokens: link.tokens, used_at: now };
            if self.links.insert(link.chain, fresh).is_none() {
                self.tokens += u64::from(link.tokens);
            }
        }
        let capacity = if memory_tokens == 0 { DEFAULT_CAPACITY } else { memory_tokens * CACHED_PERCENT / 100 };
        while self.tokens > capacity && self.evict_oldest() {}
    }

    fn evict_oldest(&mut self) -> bool {
        let Some((chain, link)) =
            self.links.iter().min_by_key(|(_, link)| link.used_at).map(|(chain, link)| (*chain, *link))
        else {
            return false;
        };
        self.links.remove(&chain);
        self.tokens -= u64::from(link.tokens);
        true
    }
}
