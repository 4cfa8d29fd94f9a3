//! Guards against accepted items that make no progress without a word about why, at storage nodes and at gateways.

use std::sync::Arc;

use stallmoor_core::identity::NodeId;
use stallmoor_core::replication::{CommitWatch, LogIndex};
use stallmoor_core::serving::crashes::{ItemWait, WaitReason};
use stallmoor_core::serving::jobs::command::{JobCommand, JobItem, JobKey, PartialOutput, Submission};
use stallmoor_core::serving::jobs::dispatch::{Dispatcher, RunEnd, WaitCause, WaitingItems, WorkerNeeds};
use stallmoor_core::serving::jobs::standstill::{Stall, StallCause, StallLog, StallReport, Standstill};
use stallmoor_core::serving::jobs::table::JobTable;
use stallmoor_core::serving::leader::leader_watch::LeaderWatch;
use stallmoor_core::serving::leader::load_schedule::LoadPartner;
use stallmoor_core::serving::regions::AllowedRegions;
use stallmoor_core::time::{Millis, Timestamp, UnixMillis};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn stall(cause: StallCause, items: u32, span: u64) -> Stall {
    Stall { cause, items, span: Millis(span), detail: Arc::from("detail") }
}

fn standstill(stalls: Vec<Stall>) -> Standstill {
    Standstill { open_items: 52, stalls }
}

/// Guards against a stall that is not reported, and against one that floods the log.
#[test]
fn a_stall_is_reported_when_it_begins_goes_on_and_ends() {
    let mut log = StallLog::default();
    let mut reports = Vec::new();
    for millis in (0..=12_000).step_by(250) {
        let known = Standstill::new(52, [stall(StallCause::Commit, 52, millis)]);
        reports.extend(log.poll(&known, at(millis)));
    }
    let spans = |report: &StallReport| if let StallReport::Stalled(stall) = report { stall.span.0 } else { 0 };
    assert_eq!(reports.iter().map(spans).collect::<Vec<_>>(), [1_000, 6_000, 11_000]);
    let ended = StallReport::Ended { cause: StallCause::Commit, span: Millis(12_250) };
    assert_eq!(log.poll(&Standstill::default(), at(12_250)), [ended]);
    assert_eq!(log.poll(&Standstill::default(), at(12_500)), []);
}

/// Guards against one cause that hides another one.
#[test]
fn stalls_of_one_cause_are_added_up_and_bounded() {
    let long = Stall { detail: Arc::from("ä".repeat(1_000)), ..stall(StallCause::Worker, 3, 9_000) };
    let known = Standstill::new(9, [stall(StallCause::Worker, 2, 2_000), long, stall(StallCause::Delay, 1, 999)]);
    let [only] = known.stalls.as_slice() else { panic!("one cause is reportable: {known:?}") };
    assert_eq!((only.cause, only.items, only.span), (StallCause::Worker, 5, Millis(9_000)));
    assert!(only.detail.len() <= 320);
}

/// Guards against a gateway that says nothing while no leader answers it.
#[test]
fn a_gateway_reports_that_no_leader_answers() {
    let mut watch = LeaderWatch::new(at(0));
    assert_eq!(watch.standstill(None, 3, at(900)).stalls, []);
    let silent = watch.standstill(None, 3, at(4_000));
    let own = silent.of(StallCause::NoLeader).expect("no leader has answered");
    assert_eq!(own.span, Millis(4_000));
    assert!(own.detail.contains("none has answered since the start, 3 storage nodes known"), "{}", own.detail);
    watch.record_answer(LoadPartner::Leader, Some(standstill(Vec::new())), at(4_000));
    assert_eq!(watch.standstill(Some(NodeId(1)), 3, at(4_900)).stalls, []);
    let lost = watch.standstill(Some(NodeId(1)), 3, at(6_000));
    assert_eq!(lost.of(StallCause::NoLeader).map(|stall| (stall.items, stall.span)), Some((52, Millis(2_000))));
}

