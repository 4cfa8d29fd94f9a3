//! Rules of batch jobs: the table, the order in which items run, and a group of two.

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
fn a_job_is_taken_once_and_a_result_keeps_its_position() {
    let mut table = JobTable::default();
    accept(&mut table, "j", 3, 0, 1_000);
    assert_eq!(table.apply(finish("j", 1, "first")), JobOutcome::Committed);
    accept(&mut table, "j", 3, 500, 1_000);
    assert_eq!(table.apply(finish("j", 1, "second")), JobOutcome::Dropped);
    assert_eq!(table.apply(finish("j", 0, "zero")), JobOutcome::Committed);
    let job = table.job(&key("j")).expect("it was accepted");
    let texts: Vec<&str> = job.results.iter().map(|result| &*result.text).collect();
    assert_eq!(texts, ["first", "zero"]);
    assert_eq!(table.open_tokens(&queue()), 100);
    assert!(job.open_item_by_id("j-1").is_none(), "a listed item has no body");
    assert!(job.open_item_by_id("j-2").is_some());
}

#[test]
fn a_job_is_seen_and_ended_by_its_own_tenant_only() {
    let mut table = JobTable::default();
    let (owner, other) = (TenantName::new("owner"), TenantName::new("other"));
    let job = Submission { tenant: Some(owner.clone()), ..submission("j", 2, 0, 1_000) };
    assert_eq!(table.apply(JobCommand::Accept(job.clone())), JobOutcome::Accepted);
    assert_eq!(table.apply(JobCommand::Accept(job.clone())), JobOutcome::Accepted, "a resend");
    let stolen = Submission { tenant: Some(other.clone()), ..job };
    assert_eq!(table.apply(JobCommand::Accept(stolen)), JobOutcome::KeyTaken);
    let as_owner = CallerIdentity::Tenant(owner.clone());
    let strangers = [CallerIdentity::Tenant(other.clone()), CallerIdentity::Public];
    for stranger in &strangers {
        assert!(table.job_for(&key("j"), stranger).is_none());
        let end = JobCommand::End { job: key("j"), caller: stranger.clone() };
        assert_eq!(table.apply(end), JobOutcome::UnknownJob);
    }
    assert!(!table.job(&key("j")).expect("it is there").ended, "no stranger ended it");
    assert!(table.job_for(&key("j"), &as_owner).is_some());
    let of = |tenant: TenantName| QueueKey { tenant: Some(tenant), ..queue() };
    assert_eq!(table.open_tokens(&of(owner.clone())), 200);
    assert_eq!(table.open_tokens(&of(other)), 0, "each tenant has a queue of its own");
    assert_eq!(table.apply(JobCommand::End { job: key("j"), caller: as_owner }), JobOutcome::Ended);
    assert_eq!(table.open_tokens(&of(owner)), 0);
}

#[test]
fn an_ended_job_lists_nothing_more_and_frees_its_tokens() {
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
fn a_page_has_one_result_at_least_and_stops_at_its_size() {
    let mut table = JobTable::default();
    accept(&mut table, "j", 4, 0, 1_000);
    for item in 0..4 {
        table.apply(finish("j", item, &"t".repeat(60)));
    }
    let job = table.job(&key("j")).expect("it was accepted");
    assert_eq!(job.page(0, 10).results.len(), 1);
    assert_eq!(job.page(0, 130).results.len(), 2);
    assert_eq!(job.page(3, 130).results.len(), 1);
    assert_eq!(job.page(9, 130).results.len(), 0);
}

proptest! {
    #![proptest_config(support::fuzz_config())]

    /// The table survives its encoding, and commands that arrive twice change nothing more.
    #[test]
    fn the_table_bears_repetition_and_encoding(steps in prop::collection::vec((0..3_u32, 0..4_u32, 0..5_u32), 1..60)) {
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
                let now = table.job(key).expect("jobs stay");
                prop_assert_eq!(&now.results[..job.results.len()], &job.results[..]);
            }
            let open: u64 = table.jobs().map(|(_, job)| job.open_tokens()).sum();
            prop_assert_eq!(table.open_tokens(&queue()), open);
            prop_assert_eq!(JobTable::decode(&table.encode()), Some(table.clone()));
        }
    }
}

