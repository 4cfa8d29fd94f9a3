//! One attempt at one worker: from a connection to the head of the answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, StatusCode, Uri};
use stallmoor_core::serving::online::attempt::AttemptEnd;
use stallmoor_core::serving::request::PrefixLink;
use stallmoor_core::serving::workers::{Choice, WorkerId};
use stallmoor_core::time::Timestamp;

use crate::adapter::dialect::{AnswerFacts, Dialect};
use crate::fleet::fleet_view::FleetView;
use crate::workers::connections::{ConnectionPool, NoConnection, SendFailure, WorkerConnection};

/// How long the rest of a refusal may take before its connection is given up.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);
/// A node takes at most one in this many of a worker's connections.
const CONNECTION_SHARE: u32 = 12;
/// A node may have at least this many connections to a worker.
const LEAST_CONNECTIONS: usize = 4;

/// What it takes to talk to workers.
pub struct WorkerClient {
    /// What is known of the fleet.
    pub view: Arc<FleetView>,
    /// The spelling of the wire.
    pub dialect: Arc<dyn Dialect>,
    /// Kept connections.
    pub connections: Arc<ConnectionPool>,
}

/// A request for one worker.
pub struct Attempt {
    /// The worker.
    pub choice: Choice,
    /// The service that the worker belongs to.
    pub service: Arc<str>,
    /// The request's id.
    pub request_id: Arc<str>,
    /// The request's method.
    pub method: Method,
    /// The request's path and query.
    pub target: Uri,
    /// The request's head as it is sent.
    pub headers: HeaderMap,
    /// The request's body.
    pub body: Bytes,
    /// Counts the request as being at the worker.
    pub in_flight: InFlight,
}

/// Counts a request as being at a worker for as long as it lives.
pub struct InFlight {
    view: Arc<FleetView>,
    worker: WorkerId,
    is_batch: bool,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut workers = self.view.workers();
        workers.ended(&self.worker);
        if self.is_batch {
            workers.batch_ended(&self.worker);
        }
    }
}

/// An answer whose head has come. Dropping it stops the worker.
pub struct OpenAnswer {
    /// The status.
    pub status: StatusCode,
    /// The head.
    pub headers: HeaderMap,
    /// What the head says besides the content.
    pub facts: AnswerFacts,
    /// The body.
    pub body: Incoming,
    /// The worker.
    pub worker: WorkerId,
    /// When the request left.
    pub sent_at: Timestamp,
    connection: WorkerConnection,
    _in_flight: InFlight,
}

impl OpenAnswer {
    /// The whole body was read: the connection may be used again.
    pub fn release(mut self) {
        let keep_alive = self.facts.keep_alive.map(|span| Duration::from_millis(span.0));
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
    /// Counts a request as being at the worker that was chosen for it. This must come right after the
    /// choice: of many requests that are placed in one moment, each must see those before it.
    pub fn place(&self, choice: &Choice, service: &str, prefix: &[PrefixLink], is_batch: bool) -> InFlight {
        let memory = self.view.worker_memory(service);
        let now = self.view.clock.now();
        let mut workers = self.view.workers();
        workers.started(&choice.id, prefix, memory, now);
        if is_batch {
            workers.batch_started(&choice.id);
        }
        drop(workers);
        InFlight { view: self.view.clone(), worker: choice.id.clone(), is_batch }
    }

    /// Sends a request and waits up to `timeout` for the head of its answer. What was learned of the
    /// worker is noted.
    ///
    /// # Errors
    ///
    /// [`AttemptEnd`]: how the attempt ended. Nothing of it may be passed on.
    pub async fn open(&self, attempt: Attempt, timeout: Duration) -> Result<OpenAnswer, AttemptEnd> {
        let worker = attempt.choice.id.clone();
        let result = self.try_open(attempt, timeout).await;
        let now = self.view.clock.now();
        match &result {
            Ok(answer) => {
                if let Some(load) = answer.facts.load {
                    self.view.workers().reported(&worker, load, now);
                }
            }
            Err(end) => self.view.workers().attempt_ended(&worker, *end, now),
        }
        result
    }

    async fn try_open(&self, attempt: Attempt, timeout: Duration) -> Result<OpenAnswer, AttemptEnd> {
        let now = self.view.clock.now();
        let most = self.most_connections(&attempt.service);
        let mut connection =
            self.connections.take(attempt.choice.address, most).await.map_err(|error| match error {
                NoConnection::AllInUse => AttemptEnd::NotRun { other_instance: false },
                NoConnection::Unreachable => AttemptEnd::NotConnected,
            })?;
        let mut request = Request::new(Full::new(attempt.body));
        *request.method_mut() = attempt.method;
        *request.uri_mut() = attempt.target;
        *request.headers_mut() = attempt.headers;
        let sent = tokio::time::timeout(timeout, connection.send(request)).await;
        let response = match sent {
            Err(_) => return Err(AttemptEnd::Silent),
            Ok(Err(SendFailure::NotSent)) => return Err(AttemptEnd::NotConnected),
            Ok(Err(SendFailure::MayHaveArrived)) => return Err(AttemptEnd::Broken),
            Ok(Ok(response)) => response,
        };
        let (parts, body) = response.into_parts();
        let facts = self.dialect.answer_facts(parts.status, &parts.headers);
        if facts.request_id.as_ref().is_some_and(|id| *id != attempt.request_id) {
            // The answer to another request came in this one's place.
            return Err(AttemptEnd::Broken);
        }
        if facts.not_run {
            let end = AttemptEnd::NotRun { other_instance: facts.other_instance };
            let keep_alive = facts.keep_alive.map(|span| Duration::from_millis(span.0));
            let rest = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, body.collect()).await;
            if matches!(rest, Ok(Ok(_))) && !wants_close(&parts.headers) {
                connection.keep(keep_alive);
            }
            return Err(end);
        }
        if parts.status.is_success() && (!facts.is_signed || facts.request_id.is_none()) {
            return Err(AttemptEnd::Broken);
        }
        Ok(OpenAnswer {
            status: parts.status,
            headers: parts.headers,
            facts,
            body,
            worker: attempt.choice.id,
            sent_at: now,
            connection,
            _in_flight: attempt.in_flight,
        })
    }

    fn most_connections(&self, service: &str) -> usize {
        let configuration = self.view.configuration();
        let allowed = configuration.and_then(|known| known.services.get(service).map(|found| found.max_connections));
        let share = allowed.unwrap_or(0) / CONNECTION_SHARE;
        (share as usize).max(LEAST_CONNECTIONS)
    }
}
