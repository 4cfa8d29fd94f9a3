//! Serves online requests, from admission to the last byte of the answer.
//!
//! | module | contents |
//! |---|---|
//! | `buffered` | answers that are read completely before they are passed on |
//! | `stream` | forwarding a stream and resuming it at another worker |
//! | `evidence` | what the request's attempts say about their workers |
//! | `records` | the log lines and metrics of a request |
//! | `stopping` | what a graceful shutdown means for a request |
//!
//! This module only performs the I/O: [`RequestState`] and the worker table decide each step, and the result of it is
//! reported back to them. Attempts are made through `workers`; the state of the fleet comes from `fleet`.

mod buffered;
mod evidence;
mod records;
mod stopping;
mod stream;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Response, Uri};
use stallmoor_core::error::{ErrorKind, Refusal};
use stallmoor_core::serving::configuration::Route;
use stallmoor_core::serving::configuration::tenant::CallerIdentity;
use stallmoor_core::serving::crashes::{RequestContent, RequestKeys};
use stallmoor_core::serving::online::attempt::AttemptEnd;
use stallmoor_core::serving::online::request_state::{RefusalReason, RequestState};
use stallmoor_core::serving::regions::AllowedRegions;
use stallmoor_core::serving::request::RequestAttributes;
use stallmoor_core::serving::stream_origins::{Resumption, StreamKey, StreamOrigin};
use stallmoor_core::serving::workers::cold_start::MAX_PERMIT_WAIT;
use stallmoor_core::serving::workers::{Choice, WorkerIncarnation, WorkerQuery};
use stallmoor_core::time::{Millis, Timestamp};
use tokio::task::JoinHandle;

use self::buffered::Answer;
use crate::adapter::dialect::AttemptContext;
use crate::http::answer_body::AnswerBody;
use crate::http::refusal;
use crate::shutdown::{OpenRequest, StopPhase};
use crate::workers::attempt::{Attempt, OpenAnswer, WorkerClient};
use crate::workers::crash_check::{RunWatch, WorkerRun};

/// An admitted request.
pub struct OnlineRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Headers as received from the caller.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Properties parsed from the headers.
    pub attributes: RequestAttributes,
    /// Route that the request matched.
    pub route: Arc<Route>,
    /// Authenticated identity of the caller.
    pub identity: CallerIdentity,
    /// Regions in which the request may run.
    pub regions: AllowedRegions,
    /// Time at which the headers were read.
    pub arrived_at: Timestamp,
}

/// A request in progress. Carries out the steps that its [`RequestState`] decides on.
struct ActiveRequest {
    client: Arc<WorkerClient>,
    request: OnlineRequest,
    keys: RequestKeys,
    service: Arc<str>,
    state: RequestState,
    /// The most recently chosen worker, for the log.
    last_choice: Option<Choice>,
    /// Time from the request's arrival to its first event.
    first_event_after: Option<Millis>,
    /// The current run at a worker.
    run: Option<RunWatch>,
    /// Pending crash check of the worker whose attempt was interrupted last.
    crash_check: Option<JoinHandle<()>>,
    open: OpenRequest,
    /// When the request was complete.
    started_at: Timestamp,
}

/// Serves a request and returns its response, whose body may still be streaming.
pub async fn serve(client: Arc<WorkerClient>, request: OnlineRequest, open: OpenRequest) -> Response<AnswerBody> {
    let drawn = request.route.select_service(&mut *client.view.random()).cloned();
    let Some(service) = drawn else {
        return refusal::from_kind(ErrorKind::NoEngine, "the route leads to no service");
    };
    client.view.retry_budget().deposit();
    let state = RequestState::new(request.route.clone(), &request.attributes, request.arrived_at);
    let keys = request_keys(&request);
    let started_at = client.view.clock.now();
    let mut active = ActiveRequest {
        client,
        request,
        keys,
        service,
        state,
        last_choice: None,
        first_event_after: None,
        run: None,
        crash_check: None,
        open,
        started_at,
    };
    let shutdown = active.open.shutdown.clone();
    let served = tokio::select! {
        biased;
        served = active.run() => served,
        () = shutdown.reached(StopPhase::Ending) => Err(active.state.refusal(RefusalReason::Stopping)),
    };
    match served {
        Ok(Answer::Complete(response)) => response,
        Ok(Answer::Stream(answer)) => active.respond_streaming(*answer),
        Err(refused) => active.refuse(&refused),
    }
}

