//! One HTTP client for all of the platform, with a time limit on every call.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use snafu::Snafu;

/// Most bytes of a whole answer.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Why a call gave no answer.
#[derive(Debug, Snafu)]
pub enum HttpError {
    /// There was no connection: nothing was sent.
    #[snafu(display("no connection to {uri}"))]
    NotSent {
        /// Where to.
        uri: String,
    },
    /// The connection broke after something was sent.
    #[snafu(display("{uri}: {detail}"))]
    Broken {
        /// Where to.
        uri: String,
        /// What happened.
        detail: String,
    },
    /// No answer came in time.
    #[snafu(display("{uri}: no answer within {} ms", limit.as_millis()))]
    TimedOut {
        /// Where to.
        uri: String,
        /// The limit.
        limit: Duration,
    },
}

/// An HTTP client.
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
    /// Sends a request and returns the answer's head, its body still to come.
    ///
    /// # Errors
    ///
    /// There was no connection, or it broke before the head came.
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

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// No whole answer came within `limit`.
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