/// Guards against a gateway that knows only its own silence, while an acting aggregator tells it what the group lacks.
#[test]
fn a_gateway_passes_on_what_a_storage_node_says() {
    let mut watch = LeaderWatch::new(at(0));
    let acting = LoadPartner::Acting(NodeId(2));
    watch.record_answer(acting, Some(standstill(vec![stall(StallCause::NoLeader, 52, 9_000)])), at(500));
    let known = watch.standstill(None, 3, at(700));
    let told = known.of(StallCause::NoLeader).expect("the storage node knows no leader");
    assert_eq!((told.items, told.span), (52, Millis(9_200)));
    assert!(told.detail.contains("a storage node: detail"), "{}", told.detail);
    // An acting aggregator that knows a leader does not make up for the leader's silence.
    watch.record_answer(acting, Some(standstill(Vec::new())), at(3_000));
    assert_eq!(
        watch.standstill(None, 3, at(3_000)).of(StallCause::NoLeader).map(|stall| stall.span),
        Some(Millis(3_000))
    );
}

/// Guards against a gateway that forgets how many items are open, as an acting aggregator that still follows the lost leader
/// does not count them.
#[test]
fn a_follower_does_not_change_the_number_of_open_items() {
    let mut watch = LeaderWatch::new(at(0));
    watch.record_answer(LoadPartner::Leader, Some(standstill(Vec::new())), at(0));
    watch.record_answer(LoadPartner::Acting(NodeId(2)), Some(Standstill::default()), at(600));
    let lost = watch.standstill(None, 3, at(1_500));
    assert_eq!(lost.open_items, 52);
    assert_eq!(lost.of(StallCause::NoLeader).map(|stall| stall.items), Some(52));
}

/// Guards against gateways that don't know why the leader runs no items.
#[test]
fn a_gateway_passes_on_what_the_leader_says_until_it_is_old() {
    let mut watch = LeaderWatch::new(at(0));
    let told = standstill(vec![stall(StallCause::Commit, 52, 5_000)]);
    watch.record_answer(LoadPartner::Leader, Some(told), at(100));
    let known = watch.standstill(Some(NodeId(1)), 3, at(400));
    assert_eq!(known.of(StallCause::Commit).map(|stall| (stall.items, stall.span)), Some((52, Millis(5_300))));
    assert_eq!(known.of(StallCause::NoLeader), None);
    assert_eq!(watch.standstill(Some(NodeId(1)), 3, at(2_200)).of(StallCause::Commit), None);
    // A leader of a former version answers without.
    watch.record_answer(LoadPartner::Leader, None, at(2_300));
    assert_eq!(watch.standstill(Some(NodeId(1)), 3, at(2_400)).stalls, []);
}

/// Guards against causes of later versions that make an answer unreadable.
#[test]
fn an_unknown_cause_is_read_as_another_one() {
    for cause in StallCause::all() {
        assert_eq!(StallCause::from(cause.name().to_owned()), cause);
    }
    assert_eq!(StallCause::from("of_a_later_version".to_owned()), StallCause::Other);
}

/// Guards against a wait for a commit that counts although entries are committed, or that is not noticed.
#[test]
fn the_wait_for_a_commit_begins_anew_with_each_commit() {
    let mut watch = CommitWatch::default();
    let mut observe = |commit, last, millis| {
        watch.observe(LogIndex(commit), LogIndex(last), at(millis));
        watch.since()
    };
    assert_eq!(observe(5, 5, 0), None);
    assert_eq!(observe(5, 6, 20), Some(at(20)));
    assert_eq!(observe(5, 9, 900), Some(at(20)));
    assert_eq!(observe(7, 9, 920), Some(at(920)));
    assert_eq!(observe(9, 9, 940), None);
}

fn dispatcher(items: u32) -> Dispatcher {
    let item = |number: u32| JobItem {
        id: Arc::from(format!("{number}")),
        path: Arc::from("/batch/x"),
        headers: Vec::new(),
        body: Arc::from([0; 10]),
        token_count: 100,
    };
    let mut table = JobTable::default();
    table.apply(JobCommand::Accept(Submission {
        key: JobKey(Arc::from("job")),
        route: Arc::from("route"),
        host: Arc::from("host"),
        tenant: None,
        items: (0..items).map(item).collect(),
        configuration_version: 7,
        received_at: UnixMillis(0),
        due: Millis(20_000),
        queued_token_limit: None,
    }));
    let mut dispatcher = Dispatcher::default();
    dispatcher.restart(&table);
    dispatcher
}

