//! Tests worker selection: records, ejection, loads, load reports, and the effect of attempt outcomes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use proptest::prelude::*;
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use stallmoor_core::serving::online::attempt::AttemptEnd;
use stallmoor_core::serving::regions::AllowedRegions;
use stallmoor_core::serving::request::{PrefixBlock, PromptPart, hash_prefix};
use stallmoor_core::serving::workers::load_in_transit::{CostSlope, cost_level_after};
use stallmoor_core::serving::workers::service_times::ServiceTimes;
use stallmoor_core::serving::workers::{
    Availability, LoadReport, Slowdown, SoftwareVersion, WorkerChange, WorkerCount, WorkerId, WorkerIncarnation,
    WorkerLoad, WorkerQuery, WorkerRecord, WorkerReport, WorkerTable,
};
use stallmoor_core::time::{Millis, Timestamp, UnixMillis};

const SERVICE: &str = "service";

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn random() -> Xoshiro256PlusPlus {
    Xoshiro256PlusPlus::seed_from_u64(7)
}

fn worker(name: &str, zone: &str) -> WorkerRecord {
    WorkerRecord {
        id: WorkerId(Arc::from(name)),
        service: Arc::from(SERVICE),
        address: SocketAddr::from(([10, 0, 0, name.len() as u8], 80)),
        zone: Arc::from(zone),
        slots: 8,
        draining: false,
        started_at: None,
        cold_remaining: Millis(0),
        version: SoftwareVersion::new("v1"),
    }
}

fn id(name: &str) -> WorkerId {
    WorkerId(Arc::from(name))
}

fn incarnation(name: &str) -> WorkerIncarnation {
    worker(name, "a").incarnation()
}

fn query<'a>(prefix: &'a [PrefixBlock], tried: &'a [WorkerId]) -> WorkerQuery<'a> {
    let prompt_tokens = prefix.iter().map(|block| block.tokens).sum();
    WorkerQuery {
        service: SERVICE,
        zone: "a",
        prefix,
        prompt_tokens,
        body_bytes: 1_000,
        tried,
        regions: &AllowedRegions::Any,
        may_run_again: true,
        version: None,
    }
}

fn choose(table: &WorkerTable, millis: u64) -> Option<WorkerId> {
    table.choose(&query(&[], &[]), at(millis), &mut random()).map(|choice| choice.id)
}

#[test]
fn draining_worker_never_accepts_requests_again() {
    let mut table = WorkerTable::default();
    table.upsert(worker("one", "a"));
    let leaving = WorkerRecord { draining: true, ..worker("one", "a") };
    assert_eq!(table.upsert(leaving), Some(WorkerChange::Draining(id("one"))));
    assert_eq!(choose(&table, 0), None);
    table.upsert(worker("one", "a"));
    assert_eq!(choose(&table, 0), None, "a stale record does not end draining");
    table.remove(&id("one"), at(1_000), at(0));
    assert_eq!(choose(&table, 10), None, "a removed draining worker is not a last resort");
}

#[test]
fn removed_worker_is_last_resort_for_limited_time() {
    let mut table = WorkerTable::default();
    table.upsert(worker("one", "a"));
    table.upsert(worker("three", "a"));
    table.remove(&id("three"), at(1_000), at(0));
    for _ in 0..20 {
        assert_eq!(choose(&table, 100), Some(id("one")));
    }
    table.remove(&id("one"), at(1_200), at(200));
    assert!(choose(&table, 300).is_some(), "a removed worker is the last resort");
    assert_eq!(choose(&table, 1_300), None);
}

#[test]
fn choice_reports_availability_of_worker() {
    let mut table = WorkerTable::default();
    let availability =
        |table: &WorkerTable, now| table.choose(&query(&[], &[]), at(now), &mut random()).map(|c| c.availability);
    table.upsert(worker("one", "a"));
    assert_eq!(availability(&table, 0), Some(Availability::Ready));
    table.mark_missing(&id("one"), at(2_000), at(0));
    assert_eq!(availability(&table, 1), Some(Availability::Missing));
    table.remove(&id("one"), at(1_000), at(2));
    assert_eq!(availability(&table, 3), None, "a missing worker whose record is removed is not a last resort");
    table.upsert(worker("three", "a"));
    table.remove(&id("three"), at(1_000), at(4));
    assert_eq!(availability(&table, 5), Some(Availability::LastResort));
}

