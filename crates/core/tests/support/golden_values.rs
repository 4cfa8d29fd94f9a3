//! The values that are encoded in golden files: every kind of command, and states that cover all their parts.

// Each test crate uses only some of these functions.
#![allow(dead_code)]

use std::sync::Arc;

use stallmoor_core::identity::{AttemptId, EngineName, GroupId, JobId};
use stallmoor_core::node::partition::{
    Command, CompletedItem, ItemResult, ItemVerdict, JobSpecification, NewItem, PartitionState, RequestKey, SessionKey,
    SessionRecord, Settlement,
};
use stallmoor_core::serving::configuration::tenant::{CallerIdentity, TenantName};
use stallmoor_core::serving::jobs::command::{
    ItemFailures, ItemHeader, ItemKey, ItemOrigin, ItemProgress, ItemState, JobCommand, JobItem, JobKey, LoggedOutput,
    Submission,
};
use stallmoor_core::serving::jobs::table::JobTable;
use stallmoor_core::serving::stream_origins::StreamOrigin;
use stallmoor_core::serving::workers::SoftwareVersion;
use stallmoor_core::time::{Millis, UnixMillis};

/// Returns the tenant of the test data.
pub fn tenant() -> TenantName {
    TenantName::new("tenant-a")
}

/// Returns the key of a job in the job table.
pub fn job_key(name: &str) -> JobKey {
    JobKey(Arc::from(name))
}

/// Returns a job with two items whose tenant has a limit on queued tokens.
pub fn submission(key: &str) -> Submission {
    let header = ItemHeader { name: Arc::from("content-type"), value: Arc::from("application/json") };
    let item = |id: &str, token_count| JobItem {
        id: Arc::from(id),
        path: Arc::from("/v1/completions"),
        headers: vec![header.clone()],
        body: Arc::from(format!("{{\"prompt\":\"{id}\"}}").into_bytes()),
        token_count,
    };
    Submission {
        key: job_key(key),
        route: Arc::from("route-a"),
        host: Arc::from("example.test"),
        tenant: Some(tenant()),
        items: vec![item("item-0", 300), item("item-1", 7)],
        configuration_version: 5,
        received_at: UnixMillis(1_700_000_000_123),
        due: Millis(86_400_000),
        queued_token_limit: Some(1_000_000),
    }
}

/// Returns a job without a tenant and limits.
pub fn public_submission(key: &str) -> Submission {
    Submission { tenant: None, queued_token_limit: None, ..submission(key) }
}

fn item_key(job: &str, item: u32) -> ItemKey {
    ItemKey { job: job_key(job), item }
}

fn finish(job: &str, item: u32, state: ItemState, after: LoggedOutput, text: &str) -> JobCommand {
    JobCommand::Finish { key: item_key(job, item), state, after, text: Arc::from(text) }
}

fn progress(job: &str, item: u32, after: LoggedOutput, text: &str, last_event: Option<u64>) -> ItemProgress {
    ItemProgress { key: item_key(job, item), after, text: Arc::from(text), last_event }
}

fn failures(job: &str) -> JobCommand {
    JobCommand::Failures(vec![
        ItemFailures { key: item_key(job, 0), failures: 1 },
        ItemFailures { key: item_key(job, 1), failures: 300 },
    ])
}

fn origins(job: &str) -> JobCommand {
    let origin = |version| StreamOrigin { service: Arc::from("lm"), version: SoftwareVersion::new(version) };
    JobCommand::Origins(vec![
        ItemOrigin { key: item_key(job, 0), origin: origin("v1") },
        ItemOrigin { key: item_key(job, 1), origin: origin("v2") },
    ])
}

