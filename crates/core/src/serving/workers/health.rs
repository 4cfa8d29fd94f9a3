//! Outlier ejection and latency tracking, driven by the outcomes of attempts.
//!
//! Decides when and for how long a failed worker is excluded from selection, and tracks the latency of each worker
//! relative to the others and the response times of each service.

use super::choice::Choice;
use super::continuation::RestartSign;
use super::service_times::ServiceTimes;
use super::table::WorkerTable;
use super::worker::{WorkerId, WorkerIncarnation};
use crate::backoff::Backoff;
use crate::moving_mean::MovingMean;
use crate::serving::online::attempt::AttemptEnd;
use crate::time::{Millis, Timestamp};

/// Ejection after the first failure of a reachable worker; doubles with each consecutive failure.
const BASE_EJECTION: Millis = Millis(300);
/// Ejection after the first failed connection. Longer than [`BASE_EJECTION`], since each further try costs a request
/// the whole connect timeout.
const BASE_UNREACHABLE_EJECTION: Millis = Millis(1_200);
/// Maximum ejection, so that recovered workers are tried again.
const MAX_EJECTION: Millis = Millis(4_000);
/// Ejection after each report of other nodes that a worker failed, so that not every node has to detect the failure
/// itself.
const PEER_REPORTED_EJECTION: Millis = Millis(500);
/// Assumed mean time to the first event until the process has samples.
const INITIAL_MEAN_FIRST_EVENT_MS: f64 = 60.0;
/// Weight of one sample in the mean over all workers. The mean reflects about twenty samples.
const MEAN_FIRST_EVENT_WEIGHT: f64 = 0.05;
/// Weight of one sample in a worker's relative latency. It reflects about five samples.
const RELATIVE_LATENCY_WEIGHT: f64 = 0.2;
/// Minimum mean that a sample is compared with, so that millisecond rounding does not make workers of a very fast fleet
/// look slow.
const MIN_MEAN_FIRST_EVENT_MS: f64 = 5.0;
/// Minimum relative latency of one sample; bounds the effect of an outlier.
const MIN_RELATIVE_LATENCY: f64 = 0.5;
/// Maximum relative latency of one sample; bounds the effect of an outlier.
const MAX_RELATIVE_LATENCY: f64 = 5.0;

pub(super) fn initial_mean_first_event() -> MovingMean {
    MovingMean::starting_at(INITIAL_MEAN_FIRST_EVENT_MS, MEAN_FIRST_EVENT_WEIGHT)
}

/// Returns the relative latency of a worker without samples, which equals the mean.
pub(super) fn initial_relative_latency() -> MovingMean {
    MovingMean::starting_at(1.0, RELATIVE_LATENCY_WEIGHT)
}

impl WorkerTable {
    /// Records a successful response, with the time to its first event. Ends the worker's ejection.
    pub fn record_success(&mut self, incarnation: &WorkerIncarnation, elapsed: Millis, now: Timestamp) {
        let elapsed = elapsed.0 as f64;
        let ratio = elapsed / self.mean_first_event_ms.value().max(MIN_MEAN_FIRST_EVENT_MS);
        let relative_latency = ratio.clamp(MIN_RELATIVE_LATENCY, MAX_RELATIVE_LATENCY);
        self.mean_first_event_ms.record(elapsed);
        if let Some(entry) = self.entry_mut(incarnation) {
            entry.consecutive_failures = 0;
            entry.ejected_until = None;
            entry.peer_ejected_until = None;
            entry.relative_latency.record(relative_latency);
            entry.latency_measured_at = now;
        }
        self.limit_cold_period(incarnation, now);
    }

    /// Records the time to the first event of a stream from the selected worker. The sample updates the service times
    /// only if the worker had a free slot, since it would otherwise include queueing time.
    pub fn record_first_event(&mut self, service: &str, choice: &Choice, elapsed: Millis, now: Timestamp) {
        self.record_success(&choice.incarnation(), elapsed, now);
        if choice.load < choice.slots {
            self.service_times(service).record_first_event(elapsed);
        }
    }

    /// Returns the mean time to the first event over all workers.
    pub fn mean_time_to_first_event(&self) -> Millis {
        Millis(self.mean_first_event_ms.value() as u64)
    }

