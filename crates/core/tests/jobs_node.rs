//! One replica of the job table: the admission of jobs, and entries and snapshots that this version cannot decode.

use std::collections::BTreeSet;
use std::sync::Arc;

use stallmoor_core::identity::{GroupId, NodeId};
use stallmoor_core::replication::{
    Entry, EntryPayload, GroupMembership, LogIndex, MessageKind, PersistedReplica, ReplicaSettings, ReplicationMessage,
    Snapshot, Term,
};
use stallmoor_core::serving::configuration::tenant::TenantName;
use stallmoor_core::serving::jobs::command::{JobItem, JobKey, Submission};
use stallmoor_core::serving::jobs::node::{JobsChange, JobsEffect, JobsNode, NotProposed, UnreadableSnapshot, Waiter};
use stallmoor_core::serving::jobs::request::JobsAnswer;
use stallmoor_core::serving::jobs::table::JobTable;
use stallmoor_core::time::{Millis, Timestamp, UnixMillis};

const SELF: NodeId = NodeId(1);
const OTHER: NodeId = NodeId(2);
/// The limit on queued tokens, enough for one job of these tests but not for two.
const LIMIT: u64 = 150;

/// A replica that is the only voter. The test decides when its effects are carried out.
struct Harness {
    node: JobsNode,
    now: Timestamp,
    effects: Vec<JobsEffect>,
}

impl Harness {
    /// Creates a leader that may answer requests.
    fn leading() -> Self {
        let now = Timestamp::from_millis(100_000);
        let settings = ReplicaSettings::default();
        let mut node =
            JobsNode::new(SELF, settings, PersistedReplica::default(), now, 7).expect("an empty disk decodes");
        let effects = node.bootstrap(GroupMembership::of_voters(BTreeSet::from([SELF])), now);
        let mut harness = Self { node, now, effects };
        while !harness.node.may_answer(harness.now) {
            harness.now = harness.now + Millis(20);
            let effects = harness.node.tick(harness.now);
            harness.effects.extend(effects);
            harness.apply_effects();
        }
        harness
    }

    fn apply_effects(&mut self) -> Vec<JobsChange> {
        let mut changes = Vec::new();
        for effect in std::mem::take(&mut self.effects) {
            if let JobsEffect::ApplyUpTo(index) = effect {
                changes.extend(self.node.apply_up_to(index, self.now));
            }
        }
        changes
    }

    /// Takes the messages that are queued to be sent.
    fn take_messages(&mut self) -> Vec<ReplicationMessage> {
        let (sends, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.effects).into_iter().partition(|effect| matches!(effect, JobsEffect::Send(_)));
        self.effects = rest;
        let message = |effect| match effect {
            JobsEffect::Send(message) => Some(message),
            _ => None,
        };
        sends.into_iter().filter_map(message).collect()
    }

    fn submit(&mut self, name: &str, waiter: u64) -> Result<(), NotProposed> {
        let effects = self.node.submit(submission(name), Waiter(waiter), self.now)?;
        self.effects.extend(effects);
        Ok(())
    }
}

fn submission(name: &str) -> Submission {
    let item = JobItem {
        id: Arc::from(format!("{name}-0")),
        path: Arc::from("/batch/x"),
        headers: Vec::new(),
        body: Arc::from([0; 10]),
        token_count: 100,
    };
    Submission {
        key: JobKey(Arc::from(name)),
        route: Arc::from("route"),
        host: Arc::from("host"),
        tenant: None,
        items: vec![item],
        configuration_version: 1,
        received_at: UnixMillis(0),
        due: Millis(1_000),
        queued_token_limit: Some(LIMIT),
    }
}

