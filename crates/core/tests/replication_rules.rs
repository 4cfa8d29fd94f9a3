//! Scenarios for individual Raft safety rules, and for the conflict check of a configuration change.

use std::collections::BTreeMap;
use std::sync::Arc;

use stallmoor_core::identity::{GroupId, NodeId};
use stallmoor_core::node::configuration::apply::ApplyAnswer;
use stallmoor_core::node::configuration::{ApplyId, ApplyStep, Bundle, ConfigurationApply, Manifest};
use stallmoor_core::replication::{
    Entry, EntryPayload, GroupMembership, HardState, LogIndex, MembershipChange, MessageKind, PersistedReplica,
    ProposalError, Replica, ReplicaEffect, ReplicaSettings, ReplicationMessage, Term,
};
use stallmoor_core::time::{Millis, Timestamp};

const GROUP: GroupId = GroupId(0);
const SELF: NodeId = NodeId(1);

/// A replica and its disk.
struct Harness {
    replica: Replica,
    disk: PersistedReplica,
    now: u64,
}

impl Harness {
    fn open(disk: PersistedReplica) -> Self {
        let now = 100_000;
        let at = Timestamp::from_millis(now);
        let replica = Replica::new(GROUP, SELF, ReplicaSettings::default(), disk.clone(), at, 7);
        Self { replica, disk, now }
    }

    fn bootstrapped() -> Self {
        let mut harness = Self::open(PersistedReplica::default());
        let founders = GroupMembership::of_voters([SELF, NodeId(2), NodeId(3)]);
        let now = harness.time();
        harness.replica.bootstrap(founders, now);
        harness.execute_effects();
        harness
    }

    fn time(&self) -> Timestamp {
        Timestamp::from_millis(self.now)
    }

    /// Executes the queued writes and returns the messages.
    fn execute_effects(&mut self) -> Vec<ReplicationMessage> {
        let mut messages = Vec::new();
        for effect in self.replica.take_effects() {
            match effect {
                ReplicaEffect::Persist(write) => self.disk.write(&write),
                ReplicaEffect::Send(message) | ReplicaEffect::SendNow(message) => messages.push(message),
                ReplicaEffect::Restore(_) => {}
            }
        }
        messages
    }

    fn step(&mut self, from: u64, term: u64, kind: MessageKind) -> Vec<ReplicationMessage> {
        let message = ReplicationMessage { group: GROUP, from: NodeId(from), to: SELF, term: Term(term), kind };
        let now = self.time();
        self.replica.step(message, now);
        self.execute_effects()
    }

    /// Passes the election timeout and wins the election with the vote of replica 2.
    fn win_election(&mut self) {
        self.now += 10_000;
        let now = self.time();
        self.replica.tick(now);
        self.execute_effects();
        let term = self.replica.term().0;
        self.step(2, term + 1, MessageKind::PreVoteAnswer { granted: true });
        self.step(2, term + 1, MessageKind::VoteAnswer { granted: true });
        assert!(self.replica.is_leader());
    }

    fn acknowledge(&mut self, from: u64, index: u64) {
        let echo = Some(self.time());
        let kind = MessageKind::AppendAnswer { accepted: true, index: LogIndex(index), echo };
        let term = self.replica.term().0;
        self.step(from, term, kind);
    }
}

fn vote_request() -> MessageKind {
    MessageKind::Vote { last_index: LogIndex(50), last_term: Term(4), transfer: false }
}

fn grants_vote(messages: &[ReplicationMessage]) -> bool {
    messages.iter().any(|message| message.kind == MessageKind::VoteAnswer { granted: true })
}

#[test]
fn a_vote_survives_a_restart() {
    let mut harness = Harness::bootstrapped();
    assert!(grants_vote(&harness.step(2, 5, vote_request())));
    let mut restarted = Harness::open(harness.disk);
    restarted.now += 10_000;
    assert!(
        !grants_vote(&restarted.step(3, 5, vote_request())),
        "two candidates must not receive votes in the same term"
    );
    assert!(grants_vote(&restarted.step(2, 5, vote_request())), "the same candidate may request the vote again");
}

#[test]
fn an_entry_of_an_earlier_term_is_committed_only_by_an_entry_of_the_current_term() {
    let founders = GroupMembership::of_voters([SELF, NodeId(2), NodeId(3)]);
    let entry = |index: u64, term: u64, payload| Entry { term: Term(term), index: LogIndex(index), payload };
    let disk = PersistedReplica {
        hard_state: HardState { term: Term(3), voted_for: None },
        entries: vec![
            entry(1, 0, EntryPayload::Membership(founders)),
            entry(2, 2, EntryPayload::Command(Arc::from([1].as_slice()))),
        ],
        ..PersistedReplica::default()
    };
    let mut harness = Harness::open(disk);
    harness.win_election();
    harness.acknowledge(2, 2);
    assert!(harness.replica.commit() < LogIndex(2), "storage on a majority does not commit it");
    harness.acknowledge(2, 3);
    assert_eq!(harness.replica.commit(), LogIndex(3));
}

