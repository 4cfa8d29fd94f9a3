//! Guards against items whose output is continued by workers of another software version, and against a table and a
//! dispatcher that disagree on what is logged of an item that runs again from the start.

use std::net::SocketAddr;
use std::sync::Arc;

use stallmoor_core::serving::configuration::tenant::CallerIdentity;
use stallmoor_core::serving::jobs::command::{
    ItemKey, ItemOrigin, JobCommand, JobItem, JobKey, PartialOutput, Submission,
};
use stallmoor_core::serving::jobs::dispatch::{ContradictedItem, Dispatcher, ItemResumption, RunEnd, item_resumption};
use stallmoor_core::serving::jobs::table::JobTable;
use stallmoor_core::serving::stream_origins::StreamOrigin;
use stallmoor_core::serving::workers::versions::KnownVersions;
use stallmoor_core::serving::workers::{SoftwareVersion, WorkerId, WorkerRecord};
use stallmoor_core::time::{Millis, Timestamp, UnixMillis};

const MAX_ATTEMPTS: u32 = 3;
const JOB_AGE: Millis = Millis(4_000);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn key() -> ItemKey {
    ItemKey { job: JobKey(Arc::from("job")), item: 0 }
}

fn table() -> JobTable {
    let item = JobItem {
        id: Arc::from("item"),
        path: Arc::from("/r/1"),
        headers: Vec::new(),
        body: Arc::from([1, 2]),
        token_count: 5,
    };
    let mut table = JobTable::default();
    table.apply(JobCommand::Accept(Submission { items: vec![item], ..submission() }));
    table
}

/// Returns a submission without items.
fn submission() -> Submission {
    Submission {
        key: key().job,
        route: Arc::from("r"),
        host: Arc::from("h"),
        tenant: None,
        items: Vec::new(),
        configuration_version: 1,
        received_at: UnixMillis(1_000),
        due: Millis(10_000),
        queued_token_limit: None,
    }
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { service: Arc::from("lm"), version: SoftwareVersion::new(version) }
}

/// Returns the output of the first `events` events of a worker.
fn output(events: u64, worker: &str) -> PartialOutput {
    let mut output = PartialOutput::default();
    (1..=events).for_each(|event| output.push(&format!("{worker}{event}"), Some(event)));
    output
}

fn sole(lasted: Millis) -> KnownVersions {
    KnownVersions::Sole { version: SoftwareVersion::new("v1"), lasted }
}

/// Guards against a guess of the version that a former leader received output from.
#[test]
fn output_of_unknown_origin_is_continued_only_if_one_version_has_served_since_the_job_was_received() {
    let decide = |output: &PartialOutput, origin: Option<&StreamOrigin>, versions: &KnownVersions| {
        item_resumption(output, origin, &Arc::from("lm"), versions, JOB_AGE)
    };
    let begun = output(3, "a");
    let known = origin("v2");
    for versions in [KnownVersions::Unknown, KnownVersions::Several, sole(JOB_AGE)] {
        assert_eq!(decide(&PartialOutput::default(), Some(&known), &versions), ItemResumption::Start);
        assert_eq!(decide(&begun, Some(&known), &versions), ItemResumption::At(known.clone()));
    }
    assert_eq!(decide(&begun, None, &sole(JOB_AGE)), ItemResumption::At(origin("v1")));
    for versions in [KnownVersions::Unknown, KnownVersions::Several, sole(Millis(JOB_AGE.0 - 1))] {
        assert_eq!(decide(&begun, None, &versions), ItemResumption::Restart);
    }
}

/// Runs the item until 30 events are received and logged, then discards them.
fn restart_after_progress(table: &mut JobTable, dispatcher: &mut Dispatcher) {
    dispatcher.restart(table);
    let (key, _) = dispatcher.take_next(at(0), UnixMillis(2_000)).expect("an item is ready");
    dispatcher.record_origin(&key, origin("v1"));
    let begun = output(30, "a");
    let progress = dispatcher.progress_of(&key, &begun).expect("progress is due");
    dispatcher.record_proposed_progress(&progress);
    table.apply(JobCommand::Progress(vec![progress]));
    dispatcher.finish_run(&key, &RunEnd::BrokenOff, begun, MAX_ATTEMPTS, at(1_000));
    dispatcher.take_next(at(3_000), UnixMillis(4_000)).expect("an item is ready");
    dispatcher.restart_item(&key);
}

