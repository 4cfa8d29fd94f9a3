//! Simulates batch items on a virtual clock while workers crash: of unrelated causes, of single requests, or both. Guards
//! against sound items that are kept from all workers after a storm of crashes, and against requests that crash worker
//! after worker.

#[path = "support/crashes.rs"]
mod crashes;
#[path = "support/storm.rs"]
mod storm;

use std::sync::Arc;

use crashes::{at, digest, worker};
use proptest::prelude::*;
use stallmoor_core::serving::crashes::report::Crash;
use stallmoor_core::serving::crashes::{CrashLedger, CrashedRun, ItemAdmission};
use stallmoor_core::time::Millis;
use storm::{FATAL_ITEMS, Outcome, Scenario, play};

const SEEDS: std::ops::Range<u64> = 0..10;
const SIZES: [u64; 2] = [12, 48];
/// Maximum number of runs of a fatal item later than the contact bound after its third crash: an item is owed, so it is tried
/// until its job ends, but not more often than every ten seconds of the 48 that are left.
const MAX_LATE_RUNS: usize = 5;

/// Plays a scenario with each seed and prints the sums, which show both errors of the quarantine.
fn play_all(name: &str, scenario: Scenario) -> Vec<Outcome> {
    let outcomes: Vec<Outcome> = SEEDS.map(|seed| play(scenario, seed)).collect();
    let sum = |value: fn(&Outcome) -> usize| outcomes.iter().map(value).sum::<usize>();
    println!(
        "{name}, {} workers: {} sound items quarantined, {} unfinished; {} runs of fatal items, {} of them late",
        scenario.workers,
        sum(|outcome| outcome.quarantined),
        sum(|outcome| outcome.unfinished),
        sum(|outcome| outcome.fatal_runs),
        sum(|outcome| outcome.late_fatal_runs),
    );
    outcomes
}

/// Guards against quarantining items that were running when workers crashed of unrelated causes.
#[test]
fn a_storm_of_crashes_keeps_no_sound_item_from_the_workers() {
    for workers in SIZES {
        let outcomes = play_all("storm", Scenario { workers, has_storm: true, fatal_items: 0 });
        for outcome in outcomes {
            assert_eq!(outcome.unfinished, 0, "{workers} workers: {outcome:?}");
        }
    }
}

/// Guards against running an item again and again that crashes each worker in an otherwise calm fleet.
#[test]
fn a_fatal_item_is_paced_in_a_calm_fleet() {
    for workers in SIZES {
        let outcomes = play_all("fatal", Scenario { workers, has_storm: false, fatal_items: FATAL_ITEMS });
        for outcome in outcomes {
            assert_eq!(outcome.unfinished, 0, "{workers} workers: {outcome:?}");
            assert!(outcome.late_fatal_runs <= MAX_LATE_RUNS, "{workers} workers: {outcome:?}");
        }
    }
}

/// Guards against taking a fatal item for a bystander because many workers crash of other causes at the same time.
#[test]
fn a_fatal_item_is_paced_in_a_storm_of_crashes() {
    for workers in SIZES {
        let outcomes = play_all("storm and fatal", Scenario { workers, has_storm: true, fatal_items: FATAL_ITEMS });
        for outcome in outcomes {
            assert_eq!(outcome.unfinished, 0, "{workers} workers: {outcome:?}");
            assert!(outcome.late_fatal_runs <= MAX_LATE_RUNS, "{workers} workers: {outcome:?}");
        }
    }
}

/// Guards against items that are kept waiting behind others that crash each worker.
#[test]
fn several_fatal_items_keep_no_sound_item_from_the_workers() {
    for workers in SIZES {
        for outcome in play_all("several fatal", Scenario { workers, has_storm: false, fatal_items: 4 }) {
            assert_eq!(outcome.unfinished, 0, "{workers} workers: {outcome:?}");
            assert!(outcome.late_fatal_runs <= MAX_LATE_RUNS, "{workers} workers: {outcome:?}");
        }
    }
}

const SERVICE: &str = "service";
/// Twelve workers, and the records of six that crashed within the last seconds.
const RECORDS: u32 = 18;

fn crash_of_run(request: &str, number: u64, millis: u64, lasted: u64, progress: u64) -> Crash {
    let run = CrashedRun { service: Arc::from(SERVICE), workers: RECORDS, lasted: Millis(lasted), events: progress };
    Crash { digest: digest(request), worker: worker(number), at: at(millis), progress, run: Some(run) }
}

/// Guards against blaming a long run for crashes that are as frequent at the workers without it.
#[test]
fn crashes_that_are_as_frequent_elsewhere_are_not_attributed() {
    let mut ledger = CrashLedger::default();
    for second in 1..=12_u64 {
        for other in 0..2 {
            ledger.record_local_crash_of_run(crash_of_run(
                &format!("other {second} {other}"),
                100 + 2 * second + other,
                second * 1_000,
                500,
                1,
            ));
        }
    }
    for (number, millis) in [3_000, 6_000, 9_000, 12_000].into_iter().enumerate() {
        ledger.record_local_crash_of_run(crash_of_run("long", number as u64, millis, 2_900, 70 * number as u64));
    }
    assert_eq!(ledger.quarantined_for(digest("long"), at(12_000)), None);
    for (number, millis) in [6_000, 6_200, 6_400, 6_600, 6_800].into_iter().enumerate() {
        ledger.record_local_crash_of_run(crash_of_run("fatal", 50 + number as u64, millis, 120, number as u64 * 9));
    }
    assert!(
        ledger.quarantined_for(digest("fatal"), at(12_000)).is_some(),
        "short runs don't meet five crashes by chance"
    );
}

