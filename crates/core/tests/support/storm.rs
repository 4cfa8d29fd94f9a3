//! A simulated leader that runs batch items at workers which crash.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stallmoor_core::serving::crashes::report::Crash;
use stallmoor_core::serving::crashes::{CrashLedger, CrashedRun, ItemAdmission};
use stallmoor_core::time::Millis;

use super::crashes::{at, digest, worker};

/// Number of requests that crash their workers in the scenarios with such requests.
pub const FATAL_ITEMS: u64 = 1;

const STEP_MS: u64 = 20;
const SLOTS: usize = 8;
/// Time that an item runs in all, and between two of its events.
const RUN_MS: u64 = 10_000;
const EVENT_MS: u64 = 40;
/// Time from the start of a run of a fatal item to the crash of its worker.
const FATAL_AFTER_MS: u64 = 120;
/// Time from a crash until the leader has detected it, and until another worker takes its place.
const DETECTION_MS: u64 = 20;
const DOWN_MS: u64 = 2_000;
/// Time from a crash until the worker's record is removed.
const RECORD_LAPSE_MS: u64 = 3_600;
/// Items are submitted until then, one for each worker in this interval.
const SUBMITTED_UNTIL_MS: u64 = 30_000;
const SUBMISSION_MS: u64 = 2_000;
/// The storm: a sixth of the workers crash in each interval.
const STORM_MS: std::ops::Range<u64> = 4_000..28_000;
const STORM_INTERVAL_MS: u64 = 1_000;
const STORM_DIVISOR: u64 = 6;
/// Time of the first run of the fatal items.
const FATAL_FROM_MS: u64 = 12_000;
const CONTACT_MS: u64 = 5_000;
const RETRY_MS: u64 = 40;
/// End of the simulation: the submission's end, the time in which waiting items have to be done, and a run.
const END_MS: u64 = 30_000 + 20_000 + RUN_MS;

#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub workers: u64,
    pub has_storm: bool,
    pub fatal_items: u64,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Sound items that are not done at the end.
    pub unfinished: usize,
    /// Sound items that were quarantined at any time.
    pub quarantined: usize,
    /// Most runs of a fatal item.
    pub fatal_runs: usize,
    /// Most runs of a fatal item that began later than the contact bound after its third crash.
    pub late_fatal_runs: usize,
}

#[derive(Clone, Debug)]
struct Item {
    name: String,
    is_fatal: bool,
    done_ms: u64,
    next_run: u64,
    runs: Vec<u64>,
    crashes: Vec<u64>,
    was_quarantined: bool,
}

#[derive(Clone, Debug)]
struct Run {
    item: usize,
    started: u64,
}

#[derive(Clone, Debug)]
struct Worker {
    number: u64,
    up_from: u64,
    runs: Vec<Run>,
}

struct Fleet {
    scenario: Scenario,
    random: Xoshiro256PlusPlus,
    ledger: CrashLedger,
    workers: Vec<Worker>,
    next_worker: u64,
    items: Vec<Item>,
    /// Times at which workers crashed.
    crashed: Vec<u64>,
    /// Number of sound items submitted.
    submitted: u64,
    open: BTreeSet<usize>,
    /// Crashes that are not detected yet, by time of detection.
    undetected: BTreeMap<u64, Vec<(usize, Crash)>>,
}

pub fn play(scenario: Scenario, seed: u64) -> Outcome {
    let workers = (0..scenario.workers).map(|number| Worker { number, up_from: 0, runs: Vec::new() }).collect();
    let mut fleet = Fleet {
        scenario,
        random: Xoshiro256PlusPlus::seed_from_u64(seed),
        ledger: CrashLedger::default(),
        workers,
        next_worker: scenario.workers,
        items: Vec::new(),
        crashed: Vec::new(),
        submitted: 0,
        open: BTreeSet::new(),
        undetected: BTreeMap::new(),
    };
    for now in (0..END_MS).step_by(STEP_MS as usize) {
        fleet.step(now);
    }
    fleet.outcome()
}

impl Fleet {
    fn step(&mut self, now: u64) {
        let submitted = now.min(SUBMITTED_UNTIL_MS) * self.scenario.workers / SUBMISSION_MS;
        while self.submitted < submitted {
            self.submit(format!("item {}", self.submitted), false, now);
            self.submitted += 1;
        }
        if now == FATAL_FROM_MS {
            (0..self.scenario.fatal_items).for_each(|number| self.submit(format!("fatal {number}"), true, now));
        }
        if self.scenario.has_storm && STORM_MS.contains(&now) && now.is_multiple_of(STORM_INTERVAL_MS) {
            self.storm(now);
        }
        self.crash_fatal(now);
        self.finish(now);
        self.detect(now);
        self.dispatch(now);
    }

