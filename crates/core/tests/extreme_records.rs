//! Feeds the largest and smallest values that readers of outside bytes accept into the tables that compute with them.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use proptest::prelude::*;
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::configuration::tenant::MilliRequests;
use stallmoor_core::serving::configuration::{Route, RouteKind, RouteTarget};
use stallmoor_core::serving::crashes::{CrashLedger, CrashReport};
use stallmoor_core::serving::jobs::command::{JobCommand, JobItem, JobKey, Submission};
use stallmoor_core::serving::jobs::dispatch::Dispatcher;
use stallmoor_core::serving::jobs::load_aggregator::LoadAggregator;
use stallmoor_core::serving::jobs::table::JobTable;
use stallmoor_core::serving::online::attempt::AttemptEnd;
use stallmoor_core::serving::online::timeouts::{AwaitedEvent, EventWait, event_timeout, first_event_timeout};
use stallmoor_core::serving::regions::AllowedRegions;
use stallmoor_core::serving::request::PrefixBlock;
use stallmoor_core::serving::workers::cold_start::ColdStart;
use stallmoor_core::serving::workers::{
    LoadReport, Slowdown, SoftwareVersion, WorkerCount, WorkerId, WorkerLoad, WorkerQuery, WorkerRecord, WorkerReport,
    WorkerTable,
};
use stallmoor_core::time::{Millis, Timestamp, UnixMillis};

const SERVICE: &str = "service";
const SOUND: &str = "sound";
/// IDs of the workers whose records and reports have extreme values.
const ODD: [&str; 2] = ["odd-1", "odd-2"];

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn id(name: &str) -> WorkerId {
    WorkerId(Arc::from(name))
}

fn record(name: &str, slots: u32) -> WorkerRecord {
    WorkerRecord {
        id: id(name),
        service: Arc::from(SERVICE),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: Arc::from("a"),
        version: SoftwareVersion::new("v1"),
        slots,
        draining: false,
        started_at: None,
        cold_remaining: Millis(0),
    }
}

fn query(prefix: &[PrefixBlock]) -> WorkerQuery<'_> {
    WorkerQuery {
        service: SERVICE,
        zone: "a",
        prefix,
        prompt_tokens: u32::MAX,
        body_bytes: usize::MAX,
        tried: &[],
        regions: &AllowedRegions::Any,
        may_run_again: true,
        version: None,
    }
}

fn small_or_extreme() -> impl Strategy<Value = u32> {
    prop_oneof![Just(0), Just(1), Just(8), Just(u32::MAX / 2), Just(u32::MAX - 1), Just(u32::MAX), any::<u32>()]
}

fn extreme_time() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), Just(1), Just(1_700_000_000_000), Just(u64::MAX - 1), Just(u64::MAX), any::<u64>()]
}

