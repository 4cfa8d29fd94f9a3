//! Parsing of requests: size-limited bodies and typed headers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::HeaderMap;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use stallmoor_core::error::{ErrorKind, Refusal};
use stallmoor_core::time::Millis;

/// Name of the tenant.
pub const TENANT_HEADER: &str = "stallmoor-tenant";
/// Name of the session.
pub const SESSION_HEADER: &str = "stallmoor-session";
/// Idempotency key of the request.
pub const KEY_HEADER: &str = "idempotency-key";
/// Set to `false` for a request that must run at most once.
pub const REPEATABLE_HEADER: &str = "stallmoor-repeatable";
/// Maximum time that the caller waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "stallmoor-deadline-ms";
/// Index of the token from which to resume an interrupted stream.
pub const RESUME_HEADER: &str = "stallmoor-resume-from";
/// Request ID, set on responses.
pub const REQUEST_HEADER: &str = "stallmoor-request-id";

/// Maximum length of a header value.
const MAX_NAME_BYTES: usize = 512;
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// Returns an error if the body is too large, is truncated or does not arrive in time.
pub async fn read_body(body: Incoming, limit: usize, within: Millis) -> Result<Bytes, Refusal> {
    let collect = Limited::new(body, limit).collect();
    match tokio::time::timeout(Duration::from_millis(within.0), collect).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Refusal::new(ErrorKind::BodyTooLarge, format!("the limit is {limit} bytes")))
        }
        Ok(Err(error)) => Err(Refusal::new(ErrorKind::MalformedRequest, format!("the body broke off: {error}"))),
        Err(_) => {
            let detail = format!("the body did not arrive within {} ms", within.0);
            Err(Refusal::new(ErrorKind::MalformedRequest, detail))
        }
    }
}

/// Parses a JSON body.
///
/// # Errors
///
/// Returns an error with line and column if the body does not match the expected type.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| Refusal::new(ErrorKind::MalformedRequest, error.to_string()))
}

/// Parsed headers of a caller's request.
#[derive(Clone, Debug)]
pub struct CallerHeaders {
    /// Name of the tenant.
    pub tenant: Arc<str>,
    /// Name of the session.
    pub session: Option<Arc<str>>,
    /// Idempotency key of the request.
    pub key: Option<Arc<str>>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Maximum time that the caller waits.
    pub deadline: Option<Millis>,
    /// Index of the token from which to resume; 0 for a new request.
    pub resume_from: u32,
}

/// Parses the request headers.
///
/// # Errors
///
/// Returns an error if the tenant is missing or a header value is invalid.
pub fn read_headers(headers: &HeaderMap) -> Result<CallerHeaders, Refusal> {
    let tenant = match name(headers, TENANT_HEADER)? {
        Some(tenant) => tenant,
        None => bearer_tenant(headers)?,
    };
    Ok(CallerHeaders {
        tenant,
        session: name(headers, SESSION_HEADER)?,
        key: name(headers, KEY_HEADER)?,
        repeatable: flag(headers, REPEATABLE_HEADER)?.unwrap_or(true),
        deadline: number(headers, DEADLINE_HEADER, MAX_DEADLINE_MS)?.map(Millis),
        resume_from: number(headers, RESUME_HEADER, u64::from(u32::MAX))?.unwrap_or(0) as u32,
    })
}

/// Reads the tenant from the bearer token, where OpenAI's clients send their API key.
fn bearer_tenant(headers: &HeaderMap) -> Result<Arc<str>, Refusal> {
    let value = name(headers, "authorization")?;
    let tenant = value.as_deref().and_then(|value| value.strip_prefix("Bearer ")).map(Arc::from);
    tenant.ok_or_else(|| {
        let detail =
            format!("a {TENANT_HEADER} header, or an authorization header with the tenant as bearer, is needed");
        Refusal::new(ErrorKind::UnknownTenant, detail)
    })
}

fn name(headers: &HeaderMap, header: &str) -> Result<Option<Arc<str>>, Refusal> {
    let Some(value) = headers.get(header) else { return Ok(None) };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= MAX_NAME_BYTES => Ok(Some(Arc::from(text))),
        _ => Err(invalid(header, "must be from 1 to 512 printable characters")),
    }
}

fn flag(headers: &HeaderMap, header: &str) -> Result<Option<bool>, Refusal> {
    match name(headers, header)?.as_deref() {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => Err(invalid(header, "must be true or false")),
    }
}

fn number(headers: &HeaderMap, header: &str, max: u64) -> Result<Option<u64>, Refusal> {
    let Some(text) = name(headers, header)? else { return Ok(None) };
    match text.parse::<u64>() {
        Ok(number) if number <= max => Ok(Some(number)),
        _ => Err(invalid(header, &format!("must be a whole number up to {max}"))),
    }
}

fn invalid(header: &str, message: &str) -> Refusal {
    Refusal::new(ErrorKind::MalformedRequest, format!("header {header}: {message}"))
}

/// Returns the value of a query parameter.
pub fn query_parameter<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, value)| value)
}