#[test]
fn job_resubmitted_while_proposed_is_accepted() {
    let mut harness = Harness::leading();
    harness.submit("a", 1).expect("the job fits");
    harness.submit("a", 2).expect("a resubmission of a proposed job is accepted");
    assert!(harness.node.has_or_proposes(&JobKey(Arc::from("a"))));
    let answers: Vec<JobsAnswer> = harness
        .apply_effects()
        .into_iter()
        .filter_map(|change| match change {
            JobsChange::Answer { answer, .. } => Some(answer),
            _ => None,
        })
        .collect();
    assert_eq!(answers, [JobsAnswer::Accepted, JobsAnswer::Accepted]);
}

#[test]
fn resubmitted_job_counts_once_and_other_job_is_rejected() {
    let mut harness = Harness::leading();
    harness.submit("a", 1).expect("the job fits");
    harness.submit("a", 2).expect("a resubmission of a proposed job is accepted");
    assert_eq!(harness.submit("b", 3), Err(NotProposed::OverQuota { waiting: 100 }));
    harness.apply_effects();
    assert_eq!(
        harness.submit("b", 4),
        Err(NotProposed::OverQuota { waiting: 100 }),
        "the limit also applies once the job is in the table"
    );
    harness.submit("a", 5).expect("a resubmission of a stored job is accepted");
}

/// Returns a follower's positive answer to a request of the candidate or leader.
fn answers_of(changes: Vec<JobsChange>) -> Vec<(Waiter, JobsAnswer)> {
    let answer = |change| match change {
        JobsChange::Answer { waiter, answer } => Some((waiter, answer)),
        _ => None,
    };
    changes.into_iter().filter_map(answer).collect()
}

/// Guards against repeated submissions of an accepted job that fill the disk with further copies of its bodies.
#[test]
fn repeated_submission_of_an_accepted_job_is_not_logged_again() {
    let mut harness = Harness::leading();
    harness.submit("a", 1).expect("the job fits");
    harness.apply_effects();
    let log_bytes = harness.node.replica().log().bytes();
    for waiter in 2..12 {
        harness.submit("a", waiter).expect("a repeated submission is accepted");
        harness.apply_effects();
    }
    assert_eq!(harness.node.replica().log().bytes(), log_bytes);
    let other_tenant = Submission { tenant: Some(TenantName::new("other")), ..submission("a") };
    let effects = harness.node.submit(other_tenant, Waiter(12), harness.now).expect("the job is in the table");
    assert!(effects.is_empty());
    let answers = answers_of(harness.node.release_answers(harness.now));
    let mut expected: Vec<_> = (2..12).map(|waiter| (Waiter(waiter), JobsAnswer::Accepted)).collect();
    expected.push((Waiter(12), JobsAnswer::KeyTaken));
    assert_eq!(answers, expected);
}

/// Guards against callers that repeat a slow submission and thereby fill the disk with further copies of its bodies.
#[test]
fn repeated_submission_of_a_proposed_job_is_not_logged_again() {
    let mut harness = leader_of_two();
    harness.apply_effects();
    harness.submit("a", 1).expect("the job fits");
    let last = harness.node.replica().log().last_index();
    for waiter in 2..5 {
        harness.submit("a", waiter).expect("a repeated submission of a proposed job is accepted");
    }
    assert_eq!(harness.node.replica().log().last_index(), last);
    assert!(answers_of(harness.node.release_answers(harness.now)).is_empty(), "the job is not committed yet");
    let messages = harness.take_messages();
    for answer in messages.iter().filter_map(granted) {
        let effects = harness.node.step(answer, harness.now);
        harness.effects.extend(effects);
    }
    harness.node.record_durable();
    let mut answers = answers_of(harness.apply_effects());
    answers.extend(answers_of(harness.node.release_answers(harness.now)));
    let expected: Vec<_> = (1..5).map(|waiter| (Waiter(waiter), JobsAnswer::Accepted)).collect();
    assert_eq!(answers, expected);
}

