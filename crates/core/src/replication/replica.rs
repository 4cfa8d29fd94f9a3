//! One replica of one group: elections, replication and commitment.

use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::log::{Entry, EntryPayload, HardState, LogIndex, LogWrite, PersistedReplica, ReplicatedLog, Snapshot, Term};
use super::membership::{GroupMembership, MembershipChange};
use super::message::{MessageKind, ReplicationMessage};
use super::role::{Role, Transfer};
use crate::identity::{GroupId, NodeId};
use crate::time::{Millis, Timestamp};

/// Times and limits of a replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaSettings {
    /// Time between a leader's heartbeats.
    pub heartbeat_interval: Millis,
    /// A follower waits at least this long for its leader, and at most twice as long.
    pub election_timeout: Millis,
    /// Most bytes of entries in one append.
    pub max_append_bytes: usize,
    /// Most entries that a leader holds uncommitted; further proposals are refused.
    pub max_uncommitted_entries: u64,
    /// How long an acknowledgement waits for replicas beyond the majority.
    pub full_ack_timeout: Millis,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Millis(150),
            election_timeout: Millis(1_000),
            max_append_bytes: 1 << 20,
            max_uncommitted_entries: 4_096,
            full_ack_timeout: Millis(60),
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
    pub fn bootstrap(&mut self, membership: GroupMembership, now: Timestamp) {
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
    pub fn become_sole_voter(&mut self, now: Timestamp) -> bool {
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
