//! What an event costs the leader of the job table, at the size of a busy deployment and at twice and four times it.

use std::sync::Arc;

use postcard::ser_flavors::Flavor;
use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::jobs::command::{ItemKey, JobCommand, JobItem, JobKey, PartialOutput, Submission};
use stallmoor_core::serving::jobs::dispatch::{Dispatcher, RunEnd, WorkerRuns};
use stallmoor_core::serving::jobs::load_aggregator::LoadAggregator;
use stallmoor_core::serving::jobs::table::JobTable;
use stallmoor_core::serving::workers::{LoadReport, WorkerCount, WorkerId, WorkerReport};
use stallmoor_core::time::{Millis, Timestamp, UnixMillis};

/// Workers of a busy deployment.
const WORKERS: usize = 90;
/// Items that run there.
const ITEMS: usize = 390;
const MAX_ATTEMPTS: u32 = 3;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn worker(number: usize) -> WorkerId {
    WorkerId(Arc::from(format!("w-{number}")))
}

fn key(item: usize) -> ItemKey {
    ItemKey { job: JobKey(Arc::from("job")), item: item as u32 }
}

fn submission(items: usize) -> Submission {
    let item = |number: usize| JobItem {
        id: Arc::from(format!("item-{number}")),
        path: Arc::from("/batch/x"),
        headers: Vec::new(),
        body: Arc::from([0; 10]),
        token_count: 100,
    };
    Submission {
        key: key(0).job,
        route: Arc::from("route"),
        host: Arc::from("host"),
        tenant: None,
        items: (0..items).map(item).collect(),
        configuration_version: 7,
        received_at: UnixMillis(0),
        due: Millis(20_000),
        queued_token_limit: None,
    }
}

fn table(items: usize) -> JobTable {
    let mut table = JobTable::default();
    table.apply(JobCommand::Accept(submission(items)));
    table
}

fn output() -> PartialOutput {
    let mut output = PartialOutput::default();
    (1..=164).for_each(|event| output.push("event", Some(event)));
    output
}

/// Counts the calls with which a value is serialized.
#[derive(Default)]
struct CallCounter(usize);

impl Flavor for CallCounter {
    type Output = usize;

    fn try_push(&mut self, _byte: u8) -> postcard::Result<()> {
        self.0 += 1;
        Ok(())
    }

    fn try_extend(&mut self, _bytes: &[u8]) -> postcard::Result<()> {
        self.0 += 1;
        Ok(())
    }

    fn finalize(self) -> postcard::Result<usize> {
        Ok(self.0)
    }
}

/// Guards against snapshots that are encoded one byte at a time, for which the leader stands still.
#[test]
fn a_snapshot_is_encoded_in_calls_by_items_and_not_by_bytes() {
    let calls = |body_bytes: usize| {
        let mut table = JobTable::default();
        let mut submission = submission(ITEMS);
        submission.items.iter_mut().for_each(|item| item.body = vec![7; body_bytes].into());
        table.apply(JobCommand::Accept(submission));
        postcard::serialize_with_flavor::<_, CallCounter, usize>(&table, CallCounter::default()).expect("serializable")
    };
    for body_bytes in [1_000, 2_000, 4_000] {
        assert_eq!(calls(body_bytes), calls(500), "{body_bytes} bytes a body");
    }
}

/// Guards against copies of all results that wait for their commit, made again after every event.
#[test]
fn results_that_wait_for_their_commit_are_not_proposed_again() {
    for items in [ITEMS, 2 * ITEMS, 4 * ITEMS] {
        let mut dispatcher = Dispatcher::default();
        dispatcher.restart(&table(items));
        let mut copies = 0;
        while let Some((key, _)) = dispatcher.take_next(at(0), UnixMillis(0)) {
            dispatcher.finish_run(&key, &RunEnd::Completed, output(), MAX_ATTEMPTS, at(8_000));
            for result in dispatcher.unproposed_results() {
                copies += 1;
                dispatcher.record_proposed_result(&result);
            }
        }
        assert_eq!(copies, items, "each result is copied once");
        assert_eq!(dispatcher.uncommitted_results().len(), items, "none is committed");
    }
}