/// Returns every kind of job table command.
pub fn job_commands() -> Vec<(&'static str, JobCommand)> {
    let logged = LoggedOutput { bytes: 5, last_event: Some(0) };
    let parts = vec![
        progress("job-a", 0, LoggedOutput::default(), "one\ntw", Some(1)),
        progress("job-a", 1, logged, "more", None),
    ];
    let end = |caller| JobCommand::End { job: job_key("job-a"), caller };
    vec![
        ("accept", JobCommand::Accept(submission("job-a"))),
        ("accept-public", JobCommand::Accept(public_submission("job-b"))),
        ("finish-completed", finish("job-a", 1, ItemState::Completed, logged, "the rest")),
        ("finish-given-up", finish("job-a", 0, ItemState::GivenUp, LoggedOutput::default(), "")),
        ("progress", JobCommand::Progress(parts)),
        ("end-unchecked", end(CallerIdentity::Unchecked)),
        ("end-public", end(CallerIdentity::Public)),
        ("end-tenant", end(CallerIdentity::Tenant(tenant()))),
        ("forget", JobCommand::Forget { before: UnixMillis(1_600_000_000_000) }),
        ("failures", failures("job-a")),
        ("restart", JobCommand::Restart(vec![item_key("job-a", 0), item_key("job-a", 300)])),
        ("origins", origins("job-a")),
    ]
}

/// Returns an empty job table, one with a job in every state and failed items, one with the same jobs without failures,
/// and both with origins of logged output.
pub fn job_tables() -> Vec<(&'static str, JobTable)> {
    let none = LoggedOutput::default();
    let logged = LoggedOutput { bytes: 4, last_event: Some(9) };
    let commands = [
        JobCommand::Accept(submission("open")),
        JobCommand::Accept(submission("partial")),
        JobCommand::Progress(vec![progress("partial", 1, none, "some", Some(9))]),
        JobCommand::Accept(public_submission("completed")),
        JobCommand::Progress(vec![progress("completed", 0, none, "some", Some(9))]),
        finish("completed", 0, ItemState::Completed, logged, " more"),
        finish("completed", 1, ItemState::Completed, none, "whole"),
        JobCommand::Accept(public_submission("given-up")),
        finish("given-up", 1, ItemState::GivenUp, none, ""),
        JobCommand::Accept(submission("ended")),
        finish("ended", 0, ItemState::Completed, none, "whole"),
        JobCommand::End { job: job_key("ended"), caller: CallerIdentity::Tenant(tenant()) },
    ];
    let mut table = JobTable::default();
    for command in commands {
        table.apply(command);
    }
    let mut with_failures = table.clone();
    with_failures.apply(failures("open"));
    let mut with_origins = table.clone();
    with_origins.apply(origins("partial"));
    let mut with_both = with_failures.clone();
    with_both.apply(origins("partial"));
    vec![
        ("empty", JobTable::default()),
        ("jobs-with-failures", with_failures),
        ("jobs-with-origins", with_origins),
        ("jobs-with-failures-and-origins", with_both),
        ("jobs", table),
    ]
}

/// Returns the identifier of a job in a partition.
pub fn job_id(hash: u64) -> JobId {
    JobId { group: GroupId(3), hash }
}

/// Returns the specification of a job with two items.
pub fn specification(key: &str) -> JobSpecification {
    JobSpecification {
        tenant: Arc::from("tenant-a"),
        key: Arc::from(key),
        content_digest: 0x0123_4567_89ab_cdef,
        model: Arc::from("model-a"),
        adapter: Some(Arc::from("adapter-a")),
        item_count: 2,
        deadline: UnixMillis(1_700_000_100_000),
        max_tokens: 512,
    }
}

/// Returns the result of an item.
pub fn item_result(verdict: ItemVerdict) -> ItemResult {
    ItemResult {
        attempt: AttemptId(0x0123_4567_89ab_cdef_0011_2233_4455_6677),
        engine: EngineName::new("engine-a"),
        verdict,
        text: Arc::from("an answer"),
        tokens: 130,
    }
}

/// Returns the record of a session.
pub fn session_record() -> SessionRecord {
    let (model, engine) = (Arc::from("model-a"), EngineName::new("engine-a"));
    SessionRecord { model, engine, generation: 1, placed_at: UnixMillis(1_700_000_000_400) }
}

