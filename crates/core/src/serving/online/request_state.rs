//! The state of one online request: the attempts so far, and what may be tried next.
//!
//! A state machine without I/O: the gateway calls it before each step and reports the outcome of the step. Time,
//! randomness, the retry budget and the view of the workers are passed in.

use std::sync::Arc;

use rand::Rng;

use super::attempt::{AttemptCounts, AttemptEnd};
use super::attribution::Attribution;
use super::shedding::{StreamTiming, shed};
use super::stream_progress::StreamProgress;
use super::timeouts::{AwaitedEvent, event_timeout, first_event_timeout};
use crate::backoff::Backoff;
use crate::error::{ErrorKind, Ran, Refusal};
use crate::retry_budget::RetryBudget;
use crate::serving::configuration::{Route, RouteKind};
use crate::serving::request::RequestAttributes;
use crate::serving::stopping::{ActiveStop, RequestTime};
use crate::serving::stream_origins::{StreamOrigin, UnknownOrigin, stream_lifetime};
use crate::serving::workers::{Choice, WorkerId};
use crate::time::{Millis, Timestamp};

/// Minimum remaining time for starting an attempt.
const MIN_ATTEMPT_TIME: Millis = Millis(20);
/// `Retry-After` of a refused request that certainly did not run. Keeps its caller from retrying at once.
const RETRY_AFTER: Millis = Millis(150);
/// `Retry-After` of a request for which there is no worker at all. Longer, since a worker has to start first.
const NO_WORKER_RETRY_AFTER: Millis = Millis(1_000);
/// Delay before the second round of attempts to resume a stream for which no worker had capacity. Doubles with each
/// round.
const INITIAL_RESUME_BACKOFF: Millis = Millis(20);
/// Maximum delay between two such rounds. Short, so that a free slot is found soon.
const MAX_RESUME_BACKOFF: Millis = Millis(160);

const STOPPING_DETAIL: &str = "the node stops before the answer would be complete";

/// The reason why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// Too little time is left for another attempt.
    NoTime,
    /// There is no worker that was not tried yet.
    NoWorker,
    /// The last allowed attempt failed with this outcome.
    LastAttempt(AttemptEnd),
    /// There is no worker of the service and software version that began the stream.
    OriginGone,
    /// The caller resumes a stream whose origin is not known.
    UnknownOrigin(UnknownOrigin),
    /// The request crashed workers and is quarantined for the given time.
    Quarantined(Millis),
    /// This node stops before an answer would be complete.
    Stopping,
}

/// Returns the time from a request's arrival to its deadline.
pub fn allowed_time(route: &Route, attributes: &RequestAttributes) -> Millis {
    attributes.deadline.map_or(route.timeout, |wait| wait.min(route.timeout))
}

/// Returns the refusal of a request that was not sent to any worker because this node stops.
pub fn stopping() -> Refusal {
    Refusal::new(ErrorKind::Stopping, STOPPING_DETAIL).with_retry_after(RETRY_AFTER.0)
}

/// The workers to which the request was sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct TriedWorkers {
    /// Workers tried in the current round.
    round: Vec<WorkerId>,
    /// Workers of all rounds that may have run the request.
    ran: Vec<WorkerId>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RequestTiming {
    arrived_at: Timestamp,
    ends_at: Timestamp,
    /// Whether the caller stated a deadline, as opposed to the route's timeout alone.
    has_deadline: bool,
}

/// Counts the consecutive rounds in which no worker resumed an interrupted stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResumeRounds {
    failed: u32,
}

/// The state of one online request, from admission to the end of its answer.
#[derive(Clone, Debug)]
pub struct RequestState {
    route: Arc<Route>,
    timing: RequestTiming,
    /// Whether the caller resumes a stream of which it already received events.
    is_reconnect: bool,
    counts: AttemptCounts,
    tried: TriedWorkers,
    attempts: u64,
    is_quarantined: bool,
    /// Whether an attempt has started and its end was not recorded.
    is_attempted: bool,
    /// Whether there were other candidates when the current worker was selected.
    has_alternative: bool,
    /// The progress of the answer's stream.
    pub progress: StreamProgress,
    /// What the attempts say about their workers.
    pub attribution: Attribution,
    /// The origin of the stream of which the caller has received events; only workers of this origin may go on with it.
    pub origin: Option<StreamOrigin>,
}

