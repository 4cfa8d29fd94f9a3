//! The table of known workers, with their records and availability.
//!
//! Load tracking is implemented in `loads`, ejection and service times in `health`, and worker selection in
//! [`choice`](super::choice).

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::activity::ActiveWorkers;
use super::cold_start::ColdStart;
use super::continuation::DEFAULT_RECORD_LAPSE;
use super::evidence::FleetEvidence;
use super::exclusion::Capacities;
use super::health::initial_mean_first_event;
use super::loads::PeerRate;
use super::rate_share::RateShare;
use super::service_times::ServiceTimes;
use super::trials::Trials;
use super::versions::VersionCounts;
use super::worker::{Presence, WorkerEntry, WorkerId, WorkerIncarnation, WorkerRecord};
use crate::moving_mean::MovingMean;
use crate::serving::regions::RegionMap;
use crate::time::{Millis, Timestamp};

/// Time for which a departed worker is retained, so that a stale record does not make a drained worker available again,
/// and for which the version counts that a worker had before it came back under its ID.
pub(super) const DEPARTED_RETENTION: Millis = Millis(60_000);

/// This node's view of all workers.
#[derive(Clone, Debug)]
pub struct WorkerTable {
    pub(super) workers: BTreeMap<WorkerId, WorkerEntry>,
    pub(super) active: ActiveWorkers,
    /// Mean time to the first event over all workers.
    pub(super) mean_first_event_ms: MovingMean,
    /// Placement rate of the other nodes, from the last load report.
    pub(super) peer_rate: Option<PeerRate>,
    /// When the loads that workers are assumed to have were last updated.
    pub(super) assumed_at: Timestamp,
    /// Number of requests that this node has placed, including batch items.
    pub(super) placed: u64,
    /// Keyed by service.
    pub(super) times: BTreeMap<Arc<str>, ServiceTimes>,
    pub(super) regions: RegionMap,
    /// Zones that the operator has evacuated.
    pub(super) evacuated_zones: BTreeSet<Arc<str>>,
    /// Keyed by service; services without a cold start are absent.
    pub(super) cold_starts: BTreeMap<Arc<str>, ColdStart>,
    /// Latest end of any worker's cold start.
    pub(super) cold_until: Timestamp,
    pub(super) rate_share: RateShare,
    pub(super) evidence: FleetEvidence,
    pub(super) capacities: Capacities,
    pub(super) trials: Trials,
    pub(super) versions: VersionCounts,
    /// Time at which all records in the store were also in this table.
    pub(super) records_confirmed_at: Timestamp,
    /// Time from the end of a worker to the removal of its record.
    pub(super) record_lapse: Millis,
}

impl Default for WorkerTable {
    fn default() -> Self {
        Self {
            active: ActiveWorkers::default(),
            workers: BTreeMap::new(),
            mean_first_event_ms: initial_mean_first_event(),
            peer_rate: None,
            assumed_at: Timestamp::default(),
            placed: 0,
            times: BTreeMap::new(),
            regions: RegionMap::default(),
            evacuated_zones: BTreeSet::new(),
            cold_starts: BTreeMap::new(),
            cold_until: Timestamp::default(),
            rate_share: RateShare::default(),
            evidence: FleetEvidence::default(),
            capacities: Capacities::default(),
            trials: Trials::default(),
            versions: VersionCounts::default(),
            records_confirmed_at: Timestamp::default(),
            record_lapse: DEFAULT_RECORD_LAPSE,
        }
    }
}

/// A change of a worker's state in the table, for logging.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerChange {
    /// A worker was added or became available again.
    Available(WorkerId),
    /// A worker started draining.
    Draining(WorkerId),
    /// A worker's record was removed.
    Removed(WorkerId),
    /// A worker's record may have expired while the store was unreachable.
    Missing(WorkerId),
}

impl WorkerTable {
    /// Creates an empty table that resolves zones to regions with `regions`.
    pub fn with_regions(regions: RegionMap) -> Self {
        Self { regions, ..Self::default() }
    }

    /// Applies a record that was read at `now`, including its remaining cold start; see [`WorkerTable::upsert`].
    pub fn apply_record(&mut self, record: WorkerRecord, now: Timestamp) -> Option<WorkerChange> {
        let (incarnation, cold_remaining) = (record.incarnation(), record.cold_remaining);
        let (service, version) = (record.service.clone(), record.version.clone());
        let previous = self.record(&incarnation.id).cloned();
        let appears = !self.has_present(&incarnation.id, &service, &version);
        let change = self.upsert(record);
        let is_new_process = previous.as_ref().map(WorkerRecord::incarnation).as_ref() != Some(&incarnation);
        self.record_read(&incarnation.id, is_new_process, now);
        let current = self.workers.get(&incarnation.id).map(|entry| &entry.record);
        self.versions.record_change(previous.as_ref(), current, now);
        if appears {
            self.versions.record_appearance(&service, &version, now);
        }
        self.mark_cold(&incarnation, cold_remaining, now);
        change
    }

