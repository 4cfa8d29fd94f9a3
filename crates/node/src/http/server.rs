//! Accepts connections from callers and applies connection limits.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use super::router::HttpService;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves callers until the process exits.
pub async fn serve(listener: TcpListener, service: HttpService) {
    let permits = Arc::new(Semaphore::new(service.limits.connections));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Small chunks of a stream must be sent without delay.
        let _ = stream.set_nodelay(true);
        let service = service.clone();
        tokio::spawn(async move {
            let limits = service.limits;
            let handler = service_fn(move |request| {
                let service = service.clone();
                async move { Ok::<_, Infallible>(service.handle(request).await) }
            });
            // A failed connection drops its call, which notifies the node.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_millis(limits.request_timeout.0))
                .max_buf_size(limits.head_bytes)
                .serve_connection(TokioIo::new(stream), handler)
                .await;
            drop(permit);
        });
    }
}
