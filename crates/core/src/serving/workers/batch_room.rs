//! Counts of a service's workers by whether they can take a batch item, for logging.

use std::fmt;

use super::choice::{WorkerQuery, has_yielded_recently};
use super::table::WorkerTable;
use super::worker::WorkerEntry;
use crate::time::Timestamp;

/// Numbers of the workers that an item may use by its service, version and regions. Each worker is counted once in
/// `departed` to `room`, for the first reason that applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BatchRoom {
    /// All such workers.
    pub eligible: u32,
    /// Workers that drain or have departed.
    pub departed: u32,
    /// Workers that are ejected because of failed attempts.
    pub ejected: u32,
    /// Suspected workers that are excluded from selection.
    pub excluded: u32,
    /// Workers in a cold start for which this node has no permit.
    pub cold: u32,
    /// Workers without a free slot.
    pub full: u32,
    /// Workers at which batch items were paused for online requests shortly before.
    pub yielded: u32,
    /// Workers that could take an item if enough slots of all of them were free.
    pub room: u32,
    /// Free slots of the workers that are neither departed, ejected, excluded nor cold.
    pub free_slots: u64,
}

impl fmt::Display for BatchRoom {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { eligible, departed, ejected, excluded, cold, full, yielded, room, free_slots } = self;
        write!(
            formatter,
            "eligible {eligible}, departed {departed}, ejected {ejected}, excluded {excluded}, cold {cold}, full {full}, \
             yielded {yielded}, room {room}, free slots {free_slots}"
        )
    }
}

impl WorkerTable {
    /// Counts the workers that an item may use.
    pub fn batch_room(&self, query: &WorkerQuery<'_>, now: Timestamp) -> BatchRoom {
        let mut counts = BatchRoom::default();
        for entry in self.eligible(query) {
            counts.eligible += 1;
            *self.room_count(&mut counts, entry, now) += 1;
        }
        counts
    }

    fn room_count<'a>(&self, counts: &'a mut BatchRoom, entry: &WorkerEntry, now: Timestamp) -> &'a mut u32 {
        if !entry.accepts_requests(now) {
            return &mut counts.departed;
        }
        if entry.is_ejected(now) {
            return &mut counts.ejected;
        }
        if entry.is_excluded() {
            return &mut counts.excluded;
        }
        if !self.is_warm_or_permitted(entry, now) {
            return &mut counts.cold;
        }
        let free = entry.free_slots(now);
        counts.free_slots += u64::from(free);
        if free == 0 {
            return &mut counts.full;
        }
        if has_yielded_recently(entry, now) { &mut counts.yielded } else { &mut counts.room }
    }
}
