//! Online completions, complete or streamed.

use std::sync::Arc;

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Response, StatusCode};
use serde_json::{Value, json};
use stallmoor_core::error::{ErrorKind, Refusal};
use stallmoor_core::node::online::OnlineCall;
use stallmoor_core::node::{CallerAnswer, CallerCall};

use super::answer;
use super::body::{AnswerBody, AnswerStream, RenderAnswer};
use super::prompt::CompletionBody;
use super::request::{REQUEST_HEADER, parse_json, read_headers};
use super::router::HttpService;
use crate::callers::CallInProgress;

/// OpenAI's response formats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionShape {
    /// Format of `/v1/chat/completions`.
    Chat,
    /// Format of `/v1/completions`.
    Plain,
}

/// Handles a chat or plain completion request.
pub async fn complete(
    service: &HttpService,
    shape: CompletionShape,
    headers: &HeaderMap,
    body: &[u8],
) -> Response<AnswerBody> {
    let (call, stream) = match read_call(service, headers, body) {
        Ok(read) => read,
        Err(refusal) => return answer::refusal(&refusal),
    };
    let writer = AnswerWriter { shape, id: call.id.clone(), model: call.model.clone() };
    let call = service.callers.call(&service.events, CallerCall::Online(call)).await;
    let mut response = if stream { writer.stream(call).await } else { writer.full(call).await };
    if let Ok(id) = HeaderValue::from_str(&writer.id) {
        response.headers_mut().insert(REQUEST_HEADER, id);
    }
    response
}

fn read_call(service: &HttpService, headers: &HeaderMap, body: &[u8]) -> Result<(OnlineCall, bool), Refusal> {
    let caller = read_headers(headers)?;
    let completion: CompletionBody = parse_json(body)?;
    let parameters = completion.parameters()?;
    if caller.resume_from > 0 && !caller.repeatable {
        let detail = "a request that is not repeatable can't be resumed";
        return Err(Refusal::new(ErrorKind::MalformedRequest, detail));
    }
    let call = OnlineCall {
        id: service.next_request_id(),
        tenant: caller.tenant,
        model: parameters.model,
        adapter: parameters.adapter,
        session: caller.session,
        key: caller.key,
        repeatable: caller.repeatable,
        deadline: caller.deadline,
        prompt: parameters.prompt,
        max_tokens: parameters.max_tokens,
        from_token: caller.resume_from,
    };
    Ok((call, completion.stream))
}

/// Serializes the answer to one request.
#[derive(Clone)]
struct AnswerWriter {
    shape: CompletionShape,
    id: Arc<str>,
    model: Arc<str>,
}

impl AnswerWriter {
    /// Waits for the final answer and returns the complete response.
    async fn full(&self, mut call: CallInProgress) -> Response<AnswerBody> {
        let mut text = String::new();
        while let Some(next) = call.next().await {
            match next {
                CallerAnswer::Chunk { text: chunk, .. } => text.push_str(&chunk),
                CallerAnswer::End { tokens, engine } => {
                    return answer::json(StatusCode::OK, &self.completion_json(&text, tokens, &engine.0));
                }
                CallerAnswer::Refused(refusal) => return answer::refusal(&refusal),
                _ => break,
            }
        }
        answer::unexpected()
    }

    /// Returns a streaming response. A refusal before the first token is returned as a regular error response.
    async fn stream(&self, mut call: CallInProgress) -> Response<AnswerBody> {
        let first = match call.next().await {
            Some(CallerAnswer::Refused(refusal)) => return answer::refusal(&refusal),
            Some(first) => first,
            None => return answer::unexpected(),
        };
        let writer = self.clone();
        let mut render: RenderAnswer = Box::new(move |answer| writer.event(answer));
        let ended = first.is_final();
        let ready = Some(render(first));
        let stream = AnswerStream { ready, call, render, ended };
        let mut response = Response::new(AnswerBody::Stream(Box::new(stream)));
        let headers = response.headers_mut();
        headers.insert("content-type", HeaderValue::from_static("text/event-stream"));
        headers.insert("cache-control", HeaderValue::from_static("no-store"));
        response
    }

    /// Serializes an answer as server-sent events.
    fn event(&self, answer: CallerAnswer) -> Bytes {
        match answer {
            CallerAnswer::Chunk { first, tokens, text } => {
                Bytes::from(format!("data: {}\n\n", self.chunk_json(first, tokens, &text)))
            }
            CallerAnswer::End { tokens, engine } => {
                let end = self.end_json(tokens, &engine.0);
                Bytes::from(format!("data: {end}\n\ndata: [DONE]\n\n"))
            }
            CallerAnswer::Refused(refusal) => Bytes::from(format!("data: {}\n\n", answer::refusal_json(&refusal))),
            _ => Bytes::new(),
        }
    }

    fn completion_json(&self, text: &str, tokens: u32, engine: &str) -> Value {
        let choice = match self.shape {
            CompletionShape::Chat => {
                json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "stop"})
            }
            CompletionShape::Plain => json!({"index": 0, "text": text, "finish_reason": "stop"}),
        };
        json!({
            "id": &*self.id,
            "object": if self.shape == CompletionShape::Chat { "chat.completion" } else { "text_completion" },
            "model": &*self.model,
            "choices": [choice],
            "usage": {"completion_tokens": tokens},
            "stallmoor": {"engine": engine},
        })
    }

    fn chunk_json(&self, first: u32, tokens: u32, text: &str) -> Value {
        let choice = match self.shape {
            CompletionShape::Chat => json!({"index": 0, "delta": {"content": text}, "finish_reason": null}),
            CompletionShape::Plain => json!({"index": 0, "text": text, "finish_reason": null}),
        };
        json!({
            "id": &*self.id,
            "object": self.chunk_object(),
            "model": &*self.model,
            "choices": [choice],
            "stallmoor": {"offset": first, "tokens": tokens},
        })
    }

    fn end_json(&self, tokens: u32, engine: &str) -> Value {
        let choice = match self.shape {
            CompletionShape::Chat => json!({"index": 0, "delta": {}, "finish_reason": "stop"}),
            CompletionShape::Plain => json!({"index": 0, "text": "", "finish_reason": "stop"}),
        };
        json!({
            "id": &*self.id,
            "object": self.chunk_object(),
            "model": &*self.model,
            "choices": [choice],
            "usage": {"completion_tokens": tokens},
            "stallmoor": {"engine": engine, "length": tokens},
        })
    }

    fn chunk_object(&self) -> &'static str {
        match self.shape {
            CompletionShape::Chat => "chat.completion.chunk",
            CompletionShape::Plain => "text_completion",
        }
    }
}
