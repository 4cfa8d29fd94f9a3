//! Sample messages of every kind.

use std::sync::Arc;

use stallmoor_core::identity::{EngineName, GroupId, NodeId};
use stallmoor_core::node::configuration::{ApplyId, Manifest, PartDigest, PartReference};
use stallmoor_core::node::control::DirectoryEntry;
use stallmoor_core::node::membership::{Member, MemberStatus, MembershipMessage, MembershipPayload};
use stallmoor_core::node::partition::{
    CommandOutcome, FinishedItem, ItemVerdict, JobPhase, JobSummary, Query, QueryAnswer, Settlement,
};
use stallmoor_core::node::routing::LeavingFact;
use stallmoor_core::node::{GroupStatus, NodeCounters, NodeStatus};
use stallmoor_core::peer_message::{
    ConfigurationMessage, CreditMessage, GroupAnswer, GroupAnswerBody, GroupRefusal, GroupRequest, GroupRequestBody,
    PeerMessage,
};
use stallmoor_core::replication::{
    Entry, EntryPayload, GroupMembership, LogIndex, MessageKind, ReplicationMessage, Snapshot, Term,
};
use stallmoor_core::serving::configuration::tenant::{CallerIdentity, MilliRequests};
use stallmoor_core::serving::jobs::command::ItemState;
use stallmoor_core::serving::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::serving::jobs::standstill::{Stall, StallCause, Standstill};
use stallmoor_core::serving::jobs::table::{CommittedResult, ResultPage};
use stallmoor_core::serving::quota::message::{QuotaLevels, QuotaReport, TenantLevel, TenantUsage};
use stallmoor_core::serving::relay::contents::ContentsAnswer;
use stallmoor_core::serving::relay::item::{KeyState, MetadataItem, Revision};
use stallmoor_core::serving::relay::message::{ChangeSet, ChangesAnswer, ChangesRequest};
use stallmoor_core::serving::stream_origins::message::{OriginRecord, OriginsAnswer, OriginsRequest};
use stallmoor_core::serving::stream_origins::rule::KnownOrigin;
use stallmoor_core::serving::stream_origins::{Confirmation, NodeKnowledge, Statement, StreamKey, StreamOrigin};
use stallmoor_core::serving::workers::versions::KnownVersions;
use stallmoor_core::serving::workers::{LoadReport, SoftwareVersion, WorkerCount, WorkerId, WorkerReport};
use stallmoor_core::time::{Millis, Timestamp, UnixMillis};

use crate::golden_values::{
    item_result, job_id, job_key, partition_commands, public_submission, session_key, session_record, specification,
    submission, tenant,
};

/// The label in golden files and the message.
pub type NamedMessage = (String, PeerMessage);

/// Returns sample messages of every kind.
pub fn all_messages() -> Vec<NamedMessage> {
    [
        membership_messages(),
        replication_messages(),
        partition_requests(),
        jobs_requests(),
        partition_answers(),
        jobs_answers(),
        changes_messages(),
        origins_messages(),
        refusals(),
        configuration_messages(),
        other_messages(),
    ]
    .concat()
}

fn named<T>(prefix: &str, values: Vec<(&str, T)>, message: impl Fn(T) -> PeerMessage) -> Vec<NamedMessage> {
    values.into_iter().map(|(name, value)| (format!("{prefix}/{name}"), message(value))).collect()
}

fn request(body: GroupRequestBody) -> PeerMessage {
    PeerMessage::GroupRequest(GroupRequest { id: 1, from: NodeId(2), group: GroupId(3), body })
}

fn answer(result: Result<GroupAnswerBody, GroupRefusal>) -> PeerMessage {
    PeerMessage::GroupAnswer(GroupAnswer { id: 1, group: GroupId(3), result })
}

fn member(id: u64, status: MemberStatus) -> Member {
    Member {
        id: NodeId(id),
        incarnation: 7,
        status,
        peer_address: "127.0.0.1:7100".parse().expect("an address"),
        caller_address: "[::1]:7200".parse().expect("an address"),
        zone: Arc::from("lapu-c"),
        stores: true,
    }
}

