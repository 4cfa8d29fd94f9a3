//! One replica of one group: elections, replication and commitment.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::log::{Entry, EntryPayload, HardState, LogIndex, LogWrite, PersistedReplica, ReplicatedLog, Snapshot, Term};
use super::membership::{GroupMembership, MembershipChange};
use super::message::{MessageKind, ReplicationMessage};
use super::progress::Progress;
use crate::identity::{GroupId, NodeId};
use crate::time::{Millis, Timestamp};

/// A leader's read lease, in percent of the time for which its followers keep to it.
const READ_LEASE_PERCENT: u64 = 80;

/// Times and limits of a replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaSettings {
    /// Time between a leader's heartbeats.
    pub heartbeat_interval: Millis,
    /// A follower waits at least this long for its leader, and at most twice as long.
    pub election_timeout: Millis,
    /// Most bytes of entries in one append.
    pub append_bytes: usize,
    /// Most entries that a leader holds uncommitted; further proposals are refused.
    pub uncommitted_entries: u64,
    /// How long an acknowledgement waits for replicas beyond the majority.
    pub acknowledge_wait: Millis,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Millis(150),
            election_timeout: Millis(1_000),
            append_bytes: 1 << 20,
            uncommitted_entries: 4_096,
            acknowledge_wait: Millis(60),
        }
    }
}

/// What a driver must do for a replica, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaEffect {
    /// Write to disk, durably, before anything after it.
    Persist(LogWrite),
    /// Send to another replica.
    Send(ReplicationMessage),
    /// The state machine must be replaced by the snapshot's.
    Restore(Snapshot),
}

/// Why a proposal was not taken. Nothing was appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalError {
    /// Another replica leads, if known.
    NotLeader(Option<NodeId>),
    /// Too much is uncommitted, or leadership is being handed over.
    Busy,
}

/// What a replica is in its term.
#[derive(Clone, Debug)]
pub enum Role {
    /// Follows a leader, if known.
    Follower {
        /// The leader of this term.
        leader: Option<NodeId>,
    },
    /// Asks whether it would win an election.
    PreCandidate {
        /// Who would vote for it.
        votes: BTreeSet<NodeId>,
    },
    /// Stands for election.
    Candidate {
        /// Who voted for it.
        votes: BTreeSet<NodeId>,
    },
    /// Leads.
    Leader(LeaderState),
}

/// What a leader keeps.
#[derive(Clone, Debug)]
pub struct LeaderState {
    progress: BTreeMap<NodeId, Progress>,
    elected_at: Timestamp,
    first_index: LogIndex,
    last_heartbeat: Timestamp,
    transfer: Option<Transfer>,
}

/// A hand-over of leadership under way.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    target: NodeId,
    deadline: Timestamp,
}

/// One replica of one group.
pub struct Replica {
    group: GroupId,
    id: NodeId,
    settings: ReplicaSettings,
    hard_state: HardState,
    log: ReplicatedLog,
    commit: LogIndex,
    applied: LogIndex,
    role: Role,
    election_deadline: Timestamp,
    last_leader_contact: Option<Timestamp>,
    random: Xoshiro256PlusPlus,
    write: LogWrite,
    messages: Vec<ReplicationMessage>,
    effects: Vec<ReplicaEffect>,
}

impl Replica {
    /// Starts a replica from what its disk holds. `seed` decides its election timeouts.
    pub fn new(
        group: GroupId,
        id: NodeId,
        settings: ReplicaSettings,
        persisted: PersistedReplica,
        now: Timestamp,
        seed: u64,
    ) -> Self {
        let start = persisted.snapshot.index;
        let was_in_use = persisted.hard_state.term > Term(0) || !persisted.entries.is_empty();
        let mut replica = Self {
            group,
            id,
            settings,
            hard_state: persisted.hard_state,
            log: ReplicatedLog::new(persisted.snapshot, persisted.entries),
            commit: start,
            applied: start,
            role: Role::Follower { leader: None },
            election_deadline: now,
            // A restarted replica may have answered a leader just before, whose read lease still runs.
            last_leader_contact: was_in_use.then_some(now),
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            write: LogWrite::default(),
            messages: Vec::new(),
            effects: Vec::new(),
        };
        replica.reset_election_deadline(now);
        replica
    }