/// Guards against a result that is never proposed again, although its proposal was lost with the leadership.
#[test]
fn results_are_proposed_again_by_the_next_leader() {
    let table = table(1);
    let mut dispatcher = Dispatcher::default();
    dispatcher.restart(&table);
    for _ in 0..2 {
        let (key, _) = dispatcher.take_next(at(0), UnixMillis(0)).expect("the item is ready");
        dispatcher.finish_run(&key, &RunEnd::Impossible, output(), MAX_ATTEMPTS, at(8_000));
        let result = dispatcher.unproposed_results().pop().expect("there is a result");
        dispatcher.record_proposed_result(&result);
        assert!(dispatcher.unproposed_results().is_empty());
        dispatcher.restart(&table);
        assert_eq!(dispatcher.unproposed_results(), [result], "the verdict is known without another run");
        dispatcher = Dispatcher::default();
        dispatcher.restart(&table);
    }
}

/// Guards against a view of the workers that the leader updates for each report: gateways times workers.
#[test]
fn the_leaders_own_view_is_updated_at_a_rate_that_does_not_grow_with_the_gateways() {
    for gateways in [62, 124, 248] {
        let mut aggregator = LoadAggregator::default();
        let mut updates = 0;
        for millis in 0..1_000 {
            // Each gateway reports every 62 ms.
            for gateway in (0..gateways).filter(|gateway| gateway % 62 == millis % 62) {
                let workers = vec![report(gateway as usize % WORKERS, 3)];
                aggregator.record_report(
                    NodeId(gateway + 1),
                    LoadReport { workers, ..LoadReport::default() },
                    at(millis),
                );
                updates += usize::from(aggregator.poll_own_view(at(millis)).is_some());
            }
        }
        assert!((45..=50).contains(&updates), "{updates} updates with {gateways} gateways");
    }
}

/// Guards against items of the leader that gateways are not told of, whatever place their worker has in the list.
#[test]
fn an_answer_lists_the_workers_of_the_leaders_items_once() {
    let mut aggregator = LoadAggregator::default();
    let online = LoadReport { workers: [2, 4, 6].map(|number| report(number, 3)).to_vec(), ..LoadReport::default() };
    aggregator.record_report(NodeId(1), online, at(0));
    let items: Vec<WorkerCount> = [7, 4, 1, 3].map(|number| WorkerCount { worker: worker(number), requests: 2 }).into();
    let answer = aggregator.report_for(NodeId(2), &items, at(0));
    let listed: Vec<(WorkerId, u32, u32)> =
        answer.workers.iter().map(|report| (report.worker.clone(), report.requests, report.batch)).collect();
    let expected = [(1, 2, 2), (2, 3, 0), (3, 2, 2), (4, 5, 2), (6, 3, 0), (7, 2, 2)];
    assert_eq!(listed, expected.map(|(number, requests, batch)| (worker(number), requests, batch)));
}

fn report(number: usize, requests: u32) -> WorkerReport {
    WorkerReport { worker: worker(number), requests, self_reported: None, ejected_by: 0, batch: 0 }
}

/// Guards against pauses that examine all running items, and against repeated requests while enough items are pausing.
#[test]
fn pauses_examine_the_items_of_one_worker_and_are_requested_once() {
    for scale in [1, 2, 4] {
        let mut runs = WorkerRuns::default();
        for item in 0..ITEMS * scale {
            runs.add(&worker(item % (WORKERS * scale)), &key(item));
        }
        let at_worker: Vec<ItemKey> = runs.continuing(&worker(0)).cloned().collect();
        assert_eq!(at_worker.len(), ITEMS.div_ceil(WORKERS));
        assert_eq!(runs.pauses_due(&worker(0), 2), 2);
        at_worker.iter().take(2).for_each(|key| runs.record_pause(&worker(0), key));
        for _ in 0..62 {
            assert_eq!(runs.pauses_due(&worker(0), 2), 0, "the next reports find enough items pausing");
        }
        assert_eq!(runs.pauses_due(&worker(0), 3), 1);
        assert_eq!(runs.pauses_due(&worker(0), 100), at_worker.len() - 2, "no more than there are");
        runs.remove(&worker(0), &at_worker[0]);
        assert_eq!(runs.pauses_due(&worker(0), 2), 1, "one that has ended no longer counts");
        at_worker.iter().for_each(|key| runs.remove(&worker(0), key));
        assert_eq!(runs.pauses_due(&worker(0), 100), 0);
        runs.add(&worker(0), &at_worker[0]);
        assert_eq!(runs.pauses_due(&worker(0), 1), 1, "a later run of the item is not pausing");
    }
}