fn membership_messages() -> Vec<NamedMessage> {
    let payloads = vec![
        ("ping", MembershipPayload::Ping { target: None }),
        ("ping-target", MembershipPayload::Ping { target: Some(NodeId(2)) }),
        ("ack", MembershipPayload::Ack { subject: NodeId(3) }),
        ("ping-request", MembershipPayload::PingRequest { target: NodeId(4) }),
        ("sync-request", MembershipPayload::SyncRequest),
        ("sync-answer", MembershipPayload::SyncAnswer),
    ];
    let statuses = [MemberStatus::Alive, MemberStatus::Suspect, MemberStatus::Dead, MemberStatus::Left];
    named("membership", payloads, |payload| {
        PeerMessage::Membership(MembershipMessage {
            sender: member(1, MemberStatus::Alive),
            sequence: 9,
            configuration_revision: 12,
            payload,
            updates: statuses.iter().map(|status| member(5, *status)).collect(),
        })
    })
}

fn replication_messages() -> Vec<NamedMessage> {
    let membership = GroupMembership { voters: [NodeId(1), NodeId(2)].into(), learners: [NodeId(3)].into() };
    let payloads = [
        EntryPayload::Empty,
        EntryPayload::Command(Arc::from([1, 2, 3].as_slice())),
        EntryPayload::Membership(membership.clone()),
    ];
    let entry = |(index, payload)| Entry { term: Term(4), index: LogIndex(index), payload };
    let append = |election_timeout, entries| MessageKind::Append {
        previous_index: LogIndex(7),
        previous_term: Term(3),
        commit: LogIndex(6),
        sent_at: Timestamp::from_millis(17),
        election_timeout,
        entries,
    };
    let append_answer =
        |accepted, echo: Option<Timestamp>| MessageKind::AppendAnswer { accepted, index: LogIndex(10), echo };
    let state = Arc::from([9; 40].as_slice());
    let snapshot = Snapshot { index: LogIndex(5), term: Term(2), membership, state };
    let vote = |transfer| MessageKind::Vote { last_index: LogIndex(3), last_term: Term(4), transfer };
    let kinds = vec![
        ("pre-vote", MessageKind::PreVote { last_index: LogIndex(1), last_term: Term(2) }),
        ("pre-vote-answer", MessageKind::PreVoteAnswer { granted: true }),
        ("vote", vote(false)),
        ("vote-transfer", vote(true)),
        ("vote-answer", MessageKind::VoteAnswer { granted: false }),
        ("heartbeat", append(None, Vec::new())),
        ("append", append(None, (8..).zip(payloads).map(entry).collect())),
        ("heartbeat-announcing", append(Some(Millis(350)), Vec::new())),
        ("append-answer", append_answer(true, Some(Timestamp::from_millis(17)))),
        ("append-refused", append_answer(false, None)),
        ("install-snapshot", MessageKind::InstallSnapshot(snapshot)),
        ("timeout-now", MessageKind::TimeoutNow),
    ];
    named("replication", kinds, |kind| {
        let (group, from, to, term) = (GroupId(2), NodeId(1), NodeId(2), Term(4));
        PeerMessage::Replication(ReplicationMessage { group, from, to, term, kind })
    })
}

fn partition_requests() -> Vec<NamedMessage> {
    let queries = vec![
        ("job-status", Query::JobStatus { job: job_id(1) }),
        ("job-results", Query::JobResults { job: job_id(1), first: 2, limit: 300 }),
        ("job-list", Query::JobList { tenant: Arc::from("tenant-a"), limit: 20 }),
        ("session", Query::Session { session: session_key() }),
    ];
    let mut messages = named("command", partition_commands(), |command| request(GroupRequestBody::Command(command)));
    messages.extend(named("query", queries, |query| request(GroupRequestBody::Query(query))));
    messages
}

fn loads() -> LoadReport {
    let worker_report = |worker: &str, reported| WorkerReport {
        worker: WorkerId(Arc::from(worker)),
        requests: 12,
        self_reported: reported,
        ejected_by: 2,
        batch: 4,
    };
    let workers = vec![worker_report("worker-a", Some(300)), worker_report("worker-b", None)];
    LoadReport { workers, placed_per_s: 450, reporters: 21, nodes: 20, age: Millis(65), standstill: None }
}

fn standstill() -> Standstill {
    let stall = |cause, items| Stall { cause, items, span: Millis(7_000), detail: Arc::from("term 7") };
    Standstill { open_items: 52, stalls: vec![stall(StallCause::Commit, 52), stall(StallCause::Worker, 3)] }
}