    /// Gives a replica that holds nothing its first membership, as the first entry of its log. Only the
    /// founding record of the group may be the source: it was accepted by one compare-and-swap, so all
    /// founders get the same entry, and it counts as committed. A founder that hears from the leader
    /// before it has read the record gets the entry from there.
    ///
    /// One founder, another for each group, stands for election at once, so that a new fleet need not
    /// wait for a time-out and leadership starts out spread.
    pub fn found(&mut self, membership: GroupMembership, now: Timestamp) {
        if self.log.last_index() > LogIndex(0) || membership.voters.is_empty() {
            return;
        }
        let first = membership.voters.iter().nth(self.group.0 as usize % membership.voters.len());
        if first == Some(&self.id) {
            self.election_deadline = now + self.settings.heartbeat_interval;
        }
        let payload = EntryPayload::Membership(membership);
        let entry = Entry { term: Term(0), index: LogIndex(1), payload };
        self.log.append(entry.clone());
        self.write.entries.push(entry);
        self.commit = LogIndex(1);
        self.flush();
    }

    /// The replica's group.
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Whether this replica leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The leader of this term, if known.
    pub fn leader(&self) -> Option<NodeId> {
        match &self.role {
            Role::Leader(_) => Some(self.id),
            Role::Follower { leader } => *leader,
            _ => None,
        }
    }

    /// Whether this leader has committed an entry of its own term, and so knows all that is committed.
    pub fn is_established_leader(&self) -> bool {
        match &self.role {
            Role::Leader(state) => self.commit >= state.first_index && self.applied >= state.first_index,
            _ => false,
        }
    }

    /// Whether this leader may answer reads from its state: it knows all that is committed, and a majority
    /// followed it so recently that none of them can have helped to elect another leader since. The lease
    /// counts from when the leader sent what they answered, and is shorter than they keep to it.
    pub fn may_answer_reads(&self, now: Timestamp) -> bool {
        let Role::Leader(state) = &self.role else { return false };
        if state.transfer.is_some() || !self.is_established_leader() {
            return false;
        }
        let lease = Millis(self.settings.election_timeout.0 * READ_LEASE_PERCENT / 100);
        let membership = self.log.membership();
        let follows = |voter: &NodeId| {
            let since = state.progress.get(voter).and_then(|progress| progress.follows_since);
            *voter == self.id || since.is_some_and(|at| now.since(at) < lease)
        };
        membership.voters.iter().filter(|voter| follows(voter)).count() >= membership.majority()
    }

    /// How far the group has committed, as known here.
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// How far the state machine was fed.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// The log.
    pub fn log(&self) -> &ReplicatedLog {
        &self.log
    }

    /// The membership in force.
    pub fn membership(&self) -> &GroupMembership {
        self.log.membership()
    }

    /// For a leader: what it knows of a follower.
    pub fn progress(&self, node: NodeId) -> Option<&Progress> {
        match &self.role {
            Role::Leader(state) => state.progress.get(&node),
            _ => None,
        }
    }

    /// Takes the effects gathered so far.
    pub fn take_effects(&mut self) -> Vec<ReplicaEffect> {
        std::mem::take(&mut self.effects)
    }

    /// The next committed entry that the state machine has not seen.
    pub fn next_committed(&mut self) -> Option<Entry> {
        if self.applied >= self.commit {
            return None;
        }
        let entry = self.log.entry(self.applied.next())?.clone();
        self.applied = entry.index;
        Some(entry)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Timestamp) {
        if self.is_leader() {
            self.tick_leader(now);
        } else if now >= self.election_deadline {
            self.campaign(now);
        }
        self.flush();
    }

