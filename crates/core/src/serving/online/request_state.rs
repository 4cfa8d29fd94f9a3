//! The state of one online request: what was tried, and what may be tried next.
//!
//! Owns the attempts, the workers tried and the progress of the stream; relies on the caller for time, randomness, the
//! retry budget and what is known of the workers. The gateway asks it before each step and reports how the step ended.

use std::sync::Arc;

use rand::Rng;

use super::attempt::{AttemptEnd, AttemptLedger};
use super::shedding::{StreamTimes, shed};
use super::stream_progress::StreamProgress;
use super::timeouts::{AwaitedEvent, event_timeout, first_event_timeout};
use crate::backoff::Backoff;
use crate::error::{ErrorKind, Ran, Refusal};
use crate::retry_budget::RetryBudget;
use crate::serving::configuration::{Route, RouteKind};
use crate::serving::request::RequestFacts;
use crate::serving::workers::{Choice, WorkerId};
use crate::time::{Millis, Timestamp};

/// An attempt is made only while at least this much time is left, in milliseconds.
const LEAST_REMAINING: Millis = Millis(20);
/// `Retry-After` of a request that certainly did not run and found no worker or no time, in milliseconds, so that its
/// caller doesn't retry at once.
const RETRY_AFTER: Millis = Millis(150);
/// `Retry-After` of a request for which there is no worker at all, in milliseconds: another one has to appear first.
const NO_WORKER_RETRY_AFTER: Millis = Millis(1_000);
/// The wait before a begun stream is offered once more to workers that all had no room, in milliseconds; doubles with
/// each round.
const FIRST_RESUME_WAIT: Millis = Millis(20);
/// The longest wait between two such rounds, in milliseconds, so that a slot that becomes free is found soon.
const LONGEST_RESUME_WAIT: Millis = Millis(160);

/// Why a request is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// Too little time is left for an attempt.
    NoTime,
    /// Every worker was tried, or there is none.
    NoWorker,
    /// No further attempt is allowed after one that ended so.
    LastAttempt(AttemptEnd),
    /// The request is kept from all workers for that long, since workers died of it.
    Quarantined(Millis),
}

/// The workers that a request was sent to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct TriedWorkers {
    /// In this round.
    round: Vec<WorkerId>,
    /// In any round, where they may have run the request.
    ran: Vec<WorkerId>,
}

/// When a request came and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RequestSpan {
    arrived_at: Timestamp,
    ends_at: Timestamp,
    /// The caller said how long it waits.
    has_deadline: bool,
}

/// The rounds in which a begun stream was offered to workers and none took it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResumeRounds {
    failed: u32,
}

/// The state of one online request.
#[derive(Clone, Debug)]
pub struct RequestState {
    route: Arc<Route>,
    span: RequestSpan,
    /// The caller has events of an earlier request.
    is_continued: bool,
    ledger: AttemptLedger,
    tried: TriedWorkers,
    attempts: u64,
    is_quarantined: bool,
    /// Another worker could take the request from the one that has it.
    has_alternative: bool,
    /// How far the stream is.
    pub progress: StreamProgress,
}

impl RequestState {
    /// A request that was read and not tried yet.
    pub fn new(route: Arc<Route>, facts: &RequestFacts, arrived_at: Timestamp) -> Self {
        let allowed = facts.deadline.map_or(route.timeout, |wait| wait.min(route.timeout));
        let has_deadline = facts.deadline.is_some();
        Self {
            route,
            span: RequestSpan { arrived_at, ends_at: arrived_at + allowed, has_deadline },
            is_continued: facts.last_event.is_some(),
            ledger: AttemptLedger::default(),
            tried: TriedWorkers::default(),
            attempts: 0,
            is_quarantined: false,
            has_alternative: true,
            progress: StreamProgress::after(facts.last_event),
        }
    }

    /// The time that is left, in milliseconds.
    pub fn remaining(&self, now: Timestamp) -> Millis {
        self.span.ends_at.since(now)
    }

    /// The time that a worker is given, where the caller said how long it waits.
    pub fn worker_deadline(&self, now: Timestamp) -> Option<Millis> {
        self.span.has_deadline.then(|| self.remaining(now))
    }

    /// How old the request is, in milliseconds.
    pub fn age(&self, now: Timestamp) -> Millis {
        now.since(self.span.arrived_at)
    }

    /// Attempts made so far.
    pub fn attempts(&self) -> u64 {
        self.attempts
    }

