//! One replica of the job table: admission of jobs, and entries that it can't read.

use std::collections::BTreeSet;
use std::sync::Arc;

use stallmoor_core::identity::{GroupId, NodeId};
use stallmoor_core::replication::{
    Entry, EntryPayload, GroupMembership, LogIndex, MessageKind, PersistedReplica, ReplicaSettings, ReplicationMessage,
    Snapshot, Term,
};
use stallmoor_core::serving::jobs::command::{JobItem, JobKey, Submission};
use stallmoor_core::serving::jobs::node::{JobsChange, JobsEffect, JobsNode, NotProposed, UnreadableSnapshot, Waiter};
use stallmoor_core::serving::jobs::request::JobsAnswer;
use stallmoor_core::time::{Millis, Timestamp, UnixMillis};

const SELF: NodeId = NodeId(1);
const OTHER: NodeId = NodeId(2);
/// Tokens that may wait on the route: room for one job of the tests and no second.
const LIMIT: u64 = 150;

/// A replica that is the only voter, with effects that are carried out when the test says so.
struct Harness {
    node: JobsNode,
    now: Timestamp,
    effects: Vec<JobsEffect>,
}

impl Harness {
    /// A leader that may answer.
    fn leading() -> Self {
        let now = Timestamp::from_millis(100_000);
        let settings = ReplicaSettings::default();
        let mut node = JobsNode::new(SELF, settings, PersistedReplica::default(), now, 7).expect("an empty disk");
        let effects = node.bootstrap(GroupMembership::of_voters(BTreeSet::from([SELF])), now);
        let mut harness = Self { node, now, effects };
        while !harness.node.may_answer(harness.now) {
            harness.now = harness.now + Millis(20);
            let effects = harness.node.tick(harness.now);
            harness.effects.extend(effects);
            harness.carry_out();
        }
        harness
    }

    fn carry_out(&mut self) -> Vec<JobsChange> {
        let mut changes = Vec::new();
        for effect in std::mem::take(&mut self.effects) {
            if let JobsEffect::ApplyUpTo(index) = effect {
                changes.extend(self.node.apply_up_to(index, self.now));
            }
        }
        changes
    }

    /// Takes the messages that wait to be sent.
    fn sent(&mut self) -> Vec<ReplicationMessage> {
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
fn a_job_submitted_again_while_its_proposal_is_under_way_is_not_refused() {
    let mut harness = Harness::leading();
    harness.submit("a", 1).expect("it fits");
    harness.submit("a", 2).expect("it is the same job, which will be taken");
    assert!(harness.node.may_hold(&JobKey(Arc::from("a"))));
    let answers: Vec<JobsAnswer> = harness
        .carry_out()
        .into_iter()
        .filter_map(|change| match change {
            JobsChange::Answer { answer, .. } => Some(answer),
            _ => None,
        })
        .collect();
    assert_eq!(answers, [JobsAnswer::Accepted, JobsAnswer::Accepted]);
}

#[test]
fn a_job_submitted_twice_counts_once_and_another_is_refused() {
    let mut harness = Harness::leading();
    harness.submit("a", 1).expect("it fits");
    harness.submit("a", 2).expect("it is the same job");
    assert_eq!(harness.submit("b", 3), Err(NotProposed::OverQuota { waiting: 100 }));
    harness.carry_out();
    assert_eq!(harness.submit("b", 4), Err(NotProposed::OverQuota { waiting: 100 }), "also once it is in the table");
    harness.submit("a", 5).expect("it is in the table");
}

/// A follower's answer of yes to whatever the candidate or leader asked.
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

/// A leader of two that may answer; the other one follows it.
fn leader_of_two() -> Harness {
    let now = Timestamp::from_millis(100_000);
    let settings = ReplicaSettings::default();
    let mut node = JobsNode::new(SELF, settings, PersistedReplica::default(), now, 7).expect("an empty disk");
    let effects = node.bootstrap(GroupMembership::of_voters(BTreeSet::from([SELF, OTHER])), now);
    let mut harness = Harness { node, now, effects };
    for _ in 0..200 {
        let messages: Vec<ReplicationMessage> = harness.sent();
        for answer in messages.iter().filter_map(granted) {
            let effects = harness.node.step(answer, harness.now);
            harness.effects.extend(effects);
        }
        let messages = harness.sent();
        harness.carry_out();
        harness.effects.extend(messages.into_iter().map(JobsEffect::Send));
        if harness.node.may_answer(harness.now) {
            return harness;
        }
        harness.now = harness.now + Millis(20);
        let effects = harness.node.tick(harness.now);
        harness.effects.extend(effects);
    }
    panic!("it is never elected")
}

#[test]
fn whoever_waits_on_an_entry_that_cannot_be_read_is_told_that_the_outcome_is_not_known() {
    let mut harness = leader_of_two();
    harness.carry_out();
    harness.submit("a", 1).expect("it fits");
    let index = harness.node.replica().log().last_index();
    let previous = LogIndex(index.0 - 1);
    let previous_term = harness.node.replica().log().term_at(previous).expect("it is in the log");
    let term = Term(harness.node.replica().term().0 + 1);
    // Another leader, of a later version, puts its own entry at that place.
    let entry = Entry { term, index, payload: EntryPayload::Command(Arc::from([0xff, 0xff, 0xff])) };
    let kind = MessageKind::Append {
        previous_index: previous,
        previous_term,
        commit: index,
        sent_at: harness.now,
        entries: vec![entry],
    };
    let append = ReplicationMessage { group: GroupId(0), from: OTHER, to: SELF, term, kind };
    let effects = harness.node.step(append, harness.now);
    harness.effects.extend(effects);
    let unsure = JobsChange::Answer { waiter: Waiter(1), answer: JobsAnswer::Indeterminate };
    assert_eq!(harness.carry_out(), [JobsChange::Unreadable(index), unsure]);
    assert!(harness.node.table().job(&JobKey(Arc::from("a"))).is_none());
    assert_eq!(harness.node.replica().applied(), index, "what follows is applied");
}

#[test]
fn a_snapshot_that_cannot_be_read_is_refused_and_the_table_stays() {
    let mut harness = Harness::leading();
    harness.submit("a", 1).expect("it fits");
    harness.carry_out();
    let before = harness.node.table().clone();
    let snapshot = Snapshot { index: LogIndex(9), state: Arc::from([0xff, 0xff, 0xff]), ..Snapshot::default() };
    assert_eq!(harness.node.restore(&snapshot), Err(UnreadableSnapshot { index: LogIndex(9) }));
    assert_eq!(harness.node.table(), &before);
    let readable = Snapshot { state: Arc::from([]), ..snapshot };
    assert_eq!(harness.node.restore(&readable), Ok(()));
    assert_eq!(harness.node.table().jobs().count(), 0, "the empty snapshot is the empty table");
}
