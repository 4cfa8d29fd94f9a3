//! Faulty engines, graceful shutdowns and service outages, tested over real sockets.

#[allow(dead_code)]
mod support;

use hyper::StatusCode;
use serde_json::json;
use stallmoor_emulator::answer_text;
use support::{MODEL, eventually, fleet, lines};

#[tokio::test(flavor = "multi_thread")]
async fn answers_are_correct_when_engines_truncate_duplicate_or_mix_streams() {
    let fleet = fleet(1, 3).await;
    for engine in &fleet.engines {
        let faults = json!({"truncated": 0.2, "doubled": 0.3, "crossed": 0.3});
        fleet.client.post(*engine, "/fault", &[], faults).await;
    }
    let mut completed = 0;
    for number in 0..40 {
        let prompt = format!("question {number}");
        let response = fleet.request_completion(0, &[], &prompt).await;
        if response.status == StatusCode::OK {
            completed += 1;
            assert_eq!(response.json()["choices"][0]["text"], answer_text(MODEL, &prompt, 40));
        } else {
            assert!(response.headers.contains_key("retry-after"), "{:?}", response.body);
        }
    }
    assert!(completed > 0, "no request was answered");
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_engine_receives_no_new_requests() {
    let fleet = fleet(1, 2).await;
    fleet.client.post(fleet.engines[0], "/fault", &[], json!({"leaving": true})).await;
    eventually("the node routes around the leaving engine", || async {
        let response = fleet.request_completion(0, &[], "who serves this?").await;
        response.json()["stallmoor"]["engine"] == "engine-1"
    })
    .await;
    let runs = |engine: usize| {
        let (client, address) = (fleet.client.clone(), fleet.engines[engine]);
        async move { client.get(address, "/runs").await.json().as_array().map_or(0, Vec::len) }
    };
    let before = runs(0).await;
    for number in 0..20 {
        assert_eq!(fleet.request_completion(0, &[], &format!("after {number}")).await.status, StatusCode::OK);
    }
    assert_eq!(runs(0).await, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_completes_pending_requests_and_transfers_jobs() {
    let mut fleet = fleet(3, 2).await;
    let submitted = fleet.submit(0, "long", lines(150)).await;
    assert_eq!(submitted.status, StatusCode::OK, "{:?}", submitted.body);
    let path = format!("/v1/batches/{}", submitted.json()["id"].as_str().expect("an id"));
    let pending_request = {
        let (client, to) = (fleet.client.clone(), fleet.caller_address(0));
        let headers = [("stallmoor-tenant", support::TENANT)];
        tokio::spawn(async move {
            let body = json!({"model": MODEL, "prompt": "while it stops", "max_tokens": 40});
            client.post(to, "/v1/completions", &headers, body).await
        })
    };
    eventually("the request runs", || async { fleet.run_count("while it stops").await > 0 }).await;
    fleet.nodes[0].stop().await;
    let response = pending_request.await.expect("request task panicked");
    assert_eq!(response.status, StatusCode::OK, "{:?}", response.body);
    fleet.nodes[0].stopped().await;
    let to = fleet.caller_address(1);
    eventually("the job completes elsewhere", || async {
        fleet.client.get(to, &path).await.json()["status"] == "completed"
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_propagates_while_the_key_value_service_is_down() {
    let fleet = fleet(3, 1).await;
    let mut files = fleet.files();
    files["tenants.toml"] = json!("[[tenant]]\nname = \"tenant\"\n[[tenant]]\nname = \"second\"\n");
    let applied = fleet.apply(files, Some(1)).await;
    assert_eq!(applied.status, StatusCode::OK, "{:?}", applied.body);
    fleet.client.post(fleet.key_value, "/fault", &[], json!({"outage": true})).await;
    for node in 0..3 {
        let to = fleet.caller_address(node);
        eventually("the revision is in force", || async {
            fleet.client.get(to, "/operator/configuration").await.json()["revision"] == 2
        })
        .await;
    }
}
