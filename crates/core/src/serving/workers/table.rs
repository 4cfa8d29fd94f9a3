//! The workers, and what this node notes of each.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::choice::Choice;
use super::service_times::ServiceTimes;
use super::worker::{
    LoadReport, Presence, ReportedLoad, SharedLoad, WorkerCount, WorkerEntry, WorkerId, WorkerLoad, WorkerRecord,
    WorkerReport,
};
use crate::backoff::Backoff;
use crate::serving::request::PrefixLink;
use crate::time::{Millis, Timestamp};

/// How long a worker that failed once is passed over; doubles with each failure in a row.
const BASE_EJECTION: Millis = Millis(300);
/// How long a worker that could not be reached is passed over at first.
const BASE_EJECTION_UNREACHABLE: Millis = Millis(1_200);
/// How long a worker is passed over after news that it failed other nodes.
const REPORTED_EJECTION: Millis = Millis(500);
/// Longest time for which a failing worker is passed over.
const MAX_EJECTION: Millis = Millis(4_000);
/// How long news are in transit: to the node that gathers them, and from there.
const TRANSIT: Millis = Millis(10);
/// A report is told to other nodes while it is younger than this.
const REPORT_TOLD_WITHIN: Millis = Millis(300);
/// A worker that is gone is forgotten after this long.
const GONE_REMEMBERED: Millis = Millis(60_000);
/// The usual time to the first event before any was measured, in milliseconds.
const INITIAL_MEAN_FIRST_MS: f64 = 60.0;

/// All workers.
#[derive(Clone, Debug)]
pub struct WorkerTable {
    pub(super) workers: BTreeMap<WorkerId, WorkerEntry>,
    /// Smoothed time to the first event over all workers, in milliseconds.
    mean_first_ms: f64,
    /// When the loads of all other nodes were gathered, and how fast those placed requests then.
    pub(super) gathered: Option<GatheredRate>,
    /// Requests that this node has placed, batch items included.
    placed: u64,
    /// By service.
    times: BTreeMap<Arc<str>, ServiceTimes>,
}

/// How fast all other nodes placed requests, and when that was gathered.
#[derive(Clone, Copy, Debug)]
pub(super) struct GatheredRate {
    pub(super) at: Timestamp,
    pub(super) placed_per_s: u32,
    /// How old what the others told was on average.
    pub(super) report_age: Millis,
}