    /// Updates the worker's state after an attempt that started and ended at `now` without a complete response; see
    /// [`WorkerTable::record_ended_attempt`].
    pub fn record_attempt_end(&mut self, incarnation: &WorkerIncarnation, end: AttemptEnd, now: Timestamp) {
        self.record_ended_attempt(incarnation, end, now, now);
    }

    /// Updates the worker's state after an attempt that started at `started_at` and ended without a complete response.
    pub fn record_ended_attempt(
        &mut self,
        incarnation: &WorkerIncarnation,
        end: AttemptEnd,
        started_at: Timestamp,
        now: Timestamp,
    ) {
        match end {
            AttemptEnd::NotRun { other_instance: false } => self.mark_full(incarnation, now),
            AttemptEnd::NotRun { other_instance: true } => {
                // Another worker uses the address, so this one no longer exists, whatever its record says, and must not
                // be selected as a last resort.
                if self.entry_mut(incarnation).is_some() {
                    self.remove(&incarnation.id, now, now);
                }
            }
            AttemptEnd::NotConnected => {
                self.record_restart_sign(incarnation, RestartSign::Broken, now);
                self.record_failed_attempt(incarnation, false, started_at, now);
            }
            AttemptEnd::NoMemory => {}
            AttemptEnd::Broken => {
                self.record_restart_sign(incarnation, RestartSign::Broken, now);
                self.record_failed_attempt(incarnation, true, started_at, now);
            }
            AttemptEnd::Failed { .. } | AttemptEnd::Silent | AttemptEnd::TooLarge { .. } => {
                self.record_failed_attempt(incarnation, true, started_at, now);
            }
        }
    }

    /// Records an attempt that started and failed at `now`; see [`WorkerTable::record_failed_attempt`].
    pub fn record_failure(
        &mut self,
        incarnation: &WorkerIncarnation,
        was_reached: bool,
        now: Timestamp,
    ) -> Option<Millis> {
        self.record_failed_attempt(incarnation, was_reached, now, now)
    }

    /// Records a failed attempt that started at `started_at`, and ejects the worker. Returns the duration of the
    /// ejection, which is longer if the worker could not be reached, or `None` if the worker is unknown.
    ///
    /// When a worker crashes, all its requests fail. Those sent before the worker was ejected count as one failure,
    /// since only attempts after an ejection show that the worker still fails.
    pub fn record_failed_attempt(
        &mut self,
        incarnation: &WorkerIncarnation,
        was_reached: bool,
        started_at: Timestamp,
        now: Timestamp,
    ) -> Option<Millis> {
        let entry = self.entry_mut(incarnation)?;
        if entry.consecutive_failures == 0 || started_at >= entry.ejected_at {
            entry.consecutive_failures += 1;
            entry.ejected_at = now;
        }
        let base = if was_reached { BASE_EJECTION } else { BASE_UNREACHABLE_EJECTION };
        let duration = Backoff::new(base, MAX_EJECTION).wait(entry.consecutive_failures - 1);
        entry.ejected_until = entry.ejected_until.max(Some(now + duration));
        if !was_reached {
            // The worker may restart before its record shows it.
            self.mark_cold_from(&incarnation.id, now + duration);
        }
        Some(duration)
    }

    /// Ejects workers that other nodes reported as failed, for a short time after each report.
    pub fn eject_reported<'a>(&mut self, failed: impl Iterator<Item = &'a WorkerId>, now: Timestamp) {
        let until = now + PEER_REPORTED_EJECTION;
        for id in failed {
            if let Some(entry) = self.workers.get_mut(id) {
                entry.peer_ejected_until = Some(until);
                self.active.add(id);
                self.mark_cold_from(id, until);
            }
        }
    }

    /// Returns the response times of a service, created empty if there are none.
    pub fn service_times(&mut self, service: &str) -> &mut ServiceTimes {
        self.times.entry(service.into()).or_default()
    }

    /// Returns the expected time to the first event of a request at the selected worker, or `None` without enough
    /// samples.
    pub fn expected_time_to_first_event(&self, service: &str, choice: &Choice) -> Option<Millis> {
        self.times.get(service)?.expected_time_to_first_event(choice.queue_position, choice.slots)
    }
}
