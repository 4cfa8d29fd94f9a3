//! Counts of the workers that a request cannot be sent to, by reason, for logging.

use super::choice::WorkerQuery;
use super::table::WorkerTable;
use super::worker::WorkerEntry;
use crate::time::Timestamp;

/// Number of workers of a service that a request cannot be sent to, by reason. Each worker is counted once, for the
/// first reason that applies, in the order of the fields. Workers without a usable record are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnavailableWorkers {
    /// Workers in a zone that is evacuated or outside the request's regions.
    pub excluded_zone: u32,
    /// Workers that the request was already sent to.
    pub tried: u32,
    /// Workers ejected because of failed attempts of this node.
    pub ejected: u32,
    /// Workers ejected because other nodes reported failed attempts.
    pub peer_ejected: u32,
    /// Workers in a cold start for which this node has no permit.
    pub cold: u32,
}

impl WorkerTable {
    /// Counts the workers that a request cannot be sent to.
    pub fn unavailable_workers(&self, query: &WorkerQuery<'_>, now: Timestamp) -> UnavailableWorkers {
        let mut counts = UnavailableWorkers::default();
        let of_service = self.workers.values().filter(|entry| &*entry.record.service == query.service);
        for entry in of_service.filter(|entry| entry.accepts_requests(now)) {
            if let Some(count) = self.reason_count(&mut counts, entry, query, now) {
                *count += 1;
            }
        }
        counts
    }

    fn reason_count<'a>(
        &self,
        counts: &'a mut UnavailableWorkers,
        entry: &WorkerEntry,
        query: &WorkerQuery<'_>,
        now: Timestamp,
    ) -> Option<&'a mut u32> {
        if !self.is_eligible(entry, query) {
            return Some(&mut counts.excluded_zone);
        }
        if query.tried.contains(&entry.record.id) {
            return Some(&mut counts.tried);
        }
        if entry.is_ejected_locally(now) {
            return Some(&mut counts.ejected);
        }
        if entry.is_ejected(now) {
            return Some(&mut counts.peer_ejected);
        }
        (!self.is_warm_or_permitted(entry, now)).then_some(&mut counts.cold)
    }
}
