//! HTTP client for a node.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use serde_json::Value;
use stallmoor_clients::{HttpCaller, MAX_RESPONSE_BYTES};
use stallmoor_core::node::configuration::ConfigurationError;

use crate::outcome::CommandError;

/// Timeout of one request, including its response body.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends requests to one node.
pub struct NodeClient {
    node: SocketAddr,
    caller: HttpCaller,
}

/// Name and value of a request header.
pub type Header<'a> = (&'a str, &'a str);

impl NodeClient {
    /// Creates a client for the node at `node`.
    pub fn new(node: SocketAddr) -> Self {
        Self { node, caller: HttpCaller::default() }
    }

    /// Sends a GET request and returns the JSON response.
    ///
    /// # Errors
    ///
    /// Fails if the node rejects the request or does not respond.
    pub async fn get(&self, path: &str) -> Result<Value, CommandError> {
        self.call(Method::GET, path, &[], Bytes::new()).await
    }

    /// Sends a POST request and returns the JSON response.
    ///
    /// # Errors
    ///
    /// Fails if the node rejects the request or does not respond.
    pub async fn post(&self, path: &str, headers: &[Header<'_>], body: Bytes) -> Result<Value, CommandError> {
        self.call(Method::POST, path, headers, body).await
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[Header<'_>],
        body: Bytes,
    ) -> Result<Value, CommandError> {
        let unreachable = |detail: String| CommandError::Unreachable { node: self.node.to_string(), detail };
        let mut request = Request::builder().method(method).uri(format!("http://{}{path}", self.node));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body)).map_err(|error| unreachable(error.to_string()))?;
        let exchange = async {
            let response = self.caller.send(request).await.map_err(|error| unreachable(error.to_string()))?;
            let status = response.status();
            let collected = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
            let body = collected.map_err(|error| unreachable(error.to_string()))?.to_bytes();
            Ok((status, body))
        };
        let (status, body) = match tokio::time::timeout(CALL_TIMEOUT, exchange).await {
            Ok(result) => result?,
            Err(_) => return Err(unreachable(format!("no response within {} s", CALL_TIMEOUT.as_secs()))),
        };
        let value: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        if status == StatusCode::OK { Ok(value) } else { Err(error_from_response(status, &value)) }
    }
}

/// Converts an error response of a node into a `CommandError`.
fn error_from_response(status: StatusCode, value: &Value) -> CommandError {
    let error = &value["error"];
    let text = |field: &str| error[field].as_str().unwrap_or_default().to_owned();
    if let Ok(errors) = serde_json::from_value::<Vec<ConfigurationError>>(value["errors"].clone()) {
        return CommandError::Invalid { errors };
    }
    if text("code") == "configuration_conflict" {
        return CommandError::Conflict { message: text("message") };
    }
    let code = if text("code").is_empty() { status.to_string() } else { text("code") };
    CommandError::Refused {
        code,
        ran: text("ran"),
        message: text("message"),
        retry_after_ms: error["retry_after_ms"].as_u64(),
    }
}
