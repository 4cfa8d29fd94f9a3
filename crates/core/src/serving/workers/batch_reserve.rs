//! The slots that batch items leave free for online requests.

use super::choice::{WorkerQuery, is_avoided};
use super::table::WorkerTable;
use super::worker::WorkerEntry;
use crate::time::{Millis, Timestamp};

/// Time until pausing batch items frees their slots, which takes a load report exchange and a message to the worker.
/// Batch placement leaves enough slots free for the online requests that arrive in the meantime.
const PAUSE_LATENCY: Millis = Millis(150);

/// Slots and online requests of workers.
#[derive(Clone, Copy, Debug, Default)]
struct Capacity {
    slots: u64,
    online: u64,
}

impl Capacity {
    fn add(&mut self, entry: &WorkerEntry, now: Timestamp) {
        self.slots += u64::from(entry.record.slots);
        self.online += u64::from(entry.present_load(now).saturating_sub(entry.batch_in_flight));
    }

    /// Returns the slots to keep free at these workers, which are part of a `fleet`, for a number of arrivals in the fleet,
    /// in thousandths: at least one if there are several.
    fn reserve(self, fleet: Self, milli_arrivals: u64) -> u64 {
        let share = |own: u64, all: u64| milli_arrivals.saturating_mul(own).div_ceil(all.max(1) * 1_000);
        let arrivals = share(self.slots, fleet.slots).max(share(self.online, fleet.online));
        arrivals.max(u64::from(self.slots > 1))
    }
}

impl WorkerTable {
    /// Returns whether a worker takes batch items as far as it has room.
    pub(super) fn is_usable_for_batch(&self, entry: &WorkerEntry, query: &WorkerQuery<'_>, now: Timestamp) -> bool {
        let is_healthy = entry.accepts_requests(now) && !entry.is_ejected(now) && !is_avoided(entry, query);
        is_healthy && self.is_warm_or_permitted(entry, now)
    }

    /// Returns whether an item leaves enough free slots to absorb the online requests that arrive until batch items can be
    /// paused. Online requests use workers of any version. Those of the fleet, `online_per_s`, are assumed to be spread over
    /// the services by their slots or by their present online requests, whichever is more.
    pub(super) fn has_slots_beyond_reserve(&self, query: &WorkerQuery<'_>, online_per_s: u32, now: Timestamp) -> bool {
        let any_version = WorkerQuery { version: None, ..query.clone() };
        let (mut fleet, mut eligible) = (Capacity::default(), Capacity::default());
        let mut free = 0;
        for entry in self.workers.values().filter(|entry| entry.accepts_requests(now)) {
            if self.is_evacuated(&entry.record.zone) {
                continue;
            }
            fleet.add(entry, now);
            if self.is_eligible(entry, &any_version) {
                eligible.add(entry, now);
                let is_usable = self.is_usable_for_batch(entry, query, now);
                free += if is_usable { u64::from(entry.free_slots(now)) } else { 0 };
            }
        }
        free > eligible.reserve(fleet, u64::from(online_per_s) * PAUSE_LATENCY.0)
    }
}