#[test]
fn items_that_can_be_in_time_go_before_those_that_cannot() {
    let mut table = JobTable::default();
    accept(&mut table, "early", 1, 0, 5_000);
    let mut dispatcher = Dispatcher::default();
    dispatcher.restart(&table);
    let (first, _) = dispatcher.take_next(at(0), UnixMillis(0)).expect("one is ready");
    // A whole run takes 2,000 ms.
    assert!(dispatcher.run_ended(&first, &RunEnd::Completed, output(200), 3, at(2_000)));
    dispatcher.remove(&first);
    accept(&mut table, "hopeless", 1, 0, 6_000);
    accept(&mut table, "possible", 1, 0, 9_000);
    for name in ["hopeless", "possible"] {
        dispatcher.add_job(table.job(&key(name)).expect("it was accepted"));
    }
    let order: Vec<JobKey> =
        std::iter::from_fn(|| dispatcher.take_next(at(5_000), UnixMillis(5_000))).map(|(taken, _)| taken.job).collect();
    assert_eq!(order, [key("possible"), key("hopeless")]);
}

#[test]
fn a_broken_run_goes_on_after_its_last_event_and_failures_are_counted() {
    let mut table = JobTable::default();
    accept(&mut table, "j", 1, 0, 20_000);
    let mut dispatcher = Dispatcher::default();
    dispatcher.restart(&table);
    let (item, _) = dispatcher.take_next(at(0), UnixMillis(0)).expect("it is ready");
    assert!(!dispatcher.run_ended(&item, &RunEnd::BrokenOff, output(17), 2, at(100)));
    assert!(dispatcher.take_next(at(101), UnixMillis(101)).is_none(), "it waits a little");
    let (_, kept) = dispatcher.take_next(at(1_000), UnixMillis(1_000)).expect("it is ready again");
    assert_eq!(kept.last_event, Some(17));
    assert!(!dispatcher.run_ended(&item, &RunEnd::Failed, kept, 2, at(1_100)));
    let (_, kept) = dispatcher.take_next(at(3_000), UnixMillis(3_000)).expect("it is ready again");
    assert!(dispatcher.run_ended(&item, &RunEnd::Failed, kept, 2, at(3_100)), "the second failure ends it");
    let given_up = JobCommand::Finish {
        key: item,
        state: ItemState::GivenUp,
        after: LoggedOutput::default(),
        text: Arc::from(""),
    };
    assert_eq!(dispatcher.uncommitted_results(), vec![given_up]);
}

#[test]
fn an_item_that_was_paused_often_waits_no_longer_than_one_that_was_paused_once() {
    let mut table = JobTable::default();
    accept(&mut table, "j", 1, 0, 60_000);
    let mut dispatcher = Dispatcher::default();
    dispatcher.restart(&table);
    let mut now = 0;
    for pause in 1..8 {
        let (item, kept) = dispatcher.take_next(at(now), UnixMillis(now)).expect("it is ready");
        assert_eq!(kept.last_event.unwrap_or(0), (pause - 1) * 10);
        now += 200;
        assert!(!dispatcher.run_ended(&item, &RunEnd::Paused, output(pause * 10), 3, at(now)));
        assert!(dispatcher.take_next(at(now), UnixMillis(now)).is_none(), "the room is for an online request");
        now += 40;
    }
}

