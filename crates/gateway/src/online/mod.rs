//! A request from its admission to the last byte of its answer.
//!
//! | module | owns |
//! |---|---|
//! | `stream` | passing a stream on, and taking it up at another worker |
//! | `records` | what the request leaves in the log and in the figures |

mod records;
mod stream;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::HeaderMap;
use hyper::{Method, Response, Uri};
use rand::Rng;
use stallmoor_core::error::{ErrorKind, Ran, Refusal};
use stallmoor_core::serving::configuration::tenant::CallerIdentity;
use stallmoor_core::serving::configuration::{Route, RouteKind};
use stallmoor_core::serving::online::attempt::{AttemptEnd, AttemptLedger};
use stallmoor_core::serving::request::RequestFacts;
use stallmoor_core::serving::workers::{Choice, WorkerAsk, WorkerId};
use stallmoor_core::time::{Millis, Timestamp};

use crate::adapter::dialect::AttemptTerms;
use crate::http::answer_body::{Aborted, AnswerBody};
use crate::http::refusal;
use crate::workers::attempt::{Attempt, OpenAnswer, WorkerClient};

/// The share of the objective for which a first attempt is waited for before another worker is tried.
const FIRST_EVENT_TIMEOUT_PERCENT: u64 = 50;
/// An attempt is waited for at least this many times the usual time to the first event.
const MEAN_MULTIPLE: u64 = 4;
/// Least time for which an attempt is waited for.
const MIN_FIRST_EVENT_TIMEOUT: Millis = Millis(60);
/// When a caller that found no room should come back.
const RETRY_AFTER: Millis = Millis(150);
/// When a caller should come back that the fleet has no room for, as a share of the time for which it waits. A burst
/// lasts for seconds: one that came back sooner would be refused again, and one that came later had no time left.
const RETRY_AFTER_SHARE: f64 = 0.33;
/// The part of that time over which such callers are spread, lest they come back as a burst of their own.
const RETRY_AFTER_SPREAD: f64 = 0.15;
/// An attempt needs at least this much time.
const LEAST_REMAINING: Millis = Millis(20);

/// A request as it was read.
pub struct OnlineRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: Uri,
    /// Its head.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// What it says of itself.
    pub facts: RequestFacts,
    /// Its route.
    pub route: Arc<Route>,
    /// On whose behalf it comes.
    pub identity: CallerIdentity,
    /// When its head was read.
    pub arrived_at: Timestamp,
}

/// A request on its way.
struct Passage {
    client: Arc<WorkerClient>,
    request: OnlineRequest,
    service: Arc<str>,
    ledger: AttemptLedger,
    /// Workers tried in this round.
    tried: Vec<WorkerId>,
    /// Workers that may have run the request, in any round.
    ran_on: Vec<WorkerId>,
    /// Attempts made in all rounds.
    attempts: u64,
    ends_at: Timestamp,
    /// The last event that was passed on, or that the caller had from before.
    last_event: Option<u64>,
    events: u32,
    /// The last choice of a worker, for the log.
    last_choice: Option<Choice>,
    /// The time from the request's arrival to its first event.
    first_event_after: Option<Millis>,
}

/// Serves a request.
pub async fn serve(client: Arc<WorkerClient>, request: OnlineRequest) -> Response<AnswerBody> {
    let Some(service) = client.view.draw_service(&request.route) else {
        return refusal::of_kind(ErrorKind::NoEngine, "the route leads to no service");
    };
    let held = request.facts.deadline.map_or(request.route.timeout, |wait| wait.min(request.route.timeout));
    client.view.retry_budget().deposit();
    let ends_at = request.arrived_at + held;
    let last_event = request.facts.last_event;
    let ledger = AttemptLedger::default();
    let mut passage = Passage {
        client,
        request,
        service,
        ledger,
        tried: Vec::new(),
        ran_on: Vec::new(),
        attempts: 0,
        ends_at,
        last_event,
        events: 0,
        last_choice: None,
        first_event_after: None,
    };
    let answer = match passage.open().await {
        Ok(answer) => answer,
        Err(refused) => {
            passage.log_refusal(&refused);
            return refusal::answer(&refused);
        }
    };
    let is_stream = matches!(passage.request.route.kind, RouteKind::Stream { .. });
    if is_stream && answer.status.is_success() { passage.stream(answer) } else { passage.whole(answer).await }
}