    /// Proposes a command. The entry's place tells the caller when it is applied.
    pub fn propose(&mut self, command: Arc<[u8]>, now: Timestamp) -> Result<LogIndex, ProposalError> {
        self.check_proposal()?;
        let index = self.append_as_leader(EntryPayload::Command(command));
        self.replicate(now);
        self.flush();
        Ok(index)
    }

    /// Proposes a change of one member. Refused while an earlier change is uncommitted.
    pub fn propose_membership(&mut self, change: MembershipChange, now: Timestamp) -> Result<LogIndex, ProposalError> {
        self.check_proposal()?;
        if !self.is_established_leader() || self.log.membership_index() > self.commit {
            return Err(ProposalError::Busy);
        }
        let next = self.log.membership().after(change);
        if next == *self.log.membership() || next.voters.is_empty() {
            return Err(ProposalError::Busy);
        }
        let index = self.append_as_leader(EntryPayload::Membership(next));
        self.track_members(now);
        self.replicate(now);
        self.flush();
        Ok(index)
    }

    /// Hands leadership to `target` once its log is whole. Proposals are refused meanwhile.
    pub fn transfer_leadership(&mut self, target: NodeId, now: Timestamp) {
        let deadline = now + self.settings.election_timeout;
        let is_voter = self.log.membership().voters.contains(&target);
        if let Role::Leader(state) = &mut self.role
            && is_voter
            && target != self.id
            && state.transfer.is_none()
        {
            state.transfer = Some(Transfer { target, deadline });
        }
        self.send_timeout_now_if_ready();
        self.flush();
    }

    /// Whether every voter that answers holds the log up to `index` on disk.
    pub fn is_held_by_all_answering(&self, index: LogIndex, now: Timestamp) -> bool {
        let Role::Leader(state) = &self.role else { return false };
        let window = Millis(self.settings.heartbeat_interval.0 * 3);
        let answering = |progress: &Progress| progress.last_answer.is_some_and(|at| now.since(at) < window);
        self.log.membership().voters.iter().filter(|voter| **voter != self.id).all(|voter| {
            state.progress.get(voter).is_none_or(|progress| progress.matched >= index || !answering(progress))
        })
    }

    /// Whether all voters, this one included, hold the log up to the applied place.
    pub fn all_voters_caught_up(&self) -> bool {
        let Role::Leader(state) = &self.role else { return true };
        let others = self.log.membership().members().filter(|member| *member != self.id);
        others
            .into_iter()
            .all(|member| state.progress.get(&member).is_some_and(|progress| progress.matched >= self.applied))
    }

    /// Replaces the log up to the applied place by the encoded state machine.
    pub fn compact(&mut self, state: Arc<[u8]>) {
        let index = self.applied;
        let Some(term) = self.log.term_at(index) else { return };
        if index <= self.log.snapshot().index {
            return;
        }
        let membership = self.log.membership_at(index);
        let snapshot = Snapshot { index, term, membership, state };
        self.log.compact(snapshot.clone());
        self.write.snapshot = Some(snapshot);
        self.flush();
    }

    /// Takes a message from another replica.
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

    /// Moves to a message's higher term where the message warrants it. Returns whether to go on.
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

