//! When items are tried at all, and when the progress of running items is logged.

use crate::time::{Millis, Timestamp};

/// After an item found no worker with room, none is tried for this long, in milliseconds. The driver looks after every
/// event, and each try looks at all ready items and all workers.
const NO_ROOM_REST: Millis = Millis(15);
/// The time between two rounds of logging what running items have put out, in milliseconds. A new leader loses as much
/// output.
const PROGRESS_INTERVAL: Millis = Millis(1_000);

/// The rests between tries and between rounds of progress. They outlast a change of leadership.
#[derive(Clone, Copy, Debug)]
pub struct ItemPacing {
    /// No item is tried before, since no worker had room.
    no_room_until: Timestamp,
    last_progress: Timestamp,
}

impl ItemPacing {
    /// Items may be tried from `now` on; the first progress is due an interval later.
    pub fn new(now: Timestamp) -> Self {
        Self { no_room_until: now, last_progress: now }
    }

    /// Whether items may be tried.
    pub fn may_start(&self, now: Timestamp) -> bool {
        now >= self.no_room_until
    }

    /// No worker had room for an item.
    pub fn record_no_capacity(&mut self, now: Timestamp) {
        self.no_room_until = now + NO_ROOM_REST;
    }

    /// Whether a round of progress is due. If so, the next one is due an interval from now.
    pub fn poll_progress(&mut self, now: Timestamp) -> bool {
        let is_due = now.since(self.last_progress) >= PROGRESS_INTERVAL;
        if is_due {
            self.last_progress = now;
        }
        is_due
    }
}
