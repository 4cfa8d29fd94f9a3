//! How a gateway answers each kind of refusal, as it is today: status, headers, body.

#[path = "../../core/tests/support/golden.rs"]
mod golden;

use std::fmt::Write;

use http_body_util::BodyExt;
use hyper::Response;
use stallmoor_core::error::{ErrorKind, Ran, Refusal};
use stallmoor_gateway::http::answer_body::AnswerBody;
use stallmoor_gateway::http::refusal;

async fn describe(output: &mut String, case: &str, response: Response<AnswerBody>) {
    let (head, body) = response.into_parts();
    writeln!(output, "# {case}\n{}", head.status.as_u16()).expect("written to a string");
    let mut headers: Vec<String> =
        head.headers.iter().map(|(name, value)| format!("{name}: {}", value.to_str().expect("text"))).collect();
    headers.sort();
    let Ok(body) = body.collect().await else { panic!("{case}: the body breaks off") };
    let body = body.to_bytes();
    writeln!(output, "{}\n{}\n", headers.join("\n"), String::from_utf8_lossy(&body)).expect("written to a string");
}

#[tokio::test]
async fn answers_match_golden_file() {
    let mut output = String::new();
    for kind in ErrorKind::ALL {
        describe(&mut output, kind.code(), refusal::from_kind(*kind, "why \"so\"")).await;
    }
    let changed = Refusal::new(ErrorKind::Overloaded, "").with_ran(Ran::Unknown).with_retry_after(7);
    describe(&mut output, "overloaded, may have run, after 7 ms", refusal::answer(&changed)).await;
    let given = Refusal::new(ErrorKind::UnknownPath, "").with_ran(Ran::Ran).with_retry_after(61_042);
    describe(&mut output, "unknown_path, ran, after 61042 ms", refusal::answer(&given)).await;
    golden::check_text("refusals.txt", &output);
}
