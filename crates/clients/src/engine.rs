//! HTTP client of the engines.
//!
//! `POST /v1/generate` streams server-sent events: `{"attempt", "first", "tokens", "text"}` for tokens
//! and `{"attempt", "length"}` for the end. An engine that can't accept the request returns 503 with `{"refused"}`;
//! an invalid request returns 400 with `{"rejected"}`. `GET /v1/load` returns load and cache events. Closing the
//! connection cancels the request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use stallmoor_core::identity::AttemptId;
use stallmoor_core::node::control::ModelOrder;
use stallmoor_core::node::routing::{BlockHash, CacheEvent, CacheEventBatch, LoadReport};
use stallmoor_core::node::{EngineOrder, EngineRequest, OrderOutcome, RequestClass, StreamEvent};
use stallmoor_core::serving::online::event_stream::EventSplitter;

use crate::http::{HttpCaller, HttpError};
use crate::{BoxFuture, EnginePoll, Engines, StreamSink};

const POLL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Includes the time to load model weights.
const ORDER_TIMEOUT: Duration = Duration::from_secs(50);
/// Time limit for the response head of a request.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for the body of a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(1_500);
const MAX_EVENT_BYTES: usize = 1 << 20;
const MAX_REFUSAL_BYTES: usize = 64 << 10;

/// [`Engines`] over HTTP.
pub struct HttpEngines {
    caller: HttpCaller,
}

#[derive(Serialize)]
struct GenerateBody<'a> {
    attempt: String,
    class: &'a str,
    priority: u32,
    model: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
    prompt: &'a str,
    max_tokens: u32,
    from_token: u32,
    repeatable: bool,
}

#[derive(Deserialize)]
struct GenerateEvent {
    attempt: String,
    #[serde(default)]
    first: u32,
    #[serde(default)]
    tokens: u32,
    #[serde(default)]
    text: String,
    length: Option<u32>,
}

#[derive(Deserialize)]
struct RefusalBody {
    refused: Option<String>,
    rejected: Option<String>,
}

#[derive(Deserialize)]
struct LoadBody {
    incarnation: u64,
    slots: u32,
    running_online: u32,
    running_batch: u32,
    queued_online: u32,
    queued_batch: u32,
    leaving: bool,
    #[serde(default)]
    loaded: Vec<String>,
    cache: Option<CacheBody>,
}

#[derive(Deserialize)]
struct CacheBody {
    first: u64,
    snapshot: bool,
    events: Vec<CacheEventBody>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum CacheEventBody {
    Stored(u64),
    Removed(u64),
}

impl HttpEngines {
    /// Creates a client that sends its requests through `caller`.
    pub fn new(caller: HttpCaller) -> Self {
        Self { caller }
    }

    async fn generate(&self, request: EngineRequest, sink: &StreamSink) {
        let head = match tokio::time::timeout(RESPONSE_HEAD_TIMEOUT, self.send_generate(&request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(HttpError::NotSent { .. })) => {
                sink(StreamEvent::NotSent);
                return;
            }
            Ok(Err(error)) => {
                sink(StreamEvent::Broken { detail: error.to_string() });
                return;
            }
            Err(_) => {
                sink(StreamEvent::Broken { detail: "the engine did not begin its answer".to_owned() });
                return;
            }
        };
        if head.status() == StatusCode::OK {
            read_events(head, request.attempt, sink).await;
        } else {
            sink(read_refusal(head).await);
        }
    }

    async fn send_generate(&self, request: &EngineRequest) -> Result<Response<Incoming>, HttpError> {
        let body = GenerateBody {
            attempt: request.attempt.to_string(),
            class: match request.class {
                RequestClass::Online => "online",
                RequestClass::Batch => "batch",
            },
            priority: request.priority,
            model: &request.model,
            adapter: request.adapter.as_deref(),
            prompt: &request.prompt,
            max_tokens: request.max_tokens,
            from_token: request.from_token,
            repeatable: request.repeatable,
        };
        let uri = format!("http://{}/v1/generate", request.address);
        let bytes = serde_json::to_vec(&body).unwrap_or_default();
        let http_request = Request::builder()
            .method(Method::POST)
            .uri(&uri)
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(bytes)))
            .map_err(|error| HttpError::Broken { uri: uri.clone(), detail: error.to_string() })?;
        self.caller.send(http_request).await
    }
}

/// Reads server-sent events until the stream ends or the sink returns false.
async fn read_events(response: Response<Incoming>, request_attempt: AttemptId, sink: &StreamSink) {
    let mut body = response.into_body();
    let mut splitter = EventSplitter::new(MAX_EVENT_BYTES);
    let ended = loop {
        let Some(frame) = body.frame().await else { break None };
        let data = match frame {
            Ok(frame) => frame.into_data().unwrap_or_default(),
            Err(error) => break Some(error.to_string()),
        };
        let events = match splitter.push(&data) {
            Ok(events) => events,
            Err(error) => break Some(error.to_string()),
        };
        for event in events {
            let event = parse_event(&event.bytes);
            // The end of another attempt does not end this stream.
            let is_end = match &event {
                StreamEvent::End { attempt, .. } => *attempt == request_attempt,
                StreamEvent::Broken { .. } => true,
                _ => false,
            };
            if !sink(event) || is_end {
                return;
            }
        }
    };
    sink(StreamEvent::Broken { detail: ended.unwrap_or_else(|| "the stream closed without an end".to_owned()) });
}