#[derive(Clone, Debug)]
enum Step {
    Record { worker: usize, slots: u32, born: Option<u64>, cold: u64, draining: bool },
    Load { worker: usize, running: u32, waiting: u32, slowdown: u32 },
    Full { worker: usize },
    Report { requests: u32, self_reported: Option<u32>, ejected_by: u32, batch: u32, placed: u32, nodes: u32, age: u64 },
    Start { worker: usize, tokens: u32, memory: u64 },
    Fail { worker: usize },
    Served { worker: usize, elapsed: u64 },
    Cold { worker: usize, remaining: u64 },
    Permits { worker: usize, requests: u32 },
    Choose { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let worker = 0..ODD.len();
    prop_oneof![
        (worker.clone(), small_or_extreme(), prop::option::of(extreme_time()), extreme_time(), any::<bool>()).prop_map(
            |(worker, slots, born, cold, draining)| Step::Record { worker, slots: slots.max(1), born, cold, draining }
        ),
        (worker.clone(), small_or_extreme(), small_or_extreme(), small_or_extreme()).prop_map(
            |(worker, running, waiting, slowdown)| Step::Load { worker, running, waiting, slowdown: slowdown.max(1) }
        ),
        worker.clone().prop_map(|worker| Step::Full { worker }),
        (
            small_or_extreme(),
            prop::option::of(small_or_extreme()),
            small_or_extreme(),
            small_or_extreme(),
            small_or_extreme(),
            small_or_extreme(),
            extreme_time()
        )
            .prop_map(|(requests, self_reported, ejected_by, batch, placed, nodes, age)| Step::Report {
                requests,
                self_reported,
                ejected_by,
                batch,
                placed,
                nodes,
                age
            }),
        (worker.clone(), small_or_extreme(), extreme_time()).prop_map(|(worker, tokens, memory)| Step::Start {
            worker,
            tokens,
            memory
        }),
        worker.clone().prop_map(|worker| Step::Fail { worker }),
        (worker.clone(), extreme_time()).prop_map(|(worker, elapsed)| Step::Served { worker, elapsed }),
        (worker.clone(), extreme_time()).prop_map(|(worker, remaining)| Step::Cold { worker, remaining }),
        (worker, small_or_extreme()).prop_map(|(worker, requests)| Step::Permits { worker, requests }),
        (0..3_000_u64).prop_map(|millis| Step::Choose { millis }),
    ]
}

fn load_report(step: &Step) -> Option<LoadReport> {
    let Step::Report { requests, self_reported, ejected_by, batch, placed, nodes, age } = *step else { return None };
    let of = |name: &str| WorkerReport { worker: id(name), requests, self_reported, ejected_by, batch };
    Some(LoadReport {
        workers: ODD.iter().map(|name| of(name)).collect(),
        placed_per_s: placed,
        reporters: nodes,
        nodes,
        age: Millis(age),
        standstill: None,
    })
}

/// Applies a step to the table and asks for everything that the table computes.
fn apply(table: &mut WorkerTable, step: &Step, now: Timestamp, random: &mut Xoshiro256PlusPlus) {
    let blocks =
        |tokens| [PrefixBlock { chain: 1, tokens }, PrefixBlock { chain: 2, tokens }, PrefixBlock { chain: 3, tokens }];
    let of = |table: &WorkerTable, worker: usize| {
        table.record(&id(ODD[worker])).map_or_else(|| record(ODD[worker], 1).incarnation(), WorkerRecord::incarnation)
    };
    match step {
        Step::Record { worker, slots, born, cold, draining } => {
            let started_at = born.map(UnixMillis);
            let odd = record(ODD[*worker], *slots);
            let odd = WorkerRecord { started_at, cold_remaining: Millis(*cold), draining: *draining, ..odd };
            table.apply_record(odd, now);
        }
        Step::Load { worker, running, waiting, slowdown } => {
            let load = WorkerLoad { running: *running, waiting: *waiting, slowdown: Slowdown(*slowdown) };
            table.record_load(&of(table, *worker), load, now);
        }
        Step::Full { worker } => table.mark_full(&of(table, *worker), now),
        Step::Report { .. } => table.apply_report(&load_report(step).expect("a report"), now),
        Step::Start { worker, tokens, memory } => {
            table.record_start(&of(table, *worker), &blocks(*tokens), *memory, now);
            table.record_batch_start(&of(table, *worker));
        }
        Step::Fail { worker } => table.record_attempt_end(&of(table, *worker), AttemptEnd::Failed { status: 500 }, now),
        Step::Served { worker, elapsed } => table.record_success(&of(table, *worker), Millis(*elapsed), now),
        Step::Cold { worker, remaining } => table.mark_cold(&of(table, *worker), Millis(*remaining), now),
        Step::Permits { worker, requests } => {
            table.add_permits(&[WorkerCount { worker: id(ODD[*worker]), requests: *requests }], now + Millis(400));
        }
        Step::Choose { .. } => {}
    }
    let prefix = blocks(u32::MAX);
    let query = query(&prefix);
    if let Some(choice) = table.choose(&query, now, random) {
        table.expected_time_to_first_event(SERVICE, &choice);
    }
    table.choose_for_batch(&query, u32::MAX, now, random);
    table.wanted_permits(&query, now, random);
    table.local_report(now);
    table.excess_batch_items(now);
    for name in ODD {
        table.reports_full(&record(name, 1).incarnation(), now);
        table.describe(&id(name), now);
    }
}

fn route(objective: u64, gap: u64, weights: &[u32]) -> Route {
    Route {
        name: Arc::from("route"),
        host: Arc::from("host"),
        prefix: Arc::from("/"),
        kind: RouteKind::Stream { resumable: true },
        timeout: Millis(u64::MAX),
        objective: Millis(objective),
        gap_target: Some(Millis(gap)),
        max_attempts: u32::MAX,
        targets: weights.iter().map(|weight| RouteTarget { service: Arc::from(SERVICE), weight: *weight }).collect(),
        due: Millis(u64::MAX),
        give_up_after: Some(Millis(u64::MAX)),
        queued_token_limit: None,
        is_public: false,
        regions: AllowedRegions::Any,
    }
}

/// Guards against a job whose due time or token counts are the largest numbers: it must be listed, and its tokens must count.
#[test]
fn job_of_largest_numbers_is_accepted_and_dispatched() {
    let item = |number: u64| JobItem {
        id: Arc::from(format!("item-{number}")),
        path: Arc::from("/"),
        headers: Vec::new(),
        body: Arc::from(Vec::new()),
        token_count: u64::MAX,
    };
    let submission = |key: &str| Submission {
        key: JobKey(Arc::from(key)),
        route: Arc::from("route"),
        host: Arc::from("host"),
        tenant: None,
        items: vec![item(1), item(2)],
        configuration_version: 0,
        received_at: UnixMillis(1_700_000_000_000),
        due: Millis(u64::MAX),
        queued_token_limit: None,
    };
    let mut table = JobTable::default();
    for key in ["job-1", "job-2"] {
        table.apply(JobCommand::Accept(submission(key)));
    }
    assert_eq!(table.open_tokens(&submission("job-1").queue()), u64::MAX);
    let mut dispatcher = Dispatcher::default();
    dispatcher.add_job(table.job(&JobKey(Arc::from("job-1"))).expect("the job is listed"));
    assert!(dispatcher.take_next(at(0), UnixMillis(1_700_000_000_000)).is_some());
}

proptest! {
    #![proptest_config(support::fuzz_config())]

    /// Guards against records, loads and reports whose values overflow in the choice of a worker.
    #[test]
    fn worker_table_computes_with_extreme_values(steps in prop::collection::vec(step(), 1..24), has_cold_start in any::<bool>()) {
        let (mut table, mut random) = (WorkerTable::default(), Xoshiro256PlusPlus::seed_from_u64(7));
        if has_cold_start {
            let limits = ColdStart { per_s: MilliRequests(1), lasts: Millis(u64::MAX) };
            table.set_cold_starts([(Arc::from(SERVICE), limits)].into());
        }
        table.apply_record(record(SOUND, 8), at(0));
        let mut now = 0;
        for step in &steps {
            now += if let Step::Choose { millis } = step { *millis } else { 1 };
            apply(&mut table, step, at(now), &mut random);
        }
        let service = table.ready_service(&id(SOUND));
        prop_assert_eq!(service.as_deref(), Some(SERVICE), "other records must stay");
    }

    /// Guards against reports of other nodes whose sums overflow at the aggregator.
    #[test]
    fn load_sums_hold_extreme_reports(steps in prop::collection::vec(step(), 1..24)) {
        let mut aggregator = LoadAggregator::default();
        for (number, report) in steps.iter().filter_map(load_report).enumerate() {
            let now = at(number as u64 * 10);
            aggregator.record_report(NodeId(number as u64 % 5), report, now);
            aggregator.report_for(NodeId(0), &[WorkerCount { worker: id(ODD[0]), requests: u32::MAX }], now);
            aggregator.zone_report(now);
            aggregator.online_requests(now);
            aggregator.gateways(now);
        }
    }

    /// Guards against a weight or a time of a route that overflows when a request is routed.
    #[test]
    fn routes_compute_with_extreme_values(
        weights in prop::collection::vec(small_or_extreme(), 0..5),
        objective in extreme_time(),
        gap in extreme_time(),
        mean in extreme_time(),
    ) {
        let route = route(objective, gap, &weights);
        let mut random = Xoshiro256PlusPlus::seed_from_u64(7);
        prop_assert_eq!(route.select_service(&mut random).is_some(), !weights.is_empty());
        first_event_timeout(&route, Millis(mean));
        let wait = EventWait { since: at(0), received: usize::MAX };
        let first = AwaitedEvent::First { sent_at: at(0), mean_first: Millis(mean), wait };
        for awaited in [first, AwaitedEvent::Next { wait }] {
            prop_assert!(event_timeout(&route, awaited, at(1)).is_some());
        }
    }

    /// Guards against a crash report with extreme times and counts that overflows in the ledger.
    #[test]
    fn crash_ledger_computes_with_extreme_reports(
        crashes in prop::collection::vec((0..3_u64, 0..4_u64, extreme_time(), extreme_time(), extreme_time(), small_or_extreme()), 0..12),
        completed_at in extreme_time(),
        survived_at in extreme_time(),
    ) {
        let now = UnixMillis(1_700_000_000_000);
        let digest = |number: u64| format!("{number:016x}");
        let requests: Vec<_> = crashes.iter().map(|(request, worker, crashed_at, progress, lasted, workers)| serde_json::json!({
            "digest": digest(*request), "worker": format!("w-{worker}"), "at": crashed_at, "progress": progress,
            "run": {"service": SERVICE, "workers": workers, "lasted": lasted, "events": progress},
        })).collect();
        let parts: Vec<_> = crashes.iter().map(|(request, worker, crashed_at, _, _, position)| serde_json::json!({
            "part": digest(9), "worker": format!("w-{worker}"), "at": crashed_at, "request": digest(*request),
            "position": position,
        })).collect();
        let parts = serde_json::json!({"crashes": parts, "survivals": [{"part": digest(9), "at": survived_at}]});
        let report: CrashReport = serde_json::from_value(serde_json::json!({
            "crashes": requests, "completions": [{"digest": digest(1), "at": completed_at}],
            "parts": parts, "item_parts": parts,
        })).expect("a report");
        for is_local in [false, true] {
            let mut ledger = CrashLedger::default();
            for _ in 0..2 {
                ledger.merge(&report, is_local, now);
                ledger.merge_parts(&report, is_local, now);
                ledger.merge_item_parts(&report, is_local, now);
            }
            for crash in &report.crashes {
                ledger.quarantined_for(crash.digest, now);
                ledger.is_near_quarantine(crash.digest);
                ledger.count(crash.digest);
                ledger.record_local_crash(crash.digest, crash.worker.clone(), u64::MAX, now);
            }
            for crash in &report.parts.crashes {
                ledger.parts().quarantined_for(crash.part, now);
                ledger.parts_mut().admit(crash.part, u32::MAX, now);
                ledger.record_local_survival(crash.part, now);
            }
            ledger.report();
        }
    }
}
