//! The loads of the workers: this node's own requests, the workers' word, and the reports of the other nodes.
//!
//! Owns what a load report of this node says and what is taken from one of the others.

use std::collections::BTreeMap;

use super::load_report::{LoadReport, WorkerCount, WorkerReport};
use super::table::WorkerTable;
use super::worker::{ReportedLoad, SharedLoad, Slowdown, WorkerEntry, WorkerId, WorkerIncarnation, WorkerLoad};
use crate::serving::request::PrefixBlock;
use crate::time::{Millis, Timestamp};

/// The time that reports take to the aggregator and from there, in milliseconds.
const TRANSIT: Millis = Millis(10);
/// A worker's own word on its load is reported to other nodes while it is younger than this, in milliseconds.
const SELF_REPORT_AGE: Millis = Millis(300);
/// A worker that had no room is believed to run as many requests as it has slots, and to have one more waiting for each
/// so many slots.
const SLOTS_PER_WAITING: u32 = 2;

/// How fast all other nodes placed requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerRate {
    /// When the report came.
    pub(super) at: Timestamp,
    pub(super) placed_per_s: u32,
    /// How old the reports in it were then, on average.
    pub(super) report_age: Millis,
}

impl WorkerTable {
    /// A request leaves for a worker.
    pub fn started(
        &mut self,
        incarnation: &WorkerIncarnation,
        prefix: &[PrefixBlock],
        memory_tokens: u64,
        now: Timestamp,
    ) {
        if let Some(entry) = self.entry_of(incarnation) {
            entry.in_flight += 1;
            entry.cache.note(prefix, memory_tokens, now);
            self.placed += 1;
            self.use_permit(incarnation);
        }
    }

    /// A request at a worker ended, however it did.
    pub fn ended(&mut self, incarnation: &WorkerIncarnation) {
        if let Some(entry) = self.entry_of(incarnation) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// A batch item leaves for a worker.
    pub fn batch_started(&mut self, incarnation: &WorkerIncarnation) {
        if let Some(entry) = self.entry_of(incarnation) {
            entry.batch_in_flight += 1;
        }
    }

    /// A batch item at a worker ended.
    pub fn batch_ended(&mut self, incarnation: &WorkerIncarnation) {
        if let Some(entry) = self.entry_of(incarnation) {
            entry.batch_in_flight = entry.batch_in_flight.saturating_sub(1);
        }
    }

    /// How many requests this node has placed, batch items included.
    pub fn placed(&self) -> u64 {
        self.placed
    }

    /// A worker reported its load.
    pub fn reported(&mut self, incarnation: &WorkerIncarnation, load: WorkerLoad, now: Timestamp) {
        if let Some(entry) = self.entry_of(incarnation) {
            entry.report = Some(ReportedLoad { load, in_flight_then: entry.in_flight, at: now });
        }
    }

    /// A worker had no room: it is believed to be full until it reports again.
    pub fn mark_full(&mut self, incarnation: &WorkerIncarnation, now: Timestamp) {
        if let Some(entry) = self.entry_of(incarnation) {
            let slots = entry.record.slots;
            let load = WorkerLoad { running: slots, waiting: slots / SLOTS_PER_WAITING, slowdown: Slowdown::default() };
            entry.report = Some(ReportedLoad { load, in_flight_then: entry.in_flight, at: now });
        }
    }

    /// What this node reports of each worker.
    pub fn local_report(&self, now: Timestamp) -> Vec<WorkerReport> {
        let report_of = |entry: &WorkerEntry| {
            let report = entry.report.filter(|report| now.since(report.at) < SELF_REPORT_AGE);
            let self_reported = report.map(|report| report.corrected(entry.in_flight));
            let ejected_by = u32::from(entry.failed_here(now));
            let is_worth_it = entry.in_flight > 0 || self_reported.is_some() || ejected_by > 0;
            let (worker, requests, batch) = (entry.record.id.clone(), entry.in_flight, 0);
            is_worth_it.then_some(WorkerReport { worker, requests, self_reported, ejected_by, batch })
        };
        self.active_entries().filter_map(report_of).collect()
    }

    /// Takes the sums over all other nodes.
    pub fn apply_report(&mut self, report: &LoadReport, now: Timestamp) {
        let by_worker: BTreeMap<&WorkerId, &WorkerReport> =
            report.workers.iter().map(|reported| (&reported.worker, reported)).collect();
        by_worker.keys().for_each(|id| self.active.add(id));
        self.change_active(now, |entry| {
            let (load, batch) = by_worker.get(&entry.record.id).map_or((0, 0), |reported| {
                let elsewhere = reported.self_reported.unwrap_or(0).saturating_sub(entry.in_flight);
                (reported.requests.max(elsewhere), reported.batch)
            });
            entry.peers = Some(SharedLoad { load, batch, at: now });
        });
        let failed = report.workers.iter().filter(|reported| reported.should_eject());
        self.eject_reported(failed.map(|reported| &reported.worker), now);
        let report_age = report.age.max(Millis(report.interval().0 / 2)) + TRANSIT;
        self.peer_rate = Some(PeerRate { at: now, placed_per_s: report.placed_per_s, report_age });
    }

    /// Requests of this node at each worker, those without any left out.
    pub fn local_loads(&self) -> Vec<WorkerCount> {
        let busy = self.active_entries().filter(|entry| entry.in_flight > 0);
        busy.map(|entry| WorkerCount { worker: entry.record.id.clone(), requests: entry.in_flight }).collect()
    }

    /// Takes the loads of all other nodes, where none of them is of batch. A worker that is not listed has none.
    pub fn set_shared_loads(&mut self, loads: &[WorkerCount], now: Timestamp) {
        let by_worker: BTreeMap<&WorkerId, u32> = loads.iter().map(|count| (&count.worker, count.requests)).collect();
        by_worker.keys().for_each(|id| self.active.add(id));
        self.change_active(now, |entry| {
            let load = by_worker.get(&entry.record.id).copied().unwrap_or(0);
            entry.peers = Some(SharedLoad { load, batch: 0, at: now });
        });
    }

    /// Workers where requests wait while batch items run there, and how many of those must go.
    pub fn excess_batch_items(&self, now: Timestamp) -> Vec<WorkerCount> {
        let excess = |entry: &WorkerEntry| {
            let waiting = entry.estimated_load(now).saturating_sub(entry.record.slots);
            let over = waiting.min(entry.batch_in_flight);
            (over > 0).then(|| WorkerCount { worker: entry.record.id.clone(), requests: over })
        };
        self.active_entries().filter_map(excess).collect()
    }

    /// What is believed of a worker's load, for the log.
    pub fn describe(&self, id: &WorkerId, now: Timestamp) -> String {
        let Some(entry) = self.workers.get(id) else { return String::new() };
        format!(
            "load {} of {} slots, {} of batch, {:?}",
            entry.estimated_load(now),
            entry.record.slots,
            entry.batch_in_flight,
            entry.peers
        )
    }
}
