//! Load tracking: local requests, loads reported by the workers, and load reports of other nodes.
//!
//! Builds the load report of this node and applies those of the others.

use std::collections::BTreeMap;

use super::load_report::{LoadReport, WorkerCount, WorkerReport};
use super::table::WorkerTable;
use super::worker::{ReportedLoad, SharedLoad, Slowdown, WorkerEntry, WorkerId, WorkerIncarnation, WorkerLoad};
use crate::serving::request::PrefixBlock;
use crate::time::{Millis, Timestamp};

/// Assumed transit time of a report to and from the aggregator.
const REPORT_TRANSIT: Millis = Millis(10);
/// Maximum age of a load reported by a worker at which it is forwarded to other nodes.
const MAX_SELF_REPORT_AGE: Millis = Millis(300);
/// A worker that rejected a request as full is assumed to have all slots in use and one queued request per this many
/// slots.
const SLOTS_PER_QUEUED: u32 = 2;

/// Placement rate of all other nodes together.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerRate {
    /// When the load report was received.
    pub(super) at: Timestamp,
    pub(super) placed_per_s: u32,
    /// Mean age of the aggregated reports when they were received.
    pub(super) report_age: Millis,
}

impl WorkerTable {
    /// Records that a request was sent to a worker.
    pub fn record_start(
        &mut self,
        incarnation: &WorkerIncarnation,
        prefix: &[PrefixBlock],
        memory_tokens: u64,
        now: Timestamp,
    ) {
        if let Some(entry) = self.entry_mut(incarnation) {
            entry.in_flight += 1;
            entry.cache.record(prefix, memory_tokens, now);
            self.placed += 1;
            self.consume_permit(incarnation, now);
            self.schedule_next_trial(&incarnation.id, now);
        }
        self.update_assumed_loads(now);
    }

