//! The requests that ran to their end a moment ago.
//!
//! A request that many callers send is on every worker at all times, so it is there whenever one dies. That it ran to
//! its end a moment before tells it from the request that did it.

use std::collections::BTreeMap;

use super::digest::RequestDigest;
use crate::time::{Millis, UnixMillis};

/// Most names of requests of one generation. Bounds memory to some 400 KB.
const MOST_OF_GENERATION: usize = 8_192;

/// Requests that ran to their end, in two generations: the older one is dropped when the younger one is full or old.
#[derive(Clone, Debug)]
pub(super) struct RecentCompletions {
    kept_for: Millis,
    young: BTreeMap<RequestDigest, UnixMillis>,
    old: BTreeMap<RequestDigest, UnixMillis>,
    began_at: UnixMillis,
}

impl RecentCompletions {
    /// None yet. Each is remembered for `kept_for` at least, unless there are too many.
    pub(super) fn new(kept_for: Millis) -> Self {
        Self { kept_for, young: BTreeMap::new(), old: BTreeMap::new(), began_at: UnixMillis(0) }
    }

    /// A request ran to its end.
    pub(super) fn note(&mut self, digest: RequestDigest, now: UnixMillis) {
        let is_over = now.0.saturating_sub(self.began_at.0) >= self.kept_for.0;
        if is_over || self.young.len() >= MOST_OF_GENERATION {
            self.old = std::mem::take(&mut self.young);
            self.began_at = now;
        }
        self.young.insert(digest, now);
    }

    /// When a request last ran to its end, if that is remembered.
    pub(super) fn last(&self, digest: RequestDigest) -> Option<UnixMillis> {
        self.young.get(&digest).or_else(|| self.old.get(&digest)).copied()
    }
}
