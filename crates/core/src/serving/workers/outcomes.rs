//! Evidence of failing workers: what the runs of this node and of all others showed.

use std::sync::Arc;

use super::evidence::{Counts, MIN_COUNT, WorkerEvidence, decay};
use super::outcome_report::{MilliCount, OutcomeReport, RouteOutcomes, WorkerOutcomes};
use super::service_times::ServiceTimes;
use super::table::WorkerTable;
use super::worker::{WorkerEntry, WorkerId, WorkerIncarnation};
use crate::time::Timestamp;

/// What a run showed about its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The worker did what it was asked.
    Served,
    /// The worker failed, unless the request is to blame.
    Failed,
}

/// A change of a worker's standing, for logging.
#[derive(Clone, Debug, PartialEq)]
pub struct SuspicionChange {
    /// ID of the worker.
    pub worker: WorkerId,
    /// Whether the worker is suspected now.
    pub is_suspected: bool,
    /// Decayed count of served runs.
    pub served: f64,
    /// Decayed count of failed runs.
    pub failed: f64,
    /// Failure rate that the worker's routes explain.
    pub base_rate: f64,
    /// Log-likelihood ratio of the counts against the base rates.
    pub ratio: f64,
    /// Ratio at which a worker becomes suspected.
    pub threshold: f64,
    /// Number of nodes with failures among the counts.
    pub failing_nodes: u32,
}

/// Maximum number of workers in a report.
const MAX_REPORTED_WORKERS: usize = 256;

impl WorkerTable {
    /// Records what a run of a route showed about its worker.
    pub fn record_outcome(&mut self, worker: &WorkerIncarnation, route: &Arc<str>, outcome: Outcome, now: Timestamp) {
        let Some(entry) = self.workers.get_mut(&worker.id).filter(|entry| entry.is_incarnation(worker)) else {
            return;
        };
        let counts = match outcome {
            Outcome::Served => Counts { served: 1.0, failed: 0.0 },
            Outcome::Failed => Counts { served: 0.0, failed: 1.0 },
        };
        entry.evidence.get_or_insert_default().record_own(route, counts, now);
        self.evidence.record_total(route, counts, now);
        self.evidence.has_new |= outcome == Outcome::Failed || entry.suspicion().is_some();
        if outcome == Outcome::Failed {
            let held = self.times.get(&entry.record.service).and_then(ServiceTimes::mean_slot_time);
            if let Some(held) = held {
                entry.held_slots.hold(now + held, entry.record.slots, now);
            }
            self.active.add(&worker.id);
            if !self.evidence.reviewed.contains(&worker.id) {
                self.evidence.reviewed.insert(worker.id.clone());
            }
        }
    }

    /// Retracts a failure that was recorded at `failed_at`, because the request fails at other workers, too.
    pub fn retract_failure(
        &mut self,
        worker: &WorkerIncarnation,
        route: &Arc<str>,
        failed_at: Timestamp,
        now: Timestamp,
    ) {
        let Some(entry) = self.workers.get_mut(&worker.id).filter(|entry| entry.is_incarnation(worker)) else {
            return;
        };
        let retracted = Counts { failed: decay(failed_at, now), ..Counts::default() };
        if let Some(evidence) = &mut entry.evidence {
            evidence.retract_own(route, retracted, now);
            entry.held_slots.release_last();
            self.evidence.has_new = true;
            self.evidence.retract_total(route, retracted, now);
        }
    }

    /// Returns this node's report; empty if no worker has failures at this node or others. Workers that only other nodes
    /// used are not listed, so that the report does not grow with the failing workers of the fleet.
    pub fn outcome_report(&self, now: Timestamp) -> OutcomeReport {
        if self.evidence.reviewed.is_empty() {
            return OutcomeReport::default();
        }
        let mut workers: Vec<(f64, f64, &WorkerEntry, &WorkerEvidence)> = self.reported_workers(now).collect();
        workers.sort_by(|left, right| right.0.total_cmp(&left.0).then(right.1.total_cmp(&left.1)));
        workers.truncate(MAX_REPORTED_WORKERS);
        if workers.is_empty() {
            return OutcomeReport::default();
        }
        let workers = workers.into_iter().flat_map(|(_, _, entry, known)| self.worker_outcomes(entry, known, now));
        let workers: Vec<WorkerOutcomes> = workers.collect();
        let totals = self.total_contributions(now).into_iter().filter(|(_, total)| total.total() >= MIN_COUNT);
        let route_outcomes = |(route, total): (Arc<str>, Counts)| RouteOutcomes {
            route,
            served: to_milli(total.served),
            failed: to_milli(total.failed),
        };
        OutcomeReport { workers, routes: totals.map(route_outcomes).collect(), ..OutcomeReport::default() }
    }

    /// Returns the workers with failures at this node or with counts of other nodes, with both numbers of failures.
    fn reported_workers(&self, now: Timestamp) -> impl Iterator<Item = (f64, f64, &WorkerEntry, &WorkerEvidence)> {
        let entries = self.evidence.reviewed.iter().filter_map(|id| self.workers.get(id));
        entries.filter_map(move |entry| {
            let known = entry.evidence.as_deref()?;
            let own = known.own_total(now);
            let shared_failed = known.shared_failed() * self.evidence.shared_weight(now);
            let is_reported = own.failed >= MIN_COUNT || shared_failed >= MIN_COUNT;
            is_reported.then_some((own.failed, shared_failed, entry, known))
        })
    }

    fn worker_outcomes<'a>(
        &'a self,
        entry: &'a WorkerEntry,
        known: &'a WorkerEvidence,
        now: Timestamp,
    ) -> impl Iterator<Item = WorkerOutcomes> + 'a {
        let weight = known.contribution_weight(now);
        known.own(now).filter(|(_, own)| own.total() >= MIN_COUNT).map(move |(route, own)| {
            let others = self.evidence.own_total_of(route, now).minus(own);
            let contribution = own.scaled(weight);
            WorkerOutcomes {
                worker: entry.record.id.clone(),
                started_at: entry.record.started_at,
                route: route.clone(),
                served: to_milli(contribution.served),
                failed: to_milli(contribution.failed),
                failing_nodes: u32::from(known.is_failing_on(own, others)),
            }
        })
    }
}

fn to_milli(count: f64) -> MilliCount {
    MilliCount((count * 1_000.0).round() as u32)
}
