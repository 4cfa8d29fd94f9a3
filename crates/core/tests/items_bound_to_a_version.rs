//! Guards against batch items that wait for longer than what they need explains.

use std::sync::Arc;

use stallmoor_core::serving::jobs::command::{ItemKey, JobCommand, JobItem, JobKey, PartialOutput, Submission};
use stallmoor_core::serving::jobs::dispatch::{Dispatcher, RunEnd, WaitCause, WorkerNeeds};
use stallmoor_core::serving::jobs::table::JobTable;
use stallmoor_core::serving::regions::AllowedRegions;
use stallmoor_core::serving::workers::SoftwareVersion;
use stallmoor_core::time::{Millis, Timestamp, UnixMillis};

/// Time between two events of the service.
const STEP_MS: usize = 15;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn submission(name: &str, due: u64) -> Submission {
    let item = JobItem {
        id: Arc::from(name),
        path: Arc::from("/batch/x"),
        headers: Vec::new(),
        body: Arc::from([0; 10]),
        token_count: 100,
    };
    Submission {
        key: JobKey(Arc::from(name)),
        route: Arc::from("route"),
        host: Arc::from("host"),
        tenant: None,
        items: vec![item],
        configuration_version: 9,
        received_at: UnixMillis(0),
        due: Millis(due),
        queued_token_limit: None,
    }
}

fn dispatcher_of(jobs: &[(&str, u64)]) -> Dispatcher {
    let mut table = JobTable::default();
    for (name, due) in jobs {
        table.apply(JobCommand::Accept(submission(name, *due)));
    }
    let mut dispatcher = Dispatcher::default();
    dispatcher.restart(&table);
    dispatcher
}

fn output_of(events: u64) -> PartialOutput {
    let mut output = PartialOutput::default();
    (1..=events).for_each(|event| output.push("event", Some(event)));
    output
}

fn needs(version: Option<&str>) -> WaitCause {
    let version = version.map(SoftwareVersion::new);
    WaitCause::Worker(WorkerNeeds { service: Arc::from("lm"), version, regions: AllowedRegions::Any })
}

/// Runs a round, as the storage service does, while workers of version v1 are full and others have room. Returns the items
/// that run again from the start.
fn restarted(dispatcher: &mut Dispatcher, millis: u64) -> Vec<ItemKey> {
    let now = at(millis);
    let mut started = Vec::new();
    if !dispatcher.has_ready(now) {
        return started;
    }
    dispatcher.begin_round(9, now);
    while let Some((key, output)) = dispatcher.take_next(now, UnixMillis(millis)) {
        let bound = needs(Some("v1"));
        if !dispatcher.is_held(&bound) {
            dispatcher.record_unmet(&bound, now);
            if dispatcher.may_restart_elsewhere(&key, output.events(), now) {
                dispatcher.restart_item(&key);
                dispatcher.record_start(&key, &needs(None), now);
                started.push(key);
                continue;
            }
        }
        dispatcher.wait_for(&key, output, &bound, now);
    }
    started
}

/// Guards against items with little output that wait for as long as an item with much output that is due earlier may.
#[test]
fn an_item_with_little_output_runs_elsewhere_before_one_with_much_output_may() {
    let mut dispatcher = dispatcher_of(&[("long", 100_000), ("short", 200_000), ("measured", 300_000)]);
    dispatcher.begin_round(9, at(0));
    let taken: Vec<ItemKey> =
        std::iter::from_fn(|| dispatcher.take_next(at(0), UnixMillis(0))).map(|(key, _)| key).collect();
    let [long, short, measured] = &taken[..] else { panic!("three items are ready") };
    dispatcher.finish_run(short, &RunEnd::BrokenOff, output_of(2), 3, at(200));
    dispatcher.finish_run(measured, &RunEnd::Completed, output_of(40), 3, at(4_000));
    dispatcher.remove(measured);
    dispatcher.finish_run(long, &RunEnd::BrokenOff, output_of(40), 3, at(4_000));
    let mut restarts = Vec::new();
    for millis in (4_100..20_000).step_by(STEP_MS) {
        restarts.extend(restarted(&mut dispatcher, millis).into_iter().map(|key| (key.job.0.to_string(), millis)));
    }
    println!("restarts: {restarts:?}");
    let time_of = |name: &str| restarts.iter().find(|(job, _)| job == name).map(|(_, millis)| *millis);
    assert!(time_of("long").is_some_and(|millis| millis >= 8_000), "its output took 4 s: {restarts:?}");
    assert!(time_of("short").is_some_and(|millis| millis <= 4_600), "its output took 0.2 s: {restarts:?}");
}