fn jobs_requests() -> Vec<NamedMessage> {
    let tenant_use = TenantUsage {
        tenant: tenant(),
        spent: 9_000,
        latest: 30,
        asked_per_s: MilliRequests(31_500),
        known_per_s: MilliRequests(-1),
    };
    let read = |caller| JobsRequest::Read { job: job_key("job-a"), first: 3, wait: Millis(1_500), caller };
    let report = QuotaReport { machine: Arc::from("machine-a"), tenants: vec![tenant_use] };
    let (job, item) = (job_key("job-a"), Arc::from("item-0"));
    let values = vec![
        ("submit", JobsRequest::Submit(submission("job-a"))),
        ("submit-public", JobsRequest::Submit(public_submission("job-a"))),
        ("read", read(CallerIdentity::Tenant(tenant()))),
        ("read-unchecked", read(CallerIdentity::Unchecked)),
        ("body", JobsRequest::Body { job: job.clone(), item, caller: CallerIdentity::Public }),
        ("end", JobsRequest::End { job, caller: CallerIdentity::Tenant(tenant()) }),
        ("greet", JobsRequest::Join),
        ("share-load", JobsRequest::ReportLoad(loads())),
        ("gather-load", JobsRequest::AggregateLoad(loads())),
        ("share-quota", JobsRequest::ReportQuota(report)),
        (
            "permits",
            JobsRequest::RequestPermits(vec![WorkerId(Arc::from("worker-a")), WorkerId(Arc::from("worker-b"))]),
        ),
    ];
    named("jobs", values, |value| request(GroupRequestBody::Jobs(value)))
}

fn summary(phase: JobPhase, ended_at: Option<UnixMillis>) -> JobSummary {
    JobSummary {
        specification: specification("key-1"),
        phase,
        received: 2,
        completed: 1,
        rejected: 1,
        opened_at: UnixMillis(1_700_000_000_100),
        ended_at,
    }
}

fn partition_answers() -> Vec<NamedMessage> {
    let open = |phase| CommandOutcome::JobOpen { received: 3, phase };
    let outcomes = vec![
        ("uploading", open(JobPhase::Uploading)),
        ("accepted", open(JobPhase::Accepted)),
        ("cancelled", open(JobPhase::Cancelled)),
        ("job-conflict", CommandOutcome::JobConflict),
        ("unknown-job", CommandOutcome::UnknownJob),
        ("job-cancelled", CommandOutcome::JobCancelled),
        ("items-missing", CommandOutcome::ItemsMissing { received: 200 }),
        ("items-completed", CommandOutcome::ItemsCompleted { dropped: 1 }),
        ("marked", CommandOutcome::Marked),
        ("already-marked", CommandOutcome::AlreadyMarked { settlement: None }),
        ("already-settled", CommandOutcome::AlreadyMarked { settlement: Some(Settlement::Unknown) }),
        ("mark-conflict", CommandOutcome::MarkConflict),
        ("settled", CommandOutcome::Settled),
        ("session", CommandOutcome::Session(session_record())),
        ("forgotten", CommandOutcome::Forgotten),
    ];
    let finished = |item, verdict| FinishedItem { item, label: Arc::from("first"), result: item_result(verdict) };
    let results = vec![finished(0, ItemVerdict::Completed), finished(1, ItemVerdict::Rejected(Arc::from("too long")))];
    let ended = summary(JobPhase::Cancelled, Some(UnixMillis(1_700_000_000_250)));
    let answers = vec![
        ("unknown-job", QueryAnswer::UnknownJob),
        ("job", QueryAnswer::Job(summary(JobPhase::Accepted, None))),
        ("results", QueryAnswer::Results { results, next: Some(300) }),
        ("results-end", QueryAnswer::Results { results: Vec::new(), next: None }),
        ("jobs", QueryAnswer::Jobs(vec![(job_id(1), ended)])),
        ("session", QueryAnswer::Session(Some(session_record()))),
        ("no-session", QueryAnswer::Session(None)),
    ];
    let mut messages = named("outcome", outcomes, |outcome| answer(Ok(GroupAnswerBody::Outcome(outcome))));
    messages.extend(named("query-answer", answers, |value| answer(Ok(GroupAnswerBody::Answer(value)))));
    messages
}

