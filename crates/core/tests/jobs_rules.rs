//! Rules of batch jobs: the table, the order in which items run and pause, shared loads, and groups of two.

use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::prelude::*;
use stallmoor_core::identity::NodeId;
use stallmoor_core::replication::{GroupMembership, LogIndex};
use stallmoor_core::serving::configuration::tenant::{CallerIdentity, TenantName};
use stallmoor_core::serving::jobs::command::{
    ItemKey, ItemProgress, ItemState, JobCommand, JobItem, JobKey, JobOutcome, LoggedOutput, PartialOutput, QueueKey,
    Submission,
};
use stallmoor_core::serving::jobs::dispatch::{Dispatcher, RunEnd, RunningItem};
use stallmoor_core::serving::jobs::load_aggregator::LoadAggregator;
use stallmoor_core::serving::jobs::pair::{PairRecord, PairState, PairView, StoredPair};
use stallmoor_core::serving::jobs::table::JobTable;
use stallmoor_core::serving::workers::{LoadReport, WorkerCount, WorkerId, WorkerReport};
use stallmoor_core::time::{Millis, Timestamp, UnixMillis};

mod support;

fn key(name: &str) -> JobKey {
    JobKey(Arc::from(name))
}

fn submission(name: &str, items: u32, received_at: u64, due: u64) -> Submission {
    let item = |number: u32| JobItem {
        id: Arc::from(format!("{name}-{number}")),
        path: Arc::from("/batch/x"),
        headers: Vec::new(),
        body: Arc::from(vec![number as u8; 10]),
        token_count: 100,
    };
    Submission {
        key: key(name),
        route: Arc::from("route"),
        host: Arc::from("host"),
        tenant: None,
        items: (0..items).map(item).collect(),
        configuration_version: 1,
        received_at: UnixMillis(received_at),
        due: Millis(due),
        queued_token_limit: None,
    }
}

fn queue() -> QueueKey {
    QueueKey { route: Arc::from("route"), tenant: None }
}

fn accept(table: &mut JobTable, name: &str, items: u32, received_at: u64, due: u64) {
    assert_eq!(table.apply(JobCommand::Accept(submission(name, items, received_at, due))), JobOutcome::Accepted);
}

