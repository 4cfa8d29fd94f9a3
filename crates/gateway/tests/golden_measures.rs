//! Compares the exported metrics with a golden file: names, types, labels and label values with a fixed set.

#[path = "../../core/tests/support/golden.rs"]
mod golden;

use std::time::Duration;

use stallmoor_core::serving::crashes::{LedgerSize, PartCounts, WaitReason};
use stallmoor_core::serving::jobs::dispatch::{RunEnd, WaitCause};
use stallmoor_core::serving::jobs::standstill::StallCause;
use stallmoor_core::serving::online::answer_limits::AnswerPart;
use stallmoor_core::serving::online::attempt::AttemptEnd;
use stallmoor_core::time::Millis;
use stallmoor_gateway::observe::measures::{self, ALL};
use stallmoor_gateway::shutdown::StopOutcome;

/// Label values that the callers of `measures` pass as literals; this test doesn't check that they are recorded.
const SUBMISSION_RESULTS: [&str; 7] =
    ["accepted", "over_quota", "no_room", "key_taken", "unknown", "unexpected", "no_leader"];
const STORE_CALLS: [&str; 2] = ["list", "watch"];
const PEER_MESSAGES: [&str; 38] = [
    "aggregate_load",
    "answer",
    "append_answer",
    "body",
    "changes",
    "command",
    "configuration",
    "contents",
    "credit",
    "directory",
    "election",
    "end",
    "engines_leaving",
    "entries",
    "follow",
    "hand_over",
    "heartbeat",
    "item_body",
    "join",
    "levels",
    "loads",
    "membership",
    "origins",
    "outcome",
    "outcomes",
    "page",
    "permits",
    "query",
    "read",
    "refusal",
    "report_load",
    "report_outcomes",
    "report_quota",
    "request_permits",
    "snapshot",
    "status",
    "submit",
    "word",
];
const BLOCKED_CAUSES: [&str; 4] = WaitCause::NAMES;
const RATE_REFUSAL_CAUSES: [&str; 5] = ["partitioned", "no_level", "fraction", "reserved", "stale_level"];
const PERMIT_ENDS: [&str; 3] = ["granted", "denied", "no_leader"];
const RESUMPTION_ORIGINS: [&str; 4] = ["known", "conflicting", "several_versions", "uncertain_past"];
const TRIAL_ENDS: [&str; 2] = ["served", "failed"];
const STOP_OUTCOMES: [StopOutcome; 3] = [StopOutcome::Refused, StopOutcome::Answered, StopOutcome::Cut];
const ELECTION_REASONS: [&str; 3] = ["silence", "process_ended", "handover"];
const ANSWER_PARTS: [AnswerPart; 5] =
    [AnswerPart::Head, AnswerPart::Event, AnswerPart::Body, AnswerPart::Refusal, AnswerPart::ItemOutput];
const REQUEST_ENDS: [&str; 3] = ["whole", "caller gone", "broken off"];

fn record_everything() {
    for end in REQUEST_ENDS {
        measures::record_request("route-a", end, Some(Millis(150)), Millis(400));
    }
    let attempts = [
        AttemptEnd::NotConnected,
        AttemptEnd::NotRun { other_instance: false },
        AttemptEnd::NotRun { other_instance: true },
        AttemptEnd::Failed { status: 500 },
        AttemptEnd::Broken,
        AttemptEnd::Silent,
        AttemptEnd::TooLarge { part: AnswerPart::Event },
        AttemptEnd::NoMemory,
    ];
    attempts.into_iter().for_each(|end| measures::count_failed_attempt(end.name()));
    let runs = [
        RunEnd::Completed,
        RunEnd::Impossible,
        RunEnd::Failed,
        RunEnd::BrokenOff,
        RunEnd::Paused,
        RunEnd::NotRun,
        RunEnd::OutputTooLarge,
        RunEnd::Unconfirmed,
    ];
    runs.iter().for_each(|end| measures::count_run(end.name()));
    SUBMISSION_RESULTS.into_iter().for_each(measures::count_submission);
    STORE_CALLS.into_iter().for_each(measures::count_store_call);
    PEER_MESSAGES.into_iter().for_each(|message| measures::count_peer_message(message, 64));
    measures::count_rate_refusal();
    measures::set_view_age(Millis(1_500));
    measures::set_crash_ledger_size(LedgerSize { tracked: 5, evicted: 3, evicted_above_threshold: 1 });
    measures::set_part_counts(PartCounts { tracked: 3, suspected: 1, evicted: 0 });
    measures::set_configuration_version(7);
    measures::set_is_leader(true);
    measures::record_steps("tick", 1, Duration::from_micros(250), Duration::from_micros(500));
    measures::set_open_items(3);
    BLOCKED_CAUSES.into_iter().for_each(|cause| measures::set_blocked_items(cause, 2));
    StallCause::all().into_iter().for_each(|cause| measures::set_stall(cause.name(), Some((2, Millis(1_500)))));
    measures::set_exhausted_tenants(2);
    RATE_REFUSAL_CAUSES.into_iter().for_each(measures::count_rate_refusal_cause);
    measures::set_suspected_workers(4);
    RESUMPTION_ORIGINS.into_iter().for_each(measures::count_resumption);
    PERMIT_ENDS.into_iter().for_each(|end| measures::count_permits(end, 1));
    ANSWER_PARTS.into_iter().for_each(|part| measures::count_large_answer(part.name()));
    measures::set_held_answer_bytes(70_000);
    TRIAL_ENDS.into_iter().for_each(measures::count_trial);
    WaitReason::all().into_iter().for_each(|reason| measures::count_item_wait(reason.name()));
    STOP_OUTCOMES.into_iter().for_each(|outcome| measures::count_stopped_request(outcome.name()));
    ELECTION_REASONS.into_iter().for_each(measures::count_election);
}

/// Sorts lines, since the exporter's order is unspecified.
fn sorted(text: &str) -> String {
    let mut lines: Vec<&str> = text.lines().filter(|line| !line.is_empty()).collect();
    lines.sort_unstable();
    lines.join("\n") + "\n"
}

#[test]
fn metrics_text_matches_golden_file() {
    measures::install_recorder();
    record_everything();
    let text = sorted(&measures::render());
    for metric in ALL {
        let line = format!("# TYPE {} {}", metric.name, metric.kind);
        assert!(text.lines().any(|served| served == line), "{line} is not in\n{text}");
    }
    golden::check_text("measures.txt", &text);
}
