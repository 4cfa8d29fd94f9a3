//! Finding the job table's leader, scheduling load exchanges, and the phases of a shutdown, on a virtual clock.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use stallmoor_core::identity::NodeId;
use stallmoor_core::peer_message::GroupRefusal;
use stallmoor_core::replication::Term;
use stallmoor_core::serving::configuration::tenant::CallerIdentity;
use stallmoor_core::serving::jobs::command::{JobKey, Submission};
use stallmoor_core::serving::jobs::directory::{StorageDirectory, StorageRecord};
use stallmoor_core::serving::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::serving::leader::load_schedule::{LoadPartner, LoadSchedule, PlacementRate};
use stallmoor_core::serving::leader::search::{
    LeaderSearch, NoLeader, SearchDecision, SearchStep, TryOutcome, is_expected,
};
use stallmoor_core::serving::leader::storage_reach::{StorageReach, SubmissionStep};
use stallmoor_core::serving::quota::message::{QuotaLevels, QuotaReport};
use stallmoor_core::serving::relay::choice::rank_aggregators;
use stallmoor_core::serving::stopping::GatewayStop;
use stallmoor_core::serving::workers::cold_start::PERMIT_LIFETIME;
use stallmoor_core::serving::workers::{LoadReport, WorkerId, WorkerReport};
use stallmoor_core::time::{Millis, Timestamp, UnixMillis};

const ZONE: &str = "zone-a";
const GATEWAY: NodeId = NodeId(99);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

/// Storage nodes 1 and 3 in another zone, 2 and 4 in the zone of the requesting node.
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

fn sent_to(step: SearchStep) -> (NodeId, Millis) {
    match step {
        SearchStep::Send { target, timeout } => (target.node, timeout),
        other => panic!("the request is not sent: {other:?}"),
    }
}

fn not_leader(leader: Option<NodeId>) -> TryOutcome {
    TryOutcome::Refused(GroupRefusal::NotLeader { term: Term(3), leader })
}

#[test]
fn without_a_known_leader_all_storage_nodes_are_tried_starting_with_the_local_zone() {
    let storage = storage();
    let mut search = LeaderSearch::new(&load_request(), at(60_000));
    let mut order = Vec::new();
    for _ in 0..5 {
        let (node, _) = sent_to(search.next(None, &storage, ZONE, at(0)));
        order.push(node.0);
        let decision = search.record_outcome(node, TryOutcome::NotSent, at(0));
        assert_eq!(decision, SearchDecision::Retry { leader: None, wait: Millis(10) });
    }
    assert_eq!(order, [2, 4, 1, 3, 2]);
}

#[test]
fn without_a_known_leader_every_second_node_tried_is_a_founder() {
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
    // Continues after many attempts of earlier searches.
    let mut search = LeaderSearch::new(&load_request(), at(60_000)).with_previous_tries(41);
    let mut tried_founders = std::collections::BTreeSet::new();
    let mut tried_nodes = std::collections::BTreeSet::new();
    for round in 0..2 * storage.len() {
        let (node, _) = sent_to(search.next(None, &storage, ZONE, at(0)));
        tried_nodes.insert(node);
        if round < 7 && founders.contains(&node) {
            tried_founders.insert(node);
        }
        search.record_outcome(node, TryOutcome::Refused(GroupRefusal::Busy), at(0));
    }
    assert_eq!(tried_founders.len(), founders.len(), "each founder is tried within seven attempts");
    assert_eq!(tried_nodes.len(), storage.len(), "every node is tried");
}

#[test]
fn known_leader_is_used_and_redirects_are_followed_without_delay() {
    let storage = storage();
    let mut search = LeaderSearch::new(&load_request(), at(60_000));
    assert_eq!(sent_to(search.next(Some(NodeId(3)), &storage, ZONE, at(0))).0, NodeId(3));
    let decision = search.record_outcome(NodeId(3), not_leader(Some(NodeId(1))), at(0));
    assert_eq!(decision, SearchDecision::Retry { leader: Some(NodeId(1)), wait: Millis(0) });
    let decision = search.record_outcome(NodeId(1), not_leader(Some(NodeId(1))), at(0));
    assert_eq!(decision, SearchDecision::Retry { leader: None, wait: Millis(60) }, "a redirect to itself is ignored");
    assert_eq!(
        search.record_outcome(NodeId(1), TryOutcome::Refused(GroupRefusal::Busy), at(0)),
        SearchDecision::Retry { leader: None, wait: Millis(60) },
    );
    // A leader without a storage record is treated as unknown.
    assert_eq!(sent_to(search.next(Some(NodeId(77)), &storage, ZONE, at(0))).0, NodeId(4));
}

