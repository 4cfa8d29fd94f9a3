//! The number of failed runs of an item must survive a change of leader: in the log, in snapshots, and next to replicas
//! of versions that do not know the count.

use std::sync::Arc;

use stallmoor_core::serving::jobs::command::{
    ItemFailures, ItemKey, ItemState, JobCommand, JobItem, JobKey, LoggedOutput, Submission,
};
use stallmoor_core::serving::jobs::dispatch::{Dispatcher, RunEnd};
use stallmoor_core::serving::jobs::table::JobTable;
use stallmoor_core::time::{Millis, Timestamp, UnixMillis};

const MAX_ATTEMPTS: u32 = 3;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn key(item: u32) -> ItemKey {
    ItemKey { job: JobKey(Arc::from("job")), item }
}

fn submission() -> Submission {
    let item = |id: &str| JobItem {
        id: Arc::from(id),
        path: Arc::from("/r/1"),
        headers: Vec::new(),
        body: Arc::from([1, 2]),
        token_count: 5,
    };
    Submission {
        key: key(0).job,
        route: Arc::from("r"),
        host: Arc::from("h"),
        tenant: None,
        items: vec![item("first"), item("second")],
        configuration_version: 1,
        received_at: UnixMillis(1_000),
        due: Millis(10_000),
        queued_token_limit: None,
    }
}

fn table() -> JobTable {
    let mut table = JobTable::default();
    table.apply(JobCommand::Accept(submission()));
    table
}

fn failures(item: u32, failures: u32) -> JobCommand {
    JobCommand::Failures(vec![ItemFailures { key: key(item), failures }])
}

/// Fails one run of the next item.
fn fail_next(dispatcher: &mut Dispatcher, millis: u64) -> ItemKey {
    let (key, output) = dispatcher.take_next(at(millis), UnixMillis(2_000)).expect("an item is ready");
    dispatcher.finish_run(&key, &RunEnd::Failed, output, MAX_ATTEMPTS, at(millis));
    key
}

#[test]
fn failed_runs_are_limited_across_leaders() {
    let mut table = table();
    let mut runs = 0;
    for leader in 0..20 {
        let mut dispatcher = Dispatcher::default();
        dispatcher.restart(&table);
        let is_over = |dispatcher: &Dispatcher| !dispatcher.uncommitted_results().is_empty();
        if dispatcher.take_next(at(0), UnixMillis(2_000)).is_none() {
            break;
        }
        dispatcher.restart(&table);
        // Each leader stops right after one failed run was logged.
        fail_next(&mut dispatcher, leader * 10_000);
        runs += 1;
        if let Some(failed) = dispatcher.unlogged_failures() {
            let command = JobCommand::Failures(failed.clone());
            dispatcher.record_proposed_failures(&failed);
            assert_eq!(dispatcher.unlogged_failures(), None);
            table.apply(command);
        }
        if is_over(&dispatcher) {
            for result in dispatcher.uncommitted_results() {
                table.apply(result);
            }
        }
    }
    assert_eq!(runs, 2 * MAX_ATTEMPTS, "each of the two items is abandoned after the maximum number of attempts");
    let states: Vec<ItemState> =
        table.job(&key(0).job).expect("the job exists").results.iter().map(|result| result.state).collect();
    assert_eq!(states, [ItemState::GivenUp, ItemState::GivenUp]);
}

#[test]
fn count_never_decreases_and_ends_with_the_item() {
    let mut table = table();
    let count = |table: &JobTable, item| table.job(&key(0).job).expect("the job exists").failures(item);
    table.apply(failures(0, 2));
    table.apply(failures(0, 1));
    assert_eq!(count(&table, 0), 2);
    table.apply(failures(7, 2));
    assert_eq!(count(&table, 7), 0, "the item does not exist");
    let after = LoggedOutput::default();
    table.apply(JobCommand::Finish { key: key(0), state: ItemState::Completed, after, text: Arc::from("done") });
    assert_eq!(count(&table, 0), 0);
    table.apply(failures(0, 3));
    assert_eq!(count(&table, 0), 0, "the item already has a result");
}

#[test]
fn snapshot_contains_the_counts_after_a_table_readable_by_older_versions() {
    let mut table = table();
    let without = table.encode();
    table.apply(failures(1, 2));
    let with = table.encode();
    assert_eq!(JobTable::decode(&with).as_ref(), Some(&table));
    assert!(with.starts_with(&without) && with.len() > without.len(), "the counts follow the table");
    let truncated = &with[..with.len() - 1];
    assert_eq!(JobTable::decode(truncated), None, "truncated counts make the snapshot undecodable");
}

#[test]
fn failures_command_is_encoded_as_a_new_kind() {
    let new = failures(0, 1).encode();
    assert_eq!(JobCommand::decode(&new), Some(failures(0, 1)));
    // The index of the command kind. Versions that know only kinds 0 to 4 cannot decode it.
    assert_eq!(new[0], 5);
}

/// Guards against running an item again because the leadership was lost before the verdict on it was committed.
#[test]
fn a_node_remembers_verdicts_whose_proposals_were_lost() {
    let table = table();
    let mut dispatcher = Dispatcher::default();
    dispatcher.restart(&table);
    let (impossible, output) = dispatcher.take_next(at(0), UnixMillis(2_000)).expect("an item is ready");
    assert!(dispatcher.finish_run(&impossible, &RunEnd::Impossible, output, MAX_ATTEMPTS, at(20)));
    let failing = fail_next(&mut dispatcher, 30);
    // The leadership is lost and regained twice; no proposal of this node was committed.
    for _ in 0..2 {
        dispatcher.clear();
        dispatcher.restart(&table);
        let results = dispatcher.uncommitted_results();
        assert!(
            matches!(&results[..], [JobCommand::Finish { key, state: ItemState::GivenUp, .. }] if *key == impossible),
            "{results:?}"
        );
        assert_eq!(dispatcher.failures(&failing), 1);
        assert_eq!(dispatcher.unlogged_failures(), Some(vec![ItemFailures { key: failing.clone(), failures: 1 }]));
        let next = dispatcher.take_next(at(100), UnixMillis(2_000)).map(|(key, _)| key);
        assert_eq!(next, Some(failing.clone()), "only the other item may run");
    }
}

/// Guards against verdicts on items that are no longer open taking memory.
#[test]
fn verdicts_end_with_the_item() {
    let mut table = table();
    let mut dispatcher = Dispatcher::default();
    dispatcher.restart(&table);
    let failed = fail_next(&mut dispatcher, 0);
    dispatcher.clear();
    // Another leader commits the result while this node follows.
    let after = LoggedOutput::default();
    table.apply(JobCommand::Finish {
        key: failed.clone(),
        state: ItemState::Completed,
        after,
        text: Arc::from("done"),
    });
    dispatcher.remove(&failed);
    dispatcher.restart(&table);
    assert_eq!(dispatcher.failures(&failed), 0);
    assert_eq!(dispatcher.unlogged_failures(), None);
}