fn finish(name: &str, item: u32, text: &str) -> JobCommand {
    let key = ItemKey { job: key(name), item };
    JobCommand::Finish { key, state: ItemState::Completed, after: LoggedOutput::default(), text: Arc::from(text) }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn output(events: u64) -> PartialOutput {
    PartialOutput { text: "x".to_owned(), last_event: Some(events) }
}

#[test]
fn job_is_accepted_once_and_results_retain_their_positions() {
    let mut table = JobTable::default();
    accept(&mut table, "j", 3, 0, 1_000);
    assert_eq!(table.apply(finish("j", 1, "first")), JobOutcome::Committed);
    accept(&mut table, "j", 3, 500, 1_000);
    assert_eq!(table.apply(finish("j", 1, "second")), JobOutcome::Dropped);
    assert_eq!(table.apply(finish("j", 0, "zero")), JobOutcome::Committed);
    let job = table.job(&key("j")).expect("the job was accepted");
    let texts: Vec<&str> = job.results.iter().map(|result| &*result.text).collect();
    assert_eq!(texts, ["first", "zero"]);
    assert_eq!(table.open_tokens(&queue()), 100);
    assert!(job.open_item_by_id("j-1").is_none(), "the body of an item with a result is gone");
    assert!(job.open_item_by_id("j-2").is_some());
}

/// Guards against a log that states the result of another item of the job when several were committed together.
#[test]
fn each_item_has_its_own_result() {
    let mut table = JobTable::default();
    accept(&mut table, "j", 3, 0, 1_000);
    let given_up = ItemKey { job: key("j"), item: 0 };
    let give_up = JobCommand::Finish {
        key: given_up,
        state: ItemState::GivenUp,
        after: LoggedOutput::default(),
        text: Arc::from(""),
    };
    table.apply(finish("j", 2, "two"));
    table.apply(give_up);
    let job = table.job(&key("j")).expect("the job was accepted");
    let states = [0, 1, 2].map(|item| job.result_of(item).map(|result| result.state));
    assert_eq!(states, [Some(ItemState::GivenUp), None, Some(ItemState::Completed)]);
}

#[test]
fn job_is_visible_only_to_its_tenant() {
    let mut table = JobTable::default();
    let (owner, other) = (TenantName::new("owner"), TenantName::new("other"));
    let job = Submission { tenant: Some(owner.clone()), ..submission("j", 2, 0, 1_000) };
    assert_eq!(table.apply(JobCommand::Accept(job.clone())), JobOutcome::Accepted);
    assert_eq!(table.apply(JobCommand::Accept(job.clone())), JobOutcome::Accepted, "a resubmission is accepted");
    let conflicting = Submission { tenant: Some(other.clone()), ..job };
    assert_eq!(table.apply(JobCommand::Accept(conflicting)), JobOutcome::KeyTaken);
    let as_owner = CallerIdentity::Tenant(owner.clone());
    let non_owners = [CallerIdentity::Tenant(other.clone()), CallerIdentity::Public];
    for non_owner in &non_owners {
        assert!(table.job_for(&key("j"), non_owner).is_none());
        let end = JobCommand::End { job: key("j"), caller: non_owner.clone() };
        assert_eq!(table.apply(end), JobOutcome::UnknownJob);
    }
    assert!(!table.job(&key("j")).expect("the job exists").ended, "other tenants cannot end the job");
    assert!(table.job_for(&key("j"), &as_owner).is_some());
    let of = |tenant: TenantName| QueueKey { tenant: Some(tenant), ..queue() };
    assert_eq!(table.open_tokens(&of(owner.clone())), 200);
    assert_eq!(table.open_tokens(&of(other)), 0, "each tenant has a separate queue");
    assert_eq!(table.apply(JobCommand::End { job: key("j"), caller: as_owner }), JobOutcome::Ended);
    assert_eq!(table.open_tokens(&of(owner)), 0);
}

#[test]
fn ended_job_adds_no_results_and_releases_its_tokens() {
    let mut table = JobTable::default();
    accept(&mut table, "j", 3, 0, 1_000);
    table.apply(finish("j", 0, "zero"));
    assert_eq!(table.apply(JobCommand::End { job: key("j"), caller: CallerIdentity::Unchecked }), JobOutcome::Ended);
    assert_eq!(table.apply(JobCommand::End { job: key("j"), caller: CallerIdentity::Unchecked }), JobOutcome::Ended);
    assert_eq!(table.open_tokens(&queue()), 0);
    assert_eq!(table.apply(finish("j", 1, "late")), JobOutcome::Dropped);
    assert_eq!(table.job(&key("j")).map(|job| job.page(0, 1_000).results.len()), Some(1));
}

#[test]
fn page_has_at_least_one_result_and_stops_at_its_size() {
    let mut table = JobTable::default();
    accept(&mut table, "j", 4, 0, 1_000);
    for item in 0..4 {
        table.apply(finish("j", item, &"t".repeat(60)));
    }
    let job = table.job(&key("j")).expect("the job was accepted");
    assert_eq!(job.page(0, 10).results.len(), 1);
    assert_eq!(job.page(0, 130).results.len(), 2);
    assert_eq!(job.page(3, 130).results.len(), 1);
    assert_eq!(job.page(9, 130).results.len(), 0);
}

proptest! {
    #![proptest_config(support::fuzz_config())]

    /// The table survives encoding, and applying a command again changes nothing.
    #[test]
    fn table_tolerates_repetition_and_encoding(steps in prop::collection::vec((0..3_u32, 0..4_u32, 0..5_u32), 1..60)) {
        let mut table = JobTable::default();
        for (job, item, what) in steps {
            let name = format!("job-{job}");
            let command = match what {
                0 => JobCommand::Accept(submission(&name, 4, u64::from(job), 1_000)),
                1 => JobCommand::End { job: key(&name), caller: CallerIdentity::Unchecked },
                2 => progress(&name, LoggedOutput::default(), "begun", 1),
                _ => finish(&name, item, &format!("{job} {item} {what}")),
            };
            let decoded = JobCommand::decode(&command.encode());
            prop_assert_eq!(decoded.as_ref(), Some(&command));
            let before = table.clone();
            table.apply(command.clone());
            let once = table.clone();
            table.apply(command);
            prop_assert_eq!(&table, &once);
            for (key, job) in before.jobs() {
                let now = table.job(key).expect("jobs are not removed");
                prop_assert_eq!(&now.results[..job.results.len()], &job.results[..]);
            }
            let open: u64 = table.jobs().map(|(_, job)| job.open_tokens()).sum();
            prop_assert_eq!(table.open_tokens(&queue()), open);
            prop_assert_eq!(JobTable::decode(&table.encode()), Some(table.clone()));
        }
    }
}

#[test]
fn items_that_can_finish_in_time_run_first() {
    let mut table = JobTable::default();
    accept(&mut table, "early", 1, 0, 5_000);
    let mut dispatcher = Dispatcher::default();
    dispatcher.restart(&table);
    let (first, _) = dispatcher.take_next(at(0), UnixMillis(0)).expect("an item is ready");
    // Sets the estimate of a complete run to 2,000 ms.
    assert!(dispatcher.finish_run(&first, &RunEnd::Completed, output(200), 3, at(2_000)));
    dispatcher.remove(&first);
    accept(&mut table, "hopeless", 1, 0, 6_000);
    accept(&mut table, "possible", 1, 0, 9_000);
    for name in ["hopeless", "possible"] {
        dispatcher.add_job(table.job(&key(name)).expect("the job was accepted"));
    }
    let order: Vec<JobKey> =
        std::iter::from_fn(|| dispatcher.take_next(at(5_000), UnixMillis(5_000))).map(|(taken, _)| taken.job).collect();
    assert_eq!(order, [key("possible"), key("hopeless")]);
}

#[test]
fn broken_run_resumes_after_its_last_event_and_failures_are_counted() {
    let mut table = JobTable::default();
    accept(&mut table, "j", 1, 0, 20_000);
    let mut dispatcher = Dispatcher::default();
    dispatcher.restart(&table);
    let (item, _) = dispatcher.take_next(at(0), UnixMillis(0)).expect("the item is ready");
    assert!(!dispatcher.finish_run(&item, &RunEnd::BrokenOff, output(17), 2, at(100)));
    assert!(dispatcher.take_next(at(101), UnixMillis(101)).is_none(), "the item is delayed");
    let (_, resumed) = dispatcher.take_next(at(1_000), UnixMillis(1_000)).expect("the item is ready again");
    assert_eq!(resumed.last_event, Some(17));
    assert!(!dispatcher.finish_run(&item, &RunEnd::Failed, resumed, 2, at(1_100)));
    let (_, resumed) = dispatcher.take_next(at(3_000), UnixMillis(3_000)).expect("the item is ready again");
    assert!(
        dispatcher.finish_run(&item, &RunEnd::Failed, resumed, 2, at(3_100)),
        "the item is abandoned after the second failure"
    );
    let given_up = JobCommand::Finish {
        key: item,
        state: ItemState::GivenUp,
        after: LoggedOutput::default(),
        text: Arc::from(""),
    };
    assert_eq!(dispatcher.uncommitted_results(), vec![given_up]);
}

#[test]
fn repeated_pauses_with_progress_do_not_increase_the_delay() {
    let mut table = JobTable::default();
    accept(&mut table, "j", 1, 0, 60_000);
    let mut dispatcher = Dispatcher::default();
    dispatcher.restart(&table);
    let mut now = 0;
    for pause in 1..8 {
        let (item, resumed) = dispatcher.take_next(at(now), UnixMillis(now)).expect("the item is ready");
        assert_eq!(resumed.last_event.unwrap_or(0), (pause - 1) * 10);
        now += 200;
        assert!(!dispatcher.finish_run(&item, &RunEnd::Paused, output(pause * 10), 3, at(now)));
        assert!(dispatcher.take_next(at(now), UnixMillis(now)).is_none(), "the capacity is left to an online request");
        now += 40;
    }
}

#[test]
fn late_items_are_paused_first_then_those_with_the_most_slack() {
    let mut table = JobTable::default();
    accept(&mut table, "measured", 1, 0, 5_000);
    let mut dispatcher = Dispatcher::default();
    dispatcher.restart(&table);
    let (first, _) = dispatcher.take_next(at(0), UnixMillis(0)).expect("an item is ready");
    // Sets the estimate of a complete run to 2,000 ms.
    assert!(dispatcher.finish_run(&first, &RunEnd::Completed, output(200), 3, at(2_000)));
    for (name, due) in [("urgent", 8_000), ("hopeless", 6_000), ("spare", 20_000), ("nearly-done", 8_000)] {
        accept(&mut table, name, 1, 0, due);
        dispatcher.add_job(table.job(&key(name)).expect("the job was accepted"));
    }
    let running = |name: &str, run, events| RunningItem {
        key: ItemKey { job: key(name), item: 0 },
        run,
        events,
        is_pausing: false,
    };
    // The most urgent item has the youngest run, so pausing the youngest runs first would fail this test.
    let mut items = vec![
        running("hopeless", 1, 10),
        running("spare", 2, 10),
        running("nearly-done", 3, 190),
        running("urgent", 4, 10),
    ];
    dispatcher.pause_order(&mut items, UnixMillis(5_000));
    let order: Vec<JobKey> = items.into_iter().map(|item| item.key.job).collect();
    assert_eq!(order, [key("hopeless"), key("spare"), key("nearly-done"), key("urgent")]);
}

#[test]
fn delay_grows_while_an_item_does_not_run() {
    let mut table = JobTable::default();
    accept(&mut table, "j", 1, 0, 60_000);
    let mut dispatcher = Dispatcher::default();
    dispatcher.restart(&table);
    for wait in [40, 80, 160] {
        let (item, resumed) = dispatcher.take_next(at(wait * 10), UnixMillis(0)).expect("the item is ready");
        assert!(!dispatcher.finish_run(&item, &RunEnd::NotRun, resumed, 3, at(wait * 10)));
        assert!(dispatcher.take_next(at(wait * 10 + wait - 1), UnixMillis(0)).is_none());
    }
}

#[test]
fn impossible_item_is_abandoned_at_once_and_ended_job_is_dropped() {
    let mut table = JobTable::default();
    accept(&mut table, "j", 2, 0, 20_000);
    let mut dispatcher = Dispatcher::default();
    dispatcher.restart(&table);
    let (first, _) = dispatcher.take_next(at(0), UnixMillis(0)).expect("the first item is ready");
    let (second, _) = dispatcher.take_next(at(0), UnixMillis(0)).expect("the second item is ready");
    assert!(dispatcher.finish_run(&first, &RunEnd::Impossible, PartialOutput::default(), 3, at(10)));
    assert_eq!(
        dispatcher.remove_job(&key("j")),
        vec![second.clone()],
        "running items are returned so that they can be stopped"
    );
    assert!(!dispatcher.finish_run(&second, &RunEnd::Completed, output(5), 3, at(20)));
    assert_eq!(dispatcher.open_count(), 0);
}

#[test]
fn event_data_is_joined_by_line_feeds() {
    let mut partial = PartialOutput::default();
    partial.push("", Some(1));
    partial.push("two", Some(2));
    partial.push("three", Some(3));
    assert_eq!(partial.text, "\ntwo\nthree");
    assert_eq!(partial.last_event, Some(3));
}

#[test]
fn shared_loads_exclude_the_sender_and_expired_reports() {
    let count = |name: &str, requests| WorkerCount { worker: WorkerId(Arc::from(name)), requests };
    let report = |name: &str, requests, reported| WorkerReport {
        worker: WorkerId(Arc::from(name)),
        requests,
        self_reported: reported,
        ejected_by: 0,
        batch: 0,
    };
    let mut aggregator = LoadAggregator::default();
    let first = LoadReport { workers: vec![report("w", 3, Some(9))], placed_per_s: 20, ..LoadReport::default() };
    let second = LoadReport {
        workers: vec![report("w", 4, None), report("v", 1, Some(1))],
        placed_per_s: 30,
        ..LoadReport::default()
    };
    aggregator.record_report(NodeId(1), first, at(0));
    aggregator.record_report(NodeId(2), second, at(500));
    let batch = [count("v", 2)];
    let received = aggregator.report_for(NodeId(1), &batch, at(500));
    let with_items = WorkerReport { batch: 2, ..report("v", 3, Some(1)) };
    assert_eq!(received.workers, vec![with_items, report("w", 4, Some(9))]);
    assert_eq!(received.placed_per_s, 30, "the sender's own rate is excluded");
    assert_eq!(received.reporters, 2);
    assert_eq!(aggregator.online_requests(at(500)), vec![count("v", 1), count("w", 7)]);
    assert_eq!(aggregator.online_requests(at(1_200)), vec![count("v", 1), count("w", 4)]);
}

#[test]
fn worker_has_failed_if_two_nodes_ejected_it_and_it_did_not_report() {
    let mut aggregator = LoadAggregator::default();
    let failing = |reported| {
        let report = WorkerReport {
            worker: WorkerId(Arc::from("w")),
            requests: 1,
            self_reported: reported,
            ejected_by: 1,
            batch: 0,
        };
        LoadReport { workers: vec![report], ..LoadReport::default() }
    };
    aggregator.record_report(NodeId(1), failing(None), at(0));
    assert_eq!(aggregator.failed_workers(at(0)), vec![]);
    aggregator.record_report(NodeId(2), failing(None), at(10));
    assert_eq!(aggregator.failed_workers(at(10)), vec![WorkerId(Arc::from("w"))]);
    assert_eq!(aggregator.report_for(NodeId(3), &[], at(10)).workers[0].ejected_by, 2);
    aggregator.record_report(NodeId(2), failing(Some(1)), at(20));
    assert_eq!(aggregator.failed_workers(at(20)), vec![]);
}

/// The last report of a node, and when it was sent.
struct OracleReport {
    report: LoadReport,
    at: u64,
}

proptest! {
    #![proptest_config(support::fuzz_config())]

    /// The incremental sums equal the sums over all reports of the last second, except that expired reports may count
    /// for up to 100 ms longer.
    #[test]
    fn shared_loads_are_the_sums_of_recent_reports(
        reports in prop::collection::vec((0..6_u64, 0..400_u64, prop::collection::vec((0..5_u32, 0..9_u32), 0..5)), 1..40),
    ) {
        let mut aggregator = LoadAggregator::default();
        let mut oracle: BTreeMap<u64, OracleReport> = BTreeMap::new();
        let mut now = 0;
        for (node, pause, loads) in reports {
            now += pause;
            let loads: BTreeMap<u32, u32> = loads.into_iter().collect();
            let worker_report = |(worker, requests): (&u32, &u32)| WorkerReport {
                worker: WorkerId(Arc::from(format!("w{worker}"))),
                requests: *requests,
                self_reported: None,
                ejected_by: 0,
                batch: 0,
            };
            let report = LoadReport {
                workers: loads.iter().map(worker_report).collect(),
                placed_per_s: node as u32,
                ..LoadReport::default()
            };
            aggregator.record_report(NodeId(node), report.clone(), at(now));
            oracle.insert(node, OracleReport { report, at: now });
            let received = aggregator.report_for(NodeId(node), &[], at(now));
            let sum = |max_age: u64, worker: &WorkerId| -> u32 {
                let others = oracle.iter().filter(|(other, entry)| **other != node && now - entry.at < max_age);
                others
                    .flat_map(|(_, entry)| &entry.report.workers)
                    .filter(|report| report.worker == *worker)
                    .map(|report| report.requests)
                    .sum()
            };
            for worker in 0..5 {
                let worker = WorkerId(Arc::from(format!("w{worker}")));
                let requests = received
                    .workers
                    .iter()
                    .find(|report| report.worker == worker)
                    .map_or(0, |report| report.requests);
                prop_assert!(sum(1_000, &worker) <= requests && requests <= sum(1_100, &worker));
            }
        }
    }
}

fn pair() -> GroupMembership {
    GroupMembership::of_voters([NodeId(1), NodeId(2)])
}

const INDEX: Option<LogIndex> = Some(LogIndex(50));

fn view(membership: &GroupMembership, own: u64, leads: bool) -> PairView<'_> {
    PairView {
        own: NodeId(own),
        leads,
        membership,
        index: INDEX,
        record_index: LogIndex(50),
        is_committed: true,
        other_is_lost: false,
        wants_change: false,
        wants_withdrawal: false,
    }
}

