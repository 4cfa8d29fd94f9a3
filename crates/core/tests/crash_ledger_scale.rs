//! Tests that the crash ledger keeps its decisions, and its cost per crash, on fleets of any size.

#[path = "support/crashes.rs"]
mod crashes;

use std::sync::Arc;
use std::time::{Duration, Instant};

use crashes::{at, digest, worker};
use stallmoor_core::serving::crashes::report::{Completion, Crash, max_reported_crashes, min_report_interval};
use stallmoor_core::serving::crashes::{CrashLedger, CrashReport, CrashedRun, RequestDigest};
use stallmoor_core::time::Millis;

/// Digests per worker slot: body and prompt.
const DIGESTS_PER_REQUEST: u64 = 2;
const SLOTS: u64 = 8;
/// Share of the workers that crash at once.
const ZONES: u64 = 5;
/// First worker of those that the fatal request crashes, which run nothing else.
const FIRST_FATAL_WORKER: u64 = 1_000_000;

/// Workers of a fleet whose slots are all occupied by different requests.
#[derive(Clone, Copy)]
struct Workers {
    total: u64,
}

const FLEETS: [Workers; 2] = [Workers { total: 130 }, Workers { total: 10_000 }];

impl Workers {
    /// Returns the crashes of all workers of one zone at `millis`. The requests of each `wave` are different.
    fn zone_crashes(self, wave: u64, millis: u64) -> Vec<Crash> {
        let requests = 0..SLOTS * DIGESTS_PER_REQUEST;
        let slots = (0..self.total / ZONES).flat_map(|number| requests.clone().map(move |request| (number, request)));
        slots
            .map(|(number, request)| Crash {
                digest: digest(&format!("{wave}-{number}-{request}")),
                worker: worker(number),
                at: at(millis),
                progress: 0,
                run: Some(CrashedRun {
                    service: Arc::from("service"),
                    workers: self.total as u32,
                    lasted: Millis(300),
                    events: 0,
                }),
            })
            .collect()
    }
}

fn crash_by(ledger: &mut CrashLedger, fatal: RequestDigest, crash: u64, millis: u64) {
    ledger.record_local_crash(fatal, worker(FIRST_FATAL_WORKER + crash), 0, at(millis));
}

fn record_all(ledger: &mut CrashLedger, crashes: Vec<Crash>) {
    for crash in crashes {
        ledger.record_local_crash_of_run(crash);
    }
}

/// Guards against evicting a quarantined request because unrelated requests were on workers that crashed later.
#[test]
fn quarantine_outlasts_crashes_of_unrelated_requests() {
    for fleet in FLEETS {
        let mut ledger = CrashLedger::default();
        let fatal = digest("fatal");
        for crash in 0..3 {
            crash_by(&mut ledger, fatal, crash, crash);
        }
        assert!(ledger.quarantined_for(fatal, at(3)).is_some());
        for wave in 0..6 {
            let now = 1_000 + wave * 5_000;
            record_all(&mut ledger, fleet.zone_crashes(wave, now));
            assert!(ledger.quarantined_for(fatal, at(now)).is_some(), "{} workers, wave {wave}", fleet.total);
        }
    }
}

/// Guards against forgetting the first crashes of a request before the one that quarantines it.
#[test]
fn crashes_are_counted_across_a_zone_crash() {
    for fleet in FLEETS {
        let mut ledger = CrashLedger::default();
        let fatal = digest("fatal");
        for crash in 0..3 {
            let now = crash * 5_000;
            crash_by(&mut ledger, fatal, crash, now);
            assert_eq!(ledger.quarantined_for(fatal, at(now)).is_some(), crash == 2, "{} workers", fleet.total);
            record_all(&mut ledger, fleet.zone_crashes(crash, now + 1_000));
        }
        assert!(ledger.quarantined_for(fatal, at(15_000)).is_some(), "{} workers", fleet.total);
    }
}

/// Guards against quarantined requests that fill the ledger and leave no room for a new one.
#[test]
fn quarantined_requests_leave_room_for_new_ones() {
    let mut ledger = CrashLedger::default();
    let mut report = CrashReport::default();
    for number in 0..40_000_u64 {
        for crash in 0..3 {
            let crash = Crash {
                digest: digest(&number.to_string()),
                worker: worker(crash),
                at: at(crash),
                progress: 0,
                run: None,
            };
            report.crashes.push(crash);
        }
    }
    ledger.merge(&report, false, at(10));
    let fatal = digest("fatal");
    for crash in 0..3 {
        crash_by(&mut ledger, fatal, crash, 1_000 + crash);
    }
    assert!(ledger.quarantined_for(fatal, at(1_003)).is_some());
}