#[test]
fn items_with_time_to_spare_are_paused_before_urgent_ones_and_hopeless_ones_first() {
    let mut table = JobTable::default();
    accept(&mut table, "measured", 1, 0, 5_000);
    let mut dispatcher = Dispatcher::default();
    dispatcher.restart(&table);
    let (first, _) = dispatcher.take_next(at(0), UnixMillis(0)).expect("one is ready");
    // A whole run takes 2,000 ms.
    assert!(dispatcher.run_ended(&first, &RunEnd::Completed, output(200), 3, at(2_000)));
    for (name, due) in [("urgent", 8_000), ("hopeless", 6_000), ("spare", 20_000), ("nearly-done", 8_000)] {
        accept(&mut table, name, 1, 0, due);
        dispatcher.add_job(table.job(&key(name)).expect("it was accepted"));
    }
    let running = |name: &str, run, events| RunningItem {
        key: ItemKey { job: key(name), item: 0 },
        run,
        events,
        is_pausing: false,
    };
    // The youngest runs are the most urgent ones, as they are started first.
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
fn an_item_that_finds_no_room_waits_longer_each_time() {
    let mut table = JobTable::default();
    accept(&mut table, "j", 1, 0, 60_000);
    let mut dispatcher = Dispatcher::default();
    dispatcher.restart(&table);
    for wait in [40, 80, 160] {
        let (item, kept) = dispatcher.take_next(at(wait * 10), UnixMillis(0)).expect("it is ready");
        assert!(!dispatcher.run_ended(&item, &RunEnd::NotRun, kept, 3, at(wait * 10)));
        assert!(dispatcher.take_next(at(wait * 10 + wait - 1), UnixMillis(0)).is_none());
    }
}

#[test]
fn an_impossible_item_is_given_up_at_once_and_an_ended_job_is_dropped() {
    let mut table = JobTable::default();
    accept(&mut table, "j", 2, 0, 20_000);
    let mut dispatcher = Dispatcher::default();
    dispatcher.restart(&table);
    let (first, _) = dispatcher.take_next(at(0), UnixMillis(0)).expect("it is ready");
    let (second, _) = dispatcher.take_next(at(0), UnixMillis(0)).expect("it is ready");
    assert!(dispatcher.run_ended(&first, &RunEnd::Impossible, PartialOutput::default(), 3, at(10)));
    assert_eq!(dispatcher.remove_job(&key("j")), vec![second.clone()], "what runs must be stopped");
    assert!(!dispatcher.run_ended(&second, &RunEnd::Completed, output(5), 3, at(20)));
    assert_eq!(dispatcher.open_count(), 0);
}

#[test]
fn outputs_are_joined_by_line_feeds() {
    let mut partial = PartialOutput::default();
    partial.push("", Some(1));
    partial.push("two", Some(2));
    partial.push("three", Some(3));
    assert_eq!(partial.text, "\ntwo\nthree");
    assert_eq!(partial.last_event, Some(3));
}

#[test]
fn shared_loads_leave_out_the_asker_and_old_news() {
    let count = |name: &str, requests| WorkerCount { worker: WorkerId(Arc::from(name)), requests };
    let news = |name: &str, requests, told| WorkerReport {
        worker: WorkerId(Arc::from(name)),
        requests,
        self_reported: told,
        ejected_by: 0,
        batch: 0,
    };
    let mut share = LoadAggregator::default();
    let first = LoadReport { workers: vec![news("w", 3, Some(9))], placed_per_s: 20, ..LoadReport::default() };
    let second = LoadReport {
        workers: vec![news("w", 4, None), news("v", 1, Some(1))],
        placed_per_s: 30,
        ..LoadReport::default()
    };
    share.record_report(NodeId(1), first, at(0));
    share.record_report(NodeId(2), second, at(500));
    let batch = [count("v", 2)];
    let heard = share.report_for(NodeId(1), &batch, at(500));
    let with_items = WorkerReport { batch: 2, ..news("v", 3, Some(1)) };
    assert_eq!(heard.workers, vec![with_items, news("w", 4, Some(9))]);
    assert_eq!(heard.placed_per_s, 30, "the asker knows its own");
    assert_eq!(heard.reporters, 2);
    assert_eq!(share.online_requests(at(500)), vec![count("v", 1), count("w", 7)]);
    assert_eq!(share.online_requests(at(1_200)), vec![count("v", 1), count("w", 4)]);
}

#[test]
fn a_worker_is_dead_once_it_failed_two_nodes_and_told_none() {
    let mut share = LoadAggregator::default();
    let failing = |told| {
        let news = WorkerReport {
            worker: WorkerId(Arc::from("w")),
            requests: 1,
            self_reported: told,
            ejected_by: 1,
            batch: 0,
        };
        LoadReport { workers: vec![news], ..LoadReport::default() }
    };
    share.record_report(NodeId(1), failing(None), at(0));
    assert_eq!(share.failed_workers(at(0)), vec![]);
    share.record_report(NodeId(2), failing(None), at(10));
    assert_eq!(share.failed_workers(at(10)), vec![WorkerId(Arc::from("w"))]);
    assert_eq!(share.report_for(NodeId(3), &[], at(10)).workers[0].ejected_by, 2);
    share.record_report(NodeId(2), failing(Some(1)), at(20));
    assert_eq!(share.failed_workers(at(20)), vec![]);
}

/// What one node of the oracle told, and when.
struct Tale {
    news: LoadReport,
    at: u64,
}

proptest! {
    #![proptest_config(support::fuzz_config())]

    /// The kept sums are those that would be made from all that was told within the last second, apart from
    /// what is believed for up to a tenth of a second longer.
    #[test]
    fn shared_loads_are_the_sums_of_what_was_told(
        tales in prop::collection::vec((0..6_u64, 0..400_u64, prop::collection::vec((0..5_u32, 0..9_u32), 0..5)), 1..40),
    ) {
        let mut share = LoadAggregator::default();
        let mut oracle: BTreeMap<u64, Tale> = BTreeMap::new();
        let mut now = 0;
        for (node, pause, loads) in tales {
            now += pause;
            let loads: BTreeMap<u32, u32> = loads.into_iter().collect();
            let named = |(worker, requests): (&u32, &u32)| WorkerReport {
                worker: WorkerId(Arc::from(format!("w{worker}"))),
                requests: *requests,
                self_reported: None,
                ejected_by: 0,
                batch: 0,
            };
            let news = LoadReport { workers: loads.iter().map(named).collect(), placed_per_s: node as u32, ..LoadReport::default() };
            share.record_report(NodeId(node), news.clone(), at(now));
            oracle.insert(node, Tale { news, at: now });
            let heard = share.report_for(NodeId(node), &[], at(now));
            let sum = |least_age: u64, worker: &WorkerId| -> u32 {
                let others = oracle.iter().filter(|(other, tale)| **other != node && now - tale.at < least_age);
                others.flat_map(|(_, tale)| &tale.news.workers).filter(|news| news.worker == *worker).map(|news| news.requests).sum()
            };
            for worker in 0..5 {
                let worker = WorkerId(Arc::from(format!("w{worker}")));
                let requests = heard.workers.iter().find(|news| news.worker == worker).map_or(0, |news| news.requests);
                prop_assert!(sum(1_000, &worker) <= requests && requests <= sum(1_100, &worker));
            }
        }
    }
}

fn pair() -> GroupMembership {
    GroupMembership::of_voters([NodeId(1), NodeId(2)])
}

fn view(membership: &GroupMembership, own: u64, leads: bool) -> PairView<'_> {
    PairView {
        own: NodeId(own),
        leads,
        membership,
        index: LogIndex(50),
        is_committed: true,
        other_is_lost: false,
        wants_change: false,
    }
}