impl Default for WorkerTable {
    fn default() -> Self {
        Self {
            workers: BTreeMap::new(),
            mean_first_ms: INITIAL_MEAN_FIRST_MS,
            gathered: None,
            placed: 0,
            times: BTreeMap::new(),
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
    /// Takes a worker's record. A worker that drains never takes requests again.
    pub fn upsert(&mut self, record: WorkerRecord) -> Option<WorkerChange> {
        let id = record.id.clone();
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
        entry.record = record;
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
            // One that has had its time to come back is no last resort.
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
    pub fn miss(&mut self, id: &WorkerId, until: Timestamp, now: Timestamp) -> Option<WorkerChange> {
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
    pub fn forget_gone(&mut self, now: Timestamp) {
        self.workers.retain(|_, entry| match entry.presence {
            Presence::Left { since } | Presence::Gone { since, .. } | Presence::Missing { until: since } => {
                now.since(since) < GONE_REMEMBERED || entry.in_flight > 0
            }
            Presence::Ready | Presence::Draining => true,
        });
    }

    /// How many workers of a service take requests.
    pub fn ready_count(&self, service: &str, now: Timestamp) -> usize {
        let is_ready = |entry: &&WorkerEntry| entry.takes_requests(now) && &*entry.record.service == service;
        self.workers.values().filter(is_ready).count()
    }

    /// A request leaves for a worker.
    pub fn started(&mut self, id: &WorkerId, prefix: &[PrefixLink], memory_tokens: u64, now: Timestamp) {
        if let Some(entry) = self.workers.get_mut(id) {
            entry.in_flight += 1;
            entry.cache.note(prefix, memory_tokens, now);
            self.placed += 1;
        }
    }

    /// A request at a worker ended, however it did.
    pub fn ended(&mut self, id: &WorkerId) {
        if let Some(entry) = self.workers.get_mut(id) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// A batch item leaves for a worker.
    pub fn batch_started(&mut self, id: &WorkerId) {
        if let Some(entry) = self.workers.get_mut(id) {
            entry.batch_in_flight += 1;
        }
    }

    /// A batch item at a worker ended.
    pub fn batch_ended(&mut self, id: &WorkerId) {
        if let Some(entry) = self.workers.get_mut(id) {
            entry.batch_in_flight = entry.batch_in_flight.saturating_sub(1);
        }
    }

    /// A worker told its load.
    pub fn reported(&mut self, id: &WorkerId, load: WorkerLoad, now: Timestamp) {
        if let Some(entry) = self.workers.get_mut(id) {
            entry.report = Some(ReportedLoad { load, in_flight_then: entry.in_flight, at: now });
        }
    }

    /// A worker answered as it should. `took` is the time to its first event.
    pub fn succeeded(&mut self, id: &WorkerId, took: Millis, now: Timestamp) {
        let took = took.0 as f64;
        let ratio = (took / self.mean_first_ms.max(5.0)).clamp(0.5, 5.0);
        self.mean_first_ms = self.mean_first_ms * 0.95 + took * 0.05;
        if let Some(entry) = self.workers.get_mut(id) {
            entry.failures = 0;
            entry.ejected_until = None;
            entry.reported_until = None;
            entry.slowness = entry.slowness * 0.8 + ratio * 0.2;
            entry.measured_at = now;
        }
    }

    /// The usual time to the first event, over all workers.
    pub fn mean_first_event(&self) -> Millis {
        Millis(self.mean_first_ms as u64)
    }

    /// A worker failed. Returns for how long it is passed over: longer if it could not even be reached,
    /// since each try costs a request the whole time to connect.
    pub fn failed(&mut self, id: &WorkerId, was_reached: bool, now: Timestamp) -> Option<Millis> {
        let entry = self.workers.get_mut(id)?;
        entry.failures += 1;
        let first = if was_reached { BASE_EJECTION } else { BASE_EJECTION_UNREACHABLE };
        let span = Backoff::new(first, MAX_EJECTION).wait(entry.failures - 1);
        entry.ejected_until = Some(now + span);
        Some(span)
    }

    /// A worker had no room: it is believed to be full until it reports again.
    pub fn was_full(&mut self, id: &WorkerId, now: Timestamp) {
        if let Some(entry) = self.workers.get_mut(id) {
            let load = WorkerLoad { running: entry.record.slots, waiting: entry.record.slots / 2 };
            entry.report = Some(ReportedLoad { load, in_flight_then: entry.in_flight, at: now });
        }
    }

    /// How long the workers of a service take.
    pub fn service_times(&mut self, service: &str) -> &mut ServiceTimes {
        self.times.entry(Arc::from(service)).or_default()
    }

    /// How long the first event should take of a request that goes to the worker that was chosen for it. `None` while
    /// too little is known.
    pub fn expected_first(&self, service: &str, choice: &Choice) -> Option<Millis> {
        self.times.get(service)?.expected_first(choice.place_in_queue, choice.slots)
    }

    /// How many requests this node has placed, batch items included.
    pub fn placed(&self) -> u64 {
        self.placed
    }

    /// What this node has to tell of each worker.
    pub fn own_report(&self, now: Timestamp) -> Vec<WorkerReport> {
        let news = |entry: &WorkerEntry| {
            let report = entry.report.filter(|report| now.since(report.at) < REPORT_TOLD_WITHIN);
            let told = report.map(|report| report.corrected(entry.in_flight));
            let failing = u32::from(entry.failed_here(now));
            let has_news = entry.in_flight > 0 || told.is_some() || failing > 0;
            let (worker, requests, batch) = (entry.record.id.clone(), entry.in_flight, 0);
            has_news.then_some(WorkerReport { worker, requests, told, failing, batch })
        };
        self.workers.values().filter_map(news).collect()
    }

    /// Takes what was gathered of all other nodes.
    pub fn hear(&mut self, news: &LoadReport, now: Timestamp) {
        let by_worker: BTreeMap<&WorkerId, &WorkerReport> =
            news.workers.iter().map(|news| (&news.worker, news)).collect();
        for (id, entry) in &mut self.workers {
            let (load, batch) = by_worker.get(id).map_or((0, 0), |news| {
                let told = news.told.unwrap_or(0).saturating_sub(entry.in_flight);
                (news.requests.max(told), news.batch)
            });
            entry.others = Some(SharedLoad { load, batch, at: now });
        }
        self.eject_reported(news.workers.iter().filter(|news| news.is_reported_dead()).map(|news| &news.worker), now);
        let report_age = news.age.max(Millis(news.interval().0 / 2)) + TRANSIT;
        self.gathered = Some(GatheredRate { at: now, placed_per_s: news.placed_per_s, report_age });
    }

    /// Passes over workers that failed other nodes, for as long as such news stay young.
    pub fn eject_reported<'a>(&mut self, dead: impl Iterator<Item = &'a WorkerId>, now: Timestamp) {
        for id in dead {
            if let Some(entry) = self.workers.get_mut(id) {
                entry.reported_until = Some(now + REPORTED_EJECTION);
            }
        }
    }

    /// Requests of this node at each worker, those without any left out.
    pub fn own_loads(&self) -> Vec<WorkerCount> {
        let busy = self.workers.values().filter(|entry| entry.in_flight > 0);
        busy.map(|entry| WorkerCount { worker: entry.record.id.clone(), requests: entry.in_flight }).collect()
    }

    /// Takes the loads of all other nodes, where none of them is of batch. A worker that is not listed has none.
    pub fn set_shared_loads(&mut self, loads: &[WorkerCount], now: Timestamp) {
        let by_worker: BTreeMap<&WorkerId, u32> = loads.iter().map(|count| (&count.worker, count.requests)).collect();
        for (id, entry) in &mut self.workers {
            let load = by_worker.get(id).copied().unwrap_or(0);
            entry.others = Some(SharedLoad { load, batch: 0, at: now });
        }
    }

    /// Workers where requests wait while batch items run there, and how many of those must go.
    pub fn overfull(&self, now: Timestamp) -> Vec<WorkerCount> {
        let excess = |entry: &WorkerEntry| {
            let waiting = entry.estimated_load(now).saturating_sub(entry.record.slots);
            let over = waiting.min(entry.batch_in_flight);
            (over > 0).then(|| WorkerCount { worker: entry.record.id.clone(), requests: over })
        };
        self.workers.values().filter_map(excess).collect()
    }

    /// What is believed of a worker's load, for the log.
    pub fn describe(&self, id: &WorkerId, now: Timestamp) -> String {
        let Some(entry) = self.workers.get(id) else { return String::new() };
        format!(
            "load {} of {} slots, {} of batch, {:?}",
            entry.estimated_load(now),
            entry.record.slots,
            entry.batch_in_flight,
            entry.others
        )
    }

    /// The slots of a worker; `None` if it is not known.
    pub fn record(&self, id: &WorkerId) -> Option<&WorkerRecord> {
        self.workers.get(id).map(|entry| &entry.record)
    }
}