/// Guards against items that wait in a state of which nothing is said: quarantined, delayed, ended and not committed.
#[test]
fn the_review_says_what_each_item_that_does_not_run_waits_for() {
    let mut dispatcher = dispatcher(6);
    dispatcher.begin_round(7, at(0));
    let needs = WorkerNeeds { service: Arc::from("lm"), version: None, regions: AllowedRegions::Any };
    let cause = WaitCause::Worker(needs);
    let mut keys = Vec::new();
    while let Some((key, _)) = dispatcher.take_next(at(0), UnixMillis(0)) {
        keys.push(key);
        if keys.len() == 5 {
            break;
        }
    }
    let wait = ItemWait { reason: WaitReason::Part, crashes: 2, until: UnixMillis(30_000) };
    dispatcher.delay_quarantined(&keys[0], PartialOutput::default(), &wait, at(0), UnixMillis(0));
    dispatcher.record_start(&keys[1], &cause, at(0));
    dispatcher.finish_run(&keys[1], &RunEnd::Completed, PartialOutput::default(), 3, at(0));
    dispatcher.finish_run(&keys[2], &RunEnd::OutputTooLarge, PartialOutput::default(), 3, at(0));
    dispatcher.wait_for(&keys[3], PartialOutput::default(), &cause, at(0));
    dispatcher.record_start(&keys[4], &cause, at(0));
    assert_eq!(dispatcher.review_idle(at(0)).stalls, []);
    let review = dispatcher.review_idle(at(1_500));
    let causes: Vec<(StallCause, u32, u64, &str)> =
        review.stalls.iter().map(|stall| (stall.cause, stall.items, stall.span.0, &*stall.detail)).collect();
    let expected = [
        (StallCause::Result, 1, 1_500, "not committed 1"),
        (StallCause::Quarantine, 1, 1_500, "part 1"),
        (StallCause::Delay, 1, 1_500, "after a run 1"),
        (StallCause::Untried, 1, 1_500, "ready 1"),
    ];
    assert_eq!(causes, expected, "items that lack a worker are told by their needs");
    let state_of = |key| review.items.iter().find(|item| item.key == key).map(|item| item.state.as_str());
    assert_eq!(state_of(keys[0].clone()), Some("delayed by part for 0 ms"));
    assert_eq!(state_of(keys[1].clone()), Some("ended as Completed, not committed"));
    assert_eq!(state_of(keys[4].clone()), Some("runs"));
}

/// Guards against items that start again and are still reported.
#[test]
fn an_item_that_starts_is_no_longer_idle() {
    let mut dispatcher = dispatcher(1);
    dispatcher.review_idle(at(0));
    dispatcher.begin_round(7, at(5_000));
    let (key, _) = dispatcher.take_next(at(5_000), UnixMillis(0)).expect("the item is ready");
    let needs = WorkerNeeds { service: Arc::from("lm"), version: None, regions: AllowedRegions::Any };
    dispatcher.record_start(&key, &WaitCause::Worker(needs), at(5_000));
    dispatcher.finish_run(&key, &RunEnd::NotRun, PartialOutput::default(), 3, at(5_010));
    assert_eq!(dispatcher.review_idle(at(5_020)).stalls, []);
}

/// Guards against a leader of thousands of items that lists them all.
#[test]
fn the_list_of_items_is_bounded_and_begins_with_those_that_wait_longest() {
    let mut dispatcher = dispatcher(5_000);
    dispatcher.review_idle(at(0));
    let review = dispatcher.review_idle(at(2_000));
    assert_eq!(review.stalls.iter().map(|stall| stall.items).sum::<u32>(), 5_000);
    assert_eq!(review.items.len(), 20);
}

/// Guards against ready items that lack something and are counted as tried by none.
#[test]
fn ready_items_are_told_by_what_they_lack() {
    let regions = AllowedRegions::Any;
    let needs = |version| WorkerNeeds { service: Arc::from("lm"), version, regions: regions.clone() };
    let waiting = |cause| WaitingItems { cause, items: 4, since: at(0) };
    let cause_of = |cause| Stall::of_waiting(&waiting(cause), at(3_000)).cause;
    assert_eq!(cause_of(WaitCause::Worker(needs(None))), StallCause::Worker);
    assert_eq!(cause_of(WaitCause::Configuration(9)), StallCause::Configuration);
    assert_eq!(cause_of(WaitCause::AnyConfiguration), StallCause::AnyConfiguration);
    assert_eq!(Stall::of_waiting(&waiting(WaitCause::AnyConfiguration), at(3_000)).span, Millis(3_000));
}