/// Returns the key of that session.
pub fn session_key() -> SessionKey {
    SessionKey { tenant: Arc::from("tenant-a"), session: Arc::from("session-a") }
}

fn open(hash: u64) -> Command {
    let specification = specification(&format!("key-{hash}"));
    Command::OpenJob { job: job_id(hash), specification, at: UnixMillis(1_700_000_000_100) }
}

fn add(hash: u64) -> Command {
    let item = |label: &str| NewItem { label: Arc::from(label), prompt: Arc::from("a prompt") };
    Command::AddItems { job: job_id(hash), first: 0, items: vec![item("first"), item("second")] }
}

fn complete(hash: u64, verdicts: &[ItemVerdict]) -> Command {
    let done = verdicts.iter().zip(0..);
    let results = done.map(|(verdict, item)| CompletedItem { item, result: item_result(verdict.clone()) }).collect();
    Command::CompleteItems { job: job_id(hash), results, at: UnixMillis(1_700_000_000_200) }
}

fn mark(key: &str) -> Command {
    Command::MarkRequest {
        request: RequestKey { tenant: Arc::from("tenant-a"), key: Arc::from(key) },
        digest: 77,
        holder: AttemptId(8),
        at: UnixMillis(1_700_000_000_300),
    }
}

fn settle(key: &str, settlement: Settlement) -> Command {
    Command::SettleRequest {
        request: RequestKey { tenant: Arc::from("tenant-a"), key: Arc::from(key) },
        digest: 77,
        holder: AttemptId(8),
        settlement,
        at: UnixMillis(1_700_000_000_350),
    }
}

/// Returns every kind of partition command.
pub fn partition_commands() -> Vec<(&'static str, Command)> {
    let rejected = ItemVerdict::Rejected(Arc::from("too long"));
    vec![
        ("open-job", open(1)),
        ("add-items", add(1)),
        ("accept-job", Command::AcceptJob { job: job_id(1) }),
        ("complete-items", complete(1, &[ItemVerdict::Completed, rejected])),
        ("cancel-job", Command::CancelJob { job: job_id(1), at: UnixMillis(1_700_000_000_250) }),
        ("mark-request", mark("request-a")),
        ("settle-not-run", settle("request-a", Settlement::NotRun)),
        ("settle-answered", settle("request-a", Settlement::Answered)),
        ("settle-unknown", settle("request-a", Settlement::Unknown)),
        ("place-session", Command::PlaceSession { session: session_key(), record: session_record() }),
        ("forget", Command::Forget { before: UnixMillis(1_600_000_000_000) }),
    ]
}

/// Returns an empty partition state, and one with jobs and marks in every state and a session.
pub fn partition_states() -> Vec<(&'static str, PartitionState)> {
    let rejected = ItemVerdict::Rejected(Arc::from("too long"));
    let accept = |hash| Command::AcceptJob { job: job_id(hash) };
    let commands = [
        [open(1), add(1)].to_vec(),
        [open(2), add(2), accept(2), complete(2, &[ItemVerdict::Completed])].to_vec(),
        [open(3), add(3), accept(3), complete(3, &[ItemVerdict::Completed, rejected])].to_vec(),
        [open(4), add(4), Command::CancelJob { job: job_id(4), at: UnixMillis(1_700_000_000_250) }].to_vec(),
        [mark("held"), settle("not-run", Settlement::NotRun), settle("answered", Settlement::Answered)].to_vec(),
        [settle("unknown", Settlement::Unknown)].to_vec(),
        [Command::PlaceSession { session: session_key(), record: session_record() }].to_vec(),
    ];
    let mut state = PartitionState::default();
    for command in commands.iter().flatten() {
        state.apply(command);
    }
    vec![("empty", PartitionState::default()), ("jobs-marks-sessions", state)]
}
