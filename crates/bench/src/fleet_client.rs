//! A client of a running fleet, for load and for checks under failure.

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

/// How long one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(40);

/// Which fleet is called, and as whom.
#[derive(Clone, Debug)]
pub struct FleetTarget {
    /// The nodes' addresses for callers.
    pub nodes: Vec<SocketAddr>,
    /// Who asks.
    pub tenant: String,
    /// The model that is asked for.
    pub model: String,
}

/// A question to ask.
#[derive(Clone, Debug)]
pub struct Question {
    /// The prompt.
    pub prompt: String,
    /// The session, if any.
    pub session: Option<String>,
    /// The key of a question that must run at most once.
    pub once_key: Option<String>,
    /// Most tokens.
    pub max_tokens: u32,
}

/// What came of a question.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A whole answer.
    Answered(TimedAnswer),
    /// A refusal.
    Refused(RefusalSeen),
    /// The connection broke, or nothing came in time.
    Lost,
}

/// A whole answer, and when its pieces came.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedAnswer {
    /// The text.
    pub text: String,
    /// Tokens.
    pub tokens: u64,
    /// From the sending to the first piece.
    pub first_token: Duration,
    /// Between pieces.
    pub gaps: Vec<Duration>,
}

/// A refusal as the caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct RefusalSeen {
    /// Its code.
    pub code: String,
    /// Whether the request ran.
    pub ran: String,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// A client of one tenant and one model.
#[derive(Clone)]
pub struct FleetClient {
    target: Arc<FleetTarget>,
    caller: HttpCaller,
}

impl FleetClient {
    /// A client of a fleet, without connections yet.
    pub fn new(target: FleetTarget) -> Self {
        Self { target: Arc::new(target), caller: HttpCaller::default() }
    }

    /// The fleet.
    pub fn target(&self) -> &FleetTarget {
        &self.target
    }

    /// A node, drawn at random.
    pub fn draw_node(&self, random: &mut Xoshiro256PlusPlus) -> SocketAddr {
        self.target.nodes[random.random_range(0..self.target.nodes.len())]
    }

    /// Asks a question as a stream.
    pub async fn ask(&self, node: SocketAddr, question: &Question) -> Outcome {
        let asked = tokio::time::timeout(CALL_TIMEOUT, self.try_ask(node, question)).await;
        asked.ok().flatten().unwrap_or(Outcome::Lost)
    }

    async fn try_ask(&self, node: SocketAddr, question: &Question) -> Option<Outcome> {
        let body = json!({
            "model": self.target.model,
            "prompt": question.prompt,
            "max_tokens": question.max_tokens,
            "stream": true,
        });
        let mut headers = vec![("stallmoor-tenant", self.target.tenant.as_str())];
        if let Some(session) = &question.session {
            headers.push(("stallmoor-session", session));
        }
        if let Some(key) = &question.once_key {
            headers.push(("idempotency-key", key));
            headers.push(("stallmoor-repeatable", "false"));
        }
        let request = request(Method::POST, node, "/v1/completions", &headers, body.to_string())?;
        let sent = Instant::now();
        let response = self.caller.send(request).await.ok()?;
        if response.status() != StatusCode::OK {
            let body = response.into_body().collect().await.ok()?.to_bytes();
            return refusal_of(&serde_json::from_slice(&body).ok()?).map(Outcome::Refused);
        }
        read_stream(response, sent).await
    }

    /// Submits JSON Lines as a job. Gives the job's id.
    ///
    /// # Errors
    ///
    /// The refusal, or `None` if the connection broke.
    pub async fn submit(&self, node: SocketAddr, key: &str, lines: String) -> Result<String, Option<RefusalSeen>> {
        let FleetTarget { tenant, model, .. } = &*self.target;
        let headers =
            [("stallmoor-tenant", tenant.as_str()), ("idempotency-key", key), ("content-type", "application/jsonl")];
        let path = format!("/v1/batches?model={model}&max_tokens=64");
        let request = request(Method::POST, node, &path, &headers, lines).ok_or(None)?;
        let (status, value) = self.call(request).await.ok_or(None)?;
        match value["id"].as_str() {
            Some(id) if status == StatusCode::OK => Ok(id.to_owned()),
            _ => Err(refusal_of(&value)),
        }
    }

    /// Reads JSON from a path.
    pub async fn get(&self, node: SocketAddr, path: &str) -> Option<Value> {
        let (status, value) = self.call(request(Method::GET, node, path, &[], String::new())?).await?;
        (status == StatusCode::OK).then_some(value)
    }

    /// All results of a job, in order of item.
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
        let whole = async {
            let response = self.caller.send(request).await.ok()?;
            let status = response.status();
            let body = response.into_body().collect().await.ok()?.to_bytes();
            Some((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
        };
        tokio::time::timeout(CALL_TIMEOUT, whole).await.ok().flatten()
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

/// Reads server-sent events to the end.
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
                return refusal_of(&value).map(Outcome::Refused);
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

fn refusal_of(value: &Value) -> Option<RefusalSeen> {
    let error = value.get("error")?;
    Some(RefusalSeen {
        code: error["code"].as_str()?.to_owned(),
        ran: error["ran"].as_str()?.to_owned(),
        retry_after_ms: error["retry_after_ms"].as_u64(),
    })
}