impl ActiveRequest {
    fn now(&self) -> Timestamp {
        self.client.view.clock.now()
    }

    /// Runs the request until its answer is complete or a stream begins.
    async fn run(&mut self) -> Result<Answer, Refusal> {
        self.find_origin().await?;
        let answer = self.open().await?;
        self.read_answer(answer).await
    }

    /// Determines the origin of a stream that the caller resumes. Only workers of this origin may serve the request.
    async fn find_origin(&mut self) -> Result<(), Refusal> {
        if !self.state.resumes_stream() {
            return Ok(());
        }
        let (key, lifetime) = (self.resumed_stream(), self.state.stream_lifetime());
        let origins = self.client.origins.clone();
        let resolved = origins.resolve(key, &self.service, lifetime, self.state.remaining(self.now())).await;
        self.log_resumption(&resolved);
        match resolved.resumption {
            Resumption::At(origin) if self.request.route.leads_to(&origin.service) => {
                self.service = origin.service.clone();
                self.state.origin = Some(origin);
                Ok(())
            }
            Resumption::At(_) => Err(self.state.refusal(RefusalReason::OriginGone)),
            Resumption::Refused(why) => Err(self.state.refusal(RefusalReason::UnknownOrigin(why))),
        }
    }

    /// Returns the key of the stream that the caller resumes; `None` if the caller does not name it.
    fn resumed_stream(&self) -> Option<StreamKey> {
        let first_attempt = self.request.attributes.first_attempt.as_deref()?;
        Some(StreamKey::of(&self.request.identity, first_attempt))
    }

    /// Records the worker that sends the stream's first event as its origin.
    async fn record_origin(&mut self) {
        if self.state.origin.is_some() || !self.state.is_retryable() {
            return;
        }
        let Some(choice) = &self.last_choice else { return };
        let origin = StreamOrigin { service: self.service.clone(), version: choice.version.clone() };
        let key = StreamKey::of(&self.request.identity, &self.request.attributes.id);
        let worker = choice.id.clone();
        let sharing = self.client.origins.record(key, &origin, self.state.stream_lifetime(), &worker).await;
        self.log_stream_start(&origin, sharing);
        self.state.origin = Some(origin);
    }

    /// Returns whether it is not known which version began the stream, because its worker came back with another one.
    fn is_origin_contradicted(&self) -> bool {
        let own = || StreamKey::of(&self.request.identity, &self.request.attributes.id);
        let key = if self.state.resumes_stream() { self.resumed_stream() } else { Some(own()) };
        key.is_some_and(|key| self.client.origins.is_conflicting(key))
    }

    /// Returns whether only workers of the stream's origin may serve the request, and none of them is left.
    fn is_origin_gone(&self) -> bool {
        let has_eligible = || self.client.view.workers().has_eligible(&self.worker_query(), self.now());
        self.state.origin.is_some() && !has_eligible()
    }

