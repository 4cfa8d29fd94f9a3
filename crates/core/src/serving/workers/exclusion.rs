//! Bounded exclusion of suspected workers from selection.
//!
//! Suspicions can be wrong, and a service without workers serves nobody. The remaining workers therefore always have at
//! least half of the service's slots, and slots for the present load unless the excluded worker serves nothing anyway.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::table::WorkerTable;
use super::worker::{WorkerEntry, WorkerId};
use crate::time::{Millis, Timestamp};

/// Slots that the remaining workers must have for each request at the service's workers.
const SLOTS_PER_REQUEST: f64 = 1.25;
/// Minimum fraction of a service's slots that the remaining workers have.
const MIN_REMAINING_FRACTION: f64 = 0.5;
/// Failure rate from which a worker offers no capacity that the present load could use.
const NO_CAPACITY_RATE: f64 = 0.9;
/// Maximum age of the sums of slots and loads, which take a pass over all workers.
const CAPACITY_LIFETIME: Millis = Millis(100);

/// Slots and load of a service's workers.
#[derive(Clone, Copy, Debug, Default)]
struct Capacity {
    slots: f64,
    load: f64,
}

/// Slots and loads of the services with suspected workers.
#[derive(Clone, Debug, Default)]
pub(super) struct Capacities {
    by_service: BTreeMap<Arc<str>, Capacity>,
    computed_at: Option<Timestamp>,
}

impl WorkerEntry {
    /// Returns whether the worker is suspected and excluded from selection.
    pub(super) fn is_excluded(&self) -> bool {
        self.suspicion().is_some_and(|suspicion| suspicion.is_excluded)
    }
}

impl WorkerTable {
    /// Decides which suspected workers are excluded, the worst ones first.
    pub(super) fn update_exclusions(&mut self, now: Timestamp) {
        if self.evidence.suspected.is_empty() {
            return;
        }
        self.update_capacities(now);
        let mut remaining: BTreeMap<Arc<str>, f64> =
            self.capacities.by_service.iter().map(|(service, capacity)| (service.clone(), capacity.slots)).collect();
        for (id, failure_rate) in self.suspected_by_rate() {
            let Some(entry) = self.workers.get_mut(&id) else { continue };
            let service = &entry.record.service;
            let capacity = self.capacities.by_service.get(service).copied().unwrap_or_default();
            let left = remaining.entry(service.clone()).or_default();
            let after = *left - f64::from(entry.record.slots);
            let has_room = failure_rate >= NO_CAPACITY_RATE || after >= capacity.load * SLOTS_PER_REQUEST;
            let is_excluded = has_room && after >= capacity.slots * MIN_REMAINING_FRACTION;
            if is_excluded && entry.accepts_requests(now) {
                *left = after;
            }
            if let Some(suspicion) = entry.evidence.as_mut().and_then(|evidence| evidence.suspicion.as_mut()) {
                suspicion.is_excluded = is_excluded;
            }
        }
    }

    /// Returns whether a worker is suspected and excluded from selection.
    pub fn is_excluded(&self, id: &WorkerId) -> bool {
        self.workers.get(id).is_some_and(WorkerEntry::is_excluded)
    }

    /// Returns the number of suspected workers that are excluded from selection.
    pub fn excluded_count(&self) -> usize {
        self.evidence.suspected.iter().filter(|id| self.is_excluded(id)).count()
    }

    fn suspected_by_rate(&self) -> Vec<(WorkerId, f64)> {
        let suspicion_of = |id: &WorkerId| self.workers.get(id).and_then(WorkerEntry::suspicion);
        let suspected = self.evidence.suspected.iter();
        let mut suspected: Vec<_> = suspected.filter_map(|id| Some((id, suspicion_of(id)?))).collect();
        suspected.sort_by(|(_, left), (_, right)| {
            right.failure_rate.total_cmp(&left.failure_rate).then(right.ratio.total_cmp(&left.ratio))
        });
        suspected.into_iter().map(|(id, suspicion)| (id.clone(), suspicion.failure_rate)).collect()
    }

    fn update_capacities(&mut self, now: Timestamp) {
        let services = self.evidence.suspected.iter().filter_map(|id| self.workers.get(id));
        let mut by_service: BTreeMap<Arc<str>, Capacity> =
            services.map(|entry| (entry.record.service.clone(), Capacity::default())).collect();
        let is_fresh = self.capacities.computed_at.is_some_and(|at| now.since(at) < CAPACITY_LIFETIME);
        if is_fresh && by_service.keys().all(|service| self.capacities.by_service.contains_key(service)) {
            return;
        }
        for entry in self.workers.values().filter(|entry| entry.accepts_requests(now)) {
            if self.evacuated_zones.contains(&entry.record.zone) {
                continue;
            }
            if let Some(capacity) = by_service.get_mut(&entry.record.service) {
                capacity.slots += f64::from(entry.record.slots);
                capacity.load += f64::from(entry.present_load(now));
            }
        }
        self.capacities = Capacities { by_service, computed_at: Some(now) };
    }
}