/// Guards against a result that joins the logged output of one version and the rest of another.
#[test]
fn a_restarted_item_is_completed_by_the_output_of_its_last_run_alone() {
    let (mut table, mut dispatcher) = (table(), Dispatcher::default());
    restart_after_progress(&mut table, &mut dispatcher);
    assert_eq!(dispatcher.origin(&key()), None);
    let again = output(30, "b");
    assert_eq!(dispatcher.progress_of(&key(), &again), None, "nothing may be logged before the output is discarded");
    dispatcher.finish_run(&key(), &RunEnd::Completed, again, MAX_ATTEMPTS, at(4_000));
    assert_eq!(dispatcher.uncommitted_results(), vec![]);
    let discard = dispatcher.restarts_due().expect("logged output has to be discarded");
    dispatcher.record_proposed_restarts();
    assert_eq!(dispatcher.restarts_due(), None);
    table.apply(discard);
    for result in dispatcher.uncommitted_results() {
        table.apply(result);
    }
    let page = table.job(&key().job).expect("the job exists").page(0, usize::MAX);
    assert_eq!(page.results.len(), 1);
    assert_eq!(*page.results[0].text, *output(30, "b").text);
}

/// Guards against a restart that is lost with its leader: the next one finds the logged output again.
#[test]
fn a_restart_that_was_not_committed_leaves_the_logged_output() {
    let (mut table, mut dispatcher) = (table(), Dispatcher::default());
    restart_after_progress(&mut table, &mut dispatcher);
    let mut next = Dispatcher::default();
    next.restart(&table);
    let (_, logged) = next.take_next(at(5_000), UnixMillis(6_000)).expect("an item is ready");
    assert_eq!(logged, output(30, "a"));
    assert_eq!(next.origin(&key()), None);
}

/// Guards against discarding what was never logged, and against a command for an item that has ended.
#[test]
fn an_item_without_logged_output_restarts_without_a_command() {
    let (mut table, mut dispatcher) = (table(), Dispatcher::default());
    dispatcher.restart(&table);
    let (key, _) = dispatcher.take_next(at(0), UnixMillis(2_000)).expect("an item is ready");
    dispatcher.finish_run(&key, &RunEnd::BrokenOff, output(3, "a"), MAX_ATTEMPTS, at(100));
    dispatcher.restart_item(&key);
    assert_eq!(dispatcher.restarts_due(), None);
    restart_after_progress(&mut table, &mut dispatcher);
    dispatcher.remove(&key);
    assert_eq!(dispatcher.restarts_due(), None);
    let before = table.clone();
    table.apply(JobCommand::Restart(vec![ItemKey { job: JobKey(Arc::from("other")), item: 7 }]));
    assert_eq!(table, before);
    assert_eq!(table.job(&key.job).and_then(|job| job.partial(0)).map(|partial| partial.last_event), Some(Some(30)));
}

/// Returns a table with one job of `items` items.
fn table_of(items: u32) -> JobTable {
    let item = |index: u32| JobItem {
        id: Arc::from(format!("item-{index}")),
        path: Arc::from("/r/1"),
        headers: Vec::new(),
        body: Arc::from([1, 2]),
        token_count: 5,
    };
    let mut table = JobTable::default();
    table.apply(JobCommand::Accept(Submission { items: (0..items).map(item).collect(), ..submission() }));
    table
}

