//! Outlier ejection, and what the ends of attempts say of the workers.
//!
//! Owns when a worker that failed is left out of the choice and for how long, how slow a worker is against the others,
//! and how long the workers of a service take.

use super::choice::Choice;
use super::service_times::ServiceTimes;
use super::table::WorkerTable;
use super::worker::{WorkerId, WorkerIncarnation};
use crate::backoff::Backoff;
use crate::moving_mean::MovingMean;
use crate::serving::online::attempt::AttemptEnd;
use crate::time::{Millis, Timestamp};

/// A worker that failed once is ejected for this long, in milliseconds, for the requests that it would take; doubles
/// with each failure in a row.
const BASE_EJECTION: Millis = Millis(300);
/// A worker that could not be reached is ejected for this long at first, in milliseconds: each try costs a request the
/// 250 ms that a connection may take.
const BASE_EJECTION_UNREACHABLE: Millis = Millis(1_200);
/// The longest ejection, in milliseconds, so that a worker that recovered is tried again.
const MAX_EJECTION: Millis = Millis(4_000);
/// A worker that failed other nodes is ejected for this long after each report of that, in milliseconds, so that a dead
/// worker is found once and not once a node.
const REPORTED_EJECTION: Millis = Millis(500);
/// The mean time to the first event before any was measured, in milliseconds, for the first requests of a process.
const INITIAL_MEAN_FIRST_MS: f64 = 60.0;
/// The weight of a first event in the mean over all workers, which so goes by some twenty of them.
const MEAN_FIRST_WEIGHT: f64 = 0.05;
/// The weight of a first event in its worker's slowness, which so goes by some five of them.
const SLOWNESS_WEIGHT: f64 = 0.2;
/// The least mean that a first event is compared with, in milliseconds, so that a very fast fleet has no slow workers
/// by rounding.
const LEAST_MEAN_FIRST_MS: f64 = 5.0;
/// The least and the greatest multiple of the mean that one first event counts as, so that one outlier doesn't decide
/// on a worker's slowness.
const LEAST_SLOWNESS: f64 = 0.5;
/// See [`LEAST_SLOWNESS`].
const GREATEST_SLOWNESS: f64 = 5.0;

/// The mean time to the first event before any was measured.
pub(super) fn initial_mean_first() -> MovingMean {
    MovingMean::starting_at(INITIAL_MEAN_FIRST_MS, MEAN_FIRST_WEIGHT)
}

/// The slowness of a worker before any of its first events was measured: that of the mean.
pub(super) fn new_slowness() -> MovingMean {
    MovingMean::starting_at(1.0, SLOWNESS_WEIGHT)
}

impl WorkerTable {
    /// A worker answered as it should. `took` is the time to its first event.
    pub fn succeeded(&mut self, incarnation: &WorkerIncarnation, took: Millis, now: Timestamp) {
        let took = took.0 as f64;
        let ratio = took / self.mean_first.value().max(LEAST_MEAN_FIRST_MS);
        let slowness = ratio.clamp(LEAST_SLOWNESS, GREATEST_SLOWNESS);
        self.mean_first.record(took);
        if let Some(entry) = self.entry_of(incarnation) {
            entry.failures = 0;
            entry.ejected_until = None;
            entry.peer_ejection = None;
            entry.slowness.record(slowness);
            entry.measured_at = now;
        }
    }

    /// The first event of a stream came after `took` from the worker that was chosen for it. It counts in the service's
    /// times only if the worker had a free slot, or it would include the time in the queue.
    pub fn first_event(&mut self, service: &str, choice: &Choice, took: Millis, now: Timestamp) {
        self.succeeded(&choice.incarnation(), took, now);
        if choice.load < choice.slots {
            self.service_times(service).note_first(took);
        }
    }

    /// The mean time to the first event over all workers, in milliseconds.
    pub fn mean_time_to_first_event(&self) -> Millis {
        Millis(self.mean_first.value() as u64)
    }

    /// An attempt at a worker ended without a whole answer: what that says of the worker is noted.
    pub fn attempt_ended(&mut self, incarnation: &WorkerIncarnation, end: AttemptEnd, now: Timestamp) {
        match end {
            AttemptEnd::NotRun { other_instance: false } => self.mark_full(incarnation, now),
            AttemptEnd::NotRun { other_instance: true } => {
                // Another worker has the address: this one is gone, whatever its record says, and no last resort.
                if self.entry_of(incarnation).is_some() {
                    self.remove(&incarnation.id, now, now);
                }
            }
            AttemptEnd::NotConnected => {
                self.failed(incarnation, false, now);
            }
            AttemptEnd::Failed { .. } | AttemptEnd::Broken | AttemptEnd::Silent => {
                self.failed(incarnation, true, now);
            }
        }
    }

    /// A worker failed this node. Returns for how long it is ejected, in milliseconds: longer if it could not even be
    /// reached, since each try costs a request the whole time to connect. `None` if it is not known.
    pub fn failed(&mut self, incarnation: &WorkerIncarnation, was_reached: bool, now: Timestamp) -> Option<Millis> {
        let entry = self.entry_of(incarnation)?;
        entry.failures += 1;
        let first = if was_reached { BASE_EJECTION } else { BASE_EJECTION_UNREACHABLE };
        let span = Backoff::new(first, MAX_EJECTION).wait(entry.failures - 1);
        entry.ejected_until = Some(now + span);
        if !was_reached {
            // It may start again before its record says so.
            self.chill_from(&incarnation.id, now + span);
        }
        Some(span)
    }

    /// Ejects workers that failed other nodes, until that is not reported any more.
    pub fn eject_reported<'a>(&mut self, failed: impl Iterator<Item = &'a WorkerId>, now: Timestamp) {
        let until = now + REPORTED_EJECTION;
        for id in failed {
            if let Some(entry) = self.workers.get_mut(id) {
                entry.peer_ejection = Some(until);
                self.active.add(id);
                self.chill_from(id, until);
            }
        }
    }

    /// How long the workers of a service take.
    pub fn service_times(&mut self, service: &str) -> &mut ServiceTimes {
        self.times.entry(service.into()).or_default()
    }

    /// How long the first event should take of a request that goes to the worker that was chosen for it, in
    /// milliseconds. `None` while too little is known.
    pub fn expected_time_to_first_event(&self, service: &str, choice: &Choice) -> Option<Millis> {
        self.times.get(service)?.expected_time_to_first_event(choice.queue_position, choice.slots)
    }
}