/// Guards against unbounded memory.
#[test]
fn number_of_tracked_requests_is_bounded() {
    let mut ledger = CrashLedger::default();
    for wave in 0..4 {
        record_all(&mut ledger, FLEETS[1].zone_crashes(wave, wave * 1_000));
    }
    let size = ledger.size();
    assert_eq!((size.tracked, size.evicted), (32_768, 4 * 32_000 - 32_768));
    assert_eq!(size.evicted_above_threshold, 0);
    // All of them expire.
    ledger.record_local_crash(digest("later"), worker(0), 0, at(3 * 3_600_000));
    assert_eq!(ledger.size().tracked, 1);
}

/// Guards against reports that displace each other from the metadata store's record of a machine.
#[test]
fn report_contains_the_requests_with_most_crashes() {
    for fleet in FLEETS {
        let mut ledger = CrashLedger::default();
        let (fatal, cleared) = (digest("fatal"), digest("cleared"));
        for crash in 0..3 {
            crash_by(&mut ledger, fatal, crash, crash);
            crash_by(&mut ledger, cleared, 10 + crash, crash);
        }
        ledger.record_local_completion(cleared, at(10));
        record_all(&mut ledger, fleet.zone_crashes(0, 1_000));
        let report = ledger.report_up_to(100);
        assert_eq!(report.crashes.len(), 100);
        assert_eq!(report.crashes.iter().filter(|crash| crash.digest == fatal).count(), 3);
        assert_eq!(report.completions, [Completion { digest: cleared, at: at(10) }]);
        assert_eq!(report, ledger.report_up_to(100), "an unchanged ledger has the same report");
    }
}

/// Guards against crash records whose sum over all machines grows with the number of machines.
#[test]
fn reports_of_all_gateways_together_are_bounded() {
    assert_eq!([0, 1, 64].map(max_reported_crashes), [1_024; 3]);
    for gateways in [250, 835, 2_000] {
        assert!(max_reported_crashes(gateways) * gateways as usize <= 65_536);
    }
    assert_eq!(max_reported_crashes(1_000_000), 32);
}

/// Guards against a zone crash after which all gateways together write more than the metadata store accepts.
#[test]
fn report_interval_grows_with_the_number_of_gateways() {
    let intervals = [0, 1, 250, 835, 2_000].map(min_report_interval);
    assert_eq!(intervals, [0, 1, 250, 835, 1_000].map(Millis));
}

/// Time per crash of merging a zone crash, and per look-up after it. The minimum of several runs excludes pauses of the
/// process.
fn cost_of_zone_crash(fleet: Workers) -> (Duration, Duration) {
    let crashes = fleet.zone_crashes(0, 1_000);
    let fatal = digest("fatal");
    let runs = (0..5).map(|_| {
        let mut ledger = CrashLedger::default();
        for crash in 0..3 {
            crash_by(&mut ledger, fatal, crash, crash);
        }
        let report = CrashReport { crashes: crashes.clone(), ..CrashReport::default() };
        let started = Instant::now();
        ledger.merge(&report, false, at(1_100));
        let merged = started.elapsed() / report.crashes.len() as u32;
        let started = Instant::now();
        for crash in &report.crashes[..400] {
            assert_eq!(ledger.quarantined_for(crash.digest, at(1_100)), None);
        }
        (merged, started.elapsed() / 400)
    });
    runs.reduce(|best, run| (best.0.min(run.0), best.1.min(run.1))).unwrap_or_default()
}

/// Guards against merges and look-ups that visit all tracked requests: per crash they would take 77 times as long on the
/// larger fleet.
#[test]
fn cost_per_crash_does_not_grow_with_the_fleet() {
    let [(small_merge, small_lookup), (large_merge, large_lookup)] = FLEETS.map(cost_of_zone_crash);
    assert!(large_merge < 10 * small_merge, "merge: {small_merge:?}, {large_merge:?}");
    assert!(large_lookup < 10 * small_lookup, "look-up: {small_lookup:?}, {large_lookup:?}");
}

/// Guards against forgetting a recent completion under a high rate of completions, so that a request that many callers
/// send is quarantined.
#[test]
fn recent_completions_are_retained_at_any_rate_of_one_node() {
    for digests_per_s in [200, 3_000] {
        let mut ledger = CrashLedger::default();
        let popular = digest("popular");
        ledger.record_local_completion(popular, at(0));
        for other in 0..9 * digests_per_s {
            ledger.record_local_completion(digest(&other.to_string()), at(other * 1_000 / digests_per_s));
        }
        for crash in 0..3 {
            ledger.record_local_crash(popular, worker(crash), 0, at(9_500));
        }
        assert_eq!(ledger.quarantined_for(popular, at(9_500)), None, "{digests_per_s} digests a second");
    }
}
