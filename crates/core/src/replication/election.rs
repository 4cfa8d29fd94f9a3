//! Elections: requesting and granting votes, and changing roles.

use std::collections::{BTreeMap, BTreeSet};

use super::commit_watch::CommitWatch;
use super::log::{EntryPayload, HardState, LogIndex, Term};
use super::message::MessageKind;
use super::replica::Replica;
use super::role::{LeaderState, Role};
use crate::identity::NodeId;
use crate::time::{Millis, Timestamp};

/// Election timeout of leaders that announce none: the fixed value of earlier versions, whose read lease is 80% of it.
pub(super) const UNANNOUNCED_ELECTION_TIMEOUT: Millis = Millis(1_000);
/// Maximum announced election timeout. A larger value is invalid and must not keep the group from electing a leader.
const MAX_ELECTION_TIMEOUT: Millis = Millis(10_000);

impl Replica {
    pub(super) fn campaign(&mut self, now: Timestamp) {
        self.reset_campaign_deadline(now);
        self.campaigns = self.campaigns.saturating_add(1);
        if !self.log.membership().voters.contains(&self.id) {
            return;
        }
        self.record_campaign(false, now);
        self.role = Role::PreCandidate { votes: BTreeSet::from([self.id]) };
        let kind = MessageKind::PreVote { last_index: self.log.last_index(), last_term: self.log.last_term() };
        self.broadcast_to_voters(Term(self.hard_state.term.0 + 1), kind);
        self.count_votes(now);
    }

    pub(super) fn become_candidate(&mut self, transfer: bool, now: Timestamp) {
        self.hard_state = HardState { term: Term(self.hard_state.term.0 + 1), voted_for: Some(self.id) };
        self.write.hard_state = Some(self.hard_state);
        self.reset_campaign_deadline(now);
        self.role = Role::Candidate { votes: BTreeSet::from([self.id]) };
        let kind = MessageKind::Vote { last_index: self.log.last_index(), last_term: self.log.last_term(), transfer };
        self.broadcast_to_voters(self.hard_state.term, kind);
        self.count_votes(now);
    }

    pub(super) fn count_votes(&mut self, now: Timestamp) {
        if self.is_elected_by_learner() {
            self.lead_with_learner(now);
            return;
        }
        let membership = self.log.membership();
        let won = |votes: &BTreeSet<NodeId>| votes.intersection(&membership.voters).count() >= membership.majority();
        match &self.role {
            Role::PreCandidate { votes } if won(votes) => self.become_candidate(false, now),
            Role::Candidate { votes } if won(votes) => self.become_leader(now),
            _ => {}
        }
    }

    pub(super) fn on_pre_vote(
        &mut self,
        from: NodeId,
        term: Term,
        last_index: LogIndex,
        last_term: Term,
        now: Timestamp,
    ) {
        let granted =
            term > self.hard_state.term && !self.leader_lease_holds(now) && self.is_up_to_date(last_index, last_term);
        let answer_term = if granted { term } else { self.hard_state.term };
        self.send_in_term(answer_term, from, MessageKind::PreVoteAnswer { granted });
    }

    pub(super) fn on_pre_vote_answer(&mut self, from: NodeId, granted: bool, now: Timestamp) {
        if let Role::PreCandidate { votes } = &mut self.role
            && granted
        {
            votes.insert(from);
            self.count_votes(now);
        }
    }

    pub(super) fn on_vote(
        &mut self,
        from: NodeId,
        last_index: LogIndex,
        last_term: Term,
        transfer: bool,
        now: Timestamp,
    ) {
        let may_vote = self.hard_state.voted_for.is_none_or(|node| node == from);
        // The replica may have learned of this term otherwise, while its promise to the leader of an earlier one holds.
        let is_free = transfer || !self.leader_lease_holds(now);
        let granted = may_vote
            && is_free
            && matches!(self.role, Role::Follower { leader: None })
            && (self.is_up_to_date(last_index, last_term) || self.may_elect_as_learner(from, last_index, last_term));
        if granted {
            self.proposed_change = None;
            self.hard_state.voted_for = Some(from);
            self.write.hard_state = Some(self.hard_state);
            self.reset_election_deadline(now);
        }
        self.send(from, MessageKind::VoteAnswer { granted });
    }

    pub(super) fn on_vote_answer(&mut self, from: NodeId, granted: bool, now: Timestamp) {
        if let Role::Candidate { votes } = &mut self.role
            && granted
        {
            votes.insert(from);
            self.count_votes(now);
        }
    }

    /// Returns whether a candidate's log is at least as up to date as this one: its last entry has a later term, or the
    /// same term and no lower index (Raft, section 5.4.1).
    pub(super) fn is_up_to_date(&self, last_index: LogIndex, last_term: Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    /// Returns whether this replica is the leader or was contacted by its leader within the election timeout that the
    /// leader announced. Votes are then refused, so that a disconnected replica that rejoins cannot depose a working
    /// leader.
    pub(super) fn leader_lease_holds(&self, now: Timestamp) -> bool {
        if self.is_leader() {
            return true;
        }
        self.promised_until.is_some_and(|until| now < until)
    }

    pub(super) fn become_follower(&mut self, term: Term, leader: Option<NodeId>, now: Timestamp) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, voted_for: None };
            self.write.hard_state = Some(self.hard_state);
        }
        self.role = Role::Follower { leader };
        self.reset_election_deadline(now);
    }

    /// Follows a leader and refuses to elect another one for the time that it announced.
    pub(super) fn follow(&mut self, leader: NodeId, announced: Option<Millis>, now: Timestamp) {
        if !matches!(self.role, Role::Follower { leader: Some(known) } if known == leader) {
            self.become_follower(self.hard_state.term, Some(leader), now);
        }
        self.promised_until = Some(now + announced.unwrap_or(UNANNOUNCED_ELECTION_TIMEOUT).min(MAX_ELECTION_TIMEOUT));
        self.last_leader_contact = now;
        self.proposed_change = None;
        self.campaigns = 0;
        self.reset_election_deadline(now);
        self.hasten_election();
    }

    pub(super) fn become_leader(&mut self, now: Timestamp) {
        let first_index = self.log.last_index().next();
        self.campaigns = 0;
        self.role = Role::Leader(LeaderState {
            progress: BTreeMap::new(),
            elected_at: now,
            first_index,
            last_heartbeat: now,
            transfer: None,
            commit_watch: CommitWatch::default(),
        });
        self.append_as_leader(EntryPayload::Empty);
        self.track_members(now);
        self.broadcast_appends(now);
        self.advance_commit();
        self.watch_commit(now);
    }
}
