//! A single attempt to run a request at a worker, from connecting to the head of the answer.
//!
//! Tracks the number of requests at each worker and reports the result of each attempt to the worker table, which
//! decides on the consequences.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response, StatusCode, Uri};
use stallmoor_core::serving::online::answer_limits::AnswerPart;
use stallmoor_core::serving::online::attempt::{AnswerMetadata, AttemptEnd};
use stallmoor_core::serving::online::attribution::{HeadVerdict, WorkerRefusal, judge_head};
use stallmoor_core::serving::online::stream_end::BodyFraming;
use stallmoor_core::serving::request::PrefixBlock;
use stallmoor_core::serving::workers::connection_limit::connection_limit;
use stallmoor_core::serving::workers::continuation::RestartSign;
use stallmoor_core::serving::workers::{Choice, WorkerIncarnation};
use stallmoor_core::time::{Millis, Timestamp};

use crate::adapter::dialect::{AnswerAttributes, Dialect};
use crate::fleet::fleet_view::FleetView;
use crate::http::headers::body_framing;
use crate::streams::StreamOrigins;
use crate::workers::answer_reader::{AnswerBounds, RefusalBody, record_too_large, skip_refusal};
use crate::workers::connections::{ConnectionPool, NoConnection, SendFailure, WorkerConnection, WorkerEndpoint};
use crate::workers::permits::PermitRequests;

/// Maximum time to read the body of a refusal before its connection is closed instead of reused.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Client for sending requests to workers.
pub struct WorkerClient {
    /// This node's view of the fleet.
    pub view: Arc<FleetView>,
    /// The HTTP format of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// Idle connections for reuse.
    pub connections: Arc<ConnectionPool>,
    /// Permits to send requests to workers that have just started.
    pub permits: Arc<PermitRequests>,
    /// The origins of streams.
    pub origins: Arc<StreamOrigins>,
    /// Limits on the answers.
    pub answers: AnswerBounds,
}

/// A request to be sent to one worker.
pub struct Attempt {
    /// The selected worker.
    pub choice: Choice,
    /// The service that the worker belongs to.
    pub service: Arc<str>,
    /// The ID that the worker's answer must repeat.
    pub request_id: Arc<str>,
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub target: Uri,
    /// The headers in the form sent to the worker.
    pub headers: HeaderMap,
    /// The request body.
    pub body: Bytes,
    /// Guard by which the worker's load includes this request.
    pub in_flight: InFlight,
    /// Time after which the request may no longer be sent, because the decision to send it is out of date.
    pub send_until: Option<Timestamp>,
}

/// Guard that counts a request towards a worker's load until it is dropped.
pub struct InFlight {
    view: Arc<FleetView>,
    worker: WorkerIncarnation,
    is_batch: bool,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut workers = self.view.workers();
        workers.record_end(&self.worker);
        if self.is_batch {
            workers.record_batch_end(&self.worker);
        }
    }
}

/// An answer whose head has been received. Dropping it closes the connection, which makes the worker stop the request.
pub struct OpenAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The HTTP headers.
    pub headers: HeaderMap,
    /// Information about the answer and the worker that the adapter extracted from the headers.
    pub attributes: AnswerAttributes,
    /// The body, which is still being received.
    pub body: Incoming,
    /// The incarnation of the worker that answers.
    pub worker: WorkerIncarnation,
    /// When the attempt started, before connecting.
    pub sent_at: Timestamp,
    connection: WorkerConnection,
    _in_flight: InFlight,
}

/// An attempt that ended without a valid answer.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// The worker's refusal, if it refused to run the request.
    pub refusal: Option<WorkerRefusal>,
}

impl From<AttemptEnd> for FailedAttempt {
    fn from(end: AttemptEnd) -> Self {
        Self { end, refusal: None }
    }
}

impl OpenAnswer {
    /// Returns what the head of the answer says about the worker.
    pub fn verdict(&self) -> HeadVerdict {
        let is_own = self.attributes.is_signed || self.attributes.request_id.is_some();
        judge_head(self.status.as_u16(), is_own)
    }

    /// Returns how the end of the body is known.
    pub fn framing(&self) -> BodyFraming {
        body_framing(&self.headers)
    }

    /// Makes the connection available for reuse. Must be called only after the complete body was read.
    pub fn release(mut self) {
        let keep_alive = self.attributes.keep_alive.map(|span| Duration::from_millis(span.0));
        if !wants_close(&self.headers) {
            self.connection.keep(keep_alive);
        }
    }
}

fn wants_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(hyper::header::CONNECTION);
    values.iter().any(|value| value.to_str().is_ok_and(|text| text.to_ascii_lowercase().contains("close")))
}

impl WorkerClient {
    /// Counts a request towards the load of its selected worker. Must be called right after the selection, so that
    /// concurrent selections take it into account.
    pub fn place(&self, choice: &Choice, service: &str, prefix: &[PrefixBlock], is_batch: bool) -> InFlight {
        let cache_tokens = self.view.worker_cache_tokens(service);
        let now = self.view.clock.now();
        let mut workers = self.view.workers();
        let incarnation = choice.incarnation();
        workers.record_start(&incarnation, prefix, cache_tokens, now);
        if is_batch {
            workers.record_batch_start(&incarnation);
        }
        drop(workers);
        InFlight { view: self.view.clone(), worker: incarnation, is_batch }
    }