#[test]
fn expired_records_can_be_rewritten_after_store_outage() {
    let mut table = WorkerTable::default();
    table.upsert(worker("one", "a"));
    table.upsert(worker("three", "a"));
    assert_eq!(table.mark_missing(&id("one"), at(2_000), at(0)), Some(WorkerChange::Missing(id("one"))));
    assert_eq!(table.mark_missing(&id("three"), at(2_000), at(0)), Some(WorkerChange::Missing(id("three"))));
    assert_eq!(table.ready_count(SERVICE, at(1_999)), 2);
    assert!(choose(&table, 1_999).is_some());
    assert_eq!(table.upsert(worker("one", "a")), Some(WorkerChange::Available(id("one"))));
    assert_eq!(
        table.mark_missing(&id("three"), at(3_000), at(1_000)),
        None,
        "a repeated listing does not extend the deadline"
    );
    assert_eq!(table.ready_count(SERVICE, at(2_000)), 1);
    for _ in 0..20 {
        assert_eq!(choose(&table, 2_000), Some(id("one")));
    }
    table.remove(&id("one"), at(3_000), at(2_000));
    assert_eq!(choose(&table, 3_000), None, "a worker that stayed missing is not a last resort");
}

#[test]
fn draining_worker_does_not_return_after_store_outage() {
    let mut table = WorkerTable::default();
    table.upsert(WorkerRecord { draining: true, ..worker("one", "a") });
    assert_eq!(table.mark_missing(&id("one"), at(2_000), at(0)), None);
    assert_eq!(choose(&table, 1), None);
}

#[test]
fn departed_workers_are_evicted() {
    let mut table = WorkerTable::default();
    let leaving = |name| WorkerRecord { draining: true, ..worker(name, "a") };
    table.upsert(leaving("removed"));
    table.upsert(leaving("lapsed"));
    table.upsert(worker("vanished", "a"));
    table.upsert(leaving("stays"));
    table.remove(&id("removed"), at(1_000), at(0));
    table.mark_missing(&id("lapsed"), at(2_000), at(0));
    table.remove(&id("vanished"), at(1_000), at(0));
    table.upsert(worker("removed", "a"));
    assert_eq!(choose(&table, 10), Some(id("vanished")), "a drained worker does not return");
    table.remove(&id("removed"), at(1_000), at(0));
    table.evict_departed(at(59_999));
    assert!(["removed", "lapsed", "vanished", "stays"].iter().all(|name| table.record(&id(name)).is_some()));
    table.evict_departed(at(60_000));
    assert!(["removed", "lapsed", "vanished"].iter().all(|name| table.record(&id(name)).is_none()));
    assert!(table.record(&id("stays")).is_some(), "the worker's record still exists");
}

#[test]
fn failed_worker_is_ejected_temporarily() {
    let mut table = WorkerTable::default();
    table.upsert(worker("one", "a"));
    table.upsert(worker("three", "b"));
    table.record_failure(&incarnation("one"), true, at(0));
    assert_eq!(choose(&table, 100), Some(id("three")));
    assert_eq!(choose(&table, 400), Some(id("one")), "the local zone is preferred");
    let first = table.record_failure(&incarnation("one"), true, at(400)).expect("the worker is known");
    let second = table.record_failure(&incarnation("one"), true, at(400)).expect("the worker is known");
    assert!(second > first);
    table.record_success(&incarnation("one"), Millis(30), at(500));
    assert_eq!(choose(&table, 501), Some(id("one")));
}

#[test]
fn prompt_goes_to_worker_with_cached_prefix_unless_full() {
    let part = |name: &str, tokens| PromptPart { id: Arc::from(name), tokens };
    let prefix = hash_prefix("m", &[part("shared", 4_000), part("session", 2_000), part("own", 100)]);
    let mut table = WorkerTable::default();
    for name in ["one", "three", "seven77"] {
        table.upsert(worker(name, "a"));
    }
    table.record_start(&incarnation("three"), &prefix, 100_000, at(0));
    table.record_end(&incarnation("three"));
    let chosen =
        |table: &WorkerTable| table.choose(&query(&prefix, &[]), at(10), &mut random()).expect("a worker is available");
    assert_eq!(chosen(&table).id, id("three"));
    assert_eq!(chosen(&table).cached_tokens, 6_100);
    for _ in 0..10 {
        table.record_start(&incarnation("three"), &[], 100_000, at(10));
    }
    assert_ne!(chosen(&table).id, id("three"));
}

