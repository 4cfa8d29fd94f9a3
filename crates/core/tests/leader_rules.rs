//! Which node a request to the job table goes to, and with whom loads are exchanged, on a virtual clock.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use stallmoor_core::identity::NodeId;
use stallmoor_core::peer_message::GroupRefusal;
use stallmoor_core::replication::Term;
use stallmoor_core::serving::configuration::tenant::CallerIdentity;
use stallmoor_core::serving::jobs::command::JobKey;
use stallmoor_core::serving::jobs::directory::{StorageDirectory, StorageRecord};
use stallmoor_core::serving::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::serving::leader::load_schedule::{LoadPartner, LoadSchedule, PlacementRate};
use stallmoor_core::serving::leader::search::{
    LeaderSearch, NoLeader, SearchDecision, SearchStep, TryOutcome, is_expected,
};
use stallmoor_core::serving::quota::message::{QuotaLevels, QuotaReport};
use stallmoor_core::serving::relay::choice::rank_aggregators;
use stallmoor_core::serving::stopping::GatewayStop;
use stallmoor_core::serving::workers::{LoadReport, WorkerId, WorkerReport};
use stallmoor_core::time::{Millis, Timestamp};

const ZONE: &str = "zone-a";
const GATEWAY: NodeId = NodeId(99);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

/// Storing nodes 1 and 3 in another zone, 2 and 4 in the asker's.
fn storage() -> StorageDirectory {
    let mut storage = StorageDirectory::default();
    for number in 1..=4 {
        let zone = if number % 2 == 0 { ZONE } else { "zone-b" };
        storage.upsert(StorageRecord {
            name: Arc::from(format!("storage-{number}")),
            node: NodeId(number),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7_000 + number as u16)),
            zone: Arc::from(zone),
        });
    }
    storage
}

fn load_request() -> JobsRequest {
    JobsRequest::ReportLoad(LoadReport::default())
}

fn asked(step: SearchStep) -> (NodeId, Millis) {
    match step {
        SearchStep::Send { target, timeout } => (target.node, timeout),
        other => panic!("no node is asked: {other:?}"),
    }
}

fn not_leader(leader: Option<NodeId>) -> TryOutcome {
    TryOutcome::Refused(GroupRefusal::NotLeader { term: Term(3), leader })
}

#[test]
fn without_a_known_leader_each_storing_node_is_asked_in_turn_those_of_the_zone_first() {
    let storage = storage();
    let mut search = LeaderSearch::new(&load_request(), at(60_000));
    let mut order = Vec::new();
    for _ in 0..5 {
        let (node, _) = asked(search.next(None, &storage, ZONE, at(0)));
        order.push(node.0);
        let verdict = search.tried(node, TryOutcome::NotSent);
        assert_eq!(verdict, SearchDecision::Retry { leader: None, wait: Millis(10) });
    }
    assert_eq!(order, [2, 4, 1, 3, 2]);
}

#[test]
fn among_many_storing_nodes_every_second_one_that_is_asked_founded_the_group() {
    let mut storage = StorageDirectory::default();
    for number in 1..=150 {
        storage.upsert(StorageRecord {
            name: Arc::from(format!("storage-{number}")),
            node: NodeId(number),
            address: SocketAddr::from(([10, 0, 0, number as u8], 7_000)),
            zone: Arc::from(if number % 5 == 0 { ZONE } else { "zone-b" }),
        });
    }
    let founders = [NodeId(7), NodeId(50), NodeId(99)];
    storage.set_founders(founders.into());
    // Another search has gone on for long.
    let mut search = LeaderSearch::new(&load_request(), at(60_000)).with_previous_tries(41);
    let mut asked_founders = std::collections::BTreeSet::new();
    let mut asked_all = std::collections::BTreeSet::new();
    for round in 0..2 * storage.len() {
        let (node, _) = asked(search.next(None, &storage, ZONE, at(0)));
        asked_all.insert(node);
        if round < 7 && founders.contains(&node) {
            asked_founders.insert(node);
        }
        search.tried(node, TryOutcome::Refused(GroupRefusal::Busy));
    }
    assert_eq!(asked_founders.len(), founders.len(), "each within seven tries");
    assert_eq!(asked_all.len(), storage.len(), "and nobody is left out");
}