impl Passage {
    fn now(&self) -> Timestamp {
        self.client.view.clock.now()
    }

    fn remaining(&self) -> Millis {
        self.ends_at.since(self.now())
    }

    fn may_run_again(&self) -> bool {
        self.request.route.kind.may_run_again()
    }

    fn choose(&self) -> Option<Choice> {
        let view = &self.client.view;
        let ask = WorkerAsk {
            service: &self.service,
            zone: &view.zone,
            prefix: &self.request.facts.prefix,
            prompt_tokens: self.request.facts.prompt_tokens,
            body_bytes: self.request.body.len(),
            tried: &self.tried,
        };
        let now = self.now();
        let mut random = view.random();
        let workers = view.workers();
        workers.choose(&ask, now, &mut *random)
    }

    /// Tries workers until one begins to answer.
    async fn open(&mut self) -> Result<OpenAnswer, Refusal> {
        loop {
            if self.remaining() < LEAST_REMAINING {
                return Err(self.give_up(ErrorKind::DeadlineUnmet, ErrorKind::DeadlineExceeded, "no time is left"));
            }
            let Some(choice) = self.choose() else {
                return Err(self.give_up(ErrorKind::NoEngine, ErrorKind::EngineLost, "no worker is left to try"));
            };
            if let Some(expected) = self.late_first_event(&choice) {
                return Err(self.shed(&choice, expected));
            }
            let timeout = self.timeout();
            let worker = choice.id.clone();
            match self.attempt(choice, timeout).await {
                Ok(answer) if self.should_try_elsewhere(&answer) => {
                    let end = AttemptEnd::Failed { status: answer.status.as_u16() };
                    self.client.view.workers().failed(&answer.worker, true, self.now());
                    self.log_attempt(&answer.worker, end);
                    self.note_end(&answer.worker, end);
                    if !self.may_try_again() {
                        return Ok(answer);
                    }
                }
                Ok(answer) => return Ok(answer),
                Err(end) => {
                    self.note_end(&worker, end);
                    if !self.may_try_again() {
                        let detail = format!("the last attempt ended as {end:?}");
                        return Err(self.give_up(ErrorKind::Overloaded, ErrorKind::EngineLost, &detail));
                    }
                }
            }
        }
    }

    /// When the first event of a stream is to be expected, counted from the request's arrival, if that is after its
    /// objective. Then the fleet has no room: a slot spent on it is missing for a request that could be in time. Only
    /// one that nothing was done for is turned back.
    fn late_first_event(&self, choice: &Choice) -> Option<Millis> {
        let is_new = self.attempts == 0 && self.last_event.is_none();
        let is_stream = matches!(self.request.route.kind, RouteKind::Stream { .. });
        if !is_new || !is_stream || choice.place_in_queue == 0 {
            return None;
        }
        let from_now = self.client.view.workers().expected_first(&self.service, choice)?;
        let expected = self.now().since(self.request.arrived_at) + from_now;
        (expected > self.request.route.objective).then_some(expected)
    }

    /// The refusal for a request that the fleet has no room for.
    fn shed(&self, choice: &Choice, expected: Millis) -> Refusal {
        let (place, slots, objective) = (choice.place_in_queue, choice.slots, self.request.route.objective.0);
        let detail = format!(
            "number {place} to wait for {slots} slots, its first event expected after {} ms of {objective}",
            expected.0
        );
        let drawn: f64 = self.client.view.random().random();
        let share = RETRY_AFTER_SHARE * (1.0 - RETRY_AFTER_SPREAD * drawn);
        let wait = (self.remaining().0 as f64 * share) as u64;
        Refusal::new(ErrorKind::Overloaded, detail).with_ran(Ran::NotRun).with_retry_after(wait)
    }

    fn note_end(&mut self, worker: &WorkerId, end: AttemptEnd) {
        if end == AttemptEnd::Silent {
            self.client.view.retry_budget().withdraw();
        }
        if end.may_have_run() {
            self.ran_on.push(worker.clone());
        }
        self.ledger.note(end);
    }

    fn may_try_again(&self) -> bool {
        self.ledger.may_try_again(self.request.route.kind, self.request.route.max_attempts)
    }

