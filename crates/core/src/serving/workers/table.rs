//! The workers that this node knows: which of them may be sent requests.
//!
//! Owns each worker's record and what is believed of it. Loads are kept by `loads`, ejection and service times by
//! `health`; the choice among the workers is [`choice`](super::choice)'s.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::activity::ActiveWorkers;
use super::cold_start::ColdStart;
use super::health::initial_mean_first;
use super::loads::PeerRate;
use super::service_times::ServiceTimes;
use super::worker::{Presence, WorkerEntry, WorkerId, WorkerIncarnation, WorkerRecord};
use crate::moving_mean::MovingMean;
use crate::serving::regions::RegionMap;
use crate::time::{Millis, Timestamp};

/// A worker that is gone is remembered for this long, in milliseconds: one that stated that it drains must not return
/// by an older record.
const GONE_REMEMBERED: Millis = Millis(60_000);

/// All workers.
#[derive(Clone, Debug)]
pub struct WorkerTable {
    pub(super) workers: BTreeMap<WorkerId, WorkerEntry>,
    pub(super) active: ActiveWorkers,
    /// Time to the first event over all workers, in milliseconds.
    pub(super) mean_first: MovingMean,
    /// How fast the other nodes placed requests, by the last load report.
    pub(super) peer_rate: Option<PeerRate>,
    /// Requests that this node has placed, batch items included.
    pub(super) placed: u64,
    /// By service.
    pub(super) times: BTreeMap<Arc<str>, ServiceTimes>,
    pub(super) regions: RegionMap,
    /// Zones whose workers get no requests by the operator's order.
    pub(super) evacuated: BTreeSet<Arc<str>>,
    /// By service, those that have one.
    pub(super) cold_starts: BTreeMap<Arc<str>, ColdStart>,
    /// No worker is cold after that.
    pub(super) cold_until: Timestamp,
}

impl Default for WorkerTable {
    fn default() -> Self {
        Self {
            active: ActiveWorkers::default(),
            workers: BTreeMap::new(),
            mean_first: initial_mean_first(),
            peer_rate: None,
            placed: 0,
            times: BTreeMap::new(),
            regions: RegionMap::default(),
            evacuated: BTreeSet::new(),
            cold_starts: BTreeMap::new(),
            cold_until: Timestamp::default(),
        }
    }
}

/// What changed in the table, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerChange {
    /// A worker appeared.
    Seen(WorkerId),
    /// A worker states that it leaves.
    Draining(WorkerId),
    /// A worker's record was removed.
    Gone(WorkerId),
    /// A worker's record may have lapsed while the store was out of reach.
    Missing(WorkerId),
}

impl WorkerTable {
    /// A table of workers in the zones of `regions`.
    pub fn with_regions(regions: RegionMap) -> Self {
        Self { regions, ..Self::default() }
    }

    /// Takes a worker's record that was read now; see [`WorkerTable::upsert`]. It tells for how long the worker is cold.
    pub fn apply_record(&mut self, record: WorkerRecord, now: Timestamp) -> Option<WorkerChange> {
        let (incarnation, cold_remaining) = (record.incarnation(), record.cold_remaining);
        let change = self.upsert(record);
        self.mark_cold(&incarnation, cold_remaining, now);
        change
    }

    /// Takes a worker's record. A worker that drains never takes requests again in this life. A record of a later life
    /// drops all that was believed of the one before; one of an earlier life is stale.
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
                if record.draining { WorkerChange::Draining(id.clone()) } else { WorkerChange::Seen(id.clone()) };
            self.workers.insert(id, WorkerEntry::new(record));
            return Some(change);
        };
        let was = entry.presence;
        entry.presence = match (was, record.draining) {
            (Presence::Draining | Presence::Left { .. }, _) | (_, true) => Presence::Draining,
            // A record may vanish while the store is down and be written again by the same worker.
            (Presence::Gone { .. } | Presence::Missing { .. } | Presence::Ready, false) => Presence::Ready,
        };
        let started_at = record.started_at.or(entry.record.started_at);
        entry.record = WorkerRecord { started_at, ..record };
        match (was, entry.presence) {
            (Presence::Draining | Presence::Left { .. }, _) => None,
            (_, Presence::Draining) => Some(WorkerChange::Draining(id)),
            (Presence::Gone { .. } | Presence::Missing { .. }, _) => Some(WorkerChange::Seen(id)),
            _ => None,
        }
    }

    /// A worker's record is gone. Where nobody else serves, it is used until `usable_until`.
    pub fn remove(&mut self, id: &WorkerId, usable_until: Timestamp, now: Timestamp) -> Option<WorkerChange> {
        let entry = self.workers.get_mut(id)?;
        let usable_until = match entry.presence {
            Presence::Ready => usable_until,
            // One that did not write its record again in time is no last resort.
            Presence::Missing { .. } => now,
            // Nor is one that was draining.
            Presence::Draining => {
                entry.presence = Presence::Left { since: now };
                return None;
            }
            Presence::Left { .. } | Presence::Gone { .. } => return None,
        };
        entry.presence = Presence::Gone { since: now, usable_until };
        Some(WorkerChange::Gone(id.clone()))
    }

    /// A worker's record was missing when the store was reached again. The worker serves on until `until`, by when those
    /// that live have written theirs again.
    pub fn mark_missing(&mut self, id: &WorkerId, until: Timestamp, now: Timestamp) -> Option<WorkerChange> {
        let entry = self.workers.get_mut(id)?;
        match entry.presence {
            Presence::Ready => {
                entry.presence = Presence::Missing { until };
                Some(WorkerChange::Missing(id.clone()))
            }
            Presence::Draining => {
                entry.presence = Presence::Left { since: now };
                None
            }
            Presence::Missing { .. } | Presence::Left { .. } | Presence::Gone { .. } => None,
        }
    }

    /// Forgets workers that are gone for long.
    pub fn evict_departed(&mut self, now: Timestamp) {
        self.workers.retain(|_, entry| match entry.presence {
            Presence::Left { since } | Presence::Gone { since, .. } | Presence::Missing { until: since } => {
                now.since(since) < GONE_REMEMBERED || entry.in_flight > 0
            }
            Presence::Ready | Presence::Draining => true,
        });
    }

    /// How many workers of a service take requests.
    pub fn ready_count(&self, service: &str, now: Timestamp) -> usize {
        let is_ready = |entry: &&WorkerEntry| {
            let is_usable = entry.takes_requests(now) && !self.is_evacuated(&entry.record.zone);
            is_usable && &*entry.record.service == service
        };
        self.workers.values().filter(is_ready).count()
    }

    /// What is believed of a worker, if this life of it is the one that is known. It counts as active from then on.
    pub(super) fn entry_of(&mut self, incarnation: &WorkerIncarnation) -> Option<&mut WorkerEntry> {
        let entry =
            self.workers.get_mut(&incarnation.id).filter(|entry| entry.record.incarnation().may_be(incarnation))?;
        self.active.add(&incarnation.id);
        Some(entry)
    }

    /// A worker's record; `None` if it is not known.
    pub fn record(&self, id: &WorkerId) -> Option<&WorkerRecord> {
        self.workers.get(id).map(|entry| &entry.record)
    }
}