/// Guards against repeated submissions that get no answer when another replica takes over.
#[test]
fn repeated_submission_is_indeterminate_once_the_leader_is_replaced() {
    let mut harness = leader_of_two();
    harness.apply_effects();
    harness.submit("a", 1).expect("the job fits");
    harness.submit("a", 2).expect("a repeated submission of a proposed job is accepted");
    let term = Term(harness.node.replica().term().0 + 1);
    let previous = harness.node.replica().log().last_index();
    let previous_term = harness.node.replica().log().last_term();
    let kind = MessageKind::Append {
        previous_index: previous,
        previous_term,
        commit: LogIndex(0),
        sent_at: harness.now,
        election_timeout: None,
        entries: Vec::new(),
    };
    let append = ReplicationMessage { group: GroupId(0), from: OTHER, to: SELF, term, kind };
    harness.node.step(append, harness.now);
    let answers = answers_of(harness.node.abandon_lost_proposals());
    assert_eq!(answers, [(Waiter(1), JobsAnswer::Indeterminate), (Waiter(2), JobsAnswer::Indeterminate)]);
}

fn granted(message: &ReplicationMessage) -> Option<ReplicationMessage> {
    let kind = match &message.kind {
        MessageKind::PreVote { .. } => MessageKind::PreVoteAnswer { granted: true },
        MessageKind::Vote { .. } => MessageKind::VoteAnswer { granted: true },
        MessageKind::Append { previous_index, sent_at, entries, .. } => {
            let index = entries.last().map_or(*previous_index, |entry| entry.index);
            MessageKind::AppendAnswer { accepted: true, index, echo: Some(*sent_at) }
        }
        _ => return None,
    };
    Some(ReplicationMessage { from: message.to, to: message.from, kind, ..message.clone() })
}

/// Creates a leader of two voters that may answer requests, with a responsive follower.
fn leader_of_two() -> Harness {
    let now = Timestamp::from_millis(100_000);
    let settings = ReplicaSettings::default();
    let mut node = JobsNode::new(SELF, settings, PersistedReplica::default(), now, 7).expect("an empty disk decodes");
    let effects = node.bootstrap(GroupMembership::of_voters(BTreeSet::from([SELF, OTHER])), now);
    let mut harness = Harness { node, now, effects };
    for _ in 0..200 {
        let messages: Vec<ReplicationMessage> = harness.take_messages();
        for answer in messages.iter().filter_map(granted) {
            let effects = harness.node.step(answer, harness.now);
            harness.effects.extend(effects);
        }
        let messages = harness.take_messages();
        harness.apply_effects();
        harness.effects.extend(messages.into_iter().map(JobsEffect::Send));
        if harness.node.may_answer(harness.now) {
            return harness;
        }
        harness.now = harness.now + Millis(20);
        let effects = harness.node.tick(harness.now);
        harness.effects.extend(effects);
    }
    panic!("the replica was not elected")
}

#[test]
fn proposal_replaced_by_undecodable_entry_is_answered_as_indeterminate() {
    let mut harness = leader_of_two();
    harness.apply_effects();
    harness.submit("a", 1).expect("the job fits");
    let index = harness.node.replica().log().last_index();
    let previous = LogIndex(index.0 - 1);
    let previous_term = harness.node.replica().log().term_at(previous).expect("the previous entry is in the log");
    let term = Term(harness.node.replica().term().0 + 1);
    // A new leader that runs a later version replaces the entry at that index.
    let entry = Entry { term, index, payload: EntryPayload::Command(Arc::from([0xff, 0xff, 0xff])) };
    let kind = MessageKind::Append {
        previous_index: previous,
        previous_term,
        commit: index,
        sent_at: harness.now,
        election_timeout: None,
        entries: vec![entry],
    };
    let append = ReplicationMessage { group: GroupId(0), from: OTHER, to: SELF, term, kind };
    let effects = harness.node.step(append, harness.now);
    harness.effects.extend(effects);
    let indeterminate = JobsChange::Answer { waiter: Waiter(1), answer: JobsAnswer::Indeterminate };
    assert_eq!(harness.apply_effects(), [JobsChange::Unreadable(index), indeterminate]);
    assert!(harness.node.table().job(&JobKey(Arc::from("a"))).is_none());
    assert_eq!(harness.node.replica().applied(), index, "the undecodable entry does not block later entries");
}

