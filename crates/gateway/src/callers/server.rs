//! The listener for callers.
//!
//! Owns the callers' connections. Reads requests, admits them (`stallmoor_core::serving::online::admission`, tenants'
//! rate limits) and dispatches them to [`online`] or to [`JobCalls`].

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use stallmoor_core::error::{ErrorKind, Refusal};
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::serving::configuration::tenant::CallerIdentity;
use stallmoor_core::serving::configuration::{CallerBounds, Route, RouteKind};
use stallmoor_core::serving::online::admission::{
    self, AdmittedRoute, CONFIGURATION_TIMEOUT, RequestAddress, admit_job_call,
};
use stallmoor_core::serving::online::request_state::{allowed_time, stopping};
use stallmoor_core::serving::regions::AllowedRegions;
use stallmoor_core::serving::request::RequestAttributes;
use stallmoor_core::time::Timestamp;
use tokio::net::{TcpListener, TcpStream};

use crate::adapter::dialect::{BadRequest, JobCall};
use crate::batch::job_calls::{JobCalls, JobSubmission, unanswered_call, unanswered_submission};
use crate::http::answer_body::AnswerBody;
use crate::http::refusal;
use crate::leader::rate_limits::RateLimits;
use crate::observe::journal::{Field, record};
use crate::online::{self, OnlineRequest};
use crate::shutdown::{Shutdown, StopOutcome, StopPhase};
use crate::sockets::accept_next;
use crate::workers::attempt::WorkerClient;

/// Added to the idle timeout that callers may rely on, so that no connection is closed while a request is in transit.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Minimum size of the buffer for request headers, required by hyper.
const MIN_HEAD_BUFFER_BYTES: usize = 8_192;

/// HTTP server for callers.
pub struct CallerServer {
    /// Client for requests to workers.
    pub workers: Arc<WorkerClient>,
    /// Handler of requests about batch jobs.
    pub jobs: Arc<JobCalls>,
    /// Rate limits of tenants.
    pub limits: Arc<RateLimits>,
    /// Progress of the shutdown.
    pub shutdown: Arc<Shutdown>,
    /// Cloned into each connection, so that the receiver can wait until all connections are closed.
    pub connection_guard: tokio::sync::mpsc::Sender<()>,
}

