//! Guards against a part of prompts that crashes every worker that begins to answer, and against blaming the parts that
//! were only there: the decision, its bounds, and a fleet of gateways that learn of each other's crashes with a delay, at
//! the size of a small fleet and ten times it.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stallmoor_core::serving::crashes::report::{PartCrash, PartReport};
use stallmoor_core::serving::crashes::{CrashLedger, CrashReport, PartDigest, PartLedger, RequestDigest};
use stallmoor_core::serving::request::{PromptPart, shared_parts};
use stallmoor_core::serving::workers::WorkerId;
use stallmoor_core::time::{Millis, UnixMillis};

/// Number of crashes from which a part is quarantined.
const THRESHOLD: u64 = 4;
/// Maximum number of parts that a ledger tracks, of those with few crashes and of the others.
const MAX_TRACKED: (usize, usize) = (16_384, 1_024);
const FIRST_QUARANTINE: Millis = Millis(60_000);

fn at(millis: u64) -> UnixMillis {
    UnixMillis(1_700_000_000_000 + millis)
}

fn part(id: &str) -> PartDigest {
    PartDigest::of("m", id)
}

fn request(number: u64) -> RequestDigest {
    format!("{number:016x}").parse().expect("a digest")
}

fn worker(number: u64) -> WorkerId {
    WorkerId(Arc::from(format!("i-{number}")))
}

/// Returns a crash of a worker of its own, under a request of its own.
fn crash(id: &str, number: u64, position: u32) -> PartCrash {
    let at = at(number * 100);
    PartCrash { part: part(id), worker: worker(number), at, request: request(number), position }
}

fn record(ledger: &mut PartLedger, crash: PartCrash) {
    let now = crash.at;
    ledger.record_local_crash(crash, now);
}

fn crash_times(ledger: &mut PartLedger, id: &str, numbers: std::ops::Range<u64>, position: u32) {
    numbers.for_each(|number| record(ledger, crash(id, number, position)));
}

fn is_quarantined(ledger: &PartLedger, id: &str, now: u64) -> bool {
    ledger.quarantined_for(part(id), at(now)).is_some()
}

/// Guards against quarantines that come too late, or before the crashes suffice.
#[test]
fn a_part_is_quarantined_from_the_fourth_crash_on() {
    let mut ledger = PartLedger::default();
    for number in 0..THRESHOLD {
        assert!(!is_quarantined(&ledger, "bad", 500));
        assert_eq!(ledger.is_near_quarantine(part("bad")), number + 1 == THRESHOLD);
        record(&mut ledger, crash("bad", number, 1));
    }
    assert_eq!(ledger.quarantined_for(part("bad"), at(300)), Some(FIRST_QUARANTINE));
    assert_eq!(ledger.quarantined_for(part("other"), at(300)), None);
    // Crashes of requests that were on their way do not make it longer, those of later trials do.
    record(&mut ledger, crash("bad", 9, 1));
    assert_eq!(ledger.quarantined_for(part("bad"), at(900)), Some(FIRST_QUARANTINE));
    for (trial, millis) in [(1, 70_000), (2, 200_000)] {
        record(&mut ledger, crash("bad", millis / 100, 1));
        let expected = Millis(FIRST_QUARANTINE.0 << trial);
        assert_eq!(ledger.quarantined_for(part("bad"), at(millis)), Some(expected));
    }
}

/// Guards against counting what several requests and gateways see of one crash as several.
#[test]
fn observations_of_one_crash_count_once() {
    let mut ledger = PartLedger::default();
    for observation in 0..40 {
        let seen = PartCrash { at: at(observation), request: request(observation), ..crash("bad", 0, 1) };
        record(&mut ledger, seen);
    }
    assert!(!is_quarantined(&ledger, "bad", 100));
    assert_eq!(ledger.report_up_to(100).crashes.len(), 2, "two requests are enough to tell that there are several");
}

/// Guards against blaming a document for the one request with it whose body crashes workers.
#[test]
fn crashes_of_a_single_request_are_not_attributed_to_its_parts() {
    let mut ledger = PartLedger::default();
    for number in 0..9 {
        record(&mut ledger, PartCrash { request: request(7), ..crash("rare", number, 1) });
    }
    assert!(!is_quarantined(&ledger, "rare", 900));
}