fn stored(state: PairState, index: u64) -> StoredPair {
    let record = PairRecord { index: LogIndex(index), voters: pair().voters, state };
    StoredPair { record: Some(record), revision: 9 }
}

#[test]
fn pair_is_recorded_only_once_committed() {
    let membership = pair();
    let nothing = StoredPair::default();
    let uncommitted = PairView { is_committed: false, ..view(&membership, 1, true) };
    assert_eq!(nothing.next_write(&uncommitted), None);
    let written = nothing.next_write(&view(&membership, 1, true)).expect("the record is due");
    assert_eq!(written.state, PairState::Whole);
    assert_eq!(nothing.next_write(&view(&membership, 2, false)), None, "a follower writes nothing");
    let three = GroupMembership::of_voters([NodeId(1), NodeId(2), NodeId(3)]);
    assert_eq!(nothing.next_write(&view(&three, 1, true)), None);
}

#[test]
fn only_a_member_of_the_recorded_pair_becomes_its_survivor() {
    let membership = pair();
    let lost = PairView { other_is_lost: true, ..view(&membership, 2, false) };
    let written = stored(PairState::Whole, 50).next_write(&lost).expect("the record is due");
    assert_eq!(written.state, PairState::Survived(NodeId(2)));
    assert_eq!(stored(PairState::Whole, 49).next_write(&lost), None, "the record describes another membership");
    assert_eq!(stored(PairState::Dissolved, 50).next_write(&lost), None, "the group has grown since");
    assert_eq!(stored(PairState::Survived(NodeId(1)), 50).next_write(&lost), None, "the other member was faster");
    assert!(stored(PairState::Survived(NodeId(2)), 50).is_survivor(NodeId(2), &membership, INDEX));
    assert!(!stored(PairState::Survived(NodeId(1)), 50).is_survivor(NodeId(2), &membership, INDEX));
}

