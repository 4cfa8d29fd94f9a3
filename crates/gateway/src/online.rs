//! A request from its admission to the last byte of its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::{CONTENT_LENGTH, HeaderMap};
use hyper::{Method, Response, Uri};
use stallmoor_core::error::{ErrorKind, Ran, Refusal};
use stallmoor_core::gateway::attempt::{AttemptEnd, AttemptLedger};
use stallmoor_core::gateway::configuration::{Route, RouteKind};
use stallmoor_core::gateway::event_stream::{EventSplitter, WholeEvent};
use stallmoor_core::gateway::request::RequestFacts;
use stallmoor_core::gateway::workers::{Choice, WorkerAsk, WorkerId};
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::time::{Millis, Timestamp};

use crate::answer_body::{Aborted, AnswerBody, PieceSender};
use crate::attempt::{Attempt, OpenAnswer, WorkerClient};
use crate::dialect::AttemptTerms;
use crate::journal::{Field, record};
use crate::measures;
use crate::refusal;

/// The share of the objective for which a first attempt is waited for before another worker is tried.
const FIRST_PATIENCE_PERCENT: u64 = 50;
/// An attempt is waited for at least this many times the usual time to the first event.
const USUAL_TIMES: u64 = 4;
/// Least time for which an attempt is waited for.
const LEAST_PATIENCE: Millis = Millis(60);
/// The share of the longest pause that is in time after which another worker goes on.
const GAP_PATIENCE_PERCENT: u64 = 60;
/// When a caller that found no room should come back.
const COME_BACK: Millis = Millis(150);
/// The wait before a begun stream is offered once more to workers that all had no room; doubles with each
/// round.
const FIRST_RESUME_WAIT: Millis = Millis(20);
/// Longest wait between two such rounds.
const LONGEST_RESUME_WAIT: Millis = Millis(160);
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
    client.view.moves().earn();
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
            let patience = self.patience();
            let worker = choice.id.clone();
            match self.attempt(choice, patience).await {
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

    fn note_end(&mut self, worker: &WorkerId, end: AttemptEnd) {
        if end == AttemptEnd::Silent {
            self.client.view.moves().spend();
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
    fn patience(&self) -> Duration {
        let route = &self.request.route;
        let remaining = self.remaining();
        let is_last = !self.may_run_again() || self.ledger.ran + 1 >= route.max_attempts;
        let may_move = !is_last && self.client.view.moves().has_one();
        let span = if may_move { self.first_patience().min(remaining) } else { remaining };
        Duration::from_millis(span.0)
    }

    /// How long the first event is waited for before another worker is tried.
    fn first_patience(&self) -> Millis {
        let of_objective = Millis(self.request.route.objective.0 * FIRST_PATIENCE_PERCENT / 100);
        let usual = self.client.view.workers().typical_first_event();
        of_objective.max(LEAST_PATIENCE).max(Millis(usual.0 * USUAL_TIMES))
    }

    async fn attempt(&mut self, choice: Choice, patience: Duration) -> Result<OpenAnswer, AttemptEnd> {
        let remaining = self.request.facts.deadline.map(|wait| (self.request.arrived_at + wait).since(self.now()));
        let remaining = remaining.map(|left| left.min(self.remaining()));
        let terms = AttemptTerms { worker: &choice.id, remaining, after_event: self.last_event };
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
        let result = self.client.open(attempt, patience).await;
        if let Err(end) = &result {
            self.log_attempt(&worker, *end);
        }
        result
    }

    /// The refusal for a request that is given up: only one that certainly did not run is promised.
    fn give_up(&self, not_run: ErrorKind, may_have_run: ErrorKind, detail: &str) -> Refusal {
        if self.ledger.certainly_not_run() {
            Refusal::new(not_run, detail).with_ran(Ran::NotRun).with_retry_after(COME_BACK.0)
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
        *response.headers_mut() = self.client.dialect.answer_headers(answer.status, &answer.headers);
        response
    }

    /// Answers with a stream that is passed on as it comes.
    fn stream(mut self, answer: OpenAnswer) -> Response<AnswerBody> {
        let (sender, body) = AnswerBody::pieces();
        let mut response = Response::new(body);
        *response.status_mut() = answer.status;
        *response.headers_mut() = self.client.dialect.answer_headers(answer.status, &answer.headers);
        response.headers_mut().remove(CONTENT_LENGTH);
        tokio::spawn(async move { self.pass_on(answer, &sender).await });
        response
    }

    async fn pass_on(&mut self, answer: OpenAnswer, sender: &PieceSender) {
        let mut current = answer;
        let mut how = "broken off";
        loop {
            let worker = current.worker.clone();
            match self.pass_on_from(current, sender).await {
                StreamEnd::Whole => return self.log_end("whole"),
                StreamEnd::CallerGone => return self.log_end("caller gone"),
                StreamEnd::OutOfTime => {
                    how = "out of time";
                    break;
                }
                StreamEnd::Broken(end) => {
                    let now = self.now();
                    self.client.view.workers().failed(&worker, true, now);
                    self.log_attempt(&worker, end);
                    self.note_end(&worker, end);
                }
            }
            if !self.may_run_again() || !self.may_try_again() {
                break;
            }
            let resumed = tokio::select! {
                resumed = self.resume() => resumed,
                () = sender.closed() => return self.log_end("caller gone"),
            };
            match resumed {
                Some(answer) => current = answer,
                None => break,
            }
        }
        self.log_end(how);
        // A caller that is gone does not need to hear of it.
        let _ = sender.send(Err(Aborted)).await;
    }

    /// Offers a begun stream to workers until one goes on with it. A stream that the caller has begun to
    /// read can't be refused any more, so workers without room are asked again while there is time.
    async fn resume(&mut self) -> Option<OpenAnswer> {
        let mut wait = FIRST_RESUME_WAIT;
        loop {
            if let Ok(answer) = self.open().await {
                return answer.status.is_success().then_some(answer);
            }
            let may_run = self.ledger.may_run(self.request.route.kind, self.request.route.max_attempts);
            if !may_run || self.remaining() < wait + LEAST_REMAINING {
                return None;
            }
            tokio::time::sleep(Duration::from_millis(wait.0)).await;
            wait = Millis((wait.0 * 2).min(LONGEST_RESUME_WAIT.0));
            self.ledger.begin_round();
            self.tried.clone_from(&self.ran_on);
        }
    }

    /// Passes on whole events until the stream ends, breaks, pauses for too long, or the caller leaves.
    async fn pass_on_from(&mut self, mut answer: OpenAnswer, sender: &PieceSender) -> StreamEnd {
        let mut splitter = EventSplitter::default();
        let mut first = true;
        loop {
            let patience = self.event_patience(first, answer.sent_at);
            let frame = tokio::select! {
                frame = tokio::time::timeout(patience, answer.body.frame()) => frame,
                () = sender.closed() => return StreamEnd::CallerGone,
            };
            let data = match frame {
                Err(_) if self.remaining() == Millis(0) => return StreamEnd::OutOfTime,
                Err(_) => return StreamEnd::Broken(AttemptEnd::Silent),
                Ok(Some(Err(_))) => return StreamEnd::Broken(AttemptEnd::Broken),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) => return self.finish_stream(answer, &splitter, sender).await,
            };
            let events = splitter.push(&data);
            if events.is_empty() {
                continue;
            }
            if first {
                first = false;
                self.first_event_after.get_or_insert(self.now().since(self.request.arrived_at));
                self.note_first_event(&answer);
            }
            match self.pass_on_events(events, sender).await {
                Ok(()) => {}
                Err(end) => return end,
            }
        }
    }

    async fn pass_on_events(&mut self, events: Vec<WholeEvent>, sender: &PieceSender) -> Result<(), StreamEnd> {
        let mut piece = Vec::new();
        for event in events {
            if let (Some(id), Some(last)) = (event.id, self.last_event) {
                if id <= last && self.may_run_again() {
                    continue;
                }
                if id > last + 1 && self.may_run_again() {
                    return Err(StreamEnd::Broken(AttemptEnd::Broken));
                }
            }
            self.last_event = event.id.or(self.last_event);
            self.events += 1;
            piece.extend_from_slice(&event.bytes);
        }
        if piece.is_empty() {
            return Ok(());
        }
        let left = Duration::from_millis(self.remaining().0);
        match tokio::time::timeout(left, sender.send(Ok(Bytes::from(piece)))).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(StreamEnd::CallerGone),
            Err(_) => Err(StreamEnd::OutOfTime),
        }
    }

    async fn finish_stream(&mut self, answer: OpenAnswer, splitter: &EventSplitter, sender: &PieceSender) -> StreamEnd {
        if !splitter.pending().is_empty() {
            return StreamEnd::Broken(AttemptEnd::Broken);
        }
        answer.release();
        let _ = sender;
        StreamEnd::Whole
    }

    fn note_first_event(&self, answer: &OpenAnswer) {
        let now = self.now();
        self.client.view.workers().succeeded(&answer.worker, now.since(answer.sent_at), now);
    }

    /// How long the next event is waited for.
    fn event_patience(&self, first: bool, sent_at: Timestamp) -> Duration {
        let remaining = self.remaining();
        let route = &self.request.route;
        let can_move =
            self.may_run_again() && self.ledger.ran + 1 < route.max_attempts && self.client.view.moves().has_one();
        let gap = route.gap_target.filter(|_| can_move);
        let Some(gap) = gap else { return Duration::from_millis(remaining.0) };
        let target = if first && self.events == 0 {
            let allowed = self.first_patience();
            Millis(allowed.0.saturating_sub(self.now().since(sent_at).0)).max(Millis(20))
        } else {
            Millis(gap.0 * GAP_PATIENCE_PERCENT / 100)
        };
        Duration::from_millis(target.min(remaining).0)
    }

    fn log_attempt(&self, worker: &WorkerId, end: AttemptEnd) {
        let fields = [
            Field::text("request", &self.request.facts.id),
            Field::text("worker", worker),
            Field::text("end", format!("{end:?}")),
            Field::number("events", self.events),
            Field::number("age_ms", self.now().since(self.request.arrived_at).0),
        ];
        record(LogEvent::AttemptEnded, &fields);
        measures::attempt_failed(end.name());
    }

    /// What decided the choice of the worker: its load and cache as believed here.
    fn choice_fields(&self) -> Vec<Field> {
        let Some(choice) = &self.last_choice else { return Vec::new() };
        vec![
            Field::text("worker", &choice.id),
            Field::number("load", choice.load),
            Field::number("held_tokens", choice.held_tokens),
            Field::number("candidates", choice.candidates as u64),
        ]
    }

    fn log_move(&self) {
        let mut fields = vec![
            Field::text("request", &self.request.facts.id),
            Field::number("after_event", self.last_event.unwrap_or(0)),
            Field::number("attempt", self.attempts),
            Field::number("age_ms", self.now().since(self.request.arrived_at).0),
        ];
        fields.extend(self.choice_fields());
        record(LogEvent::RequestMoved, &fields);
    }

    fn log_refusal(&self, refused: &Refusal) {
        let fields = [
            Field::text("request", &self.request.facts.id),
            Field::text("route", &self.request.route.name),
            Field::text("kind", refused.kind.code()),
            Field::text("detail", &refused.detail),
            Field::number("age_ms", self.now().since(self.request.arrived_at).0),
            Field::number("ready_workers", self.client.view.workers().ready_count(&self.service, self.now()) as u64),
            Field::number("configuration", self.client.view.configuration().map_or(0, |known| known.version)),
        ];
        record(LogEvent::RequestRefused, &fields);
        self.measure_end(refused.kind.code());
    }

    fn log_end(&self, how: &str) {
        let mut fields = vec![
            Field::text("request", &self.request.facts.id),
            Field::text("route", &self.request.route.name),
            Field::text("end", how),
            Field::number("events", self.events),
            Field::number("attempts", self.attempts),
            Field::number("age_ms", self.now().since(self.request.arrived_at).0),
        ];
        fields.extend(self.first_event_after.map(|after| Field::number("first_event_ms", after.0)));
        fields.extend(self.choice_fields());
        record(LogEvent::RequestEnded, &fields);
        self.measure_end(how);
    }

    fn measure_end(&self, how: &str) {
        let took = self.now().since(self.request.arrived_at);
        measures::request_ended(&self.request.route.name, how, self.first_event_after, took);
    }
}

/// How a stream from one worker ended.
enum StreamEnd {
    Whole,
    CallerGone,
    OutOfTime,
    Broken(AttemptEnd),
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
