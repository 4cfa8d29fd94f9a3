//! A small HTTP server around a handler.

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

/// A request, read whole.
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path, split at its slashes.
    pub path: Vec<String>,
    /// The query.
    pub query: String,
    /// The body.
    pub body: Bytes,
}

impl Call {
    /// A query parameter.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// The body of an answer: pieces from a channel, of which a whole answer is one. A piece of `None`
/// breaks the connection.
pub struct PieceBody {
    pieces: mpsc::UnboundedReceiver<Option<Bytes>>,
}

/// A connection that is broken on purpose.
#[derive(Debug)]
pub struct BrokenOnPurpose;

impl std::fmt::Display for BrokenOnPurpose {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("broken on purpose")
    }
}

impl std::error::Error for BrokenOnPurpose {}

impl Body for PieceBody {
    type Data = Bytes;
    type Error = BrokenOnPurpose;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOnPurpose>>> {
        self.pieces.poll_recv(context).map(|piece| match piece {
            Some(Some(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(None) => Some(Err(BrokenOnPurpose)),
            None => None,
        })
    }
}

/// An answer.
pub type Answer = Response<PieceBody>;

/// An answer in one piece.
pub fn whole(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let (sender, pieces) = mpsc::unbounded_channel();
    // The receiver is right here.
    let _ = sender.send(Some(body.into()));
    let mut response = Response::new(PieceBody { pieces });
    *response.status_mut() = status;
    response
}

/// A JSON answer.
pub fn json(status: StatusCode, value: &serde_json::Value) -> Answer {
    whole(status, value.to_string())
}

/// An answer whose pieces follow.
pub fn stream(pieces: mpsc::UnboundedReceiver<Option<Bytes>>) -> Answer {
    Response::new(PieceBody { pieces })
}

/// Serves calls until the process ends.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Call) -> F + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let handler = Arc::new(handler);
    loop {
        let Ok((connection, _)) = listener.accept().await else { continue };
        // Small pieces must not wait for one another.
        let _ = connection.set_nodelay(true);
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let handler = handler.clone();
                async move { Ok::<_, Infallible>(handler(read(request).await).await) }
            });
            // A broken connection is the other side's affair.
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