    /// Tries workers until one starts to answer.
    async fn open(&mut self) -> Result<OpenAnswer, Refusal> {
        loop {
            self.check_quarantine().await?;
            self.state.check_time(self.now())?;
            self.check_stop()?;
            let choice = self.choose_or_wait().await.ok_or_else(|| self.refusal_without_worker())?;
            if let Some(refused) = self.shed(&choice) {
                return Err(refused);
            }
            match self.attempt(choice).await {
                Ok(answer) => {
                    self.record_head(&answer);
                    let Some(end) = self.state.server_failure(answer.status.as_u16()) else { return Ok(answer) };
                    self.end_attempt(&answer.worker, end, answer.sent_at);
                    if !self.state.may_retry() {
                        return Ok(answer);
                    }
                }
                Err(end) if !self.state.may_retry() => return Err(self.state.refusal(RefusalReason::LastAttempt(end))),
                Err(_) => {}
            }
        }
    }

    fn refusal_without_worker(&self) -> Refusal {
        let reason = if self.is_origin_gone() { RefusalReason::OriginGone } else { RefusalReason::NoWorker };
        self.state.refusal(reason)
    }

    /// Refuses a quarantined request, that is, one that has crashed too many workers. If one more crash would
    /// quarantine it, waits for the pending crash check first.
    async fn check_quarantine(&mut self) -> Result<(), Refusal> {
        let view = self.client.view.clone();
        if self.crash_check.is_none() && view.has_no_crashes() {
            return Ok(());
        }
        if let Some(check) = self.crash_check.take().filter(|_| view.is_near_quarantine(&self.keys)) {
            // A check that panicked counts as no crash.
            let _ = check.await;
        }
        let remaining = view.admit_after_crashes(&self.keys);
        self.state.check_quarantine(remaining)
    }

    /// Chooses a worker. If all candidates are cold, waits briefly until a request may be sent to one of them.
    async fn choose_or_wait(&self) -> Option<Choice> {
        let chosen = self.choose();
        let now = self.now();
        if chosen.is_some() || !self.client.view.workers().needs_permit(&self.worker_query(), now) {
            return chosen;
        }
        if self.client.permits.has_no_leader() {
            let next_share = self.client.view.workers().next_share_in(&self.worker_query(), now);
            let wait = next_share.filter(|wait| *wait <= MAX_PERMIT_WAIT)?;
            tokio::time::sleep(Duration::from_millis(wait.0)).await;
        } else {
            self.client.permits.wait_for_answer().await;
        }
        self.choose()
    }

    fn choose(&self) -> Option<Choice> {
        let view = &self.client.view;
        let query = self.worker_query();
        let now = self.now();
        let mut random = view.random();
        let workers = view.workers();
        if workers.has_cold_workers(now) {
            self.client.permits.request(workers.wanted_permits(&query, now, &mut *random));
        }
        workers.choose(&query, now, &mut *random)
    }

