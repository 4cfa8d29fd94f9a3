//! Limits on the answers of workers: what exceeds them, what such an answer says about the worker, and how a batch item
//! goes on whose output exceeds them.

use std::sync::Arc;

use proptest::prelude::*;
use stallmoor_core::serving::configuration::RouteKind;
use stallmoor_core::serving::jobs::command::{ItemKey, JobCommand, JobItem, JobKey, PartialOutput, Submission};
use stallmoor_core::serving::jobs::dispatch::{Dispatcher, FailedAt, RunEnd};
use stallmoor_core::serving::jobs::table::JobTable;
use stallmoor_core::serving::online::answer_limits::{AnswerLimits, AnswerPart, MAX_HEAD_BYTES, MAX_REFUSAL_BYTES};
use stallmoor_core::serving::online::attempt::{AttemptCounts, AttemptEnd};
use stallmoor_core::serving::online::attribution::{Attribution, EvidenceChange};
use stallmoor_core::serving::online::event_stream::{EventSplitter, EventTooLarge};
use stallmoor_core::serving::workers::outcomes::Outcome;
use stallmoor_core::serving::workers::{WorkerId, WorkerIncarnation};
use stallmoor_core::time::{Millis, Timestamp, UnixMillis};

mod support;

const LIMIT: usize = 1_000;
const MAX_ATTEMPTS: u32 = 3;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn worker(name: &str) -> WorkerIncarnation {
    WorkerIncarnation { id: WorkerId(Arc::from(name)), started_at: None }
}

/// Returns an event of exactly `bytes` bytes.
fn event_of(bytes: usize) -> String {
    let frame = "id: 1\ndata: \n\n".len();
    format!("id: 1\ndata: {}\n\n", "x".repeat(bytes - frame))
}

/// Pushes bytes in pieces. Returns the number of events, or the error and the number of bytes that were accepted.
fn push_all(splitter: &mut EventSplitter, bytes: &[u8], piece: usize) -> Result<usize, (EventTooLarge, usize)> {
    let mut events = 0;
    let mut accepted = 0;
    for piece in bytes.chunks(piece) {
        events += splitter.push(piece).map_err(|error| (error, accepted))?.len();
        accepted += piece.len();
    }
    Ok(events)
}

proptest! {
    #![proptest_config(support::fuzz_config())]

    /// Guards against an event that is collected beyond the limit, and against a limit that cuts shorter events or counts
    /// several events together.
    #[test]
    fn events_are_limited_however_the_bytes_are_split(
        sizes in prop::collection::vec(20..=LIMIT, 1..6),
        excess in 1..=LIMIT,
        is_complete in any::<bool>(),
        piece in 1..400_usize,
    ) {
        let sound: String = sizes.iter().map(|size| event_of(*size)).collect();
        let mut splitter = EventSplitter::new(LIMIT);
        prop_assert_eq!(push_all(&mut splitter, sound.as_bytes(), piece), Ok(sizes.len()));
        prop_assert!(splitter.pending().is_empty());
        let excessive = event_of(LIMIT + excess);
        let sent = if is_complete { &excessive[..] } else { &excessive[..LIMIT + 1] };
        let (error, accepted) = push_all(&mut splitter, sent.as_bytes(), piece).expect_err("the event is too large");
        prop_assert_eq!(error, EventTooLarge { limit: LIMIT });
        prop_assert!(accepted <= LIMIT, "{} bytes were accepted", accepted);
    }
}

/// Guards against a limit that applies to another part of an answer.
#[test]
fn each_part_has_its_limit() {
    let limits = AnswerLimits { event: 1, body: 2, item_output: 3 };
    let parts = [AnswerPart::Event, AnswerPart::Body, AnswerPart::ItemOutput, AnswerPart::Refusal, AnswerPart::Head];
    assert_eq!(parts.map(|part| limits.of(part)), [1, 2, 3, MAX_REFUSAL_BYTES, MAX_HEAD_BYTES]);
}

