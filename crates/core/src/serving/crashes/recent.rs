//! Recent times of an event, by digest: when requests last completed.
//!
//! A request that many callers send runs on every worker at any time, so it is affected by every crash. Its recent
//! completions distinguish it from the request that caused the crash.

use std::collections::BTreeMap;

use crate::time::{Millis, UnixMillis};

/// Maximum number of digests in one generation. Bounds memory.
const MAX_GENERATION_ENTRIES: usize = 32_768;

/// Times in two generations. When the current generation is full or expired, it replaces the previous one.
#[derive(Clone, Debug)]
pub(super) struct RecentTimes<K> {
    retention: Millis,
    current: BTreeMap<K, UnixMillis>,
    previous: BTreeMap<K, UnixMillis>,
    current_since: UnixMillis,
}

impl<K: Ord + Copy> RecentTimes<K> {
    /// Creates an empty set that stores each time for at least `retention`, unless there are too many.
    pub(super) fn new(retention: Millis) -> Self {
        Self { retention, current: BTreeMap::new(), previous: BTreeMap::new(), current_since: UnixMillis(0) }
    }

    /// Records that the event happened.
    pub(super) fn record(&mut self, digest: K, now: UnixMillis) {
        let is_expired = now.0.saturating_sub(self.current_since.0) >= self.retention.0;
        if is_expired || self.current.len() >= MAX_GENERATION_ENTRIES {
            self.previous = std::mem::take(&mut self.current);
            self.current_since = now;
        }
        self.current.insert(digest, now);
    }

    /// Returns the last time of the event, if stored.
    pub(super) fn last(&self, digest: K) -> Option<UnixMillis> {
        self.current.get(&digest).or_else(|| self.previous.get(&digest)).copied()
    }
}
