//! The origins of streams that one node knows.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::origin::{StreamKey, StreamOrigin};
use crate::time::{Millis, Timestamp};

/// Maximum number of streams in a directory; the one recorded or looked up least recently is evicted first. A client that
/// resumes an evicted stream is refused while versions differ. Bounds memory.
pub const MAX_STREAMS: usize = 65_536;
/// Time for which the origin of a stream is retained after it was recorded or looked up last. The origin
/// of a stream that lasts longer can only be deduced.
pub const RETENTION: Millis = Millis(120_000);
/// Maximum number of different origins that streams share in memory.
const MAX_SHARED_ORIGINS: usize = 256;

/// What is recorded for a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordedOrigin {
    /// All records of the stream name this origin.
    Known(Arc<StreamOrigin>),
    /// Records of the stream name different origins, for example because its client used an ID twice.
    Conflicting,
}

#[derive(Clone, Debug)]
struct Entry {
    origin: RecordedOrigin,
    used_at: Timestamp,
}

/// The origins of streams, by key.
#[derive(Clone, Debug, Default)]
pub struct OriginDirectory {
    entries: BTreeMap<StreamKey, Entry>,
    by_use: BTreeSet<(Timestamp, StreamKey)>,
    /// Origins of which many streams have the same.
    shared: BTreeSet<Arc<StreamOrigin>>,
    evicted: u64,
}

impl OriginDirectory {
    /// Records the origin of a stream. Recording it again has no further effect.
    pub fn record(&mut self, key: StreamKey, origin: &StreamOrigin, now: Timestamp) {
        let origin = match self.entries.get(&key).map(|entry| &entry.origin) {
            None => RecordedOrigin::Known(self.share(origin)),
            Some(RecordedOrigin::Known(known)) if **known == *origin => RecordedOrigin::Known(known.clone()),
            Some(_) => RecordedOrigin::Conflicting,
        };
        self.set(key, origin, now);
        self.evict(now);
    }

    /// Returns what is recorded for a stream, and retains it for longer.
    pub fn look_up(&mut self, key: StreamKey, now: Timestamp) -> Option<RecordedOrigin> {
        self.evict(now);
        let origin = self.entries.get(&key)?.origin.clone();
        self.set(key, origin.clone(), now);
        Some(origin)
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no streams.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of streams evicted before their retention time since the directory was created.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    fn set(&mut self, key: StreamKey, origin: RecordedOrigin, now: Timestamp) {
        if let Some(previous) = self.entries.insert(key, Entry { origin, used_at: now }) {
            self.by_use.remove(&(previous.used_at, key));
        }
        self.by_use.insert((now, key));
    }

    /// Returns an equal origin that other streams use, so that most streams need no memory of their own for it.
    fn share(&mut self, origin: &StreamOrigin) -> Arc<StreamOrigin> {
        if let Some(shared) = self.shared.get(origin) {
            return shared.clone();
        }
        if self.shared.len() >= MAX_SHARED_ORIGINS {
            self.shared.clear();
        }
        let origin = Arc::new(origin.clone());
        self.shared.insert(origin.clone());
        origin
    }

    fn evict(&mut self, now: Timestamp) {
        while let Some((used_at, key)) = self.by_use.first().copied() {
            let is_expired = now.since(used_at) >= RETENTION;
            if !is_expired && self.entries.len() <= MAX_STREAMS {
                return;
            }
            self.by_use.remove(&(used_at, key));
            self.entries.remove(&key);
            self.evicted += u64::from(!is_expired);
        }
    }
}
