//! HTTP client shared by the clients of the platform's services.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use snafu::Snafu;

/// Maximum size of a response body.
pub const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// An error of an HTTP call.
#[derive(Debug, Snafu)]
pub enum HttpError {
    /// The connection could not be established; nothing was sent.
    #[snafu(display("no connection to {uri}"))]
    NotSent {
        /// URI of the request.
        uri: String,
    },
    /// The request failed after it may have been sent.
    #[snafu(display("{uri}: {detail}"))]
    Broken {
        /// URI of the request.
        uri: String,
        /// Description of the failure.
        detail: String,
    },
    /// No complete response arrived within the time limit.
    #[snafu(display("{uri}: no answer within {} ms", limit.as_millis()))]
    TimedOut {
        /// URI of the request.
        uri: String,
        /// Time limit of the call.
        limit: Duration,
    },
}

/// An HTTP client with a connection pool; clones share the pool.
#[derive(Clone)]
pub struct HttpCaller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpCaller {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        let client = Client::builder(TokioExecutor::new()).pool_idle_timeout(Duration::from_secs(30)).build(connector);
        Self { client }
    }
}

impl HttpCaller {
    /// Sends a request and returns once the response head has arrived.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection can't be established or fails before the response head arrives.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, HttpError> {
        let uri = request.uri().to_string();
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                HttpError::NotSent { uri }
            } else {
                HttpError::Broken { uri, detail: error.to_string() }
            }
        })
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrives within `limit`.
    pub async fn call(
        &self,
        method: Method,
        uri: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), HttpError> {
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|error| HttpError::Broken { uri: uri.to_owned(), detail: error.to_string() })?;
        let exchange = async {
            let response = self.send(request).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
                .collect()
                .await
                .map_err(|error| HttpError::Broken { uri: uri.to_owned(), detail: error.to_string() })?;
            Ok((status, body.to_bytes()))
        };
        match tokio::time::timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(HttpError::TimedOut { uri: uri.to_owned(), limit }),
        }
    }
}