/// Guards against a member that does not find its own pair once it has compacted the entry that formed it.
#[test]
fn pair_is_recognized_after_its_entry_was_compacted() {
    let membership = pair();
    let forgot = PairView { index: None, record_index: LogIndex(400), ..view(&membership, 2, false) };
    let lost = PairView { other_is_lost: true, ..forgot };
    for recorded in [50, 442] {
        let whole = stored(PairState::Whole, recorded);
        let survived = whole.next_write(&lost).expect("the record is due");
        assert_eq!(survived, PairRecord { state: PairState::Survived(NodeId(2)), ..whole.record.expect("a record") });
        assert!(stored(PairState::Survived(NodeId(2)), recorded).is_survivor(NodeId(2), &membership, None));
        // The other member still knows the entry, and must not overwrite the record.
        let other = PairView { leads: true, ..view(&membership, 1, true) };
        assert_eq!(stored(PairState::Survived(NodeId(2)), recorded).next_write(&other), None);
    }
    let leads = PairView { leads: true, ..forgot };
    assert_eq!(stored(PairState::Whole, 50).next_write(&leads), None, "the record is not written again");
}

/// Guards against a survivor that continues alone once more because of the record of a former pair.
#[test]
fn leader_replaces_a_record_that_names_it_as_the_survivor() {
    let membership = pair();
    for (index, recorded) in [(INDEX, 50), (INDEX, 20), (None, 20)] {
        let leads = PairView { index, ..view(&membership, 1, true) };
        let written = stored(PairState::Survived(NodeId(1)), recorded).next_write(&leads);
        assert_eq!(written.map(|record| record.state), Some(PairState::Whole), "{index:?}, {recorded}");
    }
    let former = stored(PairState::Survived(NodeId(2)), 20);
    assert!(!former.is_survivor(NodeId(2), &membership, INDEX), "the record is of a former pair");
}