#[test]
fn a_membership_change_is_refused_until_the_previous_one_is_committed() {
    let mut harness = Harness::bootstrapped();
    harness.win_election();
    harness.acknowledge(2, 2);
    while harness.replica.next_committed().is_some() {}
    let now = harness.time();
    let first = harness.replica.propose_membership(MembershipChange::AddLearner(NodeId(4)), now);
    assert!(first.is_ok(), "{first:?}");
    let second = harness.replica.propose_membership(MembershipChange::Remove(NodeId(3)), now);
    assert_eq!(second, Err(ProposalError::Busy));
    harness.acknowledge(2, 3);
    while harness.replica.next_committed().is_some() {}
    let third = harness.replica.propose_membership(MembershipChange::Remove(NodeId(3)), now);
    assert!(third.is_ok(), "{third:?}");
}

#[test]
fn a_leader_answers_reads_only_while_its_lease_is_valid() {
    let mut harness = Harness::bootstrapped();
    harness.win_election();
    harness.acknowledge(2, 2);
    while harness.replica.next_committed().is_some() {}
    assert!(harness.replica.may_answer_reads(harness.time()));
    let paused = harness.time() + Millis(5_000);
    assert!(!harness.replica.may_answer_reads(paused), "the lease must expire during a pause, before the next tick");
}

#[test]
fn a_stale_manifest_read_is_not_reported_as_a_conflict() {
    let now = Timestamp::from_millis(1_000);
    let files = BTreeMap::from([("fleet.toml".to_owned(), Arc::from("[fleet]"))]);
    let mut change = ConfigurationApply::new(ApplyId(1), Bundle { files }, Some(5), now);
    let manifest = |revision| Manifest { revision, ..Manifest::default() };
    let step = change.on_answer(ApplyAnswer::Manifest(Some((4, manifest(4)))), now);
    assert_eq!(step, ApplyStep::ReadManifest);
    let step = change.on_answer(ApplyAnswer::Manifest(Some((5, manifest(5)))), now);
    assert!(matches!(step, ApplyStep::WritePart(_)), "{step:?}");
}

/// A leader that has proposed the removal of replica 3 and then lost contact with replica 2, so that it stood down.
fn with_lost_change() -> Harness {
    let mut harness = Harness::bootstrapped();
    harness.win_election();
    harness.acknowledge(2, 2);
    while harness.replica.next_committed().is_some() {}
    let now = harness.time();
    harness.replica.propose_membership(MembershipChange::Remove(NodeId(3)), now).expect("the change is accepted");
    harness.execute_effects();
    harness.now += 5_000;
    let now = harness.time();
    harness.replica.tick(now);
    harness.execute_effects();
    assert!(!harness.replica.is_leader(), "no majority has answered");
    harness
}

/// Guards against a group without a leader because of a change that its proposer can't commit.
#[test]
fn a_proposer_without_a_leader_withdraws_its_change() {
    let mut harness = with_lost_change();
    let before = harness.replica.membership_before_withdrawable_change();
    assert_eq!(before, Some(GroupMembership::of_voters([SELF, NodeId(2), NodeId(3)])));
    harness.replica.withdraw_membership_change();
    harness.execute_effects();
    assert_eq!(Some(harness.replica.membership().clone()), before);
    let restarted = Harness::open(harness.disk);
    assert_eq!(Some(restarted.replica.membership().clone()), before, "the withdrawal is durable");
}

/// Guards against withdrawing a change that another leader may have committed.
#[test]
fn a_proposer_that_voted_for_another_replica_withdraws_nothing() {
    let mut harness = with_lost_change();
    harness.now += 10_000;
    let term = harness.replica.term().0;
    assert!(grants_vote(&harness.step(2, term + 1, vote_request())));
    assert_eq!(harness.replica.membership_before_withdrawable_change(), None);
    let last = harness.replica.log().last_index();
    harness.replica.withdraw_membership_change();
    assert_eq!(harness.replica.log().last_index(), last);
}

/// Guards against withdrawing a change of which a restarted replica can't tell whether it was committed.
#[test]
fn a_restarted_proposer_withdraws_nothing() {
    let harness = with_lost_change();
    let restarted = Harness::open(harness.disk);
    assert!(!restarted.replica.membership().contains(NodeId(3)), "the change is in the log");
    assert_eq!(restarted.replica.membership_before_withdrawable_change(), None);
}

/// Guards against withdrawing a change that was committed.
#[test]
fn a_committed_change_is_not_withdrawn() {
    let mut harness = Harness::bootstrapped();
    harness.win_election();
    harness.acknowledge(2, 2);
    while harness.replica.next_committed().is_some() {}
    let now = harness.time();
    let index = harness.replica.propose_membership(MembershipChange::Remove(NodeId(3)), now).expect("it is accepted");
    harness.execute_effects();
    harness.acknowledge(2, index.0);
    assert_eq!(harness.replica.commit(), index);
    harness.now += 5_000;
    let now = harness.time();
    harness.replica.tick(now);
    assert_eq!(harness.replica.membership_before_withdrawable_change(), None);
}