#[test]
fn newest_of_peer_and_self_reported_load_decides() {
    let mut table = WorkerTable::default();
    table.upsert(worker("one", "a"));
    table.upsert(worker("three", "a"));
    table.set_shared_loads(&[WorkerCount { worker: id("one"), requests: 6 }], at(0));
    assert_eq!(choose(&table, 10), Some(id("three")));
    table.record_load(
        &incarnation("three"),
        WorkerLoad { running: 8, waiting: 4, slowdown: Slowdown::default() },
        at(10),
    );
    assert_eq!(choose(&table, 15), Some(id("one")), "the load reported by the worker is newer");
    table.set_shared_loads(&[WorkerCount { worker: id("one"), requests: 6 }], at(20));
    assert_eq!(choose(&table, 25), Some(id("three")), "the peer loads are newer");
}

#[test]
fn worker_marked_full_is_avoided() {
    let mut table = WorkerTable::default();
    table.upsert(worker("one", "a"));
    table.upsert(worker("three", "a"));
    table.set_shared_loads(&[WorkerCount { worker: id("three"), requests: 6 }], at(0));
    assert_eq!(choose(&table, 10), Some(id("one")));
    table.mark_full(&incarnation("one"), at(10));
    assert_eq!(choose(&table, 20), Some(id("three")));
}

#[test]
fn self_reported_load_is_used_by_every_node() {
    let mut table = WorkerTable::default();
    table.upsert(worker("one", "a"));
    table.upsert(worker("three", "a"));
    let report = WorkerReport { worker: id("one"), requests: 0, self_reported: Some(12), ejected_by: 0, batch: 0 };
    table.apply_report(&LoadReport { workers: vec![report], ..LoadReport::default() }, at(0));
    assert_eq!(choose(&table, 10), Some(id("three")));
}

#[test]
fn exchange_interval_matches_leader_capacity() {
    let interval = |reporters| LoadReport { reporters, ..LoadReport::default() }.interval();
    assert_eq!(interval(0), Millis(40));
    assert_eq!(interval(6), Millis(40));
    assert_eq!(interval(90), Millis(100));
    for reporters in [90, 180, 270] {
        let per_s = u64::from(reporters) * 1_000 / interval(reporters).0;
        assert!((800..=1_000).contains(&per_s), "{per_s} exchanges per second with {reporters} reporters");
    }
    assert_eq!(interval(u32::MAX), Millis(400), "reports expire soon after the maximum interval");
}

#[test]
fn worker_ejected_by_two_nodes_is_ejected_unless_it_reports_load() {
    let mut table = WorkerTable::default();
    table.upsert(worker("one", "a"));
    table.upsert(worker("three", "b"));
    let apply = |table: &mut WorkerTable, ejected_by, self_reported, millis| {
        let report = WorkerReport { worker: id("one"), requests: 0, self_reported, ejected_by, batch: 0 };
        table.apply_report(&LoadReport { workers: vec![report], ..LoadReport::default() }, at(millis));
    };
    apply(&mut table, 1, None, 0);
    assert_eq!(choose(&table, 10), Some(id("one")), "a single node may itself be partitioned");
    apply(&mut table, 2, Some(1), 20);
    assert_eq!(choose(&table, 30), Some(id("one")), "the worker reported its load to a node");
    apply(&mut table, 2, None, 40);
    assert_eq!(choose(&table, 50), Some(id("three")));
    assert_eq!(table.local_report(at(50)), vec![], "peer ejections are not forwarded");
    assert_eq!(choose(&table, 600), Some(id("one")), "the reported ejection expired");
    apply(&mut table, 2, None, 700);
    table.record_success(&incarnation("one"), Millis(50), at(710));
    assert_eq!(choose(&table, 720), Some(id("one")), "a local success ends the ejection");
    table.record_failure(&incarnation("one"), false, at(800));
    assert_eq!(table.local_report(at(810)).iter().map(|report| report.ejected_by).collect::<Vec<_>>(), vec![1]);
}

