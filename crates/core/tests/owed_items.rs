//! Plays batch items on a virtual clock after workers crashed under them. Guards against sound items that are never placed
//! again, and against items that crash their workers and take down a fleet because they are tried too often.

#[path = "support/crashes.rs"]
mod crashes;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use crashes::{at, digest, worker};
use stallmoor_core::backoff::Backoff;
use stallmoor_core::serving::crashes::report::Crash;
use stallmoor_core::serving::crashes::{CrashLedger, CrashedRun, ItemAdmission};
use stallmoor_core::time::Millis;

/// Time after the last disruption at which an item counts as lost that neither has a result nor is running.
const FINISH_MS: u64 = 18_000;
/// Time before that in which the item has to run in order not to count as lost.
const HELD_MS: u64 = 5_000;
/// Time after the last crash by which a sound item has to run.
const PLACED_WITHIN_MS: u64 = FINISH_MS - HELD_MS;
/// Interval at which the leader places items, and the delay after a crash until it is known.
const STEP_MS: u64 = 20;
const DETECTION_MS: u64 = 20;
/// Delay of an item after a run without progress.
const RUN_BACKOFF: Backoff = Backoff::new(Millis(40), Millis(640));

/// How an item ends its runs.
#[derive(Clone, Copy, Debug)]
enum Kind {
    /// Its first runs end with crashes of other causes after the given time.
    Struck { times: usize, after_ms: u64 },
    /// Each run crashes the worker after the given time.
    Fatal { after_ms: u64 },
}

#[derive(Clone, Debug)]
struct Item {
    name: String,
    kind: Kind,
    /// Start of the present run.
    running_since: Option<u64>,
    next_check: u64,
    crashed_at: Vec<u64>,
    started_at: Vec<u64>,
    /// Those of the starts that were trials.
    tried_at: Vec<u64>,
    done_at: Option<u64>,
}

impl Item {
    fn new(name: String, kind: Kind) -> Self {
        Self {
            name,
            kind,
            running_since: None,
            next_check: 0,
            crashed_at: Vec::new(),
            started_at: Vec::new(),
            tried_at: Vec::new(),
            done_at: None,
        }
    }

    /// Returns the time after which the present run crashes its worker, if it does.
    fn crash_after(&self) -> Option<u64> {
        match self.kind {
            Kind::Struck { times, after_ms } if self.crashed_at.len() < times => Some(after_ms),
            Kind::Struck { .. } => None,
            Kind::Fatal { after_ms } => Some(after_ms),
        }
    }
}

/// A leader with batch items and unlimited room at its workers.
struct Leader {
    ledger: CrashLedger,
    workers: u32,
    next_worker: u64,
    items: Vec<Item>,
    /// Number of other workers that crash with each crash of an item.
    others_beside: usize,
    /// Interval at which another worker crashes, and the end of these crashes.
    storm: Option<(u64, u64)>,
    run_ms: u64,
    undetected: BTreeMap<u64, Vec<Crash>>,
}

impl Leader {
    fn new(workers: u32, items: Vec<Item>) -> Self {
        let (ledger, undetected) = (CrashLedger::default(), BTreeMap::new());
        Self { ledger, workers, next_worker: 0, items, others_beside: 0, storm: None, run_ms: 4_000, undetected }
    }

    fn play(&mut self, until_ms: u64) {
        for now in (0..until_ms).step_by(STEP_MS as usize) {
            if self.storm.is_some_and(|(interval, end)| now < end && now % interval < STEP_MS) {
                self.crash("of another cause".to_owned(), 500, now);
            }
            for crash in self.undetected.remove(&now).unwrap_or_default() {
                self.ledger.record_local_crash_of_run(crash);
            }
            for index in 0..self.items.len() {
                self.step(index, now);
            }
        }
    }

