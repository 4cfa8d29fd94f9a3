//! Simulates gateways that exchange crash reports through the metadata store on a virtual clock, while a request crashes
//! its workers and whole zones crash for other reasons. Guards against the request reaching further workers later than
//! the contact bound after its third crash.

#[path = "support/crashes.rs"]
mod crashes;

use std::collections::{BTreeMap, BTreeSet};

use crashes::{at, digest, worker};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stallmoor_core::serving::crashes::report::{max_reported_crashes, min_report_interval};
use stallmoor_core::serving::crashes::{CrashLedger, CrashReport, RequestDigest};

const SEED: u64 = 49;
const ZONES: u64 = 5;
const SLOTS: u64 = 8;
const DIGESTS_PER_REQUEST: u64 = 2;
/// Interval at which callers send the fatal request, each time to another gateway.
const FATAL_INTERVAL_MS: u64 = 70;
/// Time from the start of a run of the fatal request until its gateway has detected the crash.
const CRASH_DETECTION_MS: u64 = 80;
/// Time from a crash to the write of the record, and from the write to the merge at all other gateways.
const WRITE_DELAY_MS: u64 = 100;
const PROPAGATION_MS: u64 = 300;
/// Interval between the crashes of zones.
const ZONE_CRASH_INTERVAL_MS: u64 = 4_000;
const DURATION_MS: u64 = 17_000;
/// Time within which every gateway in touch has to know the third crash.
const CONTACT_MS: u64 = 5_000;
/// Maximum number of runs after that time.
const MAX_LATE_RUNS: usize = 3;

#[derive(Clone, Copy, Debug)]
struct Sizes {
    workers: u64,
    gateways: usize,
}

/// What happens at a time, in the order in which it is handled.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    ZoneCrash { wave: u64 },
    FatalRequest,
    FatalCrash { gateway: usize, worker: u64 },
    Write { gateway: usize },
    Merge { writer: usize },
}

struct Fleet {
    sizes: Sizes,
    random: Xoshiro256PlusPlus,
    ledgers: Vec<CrashLedger>,
    records: Vec<CrashReport>,
    /// Time before which a gateway must not write its record again.
    next_write: Vec<u64>,
    /// Gateways with a pending write.
    pending: BTreeSet<usize>,
    events: BTreeMap<u64, Vec<Event>>,
    fatal: RequestDigest,
    crashes: Vec<u64>,
    runs: Vec<u64>,
}

impl Fleet {
    fn new(sizes: Sizes) -> Self {
        let mut fleet = Self {
            sizes,
            random: Xoshiro256PlusPlus::seed_from_u64(SEED),
            ledgers: vec![CrashLedger::default(); sizes.gateways],
            records: vec![CrashReport::default(); sizes.gateways],
            next_write: vec![0; sizes.gateways],
            pending: BTreeSet::new(),
            events: BTreeMap::new(),
            fatal: digest("fatal"),
            crashes: Vec::new(),
            runs: Vec::new(),
        };
        for now in (0..DURATION_MS).step_by(FATAL_INTERVAL_MS as usize) {
            fleet.schedule(now, Event::FatalRequest);
        }
        for wave in 0..DURATION_MS / ZONE_CRASH_INTERVAL_MS {
            fleet.schedule((wave + 1) * ZONE_CRASH_INTERVAL_MS, Event::ZoneCrash { wave });
        }
        fleet
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.events.entry(time).or_default().push(event);
    }

    fn run(&mut self) {
        while let Some((now, events)) = self.events.pop_first() {
            for event in events {
                self.handle(event, now);
            }
        }
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::ZoneCrash { wave } => self.crash_zone(wave, now),
            Event::FatalRequest => self.send_fatal(now),
            Event::FatalCrash { gateway, worker } => {
                self.crashes.push(now);
                self.record(gateway, self.fatal, worker, now);
            }
            Event::Write { gateway } => self.write(gateway, now),
            Event::Merge { writer } => self.merge(writer, now),
        }
    }

    /// Crashes the workers of one zone, whose slots are all occupied by requests of random gateways.
    fn crash_zone(&mut self, wave: u64, now: u64) {
        for number in 0..self.sizes.workers / ZONES {
            for slot in 0..SLOTS {
                let gateway = self.random.random_range(0..self.sizes.gateways);
                for part in 0..DIGESTS_PER_REQUEST {
                    let unrelated = digest(&format!("{wave}-{number}-{slot}-{part}"));
                    self.record(gateway, unrelated, number, now);
                }
            }
        }
    }

    fn send_fatal(&mut self, now: u64) {
        let gateway = self.random.random_range(0..self.sizes.gateways);
        if self.ledgers[gateway].quarantined_for(self.fatal, at(now)).is_some() {
            return;
        }
        self.runs.push(now);
        let worker = self.random.random_range(0..self.sizes.workers);
        self.schedule(now + CRASH_DETECTION_MS, Event::FatalCrash { gateway, worker });
    }

    fn record(&mut self, gateway: usize, digest: RequestDigest, number: u64, now: u64) {
        self.ledgers[gateway].record_local_crash(digest, worker(number), 0, at(now));
        if self.pending.insert(gateway) {
            let time = (now + WRITE_DELAY_MS).max(self.next_write[gateway]);
            self.schedule(time, Event::Write { gateway });
        }
    }

    fn write(&mut self, gateway: usize, now: u64) {
        self.pending.remove(&gateway);
        let gateways = self.sizes.gateways as u32;
        self.records[gateway] = self.ledgers[gateway].report_up_to(max_reported_crashes(gateways));
        self.next_write[gateway] = now + min_report_interval(gateways).0;
        self.schedule(now + PROPAGATION_MS, Event::Merge { writer: gateway });
    }

    fn merge(&mut self, writer: usize, now: u64) {
        for (reader, ledger) in self.ledgers.iter_mut().enumerate() {
            if reader != writer {
                ledger.merge(&self.records[writer], false, at(now));
            }
        }
    }
}

#[test]
fn fatal_request_stays_quarantined_while_zones_crash() {
    for sizes in [Sizes { workers: 130, gateways: 20 }, Sizes { workers: 10_000, gateways: 20 }] {
        let mut fleet = Fleet::new(sizes);
        fleet.run();
        assert!(fleet.crashes.len() >= 3, "{sizes:?}");
        let bound = fleet.crashes[2] + CONTACT_MS;
        let late: Vec<u64> = fleet.runs.iter().copied().filter(|started| *started > bound).collect();
        assert!(late.len() <= MAX_LATE_RUNS, "{sizes:?}: third crash at {}, late runs at {late:?}", fleet.crashes[2]);
        for ledger in &fleet.ledgers {
            assert!(ledger.quarantined_for(fleet.fatal, at(DURATION_MS)).is_some(), "{sizes:?}");
            assert_eq!(ledger.size().evicted_above_threshold, 0, "{sizes:?}");
        }
    }
}