impl RequestState {
    /// Creates the state of a request that was not sent to any worker yet.
    pub fn new(route: Arc<Route>, attributes: &RequestAttributes, arrived_at: Timestamp) -> Self {
        let allowed = allowed_time(&route, attributes);
        let has_deadline = attributes.deadline.is_some();
        Self {
            route,
            timing: RequestTiming { arrived_at, ends_at: arrived_at + allowed, has_deadline },
            is_reconnect: attributes.last_event.is_some(),
            counts: AttemptCounts::default(),
            tried: TriedWorkers::default(),
            attempts: 0,
            is_quarantined: false,
            is_attempted: false,
            has_alternative: true,
            progress: StreamProgress::after(attributes.last_event),
            attribution: Attribution::default(),
            origin: None,
        }
    }

    /// Returns whether the caller resumes a stream, so that the stream's origin must be known before the first attempt.
    pub fn resumes_stream(&self) -> bool {
        self.is_reconnect && self.is_stream()
    }

    /// Returns the time after which no attempt for the same stream is left.
    pub fn stream_lifetime(&self) -> Millis {
        stream_lifetime(self.route.timeout)
    }

    /// Returns the time left until the request's deadline.
    pub fn remaining(&self, now: Timestamp) -> Millis {
        self.timing.ends_at.since(now)
    }

    /// Returns the deadline to send to a worker, if the caller stated one.
    pub fn worker_deadline(&self, now: Timestamp) -> Option<Millis> {
        self.timing.has_deadline.then(|| self.remaining(now))
    }

    /// Returns the time since the request arrived.
    pub fn age(&self, now: Timestamp) -> Millis {
        now.since(self.timing.arrived_at)
    }

    /// Returns the number of attempts started so far.
    pub fn attempts(&self) -> u64 {
        self.attempts
    }

    /// Returns the workers that must not be tried again in this round.
    pub fn tried(&self) -> &[WorkerId] {
        &self.tried.round
    }

    /// Returns whether the route's answers are streams of events.
    pub fn is_stream(&self) -> bool {
        matches!(self.route.kind, RouteKind::Stream { .. })
    }

    /// Returns whether the route allows a request that may have run to run again.
    pub fn is_retryable(&self) -> bool {
        self.route.kind.is_retryable()
    }

    /// Checks that enough time is left for an attempt.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send if too little time is left.
    pub fn check_time(&self, now: Timestamp) -> Result<(), Refusal> {
        if self.remaining(now) < MIN_ATTEMPT_TIME { Err(self.refusal(RefusalReason::NoTime)) } else { Ok(()) }
    }

    /// Checks that a stopping gateway may start an attempt. One that continues a begun stream always may, since the answer
    /// can no longer be replaced by a refusal.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send if the answer would not be complete in time.
    pub fn check_stop(&self, stop: &ActiveStop, expected: Option<Millis>, now: Timestamp) -> Result<(), Refusal> {
        let time = RequestTime { expected, allowed: self.remaining(now) };
        let has_begun = self.progress.events > 0;
        if has_begun || stop.may_start(time, now) { Ok(()) } else { Err(self.refusal(RefusalReason::Stopping)) }
    }

    /// Checks that the request is not quarantined. `remaining` is the time until the quarantine ends, if any.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send if the request is quarantined.
    pub fn check_quarantine(&mut self, remaining: Option<Millis>) -> Result<(), Refusal> {
        let Some(remaining) = remaining else { return Ok(()) };
        self.is_quarantined = true;
        Err(self.refusal(RefusalReason::Quarantined(remaining)))
    }

    /// Returns whether the request may be shed: only a new stream that would have to queue at the selected worker.
    /// Requests that were already attempted are never shed.
    pub fn may_be_shed(&self, choice: &Choice) -> bool {
        self.attempts == 0 && !self.is_reconnect && self.is_stream() && choice.queue_position > 0
    }

    /// Returns a refusal if the first event, expected `first_after` from now, would miss the route's objective.
    pub fn shed(&self, choice: &Choice, first_after: Millis, now: Timestamp, random: &mut impl Rng) -> Option<Refusal> {
        let times = StreamTiming {
            expected: self.age(now) + first_after,
            objective: self.route.objective,
            remaining: self.remaining(now),
        };
        shed(choice, times, random)
    }

    /// Records the number of candidates for the next attempt.
    pub fn set_candidate_count(&mut self, candidates: usize) {
        self.has_alternative = candidates > 1;
    }

    /// Records that the request is being sent to a worker.
    pub fn record_attempt_start(&mut self, worker: &WorkerId) {
        self.attempts += 1;
        self.is_attempted = true;
        self.tried.round.push(worker.clone());
    }

    /// Records an attempt that ended without a complete answer. The retry budget is charged if the worker was too slow.
    pub fn record_attempt_end(&mut self, worker: &WorkerId, end: AttemptEnd, budget: &mut RetryBudget) {
        if end == AttemptEnd::Silent {
            budget.withdraw();
        }
        if end.may_have_run() {
            self.tried.ran.push(worker.clone());
        }
        self.is_attempted = false;
        self.counts.record(end);
    }