    fn step(&mut self, index: usize, now: u64) {
        let item = &self.items[index];
        match item.running_since {
            Some(since) if item.crash_after().is_some_and(|after| now >= since + after) => {
                let name = item.name.clone();
                let retries = u32::try_from(item.crashed_at.len()).unwrap_or(u32::MAX);
                self.items[index].running_since = None;
                self.items[index].next_check = now + RUN_BACKOFF.wait(retries).0;
                self.items[index].crashed_at.push(now);
                self.crash(name, now - since, now);
                (0..self.others_beside).for_each(|_| self.crash("other".to_owned(), 500, now));
            }
            Some(since) if now >= since + self.run_ms && item.done_at.is_none() => {
                self.ledger.record_local_completion(digest(&item.name), at(now));
                self.items[index].done_at = Some(now);
            }
            None if item.next_check <= now => self.place(index, now),
            _ => {}
        }
    }

    fn place(&mut self, index: usize, now: u64) {
        let item = &mut self.items[index];
        let admission = self.ledger.admit_item(std::iter::once(digest(&item.name)), at(now));
        match admission {
            ItemAdmission::Waits(wait) => item.next_check = now + wait.check_after(at(now)).0,
            ItemAdmission::Runs | ItemAdmission::Trial => {
                item.running_since = Some(now);
                item.started_at.push(now);
                item.tried_at.extend((admission == ItemAdmission::Trial).then_some(now));
            }
        }
    }

    fn crash(&mut self, name: String, lasted: u64, now: u64) {
        self.next_worker += 1;
        let service = Arc::from("service");
        let run = CrashedRun { service, workers: self.workers, lasted: Millis(lasted), events: 0 };
        let detected = now + DETECTION_MS;
        let crash = Crash {
            digest: digest(&name),
            worker: worker(self.next_worker),
            at: at(detected),
            progress: 0,
            run: Some(run),
        };
        self.undetected.entry(detected).or_default().push(crash);
    }
}

/// Guards against an item that waits for the end of its job because workers crashed under its trials too.
#[test]
fn a_sound_item_is_placed_soon_after_any_number_of_crashes() {
    for times in [3, 5, 6, 8] {
        for others_beside in 0..3 {
            let item = Item::new("item".to_owned(), Kind::Struck { times, after_ms: 40 });
            let mut leader = Leader::new(12, vec![item]);
            leader.others_beside = others_beside;
            leader.play(200_000);
            let item = &leader.items[0];
            let calm = item.crashed_at.last().copied().expect("workers crash under the item");
            let waited = item.started_at.last().map(|started| started.saturating_sub(calm));
            println!("{times} crashes, {others_beside} others beside each: placed after {waited:?} ms");
            assert!(item.done_at.is_some(), "{times} crashes, {others_beside} others: {item:?}");
            assert!(waited.is_some_and(|waited| waited <= PLACED_WITHIN_MS), "{times}, {others_beside}: {item:?}");
        }
    }
}

/// Guards against items that are not tried at all while one worker after the other crashes.
#[test]
fn items_are_done_during_a_storm_that_lasts() {
    const STORM_END_MS: u64 = 36_000;
    let items = (0..8).map(|number| Item::new(format!("item {number}"), Kind::Struck { times: 4, after_ms: 160 }));
    let mut leader = Leader::new(12, items.collect());
    leader.storm = Some((1_100, STORM_END_MS));
    leader.play(80_000);
    for item in &leader.items {
        assert!(item.crashed_at.len() >= 3, "the item is quarantined: {item:?}");
        assert!(item.done_at.is_some_and(|done| done <= STORM_END_MS + FINISH_MS), "{item:?}");
    }
    let in_storm = leader.items.iter().filter(|item| item.done_at.is_some_and(|done| done <= STORM_END_MS)).count();
    println!("{in_storm} of {} items done during the storm", leader.items.len());
    assert!(in_storm > 0, "{:?}", leader.items);
}

