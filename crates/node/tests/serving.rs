//! Online and batch requests over real sockets: complete answers, sessions, idempotency keys and batch results.

#[allow(dead_code)]
mod support;

use std::collections::BTreeSet;

use hyper::{Method, StatusCode};
use serde_json::json;
use stallmoor_emulator::answer_text;
use support::{MODEL, TENANT, eventually, fleet, lines};

#[tokio::test(flavor = "multi_thread")]
async fn online_answer_is_complete_with_and_without_streaming() {
    let fleet = fleet(1, 2).await;
    let complete = fleet.request_completion(0, &[("stallmoor-session", "desk-1")], "how are the readings?").await;
    assert_eq!(complete.status, StatusCode::OK, "{:?}", complete.body);
    assert_eq!(complete.json()["choices"][0]["text"], answer_text(MODEL, "how are the readings?", 40));

    let body =
        json!({"model": MODEL, "stream": true, "max_tokens": 40, "messages": [{"role": "user", "content": "hello"}]});
    let headers = [("stallmoor-tenant", TENANT), ("stallmoor-session", "desk-1")];
    let streamed = fleet.client.post(fleet.caller_address(0), "/v1/chat/completions", &headers, body).await;
    let text = String::from_utf8_lossy(&streamed.body).into_owned();
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let pieces = events.filter_map(|event| serde_json::from_str::<serde_json::Value>(event).ok());
    let joined: String =
        pieces.filter_map(|piece| piece["choices"][0]["delta"]["content"].as_str().map(str::to_owned)).collect();
    assert_eq!(joined, answer_text(MODEL, "user: hello\n", 40));
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_request_starts_at_its_offset_on_another_node() {
    let fleet = fleet(3, 2).await;
    let complete = answer_text(MODEL, "resume me", 40);
    let words: Vec<&str> = complete.split_inclusive(' ').collect();
    let resumed = fleet.request_completion(2, &[("stallmoor-resume-from", "3")], "resume me").await;
    assert_eq!(resumed.json()["choices"][0]["text"], words[3..].concat());
}

#[tokio::test(flavor = "multi_thread")]
async fn session_is_routed_to_the_same_engine_by_every_node() {
    let fleet = fleet(3, 4).await;
    let mut engines = BTreeSet::new();
    for turn in 0..6 {
        let response =
            fleet.request_completion(turn % 3, &[("stallmoor-session", "desk-9")], &format!("turn {turn}")).await;
        assert_eq!(response.status, StatusCode::OK, "{:?}", response.body);
        engines.insert(response.json()["stallmoor"]["engine"].to_string());
    }
    assert_eq!(engines.len(), 1, "{engines:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn job_results_are_readable_from_every_node() {
    let fleet = fleet(3, 3).await;
    let submitted = fleet.submit(1, "sweep-1", lines(60)).await;
    assert_eq!(submitted.status, StatusCode::OK, "{:?}", submitted.body);
    let job = submitted.json()["id"].as_str().expect("an id").to_owned();
    let path = format!("/v1/batches/{job}");
    eventually("the job completes", || async {
        fleet.client.get(fleet.caller_address(0), &path).await.json()["status"] == "completed"
    })
    .await;
    for node in 0..3 {
        let output = fleet.client.get(fleet.caller_address(node), &format!("/v1/files/output-{job}/content")).await;
        let text = String::from_utf8_lossy(&output.body).into_owned();
        let labels: BTreeSet<String> = text
            .lines()
            .filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok())
            .map(|line| line["custom_id"].to_string())
            .collect();
        assert_eq!((text.lines().count(), labels.len()), (60, 60), "at node {node}");
    }
    let again = fleet.submit(2, "sweep-1", lines(60)).await;
    assert_eq!(again.json()["id"], job.as_str(), "a resend is the same job");
    let headers = [("stallmoor-tenant", TENANT)];
    let listed = fleet.client.send(Method::GET, fleet.caller_address(1), "/v1/batches", &headers, "").await.json();
    assert_eq!(
        (listed["data"][0]["id"].as_str(), listed["data"].as_array().map(Vec::len)),
        (Some(job.as_str()), Some(1))
    );
    let other = fleet.submit(0, "sweep-1", lines(59)).await;
    assert_eq!((other.status, other.code().as_str()), (StatusCode::CONFLICT, "key_conflict"));
}

#[tokio::test(flavor = "multi_thread")]
async fn uploaded_file_runs_only_after_its_batch_is_created() {
    let fleet = fleet(1, 1).await;
    let to = fleet.caller_address(0);
    let line = json!({"custom_id": "a", "method": "POST", "url": "/v1/chat/completions",
        "body": {"model": MODEL, "max_tokens": 10, "messages": [{"role": "user", "content": "later"}]}});
    let headers = [("stallmoor-tenant", TENANT), ("idempotency-key", "file-1")];
    let file = fleet.client.send(Method::POST, to, "/v1/files", &headers, line.to_string()).await;
    assert_eq!(file.status, StatusCode::OK, "{:?}", file.body);
    assert_eq!(fleet.run_count("user: later\n").await, 0);
    let create = json!({"input_file_id": file.json()["id"], "endpoint": "/v1/chat/completions"});
    let batch = fleet.client.post(to, "/v1/batches", &headers, create).await;
    let path = format!("/v1/batches/{}", batch.json()["id"].as_str().expect("an id"));
    eventually("the batch completes", || async { fleet.client.get(to, &path).await.json()["status"] == "completed" })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cancelled_job_stops_running() {
    let fleet = fleet(1, 1).await;
    let to = fleet.caller_address(0);
    let submitted = fleet.submit(0, "to-cancel", lines(400)).await;
    let path = format!("/v1/batches/{}", submitted.json()["id"].as_str().expect("an id"));
    let cancelled = fleet.client.post(to, &format!("{path}/cancel"), &[], json!({})).await;
    assert_eq!(cancelled.json()["status"], "cancelled", "{:?}", cancelled.body);
    let counted = cancelled.json()["request_counts"]["completed"].clone();
    eventually("the engine runs nothing", || async {
        fleet.client.get(fleet.engines[0], "/v1/load?cache_from=0").await.json()["running_batch"] == 0
    })
    .await;
    assert_eq!(fleet.client.get(to, &path).await.json()["request_counts"]["completed"], counted);
}

#[tokio::test(flavor = "multi_thread")]
async fn non_repeatable_request_runs_once() {
    let fleet = fleet(3, 2).await;
    let once = [("stallmoor-repeatable", "false"), ("idempotency-key", "letter-1")];
    let first = fleet.request_completion(0, &once, "send the letter").await;
    assert_eq!(first.status, StatusCode::OK, "{:?}", first.body);
    eventually("the outcome is settled", || async {
        fleet.request_completion(1, &once, "send the letter").await.code() == "already_ran"
    })
    .await;
    let other = fleet.request_completion(2, &once, "send another letter").await;
    assert_eq!(other.code(), "key_conflict");
    assert_eq!(fleet.run_count("send the letter").await, 1);
    assert_eq!(fleet.run_count("send another letter").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn explanation_lists_the_candidate_engines() {
    let fleet = fleet(1, 3).await;
    let response = fleet.request_completion(0, &[], "explain yourself").await;
    let id = response.headers["stallmoor-request-id"].to_str().expect("an id").to_owned();
    let explained = fleet.client.get(fleet.caller_address(0), &format!("/operator/explain/{id}")).await.json();
    let steps = explained["steps"].to_string();
    assert!(steps.contains("engine-0") && steps.contains("chosen") && steps.contains("answered"), "{steps}");
}