/// Takes all items and logs 30 events of each, received from workers of two versions in turn. Returns the commands.
fn log_progress_of_all(dispatcher: &mut Dispatcher) -> Vec<JobCommand> {
    let mut progress = Vec::new();
    while let Some((key, _)) = dispatcher.take_next(at(0), UnixMillis(2_000)) {
        dispatcher.record_origin(&key, origin_of(key.item));
        progress.extend(dispatcher.progress_of(&key, &output(30, "a")));
    }
    let origins = dispatcher.origins_of(&progress).expect("the origins are not logged yet");
    dispatcher.record_proposed_origins(&origins);
    assert_eq!(dispatcher.origins_of(&progress), None, "origins are logged once");
    progress.iter().for_each(|item| dispatcher.record_proposed_progress(item));
    vec![origins, JobCommand::Progress(progress)]
}

fn origin_of(item: u32) -> StreamOrigin {
    origin(if item.is_multiple_of(2) { "v1" } else { "v2" })
}

/// Counts the items that the leader of a table has to run from the start while there are several versions.
fn restarts(table: &JobTable) -> usize {
    let mut leader = Dispatcher::default();
    leader.restart(table);
    let mut restarts = 0;
    while let Some((key, logged)) = leader.take_next(at(5_000), UnixMillis(6_000)) {
        let known = leader.origin(&key);
        let service: Arc<str> = Arc::from("lm");
        let resumption = item_resumption(&logged, known, &service, &KnownVersions::Several, JOB_AGE);
        restarts += usize::from(resumption == ItemResumption::Restart);
        assert!(known.is_none_or(|known| *known == origin_of(key.item)), "the output of {key:?} is not of {known:?}");
    }
    restarts
}

/// Guards against a change of leader during a release that discards the output of all items.
#[test]
fn logged_output_survives_a_change_of_leader_while_there_are_several_versions() {
    for items in [300, 600, 1_200] {
        let (mut table, mut dispatcher) = (table_of(items), Dispatcher::default());
        dispatcher.restart(&table);
        for command in log_progress_of_all(&mut dispatcher) {
            table.apply(command);
        }
        assert_eq!(restarts(&table), 0, "{items} items");
        let restored = JobTable::decode(&table.encode()).expect("the snapshot is readable");
        assert_eq!(restarts(&restored), 0, "{items} items, from a snapshot");
    }
}

/// Guards against origins that outlive the output: that of a discarded one, or of an item with a result.
#[test]
fn origins_end_with_the_output_they_belong_to() {
    let (mut table, mut dispatcher) = (table_of(4), Dispatcher::default());
    dispatcher.restart(&table);
    for command in log_progress_of_all(&mut dispatcher) {
        table.apply(command);
    }
    let origin_at = |table: &JobTable, item| table.job(&key().job).and_then(|job| job.origin(item)).cloned();
    let item = |item| ItemKey { job: key().job, item };
    let other = ItemOrigin { key: item(1), origin: origin("v3") };
    table.apply(JobCommand::Origins(vec![other.clone()]));
    assert_eq!(origin_at(&table, 1), Some(origin_of(1)), "logged output does not change its origin");
    table.apply(JobCommand::Restart(vec![item(1)]));
    assert_eq!(origin_at(&table, 1), None);
    table.apply(JobCommand::Origins(vec![other]));
    assert_eq!(origin_at(&table, 1), Some(origin("v3")));
    dispatcher.finish_run(&item(0), &RunEnd::Completed, output(40, "a"), MAX_ATTEMPTS, at(4_000));
    for result in dispatcher.uncommitted_results() {
        table.apply(result);
    }
    assert_eq!(table.job(&key().job).map(|job| job.results.len()), Some(1));
    assert_eq!(origin_at(&table, 0), None);
    table.apply(JobCommand::Origins(vec![ItemOrigin { key: item(0), origin: origin("v3") }]));
    assert_eq!(origin_at(&table, 0), None, "the item has a result");
    let caller = CallerIdentity::Unchecked;
    table.apply(JobCommand::End { job: key().job, caller });
    assert_eq!(origin_at(&table, 2), None);
}

fn worker() -> WorkerId {
    WorkerId(Arc::from("i-1"))
}

fn record_of(version: &str) -> WorkerRecord {
    WorkerRecord {
        id: worker(),
        service: Arc::from("lm"),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        zone: Arc::from("a"),
        version: SoftwareVersion::new(version),
        slots: 8,
        draining: false,
        started_at: None,
        cold_remaining: Millis(0),
    }
}

