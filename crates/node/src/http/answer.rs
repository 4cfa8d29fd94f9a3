//! Complete responses and refusals.

use hyper::{Response, StatusCode};
use serde::Serialize;
use serde_json::json;
use stallmoor_core::error::{ErrorKind, Refusal};

use super::body::AnswerBody;

/// Response header that states whether a refused request ran.
pub const RAN_HEADER: &str = "stallmoor-ran";

/// Returns a JSON response.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<AnswerBody> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(AnswerBody::full(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert("content-type", hyper::header::HeaderValue::from_static("application/json"));
    response
}

/// Returns a text response.
pub fn text(status: StatusCode, content_type: &'static str, body: String) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::full(body));
    *response.status_mut() = status;
    response.headers_mut().insert("content-type", hyper::header::HeaderValue::from_static(content_type));
    response
}

/// Returns a refusal as JSON in OpenAI's error format, extended by stallmoor's fields.
pub fn refusal_json(refusal: &Refusal) -> serde_json::Value {
    json!({
        "error": {
            "message": format!("{} {}", refusal.kind.answer().meaning, refusal.detail).trim_end(),
            "type": refusal.kind.code(),
            "code": refusal.kind.code(),
            "ran": refusal.ran.as_str(),
            "retry_after_ms": refusal.retry_after_ms,
        }
    })
}

/// Returns the response for a refusal.
pub fn refusal(refusal: &Refusal) -> Response<AnswerBody> {
    const MILLIS_PER_SECOND: u64 = 1_000;
    let status = StatusCode::from_u16(refusal.kind.answer().status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json(status, &refusal_json(refusal));
    let headers = response.headers_mut();
    headers.insert(RAN_HEADER, hyper::header::HeaderValue::from_static(refusal.ran.as_str()));
    if let Some(millis) = refusal.retry_after_ms {
        // The header is in whole seconds, the body in milliseconds.
        headers.insert("retry-after", millis.div_ceil(MILLIS_PER_SECOND).into());
    }
    response
}

/// Returns the response for a refusal with the given kind and detail.
pub fn refuse(kind: ErrorKind, detail: impl Into<String>) -> Response<AnswerBody> {
    refusal(&Refusal::new(kind, detail))
}

/// Returns the response to send if the node stopped or its answer has an unexpected type.
pub fn unexpected() -> Response<AnswerBody> {
    refuse(ErrorKind::Internal, "the node stopped before it answered")
}