#[test]
fn a_known_leader_is_asked_and_a_hint_is_followed_at_once() {
    let storage = storage();
    let mut search = LeaderSearch::new(&load_request(), at(60_000));
    assert_eq!(asked(search.next(Some(NodeId(3)), &storage, ZONE, at(0))).0, NodeId(3));
    let verdict = search.tried(NodeId(3), not_leader(Some(NodeId(1))));
    assert_eq!(verdict, SearchDecision::Retry { leader: Some(NodeId(1)), wait: Millis(0) });
    let verdict = search.tried(NodeId(1), not_leader(Some(NodeId(1))));
    assert_eq!(verdict, SearchDecision::Retry { leader: None, wait: Millis(60) }, "a node can't point to itself");
    assert_eq!(
        search.tried(NodeId(1), TryOutcome::Refused(GroupRefusal::Busy)),
        SearchDecision::Retry { leader: None, wait: Millis(60) },
    );
    // A leader without a record is as good as none.
    assert_eq!(asked(search.next(Some(NodeId(77)), &storage, ZONE, at(0))).0, NodeId(4));
}

#[test]
fn a_try_ends_in_time_and_a_read_may_be_held_back() {
    let storage = storage();
    let mut search = LeaderSearch::new(&load_request(), at(2_000));
    assert_eq!(asked(search.next(None, &storage, ZONE, at(0))).1, Millis(900));
    assert_eq!(asked(search.next(None, &storage, ZONE, at(1_500))).1, Millis(500), "no longer than the caller waits");
    let read = JobsRequest::Read {
        job: JobKey(Arc::from("job-1")),
        first: 0,
        wait: Millis(700),
        caller: CallerIdentity::Unchecked,
    };
    let mut search = LeaderSearch::new(&read, at(5_000));
    assert_eq!(asked(search.next(None, &storage, ZONE, at(0))).1, Millis(1_600));
}

#[test]
fn a_search_that_finds_no_node_waits_and_is_given_up_in_time() {
    let mut search = LeaderSearch::new(&load_request(), at(250));
    let nobody = StorageDirectory::default();
    assert_eq!(search.next(None, &nobody, ZONE, at(0)), SearchStep::Wait(Millis(60)));
    let given_up = SearchStep::TimedOut(NoLeader { may_have_arrived: false });
    assert_eq!(search.next(None, &nobody, ZONE, at(250)), given_up);
}

#[test]
fn a_refusal_says_nothing_of_an_earlier_try_that_may_have_arrived() {
    let refusal = || TryOutcome::Answered(JobsAnswer::NoRoom);
    let mut search = LeaderSearch::new(&load_request(), at(1_000));
    assert_eq!(search.tried(NodeId(1), refusal()), SearchDecision::Done(JobsAnswer::NoRoom));
    for unsure in [TryOutcome::NoAnswer, TryOutcome::Answered(JobsAnswer::Indeterminate)] {
        let mut search = LeaderSearch::new(&load_request(), at(1_000));
        assert!(matches!(search.tried(NodeId(1), unsure), SearchDecision::Retry { leader: None, .. }));
        assert_eq!(search.tried(NodeId(2), refusal()), SearchDecision::Done(JobsAnswer::Indeterminate));
        let accepted = TryOutcome::Answered(JobsAnswer::Accepted);
        assert_eq!(search.tried(NodeId(2), accepted), SearchDecision::Done(JobsAnswer::Accepted));
        let given_up = SearchStep::TimedOut(NoLeader { may_have_arrived: true });
        assert_eq!(search.next(None, &storage(), ZONE, at(1_000)), given_up);
    }
}

#[test]
fn an_exchange_expects_an_answer_of_its_own_kind() {
    let loads = JobsAnswer::Loads(LoadReport::default());
    let levels = JobsAnswer::Quota(QuotaLevels::default());
    let quota_report = JobsRequest::ReportQuota(QuotaReport::default());
    for report in [load_request(), JobsRequest::AggregateLoad(LoadReport::default())] {
        assert!(is_expected(&report, &loads));
        assert!(!is_expected(&report, &levels));
        assert!(!is_expected(&report, &JobsAnswer::Accepted));
    }
    assert!(is_expected(&quota_report, &levels));
    assert!(!is_expected(&quota_report, &loads));
}