    fn submit(&mut self, name: String, is_fatal: bool, now: u64) {
        self.open.insert(self.items.len());
        self.items.push(Item {
            name,
            is_fatal,
            done_ms: 0,
            next_run: now,
            runs: Vec::new(),
            crashes: Vec::new(),
            was_quarantined: false,
        });
    }

    fn storm(&mut self, now: u64) {
        for _ in 0..self.scenario.workers / STORM_DIVISOR {
            let up: Vec<usize> = (0..self.workers.len()).filter(|index| self.workers[*index].up_from <= now).collect();
            if !up.is_empty() {
                let crashed = up[self.random.random_range(0..up.len())];
                self.crash(crashed, now);
            }
        }
    }

    fn crash_fatal(&mut self, now: u64) {
        for index in 0..self.workers.len() {
            let is_due = |run: &Run| self.items[run.item].is_fatal && now >= run.started + FATAL_AFTER_MS;
            if self.workers[index].runs.iter().any(is_due) {
                self.crash(index, now);
            }
        }
    }

    fn crash(&mut self, index: usize, now: u64) {
        let records = self.workers.iter().filter(|worker| worker.up_from <= now).count() + self.stale_records(now);
        let number = self.workers[index].number;
        self.crashed.push(now);
        for run in std::mem::take(&mut self.workers[index].runs) {
            let item = &mut self.items[run.item];
            let lasted = now - run.started;
            let events = if item.is_fatal { 0 } else { lasted / EVENT_MS };
            if !item.is_fatal {
                item.done_ms += events * EVENT_MS;
            }
            item.crashes.push(now);
            item.next_run = now + RETRY_MS;
            let crash = Crash {
                digest: digest(&item.name),
                worker: worker(number),
                at: at(now + DETECTION_MS),
                progress: item.done_ms / EVENT_MS,
                run: Some(CrashedRun {
                    service: Arc::from("service"),
                    workers: records as u32,
                    lasted: Millis(lasted),
                    events,
                }),
            };
            self.undetected.entry(now + DETECTION_MS).or_default().push((run.item, crash));
            self.open.insert(run.item);
        }
        self.workers[index] = Worker { number: self.next_worker, up_from: now + DOWN_MS, runs: Vec::new() };
        self.next_worker += 1;
    }

    /// Returns the number of crashed workers whose records are not removed yet.
    fn stale_records(&self, now: u64) -> usize {
        self.crashed.iter().filter(|at| now - **at < RECORD_LAPSE_MS).count()
    }

    fn finish(&mut self, now: u64) {
        for worker in &mut self.workers {
            let items = &mut self.items;
            let ledger = &mut self.ledger;
            worker.runs.retain(|run| {
                let item = &mut items[run.item];
                let is_done = !item.is_fatal && item.done_ms + (now - run.started) >= RUN_MS;
                if is_done {
                    item.done_ms = RUN_MS;
                    ledger.record_local_completion(digest(&item.name), at(now));
                }
                !is_done
            });
        }
    }

    fn detect(&mut self, now: u64) {
        for (_, crash) in self.undetected.remove(&now).unwrap_or_default() {
            self.ledger.record_local_crash_of_run(crash);
        }
    }

    fn dispatch(&mut self, now: u64) {
        for item in self.open.clone() {
            if self.items[item].next_run > now {
                continue;
            }
            let digests = std::iter::once(digest(&self.items[item].name));
            if let ItemAdmission::Waits(wait) = self.ledger.admit_item(digests, at(now)) {
                self.items[item].was_quarantined = true;
                self.items[item].next_run = now + wait.check_after(at(now)).0;
                continue;
            }
            let free = |worker: &&mut Worker| worker.up_from <= now && worker.runs.len() < SLOTS;
            let Some(worker) = self.workers.iter_mut().filter(free).min_by_key(|worker| worker.runs.len()) else {
                return;
            };
            worker.runs.push(Run { item, started: now });
            self.items[item].runs.push(now);
            self.open.remove(&item);
        }
    }

    fn outcome(&self) -> Outcome {
        let (fatal, sound): (Vec<&Item>, Vec<&Item>) = self.items.iter().partition(|item| item.is_fatal);
        let late_runs = |item: &&Item| {
            let third = item.crashes.get(2).copied().unwrap_or(u64::MAX);
            item.runs.iter().filter(|run| **run > third.saturating_add(CONTACT_MS)).count()
        };
        Outcome {
            unfinished: sound.iter().filter(|item| item.done_ms < RUN_MS).count(),
            quarantined: sound.iter().filter(|item| item.was_quarantined).count(),
            fatal_runs: fatal.iter().map(|item| item.runs.len()).max().unwrap_or(0),
            late_fatal_runs: fatal.iter().map(late_runs).max().unwrap_or(0),
        }
    }
}