fn stored(state: PairState, index: u64) -> StoredPair {
    let record = PairRecord { index: LogIndex(index), voters: pair().voters, state };
    StoredPair { record: Some(record), revision: 9 }
}

#[test]
fn a_pair_is_recorded_only_once_it_is_committed() {
    let membership = pair();
    let nothing = StoredPair::default();
    let uncommitted = PairView { is_committed: false, ..view(&membership, 1, true) };
    assert_eq!(nothing.next_write(&uncommitted), None);
    let written = nothing.next_write(&view(&membership, 1, true)).expect("it is due");
    assert_eq!(written.state, PairState::Whole);
    assert_eq!(nothing.next_write(&view(&membership, 2, false)), None, "a follower writes nothing");
    let three = GroupMembership::of_voters([NodeId(1), NodeId(2), NodeId(3)]);
    assert_eq!(nothing.next_write(&view(&three, 1, true)), None);
}

#[test]
fn only_a_member_of_the_recorded_pair_may_survive_it() {
    let membership = pair();
    let lost = PairView { other_is_lost: true, ..view(&membership, 2, false) };
    let written = stored(PairState::Whole, 50).next_write(&lost).expect("it is due");
    assert_eq!(written.state, PairState::Survived(NodeId(2)));
    assert_eq!(stored(PairState::Whole, 49).next_write(&lost), None, "the record is of another membership");
    assert_eq!(stored(PairState::Dissolved, 50).next_write(&lost), None, "the group has grown since");
    assert_eq!(stored(PairState::Survived(NodeId(1)), 50).next_write(&lost), None, "the other was first");
    assert!(stored(PairState::Survived(NodeId(2)), 50).makes_survivor(NodeId(2), &membership, LogIndex(50)));
    assert!(!stored(PairState::Survived(NodeId(1)), 50).makes_survivor(NodeId(2), &membership, LogIndex(50)));
}