#[test]
fn undecodable_snapshot_is_rejected_and_table_is_unchanged() {
    let mut harness = Harness::leading();
    harness.submit("a", 1).expect("the job fits");
    harness.apply_effects();
    let before = harness.node.table().clone();
    let snapshot = Snapshot { index: LogIndex(9), state: Arc::from([0xff, 0xff, 0xff]), ..Snapshot::default() };
    assert_eq!(harness.node.restore(&snapshot), Err(UnreadableSnapshot { index: LogIndex(9) }));
    assert_eq!(harness.node.table(), &before);
    let readable = Snapshot { state: Arc::from([]), ..snapshot };
    assert_eq!(harness.node.restore(&readable), Ok(()));
    assert_eq!(harness.node.table().jobs().count(), 0, "the empty snapshot restores an empty table");
}

/// Guards against encoding the whole table with every tick while a restarted replica does not know the commit index.
#[test]
fn restarted_replica_encodes_no_snapshot_before_it_applies_entries() {
    let entry = |index| Entry {
        term: Term(1),
        index: LogIndex(index),
        payload: EntryPayload::Command(Arc::from(vec![0xff; 4 << 20])),
    };
    let membership = GroupMembership::of_voters(BTreeSet::from([SELF]));
    let snapshot = Snapshot { membership, ..Snapshot::default() };
    let persisted = PersistedReplica { snapshot, entries: (1..=3).map(entry).collect(), ..PersistedReplica::default() };
    let now = Timestamp::from_millis(100_000);
    let node = JobsNode::new(SELF, ReplicaSettings::default(), persisted, now, 7).expect("the snapshot decodes");
    let mut harness = Harness { node, now, effects: Vec::new() };
    let mut is_applied = false;
    for _ in 0..1_000 {
        assert_eq!(harness.node.is_snapshot_due(), is_applied, "the snapshot is due once the entries are applied");
        if is_applied {
            break;
        }
        harness.now = harness.now + Millis(20);
        let effects = harness.node.tick(harness.now);
        harness.effects.extend(effects);
        harness.apply_effects();
        is_applied = harness.node.replica().applied() >= LogIndex(3);
    }
    assert!(is_applied, "the replica elects itself");
    harness.node.tick(harness.now);
    assert!(!harness.node.is_snapshot_due(), "the snapshot is prepared");
}

/// Guards against ticks that wait for the encoding of a snapshot, and against a second one requested meanwhile.
#[test]
fn ticks_go_on_while_a_snapshot_is_encoded() {
    let mut harness = Harness::leading();
    let mut source = None;
    for job in 0..2_000 {
        let name = format!("job-{job}");
        let mut submission = submission(&name);
        submission.queued_token_limit = None;
        submission.items[0].body = vec![7; 8 << 10].into();
        let effects = harness.node.submit(submission, Waiter(job), harness.now).expect("the leader is ready");
        harness.effects.extend(effects);
        harness.apply_effects();
        harness.now = harness.now + Millis(20);
        for effect in harness.node.tick(harness.now) {
            match effect {
                JobsEffect::EncodeSnapshot(requested) => {
                    assert!(source.is_none(), "one snapshot at a time");
                    source = Some((job, requested));
                }
                other => harness.effects.push(other),
            }
        }
        if let Some((requested_at, requested)) = source.take_if(|(requested_at, _)| *requested_at + 500 == job) {
            let snapshot = requested.encode();
            assert!(snapshot.index < harness.node.replica().applied(), "entries were applied meanwhile");
            let jobs = JobTable::decode(&snapshot.state).expect("the snapshot is readable").jobs().count();
            assert_eq!(jobs as u64, requested_at + 1, "the snapshot has the jobs of the time of its request");
            harness.node.finish_snapshot(snapshot);
        }
    }
    assert!(harness.node.replica().log().snapshot().index > LogIndex(0), "the log was compacted");
}
