//! Invalid input is rejected with a specific error and does not affect other requests.

#[allow(dead_code)]
mod support;

use hyper::{Method, StatusCode};
use serde_json::json;
use support::{MODEL, TENANT, eventually, fleet, unconfigured_fleet};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_are_rejected_with_the_error_location() {
    let fleet = fleet(1, 1).await;
    let to = fleet.caller_address(0);
    let tenant = [("stallmoor-tenant", TENANT)];
    let send = |path: &'static str, body: &'static str| fleet.client.send(Method::POST, to, path, &tenant, body);

    let broken = send("/v1/completions", "{\"model\": \"model\",\n \"prompt\": }").await;
    assert_eq!((broken.status, broken.code().as_str()), (StatusCode::BAD_REQUEST, "malformed_request"));
    assert!(broken.json()["error"]["message"].to_string().contains("line 2"), "{:?}", broken.body);
    assert_eq!(broken.headers["stallmoor-ran"], "not_run");

    let empty = send("/v1/chat/completions", "{\"model\": \"model\", \"messages\": []}").await;
    assert_eq!(empty.code(), "malformed_request");

    let lines = "{\"prompt\": \"a\"}\n{\"prompt\": \"b\"}\n{\"prompt\": 3}\n";
    let batch = fleet.submit(0, "broken", lines.to_owned()).await;
    assert_eq!(batch.status, StatusCode::BAD_REQUEST);
    assert!(batch.json()["error"]["message"].to_string().contains("line 3"), "{:?}", batch.body);

    let unknown = send("/v1/nothing", "").await;
    assert_eq!((unknown.status, unknown.code().as_str()), (StatusCode::NOT_FOUND, "unknown_path"));

    let header = [("stallmoor-tenant", TENANT), ("stallmoor-deadline-ms", "soon")];
    let body = json!({"model": MODEL, "prompt": "p"});
    let deadline = fleet.client.post(to, "/v1/completions", &header, body).await;
    assert!(deadline.json()["error"]["message"].to_string().contains("stallmoor-deadline-ms"));
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_names_return_specific_error_codes() {
    let fleet = fleet(1, 1).await;
    let to = fleet.caller_address(0);
    let request_completion = |tenant: &'static str, model: &'static str| {
        let client = fleet.client.clone();
        async move {
            let body = json!({"model": model, "prompt": "p"});
            client.post(to, "/v1/completions", &[("stallmoor-tenant", tenant)], body).await.code()
        }
    };
    assert_eq!(request_completion(TENANT, "no-such-model").await, "unknown_model");
    assert_eq!(request_completion(TENANT, "model:no-such-adapter").await, "unknown_adapter");
    assert_eq!(request_completion("nobody", MODEL).await, "unknown_tenant");
    let job = fleet.client.get(to, "/v1/batches/job-0-00000000000000ff").await;
    assert_eq!((job.status, job.code().as_str()), (StatusCode::NOT_FOUND, "unknown_job"));
    let nonsense = fleet.client.get(to, "/v1/batches/my-job").await;
    assert_eq!(nonsense.code(), "unknown_job");
}

#[tokio::test(flavor = "multi_thread")]
async fn oversized_body_is_rejected() {
    let fleet = fleet(1, 1).await;
    let body = json!({"model": MODEL, "prompt": "x".repeat(2 << 20)}).to_string();
    let headers = [("stallmoor-tenant", TENANT)];
    let response = fleet.client.send(Method::POST, fleet.caller_address(0), "/v1/completions", &headers, body).await;
    assert_eq!((response.status, response.code().as_str()), (StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"));
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_and_invalid_requests_do_not_affect_other_callers() {
    let fleet = fleet(1, 1).await;
    let to = fleet.caller_address(0);
    let mut truncated = TcpStream::connect(to).await.expect("connected");
    truncated
        .write_all(b"POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 500\r\n\r\n{\"model\"")
        .await
        .expect("sent");
    drop(truncated);
    let mut invalid = TcpStream::connect(to).await.expect("connected");
    invalid.write_all(b"\x16\x03\x01 this is no HTTP\r\n\r\n").await.expect("sent");
    let mut answer = Vec::new();
    invalid.read_to_end(&mut answer).await.expect("closed");
    assert_eq!(fleet.request_completion(0, &[], "still there?").await.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_peer_messages_do_not_affect_callers() {
    let fleet = fleet(1, 1).await;
    let peer = fleet.nodes[0].peer_address;
    for garbage in [&[0xff_u8; 64][..], &[8, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8], &[200, 0, 0, 0, 1]] {
        let mut stream = TcpStream::connect(peer).await.expect("connected");
        stream.write_all(garbage).await.expect("sent");
    }
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    socket.send_to(b"not a datagram of ours", peer).await.expect("sent");
    assert_eq!(fleet.request_completion(0, &[], "still there?").await.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnect_cancels_the_engine_request() {
    let fleet = fleet(1, 1).await;
    let mut caller = TcpStream::connect(fleet.caller_address(0)).await.expect("connected");
    let body = json!({"model": MODEL, "prompt": "a long one", "stream": true}).to_string();
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nstallmoor-tenant: {TENANT}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    caller.write_all(request.as_bytes()).await.expect("sent");
    let mut first = [0; 64];
    let read = caller.read(&mut first).await.expect("the head");
    assert!(read > 0);
    drop(caller);
    eventually("the engine is idle", || async {
        fleet.client.get(fleet.engines[0], "/v1/load?cache_from=0").await.json()["running_online"] == 0
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_configuration_reports_all_errors_and_is_not_applied() {
    let fleet = fleet(1, 1).await;
    let mut files = fleet.files();
    files["services.toml"] =
        json!("[[service]]\nname = \"s\"\ncolour = 3\nmax_tokens = 0\n[[model]]\nname = \"m\"\nservice = \"none\"\n");
    let refused = fleet.apply(files, Some(1)).await;
    assert_eq!((refused.status, refused.code().as_str()), (StatusCode::UNPROCESSABLE_ENTITY, "configuration_invalid"));
    let errors = refused.json()["errors"].as_array().cloned().unwrap_or_default();
    let found: Vec<(String, u64, String)> = errors
        .iter()
        .map(|error| {
            let text = |field: &str| error[field].as_str().unwrap_or_default().to_owned();
            (text("file"), error["line"].as_u64().unwrap_or(0), text("field"))
        })
        .collect();
    for expected in [
        ("services.toml", 3, "service.colour"),
        ("services.toml", 4, "service.max_tokens"),
        ("services.toml", 7, "model.service"),
    ] {
        let expected = (expected.0.to_owned(), expected.1, expected.2.to_owned());
        assert!(found.contains(&expected), "{expected:?} not in {found:?}");
    }
    let in_force = fleet.client.get(fleet.caller_address(0), "/operator/configuration").await.json();
    assert_eq!(in_force["revision"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn stale_expected_revision_returns_a_conflict() {
    let fleet = fleet(1, 1).await;
    let mut files = fleet.files();
    files["tenants.toml"] = json!("[[tenant]]\nname = \"other\"\n");
    let refused = fleet.apply(files, Some(0)).await;
    assert_eq!((refused.status, refused.code().as_str()), (StatusCode::CONFLICT, "configuration_conflict"));
    assert_eq!(fleet.request_completion(0, &[], "same as before?").await.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn unconfigured_node_returns_not_configured_with_retry_after() {
    let fleet = unconfigured_fleet(1, 1).await;
    let refused = fleet.request_completion(0, &[], "anybody there?").await;
    assert_eq!((refused.status, refused.code().as_str()), (StatusCode::SERVICE_UNAVAILABLE, "not_configured"));
    assert!(refused.headers.contains_key("retry-after"));
    let ready = fleet.client.get(fleet.caller_address(0), "/readyz").await;
    assert_eq!(ready.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(fleet.client.get(fleet.caller_address(0), "/healthz").await.status, StatusCode::OK);
}