    /// Classifies a server error as a failed attempt if the request may be retried. Returns `None` if the answer is to
    /// be forwarded to the caller.
    pub fn server_failure(&self, status: u16) -> Option<AttemptEnd> {
        let is_server_error = (500..600).contains(&status);
        (is_server_error && self.is_retryable()).then_some(AttemptEnd::Failed { status })
    }

    /// Returns whether another attempt is allowed in the current round.
    pub fn may_retry(&self) -> bool {
        self.counts.may_retry(self.route.kind, self.route.max_attempts)
    }

    /// Returns whether another worker may resume an interrupted stream.
    pub fn may_resume(&self) -> bool {
        self.is_retryable() && self.may_retry()
    }

    /// Starts another round of attempts to resume a stream, after one in which no worker had capacity. Returns the delay
    /// before the round, or `None` if the stream is abandoned. Rounds continue while time is left, since an answer that
    /// has started can no longer be replaced by a refusal.
    pub fn next_round(&mut self, rounds: &mut ResumeRounds, now: Timestamp) -> Option<Millis> {
        let wait = Backoff::new(INITIAL_RESUME_BACKOFF, MAX_RESUME_BACKOFF).wait(rounds.failed);
        let may_run = self.counts.may_run(self.route.kind, self.route.max_attempts);
        if !may_run || self.is_quarantined || self.remaining(now) < wait + MIN_ATTEMPT_TIME {
            return None;
        }
        rounds.failed += 1;
        self.counts.begin_round();
        self.tried.round.clone_from(&self.tried.ran);
        Some(wait)
    }

    /// Returns the time without a first event after which an attempt counts as a failure of its worker, even if the
    /// request goes on waiting.
    pub fn silence_after(&self, mean_first: Millis) -> Millis {
        first_event_timeout(&self.route, mean_first)
    }

    /// Returns the timeout for the head of an answer. The last allowed attempt gets all the remaining time.
    pub fn head_timeout(&self, budget: &RetryBudget, mean_first: Millis, now: Timestamp) -> Millis {
        let remaining = self.remaining(now);
        if self.may_switch_worker(budget) {
            first_event_timeout(&self.route, mean_first).min(remaining)
        } else {
            remaining
        }
    }

    /// Returns the timeout for the next event.
    pub fn event_timeout(&self, budget: &RetryBudget, awaited: AwaitedEvent, now: Timestamp) -> Millis {
        let remaining = self.remaining(now);
        let limit = if self.may_switch_worker(budget) { event_timeout(&self.route, awaited, now) } else { None };
        limit.map_or(remaining, |limit| limit.min(remaining))
    }

    /// Returns whether the request may switch from a slow worker to another one.
    fn may_switch_worker(&self, budget: &RetryBudget) -> bool {
        self.has_alternative
            && self.is_retryable()
            && self.counts.ran + 1 < self.route.max_attempts
            && budget.has_token()
    }

    /// Returns whether a single worker produced the whole stream, so that its duration is the time for which the request
    /// occupied a slot.
    pub fn was_served_by_one_worker(&self) -> bool {
        self.attempts == 1 && !self.is_reconnect
    }

    /// Returns the refusal to send to the caller. It states "not run" only if the request certainly did not run.
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
            RefusalReason::OriginGone => {
                retry_after = NO_WORKER_RETRY_AFTER;
                let detail = "no worker of the software version that began the stream is left".to_owned();
                (ErrorKind::NoEngine, ErrorKind::EngineLost, detail)
            }
            RefusalReason::UnknownOrigin(why) => {
                retry_after = NO_WORKER_RETRY_AFTER;
                let detail = format!("the software version that began the stream is not known: {}", why.name());
                (ErrorKind::NoEngine, ErrorKind::EngineLost, detail)
            }
            RefusalReason::LastAttempt(end) => {
                (ErrorKind::Overloaded, ErrorKind::EngineLost, format!("the last attempt ended as {end:?}"))
            }
            RefusalReason::Quarantined(remaining) => {
                retry_after = remaining;
                let detail = format!("workers died of this request; it is kept from others for {} ms", remaining.0);
                (ErrorKind::RequestQuarantined, ErrorKind::EngineLost, detail)
            }
            RefusalReason::Stopping => (ErrorKind::Stopping, ErrorKind::AnswerIncomplete, STOPPING_DETAIL.to_owned()),
        };
        if self.counts.certainly_not_run() && !self.is_attempted {
            Refusal::new(not_run, detail).with_ran(Ran::NotRun).with_retry_after(retry_after.0)
        } else {
            Refusal::new(may_have_run, detail).with_ran(Ran::Unknown)
        }
    }
}
