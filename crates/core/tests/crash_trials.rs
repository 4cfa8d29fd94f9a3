//! Tests when a quarantined batch item runs again as a trial.

#[path = "support/crashes.rs"]
mod crashes;

use std::sync::Arc;

use crashes::{at, digest, worker};
use stallmoor_core::serving::crashes::report::Crash;
use stallmoor_core::serving::crashes::{CrashLedger, CrashedRun, ItemAdmission};
use stallmoor_core::time::Millis;

const WORKERS: u32 = 12;

fn crash(request: &str, number: u64, millis: u64, lasted: u64) -> Crash {
    let run = CrashedRun { service: Arc::from("service"), workers: WORKERS, lasted: Millis(lasted), events: 0 };
    Crash { digest: digest(request), worker: worker(number), at: at(millis), progress: 0, run: Some(run) }
}

fn admit(ledger: &mut CrashLedger, request: &str, millis: u64) -> ItemAdmission {
    ledger.admit_item(std::iter::once(digest(request)), at(millis))
}

/// Crashes of three workers by a request, in a calm fleet unless `has_storm`.
fn quarantined(ledger: &mut CrashLedger, request: &str, first_worker: u64, has_storm: bool) {
    if has_storm {
        ledger.record_local_crash_of_run(crash(&format!("other of {request}"), 100 + first_worker, 50, 10));
    }
    for number in 0..3 {
        ledger.record_local_crash_of_run(crash(request, first_worker + number, 100 + 50 * number, 20));
    }
    assert!(ledger.quarantined_for(digest(request), at(250)).is_some());
}

/// Guards against items that wait for minutes although a trial would show that they are sound.
#[test]
fn a_quarantined_item_is_tried_soon_after_its_last_crash() {
    let mut ledger = CrashLedger::default();
    assert_eq!(admit(&mut ledger, "item", 0), ItemAdmission::Runs);
    quarantined(&mut ledger, "item", 0, false);
    assert!(admit(&mut ledger, "item", 300).waits());
    assert_eq!(admit(&mut ledger, "item", 5_200), ItemAdmission::Trial);
    ledger.record_local_completion(digest("item"), at(9_000));
    assert_eq!(admit(&mut ledger, "item", 9_000), ItemAdmission::Runs);
}

/// Plays the trials of an item that crashes each worker. Returns their times in milliseconds.
fn trials_of_fatal(ledger: &mut CrashLedger, until_ms: u64) -> Vec<u64> {
    let mut trials = Vec::new();
    for now in (1_000..until_ms).step_by(100) {
        if admit(ledger, "fatal", now) == ItemAdmission::Trial {
            trials.push(now);
            ledger.record_local_crash_of_run(crash("fatal", 10 + now, now + 100, 20));
        }
    }
    trials
}

/// Maximum time for which a sound item may wait for a trial after its last crash.
const MAX_WAIT_MS: u64 = 13_000;

/// Guards against items that wait for the end of their job because their trials failed, and against trials that crash more
/// than one worker in ten seconds.
#[test]
fn an_item_is_tried_again_soon_after_each_of_its_first_trials() {
    for has_storm in [false, true] {
        let mut ledger = CrashLedger::default();
        quarantined(&mut ledger, "fatal", 0, has_storm);
        let trials = trials_of_fatal(&mut ledger, 80_000);
        assert!(trials.len() >= 6, "{trials:?}");
        assert!(trials.windows(2).all(|pair| (10_000..=MAX_WAIT_MS).contains(&(pair[1] - pair[0]))), "{trials:?}");
    }
}

/// Guards against an item that crashes a worker of a calm fleet every ten seconds until its job ends.
#[test]
fn trials_of_an_item_that_crashes_each_worker_become_rare() {
    for has_storm in [false, true] {
        let mut ledger = CrashLedger::default();
        quarantined(&mut ledger, "fatal", 0, has_storm);
        let trials = trials_of_fatal(&mut ledger, 1_000_000);
        let early = trials.iter().filter(|at| **at < 300_000).count();
        assert!(early <= 14, "{trials:?}");
        let late = trials.iter().filter(|at| **at >= 300_000);
        let gaps: Vec<u64> = late.clone().zip(late.skip(1)).map(|(one, next)| next - one).collect();
        assert!(!gaps.is_empty() && gaps.iter().all(|gap| (60_000..=61_000).contains(gap)), "{trials:?}");
    }
}

/// Guards against trials that mostly fail for other reasons, and against items that are not tried at all while workers crash.
#[test]
fn trials_are_delayed_but_not_stopped_while_other_workers_crash() {
    let mut ledger = CrashLedger::default();
    quarantined(&mut ledger, "item", 0, true);
    let mut tried = None;
    for second in 1..20_u64 {
        ledger.record_local_crash_of_run(crash(&format!("other {second}"), 200 + second, second * 1_000, 500));
        if admit(&mut ledger, "item", second * 1_000 + 500) == ItemAdmission::Trial {
            tried = tried.or(Some(second * 1_000 + 500));
        }
    }
    assert!(tried.is_some_and(|tried| (10_000..=MAX_WAIT_MS).contains(&tried)), "{tried:?}");
}

/// Guards against many workers that crash at once because several requests are tried at the same time.
#[test]
fn one_item_is_tried_at_a_time() {
    let mut ledger = CrashLedger::default();
    quarantined(&mut ledger, "a", 0, false);
    quarantined(&mut ledger, "b", 10, false);
    assert_eq!(admit(&mut ledger, "a", 6_000), ItemAdmission::Trial);
    assert!(admit(&mut ledger, "b", 6_100).waits());
    assert_eq!(admit(&mut ledger, "b", 8_000), ItemAdmission::Trial);
}

/// Guards against an item that keeps others from the only place for trials although its own trial is no longer due.
#[test]
fn an_item_that_is_not_due_takes_no_turn() {
    let mut ledger = CrashLedger::default();
    for (item, first_worker, from) in [("first", 0, 0), ("second", 10, 40_000), ("third", 20, 40_010)] {
        for number in 0..3 {
            ledger.record_local_crash_of_run(crash(item, first_worker + number, from + 50 * number, 20));
        }
    }
    assert_eq!(admit(&mut ledger, "first", 46_000), ItemAdmission::Trial);
    for item in ["second", "third"] {
        assert!(admit(&mut ledger, item, 46_000).waits(), "the only place is taken");
    }
    ledger.record_local_crash_of_run(crash("first", 30, 46_200, 20));
    for now in (46_400..50_400).step_by(200) {
        assert!(["second", "third"].iter().all(|item| admit(&mut ledger, item, now).waits()), "at {now} ms");
    }
    // Another node runs a request like the second item.
    let mut other = CrashLedger::default();
    other.record_local_crash_of_run(crash("second", 31, 50_400, 20));
    ledger.merge(&other.report(), false, at(50_400));
    let tried = (50_400..60_000).step_by(200).find(|now| {
        assert!(admit(&mut ledger, "second", *now).waits(), "its last crash was at 50,400 ms");
        admit(&mut ledger, "third", *now) == ItemAdmission::Trial
    });
    assert!(tried.is_some_and(|tried| tried <= 52_000), "a place is free from 51,200 ms on: {tried:?}");
}
