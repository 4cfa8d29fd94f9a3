//! HTTP client of the key-value service.
//!
//! `GET /v1/keys/KEY` returns `{"version": N, "value": "..."}` or 404. `PUT /v1/keys/KEY?expected=N` writes
//! the body as value if the stored version is `N` (0: the key must not exist), and returns 412 otherwise.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::Deserialize;
use stallmoor_core::node::{KeyValueOperation, KeyValueOutcome};

use crate::http::HttpCaller;
use crate::{BoxFuture, KeyValueService};

const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// [`KeyValueService`] over HTTP.
pub struct HttpKeyValue {
    base: String,
    caller: HttpCaller,
}

#[derive(Deserialize)]
struct StoredValue {
    version: u64,
    value: Arc<str>,
}

impl HttpKeyValue {
    /// Creates a client of the service at `address`.
    pub fn new(address: std::net::SocketAddr, caller: HttpCaller) -> Self {
        Self { base: format!("http://{address}/v1/keys/"), caller }
    }

    async fn get(&self, key: &str) -> KeyValueOutcome {
        let uri = format!("{}{key}", self.base);
        match self.caller.call(Method::GET, &uri, Bytes::new(), CALL_TIMEOUT).await {
            Ok((StatusCode::OK, body)) => match serde_json::from_slice::<StoredValue>(&body) {
                Ok(stored) => KeyValueOutcome::Value { version: stored.version, value: stored.value },
                Err(_) => KeyValueOutcome::NoAnswer,
            },
            Ok((StatusCode::NOT_FOUND, _)) => KeyValueOutcome::NotFound,
            _ => KeyValueOutcome::NoAnswer,
        }
    }

    async fn compare_and_swap(&self, key: &str, expected: u64, value: String) -> KeyValueOutcome {
        let uri = format!("{}{key}?expected={expected}", self.base);
        match self.caller.call(Method::PUT, &uri, Bytes::from(value), CALL_TIMEOUT).await {
            Ok((StatusCode::OK, _)) => KeyValueOutcome::Written,
            Ok((StatusCode::PRECONDITION_FAILED, _)) => KeyValueOutcome::VersionMismatch,
            _ => KeyValueOutcome::NoAnswer,
        }
    }
}

impl KeyValueService for HttpKeyValue {
    fn call(&self, operation: KeyValueOperation) -> BoxFuture<'_, KeyValueOutcome> {
        Box::pin(async move {
            match operation {
                KeyValueOperation::Get { key } => self.get(&key).await,
                KeyValueOperation::CompareAndSwap { key, expected, value } => {
                    self.compare_and_swap(&key, expected, value).await
                }
            }
        })
    }
}