/// Guards against quarantines of parts that many requests hold and that are therefore there whenever a worker crashes.
#[test]
fn a_part_that_a_worker_survived_lately_is_exempt_and_a_later_survival_ends_its_quarantine() {
    let mut ledger = PartLedger::default();
    ledger.record_local_survival(part("shared"), at(0));
    crash_times(&mut ledger, "shared", 1..30, 0);
    assert!(!is_quarantined(&ledger, "shared", 3_000));
    crash_times(&mut ledger, "shared", 101..120, 0);
    assert!(is_quarantined(&ledger, "shared", 12_000), "a survival counts for ten seconds");
    assert_eq!(ledger.record_local_survival(part("shared"), at(12_500)), Some(19));
    assert!(!is_quarantined(&ledger, "shared", 12_500));
}

/// Guards against a gateway that blames a part whose survivals others have seen.
#[test]
fn survivals_seen_by_another_gateway_clear_a_part_here() {
    let (mut ledger, mut other) = (PartLedger::default(), PartLedger::default());
    other.record_local_survival(part("shared"), at(0));
    crash_times(&mut ledger, "shared", 1..9, 0);
    assert!(is_quarantined(&ledger, "shared", 1_000));
    let merged = other.merge(&ledger.report_up_to(100), false, at(1_000));
    assert!(merged.quarantines.is_empty() && merged.has_survivals);
    ledger.merge(&other.report_up_to(100), false, at(1_100));
    assert!(!is_quarantined(&ledger, "shared", 1_100));
}

/// Guards against a restarted gateway that has to learn everything by crashes of its own.
#[test]
fn a_restarted_gateway_knows_what_it_and_others_reported() {
    let mut ledger = PartLedger::default();
    crash_times(&mut ledger, "bad", 0..5, 1);
    for is_local in [true, false] {
        let mut restarted = PartLedger::default();
        restarted.merge(&ledger.report_up_to(100), is_local, at(600));
        assert!(is_quarantined(&restarted, "bad", 600));
        assert_eq!(restarted.report_up_to(100).crashes.is_empty(), !is_local, "others report their own crashes");
    }
}

/// Guards against the parts of sound requests that were on the workers that another part crashed.
#[test]
fn a_part_with_more_crashes_explains_those_of_parts_that_were_only_there() {
    let mut ledger = PartLedger::default();
    crash_times(&mut ledger, "bad", 0..12, 2);
    for (id, numbers) in [("first", 0..11), ("document", 3..9)] {
        crash_times(&mut ledger, id, numbers, 0);
        assert!(!is_quarantined(&ledger, id, 1_200), "{id}");
    }
    assert!(is_quarantined(&ledger, "bad", 1_200));
    // Crashes in which the first part was not there are its own.
    crash_times(&mut ledger, "document", 20..24, 0);
    assert!(is_quarantined(&ledger, "document", 2_500));
}

/// Guards against blaming the first part of all prompts when each crash affected a request with both.
#[test]
fn of_two_parts_with_equal_crashes_the_later_one_is_blamed_and_only_for_a_short_time() {
    let mut ledger = PartLedger::default();
    crash_times(&mut ledger, "first", 0..6, 0);
    crash_times(&mut ledger, "bad", 0..6, 1);
    assert!(!is_quarantined(&ledger, "first", 600));
    let wait = ledger.quarantined_for(part("bad"), at(500)).expect("the later part is quarantined");
    assert!(wait <= Millis(4_000), "the other part may be the cause: {wait:?}");
    // A sound request with the first part settles it.
    ledger.record_local_survival(part("first"), at(1_000));
    assert!(ledger.quarantined_for(part("bad"), at(500)) > Some(Millis(50_000)));
    // So does one more crash with the other part alone.
    let mut ledger = PartLedger::default();
    crash_times(&mut ledger, "one", 0..6, 1);
    crash_times(&mut ledger, "two", 0..6, 1);
    assert!(is_quarantined(&ledger, "one", 600) && is_quarantined(&ledger, "two", 600));
    record(&mut ledger, crash("two", 40, 1));
    assert!(!is_quarantined(&ledger, "one", 4_100) && is_quarantined(&ledger, "two", 4_100));
}

