//! The progress of a graceful shutdown, shared by the process, the listener for callers and the requests.
//!
//! `stallmoor_core::serving::stopping` decides which requests may still start.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use stallmoor_core::log_event::LogEvent;
use stallmoor_core::serving::online::answer_times::AnswerTimes;
use stallmoor_core::serving::stopping::{ActiveStop, GatewayStop, RequestTime};
use stallmoor_core::time::{Millis, Timestamp};
use tokio::sync::watch;

use crate::observe::journal::{Field, record};
use crate::observe::measures;

/// Phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// Normal operation.
    #[default]
    Serving,
    /// The node reports itself as not ready but still accepts requests.
    NotReady,
    /// Each connection is closed after its current request.
    Closing,
    /// The process is about to end. Requests under way are answered with what is known of them.
    Ending,
}

/// What became of a request because of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// It was refused before it was sent to a worker.
    Refused,
    /// It was answered at the end of the grace period, after it was sent to a worker.
    Answered,
    /// Its stream was broken off at the end of the grace period.
    Cut,
}

impl StopOutcome {
    /// Returns the name used as a metric label.
    pub fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Answered => "answered",
            Self::Cut => "cut",
        }
    }
}

/// Phase of this process, and what is known of the requests of callers.
#[derive(Debug, Default)]
pub struct Shutdown {
    phase: watch::Sender<StopPhase>,
    active: Mutex<Option<ActiveStop>>,
    answer_times: Mutex<AnswerTimes>,
    open_requests: AtomicU64,
    refused: AtomicU64,
    answered: AtomicU64,
    cut: AtomicU64,
}

/// Counts a request of a caller as open until it is dropped.
#[derive(Debug)]
pub struct OpenRequest {
    /// The shutdown of the process that serves the request.
    pub shutdown: Arc<Shutdown>,
}

impl Shutdown {
    /// Returns the current phase.
    pub fn phase(&self) -> StopPhase {
        *self.phase.borrow()
    }

    /// Starts the shutdown.
    pub fn start(&self, times: GatewayStop, now: Timestamp) {
        *lock(&self.active) = Some(ActiveStop::new(times, now));
        self.enter(StopPhase::NotReady);
    }

    /// Enters a phase.
    pub fn enter(&self, phase: StopPhase) {
        self.phase.send_replace(phase);
        if phase == StopPhase::Ending {
            record(LogEvent::GraceEnding, &[Field::number("open", self.open_requests.load(Ordering::Relaxed))]);
        }
    }

    /// Waits until the shutdown has reached a phase.
    pub async fn reached(&self, phase: StopPhase) {
        // Can't fail, since `self` owns the sender.
        let _ = self.phase.subscribe().wait_for(|current| *current >= phase).await;
    }

    /// Returns the shutdown that is under way.
    pub fn active(&self) -> Option<ActiveStop> {
        *lock(&self.active)
    }

    /// Returns whether a request of a route may start that has the time `allowed` until its deadline.
    pub fn may_start(&self, route: &str, allowed: Millis, now: Timestamp) -> bool {
        self.active().is_none_or(|stop| stop.may_start(RequestTime { expected: self.expected(route), allowed }, now))
    }

    /// Returns the time within which an answer of a route is expected to be complete.
    pub fn expected(&self, route: &str) -> Option<Millis> {
        lock(&self.answer_times).expected(route)
    }

    /// Records a complete answer of a route, `elapsed` after its request was complete.
    pub fn record_answer(&self, route: &Arc<str>, elapsed: Millis, now: Timestamp) {
        lock(&self.answer_times).record(route, elapsed, now);
    }

    /// Counts a request as open.
    pub fn open_request(self: &Arc<Self>) -> OpenRequest {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        OpenRequest { shutdown: self.clone() }
    }

    /// Counts what became of a request because of the shutdown.
    pub fn count(&self, outcome: StopOutcome) {
        let counter = match outcome {
            StopOutcome::Refused => &self.refused,
            StopOutcome::Answered => &self.answered,
            StopOutcome::Cut => &self.cut,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        measures::count_stopped_request(outcome.name());
    }

    /// Logs what became of the requests.
    pub fn log_outcomes(&self) {
        let fields = [
            Field::number("refused", self.refused.load(Ordering::Relaxed)),
            Field::number("answered", self.answered.load(Ordering::Relaxed)),
            Field::number("cut", self.cut.load(Ordering::Relaxed)),
            Field::number("open", self.open_requests.load(Ordering::Relaxed)),
        ];
        record(LogEvent::StopOutcomes, &fields);
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.shutdown.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Locks a mutex whose value stays consistent even if a holder panicked.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