#[test]
fn attempt_timeout_is_limited_by_the_deadline_and_extended_by_the_wait_of_a_read() {
    let storage = storage();
    let mut search = LeaderSearch::new(&load_request(), at(2_000));
    assert_eq!(sent_to(search.next(None, &storage, ZONE, at(0))).1, Millis(900));
    assert_eq!(sent_to(search.next(None, &storage, ZONE, at(1_500))).1, Millis(500), "limited by the deadline");
    let read = JobsRequest::Read {
        job: JobKey(Arc::from("job-1")),
        first: 0,
        wait: Millis(700),
        caller: CallerIdentity::Unchecked,
    };
    let mut search = LeaderSearch::new(&read, at(5_000));
    assert_eq!(sent_to(search.next(None, &storage, ZONE, at(0))).1, Millis(1_600));
}

fn submission() -> JobsRequest {
    JobsRequest::Submit(Submission {
        key: JobKey(Arc::from("job-1")),
        route: Arc::from("batch"),
        host: Arc::from("front.example"),
        tenant: None,
        items: Vec::new(),
        configuration_version: 1,
        received_at: UnixMillis(0),
        due: Millis(20_000),
        queued_token_limit: None,
    })
}

/// Guards against submissions that wait for a dead leader until they are late, and against ones that are sent to it
/// again because its followers have not noticed its end.
#[test]
fn submission_is_soon_sent_to_other_nodes_and_not_back_to_the_silent_one() {
    let storage = storage();
    let silent = Some(NodeId(3));
    let mut search = LeaderSearch::new(&submission(), at(2_500));
    assert_eq!(sent_to(search.next(silent, &storage, ZONE, at(0))), (NodeId(3), Millis(300)));
    let decision = search.record_outcome(NodeId(3), TryOutcome::NoAnswer, at(300));
    assert_eq!(decision, SearchDecision::Retry { leader: None, wait: Millis(10) });
    let mut asked = Vec::new();
    for millis in [310, 370, 430, 490, 550] {
        let (node, timeout) = sent_to(search.next(None, &storage, ZONE, at(millis)));
        assert_eq!(timeout, Millis(600), "each missing answer doubles the time");
        asked.push(node.0);
        let decision = search.record_outcome(node, not_leader(silent), at(millis));
        assert_eq!(decision, SearchDecision::Retry { leader: None, wait: Millis(60) }, "the named leader is silent");
    }
    assert!(!asked.contains(&3), "{asked:?}");
    // Another submission learns of it.
    let mut other = LeaderSearch::new(&submission(), at(3_000)).with_unresponsive(search.unresponsive());
    assert_ne!(sent_to(other.next(silent, &storage, ZONE, at(599))).0, NodeId(3));
    // A leader that was only slow is asked again.
    assert_eq!(sent_to(search.next(silent, &storage, ZONE, at(600))).0, NodeId(3));
    // Other calls are as patient as before.
    let mut call = LeaderSearch::new(&load_request(), at(3_000)).with_unresponsive(search.unresponsive());
    assert_eq!(sent_to(call.next(silent, &storage, ZONE, at(310))), (NodeId(3), Millis(900)));
}

#[test]
fn only_storage_node_is_asked_although_it_was_silent() {
    let mut storage = StorageDirectory::default();
    storage.upsert(StorageRecord {
        name: Arc::from("storage-1"),
        node: NodeId(1),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7_001)),
        zone: Arc::from(ZONE),
    });
    let mut search = LeaderSearch::new(&submission(), at(2_500));
    search.record_outcome(NodeId(1), TryOutcome::NoAnswer, at(300));
    assert_eq!(sent_to(search.next(None, &storage, ZONE, at(310))).0, NodeId(1));
}

#[test]
fn search_without_storage_nodes_waits_and_times_out() {
    let mut search = LeaderSearch::new(&load_request(), at(250));
    let no_nodes = StorageDirectory::default();
    assert_eq!(search.next(None, &no_nodes, ZONE, at(0)), SearchStep::Wait(Millis(60)));
    let timed_out = SearchStep::TimedOut(NoLeader { may_have_arrived: false });
    assert_eq!(search.next(None, &no_nodes, ZONE, at(250)), timed_out);
}

/// Guards against a silent node that takes up the lifetime of the permits that are asked for.
#[test]
fn request_for_permits_reaches_another_node_if_one_is_silent() {
    let until = at(PERMIT_LIFETIME.0);
    let mut search = LeaderSearch::new(&JobsRequest::RequestPermits(Vec::new()), until);
    let mut now = at(0);
    let mut asked = Vec::new();
    for _ in 0..2 {
        let (node, timeout) = sent_to(search.next(None, &storage(), ZONE, now));
        asked.push(node);
        now = now + timeout;
        search.record_outcome(node, TryOutcome::NoAnswer, now);
    }
    assert_ne!(asked[0], asked[1]);
    assert!(now < until, "no time is left for a third node");
}