#[test]
fn a_pair_is_dissolved_before_the_group_grows() {
    let membership = pair();
    let grows = PairView { wants_change: true, ..view(&membership, 1, true) };
    for known in [StoredPair::default(), stored(PairState::Whole, 50)] {
        assert!(!known.allows_change(&membership, LogIndex(50)));
        assert_eq!(known.next_write(&grows).map(|record| record.state), Some(PairState::Dissolved));
    }
    let dissolved = stored(PairState::Dissolved, 50);
    assert!(dissolved.allows_change(&membership, LogIndex(50)));
    assert_eq!(dissolved.next_write(&grows), None);
}

fn progress(name: &str, after: LoggedOutput, text: &str, last_event: u64) -> JobCommand {
    let key = ItemKey { job: key(name), item: 0 };
    JobCommand::Progress(vec![ItemProgress { key, after, text: Arc::from(text), last_event: Some(last_event) }])
}

#[test]
fn another_leader_goes_on_from_what_the_log_has() {
    let mut table = JobTable::default();
    accept(&mut table, "j", 1, 0, 20_000);
    let mut first = Dispatcher::default();
    first.restart(&table);
    let (item, mut output) = first.take_next(at(0), UnixMillis(0)).expect("it is ready");
    for number in 1..=30 {
        output.push(&format!("piece {number}"), Some(number));
    }
    let logged = first.progress_of(&item, &output).expect("that is much");
    first.progress_proposed(&logged);
    assert_eq!(first.progress_of(&item, &output), None, "nothing more came");
    table.apply(JobCommand::Progress(vec![logged]));
    let mut second = Dispatcher::default();
    second.restart(&table);
    let (item, mut output) = second.take_next(at(0), UnixMillis(0)).expect("it is ready");
    assert_eq!(output.last_event, Some(30), "it goes on after the thirtieth event");
    output.push("piece 31", Some(31));
    assert!(second.run_ended(&item, &RunEnd::Completed, output, 3, at(100)));
    let finished = second.uncommitted_results().pop().expect("a result is due");
    assert_eq!(table.apply(finished), JobOutcome::Committed);
    let whole: Vec<String> = (1..=31).map(|number| format!("piece {number}")).collect();
    assert_eq!(&*table.job(&key("j")).expect("it is there").results[0].text, whole.join("\n"));
}

#[test]
fn a_result_that_does_not_follow_on_what_the_log_has_is_dropped() {
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
    assert_eq!(&*table.job(&key("j")).expect("it is there").results[0].text, "one\ntwo\nthree");
}