/// Guards against nodes with the same stale reports all selecting the same worker.
#[test]
fn nodes_with_the_same_reports_spread_their_requests() {
    const WORKERS: usize = 20;
    const NODES: u64 = 40;
    let mut counts: BTreeMap<WorkerId, u32> = BTreeMap::new();
    for node in 0..NODES {
        let mut table = WorkerTable::default();
        let mut workers = Vec::new();
        for index in 0..WORKERS {
            let name = format!("worker-{index}");
            table.upsert(worker(&name, "a"));
            workers.push(WorkerReport {
                worker: id(&name),
                requests: u32::from(index > 0) * 3,
                self_reported: None,
                ejected_by: 0,
                batch: 0,
            });
        }
        table.apply_report(
            &LoadReport { workers, placed_per_s: 400, reporters: NODES as u32, ..LoadReport::default() },
            at(0),
        );
        let mut random = Xoshiro256PlusPlus::seed_from_u64(node);
        let choice = table.choose(&query(&[], &[]), at(50), &mut random).expect("a worker is available");
        *counts.entry(choice.id).or_default() += 1;
    }
    let most = counts.values().copied().max().unwrap_or(0);
    assert!(most <= 10, "the idle worker got {most} of {NODES} requests");
    assert!(counts.len() >= WORKERS / 2, "only {} workers were selected", counts.len());
}

proptest! {
    /// Raising all workers to the cost level takes exactly the given number of requests.
    #[test]
    fn cost_level_accounts_for_all_requests_in_transit(
        loads in proptest::collection::vec(0_u32..30, 1..40),
        requests in 1.0_f64..500.0,
    ) {
        let slope = |load: &u32| CostSlope {
            cost: f64::from(*load) * 5.0 + f64::from(load.saturating_sub(7)) * 80.0,
            free_slots: f64::from(8_u32.saturating_sub(*load)),
            per_slot: 5.0,
            per_queued: 85.0,
        };
        let slopes: Vec<CostSlope> = loads.iter().map(slope).collect();
        let level = cost_level_after(&slopes, requests).expect("there are workers");
        let placed: f64 = slopes
            .iter()
            .map(|worker| {
                let headroom = (level - worker.cost).max(0.0);
                let in_slots = (headroom / 5.0).min(worker.free_slots);
                in_slots + (headroom - in_slots * 5.0).max(0.0) / 85.0
            })
            .sum();
        prop_assert!((placed - requests).abs() < 1.0, "placed {placed} of {requests} requests");
    }
}

#[test]
fn expected_first_event_is_later_for_each_queued_request() {
    let mut times = ServiceTimes::default();
    assert_eq!(times.expected_time_to_first_event(0, 6), None, "no samples yet");
    times.record_first_event(Millis(20));
    assert_eq!(times.expected_time_to_first_event(3, 6), None);
    times.record_slot_time(Millis(600));
    assert_eq!(times.expected_time_to_first_event(0, 6), Some(Millis(20)));
    assert_eq!(times.expected_time_to_first_event(3, 6), Some(Millis(320)), "one of six slots is freed every 100 ms");
    for _ in 0..30 {
        times.record_slot_time(Millis(600));
    }
    times.record_slot_time(Millis(u64::MAX));
    let later = times.expected_time_to_first_event(1, 6).expect("there are samples");
    assert!(later < Millis(700), "an extreme sample must not dominate the mean: {later:?}");
}

#[test]
fn batch_items_do_not_count_in_queue_position() {
    let mut table = WorkerTable::default();
    table.upsert(worker("one", "a"));
    table.service_times(SERVICE).record_first_event(Millis(20));
    table.service_times(SERVICE).record_slot_time(Millis(800));
    let mut expected = |requests: u32, batch: u32| {
        let report = WorkerReport { worker: id("one"), requests, self_reported: None, ejected_by: 0, batch };
        table.apply_report(&LoadReport { workers: vec![report], ..LoadReport::default() }, at(0));
        let choice = table.choose(&query(&[], &[]), at(0), &mut random()).expect("a worker is available");
        table.expected_time_to_first_event(SERVICE, &choice)
    };
    assert_eq!(expected(7, 0), Some(Millis(20)), "one of eight slots is free");
    assert_eq!(expected(10, 0), Some(Millis(320)), "third in the queue");
    assert_eq!(expected(10, 3), Some(Millis(20)), "three batch items yield their slots");
}

