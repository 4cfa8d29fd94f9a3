//! How many runs of an item have failed outlasts the leader that saw them: in the log, in snapshots, and beside replicas of
//! a version that does not know the count.

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

/// One run of whichever item comes next fails, some time later.
fn fail_next(dispatcher: &mut Dispatcher, millis: u64) -> ItemKey {
    let (key, output) = dispatcher.take_next(at(millis), UnixMillis(2_000)).expect("an item is ready");
    dispatcher.run_ended(&key, &RunEnd::Failed, output, MAX_ATTEMPTS, at(millis));
    key
}

#[test]
fn items_fail_no_more_often_over_many_leaders_than_under_one() {
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
        // Each leader is gone right after one failed run was logged.
        fail_next(&mut dispatcher, leader * 10_000);
        runs += 1;
        if let Some(failed) = dispatcher.unlogged_failures() {
            let command = JobCommand::Failures(failed.clone());
            dispatcher.failures_proposed(&failed);
            assert_eq!(dispatcher.unlogged_failures(), None);
            table.apply(command);
        }
        if is_over(&dispatcher) {
            for result in dispatcher.uncommitted_results() {
                table.apply(result);
            }
        }
    }
    assert_eq!(runs, 2 * MAX_ATTEMPTS, "two items, each given up after as many runs as the route allows");
    let states: Vec<ItemState> =
        table.job(&key(0).job).expect("it is there").results.iter().map(|result| result.state).collect();
    assert_eq!(states, [ItemState::GivenUp, ItemState::GivenUp]);
}

#[test]
fn a_count_never_goes_down_and_ends_with_the_item() {
    let mut table = table();
    let count = |table: &JobTable, item| table.job(&key(0).job).expect("it is there").failures(item);
    table.apply(failures(0, 2));
    table.apply(failures(0, 1));
    assert_eq!(count(&table, 0), 2);
    table.apply(failures(7, 2));
    assert_eq!(count(&table, 7), 0, "there is no such item");
    let after = LoggedOutput::default();
    table.apply(JobCommand::Finish { key: key(0), state: ItemState::Completed, after, text: Arc::from("done") });
    assert_eq!(count(&table, 0), 0);
    table.apply(failures(0, 3));
    assert_eq!(count(&table, 0), 0, "it has its result");
}

#[test]
fn a_snapshot_holds_the_counts_and_a_version_without_them_reads_the_rest() {
    let mut table = table();
    let without = table.encode();
    table.apply(failures(1, 2));
    let with = table.encode();
    assert_eq!(JobTable::decode(&with).as_ref(), Some(&table));
    assert!(with.starts_with(&without) && with.len() > without.len(), "the counts stand behind all else");
    let cut = &with[..with.len() - 1];
    assert_eq!(JobTable::decode(cut), None, "counts that are cut short make the snapshot unreadable");
}

#[test]
fn commands_of_before_are_read_as_ever_and_the_new_one_is_apart() {
    let new = failures(0, 1).encode();
    assert_eq!(JobCommand::decode(&new), Some(failures(0, 1)));
    // The place of the kind among all kinds, which a version that ends with five does not know.
    assert_eq!(new[0], 5);
}