    /// Workers that are not to be tried in this round.
    pub fn tried(&self) -> &[WorkerId] {
        &self.tried.round
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(&self) -> bool {
        matches!(self.route.kind, RouteKind::Stream { .. })
    }

    /// Whether the request may run on a second worker after it may have run on a first.
    pub fn is_retryable(&self) -> bool {
        self.route.kind.is_retryable()
    }

    /// Whether there is time for an attempt.
    ///
    /// # Errors
    ///
    /// The refusal for a request without time.
    pub fn check_time(&self, now: Timestamp) -> Result<(), Refusal> {
        if self.remaining(now) < LEAST_REMAINING { Err(self.refusal(RefusalReason::NoTime)) } else { Ok(()) }
    }

    /// Gives the request up while it is quarantined; `left` is for how long, if it is.
    ///
    /// # Errors
    ///
    /// The refusal, at once: no wait within the request's time would help.
    pub fn check_quarantine(&mut self, left: Option<Millis>) -> Result<(), Refusal> {
        let Some(left) = left else { return Ok(()) };
        self.is_quarantined = true;
        Err(self.refusal(RefusalReason::Quarantined(left)))
    }

    /// Whether the request may be shed at the worker that was chosen for it: a new stream that would wait there. One
    /// that something was done for is never shed.
    pub fn may_be_shed(&self, choice: &Choice) -> bool {
        self.attempts == 0 && !self.is_continued && self.is_stream() && choice.queue_position > 0
    }

    /// The refusal for a stream whose first event, expected `first_after` from now, would be late.
    pub fn shed(&self, choice: &Choice, first_after: Millis, now: Timestamp, random: &mut impl Rng) -> Option<Refusal> {
        let times = StreamTimes {
            expected: self.age(now) + first_after,
            objective: self.route.objective,
            remaining: self.remaining(now),
        };
        shed(choice, times, random)
    }

    /// A worker was chosen for the next attempt, out of so many.
    pub fn set_candidate_count(&mut self, candidates: usize) {
        self.has_alternative = candidates > 1;
    }

    /// The request is sent to a worker.
    pub fn attempt_started(&mut self, worker: &WorkerId) {
        self.attempts += 1;
        self.tried.round.push(worker.clone());
    }

    /// An attempt ended without a whole answer. One that ended since the worker was slow is paid for by the retry budget.
    pub fn attempt_ended(&mut self, worker: &WorkerId, end: AttemptEnd, budget: &mut RetryBudget) {
        if end == AttemptEnd::Silent {
            budget.withdraw();
        }
        if end.may_have_run() {
            self.tried.ran.push(worker.clone());
        }
        self.ledger.note(end);
    }

    /// How the attempt ended whose answer has this status; `None` if the answer is the caller's.
    pub fn server_failure(&self, status: u16) -> Option<AttemptEnd> {
        let is_server_error = (500..600).contains(&status);
        (is_server_error && self.is_retryable()).then_some(AttemptEnd::Failed { status })
    }

    /// Whether another attempt is allowed.
    pub fn may_retry(&self) -> bool {
        self.ledger.may_retry(self.route.kind, self.route.max_attempts)
    }

    /// Whether a begun stream may be taken up by another worker.
    pub fn may_resume(&self) -> bool {
        self.is_retryable() && self.may_retry()
    }

    /// Begins another round in which a begun stream is offered to workers, after one in which none had room. Returns how
    /// long to wait before; `None` if the stream is given up. A stream that the caller has begun to read can't be
    /// refused any more, so it is offered for as long as there is time.
    pub fn next_round(&mut self, rounds: &mut ResumeRounds, now: Timestamp) -> Option<Millis> {
        let wait = Backoff::new(FIRST_RESUME_WAIT, LONGEST_RESUME_WAIT).wait(rounds.failed);
        let may_run = self.ledger.may_run(self.route.kind, self.route.max_attempts);
        if !may_run || self.is_quarantined || self.remaining(now) < wait + LEAST_REMAINING {
            return None;
        }
        rounds.failed += 1;
        self.ledger.begin_round();
        self.tried.round.clone_from(&self.tried.ran);
        Some(wait)
    }

    /// How long the head of an answer is awaited, in milliseconds: the last attempt gets all the time there is.
    pub fn head_timeout(&self, budget: &RetryBudget, mean_first: Millis, now: Timestamp) -> Millis {
        let remaining = self.remaining(now);
        if self.may_move(budget) { first_event_timeout(&self.route, mean_first).min(remaining) } else { remaining }
    }

    /// How long the next event is awaited, in milliseconds.
    pub fn event_timeout(&self, budget: &RetryBudget, awaited: AwaitedEvent, now: Timestamp) -> Millis {
        let remaining = self.remaining(now);
        let limit = if self.may_move(budget) { event_timeout(&self.route, awaited, now) } else { None };
        limit.map_or(remaining, |limit| limit.min(remaining))
    }

    /// Whether the request may leave a worker that is merely slow. Without another one it would only lose what it has.
    fn may_move(&self, budget: &RetryBudget) -> bool {
        self.has_alternative
            && self.is_retryable()
            && self.ledger.ran + 1 < self.route.max_attempts
            && budget.has_token()
    }

    /// Whether one worker answered the request from its first event on, so that the time of its answer is the time for
    /// which it had a slot.
    pub fn was_served_by_one_worker(&self) -> bool {
        self.attempts == 1 && !self.is_continued
    }

    /// The refusal for a request that is given up. Only one that certainly did not run is said not to have run.
    pub fn refusal(&self, why: RefusalReason) -> Refusal {
        let mut retry_after = RETRY_AFTER;
        let (not_run, may_have_run, detail) = match why {
            RefusalReason::NoTime => {
                (ErrorKind::DeadlineUnmet, ErrorKind::DeadlineExceeded, "no time is left".to_owned())
            }
            RefusalReason::NoWorker => {
                if self.attempts == 0 {
                    retry_after = NO_WORKER_RETRY_AFTER;
                }
                (ErrorKind::NoEngine, ErrorKind::EngineLost, "no worker is left to try".to_owned())
            }
            RefusalReason::LastAttempt(end) => {
                (ErrorKind::Overloaded, ErrorKind::EngineLost, format!("the last attempt ended as {end:?}"))
            }
            RefusalReason::Quarantined(left) => {
                retry_after = left;
                let detail = format!("workers died of this request; it is kept from others for {} ms", left.0);
                (ErrorKind::RequestQuarantined, ErrorKind::EngineLost, detail)
            }
        };
        if self.ledger.certainly_not_run() {
            Refusal::new(not_run, detail).with_ran(Ran::NotRun).with_retry_after(retry_after.0)
        } else {
            Refusal::new(may_have_run, detail).with_ran(Ran::Unknown)
        }
    }
}