/// Guards against a promise that a request did not run, and against more runs than the route allows.
#[test]
fn answers_over_the_limit_count_as_runs() {
    for end in [AttemptEnd::TooLarge { part: AnswerPart::Body }, AttemptEnd::NoMemory] {
        assert!(end.may_have_run());
        assert_eq!(RunEnd::from_attempt(end), RunEnd::BrokenOff);
        let mut counts = AttemptCounts::default();
        counts.record(end);
        assert!(!counts.certainly_not_run());
        assert!(!counts.may_retry(RouteKind::AtMostOnce, 2));
        assert!(counts.may_retry(RouteKind::Repeatable, 2));
        counts.record(end);
        assert!(!counts.may_retry(RouteKind::Repeatable, 2));
    }
}

/// Guards against a worker that is not suspected although its answers have no end, and against sound workers that are
/// suspected because of a request whose answer is too long everywhere.
#[test]
fn answer_over_the_limit_is_the_workers_fault_unless_it_happens_at_two() {
    let recorded = |name: &str| EvidenceChange::Record(worker(name), Outcome::Failed);
    let mut attribution = Attribution::default();
    attribution.start_attempt(false);
    assert_eq!(attribution.on_too_large(&worker("one"), false, at(1)).changes, [recorded("one")]);
    attribution.start_attempt(true);
    assert_eq!(attribution.on_too_large(&worker("suspected"), true, at(2)).changes, [recorded("suspected")]);
    attribution.start_attempt(false);
    let retracted = |name: &str, millis| EvidenceChange::Retract(worker(name), at(millis));
    let changes = attribution.on_too_large(&worker("two"), false, at(3)).changes;
    assert_eq!(changes, [retracted("one", 1), retracted("suspected", 2)]);
}

/// Guards against a worker that is blamed for the memory that other answers hold.
#[test]
fn lack_of_memory_says_nothing_about_the_worker() {
    let mut attribution = Attribution::default();
    attribution.start_attempt(false);
    assert!(attribution.on_end(&worker("one"), AttemptEnd::NoMemory).changes.is_empty());
}

fn key() -> ItemKey {
    ItemKey { job: JobKey(Arc::from("job")), item: 0 }
}

fn table() -> JobTable {
    let item = JobItem {
        id: Arc::from("item"),
        path: Arc::from("/r/1"),
        headers: Vec::new(),
        body: Arc::from([1, 2]),
        token_count: 5,
    };
    let mut table = JobTable::default();
    table.apply(JobCommand::Accept(Submission {
        key: key().job,
        route: Arc::from("r"),
        host: Arc::from("h"),
        tenant: None,
        items: vec![item],
        configuration_version: 1,
        received_at: UnixMillis(1_000),
        due: Millis(10_000),
        queued_token_limit: None,
    }));
    table
}

/// Guards against output that is continued although it exceeded the limit, against runs in quick succession at workers
/// where it did, and against an item that is given up before its waiting time is over.
#[test]
fn item_over_the_limit_runs_again_from_the_start_with_growing_pauses() {
    let mut dispatcher = Dispatcher::default();
    dispatcher.restart(&table());
    let mut now = at(0);
    let mut pauses = Vec::new();
    for number in 0..8 {
        let (taken, mut output) = dispatcher.take_next(now, UnixMillis(2_000)).expect("the item is ready");
        assert_eq!((taken, &output), (key(), &PartialOutput::default()));
        output.append_event("too long", Some(1));
        let progress = dispatcher.progress_of(&key(), &PartialOutput { last_event: Some(100), ..output.clone() });
        dispatcher.record_proposed_progress(&progress.expect("progress is due"));
        let failed_at = FailedAt { worker: worker(&format!("w{number}")).id, is_suspected: false };
        let end = RunEnd::OutputTooLarge;
        let has_result =
            dispatcher.finish_run_at(&key(), &end, Some(failed_at), PartialOutput::default(), MAX_ATTEMPTS, now);
        assert!(!has_result, "the item was given up after {} runs", number + 1);
        assert_eq!(dispatcher.restarts_due(), Some(JobCommand::Restart(vec![key()])), "the logged output is kept");
        dispatcher.record_proposed_restarts();
        assert_eq!(dispatcher.failed_workers(&key()).len(), number + 1);
        assert_eq!(dispatcher.failures(&key()), 0, "the run counts as an answer of 500");
        let ended_at = now;
        while !dispatcher.has_ready(now) {
            now = now + Millis(10);
        }
        pauses.push(now.since(ended_at).0);
    }
    assert_eq!(pauses, [640, 1_280, 2_560, 5_120, 10_240, 20_480, 20_480, 20_480]);
}