/// Guards against repeating a request without limit that crashes its workers after seconds, as if it were a bystander.
#[test]
fn a_repeated_request_is_quarantined_after_two_late_crashes_in_a_storm() {
    let mut ledger = CrashLedger::default();
    let mut quarantined = Vec::new();
    for second in 1..=20_u64 {
        for other in 0..2 {
            let request = format!("other {second} {other}");
            ledger.record_local_crash_of_run(crash_of_run(&request, 100 + 2 * second + other, second * 1_000, 500, 1));
        }
        if second.is_multiple_of(2) && quarantined.is_empty() {
            ledger.record_local_crash_of_run(crash_of_run("slow", second, second * 1_000, 1_900, 40 * second));
        }
        if ledger.quarantined_for(digest("slow"), at(second * 1_000)).is_some() {
            quarantined.push(second);
        }
    }
    // The third crash is that of second 6, the late ones are those of seconds 10 and 12.
    assert_eq!(quarantined.first(), Some(&12));
    let admission = ledger.admit_item(std::iter::once(digest("slow")), at(12_000));
    assert_eq!(admission, ItemAdmission::Runs, "nobody repeats an item, so it goes by the evidence alone");
}

/// Guards against blaming a run that resumed where the last one had crashed, and met the next crash before its first event.
#[test]
fn crashes_before_the_first_event_after_a_resumption_may_be_a_coincidence() {
    let mut ledger = CrashLedger::default();
    for tenth in 0..60_u64 {
        ledger.record_local_crash_of_run(crash_of_run(&format!("other {tenth}"), 100 + tenth, tenth * 100, 200, 0));
    }
    for (number, millis) in [2_000, 3_000, 4_000].into_iter().enumerate() {
        let mut crash = crash_of_run("resumed", number as u64, millis, 700, 40);
        crash.run.as_mut().expect("a run").events = 0;
        ledger.record_local_crash_of_run(crash);
    }
    assert_eq!(ledger.quarantined_for(digest("resumed"), at(4_000)), None);
}

/// Guards against counting only the crashes of workers at which this node ran something.
#[test]
fn lost_workers_that_ran_nothing_count_as_crashes_of_others() {
    let mut ledger = CrashLedger::default();
    for (number, millis) in [3_000, 6_000, 9_000, 12_000].into_iter().enumerate() {
        ledger.record_local_crash_of_run(crash_of_run("long", number as u64, millis, 2_900, 70 * number as u64));
    }
    assert!(ledger.quarantined_for(digest("long"), at(12_000)).is_some(), "no other crash is known");
    for loss in 2..24_u64 {
        ledger.record_worker_loss(worker(100 + loss), &Arc::from(SERVICE), at(loss * 500));
    }
    assert_eq!(ledger.quarantined_for(digest("long"), at(15_600)), None);
}

/// Guards against counting the crash of a worker once more when its record is removed.
#[test]
fn loss_of_a_worker_that_is_known_to_have_crashed_counts_once() {
    let mut ledger = CrashLedger::default();
    for number in 0..3 {
        ledger.record_local_crash_of_run(crash_of_run("fatal", number, 1_000 + 150 * number, 120, 0));
    }
    for number in 0..3 {
        ledger.record_worker_loss(worker(number), &Arc::from(SERVICE), at(2_000));
    }
    let count = ledger.count(digest("fatal"));
    assert!(count.expected.abs() < f64::EPSILON, "{count:?}");
    assert!(ledger.quarantined_for(digest("fatal"), at(2_000)).is_some());
}

/// Guards against disagreement of nodes, as the decision depends on the crashes of other requests.
#[test]
fn a_node_that_learns_of_the_other_crashes_ends_a_quarantine() {
    let (mut leader, mut gateway) = (CrashLedger::default(), CrashLedger::default());
    for (number, millis) in [3_000, 6_000, 9_000, 12_000].into_iter().enumerate() {
        leader.record_local_crash_of_run(crash_of_run("long", number as u64, millis, 2_900, 70 * number as u64));
    }
    assert!(leader.quarantined_for(digest("long"), at(12_000)).is_some(), "no other crash is known");
    for second in 1..=12_u64 {
        for other in 0..2 {
            let request = format!("other {second} {other}");
            gateway.record_local_crash_of_run(crash_of_run(&request, 100 + 2 * second + other, second * 1_000, 500, 1));
        }
    }
    leader.merge(&gateway.report(), false, at(12_100));
    assert_eq!(leader.quarantined_for(digest("long"), at(12_100)), None);
    gateway.merge(&leader.report(), false, at(12_200));
    assert_eq!(gateway.quarantined_for(digest("long"), at(12_200)), None);
}

proptest! {
    /// Guards against decisions that depend on the order in which nodes learn of crashes.
    #[test]
    fn order_of_reports_does_not_matter(
        crashes in prop::collection::vec((0..3_usize, 0..4_u8, 0..12_u64, 0..20_000_u64, 1..5_000_u64, 0..40_u64), 1..60),
    ) {
        let mut nodes = [CrashLedger::default(), CrashLedger::default(), CrashLedger::default()];
        for (node, request, number, millis, lasted, progress) in crashes {
            let crash = crash_of_run(&request.to_string(), number, millis, lasted, progress);
            nodes[node].record_local_crash_of_run(crash);
        }
        for (from, to) in [(0, 1), (1, 2), (2, 0), (0, 1), (1, 0), (2, 1), (0, 2)] {
            let report = nodes[from].report();
            nodes[to].merge(&report, false, at(20_000));
        }
        for request in 0..4_u8 {
            let digest = digest(&request.to_string());
            let decisions: Vec<bool> =
                nodes.iter().map(|node| node.quarantined_for(digest, at(20_000)).is_some()).collect();
            prop_assert!(decisions.iter().all(|decision| *decision == decisions[0]), "{:?}", decisions);
        }
    }
}