#[test]
fn rejection_after_an_attempt_that_may_have_arrived_is_indeterminate() {
    let refusal = || TryOutcome::Answered(JobsAnswer::NoRoom);
    let mut search = LeaderSearch::new(&load_request(), at(1_000));
    assert_eq!(search.record_outcome(NodeId(1), refusal(), at(0)), SearchDecision::Done(JobsAnswer::NoRoom));
    for uncertain in [TryOutcome::NoAnswer, TryOutcome::Answered(JobsAnswer::Indeterminate)] {
        let mut search = LeaderSearch::new(&load_request(), at(1_000));
        assert!(matches!(
            search.record_outcome(NodeId(1), uncertain, at(0)),
            SearchDecision::Retry { leader: None, .. }
        ));
        assert_eq!(search.record_outcome(NodeId(2), refusal(), at(0)), SearchDecision::Done(JobsAnswer::Indeterminate));
        let accepted = TryOutcome::Answered(JobsAnswer::Accepted);
        assert_eq!(search.record_outcome(NodeId(2), accepted, at(0)), SearchDecision::Done(JobsAnswer::Accepted));
        let timed_out = SearchStep::TimedOut(NoLeader { may_have_arrived: true });
        assert_eq!(search.next(None, &storage(), ZONE, at(1_000)), timed_out);
    }
}

