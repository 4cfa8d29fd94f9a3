//! Tests how soon workers that crashed and started again receive requests.

use std::net::SocketAddr;
use std::sync::Arc;

use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use stallmoor_core::serving::configuration::tenant::MilliRequests;
use stallmoor_core::serving::online::attempt::AttemptEnd;
use stallmoor_core::serving::regions::AllowedRegions;
use stallmoor_core::serving::workers::cold_start::ColdStart;
use stallmoor_core::serving::workers::permit_grants::PermitGrants;
use stallmoor_core::serving::workers::{
    SoftwareVersion, WorkerCount, WorkerId, WorkerIncarnation, WorkerQuery, WorkerRecord, WorkerTable,
};
use stallmoor_core::time::{Millis, Timestamp};

const SERVICE: &str = "service";
const COLD_START: ColdStart = ColdStart { per_s: MilliRequests(20_000), lasts: Millis(3_000) };
/// Ejection after one failed connection.
const EJECTION_MS: u64 = 1_200;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn random() -> Xoshiro256PlusPlus {
    Xoshiro256PlusPlus::seed_from_u64(7)
}

fn worker(name: &str) -> WorkerRecord {
    WorkerRecord {
        id: WorkerId(Arc::from(name)),
        service: Arc::from(SERVICE),
        address: SocketAddr::from(([10, 0, 0, name.len() as u8], 80)),
        zone: Arc::from("a"),
        slots: 8,
        draining: false,
        started_at: None,
        cold_remaining: Millis(0),
        version: SoftwareVersion::new("v1"),
    }
}

fn incarnation(name: &str) -> WorkerIncarnation {
    worker(name).incarnation()
}

fn query() -> WorkerQuery<'static> {
    WorkerQuery {
        service: SERVICE,
        zone: "a",
        prefix: &[],
        prompt_tokens: 100,
        body_bytes: 1_000,
        tried: &[],
        regions: &AllowedRegions::Any,
        may_run_again: true,
        version: None,
    }
}

fn table_of(names: &[&str]) -> WorkerTable {
    let mut table = WorkerTable::default();
    names.iter().for_each(|name| {
        table.upsert(worker(name));
    });
    table
}

fn is_preferred(table: &WorkerTable, name: &str, millis: u64) -> bool {
    let choice = table.choose(&query(), at(millis), &mut random()).expect("a worker is left");
    choice.id == worker(name).id
}

/// Guards against an ejection that grows with the number of requests that a crashed worker was running.
#[test]
fn requests_in_flight_at_a_crash_count_as_one_failure() {
    for in_flight in [1, 2, 3, 8, 50] {
        let mut table = table_of(&["crashed", "other"]);
        for request in 0..in_flight {
            let ended_at = at(100 + request);
            table.record_ended_attempt(&incarnation("crashed"), AttemptEnd::Broken, at(request), ended_at);
            table.record_ended_attempt(&incarnation("crashed"), AttemptEnd::NotConnected, at(99), ended_at);
        }
        // The other worker is busy, so that only an ejection keeps requests from the restarted one.
        (0..4).for_each(|_| table.record_start(&incarnation("other"), &[], 0, at(200)));
        let restarted_at = 100 + in_flight + EJECTION_MS;
        assert!(!is_preferred(&table, "crashed", 200), "{in_flight} requests in flight: the worker is ejected");
        assert!(is_preferred(&table, "crashed", restarted_at), "{in_flight} requests in flight");
    }
}

/// Guards against repeated failed attempts at a worker that stays down.
#[test]
fn attempts_that_fail_after_an_ejection_prolong_it() {
    let mut table = table_of(&["crashed", "other"]);
    let mut now = 0;
    let mut previous = Millis(0);
    for _ in 0..2 {
        let ejection = table.record_failed_attempt(&incarnation("crashed"), false, at(now), at(now + 10));
        let ejection = ejection.expect("the worker is known");
        assert!(ejection > previous, "{ejection:?} after {previous:?}");
        now += 10 + ejection.0;
        previous = ejection;
    }
}

fn cold_table_of(names: &[&str]) -> WorkerTable {
    let mut table = table_of(names);
    table.set_cold_starts([(Arc::from(SERVICE), COLD_START)].into());
    table
}

fn chosen(table: &WorkerTable, millis: u64) -> Option<WorkerId> {
    table.choose(&query(), at(millis), &mut random()).map(|choice| choice.id)
}

fn permit(name: &str) -> WorkerCount {
    WorkerCount { worker: worker(name).id, requests: 1 }
}

/// Guards against refusing all requests for as long as every worker is ejected, even if the workers are back.
#[test]
fn ejected_workers_are_tried_under_permits_if_no_other_is_left() {
    let mut table = cold_table_of(&["crashed", "other"]);
    table.record_failure(&incarnation("crashed"), false, at(0));
    assert_eq!(table.wanted_permits(&query(), at(100), &mut random()), [], "the other worker is left");
    table.record_failure(&incarnation("other"), false, at(100));
    assert!(table.needs_permit(&query(), at(200)));
    assert_eq!(table.wanted_permits(&query(), at(200), &mut random()).len(), 2);
    assert_eq!(table.wanted_batch_permits(&query(), at(200), &mut random()), [], "items wait for the workers");
    assert_eq!(chosen(&table, 200), None, "there is no permit");
    table.add_permits(&[permit("crashed")], at(600));
    assert_eq!(chosen(&table, 210), Some(worker("crashed").id));
}

/// Guards against a cold period that lasts longer than a cold start after the worker answered again.
#[test]
fn worker_that_answers_is_warm_after_its_cold_start() {
    let mut table = cold_table_of(&["crashed"]);
    let mut now = 0;
    for _ in 0..3 {
        now += table.record_failure(&incarnation("crashed"), false, at(now)).expect("the worker is known").0;
    }
    let answered_at = now - 3_000;
    table.add_permits(&[permit("crashed")], at(answered_at + 10));
    table.record_success(&incarnation("crashed"), Millis(10), at(answered_at));
    assert_eq!(chosen(&table, answered_at + 20), None, "the worker is cold");
    assert_eq!(chosen(&table, answered_at + 3_000), Some(worker("crashed").id));
}

/// Guards against batch items that use up the permits of cold workers while online requests are refused.
#[test]
fn batch_items_leave_the_permits_to_waiting_online_requests() {
    let mut grants = PermitGrants::default();
    grants.reset(at(0));
    let wanted = [worker("cold").id];
    let (mut online, mut batch) = (0, 0);
    // The leader dispatches items with every tick, a gateway requests permits every 100 ms.
    for now in (1_000..6_000).step_by(20) {
        batch += grants.grant_batch(&wanted, |_| Some(COLD_START), at(now)).len();
        if now % 100 == 0 {
            online += grants.grant(&wanted, |_| Some(COLD_START), at(now)).len();
        }
    }
    assert!(online >= 45, "{online} of 50 online requests got a permit, beside {batch} items");
    assert!(batch >= 10, "{batch} items got what 10 requests per second leave of 14");
}