    fn should_try_elsewhere(&self, answer: &OpenAnswer) -> bool {
        answer.status.is_server_error() && self.may_run_again()
    }

    /// How long an attempt's head is waited for: a request that may run again goes elsewhere early,
    /// while its last attempt gets all the time there is.
    fn timeout(&self) -> Duration {
        let route = &self.request.route;
        let remaining = self.remaining();
        let is_last = !self.may_run_again() || self.ledger.ran + 1 >= route.max_attempts;
        let may_move = !is_last && self.client.view.retry_budget().has_token();
        let span = if may_move { self.first_event_timeout().min(remaining) } else { remaining };
        Duration::from_millis(span.0)
    }

    /// How long the first event is waited for before another worker is tried.
    fn first_event_timeout(&self) -> Millis {
        let of_objective = Millis(self.request.route.objective.0 * FIRST_EVENT_TIMEOUT_PERCENT / 100);
        let usual = self.client.view.workers().mean_first_event();
        of_objective.max(MIN_FIRST_EVENT_TIMEOUT).max(Millis(usual.0 * MEAN_MULTIPLE))
    }

    async fn attempt(&mut self, choice: Choice, timeout: Duration) -> Result<OpenAnswer, AttemptEnd> {
        let remaining = self.request.facts.deadline.map(|wait| (self.request.arrived_at + wait).since(self.now()));
        let remaining = remaining.map(|left| left.min(self.remaining()));
        let identity = &self.request.identity;
        let terms = AttemptTerms { worker: &choice.id, remaining, after_event: self.last_event, identity };
        let headers = self.client.dialect.attempt_headers(&self.request.headers, &terms);
        let worker = choice.id.clone();
        self.last_choice = Some(choice.clone());
        self.attempts += 1;
        if self.attempts > 1 {
            self.log_move();
        }
        self.tried.push(worker.clone());
        let in_flight = self.client.place(&choice, &self.service, &self.request.facts.prefix, false);
        let attempt = Attempt {
            choice,
            service: self.service.clone(),
            request_id: self.request.facts.id.clone(),
            method: self.request.method.clone(),
            target: self.request.target.clone(),
            headers,
            body: self.request.body.clone(),
            in_flight,
        };
        let result = self.client.open(attempt, timeout).await;
        if let Err(end) = &result {
            self.log_attempt(&worker, *end);
        }
        result
    }

    /// The refusal for a request that is given up: only one that certainly did not run is promised.
    fn give_up(&self, not_run: ErrorKind, may_have_run: ErrorKind, detail: &str) -> Refusal {
        if self.ledger.certainly_not_run() {
            Refusal::new(not_run, detail).with_ran(Ran::NotRun).with_retry_after(RETRY_AFTER.0)
        } else {
            Refusal::new(may_have_run, detail).with_ran(Ran::Unknown)
        }
    }

    /// Answers with a body that was read whole first.
    async fn whole(self, answer: OpenAnswer) -> Response<AnswerBody> {
        let OpenAnswerParts { answer, body } = match read_whole(answer, self.remaining()).await {
            Ok(parts) => parts,
            Err(Aborted) => {
                self.log_end("broken off");
                return refusal::of_kind(ErrorKind::AnswerIncomplete, "the worker broke off its answer");
            }
        };
        self.log_end(answer.status.as_str());
        let mut response = Response::new(AnswerBody::whole(body));
        *response.status_mut() = answer.status;
        *response.headers_mut() = self.client.dialect.answer_headers(&answer.headers);
        response
    }
}

struct OpenAnswerParts {
    answer: AnswerHead,
    body: Bytes,
}

struct AnswerHead {
    status: hyper::StatusCode,
    headers: HeaderMap,
}

async fn read_whole(mut answer: OpenAnswer, within: Millis) -> Result<OpenAnswerParts, Aborted> {
    let reading = async {
        let mut bytes = Vec::new();
        while let Some(frame) = answer.body.frame().await {
            let frame = frame.map_err(|_| Aborted)?;
            bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
        }
        Ok(Bytes::from(bytes))
    };
    let body = tokio::time::timeout(Duration::from_millis(within.0), reading).await.map_err(|_| Aborted)??;
    let head = AnswerHead { status: answer.status, headers: answer.headers.clone() };
    answer.release();
    Ok(OpenAnswerParts { answer: head, body })
}