#[test]
fn exchange_expects_an_answer_of_the_matching_type() {
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

fn aggregated(nodes: u32, reporters: u32) -> LoadReport {
    LoadReport { nodes, reporters, ..LoadReport::default() }
}

fn busy() -> LoadReport {
    let worker =
        WorkerReport { worker: WorkerId(Arc::from("w1")), requests: 1, self_reported: None, ejected_by: 0, batch: 0 };
    LoadReport { workers: vec![worker], ..LoadReport::default() }
}

#[test]
fn loads_are_sent_to_the_zone_aggregator_once_there_are_many_gateways() {
    let storage = storage();
    let ranked = rank_aggregators(&storage, ZONE, GATEWAY);
    let mut schedule = LoadSchedule::default();
    let partner = |schedule: &LoadSchedule, now| schedule.partner(&storage, ZONE, GATEWAY, at(now));
    assert_eq!(partner(&schedule, 0), LoadPartner::Leader);
    schedule.record_answer(LoadPartner::Leader, &aggregated(99, 99), at(0));
    assert_eq!(partner(&schedule, 0), LoadPartner::Leader);
    schedule.record_answer(LoadPartner::Leader, &aggregated(100, 100), at(0));
    assert_eq!(partner(&schedule, 0), LoadPartner::Aggregator(ranked[0]));
}

#[test]
fn unresponsive_aggregator_is_avoided_with_exponential_backoff() {
    let storage = storage();
    let ranked = rank_aggregators(&storage, ZONE, GATEWAY);
    let mut schedule = LoadSchedule::default();
    schedule.record_answer(LoadPartner::Leader, &aggregated(100, 100), at(0));
    let partner = |schedule: &LoadSchedule, now| schedule.partner(&storage, ZONE, GATEWAY, at(now));
    schedule.record_failure(LoadPartner::Aggregator(ranked[0]), at(0));
    assert_eq!(partner(&schedule, 999), LoadPartner::Aggregator(ranked[1]));
    assert_eq!(partner(&schedule, 1_000), LoadPartner::Aggregator(ranked[0]));
    schedule.record_failure(LoadPartner::Aggregator(ranked[0]), at(1_000));
    assert_eq!(partner(&schedule, 2_999), LoadPartner::Aggregator(ranked[1]));
    assert_eq!(partner(&schedule, 3_000), LoadPartner::Aggregator(ranked[0]));
    for relay in &ranked[..3] {
        schedule.record_failure(LoadPartner::Aggregator(*relay), at(3_000));
    }
    assert_eq!(partner(&schedule, 3_500), LoadPartner::Leader, "at most three aggregators are tried");
    schedule.record_answer(LoadPartner::Aggregator(ranked[0]), &aggregated(100, 40), at(0));
    assert_eq!(partner(&schedule, 3_500), LoadPartner::Aggregator(ranked[0]));
}

#[test]
fn interval_is_unchanged_by_a_missing_answer_and_longer_for_an_idle_node() {
    let mut schedule = LoadSchedule::default();
    assert_eq!(schedule.wait_after(&busy()), Millis(40));
    schedule.record_answer(LoadPartner::Leader, &aggregated(90, 90), at(0));
    assert_eq!(schedule.wait_after(&busy()), Millis(100));
    schedule.record_failure(LoadPartner::Leader, at(0));
    assert_eq!(schedule.wait_after(&busy()), Millis(100));
    assert_eq!(schedule.wait_after(&LoadReport::default()), Millis(600));
}

/// Guards against an idle gateway that tries the leader alone, so that no storage node tells it why there is none.
#[test]
fn an_idle_node_turns_to_an_acting_aggregator_right_after_the_leader_did_not_answer() {
    let storage = storage();
    let mut schedule = LoadSchedule::default();
    assert_eq!(schedule.partner(&storage, ZONE, GATEWAY, at(0)), LoadPartner::Leader);
    schedule.record_failure(LoadPartner::Leader, at(0));
    let next = schedule.partner(&storage, ZONE, GATEWAY, at(0));
    assert!(matches!(next, LoadPartner::Acting(_)));
    assert!(schedule.follows_at_once(LoadPartner::Leader, next, &LoadReport::default()));
    assert!(!schedule.follows_at_once(LoadPartner::Leader, next, &busy()), "its interval is short");
    schedule.record_failure(next, at(10));
    let after = schedule.partner(&storage, ZONE, GATEWAY, at(10));
    assert!(!schedule.follows_at_once(next, after, &LoadReport::default()), "one after the other without a pause");
}

#[test]
fn placement_rate_averages_each_sample_with_the_previous_rate() {
    let mut rate = PlacementRate::new(at(0));
    assert_eq!(rate.sample(40, at(100)), 200);
    assert_eq!(rate.sample(40, at(200)), 100);
    assert_eq!(rate.sample(40, at(200)), 50, "no time has passed");
}

#[test]
fn shutdown_first_drains_connections_and_ends_before_the_grace_period() {
    let stop = GatewayStop::within(Millis(8_000));
    assert_eq!(stop, GatewayStop { drain_period: Millis(2_600), ends_after: Millis(7_600) });
    let short = GatewayStop::within(Millis(3_000));
    assert_eq!(short, GatewayStop { drain_period: Millis(1_300), ends_after: Millis(2_600) });
    let none = GatewayStop::within(Millis(100));
    assert_eq!(none, GatewayStop { drain_period: Millis(0), ends_after: Millis(0) });
}

/// Guards against submissions that a partitioned gateway holds for seconds, and against refusing them for the loss of
/// one node.
#[test]
fn submissions_are_refused_once_all_attempts_of_a_second_have_failed() {
    let mut reach = StorageReach::default();
    assert_eq!(reach.on_submission(4, at(0)), SubmissionStep::Send, "nothing is known");
    reach.record_failure(NodeId(1), at(0), at(250));
    reach.record_failure(NodeId(1), at(250), at(1_200));
    assert_eq!(reach.on_submission(4, at(1_200)), SubmissionStep::Send, "one node of four has failed");
    assert!(reach.is_unreachable(1, at(1_200)), "the only node has failed");
    reach.record_failure(NodeId(2), at(900), at(1_200));
    assert_eq!(reach.on_submission(4, at(999)), SubmissionStep::Send, "the first attempt started less than 1 s ago");
    assert_eq!(reach.on_submission(4, at(1_200)), SubmissionStep::Probe);
    assert_eq!(reach.on_submission(4, at(1_250)), SubmissionStep::Refuse, "the probe is under way or has failed");
    assert_eq!(reach.on_submission(4, at(1_400)), SubmissionStep::Probe);
    reach.record_response(at(1_410));
    assert_eq!(reach.on_submission(4, at(1_410)), SubmissionStep::Send, "a node responded");
}

/// Guards against refusals that rest on old failures, and on attempts from before the last response.
#[test]
fn old_failures_do_not_make_storage_nodes_unreachable() {
    let mut reach = StorageReach::default();
    reach.record_failure(NodeId(1), at(0), at(100));
    reach.record_failure(NodeId(2), at(0), at(100));
    assert!(reach.is_unreachable(4, at(1_500)));
    assert!(!reach.is_unreachable(4, at(2_100)), "the last failure is 2 s old");
    reach.record_response(at(3_000));
    reach.record_failure(NodeId(1), at(2_000), at(3_100));
    reach.record_failure(NodeId(2), at(2_000), at(3_100));
    assert!(!reach.is_unreachable(4, at(3_900)), "all have failed for 0.9 s only");
    assert!(reach.is_unreachable(4, at(4_000)));
}