/// Guards against two parts of which one hides the other's crashes for good.
#[test]
fn two_parts_at_once_are_both_quarantined() {
    let mut ledger = PartLedger::default();
    crash_times(&mut ledger, "one", 0..12, 1);
    crash_times(&mut ledger, "two", 6..18, 1);
    assert!(is_quarantined(&ledger, "one", 2_000) && is_quarantined(&ledger, "two", 2_000));
}

/// Guards against all waiting requests being sent when a quarantine ends.
#[test]
fn after_a_quarantine_one_request_is_tried_at_a_time() {
    let mut ledger = PartLedger::default();
    crash_times(&mut ledger, "bad", 0..THRESHOLD, 1);
    let mut admitted = Vec::new();
    for now in (0..90_000).step_by(100) {
        if ledger.admit(part("bad"), 8, at(now)).is_none() {
            admitted.push(now);
        }
    }
    assert!(admitted[0] >= 60_300 && admitted[0] < 64_400, "{admitted:?}");
    assert!(admitted.windows(2).all(|pair| pair[1] - pair[0] >= 2_000), "{admitted:?}");
    assert_eq!(ledger.admit(part("sound"), 8, at(0)), None);
}

/// Guards against trials of all gateways at the same moment.
#[test]
fn nodes_try_again_at_different_times() {
    let first_trial = |seed: u64| {
        let mut ledger = PartLedger::default();
        ledger.set_seed(seed);
        crash_times(&mut ledger, "bad", 0..THRESHOLD, 1);
        (60_000..90_000).step_by(50).find(|now| ledger.admit(part("bad"), 12, at(*now)).is_none())
    };
    let mut times: Vec<u64> = (0..12).map(|seed| first_trial(seed).expect("the part is tried again")).collect();
    times.sort_unstable();
    assert!(times[11] - times[0] >= 2_000, "{times:?}");
}

/// Guards against memory that grows with the number of parts, and against quarantines that unrelated crashes evict.
#[test]
fn parts_are_bounded_and_quarantines_are_not_evicted_by_other_parts() {
    let mut ledger = PartLedger::default();
    crash_times(&mut ledger, "bad", 0..THRESHOLD, 1);
    for number in 0..2 * MAX_TRACKED.0 as u64 {
        let other = PartCrash { at: at(1_000), ..crash(&format!("part-{number}"), number, 1) };
        record(&mut ledger, other);
    }
    assert!(is_quarantined(&ledger, "bad", 1_000));
    assert_eq!(ledger.counts().tracked, MAX_TRACKED.0 + 1);
    for number in 0..2 * MAX_TRACKED.1 {
        crash_times(&mut ledger, &format!("bad-{number}"), 20..20 + THRESHOLD, 1);
    }
    assert_eq!(ledger.counts().suspected, MAX_TRACKED.1);
    assert!(ledger.counts().tracked <= MAX_TRACKED.0 + MAX_TRACKED.1);
}

/// Guards against prompts with many parts, the same part several times, and only one part.
#[test]
fn all_parts_but_the_last_are_shared_and_each_counts_once() {
    let parts = |ids: &[&str]| -> Vec<PromptPart> {
        ids.iter().map(|id| PromptPart { id: Arc::from(*id), tokens: 10 }).collect()
    };
    let shared = shared_parts("m", &parts(&["aa", "bb", "aa", "cc", "own"]));
    let described: Vec<(&str, u32)> = shared.iter().map(|part| (&*part.id, part.position)).collect();
    assert_eq!(described, [("aa", 0), ("bb", 1), ("cc", 3)]);
    assert_eq!(shared[1].digest, part("bb"));
    assert_ne!(shared[1].digest, PartDigest::of("other", "bb"));
    assert!(shared_parts("m", &parts(&["own"])).is_empty() && shared_parts("m", &[]).is_empty());
    let ids: Vec<String> = (0..2_000).map(|number| format!("{number:x}")).collect();
    assert_eq!(shared_parts("m", &parts(&ids.iter().map(String::as_str).collect::<Vec<_>>())).len(), 1_999);
}

