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

/// Runs a round, as the storage service does, while workers of version v1 have `slots` free slots and others have room if
/// `has_others`. Returns the items that start, and whether they run again from the start.
fn round(dispatcher: &mut Dispatcher, millis: u64, mut slots: usize, has_others: bool) -> Vec<(ItemKey, bool)> {
    let now = at(millis);
    let mut started = Vec::new();
    if !dispatcher.has_ready(now) {
        return started;
    }
    dispatcher.begin_round(9, now);
    while let Some((key, output)) = dispatcher.take_next(now, UnixMillis(millis)) {
        let (bound, any) = (needs(Some("v1")), needs(None));
        let may_restart = dispatcher.may_restart_elsewhere(&key, output.events(), now);
        let acceptable = if may_restart { vec![bound, any] } else { vec![bound] };
        let widest = acceptable.last().expect("an item needs something").clone();
        let mut found = None;
        for cause in acceptable {
            if dispatcher.is_held(&cause) {
                continue;
            }
            let is_bound = cause == needs(Some("v1"));
            if slots > 0 || (has_others && !is_bound) {
                slots = slots.saturating_sub(1);
                found = Some((cause, !is_bound));
                break;
            }
            dispatcher.record_unmet(&cause, now);
        }
        let Some((cause, is_restart)) = found else {
            dispatcher.wait_for(&key, output, &widest, now);
            continue;
        };
        if is_restart {
            dispatcher.restart_item(&key);
        }
        dispatcher.record_start(&key, &cause, now);
        started.push((key, is_restart));
    }
    started
}

/// Runs a round while workers of version v1 are full and others have room. Returns the items that run again from the start.
fn restarted(dispatcher: &mut Dispatcher, millis: u64) -> Vec<ItemKey> {
    round(dispatcher, millis, 0, true).into_iter().filter(|(_, is_restart)| *is_restart).map(|(key, _)| key).collect()
}

/// Takes all items and lets their runs break off after a number of events, the last one after `events[0]`.
fn break_off(dispatcher: &mut Dispatcher, events: impl Fn(usize) -> u64, millis: u64) -> Vec<ItemKey> {
    dispatcher.begin_round(9, at(0));
    let taken: Vec<ItemKey> =
        std::iter::from_fn(|| dispatcher.take_next(at(0), UnixMillis(0))).map(|(key, _)| key).collect();
    for (number, key) in taken.iter().enumerate() {
        dispatcher.finish_run(key, &RunEnd::BrokenOff, output_of(events(number)), 3, at(millis));
    }
    taken
}

/// Guards against a free slot of a version that goes to an item that could run elsewhere, while one that is due earlier waits
/// for it.
#[test]
fn a_slot_of_a_version_goes_to_the_item_that_is_due_first() {
    let mut dispatcher = dispatcher_of(&[("long", 100_000), ("short", 200_000)]);
    let taken = break_off(&mut dispatcher, |number| [40, 2][number], 4_000);
    for millis in (4_100..5_000).step_by(STEP_MS) {
        assert_eq!(round(&mut dispatcher, millis, 0, false), [], "there is no room at all");
    }
    assert_eq!(round(&mut dispatcher, 5_015, 1, false), [(taken[0].clone(), false)], "the first one goes on");
    assert_eq!(round(&mut dispatcher, 5_030, 1, false), [(taken[1].clone(), false)], "so does the second one");
}

/// Guards against rounds that try all waiting items once they may run elsewhere.
#[test]
fn a_round_without_room_costs_the_same_however_many_items_may_run_elsewhere() {
    const ITEMS: usize = 2_000;
    let names: Vec<String> = (0..ITEMS).map(|number| format!("job-{number:04}")).collect();
    let jobs: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 100_000)).collect();
    let mut dispatcher = dispatcher_of(&jobs);
    break_off(&mut dispatcher, |_| 2, 200);
    let mut taken = Vec::new();
    for millis in (1_000..8_000).step_by(STEP_MS) {
        let now = at(millis);
        dispatcher.begin_round(9, now);
        let mut count = 0;
        while let Some((key, output)) = dispatcher.take_next(now, UnixMillis(millis)) {
            count += 1;
            let may_restart = dispatcher.may_restart_elsewhere(&key, output.events(), now);
            let widest = needs((!may_restart).then_some("v1"));
            if !dispatcher.is_held(&widest) {
                dispatcher.record_unmet(&widest, now);
            }
            dispatcher.wait_for(&key, output, &widest, now);
        }
        taken.push(count);
    }
    let looks: usize = taken.iter().sum();
    println!("{looks} looks in {} rounds", taken.len());
    assert!(looks <= 2 * ITEMS + 3 * taken.len(), "each item once as bound and once as not, then one for each kind");
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
