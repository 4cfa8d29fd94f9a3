//! Handles messages from other replicas: checks the term and dispatches by kind.

use super::durability::HeartbeatAnswer;
use super::message::{MessageKind, ReplicationMessage};
use super::replica::Replica;
use crate::time::Timestamp;

impl Replica {
    /// Handles a message from another replica. Messages for another group or replica are ignored.
    pub fn step(&mut self, message: ReplicationMessage, now: Timestamp) {
        if message.group != self.group || message.to != self.id {
            return;
        }
        if message.term > self.hard_state.term && !self.adopt_term(&message, now) {
            return;
        }
        if message.term < self.hard_state.term {
            self.answer_stale(&message);
        } else {
            self.dispatch(message, now);
        }
        self.flush();
    }

    /// Adopts the higher term of a message where its kind requires it. Returns whether to process the message.
    fn adopt_term(&mut self, message: &ReplicationMessage, now: Timestamp) -> bool {
        match &message.kind {
            MessageKind::PreVote { .. } => true,
            MessageKind::PreVoteAnswer { granted: true } => true,
            MessageKind::Vote { transfer: false, .. } if self.leader_lease_holds(now) => false,
            MessageKind::Append { .. } | MessageKind::InstallSnapshot(_) => {
                self.become_follower(message.term, Some(message.from), now);
                true
            }
            _ => {
                self.become_follower(message.term, None, now);
                true
            }
        }
    }

    /// Answers requests of an earlier term, so that the sender learns the current term.
    fn answer_stale(&mut self, message: &ReplicationMessage) {
        match message.kind {
            MessageKind::Append { .. } | MessageKind::InstallSnapshot(_) => {
                let index = self.log.last_index();
                self.send(message.from, MessageKind::AppendAnswer { accepted: false, index, echo: None });
            }
            MessageKind::PreVote { .. } => {
                self.send(message.from, MessageKind::PreVoteAnswer { granted: false });
            }
            _ => {}
        }
    }

    fn dispatch(&mut self, message: ReplicationMessage, now: Timestamp) {
        let from = message.from;
        match message.kind {
            MessageKind::PreVote { last_index, last_term } => {
                self.on_pre_vote(from, message.term, last_index, last_term, now);
            }
            MessageKind::PreVoteAnswer { granted } => self.on_pre_vote_answer(from, granted, now),
            MessageKind::Vote { last_index, last_term, transfer } => {
                self.on_vote(from, last_index, last_term, transfer, now);
            }
            MessageKind::VoteAnswer { granted } => self.on_vote_answer(from, granted, now),
            MessageKind::Append { previous_index, previous_term, commit, sent_at, election_timeout, entries } => {
                self.follow(from, election_timeout, now);
                let is_heartbeat = entries.is_empty();
                let (accepted, index) = self.on_append(previous_index, previous_term, commit, entries);
                if is_heartbeat {
                    let leader_is_current = election_timeout.is_some();
                    self.answer_heartbeat(from, HeartbeatAnswer { accepted, index, sent_at, leader_is_current });
                } else {
                    self.send(from, MessageKind::AppendAnswer { accepted, index, echo: Some(sent_at) });
                }
            }
            MessageKind::AppendAnswer { accepted, index, echo } => {
                self.on_append_answer(from, accepted, index, echo, now);
            }
            MessageKind::InstallSnapshot(snapshot) => {
                // The answer to a snapshot extends no lease, so the announced time need not be known.
                self.follow(from, None, now);
                self.on_snapshot(from, snapshot);
            }
            MessageKind::TimeoutNow => {
                if self.log.membership().voters.contains(&self.id) {
                    self.record_campaign(true, now);
                    self.become_candidate(true, now);
                }
            }
        }
    }
}
