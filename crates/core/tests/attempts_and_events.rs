//! Route lookup, limits on attempts, the retry budget, and splitting streams into events.

use std::sync::Arc;

use proptest::prelude::*;
use stallmoor_core::retry_budget::RetryBudget;
use stallmoor_core::serving::configuration::{
    CallerBounds, GatewayConfiguration, Route, RouteKind, RouteTarget, Service,
};
use stallmoor_core::serving::online::RETRY_LIMITS;
use stallmoor_core::serving::online::attempt::{AttemptCounts, AttemptEnd};
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
fn route_with_the_longest_matching_prefix_of_the_host_is_selected() {
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
fn request_that_may_have_run_is_not_reported_as_not_run_and_is_retried_only_if_allowed() {
    let stream = RouteKind::Stream { resumable: false };
    let mut counts = AttemptCounts::default();
    counts.record(AttemptEnd::NotRun { other_instance: false });
    counts.record(AttemptEnd::NotConnected);
    assert!(counts.certainly_not_run());
    assert!(counts.may_retry(stream, 1), "attempts that did not run are not counted as runs");
    counts.record(AttemptEnd::Broken);
    assert!(!counts.certainly_not_run());
    assert!(!counts.may_retry(stream, 5), "a non-resumable stream runs at most once");
    assert!(counts.may_retry(RouteKind::Repeatable, 2));
    assert!(!counts.may_retry(RouteKind::Repeatable, 1), "the maximum number of attempts is reached");
}

#[test]
fn number_of_attempts_that_do_not_run_is_limited() {
    let mut counts = AttemptCounts::default();
    let mut attempts = 0;
    while counts.may_retry(RouteKind::Repeatable, 2) {
        counts.record(AttemptEnd::NotRun { other_instance: false });
        attempts += 1;
        assert!(attempts < 20);
    }
    assert!(counts.certainly_not_run());
}

#[test]
fn retry_budget_limits_the_fraction_of_retries() {
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

    /// Splitting the bytes at any positions yields the same events and loses no bytes.
    #[test]
    fn events_do_not_depend_on_how_the_bytes_are_split(
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
        let mut splitter = EventSplitter::new(usize::MAX);
        let mut complete: Vec<ServerSentEvent> = Vec::new();
        let mut rest = &bytes[..];
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, further) = rest.split_at((*cut).min(rest.len()));
            complete.extend(splitter.push(piece).expect("no event is too large"));
            rest = further;
        }
        prop_assert_eq!(complete.len(), events.len());
        for (event, (number, data, _)) in complete.iter().zip(&events) {
            prop_assert_eq!(event.id, Some(*number));
            prop_assert_eq!(event.data(), data.clone());
        }
        let mut all: Vec<u8> = complete.iter().flat_map(|event| event.bytes.clone()).collect();
        all.extend_from_slice(splitter.pending());
        prop_assert_eq!(all, bytes);
    }
}
