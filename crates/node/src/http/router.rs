//! Dispatch of requests to handlers by method and path.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use rand::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stallmoor_core::error::ErrorKind;

use super::body::AnswerBody;
use super::online::CompletionShape;
use super::{answer, batch, metrics, online, operator, request};
use crate::callers::CallerRegistry;
use crate::events::EventSender;
use crate::settings::CallerLimits;

/// State shared by all handlers.
#[derive(Clone)]
pub struct HttpService {
    /// Event queue of the node.
    pub events: EventSender,
    /// Callers with pending answers.
    pub callers: CallerRegistry,
    /// Limits on the requests of callers.
    pub limits: CallerLimits,
    request_prefix: u32,
    next_request: Arc<AtomicU64>,
}

impl HttpService {
    /// Creates a service that sends its calls to a node.
    pub fn new(events: EventSender, callers: CallerRegistry, limits: CallerLimits) -> Self {
        let request_prefix = Xoshiro256PlusPlus::from_os_rng().next_u32();
        Self { events, callers, limits, request_prefix, next_request: Arc::default() }
    }

    /// Returns a new request ID. Its random prefix distinguishes nodes and restarts.
    pub fn next_request_id(&self) -> Arc<str> {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        Arc::from(format!("request-{:08x}-{number}", self.request_prefix))
    }

    /// Handles one request.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let (parts, body) = request.into_parts();
        let body = match request::read_body(body, self.limits.body_bytes, self.limits.request_timeout).await {
            Ok(body) => body,
            Err(refusal) => return answer::refusal(&refusal),
        };
        let path: Vec<&str> = parts.uri.path().trim_matches('/').split('/').collect();
        let query = parts.uri.query();
        let headers = &parts.headers;
        match (&parts.method, path.as_slice()) {
            (&Method::POST, ["v1", "chat", "completions"]) => {
                online::complete(self, CompletionShape::Chat, headers, &body).await
            }
            (&Method::POST, ["v1", "completions"]) => {
                online::complete(self, CompletionShape::Plain, headers, &body).await
            }
            (&Method::GET, ["v1", "models"]) => operator::models(self).await,
            (&Method::POST, ["v1", "files"]) => batch::upload_file(self, headers, query, &body).await,
            (&Method::GET, ["v1", "files", file, "content"]) => batch::file_content(self, file).await,
            (&Method::POST, ["v1", "batches"]) => batch::create_batch(self, headers, query, &body).await,
            (&Method::GET, ["v1", "batches"]) => batch::list_batches(self, headers, query).await,
            (&Method::GET, ["v1", "batches", job]) => batch::batch_status(self, job).await,
            (&Method::POST, ["v1", "batches", job, "cancel"]) => batch::cancel_batch(self, job).await,
            (&Method::GET, ["v1", "batches", job, "results"]) => batch::batch_results(self, job, query).await,
            (&Method::POST, ["operator", "configuration"]) => operator::apply(self, &body).await,
            (&Method::GET, ["operator", "configuration"]) => operator::configuration(self).await,
            (&Method::GET, ["operator", "status"]) => operator::fleet_status(self).await,
            (&Method::GET, ["operator", "explain", id]) => operator::explain(self, id).await,
            (&Method::GET, ["healthz"]) => answer::text(StatusCode::OK, "text/plain", "ok\n".to_owned()),
            (&Method::GET, ["readyz"]) => operator::ready(self).await,
            (&Method::GET, ["metrics"]) => match operator::node_status(self).await {
                Some(status) => metrics::metrics(&status),
                None => answer::unexpected(),
            },
            (method, _) => answer::refuse(ErrorKind::UnknownPath, format!("{method} {}", parts.uri.path())),
        }
    }
}
