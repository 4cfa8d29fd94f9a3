//! Minimal HTTP/1 server that calls a handler for each request.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// A request with its complete body.
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path segments.
    pub path: Vec<String>,
    /// Query string, empty if absent.
    pub query: String,
    /// Request body, empty if it could not be read.
    pub body: Bytes,
}

impl Call {
    /// Returns the value of a query parameter, without percent-decoding.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// Response body whose chunks are received from a channel. A chunk of `None` closes the connection.
pub struct ChannelBody {
    chunks: mpsc::UnboundedReceiver<Option<Bytes>>,
}

/// Error that closes a connection as an injected fault.
#[derive(Debug)]
pub struct InjectedDisconnect;

impl std::fmt::Display for InjectedDisconnect {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("connection closed by an injected fault")
    }
}

impl std::error::Error for InjectedDisconnect {}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = InjectedDisconnect;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, InjectedDisconnect>>> {
        self.chunks.poll_recv(context).map(|chunk| match chunk {
            Some(Some(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(None) => Some(Err(InjectedDisconnect)),
            None => None,
        })
    }
}

/// Response of a stand-in.
pub type Answer = Response<ChannelBody>;

/// Creates a response with a complete body.
pub fn full(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let (sender, chunks) = mpsc::unbounded_channel();
    // Can't fail: the receiver is still in scope.
    let _ = sender.send(Some(body.into()));
    let mut response = Response::new(ChannelBody { chunks });
    *response.status_mut() = status;
    response
}

/// Creates a response with a JSON body.
pub fn json(status: StatusCode, value: &serde_json::Value) -> Answer {
    full(status, value.to_string())
}

/// Creates a streaming response whose chunks are received from `chunks`.
pub fn stream(chunks: mpsc::UnboundedReceiver<Option<Bytes>>) -> Answer {
    Response::new(ChannelBody { chunks })
}

/// Accepts connections and serves requests until the process exits.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Call) -> F + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let handler = Arc::new(handler);
    loop {
        let Ok((connection, _)) = listener.accept().await else { continue };
        // Small chunks must not be delayed by Nagle's algorithm.
        let _ = connection.set_nodelay(true);
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let handler = handler.clone();
                async move { Ok::<_, Infallible>(handler(read(request).await).await) }
            });
            // Connection errors, including injected ones, are ignored.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(connection), service).await;
        });
    }
}

async fn read(request: Request<Incoming>) -> Call {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let path = parts.uri.path().trim_matches('/').split('/').map(str::to_owned).collect();
    Call { method: parts.method, path, query: parts.uri.query().unwrap_or_default().to_owned(), body }
}
