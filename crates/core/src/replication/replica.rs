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
    pub(super) progress: BTreeMap<NodeId, Progress>,
    pub(super) elected_at: Timestamp,
    pub(super) first_index: LogIndex,
    pub(super) last_heartbeat: Timestamp,
    pub(super) transfer: Option<Transfer>,
}

/// A hand-over of leadership under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Transfer {
    pub(super) target: NodeId,
    pub(super) deadline: Timestamp,
}

/// One replica of one group.
pub struct Replica {
    pub(super) group: GroupId,
    pub(super) id: NodeId,
    pub(super) settings: ReplicaSettings,
    pub(super) hard_state: HardState,
    pub(super) log: ReplicatedLog,
    pub(super) commit: LogIndex,
    pub(super) applied: LogIndex,
    pub(super) role: Role,
    pub(super) election_deadline: Timestamp,
    pub(super) last_leader_contact: Option<Timestamp>,
    pub(super) random: Xoshiro256PlusPlus,
    pub(super) write: LogWrite,
    pub(super) messages: Vec<ReplicationMessage>,
    pub(super) effects: Vec<ReplicaEffect>,
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

    /// Goes on as the only voter of a group of two whose other member is lost. The caller must hold the
    /// proof that the other member never goes on: both commit only together, so this log holds all that
    /// was committed.
    pub fn continue_alone(&mut self, now: Timestamp) -> bool {
        let voters = &self.log.membership().voters;
        if voters.len() != 2 || !voters.contains(&self.id) {
            return false;
        }
        self.hard_state = HardState { term: Term(self.hard_state.term.0 + 1), voted_for: Some(self.id) };
        self.write.hard_state = Some(self.hard_state);
        self.become_leader(now);
        let learners = self.log.membership().learners.clone();
        self.append_as_leader(EntryPayload::Membership(GroupMembership { voters: [self.id].into(), learners }));
        self.track_members(now);
        self.replicate(now);
        self.flush();
        true
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
        if let Some(snapshot) = self.snapshot_of(state) {
            self.compact_to(snapshot);
        }
    }

    /// The snapshot of the applied place, whose encoded state machine is `state`. `None` if the log has
    /// nothing to compact.
    pub fn snapshot_of(&self, state: Arc<[u8]>) -> Option<Snapshot> {
        let index = self.applied;
        let term = self.log.term_at(index).filter(|_| index > self.log.snapshot().index)?;
        Some(Snapshot { index, term, membership: self.log.membership_at(index), state })
    }

    /// Replaces the log up to a snapshot of this replica, taken a while ago, by the snapshot. Entries that
    /// came since stay, so that followers that lag a little still get them.
    pub fn compact_to(&mut self, snapshot: Snapshot) {
        if snapshot.index <= self.log.snapshot().index || self.log.term_at(snapshot.index) != Some(snapshot.term) {
            return;
        }
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

    // Plumbing.

    pub(super) fn reset_election_deadline(&mut self, now: Timestamp) {
        let base = self.settings.election_timeout.0;
        let wait = base + self.random.random_range(0..=base);
        self.election_deadline = now + Millis(wait);
    }

    pub(super) fn broadcast_to_voters(&mut self, term: Term, kind: MessageKind) {
        let voters: Vec<NodeId> =
            self.log.membership().voters.iter().copied().filter(|voter| *voter != self.id).collect();
        for voter in voters {
            self.send_in_term(term, voter, kind.clone());
        }
    }

    pub(super) fn send(&mut self, to: NodeId, kind: MessageKind) {
        self.send_in_term(self.hard_state.term, to, kind);
    }

    pub(super) fn send_in_term(&mut self, term: Term, to: NodeId, kind: MessageKind) {
        self.messages.push(ReplicationMessage { group: self.group, from: self.id, to, term, kind });
    }

    /// Turns what one call gathered into effects: the write first, then the messages that rely on it.
    pub(super) fn flush(&mut self) {
        if !self.write.is_empty() {
            self.effects.push(ReplicaEffect::Persist(std::mem::take(&mut self.write)));
        }
        let messages = std::mem::take(&mut self.messages);
        self.effects.extend(messages.into_iter().map(ReplicaEffect::Send));
    }
}