fn jobs_answers() -> Vec<NamedMessage> {
    let result =
        |item, state, text: &str| CommittedResult { item, id: Arc::from("item-0"), state, text: Arc::from(text) };
    let results = vec![result(1, ItemState::Completed, "an answer"), result(0, ItemState::GivenUp, "")];
    let level = TenantLevel { tenant: tenant(), level: MilliRequests(-2_500), asked_per_s: MilliRequests(31_500) };
    let values = vec![
        ("accepted", JobsAnswer::Accepted),
        ("over-quota", JobsAnswer::OverQuota { waiting: 1_000_000 }),
        ("no-room", JobsAnswer::NoRoom),
        ("key-taken", JobsAnswer::KeyTaken),
        ("unknown-job", JobsAnswer::UnknownJob),
        ("page", JobsAnswer::Page(ResultPage { total: 300, results, is_over: false })),
        ("page-over", JobsAnswer::Page(ResultPage { total: 0, results: Vec::new(), is_over: true })),
        ("body", JobsAnswer::Body(Arc::from(b"a body".as_slice()))),
        ("unknown-item", JobsAnswer::UnknownItem),
        ("ended", JobsAnswer::Ended),
        ("loads", JobsAnswer::Loads(loads())),
        ("loads-standstill", JobsAnswer::Loads(LoadReport { standstill: Some(standstill()), ..loads() })),
        ("quota", JobsAnswer::Quota(QuotaLevels { tenants: vec![level], gateways: 20 })),
        ("unsure", JobsAnswer::Indeterminate),
        ("permits", JobsAnswer::Permits(vec![WorkerCount { worker: WorkerId(Arc::from("worker-a")), requests: 1 }])),
    ];
    named("jobs-answer", values, |value| answer(Ok(GroupAnswerBody::Jobs(value))))
}

fn changes_messages() -> Vec<NamedMessage> {
    let item = |key: &str, state, revision| MetadataItem { key: Arc::from(key), state, revision: Revision(revision) };
    let items = vec![
        item("present", KeyState::Present(Arc::from(b"a value".as_slice())), 300),
        item("removed", KeyState::Removed, 301),
        item("lapsed", KeyState::Lapsed, 0),
    ];
    let changes = |base| ChangesAnswer {
        changes: ChangeSet { base, at: Revision(301), items: items.clone() },
        age: Millis(40),
        away: Millis(70_000),
        held: Millis(900),
    };
    let changes_request = ChangesRequest { since: Revision(299), hold: Millis(1_000) };
    let answers = vec![("since", changes(Some(Revision(299)))), ("all", changes(None))];
    let mut messages =
        named("changes", vec![("ask", changes_request)], |value| request(GroupRequestBody::Changes(value)));
    messages.extend(named("changes-answer", answers, |value| answer(Ok(GroupAnswerBody::Changes(value)))));
    let contents = ContentsAnswer {
        at: Revision(301),
        age: Millis(40),
        away: Millis(70_000),
        held: Millis(900),
        packed: Arc::from([3, 1, 2].as_slice()),
    };
    messages.push(("follow/ask".to_owned(), request(GroupRequestBody::Follow(changes_request))));
    messages.push(("follow-answer/contents".to_owned(), answer(Ok(GroupAnswerBody::Contents(contents)))));
    messages
}

fn origins_messages() -> Vec<NamedMessage> {
    let origin = StreamOrigin { service: Arc::from("lm"), version: SoftwareVersion::new("v1.1") };
    let record = OriginRecord { key: StreamKey(0x1234_5678_9abc_def0), origin: origin.clone() };
    let find = |key| OriginsRequest::Find { key, service: Arc::from("lm") };
    let requests = vec![
        ("store", OriginsRequest::Store(vec![record])),
        ("find", find(Some(StreamKey(7)))),
        ("find-unnamed", find(None)),
        ("find-confirmed", OriginsRequest::FindConfirmed { key: Some(StreamKey(7)), service: Arc::from("lm") }),
    ];
    let found = |origin, versions| OriginsAnswer::Found(NodeKnowledge { origin, versions });
    let sole = KnownVersions::Sole { version: SoftwareVersion::new("v1"), lasted: Millis(90_000) };
    let stated = |confirmation| {
        let known = NodeKnowledge { origin: KnownOrigin::Unknown, versions: sole.clone() };
        OriginsAnswer::Stated(Statement { known, confirmation })
    };
    let (stated_after, stated_before) = (stated(Confirmation::After), stated(Confirmation::Before));
    let answers = vec![
        ("stated-after", stated_after),
        ("stated-before", stated_before),
        ("stored", OriginsAnswer::Stored),
        ("known", found(KnownOrigin::Known(origin), KnownVersions::Several)),
        ("unknown", found(KnownOrigin::Unknown, sole)),
        ("conflicting", found(KnownOrigin::Conflicting, KnownVersions::Unknown)),
    ];
    let mut messages = named("origins", requests, |value| request(GroupRequestBody::Origins(value)));
    messages.extend(named("origins-answer", answers, |value| answer(Ok(GroupAnswerBody::Origins(value)))));
    messages
}

