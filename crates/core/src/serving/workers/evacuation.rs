//! Zones that the operator has evacuated: their workers get nothing until the order is taken back.
//!
//! What runs there goes on to its end. Routing, retries, streams that go on elsewhere and batch items all come through
//! the choice of a worker, which leaves these zones out.

use std::sync::Arc;

use super::table::WorkerTable;
use super::worker::WorkerId;
use crate::time::Timestamp;

impl WorkerTable {
    /// The operator evacuates a zone, or takes that back. Returns whether that is new. The workers of a zone that is taken
    /// back may have started again meanwhile, so they count as cold.
    pub fn set_evacuated(&mut self, zone: &Arc<str>, evacuated: bool, now: Timestamp) -> bool {
        if evacuated {
            return self.evacuated.insert(zone.clone());
        }
        let was_evacuated = self.evacuated.remove(zone);
        if was_evacuated {
            self.chill_zone_from(zone, now);
        }
        was_evacuated
    }

    pub(super) fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains(zone)
    }

    /// Whether a worker may be sent nothing for the operator's order, as its zone is evacuated.
    pub fn is_in_evacuated_zone(&self, id: &WorkerId) -> bool {
        self.workers.get(id).is_some_and(|entry| self.is_evacuated(&entry.record.zone))
    }

    /// Whether there are zones that are evacuated.
    pub fn has_evacuated_zones(&self) -> bool {
        !self.evacuated.is_empty()
    }
}