    fn worker_query(&self) -> WorkerQuery<'_> {
        WorkerQuery {
            service: &self.service,
            zone: &self.client.view.zone,
            prefix: &self.request.attributes.prefix,
            prompt_tokens: self.request.attributes.prompt_tokens,
            body_bytes: self.request.body.len(),
            tried: self.state.tried(),
            regions: &self.request.regions,
            may_run_again: self.state.is_retryable(),
            version: self.state.origin.as_ref().map(|origin| &origin.version),
        }
    }

    fn shed(&self, choice: &Choice) -> Option<Refusal> {
        if !self.state.may_be_shed(choice) {
            return None;
        }
        let view = &self.client.view;
        let expected_first = view.workers().expected_time_to_first_event(&self.service, choice)?;
        self.state.shed(choice, expected_first, self.now(), &mut *view.random())
    }

    /// Sends the request to a worker and waits for the response headers.
    async fn attempt(&mut self, choice: Choice) -> Result<OpenAnswer, AttemptEnd> {
        let worker = choice.id.clone();
        self.state.set_candidate_count(choice.candidates);
        let timeout = self.head_timeout();
        self.last_choice = Some(choice.clone());
        self.watch_run(choice.clone());
        self.state.record_attempt_start(&worker);
        self.start_evidence(&worker);
        if self.state.attempts() > 1 {
            self.log_move();
        }
        let incarnation = choice.incarnation();
        let client = self.client.clone();
        let opening = client.open(self.new_attempt(choice), timeout);
        let silence_after = self.silence_after(self.now());
        let result = self.watch_silence(&incarnation, silence_after, opening).await;
        result.map_err(|failed| {
            if failed.end == AttemptEnd::Silent && timeout >= silence_after {
                self.record_silence(&incarnation);
            }
            self.record_failed_attempt(&incarnation, &failed);
            self.log_attempt(&worker, failed.end);
            self.state.record_attempt_end(&worker, failed.end, &mut self.client.view.retry_budget());
            self.run_ended(failed.end);
            failed.end
        })
    }

    fn new_attempt(&self, choice: Choice) -> Attempt {
        let request = &self.request;
        let context = AttemptContext {
            worker: &choice.id,
            remaining: self.state.worker_deadline(self.now()),
            after_event: self.state.progress.last_event,
            identity: &request.identity,
        };
        let headers = self.client.dialect.attempt_headers(&request.headers, &context);
        let in_flight = self.client.place(&choice, &self.service, &request.attributes.prefix, false);
        Attempt {
            choice,
            service: self.service.clone(),
            request_id: request.attributes.id.clone(),
            method: request.method.clone(),
            target: request.target.clone(),
            headers,
            body: request.body.clone(),
            in_flight,
            send_until: None,
        }
    }

    /// Records the failure of an attempt, started at `sent_at`, whose worker had already started to answer.
    fn end_attempt(&mut self, worker: &WorkerIncarnation, end: AttemptEnd, sent_at: Timestamp) {
        self.record_attempt_evidence(worker, end);
        self.client.view.workers().record_ended_attempt(worker, end, sent_at, self.now());
        self.log_attempt(&worker.id, end);
        self.state.record_attempt_end(&worker.id, end, &mut self.client.view.retry_budget());
        self.run_ended(end);
    }

    fn watch_run(&mut self, choice: Choice) {
        let run = WorkerRun {
            choice,
            service: self.service.clone(),
            request_id: self.request.attributes.id.clone(),
            is_item: false,
            keys: self.keys.clone(),
            started_after: self.state.progress.last_event.unwrap_or(0),
            progress: self.state.progress.last_event.unwrap_or(0),
        };
        self.run = Some(RunWatch::new(self.client.clone(), run));
    }

    /// Ends the current run without a complete answer, and starts a crash check if the worker may have crashed.
    fn run_ended(&mut self, end: AttemptEnd) {
        let Some(run) = self.run.take() else { return };
        match end {
            AttemptEnd::Broken | AttemptEnd::Silent | AttemptEnd::TooLarge { .. } | AttemptEnd::NoMemory => {
                self.crash_check = run.interrupted();
            }
            AttemptEnd::NotConnected | AttemptEnd::NotRun { .. } | AttemptEnd::Failed { .. } => run.finish(),
        }
    }

    /// Ends the current run after a complete answer, which shows that this request did not cause earlier worker
    /// crashes.
    fn run_completed(&mut self) {
        if let Some(run) = self.run.take() {
            run.finish();
        }
        self.record_answer_time();
        self.client.view.record_survival(&self.request.attributes.id, &self.keys);
        self.client.view.record_completion(&self.request.attributes.id, &self.keys);
    }

    fn head_timeout(&self) -> Duration {
        let view = &self.client.view;
        let mean_first = view.workers().mean_time_to_first_event();
        let timeout = self.state.head_timeout(&view.retry_budget(), mean_first, self.now());
        Duration::from_millis(timeout.0)
    }
}

fn request_keys(request: &OnlineRequest) -> RequestKeys {
    RequestKeys::of(&RequestContent {
        identity: &request.identity,
        method: request.method.as_str(),
        target: request.target.path_and_query().map_or("", |target| target.as_str()),
        attributes: &request.attributes,
        body: &request.body,
    })
}