    /// Answers a message of an earlier term where the sender must learn that it is behind.
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
            MessageKind::Vote { last_index, last_term, .. } => self.on_vote(from, last_index, last_term, now),
            MessageKind::VoteAnswer { granted } => self.on_vote_answer(from, granted, now),
            MessageKind::Append { previous_index, previous_term, commit, sent_at, entries } => {
                self.follow(from, now);
                let (accepted, index) = self.on_append(previous_index, previous_term, commit, entries);
                self.send(from, MessageKind::AppendAnswer { accepted, index, echo: Some(sent_at) });
            }
            MessageKind::AppendAnswer { accepted, index, echo } => {
                self.on_append_answer(from, accepted, index, echo, now);
            }
            MessageKind::InstallSnapshot(snapshot) => {
                self.follow(from, now);
                self.on_snapshot(from, snapshot);
            }
            MessageKind::TimeoutNow => {
                if self.log.membership().voters.contains(&self.id) {
                    self.become_candidate(true, now);
                }
            }
        }
    }

    // Elections.

    fn campaign(&mut self, now: Timestamp) {
        self.reset_election_deadline(now);
        if !self.log.membership().voters.contains(&self.id) {
            return;
        }
        self.role = Role::PreCandidate { votes: BTreeSet::from([self.id]) };
        let kind = MessageKind::PreVote { last_index: self.log.last_index(), last_term: self.log.last_term() };
        self.broadcast_to_voters(Term(self.hard_state.term.0 + 1), kind);
        self.count_votes(now);
    }

    fn become_candidate(&mut self, transfer: bool, now: Timestamp) {
        self.hard_state = HardState { term: Term(self.hard_state.term.0 + 1), voted_for: Some(self.id) };
        self.write.hard_state = Some(self.hard_state);
        self.reset_election_deadline(now);
        self.role = Role::Candidate { votes: BTreeSet::from([self.id]) };
        let kind = MessageKind::Vote { last_index: self.log.last_index(), last_term: self.log.last_term(), transfer };
        self.broadcast_to_voters(self.hard_state.term, kind);
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: Timestamp) {
        let membership = self.log.membership();
        let won = |votes: &BTreeSet<NodeId>| votes.intersection(&membership.voters).count() >= membership.majority();
        match &self.role {
            Role::PreCandidate { votes } if won(votes) => self.become_candidate(false, now),
            Role::Candidate { votes } if won(votes) => self.become_leader(now),
            _ => {}
        }
    }

    fn on_pre_vote(&mut self, from: NodeId, term: Term, last_index: LogIndex, last_term: Term, now: Timestamp) {
        let granted =
            term > self.hard_state.term && !self.leader_lease_holds(now) && self.is_up_to_date(last_index, last_term);
        let answer_term = if granted { term } else { self.hard_state.term };
        self.send_in_term(answer_term, from, MessageKind::PreVoteAnswer { granted });
    }

    fn on_pre_vote_answer(&mut self, from: NodeId, granted: bool, now: Timestamp) {
        if let Role::PreCandidate { votes } = &mut self.role
            && granted
        {
            votes.insert(from);
            self.count_votes(now);
        }
    }

    fn on_vote(&mut self, from: NodeId, last_index: LogIndex, last_term: Term, now: Timestamp) {
        let free = self.hard_state.voted_for.is_none_or(|node| node == from);
        let granted =
            free && matches!(self.role, Role::Follower { leader: None }) && self.is_up_to_date(last_index, last_term);
        if granted {
            self.hard_state.voted_for = Some(from);
            self.write.hard_state = Some(self.hard_state);
            self.reset_election_deadline(now);
        }
        self.send(from, MessageKind::VoteAnswer { granted });
    }

    fn on_vote_answer(&mut self, from: NodeId, granted: bool, now: Timestamp) {
        if let Role::Candidate { votes } = &mut self.role
            && granted
        {
            votes.insert(from);
            self.count_votes(now);
        }
    }

    /// A log is up to date if its last entry has a later term, or the same term and no lower index.
    fn is_up_to_date(&self, last_index: LogIndex, last_term: Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    /// A node that heard its leader a short while ago doesn't help to depose it.
    fn leader_lease_holds(&self, now: Timestamp) -> bool {
        if self.is_leader() {
            return true;
        }
        self.last_leader_contact.is_some_and(|at| now.since(at) < self.settings.election_timeout)
    }

    fn become_follower(&mut self, term: Term, leader: Option<NodeId>, now: Timestamp) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, voted_for: None };
            self.write.hard_state = Some(self.hard_state);
        }
        self.role = Role::Follower { leader };
        self.reset_election_deadline(now);
    }

    fn follow(&mut self, leader: NodeId, now: Timestamp) {
        if !matches!(self.role, Role::Follower { leader: Some(known) } if known == leader) {
            self.become_follower(self.hard_state.term, Some(leader), now);
        }
        self.last_leader_contact = Some(now);
        self.reset_election_deadline(now);
    }

    fn become_leader(&mut self, now: Timestamp) {
        let first_index = self.log.last_index().next();
        self.role = Role::Leader(LeaderState {
            progress: BTreeMap::new(),
            elected_at: now,
            first_index,
            last_heartbeat: now,
            transfer: None,
        });
        self.append_as_leader(EntryPayload::Empty);
        self.track_members(now);
        self.broadcast_appends(now);
        self.advance_commit();
    }

    // Leading.

    fn check_proposal(&self) -> Result<(), ProposalError> {
        let Role::Leader(state) = &self.role else {
            return Err(ProposalError::NotLeader(self.leader()));
        };
        let uncommitted = self.log.last_index().0 - self.commit.0;
        if state.transfer.is_some() || uncommitted >= self.settings.uncommitted_entries {
            return Err(ProposalError::Busy);
        }
        Ok(())
    }

    fn append_as_leader(&mut self, payload: EntryPayload) -> LogIndex {
        let index = self.log.last_index().next();
        let entry = Entry { term: self.hard_state.term, index, payload };
        self.log.append(entry.clone());
        self.write.entries.push(entry);
        index
    }

    fn track_members(&mut self, now: Timestamp) {
        let next = self.log.last_index().next();
        let members: BTreeSet<NodeId> = self.log.membership().members().collect();
        let id = self.id;
        if let Role::Leader(state) = &mut self.role {
            state.progress.retain(|node, _| members.contains(node));
            for member in members.into_iter().filter(|member| *member != id) {
                state.progress.entry(member).or_insert_with(|| Progress::new(next, now));
            }
        }
    }

    fn tick_leader(&mut self, now: Timestamp) {
        if !self.has_quorum_contact(now) {
            self.become_follower(self.hard_state.term, None, now);
            return;
        }
        let heartbeat = self.settings.heartbeat_interval;
        let Role::Leader(state) = &mut self.role else { return };
        if state.transfer.is_some_and(|transfer| now >= transfer.deadline) {
            // The target may still act on it at any time, so this leader can't go on as if nothing was.
            self.become_follower(self.hard_state.term, None, now);
            return;
        }
        if now.since(state.last_heartbeat) >= heartbeat {
            state.last_heartbeat = now;
            self.resend_lost(now);
            self.broadcast_appends(now);
            self.send_timeout_now_if_ready();
        }
    }

    /// Entries sent a while ago and not yet answered count as lost.
    fn resend_lost(&mut self, now: Timestamp) {
        let wait = self.settings.heartbeat_interval;
        if let Role::Leader(state) = &mut self.role {
            for progress in state.progress.values_mut() {
                let idle = now.since(progress.last_sent);
                if idle >= wait && progress.pending_snapshot.is_none() {
                    progress.next = progress.matched.next().max(LogIndex(1));
                }
                if idle >= Millis(wait.0 * 8) {
                    progress.pending_snapshot = None;
                }
            }
        }
    }

    /// A leader that a majority no longer answers stands down, so that callers are not held by it.
    fn has_quorum_contact(&self, now: Timestamp) -> bool {
        let Role::Leader(state) = &self.role else { return false };
        let window = self.settings.election_timeout;
        if now.since(state.elected_at) < window {
            return true;
        }
        let membership = self.log.membership();
        let answering = membership.voters.iter().filter(|voter| {
            **voter == self.id
                || state
                    .progress
                    .get(voter)
                    .and_then(|progress| progress.last_answer)
                    .is_some_and(|at| now.since(at) < window)
        });
        answering.count() >= membership.majority()
    }

    /// Sends new entries to those followers that wait for them.
    fn replicate(&mut self, now: Timestamp) {
        let last = self.log.last_index();
        let Role::Leader(state) = &self.role else { return };
        let waiting: Vec<NodeId> = state
            .progress
            .iter()
            .filter(|(_, progress)| progress.next <= last && progress.pending_snapshot.is_none())
            .map(|(node, _)| *node)
            .collect();
        for node in waiting {
            self.send_append(node, now);
        }
        self.advance_commit();
    }

    fn broadcast_appends(&mut self, now: Timestamp) {
        let Role::Leader(state) = &self.role else { return };
        let nodes: Vec<NodeId> = state.progress.keys().copied().collect();
        for node in nodes {
            self.send_append(node, now);
        }
    }

    fn send_append(&mut self, to: NodeId, now: Timestamp) {
        let Some(progress) = self.progress(to).copied() else { return };
        let previous_index = progress.next.previous();
        let Some(previous_term) = self.log.term_at(previous_index) else {
            self.send_snapshot(to, now);
            return;
        };
        let entries = self.log.entries_from(progress.next, self.settings.append_bytes);
        let sent_up_to = entries.last().map(|entry| entry.index);
        let commit = self.commit;
        self.send(to, MessageKind::Append { previous_index, previous_term, commit, sent_at: now, entries });
        if let Role::Leader(state) = &mut self.role
            && let Some(progress) = state.progress.get_mut(&to)
            && let Some(index) = sent_up_to
        {
            progress.next = index.next();
            progress.last_sent = now;
        }
    }

    fn send_snapshot(&mut self, to: NodeId, now: Timestamp) {
        let snapshot = self.log.snapshot().clone();
        let index = snapshot.index;
        let Role::Leader(state) = &mut self.role else { return };
        let Some(progress) = state.progress.get_mut(&to) else { return };
        if progress.pending_snapshot.is_some() {
            return;
        }
        progress.pending_snapshot = Some(index);
        progress.last_sent = now;
        self.send(to, MessageKind::InstallSnapshot(snapshot));
    }

    fn on_append_answer(
        &mut self,
        from: NodeId,
        accepted: bool,
        index: LogIndex,
        echo: Option<Timestamp>,
        now: Timestamp,
    ) {
        let last = self.log.last_index();
        let Role::Leader(state) = &mut self.role else { return };
        let Some(progress) = state.progress.get_mut(&from) else { return };
        progress.follows_since = progress.follows_since.max(echo);
        if accepted {
            progress.accepted(index.min(last), now);
        } else {
            progress.rejected(index, now);
        }
        let behind = progress.next <= last && progress.pending_snapshot.is_none();
        if behind {
            self.send_append(from, now);
        }
        self.advance_commit();
        self.send_timeout_now_if_ready();
    }

    /// Commits what a majority of voters holds, but only through an entry of the leader's own term
    /// (Raft, section 5.4.2).
    fn advance_commit(&mut self) {
        let Role::Leader(state) = &self.role else { return };
        let membership = self.log.membership();
        let mut held: Vec<LogIndex> = membership
            .voters
            .iter()
            .map(|voter| {
                if *voter == self.id {
                    self.log.last_index()
                } else {
                    state.progress.get(voter).map_or(LogIndex(0), |progress| progress.matched)
                }
            })
            .collect();
        held.sort_unstable_by(|left, right| right.cmp(left));
        let Some(majority) = held.get(membership.majority().saturating_sub(1)).copied() else { return };
        if majority > self.commit && self.log.term_at(majority) == Some(self.hard_state.term) {
            self.commit = majority;
            self.stand_down_if_removed();
        }
    }

    /// A leader that has committed its own removal leads no longer.
    fn stand_down_if_removed(&mut self) {
        let removed = !self.log.membership().voters.contains(&self.id);
        if removed && self.commit >= self.log.membership_index() {
            self.role = Role::Follower { leader: None };
        }
    }

    fn send_timeout_now_if_ready(&mut self) {
        let last = self.log.last_index();
        let Role::Leader(state) = &self.role else { return };
        let Some(transfer) = state.transfer else { return };
        let caught_up = state.progress.get(&transfer.target).is_some_and(|progress| progress.matched == last);
        if caught_up {
            self.send(transfer.target, MessageKind::TimeoutNow);
        }
    }

    // Following.

    /// Takes entries. Returns whether they fit, and the place to answer with.
    fn on_append(
        &mut self,
        previous_index: LogIndex,
        previous_term: Term,
        commit: LogIndex,
        entries: Vec<Entry>,
    ) -> (bool, LogIndex) {
        if previous_index < self.log.snapshot().index {
            // All up to the snapshot is committed, so it matches.
            return (true, self.log.snapshot().index);
        }
        if self.log.term_at(previous_index) != Some(previous_term) {
            return (false, self.log.last_index().min(previous_index.previous()));
        }
        let matched = entries.last().map_or(previous_index, |entry| entry.index);
        self.append_as_follower(entries);
        self.commit = self.commit.max(commit.min(matched));
        (true, matched)
    }

    fn append_as_follower(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate_from(entry.index),
                None => {}
            }
            self.log.append(entry.clone());
            self.write.entries.push(entry);
        }
    }

    fn truncate_from(&mut self, index: LogIndex) {
        debug_assert!(index > self.commit, "a committed entry must never be dropped");
        self.log.truncate_from(index);
        self.write.entries.retain(|entry| entry.index < index);
        let lowest = self.write.truncate_from.map_or(index, |earlier| earlier.min(index));
        self.write.truncate_from = Some(lowest);
    }

    fn on_snapshot(&mut self, from: NodeId, snapshot: Snapshot) {
        let index = snapshot.index;
        if self.log.term_at(index) == Some(snapshot.term) {
            // The log holds the snapshot's last entry, so all up to it matches, and what follows may
            // have been acknowledged: it must stay (Raft, section 7).
            self.commit = self.commit.max(index);
        } else if index > self.commit {
            self.write.truncate_from = Some(LogIndex(0));
            self.write.snapshot = Some(snapshot.clone());
            self.log.restore(snapshot.clone());
            self.commit = index;
            self.applied = index;
            self.effects.push(ReplicaEffect::Restore(snapshot));
        }
        let index = self.commit;
        self.send(from, MessageKind::AppendAnswer { accepted: true, index, echo: None });
    }

    // Plumbing.

    fn reset_election_deadline(&mut self, now: Timestamp) {
        let base = self.settings.election_timeout.0;
        let wait = base + self.random.random_range(0..=base);
        self.election_deadline = now + Millis(wait);
    }

    fn broadcast_to_voters(&mut self, term: Term, kind: MessageKind) {
        let voters: Vec<NodeId> =
            self.log.membership().voters.iter().copied().filter(|voter| *voter != self.id).collect();
        for voter in voters {
            self.send_in_term(term, voter, kind.clone());
        }
    }

    fn send(&mut self, to: NodeId, kind: MessageKind) {
        self.send_in_term(self.hard_state.term, to, kind);
    }

    fn send_in_term(&mut self, term: Term, to: NodeId, kind: MessageKind) {
        self.messages.push(ReplicationMessage { group: self.group, from: self.id, to, term, kind });
    }

    /// Turns what one call gathered into effects: the write first, then the messages that rely on it.
    fn flush(&mut self) {
        if !self.write.is_empty() {
            self.effects.push(ReplicaEffect::Persist(std::mem::take(&mut self.write)));
        }
        let messages = std::mem::take(&mut self.messages);
        self.effects.extend(messages.into_iter().map(ReplicaEffect::Send));
    }
}