/// Quarantines `groups` groups of eight items, each of which occupied three workers that crashed.
fn quarantine_many(leader: &mut Leader, groups: u64) {
    const SPAN_MS: u64 = 12_000;
    for group in 0..groups {
        for crash in 0..3 {
            let crashed_at = (3 * group + crash) * SPAN_MS / (3 * groups) / STEP_MS * STEP_MS;
            leader.next_worker += 1;
            for item in 0..8 {
                let run = CrashedRun {
                    service: Arc::from("service"),
                    workers: leader.workers,
                    lasted: Millis(20),
                    events: 0,
                };
                leader.ledger.record_local_crash_of_run(Crash {
                    digest: digest(&format!("item {}", 8 * group + item)),
                    worker: worker(leader.next_worker),
                    at: at(crashed_at),
                    progress: 0,
                    run: Some(run),
                });
            }
        }
    }
    leader.items.iter_mut().for_each(|item| item.next_check = SPAN_MS);
}

/// Guards against sound items that wait for each other's trials for minutes after a storm.
#[test]
fn many_sound_items_are_placed_soon_after_a_storm() {
    const CALM_FROM_MS: u64 = 12_000;
    for (workers, groups) in [(60, 38), (10_000, 375)] {
        let items =
            (0..8 * groups).map(|number| Item::new(format!("item {number}"), Kind::Struck { times: 0, after_ms: 0 }));
        let mut leader = Leader::new(workers, items.collect());
        quarantine_many(&mut leader, groups);
        let is_quarantined =
            |item: &&Item| leader.ledger.quarantined_for(digest(&item.name), at(CALM_FROM_MS)).is_some();
        assert_eq!(leader.items.iter().filter(is_quarantined).count(), leader.items.len());
        let started = Instant::now();
        leader.play(60_000);
        let last = leader.items.iter().map(|item| item.started_at.first().copied().unwrap_or(u64::MAX)).max();
        let waited = last.map(|last| last.saturating_sub(CALM_FROM_MS));
        println!(
            "{workers} workers, {} items: placed after {waited:?} ms; {:?}",
            leader.items.len(),
            started.elapsed()
        );
        assert!(waited.is_some_and(|waited| waited <= FINISH_MS), "{workers} workers: {waited:?}");
    }
}

/// Time of the first run of the items that crash their workers, when the crashes of the other items are over.
const FATAL_FROM_MS: u64 = 15_000;

/// Returns the number of trials of such items in each of the three minutes from [`FATAL_FROM_MS`] on.
fn trials_per_minute(leader: &Leader) -> [usize; 3] {
    let mut trials = [0; 3];
    let is_fatal = |item: &&Item| matches!(item.kind, Kind::Fatal { .. });
    for started in leader.items.iter().filter(is_fatal).flat_map(|item| &item.tried_at) {
        trials[((started - FATAL_FROM_MS) / 60_000) as usize] += 1;
    }
    trials
}

/// Guards against trials that take down a fleet: because of one item, at most one worker may crash every ten seconds, whatever
/// the size of the fleet, and because of any number of items each worker at most once a minute.
#[test]
fn items_that_crash_workers_are_paced_and_keep_no_sound_item_waiting() {
    for (workers, fatal, after_ms) in
        [(12, 1, 120), (12, 1, 4_000), (12, 2, 120), (48, 1, 120), (48, 1, 4_000), (48, 4, 120)]
    {
        let fatal_item = |number| Item::new(format!("fatal {number}"), Kind::Fatal { after_ms });
        let sound_item = |number| Item::new(format!("sound {number}"), Kind::Struck { times: 3, after_ms: 40 });
        let mut leader = Leader::new(workers, (0..fatal).map(fatal_item).chain((0..8).map(sound_item)).collect());
        leader.run_ms = 6_000;
        for item in leader.items.iter_mut().take(fatal) {
            item.next_check = FATAL_FROM_MS;
        }
        leader.play(FATAL_FROM_MS + 180_000);
        let trials = trials_per_minute(&leader);
        let open = leader.items.iter().skip(fatal).filter(|item| item.done_at.is_none()).count();
        println!(
            "{workers} workers, {fatal} items that crash them after {after_ms} ms: {trials:?} trials in each minute; \
             {open} of 8 sound items left"
        );
        assert!(trials.iter().all(|trials| *trials <= (6 * fatal).min(workers as usize)), "{trials:?}");
        assert_eq!(open, 0, "{workers} workers, {fatal} fatal items");
    }
}
