//! Routes, how often a request may run, the retry budget, and whole events.

use std::sync::Arc;

use proptest::prelude::*;
use stallmoor_core::retry_budget::RetryBudget;
use stallmoor_core::serving::configuration::{
    CallerBounds, GatewayConfiguration, Route, RouteKind, RouteTarget, Service,
};
use stallmoor_core::serving::online::RETRY_LIMITS;
use stallmoor_core::serving::online::attempt::{AttemptEnd, AttemptLedger};
use stallmoor_core::serving::online::event_stream::{EventSplitter, ServerSentEvent};
use stallmoor_core::serving::regions::AllowedRegions;
use stallmoor_core::time::Millis;

mod support;

const SERVICE: &str = "service";

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: Arc::from(name),
        host: Arc::from(host),
        prefix: Arc::from(prefix),
        kind: RouteKind::Stream { resumable: true },
        timeout: Millis(5_000),
        objective: Millis(200),
        gap_target: Some(Millis(250)),
        max_attempts: 2,
        targets: vec![RouteTarget { service: Arc::from(SERVICE), weight: 1 }],
        due: Millis(0),
        give_up_after: None,
        queued_token_limit: None,
        is_public: false,
        regions: AllowedRegions::Any,
    }
}

#[test]
fn the_longest_prefix_of_the_host_takes_the_request() {
    let routes = vec![route("short", "h", "/a/"), route("long", "h", "/a/b/"), route("other", "g", "/a/b/c/")];
    let service =
        Service { name: Arc::from(SERVICE), max_connections: 10, slots: 8, cache_tokens: 0, cold_start: None };
    let configuration = GatewayConfiguration::new(3, routes, vec![service], CallerBounds::default());
    let found = |host: &str, path: &str| configuration.route_for(host, path).map(|route| route.name.to_string());
    assert_eq!(found("h", "/a/b/c/d").as_deref(), Some("long"));
    assert_eq!(found("h", "/a/c").as_deref(), Some("short"));
    assert_eq!(found("h", "/ab"), None);
    assert_eq!(found("x", "/a/"), None);
}

#[test]
fn a_request_that_may_have_run_is_never_said_not_to_have_run_and_runs_again_only_where_it_may() {
    let stream = RouteKind::Stream { resumable: false };
    let mut ledger = AttemptLedger::default();
    ledger.note(AttemptEnd::NotRun { other_instance: false });
    ledger.note(AttemptEnd::NotConnected);
    assert!(ledger.certainly_not_run());
    assert!(ledger.may_retry(stream, 1), "attempts that did not run don't count as runs");
    ledger.note(AttemptEnd::Broken);
    assert!(!ledger.certainly_not_run());
    assert!(!ledger.may_retry(stream, 5), "at most once");
    assert!(ledger.may_retry(RouteKind::Repeatable, 2));
    assert!(!ledger.may_retry(RouteKind::Repeatable, 1), "no more workers than allowed");
}

#[test]
fn attempts_that_never_run_come_to_an_end() {
    let mut ledger = AttemptLedger::default();
    let mut attempts = 0;
    while ledger.may_retry(RouteKind::Repeatable, 2) {
        ledger.note(AttemptEnd::NotRun { other_instance: false });
        attempts += 1;
        assert!(attempts < 20);
    }
    assert!(ledger.certainly_not_run());
}

#[test]
fn a_storm_of_retries_runs_out_of_budget() {
    let mut budget = RetryBudget::new(RETRY_LIMITS);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        if budget.has_token() {
            budget.withdraw();
            retries += 1;
        }
    }
    assert!((20..60).contains(&retries), "{retries} retries of 1,000 requests");
}

proptest! {
    #![proptest_config(support::fuzz_config())]

    /// However the bytes are cut up, the same whole events come out, and nothing is lost.
    #[test]
    fn events_are_whole_however_the_bytes_arrive(
        events in prop::collection::vec((0..500_u64, "[ -~]{0,40}", any::<bool>()), 1..12),
        tail in "[a-z]{0,10}",
        cuts in prop::collection::vec(1..40_usize, 1..60),
    ) {
        let mut bytes = Vec::new();
        for (number, data, carriage) in &events {
            let end = if *carriage { "\r\n" } else { "\n" };
            bytes.extend_from_slice(format!("id: {number}{end}data: {data}{end}{end}").as_bytes());
        }
        bytes.extend_from_slice(tail.as_bytes());
        let mut splitter = EventSplitter::default();
        let mut whole: Vec<ServerSentEvent> = Vec::new();
        let mut rest = &bytes[..];
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, further) = rest.split_at((*cut).min(rest.len()));
            whole.extend(splitter.push(piece));
            rest = further;
        }
        prop_assert_eq!(whole.len(), events.len());
        for (event, (number, data, _)) in whole.iter().zip(&events) {
            prop_assert_eq!(event.id, Some(*number));
            prop_assert_eq!(event.data(), data.clone());
        }
        let mut all: Vec<u8> = whole.iter().flat_map(|event| event.bytes.clone()).collect();
        all.extend_from_slice(splitter.pending());
        prop_assert_eq!(all, bytes);
    }
}
