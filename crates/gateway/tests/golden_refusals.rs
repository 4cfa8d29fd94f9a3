//! Compares status, headers and body of the answer for each kind of refusal with a golden file.

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
    writeln!(output, "# {case}\n{}", head.status.as_u16()).expect("writing to a string succeeds");
    let mut headers: Vec<String> =
        head.headers.iter().map(|(name, value)| format!("{name}: {}", value.to_str().expect("valid UTF-8"))).collect();
    headers.sort();
    let Ok(body) = body.collect().await else { panic!("{case}: the body is incomplete") };
    let body = body.to_bytes();
    writeln!(output, "{}\n{}\n", headers.join("\n"), String::from_utf8_lossy(&body))
        .expect("writing to a string succeeds");
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