#[test]
fn batch_reserves_slots_for_online_requests() {
    let started = |online_per_s: u32| {
        let mut table = WorkerTable::default();
        table.upsert(worker("one", "a"));
        table.upsert(worker("other", "a"));
        let mut started = 0;
        while let Some(choice) = table.choose_for_batch(&query(&[], &[]), online_per_s, at(0), &mut random()) {
            table.record_start(&choice.incarnation(), &[], 0, at(0));
            started += 1;
            assert!(started <= 16);
        }
        started
    };
    assert_eq!(started(0), 15, "at least one of sixteen slots stays free");
    assert_eq!(started(20), 13, "three online requests arrive within 150 ms");
    assert_eq!(started(1_000), 0);
}

#[test]
fn batch_uses_slots_freed_by_online_requests() {
    let mut table = WorkerTable::default();
    table.upsert(worker("one", "a"));
    let mut may_start = |online: u32, millis: u64| {
        table.set_shared_loads(&[WorkerCount { worker: id("one"), requests: online }], at(millis));
        table.choose_for_batch(&query(&[], &[]), 0, at(millis), &mut random()).is_some()
    };
    assert!(!may_start(8, 0));
    assert!(may_start(2, 60), "only the latest peer loads count");
}

#[test]
fn only_excess_batch_items_are_paused() {
    let mut table = WorkerTable::default();
    table.upsert(worker("one", "a"));
    let mut started = 0;
    while let Some(choice) = table.choose_for_batch(&query(&[], &[]), 0, at(0), &mut random()) {
        table.record_start(&choice.incarnation(), &[], 0, at(0));
        table.record_batch_start(&choice.incarnation());
        started += 1;
        assert!(started <= 8);
    }
    assert_eq!(started, 7, "one of eight slots stays free");
    assert!(table.excess_batch_items(at(0)).is_empty());
    table.set_shared_loads(&[WorkerCount { worker: id("one"), requests: 4 }], at(10));
    assert_eq!(
        table.excess_batch_items(at(10)),
        vec![WorkerCount { worker: id("one"), requests: 3 }],
        "queued online requests displace batch items"
    );
    assert!(table.choose_for_batch(&query(&[], &[]), 0, at(10), &mut random()).is_none());
}

/// Guards against items that start where others were just paused, only to be paused with little output.
#[test]
fn no_items_start_at_a_worker_shortly_after_a_pause_there() {
    let mut table = WorkerTable::default();
    table.upsert(worker("one", "a"));
    table.upsert(worker("two", "a"));
    let chosen = |table: &WorkerTable, millis| {
        let choice = table.choose_for_batch(&query(&[], &[]), 0, at(millis), &mut random());
        choice.map(|choice| choice.id)
    };
    table.record_batch_yield(&id("one"), at(0));
    assert_eq!(chosen(&table, 100), Some(id("two")));
    table.record_batch_yield(&id("two"), at(200));
    assert_eq!(chosen(&table, 499), None, "free slots do not last");
    assert_eq!(chosen(&table, 500), Some(id("one")));
}

#[test]
fn first_event_updates_service_times_only_with_free_slot() {
    let expected_after = |load: u32| {
        let mut table = WorkerTable::default();
        table.upsert(worker("one", "a"));
        table.service_times(SERVICE).record_slot_time(Millis(800));
        table.set_shared_loads(&[WorkerCount { worker: id("one"), requests: load }], at(0));
        let choice = table.choose(&query(&[], &[]), at(0), &mut random()).expect("a worker is available");
        table.record_first_event(SERVICE, &choice, Millis(30), at(100));
        table.set_shared_loads(&[], at(100));
        let choice = table.choose(&query(&[], &[]), at(100), &mut random()).expect("a worker is available");
        table.expected_time_to_first_event(SERVICE, &choice)
    };
    assert_eq!(expected_after(7), Some(Millis(30)));
    assert_eq!(expected_after(8), None, "queueing time is not part of the service time");
}

#[test]
fn attempt_outcome_determines_worker_state() {
    let chosen_after = |end: AttemptEnd, millis: u64| {
        let mut table = WorkerTable::default();
        table.upsert(worker("one", "a"));
        table.upsert(worker("three", "b"));
        table.record_attempt_end(&incarnation("one"), end, at(0));
        choose(&table, millis)
    };
    for end in [AttemptEnd::Broken, AttemptEnd::Silent, AttemptEnd::Failed { status: 500 }] {
        assert_eq!(chosen_after(end, 299), Some(id("three")), "{end:?}: ejected");
        assert_eq!(chosen_after(end, 300), Some(id("one")), "{end:?}");
    }
    assert_eq!(
        chosen_after(AttemptEnd::NotConnected, 1_199),
        Some(id("three")),
        "unreachable workers are ejected longer"
    );
    assert_eq!(chosen_after(AttemptEnd::NotConnected, 1_200), Some(id("one")));
    assert_eq!(chosen_after(AttemptEnd::NotRun { other_instance: false }, 1_999), Some(id("three")), "full");
    assert_eq!(chosen_after(AttemptEnd::NotRun { other_instance: false }, 2_000), Some(id("one")));
    assert_eq!(
        chosen_after(AttemptEnd::NotRun { other_instance: true }, 2_000),
        Some(id("three")),
        "permanently removed"
    );
}