fn refusals() -> Vec<NamedMessage> {
    let values = vec![
        ("busy", GroupRefusal::Busy),
        ("other-leader", GroupRefusal::NotLeader { term: Term(3), leader: Some(NodeId(4)) }),
        ("no-leader", GroupRefusal::NotLeader { term: Term(3), leader: None }),
    ];
    named("refusal", values, |refusal| answer(Err(refusal)))
}

fn configuration_messages() -> Vec<NamedMessage> {
    let from = NodeId(6);
    let manifest = Manifest {
        revision: 3,
        parts: vec![PartReference { name: "fleet.toml".to_owned(), digest: PartDigest(5) }],
        applies: vec![(ApplyId(8), 3)],
    };
    let messages = vec![
        ("offer", ConfigurationMessage::Offer { from, revision: 3 }),
        ("manifest-request", ConfigurationMessage::ManifestRequest { from }),
        ("manifest-answer", ConfigurationMessage::ManifestAnswer { from, manifest }),
        ("parts-request", ConfigurationMessage::PartsRequest { from, digests: vec![PartDigest(5), PartDigest(6)] }),
        ("part-answer", ConfigurationMessage::PartAnswer { digest: PartDigest(5), content: Arc::from("[fleet]") }),
    ];
    named("configuration", messages, PeerMessage::Configuration)
}

fn status() -> NodeStatus {
    let group = GroupStatus {
        group: 3,
        leads: true,
        term: 4,
        commit: 300,
        caught_up: true,
        voters: vec!["node-1".to_owned(), "node-2".to_owned()],
        learners: vec!["node-3".to_owned()],
    };
    NodeStatus {
        node: "node-1".to_owned(),
        zone: "zone-a".to_owned(),
        caller_address: "127.0.0.1:7200".to_owned(),
        stores: true,
        ready: true,
        stopping: false,
        configuration_revision: 7,
        configuration_digest: "0123456789abcdef".to_owned(),
        members_present: 5,
        online_requests: 6,
        batch_streams: 8,
        groups: vec![group],
        counters: counters(),
    }
}

fn counters() -> NodeCounters {
    NodeCounters {
        online_admitted: 101,
        online_answered: 102,
        online_refused: 103,
        retries: 104,
        pieces_dropped: 105,
        batch_started: 106,
        batch_completed: 107,
        batch_results_dropped: 108,
        batch_paused: 109,
        messages_refused: 110,
        key_value_failures: 111,
    }
}

fn other_messages() -> Vec<NamedMessage> {
    let engine = EngineName::new("logger-01");
    let entry = |leader| DirectoryEntry {
        group: GroupId(1),
        term: Term(2),
        membership_index: LogIndex(3),
        members: vec![NodeId(4), NodeId(5)],
        leader,
    };
    let (from, entries) = (NodeId(1), vec![entry(None), entry(Some(NodeId(5)))]);
    let notice = CreditMessage::OnlineNotice { engine: engine.clone(), from, in_flight: 2 };
    let grant = CreditMessage::Grant { engine: engine.clone(), limit: 4, lifetime: Millis(1_500) };
    let messages = vec![
        ("online-notice", PeerMessage::Credit(notice)),
        ("ask", PeerMessage::Credit(CreditMessage::Request { engine: engine.clone(), from, wanted_streams: 5 })),
        ("grant", PeerMessage::Credit(grant)),
        ("engines-leaving", PeerMessage::EnginesLeaving(vec![LeavingFact { engine, incarnation: 2 }])),
        ("directory-request", PeerMessage::DirectoryRequest { from }),
        ("directory-answer", PeerMessage::DirectoryAnswer { group_count: 8, entries }),
        ("status-request", PeerMessage::StatusRequest { from, id: 5 }),
        ("status-answer", PeerMessage::StatusAnswer { id: 5, status: status() }),
    ];
    named("control", messages, |message| message)
}