/// Guards against records that nodes of earlier versions cannot read, and the other way round.
#[test]
fn reports_without_parts_have_the_former_form() {
    let mut ledger = CrashLedger::default();
    let empty = serde_json::to_string(&ledger.report()).expect("a report");
    assert_eq!(empty, r#"{"crashes":[],"completions":[]}"#);
    assert_eq!(serde_json::from_str::<CrashReport>(&empty).expect("a report"), CrashReport::default());
    crash_times(ledger.parts_mut(), "bad", 0..1, 1);
    let with_parts = serde_json::to_string(&ledger.report()).expect("a report");
    assert!(with_parts.starts_with(r#"{"crashes":[],"completions":[],"parts":{"crashes":[{"part":""#), "{with_parts}");
    assert_eq!(serde_json::from_str::<CrashReport>(&with_parts).expect("a report"), ledger.report());
}

/// Guards against sound requests that are quarantined since they were sent from one crashing worker to the next.
#[test]
fn a_quarantined_part_explains_the_crashes_of_requests_that_were_only_there() {
    let mut ledger = CrashLedger::default();
    crash_times(ledger.parts_mut(), "bad", 0..12, 1);
    for number in 0..3 {
        ledger.record_local_crash(request(77), worker(number), 0, at(number * 100));
    }
    assert_eq!(ledger.quarantined_for(request(77), at(400)), None);
    for number in 20..23 {
        ledger.record_local_crash(request(78), worker(number), 0, at(number * 100));
    }
    assert!(ledger.quarantined_for(request(78), at(2_300)).is_some());
}

/// Interval between two requests of the same kind in the simulated fleet, in milliseconds.
const FATAL_INTERVAL: u64 = 20;
/// Time in which a gateway's report reaches the others, in milliseconds.
const REPORT_DELAY: u64 = 700;
/// Time until a crashed worker is back, in milliseconds.
const RESTART_AFTER: u64 = 1_200;

/// Gateways that send requests to workers and exchange reports with a delay.
struct Fleet {
    ledgers: Vec<PartLedger>,
    /// Time until which each worker is down.
    down_until: Vec<u64>,
    /// Reports on their way, by time of arrival.
    reports: BTreeMap<u64, Vec<(usize, PartReport)>>,
    random: Xoshiro256PlusPlus,
    requests: u64,
}

impl Fleet {
    fn new(gateways: usize, workers: usize) -> Self {
        let mut ledgers: Vec<PartLedger> = (0..gateways).map(|_| PartLedger::default()).collect();
        ledgers.iter_mut().zip(0..).for_each(|(ledger, seed)| ledger.set_seed(seed));
        let random = Xoshiro256PlusPlus::seed_from_u64(5);
        Self { ledgers, down_until: vec![0; workers], reports: BTreeMap::new(), random, requests: 0 }
    }

    /// Delivers the reports that have arrived.
    fn deliver(&mut self, now: u64) {
        while let Some(entry) = self.reports.first_entry().filter(|entry| *entry.key() <= now) {
            for (from, report) in entry.remove() {
                for gateway in (0..self.ledgers.len()).filter(|gateway| *gateway != from) {
                    if self.ledgers[gateway].merge(&report, false, at(now)).has_survivals {
                        self.report(gateway, now);
                    }
                }
            }
        }
    }

    fn report(&mut self, gateway: usize, now: u64) {
        let report = self.ledgers[gateway].report_up_to(500);
        self.reports.entry(now + REPORT_DELAY).or_default().push((gateway, report));
    }

    /// Sends a request and, if its worker crashes, once more. Returns how many workers received it.
    fn send(&mut self, gateway: usize, ids: &[&str], is_fatal: bool, now: u64) -> usize {
        self.requests += 1;
        let own = request(self.requests);
        for attempt in 0..2 {
            let nodes = self.ledgers.len() as u32;
            let ledger = &mut self.ledgers[gateway];
            if ids.iter().any(|id| ledger.admit(part(id), nodes, at(now)).is_some()) {
                return attempt;
            }
            let up: Vec<usize> = (0..self.down_until.len()).filter(|worker| self.down_until[*worker] <= now).collect();
            if up.is_empty() {
                return attempt;
            }
            let chosen = up[self.random.random_range(0..up.len())];
            if !is_fatal {
                for id in ids {
                    ledger.record_local_survival(part(id), at(now));
                }
                return attempt + 1;
            }
            self.down_until[chosen] = now + RESTART_AFTER;
            for (id, position) in ids.iter().zip(0..) {
                let crash =
                    PartCrash { part: part(id), worker: worker(chosen as u64), at: at(now), request: own, position };
                ledger.record_local_crash(crash, at(now));
            }
            self.report(gateway, now);
        }
        2
    }
}

/// Plays the incident: requests with one part come at all gateways beside sound ones with the same first part. Returns how
/// many reached workers later than three seconds after the fifth crash, and the share of sound requests sent at the end.
fn play_incident(gateways: usize, workers: usize) -> (usize, f64) {
    let mut fleet = Fleet::new(gateways, workers);
    let mut fatal_times = Vec::new();
    let (mut sound, mut sound_sent) = (0, 0);
    for now in (0..20_000).step_by(FATAL_INTERVAL as usize) {
        fleet.deliver(now);
        let gateway = fleet.random.random_range(0..gateways);
        let is_sent = fleet.send(gateway, &["first", "document"], false, now) > 0;
        if now >= 10_000 {
            sound += 1;
            sound_sent += usize::from(is_sent);
        }
        if now >= 3_000 {
            let gateway = fleet.random.random_range(0..gateways);
            let places = [["first", "bad", "document"], ["first", "document", "bad"], ["first", "other", "bad"]];
            let place = fleet.random.random_range(0..places.len());
            let sent = fleet.send(gateway, &places[place], true, now);
            fatal_times.extend(std::iter::repeat_n(now, sent));
        }
    }
    let known_at = fatal_times[4] + 3_000;
    let late = fatal_times.iter().filter(|time| **time > known_at).count();
    (late, f64::from(sound_sent as u32) / f64::from(sound))
}

/// Guards against the incident at its size.
#[test]
fn requests_with_a_bad_part_stop_within_three_seconds_and_sound_ones_go_on() {
    let (late, sound) = play_incident(9, 12);
    assert!(late <= 3 && sound > 0.9, "{late} late requests, {sound} of the sound ones");
}

/// Guards against the incident at ten times its size.
#[test]
fn requests_with_a_bad_part_stop_within_three_seconds_in_a_large_fleet() {
    let (late, sound) = play_incident(90, 120);
    assert!(late <= 3 && sound > 0.9, "{late} late requests, {sound} of the sound ones");
}

proptest! {
    #![proptest_config(support::fuzz_config())]

    /// Guards against nodes that decide differently on the same reports, depending on the order in which they come, and
    /// against any crashes by which a part is blamed that workers survived at the time.
    #[test]
    fn reports_in_any_order_lead_to_the_same_decisions(
        crashes in proptest::collection::vec((0..6_usize, 0..20_u64, 0..40_u64, 0..9_u64), 1..60),
        order in any::<u64>(),
    ) {
        let ids = ["a", "b", "c", "d", "e", "survived"];
        let mut reporters: Vec<PartLedger> = (0..3).map(|_| PartLedger::default()).collect();
        for (id, number, time, own) in &crashes {
            let reporter = &mut reporters[(*number % 3) as usize];
            let now = at(time * 300);
            reporter.record_local_survival(part("survived"), at(0));
            let seen = PartCrash {
                part: part(ids[*id]),
                worker: worker(*number),
                at: now,
                request: request(*own),
                position: *id as u32 % 2,
            };
            reporter.record_local_crash(seen, now);
        }
        let reports: Vec<PartReport> = reporters.iter().map(|reporter| reporter.report_up_to(1_000)).collect();
        let merge = |order: &[usize]| {
            let mut ledger = PartLedger::default();
            order.iter().for_each(|index| drop(ledger.merge(&reports[*index], false, at(12_000))));
            ids.map(|id| is_quarantined(&ledger, id, 12_000))
        };
        let mut shuffled = [0, 1, 2, 0];
        shuffled.rotate_left((order % 4) as usize);
        let decisions = merge(&[0, 1, 2]);
        prop_assert_eq!(decisions, merge(&shuffled));
        let survived_for = crashes.iter().filter(|(id, _, time, _)| *id == 5 && time * 300 > 10_000).count();
        prop_assert!(!decisions[5] || survived_for >= THRESHOLD as usize);
    }
}
