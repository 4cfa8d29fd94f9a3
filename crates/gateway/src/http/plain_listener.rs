//! Listeners with synchronous handlers, for readiness and metrics.

use std::convert::Infallible;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use super::answer_body::AnswerBody;
use crate::sockets::accept_next;

/// Serves the readiness probe: 200 while the node is ready, 503 otherwise.
pub async fn serve_readiness(listener: TcpListener, is_ready: impl Fn() -> bool + Clone + Send + 'static) {
    serve_plain(listener, move |_request: &Request<Incoming>| {
        let mut response = Response::new(AnswerBody::full(Bytes::new()));
        *response.status_mut() = if is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        response
    })
    .await;
}

/// Serves requests with a synchronous handler until the process exits.
pub async fn serve_plain<A>(listener: TcpListener, answer: A)
where
    A: Fn(&Request<Incoming>) -> Response<AnswerBody> + Clone + Send + 'static,
{
    loop {
        let stream = accept_next(&listener).await;
        let answer = answer.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let response = answer(&request);
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(async move {
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // Probes and scrapes are repeated, so a failed connection is ignored.
            let _ = connection.await;
        });
    }
}
