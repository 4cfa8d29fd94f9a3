//! Answers to requests that the gateway refuses itself, based on the table in [`ErrorKind`].

use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use hyper::{Response, StatusCode};
use stallmoor_core::error::{ErrorKind, Refusal};

use crate::http::answer_body::AnswerBody;

/// Builds the answer for a refusal, with `Retry-After` in seconds if a retry may succeed.
pub fn answer(refusal: &Refusal) -> Response<AnswerBody> {
    let status = StatusCode::from_u16(refusal.kind.answer().status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = serde_json::json!({
        "error": refusal.kind.code(),
        "ran": refusal.ran.as_str(),
        "detail": refusal.detail,
    });
    let mut response = Response::new(AnswerBody::full(body.to_string()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if status == StatusCode::UNAUTHORIZED {
        response.headers_mut().insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    if let Some(wait) = refusal.retry_after_ms {
        let seconds = format!("{}.{:03}", wait / 1_000, wait % 1_000);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Builds the answer for a refusal with the defaults of its kind.
pub fn from_kind(kind: ErrorKind, detail: &str) -> Response<AnswerBody> {
    answer(&Refusal::new(kind, detail))
}
