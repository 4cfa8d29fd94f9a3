//! Engines and services that send bytes without end.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use stallmoor_clients::{Engines, HttpCaller, HttpEngines, HttpError};
use stallmoor_core::identity::{AttemptId, EngineName};
use stallmoor_core::node::{EngineRequest, RequestClass, StreamEvent};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

const MIB: usize = 1 << 20;
/// Number of writes of an answer; pauses between them keep few bytes in the buffers of the sockets.
const PIECES: usize = 384;

/// Starts a server that answers one request with `start` and then with bytes without end, up to `stops_after`. The task
/// returns the number of bytes that the client took.
async fn start_flood(start: &'static str, stops_after: usize) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("binding a local port succeeds");
    let address = listener.local_addr().expect("listener has an address");
    let flooding = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let _ = stream.read(&mut [0; 4_096]).await.expect("a request is sent");
        stream.write_all(start.as_bytes()).await.expect("the head is sent");
        let piece = vec![b'x'; stops_after / PIECES];
        let mut taken = 0;
        while taken < stops_after {
            let Ok(written) = stream.write(&piece).await else { break };
            taken += written;
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        taken
    });
    (address, flooding)
}

fn request(address: SocketAddr) -> EngineRequest {
    EngineRequest {
        attempt: AttemptId(7),
        engine: EngineName::new("engine"),
        address,
        class: RequestClass::Online,
        priority: 0,
        model: Arc::from("model"),
        adapter: None,
        prompt: Arc::from("prompt"),
        max_tokens: 4,
        from_token: 0,
        repeatable: true,
    }
}

/// Sends a request to an engine that answers without end. Returns the events and the number of bytes taken.
async fn flood_request(start: &'static str, stops_after: usize) -> (Vec<StreamEvent>, usize) {
    let (address, flooding) = start_flood(start, stops_after).await;
    let events = Arc::new(Mutex::new(Vec::new()));
    let received = events.clone();
    let engines = HttpEngines::new(HttpCaller::default());
    let sink = Box::new(move |event| {
        received.lock().expect("lock poisoned").push(event);
        true
    });
    engines.stream(request(address), sink).await;
    let taken = flooding.await.expect("the server ends");
    let events = std::mem::take(&mut *events.lock().expect("lock poisoned"));
    (events, taken)
}

fn is_broken(events: &[StreamEvent]) -> bool {
    matches!(events, [StreamEvent::Broken { .. }])
}

/// Guards against an engine whose refusal is collected without a limit.
#[tokio::test]
async fn refusal_without_end_breaks_the_attempt() {
    let (events, taken) = flood_request("HTTP/1.1 503 Service Unavailable\r\n\r\n", 24 * MIB).await;
    assert!(is_broken(&events), "{events:?}");
    assert!(taken < 4 * MIB, "{taken} bytes were taken");
}

/// Guards against an engine whose event is collected without a limit.
#[tokio::test]
async fn event_without_end_breaks_the_attempt() {
    let (events, taken) = flood_request("HTTP/1.1 200 OK\r\n\r\ndata: ", 24 * MIB).await;
    assert!(is_broken(&events), "{events:?}");
    assert!(taken < 4 * MIB, "{taken} bytes were taken");
}

/// Guards against other answers that are collected without a limit.
#[tokio::test]
async fn body_without_end_fails_the_call() {
    let (address, flooding) = start_flood("HTTP/1.1 200 OK\r\n\r\n", 320 * MIB).await;
    let uri = format!("http://{address}/v1/machines");
    let answer = HttpCaller::default().call(Method::GET, &uri, Bytes::new(), Duration::from_secs(20)).await;
    assert!(matches!(answer, Err(HttpError::Broken { .. })), "{answer:?}");
    let taken = flooding.await.expect("the server ends");
    assert!(taken < 128 * MIB, "{taken} bytes were taken");
}