impl CallerServer {
    /// Accepts connections until the process ends.
    pub async fn run(self: Arc<Self>, listener: TcpListener) {
        loop {
            let stream = accept_next(&listener).await;
            tokio::spawn(self.clone().serve(stream));
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let _guard = self.connection_guard.clone();
        // Small chunks of an answer are sent without delay. If this fails, the socket is broken, and serving fails too.
        let _ = stream.set_nodelay(true);
        let bounds = self.bounds();
        let idle = Duration::from_millis(bounds.idle_timeout.0) + IDLE_MARGIN;
        let server = self.clone();
        let service = service_fn(move |request| {
            let server = server.clone();
            async move { Ok::<_, Infallible>(server.handle(request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle)
            .max_buf_size(bounds.head_bytes.max(MIN_HEAD_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        tokio::select! {
            // Connection errors need no separate log line: the outcome of each request is logged.
            _ = connection.as_mut() => return,
            () = self.shutdown.reached(StopPhase::Closing) => {}
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }

    fn bounds(&self) -> CallerBounds {
        self.workers.view.configuration().map(|configuration| configuration.bounds).unwrap_or_default()
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let arrived_at = self.workers.view.clock.now();
        let mut response = self.answer(request, arrived_at).await;
        if self.shutdown.phase() >= StopPhase::NotReady {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn answer(&self, request: Request<Incoming>, arrived_at: Timestamp) -> Response<AnswerBody> {
        let open = self.shutdown.open_request();
        let id: Arc<str> = Arc::from(self.workers.dialect.request_id(request.headers()).unwrap_or_default());
        match self.before_end(self.admit(request, arrived_at)).await {
            Ok(Admitted::Call(call, caller)) => {
                let unanswered = unanswered_call(&call);
                let answered = self.answer_before_end(self.jobs.call(call, caller, arrived_at), unanswered).await;
                answered.unwrap_or_else(|refused| self.refuse(&id, &refused, arrived_at))
            }
            Ok(Admitted::Job(job)) => {
                let AdmittedJob { attributes, route, version, identity, regions, body } = &job;
                let (version, route) = (*version, &**route);
                let submission = JobSubmission { attributes, route, version, identity, regions, body };
                let submitting = self.jobs.submit(submission, arrived_at);
                let answered = self.answer_before_end(submitting, unanswered_submission()).await;
                answered.unwrap_or_else(|refused| self.refuse(&id, &refused, arrived_at))
            }
            Ok(Admitted::Online(request)) => match self.before_end(self.admit_online(&request)).await {
                Ok(()) => online::serve(self.workers.clone(), *request, open).await,
                Err(refused) => self.refuse(&id, &refused, arrived_at),
            },
            Err(refused) => self.refuse(&id, &refused, arrived_at),
        }
    }

    /// Waits for an admission until the process is about to end.
    async fn before_end<T>(&self, admission: impl Future<Output = Result<T, Refusal>>) -> Result<T, Refusal> {
        tokio::select! {
            biased;
            admitted = admission => admitted,
            () = self.shutdown.reached(StopPhase::Ending) => Err(stopping()),
        }
    }

    /// Waits for the answer to a call about a batch job. Returns the refusal `unanswered` if the process ends first. A call
    /// that arrives then is not sent.
    async fn answer_before_end(
        &self,
        answer: impl Future<Output = Response<AnswerBody>>,
        unanswered: Refusal,
    ) -> Result<Response<AnswerBody>, Refusal> {
        if self.shutdown.phase() == StopPhase::Ending {
            return Err(stopping());
        }
        tokio::select! {
            biased;
            answer = answer => Ok(answer),
            () = self.shutdown.reached(StopPhase::Ending) => {
                if unanswered.kind != ErrorKind::Stopping {
                    self.shutdown.count(StopOutcome::Answered);
                }
                Err(unanswered)
            }
        }
    }

    /// Checks whether an online request can be served before the process ends and within its tenant's rate limit.
    async fn admit_online(&self, request: &OnlineRequest) -> Result<(), Refusal> {
        let now = self.workers.view.clock.now();
        let ends_at = request.arrived_at + allowed_time(&request.route, &request.attributes);
        if !self.shutdown.may_start(&request.route.name, ends_at.since(now), now) {
            return Err(stopping());
        }
        self.limits.admit(&request.identity).await
    }

    /// Reads a request and checks whether it is admitted.
    async fn admit(&self, request: Request<Incoming>, arrived_at: Timestamp) -> Result<Admitted, Refusal> {
        let timeout = Duration::from_millis(CONFIGURATION_TIMEOUT.0);
        let configuration = self.workers.view.wait_for_configuration(timeout).await;
        let configuration = configuration.ok_or_else(admission::not_configured)?;
        let (parts, body) = request.into_parts();
        let dialect = &self.workers.dialect;
        let key = dialect.api_key(&parts.headers);
        let target = parts.uri.to_string();
        let address = RequestAddress {
            host: request_host(&parts.headers),
            path: parts.uri.path(),
            target: &target,
            key: key.as_ref(),
        };
        if let Some(call) = dialect.job_call(&parts.method, &parts.uri, &parts.headers).map_err(malformed)? {
            return Ok(Admitted::Call(call, admit_job_call(&configuration, address)?));
        }
        let AdmittedRoute { route, identity, regions } = admission::admit(&configuration, address)?;
        let attributes = dialect.request_facts(&parts.headers).map_err(malformed)?;
        let body = read_body(body, configuration.bounds.body_bytes).await?;
        if route.kind == RouteKind::Batch {
            let version = configuration.version;
            return Ok(Admitted::Job(AdmittedJob { attributes, route, version, identity, regions, body }));
        }
        let Parts { method, uri: target, headers, .. } = parts;
        let request = OnlineRequest { method, target, headers, body, attributes, route, identity, regions, arrived_at };
        Ok(Admitted::Online(Box::new(request)))
    }

    /// Logs and answers the refusal of a request that was not started.
    fn refuse(&self, id: &str, refused: &Refusal, arrived_at: Timestamp) -> Response<AnswerBody> {
        let view = &self.workers.view;
        let fields = [
            Field::text("request", id),
            Field::text("kind", refused.kind.code()),
            Field::text("detail", &refused.detail),
            Field::number("age_ms", view.clock.now().since(arrived_at).0),
            Field::number("configuration", view.configuration().map_or(0, |configuration| configuration.version)),
        ];
        record(LogEvent::RequestRefused, &fields);
        if refused.kind == ErrorKind::Stopping {
            self.shutdown.count(StopOutcome::Refused);
        }
        refusal::answer(refused)
    }
}

/// An admitted request, by kind.
enum Admitted {
    Call(JobCall, CallerIdentity),
    Job(AdmittedJob),
    Online(Box<OnlineRequest>),
}

/// An admitted batch job; owns what [`JobSubmission`] borrows.
struct AdmittedJob {
    attributes: RequestAttributes,
    route: Arc<Route>,
    version: u64,
    identity: CallerIdentity,
    regions: AllowedRegions,
    body: Bytes,
}

fn malformed(error: BadRequest) -> Refusal {
    Refusal::new(ErrorKind::MalformedRequest, error.detail)
}

/// Returns the `Host` header without the port.
fn request_host(headers: &HeaderMap) -> &str {
    let host = headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    host.split(':').next().unwrap_or_default()
}

async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Refusal::new(ErrorKind::BodyTooLarge, "the body is over the limit"))
        }
        Err(_) => Err(Refusal::new(ErrorKind::MalformedRequest, "the body broke off")),
    }
}
