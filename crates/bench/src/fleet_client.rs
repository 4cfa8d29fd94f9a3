//! An HTTP client for a running fleet, used for load generation and checks under failure.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use rand::Rng;
use rand_xoshiro::Xoshiro256PlusPlus;
use serde_json::{Value, json};
use stallmoor_clients::HttpCaller;

/// Maximum duration of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(40);

/// The fleet to call, with the tenant and model to use.
#[derive(Clone, Debug)]
pub struct FleetTarget {
    /// Addresses on which the nodes accept callers.
    pub nodes: Vec<SocketAddr>,
    /// Tenant that sends the requests.
    pub tenant: String,
    /// Model to request.
    pub model: String,
}

/// A completion request.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Prompt text.
    pub prompt: String,
    /// Session identifier, if any.
    pub session: Option<String>,
    /// Idempotency key of a request that must run at most once.
    pub idempotency_key: Option<String>,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
}

/// Outcome of a completion request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A complete answer was received.
    Answered(TimedAnswer),
    /// The request was refused.
    Refused(Refusal),
    /// The connection broke or the call timed out.
    Lost,
}

/// A complete answer with the timing of its chunks.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedAnswer {
    /// Concatenated text of all chunks.
    pub text: String,
    /// Number of tokens.
    pub tokens: u64,
    /// Time from sending the request to the first chunk.
    pub first_token: Duration,
    /// Intervals between consecutive chunks.
    pub gaps: Vec<Duration>,
}

/// A refusal as received by the caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Error code.
    pub code: String,
    /// Whether the request ran, as reported by the fleet.
    pub ran: String,
    /// Retry delay in milliseconds, if given.
    pub retry_after_ms: Option<u64>,
}

/// A client for one tenant and one model.
#[derive(Clone)]
pub struct FleetClient {
    target: Arc<FleetTarget>,
    caller: HttpCaller,
}

impl FleetClient {
    /// Creates a client without opening connections.
    pub fn new(target: FleetTarget) -> Self {
        Self { target: Arc::new(target), caller: HttpCaller::default() }
    }

    /// Returns the target fleet.
    pub fn target(&self) -> &FleetTarget {
        &self.target
    }

    /// Returns a random node.
    pub fn random_node(&self, random: &mut Xoshiro256PlusPlus) -> SocketAddr {
        self.target.nodes[random.random_range(0..self.target.nodes.len())]
    }

    /// Sends a completion request and reads the streamed answer.
    pub async fn complete(&self, node: SocketAddr, completion: &CompletionRequest) -> Outcome {
        let result = tokio::time::timeout(CALL_TIMEOUT, self.try_complete(node, completion)).await;
        result.ok().flatten().unwrap_or(Outcome::Lost)
    }

    async fn try_complete(&self, node: SocketAddr, completion: &CompletionRequest) -> Option<Outcome> {
        let body = json!({
            "model": self.target.model,
            "prompt": completion.prompt,
            "max_tokens": completion.max_tokens,
            "stream": true,
        });
        let mut headers = vec![("stallmoor-tenant", self.target.tenant.as_str())];
        if let Some(session) = &completion.session {
            headers.push(("stallmoor-session", session));
        }
        if let Some(key) = &completion.idempotency_key {
            headers.push(("idempotency-key", key));
            headers.push(("stallmoor-repeatable", "false"));
        }
        let request = request(Method::POST, node, "/v1/completions", &headers, body.to_string())?;
        let sent = Instant::now();
        let response = self.caller.send(request).await.ok()?;
        if response.status() != StatusCode::OK {
            let body = response.into_body().collect().await.ok()?.to_bytes();
            return parse_refusal(&serde_json::from_slice(&body).ok()?).map(Outcome::Refused);
        }
        read_stream(response, sent).await
    }

    /// Submits JSON Lines as a batch job and returns the job id.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or `None` if the connection broke.
    pub async fn submit(&self, node: SocketAddr, key: &str, lines: String) -> Result<String, Option<Refusal>> {
        let FleetTarget { tenant, model, .. } = &*self.target;
        let headers =
            [("stallmoor-tenant", tenant.as_str()), ("idempotency-key", key), ("content-type", "application/jsonl")];
        let path = format!("/v1/batches?model={model}&max_tokens=64");
        let request = request(Method::POST, node, &path, &headers, lines).ok_or(None)?;
        let (status, value) = self.call(request).await.ok_or(None)?;
        match value["id"].as_str() {
            Some(id) if status == StatusCode::OK => Ok(id.to_owned()),
            _ => Err(parse_refusal(&value)),
        }
    }

    /// Sends a GET request and returns the JSON body of a successful answer.
    pub async fn get(&self, node: SocketAddr, path: &str) -> Option<Value> {
        let (status, value) = self.call(request(Method::GET, node, path, &[], String::new())?).await?;
        (status == StatusCode::OK).then_some(value)
    }

    /// Returns all results of a job, ordered by item.
    pub async fn results(&self, node: SocketAddr, job: &str) -> Option<Vec<Value>> {
        let mut results = Vec::new();
        let mut first = Some(0);
        while let Some(from) = first {
            let page = self.get(node, &format!("/v1/batches/{job}/results?first={from}")).await?;
            results.extend(page["results"].as_array()?.iter().cloned());
            first = page["next"].as_u64();
        }
        Some(results)
    }

    async fn call(&self, request: Request<Full<Bytes>>) -> Option<(StatusCode, Value)> {
        let exchange = async {
            let response = self.caller.send(request).await.ok()?;
            let status = response.status();
            let body = response.into_body().collect().await.ok()?.to_bytes();
            Some((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
        };
        tokio::time::timeout(CALL_TIMEOUT, exchange).await.ok().flatten()
    }
}

fn request(
    method: Method,
    node: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder().method(method).uri(format!("http://{node}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(Full::new(Bytes::from(body))).ok()
}

/// Reads a stream of server-sent events to completion.
async fn read_stream(response: Response<Incoming>, sent: Instant) -> Option<Outcome> {
    let mut body = response.into_body();
    let mut buffer = String::new();
    let mut answer = TimedAnswer { text: String::new(), tokens: 0, first_token: Duration::ZERO, gaps: Vec::new() };
    let mut last: Option<Instant> = None;
    while let Some(frame) = body.frame().await {
        let data = frame.ok()?.into_data().unwrap_or_default();
        buffer.push_str(std::str::from_utf8(&data).ok()?);
        while let Some(end) = buffer.find("\n\n") {
            let event: String = buffer.drain(..end + 2).collect();
            let payload = event.trim().strip_prefix("data: ")?;
            if payload == "[DONE]" {
                return Some(Outcome::Answered(answer));
            }
            let value: Value = serde_json::from_str(payload).ok()?;
            if value.get("error").is_some() {
                return parse_refusal(&value).map(Outcome::Refused);
            }
            let text = value["choices"][0]["text"].as_str().unwrap_or_default();
            if text.is_empty() {
                continue;
            }
            let now = Instant::now();
            match last {
                None => answer.first_token = now.duration_since(sent),
                Some(before) => answer.gaps.push(now.duration_since(before)),
            }
            last = Some(now);
            answer.text.push_str(text);
            answer.tokens += value["stallmoor"]["tokens"].as_u64().unwrap_or(0);
        }
    }
    None
}

fn parse_refusal(value: &Value) -> Option<Refusal> {
    let error = value.get("error")?;
    Some(Refusal {
        code: error["code"].as_str()?.to_owned(),
        ran: error["ran"].as_str()?.to_owned(),
        retry_after_ms: error["retry_after_ms"].as_u64(),
    })
}
