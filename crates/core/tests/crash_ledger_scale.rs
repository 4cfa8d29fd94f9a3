//! Tests that the crash ledger keeps its decisions, and its cost per crash, on fleets of any size.

#[path = "support/crashes.rs"]
mod crashes;

use crashes::{at, digest, worker};
use stallmoor_core::serving::crashes::{CrashLedger, RequestDigest};

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
    /// Crashes all workers of one zone at `millis`. The requests of each `wave` are different.
    fn crash_zone(self, ledger: &mut CrashLedger, wave: u64, millis: u64) {
        for number in 0..self.total / ZONES {
            for request in 0..SLOTS * DIGESTS_PER_REQUEST {
                let unrelated = digest(&format!("{wave}-{number}-{request}"));
                ledger.record_local_crash(unrelated, worker(number), 0, at(millis));
            }
        }
    }
}

fn crash_by(ledger: &mut CrashLedger, fatal: RequestDigest, crash: u64, millis: u64) {
    ledger.record_local_crash(fatal, worker(FIRST_FATAL_WORKER + crash), 0, at(millis));
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
            fleet.crash_zone(&mut ledger, wave, now);
            assert!(ledger.quarantined_for(fatal, at(now)).is_some(), "{} workers, wave {wave}", fleet.total);
        }
    }
}