    /// Records that a request at a worker ended, with any outcome.
    pub fn record_end(&mut self, incarnation: &WorkerIncarnation) {
        if let Some(entry) = self.entry_mut(incarnation) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// Records that a batch item was sent to a worker, in addition to [`WorkerTable::record_start`].
    pub fn record_batch_start(&mut self, incarnation: &WorkerIncarnation) {
        if let Some(entry) = self.entry_mut(incarnation) {
            entry.batch_in_flight += 1;
        }
    }

    /// Records that a batch item at a worker ended, in addition to [`WorkerTable::record_end`].
    pub fn record_batch_end(&mut self, incarnation: &WorkerIncarnation) {
        if let Some(entry) = self.entry_mut(incarnation) {
            entry.batch_in_flight = entry.batch_in_flight.saturating_sub(1);
        }
    }

    /// Returns the number of requests that this node has placed, including batch items.
    pub fn placed(&self) -> u64 {
        self.placed
    }

    /// Records a load reported by the worker itself.
    pub fn record_load(&mut self, incarnation: &WorkerIncarnation, load: WorkerLoad, now: Timestamp) {
        if let Some(entry) = self.entry_mut(incarnation) {
            entry.report = Some(ReportedLoad { load, in_flight_at_report: entry.in_flight, at: now });
        }
    }

    /// Records that a worker rejected a request as full. It is treated as full until the next report or until this
    /// estimate expires.
    pub fn mark_full(&mut self, incarnation: &WorkerIncarnation, now: Timestamp) {
        if let Some(entry) = self.entry_mut(incarnation) {
            let slots = entry.record.slots;
            let load = WorkerLoad { running: slots, waiting: slots / SLOTS_PER_QUEUED, slowdown: Slowdown::default() };
            entry.report = Some(ReportedLoad { load, in_flight_at_report: entry.in_flight, at: now });
        }
    }

    /// Returns whether the worker itself recently reported, to this node or to others, that all its slots are taken.
    pub fn reports_full(&self, worker: &WorkerIncarnation, now: Timestamp) -> bool {
        self.workers.get(&worker.id).is_some_and(|entry| entry.reports_full(now))
    }

    /// Returns this node's report on each worker, omitting workers without load or ejections.
    pub fn local_report(&self, now: Timestamp) -> Vec<WorkerReport> {
        let report_of = |entry: &WorkerEntry| {
            let report = entry.report.filter(|report| now.since(report.at) < MAX_SELF_REPORT_AGE);
            let self_reported = report.map(|report| report.corrected(entry.in_flight));
            let ejected_by = u32::from(entry.is_ejected_locally(now));
            let requests = entry.in_flight + entry.held_slots.count(now);
            let is_reportable = requests > 0 || self_reported.is_some() || ejected_by > 0;
            let (worker, batch) = (entry.record.id.clone(), 0);
            is_reportable.then_some(WorkerReport { worker, requests, self_reported, ejected_by, batch })
        };
        self.active_entries().filter_map(report_of).collect()
    }

    /// Applies the aggregated report of all other nodes.
    pub fn apply_report(&mut self, report: &LoadReport, now: Timestamp) {
        let by_worker: BTreeMap<&WorkerId, &WorkerReport> =
            report.workers.iter().map(|reported| (&reported.worker, reported)).collect();
        by_worker.keys().for_each(|id| self.active.add(id));
        self.update_active(now, |entry| {
            let reported = by_worker.get(&entry.record.id);
            let (load, batch) = reported.map_or((0, 0), |reported| {
                let from_others = reported.self_reported.unwrap_or(0).saturating_sub(entry.in_flight);
                (reported.requests.max(from_others), reported.batch)
            });
            let self_reported = reported.and_then(|reported| reported.self_reported);
            entry.peer_load = Some(SharedLoad { load, batch, self_reported, at: now });
        });
        self.clear_assumed_loads();
        let failed = report.workers.iter().filter(|reported| reported.should_eject());
        self.eject_reported(failed.map(|reported| &reported.worker), now);
        let report_age = report.age.max(Millis(report.interval().0 / 2)) + REPORT_TRANSIT;
        self.peer_rate = Some(PeerRate { at: now, placed_per_s: report.placed_per_s, report_age });
    }

    /// Returns the number of requests of this node at each worker, omitting workers without any.
    pub fn local_loads(&self) -> Vec<WorkerCount> {
        let busy = self.active_entries().filter(|entry| entry.in_flight > 0);
        busy.map(|entry| WorkerCount { worker: entry.record.id.clone(), requests: entry.in_flight }).collect()
    }

    /// Sets the loads of all other nodes, none of which are batch items. Workers that are not listed have no such load.
    pub fn set_shared_loads(&mut self, loads: &[WorkerCount], now: Timestamp) {
        let by_worker: BTreeMap<&WorkerId, u32> = loads.iter().map(|count| (&count.worker, count.requests)).collect();
        by_worker.keys().for_each(|id| self.active.add(id));
        self.update_active(now, |entry| {
            let load = by_worker.get(&entry.record.id).copied().unwrap_or(0);
            entry.peer_load = Some(SharedLoad { load, batch: 0, self_reported: None, at: now });
        });
    }

    /// Returns the workers at which requests are queued while batch items of this node run, with the number of items to
    /// pause.
    pub fn excess_batch_items(&self, now: Timestamp) -> Vec<WorkerCount> {
        let excess = |entry: &WorkerEntry| {
            let waiting = entry.present_load(now).saturating_sub(entry.record.slots);
            let to_pause = waiting.min(entry.batch_in_flight);
            (to_pause > 0).then(|| WorkerCount { worker: entry.record.id.clone(), requests: to_pause })
        };
        self.active_entries().filter_map(excess).collect()
    }

    /// Records that batch items at a worker were paused for online requests.
    pub fn record_batch_yield(&mut self, id: &WorkerId, now: Timestamp) {
        if let Some(entry) = self.workers.get_mut(id) {
            entry.batch_yielded_at = Some(now);
        }
    }

    /// Returns the load estimate of a worker, for logging.
    pub fn describe(&self, id: &WorkerId, now: Timestamp) -> String {
        let Some(entry) = self.workers.get(id) else { return String::new() };
        format!(
            "load {} of {} slots, {} of batch, {:?}",
            entry.estimated_load(now),
            entry.record.slots,
            entry.batch_in_flight,
            entry.peer_load
        )
    }
}