#[test]
fn pair_is_dissolved_before_the_group_grows() {
    let membership = pair();
    let grows = PairView { wants_change: true, ..view(&membership, 1, true) };
    for known in [StoredPair::default(), stored(PairState::Whole, 50)] {
        assert!(!known.allows_change(&membership, INDEX));
        assert_eq!(known.next_write(&grows).map(|record| record.state), Some(PairState::Dissolved));
    }
    let dissolved = stored(PairState::Dissolved, 50);
    assert!(dissolved.allows_change(&membership, INDEX));
    assert_eq!(dissolved.next_write(&grows), None);
}

fn progress(name: &str, after: LoggedOutput, text: &str, last_event: u64) -> JobCommand {
    let key = ItemKey { job: key(name), item: 0 };
    JobCommand::Progress(vec![ItemProgress { key, after, text: Arc::from(text), last_event: Some(last_event) }])
}

#[test]
fn new_leader_resumes_from_the_logged_output() {
    let mut table = JobTable::default();
    accept(&mut table, "j", 1, 0, 20_000);
    let mut first = Dispatcher::default();
    first.restart(&table);
    let (item, mut output) = first.take_next(at(0), UnixMillis(0)).expect("the item is ready");
    for number in 1..=30 {
        output.push(&format!("piece {number}"), Some(number));
    }
    let logged = first.progress_of(&item, &output).expect("enough events for a progress record");
    first.record_proposed_progress(&logged);
    assert_eq!(first.progress_of(&item, &output), None, "there is no new output");
    table.apply(JobCommand::Progress(vec![logged]));
    let mut second = Dispatcher::default();
    second.restart(&table);
    let (item, mut output) = second.take_next(at(0), UnixMillis(0)).expect("the item is ready");
    assert_eq!(output.last_event, Some(30), "the item resumes after the last logged event");
    output.push("piece 31", Some(31));
    assert!(second.finish_run(&item, &RunEnd::Completed, output, 3, at(100)));
    let finished = second.uncommitted_results().pop().expect("there is a result to commit");
    assert_eq!(table.apply(finished), JobOutcome::Committed);
    let complete: Vec<String> = (1..=31).map(|number| format!("piece {number}")).collect();
    assert_eq!(&*table.job(&key("j")).expect("the job exists").results[0].text, complete.join("\n"));
}

#[test]
fn result_that_does_not_continue_the_logged_output_is_dropped() {
    let mut table = JobTable::default();
    accept(&mut table, "j", 1, 0, 20_000);
    table.apply(progress("j", LoggedOutput::default(), "one", 1));
    let logged = LoggedOutput { bytes: 3, last_event: Some(1) };
    table.apply(progress("j", LoggedOutput::default(), "other", 2));
    table.apply(progress("j", logged, "\ntwo", 2));
    table.apply(progress("j", logged, "\ntwo", 2));
    assert_eq!(table.apply(finish("j", 0, "all anew")), JobOutcome::Dropped);
    let after = LoggedOutput { bytes: 7, last_event: Some(2) };
    let item = ItemKey { job: key("j"), item: 0 };
    let end = JobCommand::Finish { key: item, state: ItemState::Completed, after, text: Arc::from("\nthree") };
    assert_eq!(table.apply(end), JobOutcome::Committed);
    assert_eq!(&*table.job(&key("j")).expect("the job exists").results[0].text, "one\ntwo\nthree");
}
