//! Engines and services that stop in the middle of an answer.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use stallmoor_clients::{Engines, HttpCaller, HttpEngines};
use stallmoor_core::identity::{AttemptId, EngineName};
use stallmoor_core::node::{EngineRequest, RequestClass, StreamEvent};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const ATTEMPT: AttemptId = AttemptId(7);

/// Starts a server that answers each connection's request with `sent` and closes or resets the connection.
async fn start_server(sent: String, is_reset: bool) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("binding a local port succeeds");
    let address = listener.local_addr().expect("listener has an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4_096]).await;
            let _ = stream.write_all(sent.as_bytes()).await;
            if is_reset {
                tokio::time::sleep(Duration::from_millis(1)).await;
                let _ = stream.set_zero_linger();
            }
        }
    });
    address
}

async fn stream(address: SocketAddr) -> Vec<StreamEvent> {
    let request = EngineRequest {
        attempt: ATTEMPT,
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
    };
    let events = Arc::new(Mutex::new(Vec::new()));
    let received = events.clone();
    let sink = Box::new(move |event| {
        received.lock().expect("lock poisoned").push(event);
        true
    });
    HttpEngines::new(HttpCaller::default()).stream(request, sink).await;
    std::mem::take(&mut *events.lock().expect("lock poisoned"))
}

fn heads() -> [String; 3] {
    ["HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n", "HTTP/1.0 200 OK\r\n"]
        .map(|head| format!("{head}\r\n"))
}

/// Guards against an engine's stream that counts as ended before its last event, also if it ends between two events, and
/// against one that counts as not sent.
#[tokio::test]
async fn stream_of_an_engine_ends_with_its_last_event_only() {
    let chunk =
        |first: u32| format!("data: {{\"attempt\":\"{ATTEMPT}\",\"first\":{first},\"tokens\":1,\"text\":\"x\"}}\n\n");
    let body = format!("{}{}data: {{\"attempt\":\"{ATTEMPT}\",\"length\":2}}\n\n", chunk(0), chunk(1));
    for head in heads() {
        let text = format!("{}{body}", head.replace("{length}", &body.len().to_string()));
        for bytes in (0..=text.len()).step_by(3).chain([text.len() - 1, text.len()]) {
            let events = stream(start_server(text[..bytes].to_owned(), bytes % 2 == 0).await).await;
            let last = events.last();
            let is_ended = matches!(last, Some(StreamEvent::End { .. }));
            let is_broken = matches!(last, Some(StreamEvent::Broken { .. }));
            assert_eq!((is_ended, is_broken), (bytes == text.len(), bytes < text.len()), "{bytes}: {events:?}");
        }
    }
}

/// Guards against a refusal that counts although it is cut.
#[tokio::test]
async fn refusal_of_an_engine_counts_only_as_a_whole() {
    let body = "{\"refused\":\"full\"}";
    for head in heads() {
        let text =
            head.replace("200 OK", "503 Service Unavailable").replace("{length}", &body.len().to_string()) + body;
        for bytes in 0..=text.len() {
            let events = stream(start_server(text[..bytes].to_owned(), false).await).await;
            let is_refused = matches!(events[..], [StreamEvent::Refused { .. }]);
            let is_broken = matches!(events[..], [StreamEvent::Broken { .. }]);
            assert_eq!((is_refused, is_broken), (bytes == text.len(), bytes < text.len()), "{bytes}: {events:?}");
        }
    }
}

/// Guards against calls to engines and services that succeed although the end of a stated length is missing.
#[tokio::test]
async fn call_fails_if_a_part_of_the_answer_is_missing() {
    let body = "{\"machines\":[]}";
    let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    for bytes in 0..=text.len() {
        let address = start_server(text[..bytes].to_owned(), bytes % 2 == 0).await;
        let uri = format!("http://{address}/v1/machines");
        let answer = HttpCaller::default().call(Method::GET, &uri, Bytes::new(), Duration::from_secs(2)).await;
        assert_eq!(answer.is_ok(), bytes == text.len(), "{bytes}: {answer:?}");
    }
}
