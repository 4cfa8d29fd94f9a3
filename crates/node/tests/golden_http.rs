//! Guards against unintended changes of metric names and refusal responses.

#[path = "../../core/tests/support/golden.rs"]
mod golden;
#[allow(dead_code)]
mod support;

use std::fmt::Write;

use hyper::Method;
use support::{MODEL, TENANT, TestResponse, fleet, unconfigured_fleet};

/// Removes the values from the metrics.
fn without_values(text: &str) -> String {
    let name = |line: &str| match line.strip_prefix('#') {
        Some(_) => line.to_owned(),
        None => line.rsplit_once(' ').map_or(line, |(name, _)| name).to_owned(),
    };
    text.lines().map(|line| name(line) + "\n").collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn metric_names_and_types_match_the_golden_file() {
    let fleet = fleet(1, 1).await;
    let served = fleet.client.get(fleet.caller_address(0), "/metrics").await;
    let kind = served.headers["content-type"].to_str().expect("text");
    let text = String::from_utf8_lossy(&served.body).into_owned();
    golden::check_text("metrics.txt", &format!("{kind}\n{}", without_values(&text)));
}

/// Appends status, relevant headers and body of a response.
fn describe(described: &mut String, case: &str, response: &TestResponse) {
    writeln!(described, "# {case}\n{}", response.status.as_u16()).expect("writing to a String failed");
    for name in ["content-type", "stallmoor-ran", "retry-after"] {
        writeln!(described, "{name}: {:?}", response.headers.get(name)).expect("writing to a String failed");
    }
    writeln!(described, "{}\n", String::from_utf8_lossy(&response.body)).expect("writing to a String failed");
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_responses_match_the_golden_file() {
    let (ready, bare) = (fleet(1, 1).await, unconfigured_fleet(1, 0).await);
    let (to, to_bare) = (ready.caller_address(0), bare.caller_address(0));
    let body = |model: &str| format!("{{\"model\": \"{model}\", \"prompt\": \"p\"}}");
    let cases = [
        ("no JSON", to, Method::POST, "/v1/completions", vec![("stallmoor-tenant", TENANT)], "{".to_owned()),
        ("unknown path", to, Method::POST, "/v1/nothing", vec![], String::new()),
        ("unknown model", to, Method::POST, "/v1/completions", vec![("stallmoor-tenant", TENANT)], body("none")),
        ("unknown tenant", to, Method::POST, "/v1/completions", vec![("stallmoor-tenant", "nobody")], body(MODEL)),
        ("unknown job", to, Method::GET, "/v1/batches/my-job", vec![], String::new()),
        ("not configured", to_bare, Method::POST, "/v1/completions", vec![("stallmoor-tenant", TENANT)], body(MODEL)),
    ];
    let mut described = String::new();
    for (case, to, method, path, headers, body) in cases {
        describe(&mut described, case, &ready.client.send(method, to, path, &headers, body).await);
    }
    golden::check_text("refusals.txt", &described);
}
