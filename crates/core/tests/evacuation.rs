//! Tests evacuated zones, cold workers, and region restrictions in worker selection.

use std::net::SocketAddr;
use std::sync::Arc;

use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use stallmoor_core::serving::configuration::tenant::MilliRequests;
use stallmoor_core::serving::online::attempt::AttemptEnd;
use stallmoor_core::serving::regions::{AllowedRegions, RegionMap, RegionName};
use stallmoor_core::serving::workers::cold_start::ColdStart;
use stallmoor_core::serving::workers::{
    Slowdown, SoftwareVersion, WorkerCount, WorkerId, WorkerLoad, WorkerQuery, WorkerRecord, WorkerTable,
};
use stallmoor_core::time::{Millis, Timestamp};

const SERVICE: &str = "service";
const COLD_START: ColdStart = ColdStart { per_s: MilliRequests(20_000), lasts: Millis(3_000) };

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn random() -> Xoshiro256PlusPlus {
    Xoshiro256PlusPlus::seed_from_u64(7)
}

fn zone(name: &str) -> Arc<str> {
    Arc::from(name)
}

fn worker(name: &str, zone: &str) -> WorkerRecord {
    WorkerRecord {
        id: id(name),
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

fn query<'a>(tried: &'a [WorkerId], regions: &'a AllowedRegions) -> WorkerQuery<'a> {
    WorkerQuery {
        service: SERVICE,
        zone: "a",
        prefix: &[],
        prompt_tokens: 0,
        body_bytes: 1_000,
        tried,
        regions,
        may_run_again: true,
        version: None,
    }
}

fn chosen(table: &WorkerTable, millis: u64) -> Option<WorkerId> {
    table.choose(&query(&[], &AllowedRegions::Any), at(millis), &mut random()).map(|choice| choice.id)
}

fn chosen_for_batch(table: &WorkerTable, millis: u64) -> Option<WorkerId> {
    table.choose_for_batch(&query(&[], &AllowedRegions::Any), 0, at(millis), &mut random()).map(|choice| choice.id)
}

fn two_zones() -> WorkerTable {
    let mut table = WorkerTable::default();
    table.set_cold_starts([(Arc::from(SERVICE), COLD_START)].into());
    table.apply_record(worker("near", "a"), at(0));
    table.apply_record(worker("far", "b"), at(0));
    table
}

#[test]
fn evacuated_zone_receives_no_requests_items_or_retries() {
    let mut table = two_zones();
    assert_eq!(chosen(&table, 0), Some(id("near")));
    assert!(table.set_evacuated(&zone("a"), true, at(0)));
    assert_eq!(chosen(&table, 1), Some(id("far")));
    assert_eq!(chosen_for_batch(&table, 1), Some(id("far")));
    let tried = [id("far")];
    let retry = table.choose(&query(&tried, &AllowedRegions::Any), at(1), &mut random());
    assert_eq!(retry.map(|choice| choice.id), None, "not even if no other worker is left");
    assert_eq!(table.ready_count(SERVICE, at(1)), 1);
    assert!(table.is_in_evacuated_zone(&id("near")) && !table.is_in_evacuated_zone(&id("far")));
}

#[test]
fn removed_worker_in_evacuated_zone_is_not_last_resort() {
    let mut table = two_zones();
    table.remove(&id("far"), at(0), at(0));
    table.remove(&id("near"), at(1_000), at(0));
    assert_eq!(chosen(&table, 1), Some(id("near")));
    table.set_evacuated(&zone("a"), true, at(1));
    assert_eq!(chosen(&table, 2), None);
}

#[test]
fn repeated_evacuation_order_has_no_effect() {
    let mut table = two_zones();
    assert!(table.set_evacuated(&zone("a"), true, at(0)));
    assert!(!table.set_evacuated(&zone("a"), true, at(1)));
    assert!(!table.set_evacuated(&zone("b"), false, at(1)), "the zone was not evacuated");
    assert_eq!(chosen(&table, 2), Some(id("far")));
}

#[test]
fn new_workers_in_evacuated_zone_receive_nothing() {
    let mut table = two_zones();
    table.set_evacuated(&zone("a"), true, at(0));
    table.apply_record(worker("later", "a"), at(1));
    assert_eq!(chosen(&table, 2), Some(id("far")));
}

#[test]
fn returning_zone_requires_permits_at_first() {
    let mut table = two_zones();
    table.set_evacuated(&zone("a"), true, at(0));
    assert!(table.set_evacuated(&zone("a"), false, at(5_000)));
    assert_eq!(chosen(&table, 5_001), Some(id("far")), "there is no permit yet");
    let any_query = query(&[], &AllowedRegions::Any);
    assert_eq!(table.wanted_permits(&any_query, at(5_001), &mut random()), [id("near")]);
    table.add_permits(&[WorkerCount { worker: id("near"), requests: 1 }], at(5_400));
    let choice = table.choose(&any_query, at(5_010), &mut random()).expect("there is a permit");
    assert_eq!(choice.id, id("near"));
    table.record_start(&choice.incarnation(), &[], 0, at(5_010));
    table.record_end(&choice.incarnation());
    assert_eq!(chosen(&table, 5_020), Some(id("far")), "the permit was consumed");
    table.add_permits(&[WorkerCount { worker: id("near"), requests: 1 }], at(5_400));
    assert_eq!(chosen(&table, 5_400), Some(id("far")), "the permit expired");
    assert_eq!(chosen(&table, 8_000), Some(id("near")), "the cold start ended");
}

#[test]
fn cold_state_follows_record_responses_and_unreachability() {
    let mut table = two_zones();
    table.apply_record(WorkerRecord { cold_remaining: Millis(2_000), ..worker("near", "a") }, at(0));
    assert_eq!(chosen(&table, 1_999), Some(id("far")));
    assert_eq!(chosen(&table, 2_000), Some(id("near")));
    table.mark_cold(&worker("near", "a").incarnation(), Millis(500), at(2_000));
    assert_eq!(chosen(&table, 2_499), Some(id("far")));
    assert_eq!(chosen(&table, 2_500), Some(id("near")));
    let ejected =
        table.record_failure(&worker("near", "a").incarnation(), false, at(3_000)).expect("the worker is known");
    let recovered_at = 3_000 + ejected.0;
    assert_eq!(chosen(&table, recovered_at + 1), Some(id("far")), "an unreachable worker may have restarted");
    assert_eq!(chosen(&table, recovered_at + 3_000), Some(id("near")));
    table.record_attempt_end(&worker("near", "a").incarnation(), AttemptEnd::Broken, at(10_000));
    assert_eq!(chosen(&table, 11_000), Some(id("near")), "a reachable worker has not restarted");
}

#[test]
fn service_without_cold_start_needs_no_permits() {
    let mut table = two_zones();
    table.set_cold_starts(Default::default());
    table.apply_record(WorkerRecord { cold_remaining: Millis(2_000), ..worker("near", "a") }, at(0));
    assert_eq!(chosen(&table, 1), Some(id("near")));
}

#[test]
fn requests_stay_in_their_regions() {
    let regions = RegionMap::new(
        [("a", "north"), ("b", "south")].map(|(zone, region)| (Arc::from(zone), RegionName::new(region))),
    );
    let mut table = WorkerTable::with_regions(regions);
    table.upsert(worker("near", "a"));
    table.upsert(worker("far", "b"));
    table.upsert(worker("elsewhere", "c"));
    let choose_within = |allowed: &AllowedRegions| {
        let choice = table.choose(&query(&[], allowed), at(0), &mut random());
        let for_batch = table.choose_for_batch(&query(&[], allowed), 0, at(0), &mut random());
        assert_eq!(choice.as_ref().map(|choice| &choice.id), for_batch.as_ref().map(|choice| &choice.id));
        choice.map(|choice| choice.id)
    };
    let only = |names: &[&str]| AllowedRegions::only(names.iter().map(|name| RegionName::new(name)));
    assert_eq!(choose_within(&AllowedRegions::Any), Some(id("near")));
    assert_eq!(choose_within(&only(&["south"])), Some(id("far")));
    assert_eq!(choose_within(&only(&["east"])), None, "no worker is in the allowed region");
    assert_eq!(choose_within(&only(&[])), None);
    let both = only(&["north", "south"]).intersection(&only(&["south", "east"]));
    assert_eq!(choose_within(&both), Some(id("far")), "route and tenant restrictions both apply");
}

#[test]
fn slowed_down_worker_costs_more() {
    let mut table = WorkerTable::default();
    table.upsert(worker("near", "a"));
    table.upsert(worker("other", "a"));
    let reported = |slowdown| WorkerLoad { running: 2, waiting: 0, slowdown: Slowdown(slowdown) };
    table.record_load(&worker("near", "a").incarnation(), reported(400), at(0));
    table.record_load(&worker("other", "a").incarnation(), reported(100), at(0));
    for _ in 0..20 {
        assert_eq!(chosen(&table, 10), Some(id("other")));
    }
}