    /// Sends a request and waits up to `timeout` for the head of its answer. Updates the worker table with the worker's
    /// reported load or the failure.
    ///
    /// # Errors
    ///
    /// [`FailedAttempt`]: why the attempt failed. No part of an answer may be forwarded to the caller.
    pub async fn open(&self, attempt: Attempt, timeout: Duration) -> Result<OpenAnswer, FailedAttempt> {
        let worker = attempt.choice.incarnation();
        let started_at = self.view.clock.now();
        let result = self.try_open(attempt, timeout).await;
        let now = self.view.clock.now();
        match &result {
            Ok(answer) => {
                let mut workers = self.view.workers();
                workers.record_answer(&worker, now);
                if let Some(load) = answer.attributes.load {
                    workers.record_load(&worker, load, now);
                }
                if let Some(cold_remaining) = answer.attributes.cold_remaining {
                    workers.mark_cold(&worker, cold_remaining, now);
                }
            }
            Err(failed) => self.view.workers().record_ended_attempt(&worker, failed.end, started_at, now),
        }
        result
    }

    /// Sends a request, receives the head of the answer and checks that the answer belongs to the request.
    async fn try_open(&self, attempt: Attempt, timeout: Duration) -> Result<OpenAnswer, FailedAttempt> {
        let sent_at = self.view.clock.now();
        let mut connection = self.connect(&attempt).await?;
        // The process may have stood still since the worker was chosen.
        if attempt.send_until.is_some_and(|until| self.view.clock.now() > until) {
            return Err(AttemptEnd::NotRun { other_instance: false }.into());
        }
        let Attempt { choice, request_id, method, target, headers, body, in_flight, .. } = attempt;
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = target;
        *request.headers_mut() = headers;
        let response = send_within(&mut connection, request, timeout).await?;
        let (parts, body) = response.into_parts();
        let attributes = self.dialect.answer_facts(parts.status, &parts.headers);
        match answer_metadata(parts.status, &attributes).check(&request_id) {
            Ok(()) => {}
            Err(end @ AttemptEnd::NotRun { .. }) => {
                if reuse_after_refusal(&mut connection, &attributes, &parts.headers, body).await
                    == RefusalBody::TooLarge
                {
                    record_too_large(&choice.id, &request_id, AnswerPart::Refusal, &self.answers.limits);
                }
                return Err(FailedAttempt { end, refusal: Some(self.refusal_of(&choice, &attributes)) });
            }
            Err(end) => return Err(end.into()),
        }
        Ok(OpenAnswer {
            status: parts.status,
            headers: parts.headers,
            attributes,
            body,
            worker: choice.incarnation(),
            sent_at,
            connection,
            _in_flight: in_flight,
        })
    }

    fn refusal_of(&self, choice: &Choice, attributes: &AnswerAttributes) -> WorkerRefusal {
        WorkerRefusal {
            load: attributes.load,
            slots: choice.slots,
            other_instance: attributes.other_instance,
            is_cold: attributes.cold_remaining.is_some_and(|left| left > Millis(0)),
            is_draining: self.view.workers().record(&choice.id).is_none_or(|record| record.draining),
        }
    }

    /// Returns the maximum number of connections from this node to each worker of a service.
    pub(super) fn max_connections_per_worker(&self, service: &str) -> usize {
        let configuration = self.view.configuration();
        let service = configuration.as_ref().and_then(|configuration| configuration.services.get(service));
        connection_limit(service.map(|service| service.max_connections))
    }

    async fn connect(&self, attempt: &Attempt) -> Result<WorkerConnection, AttemptEnd> {
        let max_connections = self.max_connections_per_worker(&attempt.service);
        self.connections.take(WorkerEndpoint::of(&attempt.choice), max_connections).await.map_err(|error| match error {
            NoConnection::AllInUse => AttemptEnd::NotRun { other_instance: false },
            NoConnection::Refused => {
                let worker = attempt.choice.incarnation();
                self.view.workers().record_restart_sign(&worker, RestartSign::Refused, self.view.clock.now());
                AttemptEnd::NotConnected
            }
            NoConnection::Unreachable => AttemptEnd::NotConnected,
        })
    }
}

async fn send_within(
    connection: &mut WorkerConnection,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<Response<Incoming>, AttemptEnd> {
    match tokio::time::timeout(timeout, connection.send(request)).await {
        Err(_) => Err(AttemptEnd::Silent),
        Ok(Err(SendFailure::NotSent)) => Err(AttemptEnd::NotConnected),
        Ok(Err(SendFailure::MayHaveArrived)) => Err(AttemptEnd::Broken),
        Ok(Err(SendFailure::HeadTooLarge)) => Err(AttemptEnd::TooLarge { part: AnswerPart::Head }),
        Ok(Ok(response)) => Ok(response),
    }
}

fn answer_metadata(status: StatusCode, attributes: &AnswerAttributes) -> AnswerMetadata<'_> {
    AnswerMetadata {
        status: status.as_u16(),
        request_id: attributes.request_id.as_deref(),
        is_signed: attributes.is_signed,
        not_run: attributes.not_run,
        other_instance: attributes.other_instance,
        promises_not_run: attributes.promises_not_run,
    }
}

/// Keeps the connection for reuse after a refusal, if the rest of the answer arrives within [`REFUSAL_BODY_TIMEOUT`].
async fn reuse_after_refusal(
    connection: &mut WorkerConnection,
    attributes: &AnswerAttributes,
    headers: &HeaderMap,
    body: Incoming,
) -> RefusalBody {
    let keep_alive = attributes.keep_alive.map(|span| Duration::from_millis(span.0));
    let skipped = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, skip_refusal(body)).await;
    let end = skipped.unwrap_or(RefusalBody::Broken);
    if end == RefusalBody::Complete && !wants_close(headers) {
        connection.keep(keep_alive);
    }
    end
}