fn parse_event(bytes: &[u8]) -> StreamEvent {
    let payload = bytes.strip_prefix(b"data: ").unwrap_or(bytes);
    let Ok(event) = serde_json::from_slice::<GenerateEvent>(payload.trim_ascii()) else {
        return StreamEvent::Broken { detail: "an event could not be read".to_owned() };
    };
    // An invalid attempt ID matches no attempt, so the event is handled as belonging to another stream.
    let attempt = AttemptId::parse(&event.attempt).unwrap_or(AttemptId(0));
    match event.length {
        Some(length) => StreamEvent::End { attempt, length },
        None => StreamEvent::Chunk { attempt, first: event.first, tokens: event.tokens, text: event.text },
    }
}

/// Parses an error response. Without an explicit refusal it is unknown whether the request ran.
async fn read_refusal(response: Response<Incoming>) -> StreamEvent {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_REFUSAL_BYTES).collect();
    let body = match tokio::time::timeout(REFUSAL_TIMEOUT, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => return StreamEvent::Broken { detail: error.to_string() },
        Err(_) => return StreamEvent::Broken { detail: "the engine did not end its answer".to_owned() },
    };
    match serde_json::from_slice::<RefusalBody>(&body) {
        Ok(RefusalBody { refused: Some(reason), .. }) => StreamEvent::Refused { leaving: reason == "leaving" },
        Ok(RefusalBody { rejected: Some(detail), .. }) => StreamEvent::Rejected { detail },
        _ => StreamEvent::Broken { detail: format!("the engine answered {status}") },
    }
}

#[derive(Serialize)]
struct OrderBody<'a> {
    epoch: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    load: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    unload: Option<&'a str>,
}

#[derive(Deserialize)]
struct OrderedBody {
    loaded: Vec<String>,
}

impl HttpEngines {
    async fn send_order(&self, order: &EngineOrder) -> OrderOutcome {
        let (load, unload) = match &order.order {
            ModelOrder::Load(model) => (Some(model.as_str()), None),
            ModelOrder::Unload(model) => (None, Some(model.as_str())),
        };
        let body = serde_json::to_vec(&OrderBody { epoch: order.epoch, load, unload }).unwrap_or_default();
        let uri = format!("http://{}/v1/order", order.address);
        match self.caller.call(Method::POST, &uri, Bytes::from(body), ORDER_TIMEOUT).await {
            Ok((StatusCode::OK, body)) => match serde_json::from_slice::<OrderedBody>(&body) {
                Ok(ordered) => OrderOutcome::Done { loaded: ordered.loaded },
                Err(_) => OrderOutcome::NoAnswer,
            },
            Ok((StatusCode::PRECONDITION_FAILED, _)) => OrderOutcome::Fenced,
            _ => OrderOutcome::NoAnswer,
        }
    }
}

impl Engines for HttpEngines {
    fn order(&self, order: EngineOrder) -> BoxFuture<'_, OrderOutcome> {
        Box::pin(async move { self.send_order(&order).await })
    }

    fn stream(&self, request: EngineRequest, sink: StreamSink) -> BoxFuture<'_, ()> {
        Box::pin(async move { self.generate(request, &sink).await })
    }

    fn poll(&self, address: SocketAddr, cache_from: Option<u64>) -> BoxFuture<'_, Option<EnginePoll>> {
        Box::pin(async move {
            let from = cache_from.map_or_else(|| "all".to_owned(), |from| from.to_string());
            let uri = format!("http://{address}/v1/load?cache_from={from}");
            let answer = self.caller.call(Method::GET, &uri, Bytes::new(), POLL_TIMEOUT).await;
            let Ok((StatusCode::OK, body)) = answer else { return None };
            let load: LoadBody = serde_json::from_slice(&body).ok()?;
            Some(poll_from_load(load))
        })
    }
}

fn poll_from_load(load: LoadBody) -> EnginePoll {
    let cache = load.cache.map(|cache| CacheEventBatch {
        first: cache.first,
        is_snapshot: cache.snapshot,
        events: cache
            .events
            .into_iter()
            .map(|event| match event {
                CacheEventBody::Stored(block) => CacheEvent::Stored(BlockHash(block)),
                CacheEventBody::Removed(block) => CacheEvent::Removed(BlockHash(block)),
            })
            .collect(),
    });
    let report = LoadReport {
        incarnation: load.incarnation,
        slots: load.slots,
        running_online: load.running_online,
        running_batch: load.running_batch,
        queued_online: load.queued_online,
        queued_batch: load.queued_batch,
        leaving: load.leaving,
        loaded: load.loaded,
    };
    EnginePoll { report, cache }
}
