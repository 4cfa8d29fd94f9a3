//! Zones that the operator has evacuated: their workers receive no new requests until the evacuation ends.
//!
//! Running requests continue to completion. New requests, retries, resumed streams and batch items all go through
//! worker selection, which excludes these zones.

use std::sync::Arc;

use super::table::WorkerTable;
use super::worker::WorkerId;
use crate::time::Timestamp;

impl WorkerTable {
    /// Starts or ends the evacuation of a zone. Returns whether the state changed. When an evacuation ends, the zone's
    /// workers count as cold, since they may have restarted in the meantime.
    pub fn set_evacuated(&mut self, zone: &Arc<str>, evacuated: bool, now: Timestamp) -> bool {
        if evacuated {
            return self.evacuated_zones.insert(zone.clone());
        }
        let was_evacuated = self.evacuated_zones.remove(zone);
        if was_evacuated {
            self.mark_zone_cold_from(zone, now);
        }
        was_evacuated
    }

    pub(super) fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated_zones.contains(zone)
    }

    /// Returns whether the worker is known and its zone is evacuated.
    pub fn is_in_evacuated_zone(&self, id: &WorkerId) -> bool {
        self.workers.get(id).is_some_and(|entry| self.is_evacuated(&entry.record.zone))
    }

    /// Returns whether any zone is evacuated.
    pub fn has_evacuated_zones(&self) -> bool {
        !self.evacuated_zones.is_empty()
    }
}