fn worker_started_at(name: &str, started_at: u64) -> WorkerRecord {
    WorkerRecord { started_at: Some(UnixMillis(started_at)), ..worker(name, "a") }
}

#[test]
fn newer_incarnation_discards_previous_state() {
    let mut table = WorkerTable::default();
    let (before, after) = (worker_started_at("one", 5_000), worker_started_at("one", 9_000));
    table.upsert(before.clone());
    table.record_start(&before.incarnation(), &[], 0, at(0));
    table.record_load(
        &before.incarnation(),
        WorkerLoad { running: 8, waiting: 8, slowdown: Slowdown::default() },
        at(0),
    );
    for _ in 0..4 {
        table.record_failure(&before.incarnation(), true, at(0));
    }
    table.upsert(WorkerRecord { draining: true, ..before.clone() });
    assert_eq!(choose(&table, 1), None);
    assert_eq!(
        table.upsert(after.clone()),
        Some(WorkerChange::Available(id("one"))),
        "the worker restarted under the same id"
    );
    let choice = table.choose(&query(&[], &[]), at(1), &mut random()).expect("the worker accepts requests");
    assert_eq!(
        (choice.load, choice.started_at),
        (0, after.started_at),
        "the new incarnation has no load and is not ejected"
    );
    // Ends of requests to the previous incarnation, and its record, do not affect this one.
    table.record_start(&after.incarnation(), &[], 0, at(2));
    table.record_end(&before.incarnation());
    table.record_failure(&before.incarnation(), true, at(2));
    table.record_attempt_end(&before.incarnation(), AttemptEnd::NotRun { other_instance: true }, at(2));
    assert_eq!(table.upsert(before), None);
    let choice = table.choose(&query(&[], &[]), at(3), &mut random()).expect("the worker accepts requests");
    assert_eq!((choice.load, choice.started_at), (1, after.started_at));
    table.record_failure(&after.incarnation(), true, at(3));
    assert_eq!(
        table.record_failure(&after.incarnation(), true, at(3)),
        Some(Millis(600)),
        "failures are counted per incarnation"
    );
}

#[test]
fn worker_without_start_time_keeps_one_incarnation() {
    let mut table = WorkerTable::default();
    table.upsert(worker("one", "a"));
    table.record_start(&incarnation("one"), &[], 0, at(0));
    // A record that newly includes the start time describes the same worker.
    table.upsert(worker_started_at("one", 5_000));
    table.record_end(&incarnation("one"));
    let choice = table.choose(&query(&[], &[]), at(1), &mut random()).expect("the worker accepts requests");
    assert_eq!((choice.load, choice.started_at), (0, Some(UnixMillis(5_000))));
    table.upsert(worker("one", "a"));
    assert_eq!(table.record(&id("one")).and_then(|record| record.started_at), Some(UnixMillis(5_000)));
    assert_eq!(table.upsert(worker_started_at("one", 4_999)), None, "a record with an earlier start time is stale");
}

#[test]
fn latest_incarnation_wins_in_any_order() {
    let incarnations =
        [worker_started_at("one", 1_000), worker_started_at("one", 1_200), worker_started_at("one", 1_300)];
    for order in [[0, 1, 2], [0, 2, 1], [2, 1, 0], [1, 0, 2], [1, 2, 0], [2, 0, 1]] {
        let mut table = WorkerTable::default();
        for index in order {
            table.upsert(incarnations[index].clone());
        }
        assert_eq!(table.record(&id("one")), Some(&incarnations[2]), "{order:?}");
        table.remove(&id("one"), at(0), at(0));
        assert_eq!(table.upsert(incarnations[1].clone()), None, "{order:?}");
        assert_eq!(choose(&table, 10), None, "an earlier incarnation does not restore a removed later one");
    }
}
