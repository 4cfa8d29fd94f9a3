//! Plays batch items under which workers crashed while the clock that times them is set. Guards against items that wait for
//! times which the clock only reaches after minutes.

#[path = "support/crashes.rs"]
mod crashes;

use std::sync::Arc;

use crashes::{at, digest, worker};
use stallmoor_core::serving::crashes::report::Crash;
use stallmoor_core::serving::crashes::{CrashLedger, CrashedRun, ItemAdmission};
use stallmoor_core::time::{Millis, UnixMillis};

/// Time after the last disruption within which a sound item has to run.
const PLACED_WITHIN_MS: u64 = 18_000 - 5_000;
/// Interval at which the leader checks items.
const STEP_MS: u64 = 200;
/// Times by which a clock is ahead before it is corrected. A quarantine lasts longer.
const AHEAD_MS: [u64; 3] = [6_000, 30_000, 240_000];

fn crash(item: &str, number: u64, at: UnixMillis) -> Crash {
    let run = CrashedRun { service: Arc::from("service"), workers: 12, lasted: Millis(20), events: 0 };
    Crash { digest: digest(item), worker: worker(number), at, progress: 0, run: Some(run) }
}

/// Returns a ledger in which three workers crashed under an item.
fn struck(item: &str, first_worker: u64, from_ms: u64) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    strike(&mut ledger, item, first_worker, from_ms);
    ledger
}

fn strike(ledger: &mut CrashLedger, item: &str, first_worker: u64, from_ms: u64) {
    for number in 0..3 {
        ledger.record_local_crash_of_run(crash(item, first_worker + number, at(from_ms + 50 * number)));
    }
}

fn admit(ledger: &mut CrashLedger, item: &str, now_ms: u64) -> ItemAdmission {
    ledger.admit_item(std::iter::once(digest(item)), at(now_ms))
}

/// Returns the time from `from_ms` on after which an item is placed, if it is soon enough.
fn placed_after(ledger: &mut CrashLedger, item: &str, from_ms: u64) -> Option<u64> {
    (0..=PLACED_WITHIN_MS).step_by(STEP_MS as usize).find(|waited| !admit(ledger, item, from_ms + waited).waits())
}

/// Guards against an item that waits until the clock reaches the times of crashes that were recorded while it was ahead.
#[test]
fn a_sound_item_is_placed_soon_after_its_crashes_were_recorded_by_a_clock_that_was_ahead() {
    for ahead in AHEAD_MS {
        let mut ledger = struck("item", 0, 10_000 + ahead);
        let waited = placed_after(&mut ledger, "item", 10_000);
        assert!(waited.is_some(), "recorded here, {ahead} ms ahead: not placed within {PLACED_WITHIN_MS} ms");

        let report = struck("item", 0, 10_000 + ahead).report();
        let mut ledger = CrashLedger::default();
        ledger.merge(&report, false, at(10_000));
        let waited = placed_after(&mut ledger, "item", 10_000);
        assert!(
            waited.is_some(),
            "reported by another node, {ahead} ms ahead: not placed within {PLACED_WITHIN_MS} ms"
        );
    }
}

/// Guards against a trial that keeps its place, so that no other item is tried, until a clock that was ahead reaches its time.
#[test]
fn a_trial_keeps_its_place_no_longer_because_the_clock_was_ahead() {
    for ahead in AHEAD_MS {
        for is_failed in [false, true] {
            let mut ledger = struck("first", 0, 0);
            strike(&mut ledger, "second", 10, 0);
            assert_eq!(admit(&mut ledger, "first", 6_000 + ahead), ItemAdmission::Trial);
            if is_failed {
                ledger.record_local_crash_of_run(crash("first", 20, at(6_100 + ahead)));
            }
            let waited = placed_after(&mut ledger, "second", 6_200);
            assert!(waited.is_some(), "{ahead} ms ahead, failed: {is_failed}: the second item is not tried");
            let waited = placed_after(&mut ledger, "first", 6_200 + waited.unwrap_or_default() + 5_000);
            assert!(waited.is_some(), "{ahead} ms ahead, failed: {is_failed}: the first item is not tried again");
        }
    }
}

/// Guards against trials that are no longer paced once a crash was recorded by a clock that was ahead.
#[test]
fn trials_are_paced_after_crashes_that_were_recorded_by_a_clock_that_was_ahead() {
    let mut ledger = struck("item", 0, 10_000 + 3_600_000);
    let mut trials = 0;
    for now in (10_000..130_000).step_by(STEP_MS as usize) {
        if admit(&mut ledger, "item", now) == ItemAdmission::Trial {
            trials += 1;
            ledger.record_local_crash_of_run(crash("item", 10 + trials, at(now + STEP_MS / 2)));
        }
    }
    assert!((2..=12).contains(&trials), "{trials} trials in two minutes");
}