    /// Inserts or updates a worker's record. A draining worker never accepts requests again in the same incarnation.
    /// The record of a newer incarnation discards the state of the previous one; the record of an older incarnation is
    /// ignored.
    pub fn upsert(&mut self, record: WorkerRecord) -> Option<WorkerChange> {
        let id = record.id.clone();
        let known = self.workers.get(&id).and_then(|entry| entry.record.started_at);
        match known.zip(record.started_at) {
            Some((known, started_at)) if started_at < known => return None,
            Some((known, started_at)) if started_at > known => {
                self.workers.remove(&id);
            }
            _ => {}
        }
        let Some(entry) = self.workers.get_mut(&id) else {
            let change =
                if record.draining { WorkerChange::Draining(id.clone()) } else { WorkerChange::Available(id.clone()) };
            self.workers.insert(id, WorkerEntry::new(record));
            return Some(change);
        };
        let previous = entry.presence;
        entry.presence = match (previous, record.draining) {
            (Presence::Draining | Presence::Drained { .. }, _) | (_, true) => Presence::Draining,
            // A record can disappear while the store is down and be rewritten by the same worker.
            (Presence::Removed { .. } | Presence::Missing { .. } | Presence::Ready, false) => Presence::Ready,
        };
        let started_at = record.started_at.or(entry.record.started_at);
        entry.record = WorkerRecord { started_at, ..record };
        match (previous, entry.presence) {
            (Presence::Draining | Presence::Drained { .. }, _) => None,
            (_, Presence::Draining) => Some(WorkerChange::Draining(id)),
            (Presence::Removed { .. } | Presence::Missing { .. }, _) => Some(WorkerChange::Available(id)),
            _ => None,
        }
    }

    /// Handles the removal of a worker's record. The worker can be selected as a last resort until `usable_until`.
    pub fn remove(&mut self, id: &WorkerId, usable_until: Timestamp, now: Timestamp) -> Option<WorkerChange> {
        let Some(entry) = self.workers.get_mut(id) else {
            // The worker was added and removed between two updates of the view.
            self.versions.record_unseen_worker(now);
            return None;
        };
        let usable_until = match entry.presence {
            Presence::Ready => usable_until,
            // A worker that did not rewrite its record in time is not a last resort.
            Presence::Missing { .. } => now,
            // Neither is a worker that was draining.
            Presence::Draining => {
                entry.presence = Presence::Drained { since: now };
                return None;
            }
            Presence::Drained { .. } | Presence::Removed { .. } => return None,
        };
        entry.presence = Presence::Removed { since: now, usable_until };
        Some(WorkerChange::Removed(id.clone()))
    }

    /// Marks a worker whose record was missing when the store became reachable again. The worker stays usable until
    /// `until`, by which time live workers have rewritten their records.
    pub fn mark_missing(&mut self, id: &WorkerId, until: Timestamp, now: Timestamp) -> Option<WorkerChange> {
        let entry = self.workers.get_mut(id)?;
        match entry.presence {
            Presence::Ready => {
                entry.presence = Presence::Missing { until };
                Some(WorkerChange::Missing(id.clone()))
            }
            Presence::Draining => {
                entry.presence = Presence::Drained { since: now };
                None
            }
            Presence::Missing { .. } | Presence::Drained { .. } | Presence::Removed { .. } => None,
        }
    }

    /// Evicts workers that departed longer ago than the retention period and have no requests of this node in flight.
    pub fn evict_departed(&mut self, now: Timestamp) {
        let versions = &mut self.versions;
        self.workers.retain(|_, entry| {
            let is_retained = match entry.presence {
                Presence::Drained { since } | Presence::Removed { since, .. } | Presence::Missing { until: since } => {
                    now.since(since) < DEPARTED_RETENTION || entry.in_flight > 0
                }
                Presence::Ready | Presence::Draining => true,
            };
            if !is_retained {
                versions.record_change(Some(&entry.record), None, now);
            }
            is_retained
        });
        self.versions.evict(now);
    }

    /// Returns the number of workers of a service that accept requests.
    pub fn ready_count(&self, service: &str, now: Timestamp) -> usize {
        let is_ready = |entry: &&WorkerEntry| {
            let is_usable = entry.accepts_requests(now) && !self.is_evacuated(&entry.record.zone);
            is_usable && &*entry.record.service == service
        };
        self.workers.values().filter(is_ready).count()
    }

    /// Returns the service of a worker that neither drains nor has departed.
    pub fn ready_service(&self, id: &WorkerId) -> Option<Arc<str>> {
        let entry = self.workers.get(id).filter(|entry| matches!(entry.presence, Presence::Ready))?;
        Some(entry.record.service.clone())
    }

    /// Returns the entry of a worker if it matches the given incarnation, and marks the worker as active.
    pub(super) fn entry_mut(&mut self, incarnation: &WorkerIncarnation) -> Option<&mut WorkerEntry> {
        let entry =
            self.workers.get_mut(&incarnation.id).filter(|entry| entry.record.incarnation().may_match(incarnation))?;
        self.active.add(&incarnation.id);
        Some(entry)
    }

    /// Returns the record of a worker, or `None` if the worker is unknown.
    pub fn record(&self, id: &WorkerId) -> Option<&WorkerRecord> {
        self.workers.get(id).map(|entry| &entry.record)
    }
}