fn gathered(nodes: u32, reporters: u32) -> LoadReport {
    LoadReport { nodes, reporters, ..LoadReport::default() }
}

fn busy() -> LoadReport {
    let worker =
        WorkerReport { worker: WorkerId(Arc::from("w1")), requests: 1, self_reported: None, ejected_by: 0, batch: 0 };
    LoadReport { workers: vec![worker], ..LoadReport::default() }
}

#[test]
fn loads_go_to_the_leader_until_there_are_many_gateways_then_to_the_first_aggregator_of_the_zone() {
    let storage = storage();
    let ranked = rank_aggregators(&storage, ZONE, GATEWAY);
    let mut schedule = LoadSchedule::default();
    let partner = |schedule: &LoadSchedule, now| schedule.partner(&storage, ZONE, GATEWAY, at(now));
    assert_eq!(partner(&schedule, 0), LoadPartner::Leader);
    schedule.answered(LoadPartner::Leader, &gathered(99, 99));
    assert_eq!(partner(&schedule, 0), LoadPartner::Leader);
    schedule.answered(LoadPartner::Leader, &gathered(100, 100));
    assert_eq!(partner(&schedule, 0), LoadPartner::Aggregator(ranked[0]));
}

#[test]
fn an_aggregator_that_gives_no_answer_is_avoided_longer_each_time() {
    let storage = storage();
    let ranked = rank_aggregators(&storage, ZONE, GATEWAY);
    let mut schedule = LoadSchedule::default();
    schedule.answered(LoadPartner::Leader, &gathered(100, 100));
    let partner = |schedule: &LoadSchedule, now| schedule.partner(&storage, ZONE, GATEWAY, at(now));
    schedule.failed(LoadPartner::Aggregator(ranked[0]), at(0));
    assert_eq!(partner(&schedule, 999), LoadPartner::Aggregator(ranked[1]));
    assert_eq!(partner(&schedule, 1_000), LoadPartner::Aggregator(ranked[0]));
    schedule.failed(LoadPartner::Aggregator(ranked[0]), at(1_000));
    assert_eq!(partner(&schedule, 2_999), LoadPartner::Aggregator(ranked[1]));
    assert_eq!(partner(&schedule, 3_000), LoadPartner::Aggregator(ranked[0]));
    for relay in &ranked[..3] {
        schedule.failed(LoadPartner::Aggregator(*relay), at(3_000));
    }
    assert_eq!(partner(&schedule, 3_500), LoadPartner::Leader, "three are tried");
    schedule.answered(LoadPartner::Aggregator(ranked[0]), &gathered(100, 40));
    assert_eq!(partner(&schedule, 3_500), LoadPartner::Aggregator(ranked[0]));
}

#[test]
fn a_missing_answer_leaves_the_interval_as_it_is_and_an_idle_node_reports_seldom() {
    let mut schedule = LoadSchedule::default();
    assert_eq!(schedule.wait_after(&busy()), Millis(40));
    schedule.answered(LoadPartner::Leader, &gathered(90, 90));
    assert_eq!(schedule.wait_after(&busy()), Millis(100));
    schedule.failed(LoadPartner::Leader, at(0));
    assert_eq!(schedule.wait_after(&busy()), Millis(100));
    assert_eq!(schedule.wait_after(&LoadReport::default()), Millis(600));
}

#[test]
fn the_rate_of_placement_is_smoothed_by_half() {
    let mut rate = PlacementRate::new(at(0));
    assert_eq!(rate.sample(40, at(100)), 200);
    assert_eq!(rate.sample(40, at(200)), 100);
    assert_eq!(rate.sample(40, at(200)), 50, "no time passed");
}

#[test]
fn a_planned_stop_takes_connections_for_a_while_and_ends_before_the_grace() {
    let stop = GatewayStop::within(Millis(8_000));
    assert_eq!(stop, GatewayStop { drain_period: Millis(2_600), ends_after: Millis(7_600) });
    let short = GatewayStop::within(Millis(3_000));
    assert_eq!(short, GatewayStop { drain_period: Millis(1_300), ends_after: Millis(2_600) });
    let none = GatewayStop::within(Millis(100));
    assert_eq!(none, GatewayStop { drain_period: Millis(0), ends_after: Millis(0) });
}
