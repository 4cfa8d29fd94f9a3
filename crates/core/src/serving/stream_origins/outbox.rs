//! The origins of a gateway's streams that other nodes may have to learn.
//!
//! While one version alone serves a service, other nodes can deduce the origin of its streams. As soon as a second one
//! appears, they can no longer, also for the streams that began before.

use std::collections::VecDeque;

use super::directory::MAX_STREAMS;
use super::message::OriginRecord;
use crate::time::{Millis, Timestamp};

/// An origin that is not stored at other nodes.
#[derive(Clone, Debug)]
struct PendingOrigin {
    record: OriginRecord,
    /// Maximum duration of the stream.
    lifetime: Millis,
    recorded_at: Timestamp,
}

/// Origins that are not stored at other nodes, in the order in which they were recorded.
#[derive(Clone, Debug, Default)]
pub struct OriginOutbox {
    pending: VecDeque<PendingOrigin>,
}

impl OriginOutbox {
    /// Adds the origin of a stream that lasts for at most `lifetime`.
    pub fn add(&mut self, record: OriginRecord, lifetime: Millis, now: Timestamp) {
        if self.pending.len() >= MAX_STREAMS {
            self.pending.pop_front();
        }
        self.pending.push_back(PendingOrigin { record, lifetime, recorded_at: now });
    }

    /// Takes the origins that other nodes cannot deduce. `is_deducible` tells that for a record and the lifetime of its
    /// stream. Drops the origins of streams that have ended by now.
    pub fn take_due(
        &mut self,
        is_deducible: impl Fn(&OriginRecord, Millis) -> bool,
        now: Timestamp,
    ) -> Vec<OriginRecord> {
        let pending = std::mem::take(&mut self.pending);
        let current = pending.into_iter().filter(|origin| now.since(origin.recorded_at) < origin.lifetime);
        let (kept, due): (VecDeque<_>, VecDeque<_>) =
            current.partition(|origin| is_deducible(&origin.record, origin.lifetime));
        self.pending = kept;
        due.into_iter().map(|origin| origin.record).collect()
    }
}
