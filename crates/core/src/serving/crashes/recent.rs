//! Requests that completed recently.
//!
//! A request that many callers send runs on every worker at any time, so it is affected by every crash. Its recent
//! completions distinguish it from the request that caused the crash.

use std::collections::BTreeMap;

use super::digest::RequestDigest;
use crate::time::{Millis, UnixMillis};

/// Maximum number of request digests in one generation. Bounds memory.
const MAX_GENERATION_ENTRIES: usize = 32_768;

/// Completion times of requests in two generations. When the current generation is full or expired, it replaces the
/// previous one.
#[derive(Clone, Debug)]
pub(super) struct RecentCompletions {
    retention: Millis,
    current: BTreeMap<RequestDigest, UnixMillis>,
    previous: BTreeMap<RequestDigest, UnixMillis>,
    current_since: UnixMillis,
}

impl RecentCompletions {
    /// Creates an empty set that stores each completion for at least `retention`, unless there are too many.
    pub(super) fn new(retention: Millis) -> Self {
        Self { retention, current: BTreeMap::new(), previous: BTreeMap::new(), current_since: UnixMillis(0) }
    }

    /// Records a completion of a request.
    pub(super) fn record(&mut self, digest: RequestDigest, now: UnixMillis) {
        let is_expired = now.0.saturating_sub(self.current_since.0) >= self.retention.0;
        if is_expired || self.current.len() >= MAX_GENERATION_ENTRIES {
            self.previous = std::mem::take(&mut self.current);
            self.current_since = now;
        }
        self.current.insert(digest, now);
    }

    /// Returns the time of the last completion of a request, if stored.
    pub(super) fn last(&self, digest: RequestDigest) -> Option<UnixMillis> {
        self.current.get(&digest).or_else(|| self.previous.get(&digest)).copied()
    }
}