/// Returns a dispatcher whose item runs since 0 ms at a worker that was chosen by a record of version 1.
fn running() -> (JobTable, Dispatcher) {
    let (table, mut dispatcher) = (table(), Dispatcher::default());
    dispatcher.restart(&table);
    let (key, _) = dispatcher.take_next(at(0), UnixMillis(2_000)).expect("an item is ready");
    dispatcher.record_run(&key, worker(), origin("v1"), at(0));
    (table, dispatcher)
}

fn review(dispatcher: &mut Dispatcher, record: &WorkerRecord, confirmed_ms: u64) -> Vec<ContradictedItem> {
    dispatcher.restart_contradicted(|id| (record.id == *id).then_some(record), at(confirmed_ms))
}

/// Guards against an item that is continued at the version which its worker had before it came back with another one.
#[test]
fn an_item_is_restarted_once_the_record_of_its_worker_names_another_version() {
    let (mut table, mut dispatcher) = running();
    let begun = output(30, "a");
    let progress = dispatcher.progress_of(&key(), &begun).expect("progress is due");
    dispatcher.record_proposed_progress(&progress);
    table.apply(JobCommand::Progress(vec![progress]));
    dispatcher.finish_run(&key(), &RunEnd::Paused, begun, MAX_ATTEMPTS, at(300));
    assert_eq!(review(&mut dispatcher, &record_of("v1"), 1_500), vec![]);
    let restarted = ContradictedItem { key: key(), was_running: false, events: 30 };
    assert_eq!(review(&mut dispatcher, &record_of("v2"), 1_900), vec![restarted]);
    assert_eq!(review(&mut dispatcher, &record_of("v2"), 1_900), vec![], "the item is restarted once");
    assert_eq!(dispatcher.origin(&key()), None);
    table.apply(dispatcher.restarts_due().expect("logged output has to be discarded"));
    assert_eq!(table.job(&key().job).and_then(|job| job.partial(0)), None);
    let (_, left) = dispatcher.take_next(at(3_000), UnixMillis(5_000)).expect("an item is ready");
    assert_eq!(left, PartialOutput::default());
}

/// Guards against items that run on, or whose results are committed, although their worker has another version.
#[test]
fn a_running_item_and_an_unproposed_result_are_restarted() {
    let (_, mut dispatcher) = running();
    let restarted = |was_running, events| vec![ContradictedItem { key: key(), was_running, events }];
    assert_eq!(review(&mut dispatcher, &record_of("v2"), 100), restarted(true, 0));
    dispatcher.take_next(at(200), UnixMillis(2_200)).expect("the item is ready again");
    dispatcher.record_run(&key(), worker(), origin("v1"), at(200));
    dispatcher.finish_run(&key(), &RunEnd::Completed, output(6, "a"), MAX_ATTEMPTS, at(900));
    assert_eq!(review(&mut dispatcher, &record_of("v2"), 1_000), restarted(false, 6));
    assert_eq!(dispatcher.uncommitted_results(), vec![]);
    assert!(dispatcher.has_ready(at(1_000)));
}

/// Guards against items that are run again for nothing: their worker's record was confirmed, or their result proposed.
#[test]
fn confirmed_output_and_proposed_results_stay() {
    let (_, mut dispatcher) = running();
    assert_eq!(review(&mut dispatcher, &record_of("v1"), 2_000), vec![]);
    assert_eq!(review(&mut dispatcher, &record_of("v2"), 5_000), vec![], "the worker came back after the run");
    let (_, mut dispatcher) = running();
    dispatcher.finish_run(&key(), &RunEnd::Completed, output(6, "a"), MAX_ATTEMPTS, at(900));
    let proposed = dispatcher.unproposed_results();
    proposed.iter().for_each(|command| dispatcher.record_proposed_result(command));
    assert_eq!(review(&mut dispatcher, &record_of("v2"), 1_000), vec![]);
    assert_eq!(dispatcher.uncommitted_results(), proposed);
}
