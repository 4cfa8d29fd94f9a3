//! The state and public interface of one replica of a group.

use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::durability::Durability;
use super::election::UNANNOUNCED_ELECTION_TIMEOUT;
use super::leader_loss::{CampaignStart, EndedLeader};
use super::log::{Entry, EntryPayload, HardState, LogIndex, LogWrite, PersistedReplica, ReplicatedLog, Snapshot, Term};
use super::membership::{GroupMembership, MembershipChange};
use super::message::{MessageKind, ReplicationMessage};
use super::role::{Role, Transfer};
use super::stand_down::StandDownReason;
use crate::identity::{GroupId, NodeId};
use crate::time::{Millis, Timestamp};

/// Maximum number of times that the wait after a campaign doubles; prevents an overflow.
const MAX_CAMPAIGN_DOUBLINGS: u32 = 8;

/// Timeouts and limits of a replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaSettings {
    /// Interval between a leader's heartbeats.
    pub heartbeat_interval: Millis,
    /// Time for which a leader asks its followers to refuse votes after each message, and minimum time without contact
    /// from a leader before a replica campaigns.
    pub election_timeout: Millis,
    /// Maximum of the random time that is added to the election timeout.
    pub election_jitter: Millis,
    /// Minimum time from the first unsuccessful campaign to the next one. Doubles with each further one, up to
    /// `quorum_timeout`. The actual time is random, up to twice this value.
    pub campaign_retry: Millis,
    /// Time without answers from a majority after which a leader steps down. Longer than the election timeout where that
    /// is short, so that slow disks don't depose a leader.
    pub quorum_timeout: Millis,
    /// Time for which a leader's entries may wait without any commit before it makes way for a majority of other voters
    /// that answer; `None` if it never does. Doubles each time that the leader has made way since its last commit.
    pub commit_timeout: Option<Millis>,
    /// Whether heartbeats and their answers are sent ahead of writes in progress. The caller must then report each
    /// completed write with [`Replica::record_durable`].
    pub heartbeats_bypass_writes: bool,
    /// Time within which a follower usually answers, writes to its disk included. Multiples of it determine when entries
    /// are sent again and when a follower counts as unresponsive.
    pub answer_time: Millis,
    /// Maximum size in bytes of the entries in one append message. A single larger entry is still sent.
    pub max_append_bytes: usize,
    /// Maximum number of uncommitted entries. A leader at the limit refuses proposals.
    pub max_uncommitted_entries: u64,
    /// Maximum time that an acknowledgment waits for responsive replicas beyond the majority.
    pub full_ack_timeout: Millis,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Millis(150),
            election_timeout: Millis(1_000),
            election_jitter: Millis(1_000),
            campaign_retry: Millis(1_000),
            quorum_timeout: Millis(1_000),
            commit_timeout: None,
            heartbeats_bypass_writes: false,
            answer_time: Millis(150),
            max_append_bytes: 1 << 20,
            max_uncommitted_entries: 4_096,
            full_ack_timeout: Millis(60),
        }
    }
}

/// An action that the caller must carry out for a replica. Effects are executed in order, except for
/// [`SendNow`](Self::SendNow).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaEffect {
    /// Write to disk. The write must be durable before any later effect is executed.
    Persist(LogWrite),
    /// Send a message to another replica.
    Send(ReplicationMessage),
    /// Send a message to another replica at once. It does not depend on earlier effects.
    SendNow(ReplicationMessage),
    /// Replace the state machine with the snapshot's state.
    Restore(Snapshot),
}

/// The reason why a proposal was refused. Nothing was appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalError {
    /// This replica is not the leader. Contains the leader, if known.
    NotLeader(Option<NodeId>),
    /// Too many entries are uncommitted, leadership is being transferred, or the membership cannot be changed now.
    Busy,
}

/// A Raft replica of one group.
///
/// Methods that change the replica queue [`ReplicaEffect`]s, which the caller collects with
/// [`take_effects`](Self::take_effects).
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
    /// The time until which this replica refuses votes, as promised to its leader.
    pub(super) promised_until: Option<Timestamp>,
    pub(super) last_leader_contact: Timestamp,
    pub(super) ended_leader: EndedLeader,
    pub(super) campaign_start: Option<CampaignStart>,
    /// The latest membership change that this replica proposed, until it acknowledges another leader or candidate.
    pub(super) proposed_change: Option<LogIndex>,
    /// The learner whose vote counts instead of that of the lost voter, and the term of that campaign.
    pub(super) learner_elector: Option<(Term, NodeId)>,
    /// The number of consecutive campaigns without a leader.
    pub(super) campaigns: u32,
    /// How often this replica has made way for want of a commit since it last committed an entry as the leader.
    pub(super) commitless_leaderships: u32,
    pub(super) stand_down: Option<StandDownReason>,
    pub(super) random: Xoshiro256PlusPlus,
    pub(super) write: LogWrite,
    pub(super) messages: Vec<ReplicationMessage>,
    pub(super) urgent_messages: Vec<ReplicationMessage>,
    pub(super) durability: Durability,
    pub(super) effects: Vec<ReplicaEffect>,
}

impl Replica {
    /// Creates a replica from its persisted state. `seed` determines the random election timeouts.
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
        let log = ReplicatedLog::new(persisted.snapshot, persisted.entries);
        let durability = Durability::new(persisted.hard_state.term, log.last_index());
        let mut replica = Self {
            group,
            id,
            settings,
            hard_state: persisted.hard_state,
            log,
            commit: start,
            applied: start,
            role: Role::Follower { leader: None },
            election_deadline: now,
            // Just before the restart, this replica may have answered a leader whose read lease is still valid. How long
            // that leader relies on the answer is unknown.
            promised_until: was_in_use.then(|| now + settings.election_timeout.max(UNANNOUNCED_ELECTION_TIMEOUT)),
            last_leader_contact: now,
            ended_leader: None,
            campaign_start: None,
            proposed_change: None,
            learner_elector: None,
            campaigns: 0,
            commitless_leaderships: 0,
            stand_down: None,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            write: LogWrite::default(),
            messages: Vec::new(),
            urgent_messages: Vec::new(),
            durability,
            effects: Vec::new(),
        };
        replica.reset_election_deadline(now);
        replica
    }

    /// Initializes an empty replica with the group's first membership as log entry 1. Has no effect on a replica that
    /// already has entries.
    ///
    /// `membership` must come from the group's founding record. The record is created by a single compare-and-swap, so
    /// all founders append an identical entry, which therefore counts as committed. A founder that is contacted by the
    /// leader before it reads the record receives the entry by replication.
    ///
    /// One founder, selected by the group's number, campaigns after one heartbeat interval. A new group thus elects a
    /// leader without waiting for an election timeout, and the leaders of different groups are spread over the nodes.
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

    /// Takes the queued effects.
    pub fn take_effects(&mut self) -> Vec<ReplicaEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the next committed entry that has not been applied, and marks it as applied.
    pub fn next_committed(&mut self) -> Option<Entry> {
        if self.applied >= self.commit {
            return None;
        }
        let entry = self.log.entry(self.applied.next())?.clone();
        self.applied = entry.index;
        Some(entry)
    }

    /// Handles the passage of time: heartbeats and resends on a leader, elections on other replicas.
    pub fn tick(&mut self, now: Timestamp) {
        if self.is_leader() {
            self.tick_leader(now);
        } else if now >= self.election_deadline {
            self.campaign(now);
        }
        self.flush();
    }

    /// Proposes a command. Returns the index of its entry, by which the caller recognizes it when it is applied.
    ///
    /// # Errors
    ///
    /// [`ProposalError`]: this replica is not the leader or cannot accept proposals now.
    pub fn propose(&mut self, command: Arc<[u8]>, now: Timestamp) -> Result<LogIndex, ProposalError> {
        self.check_proposal()?;
        let index = self.append_as_leader(EntryPayload::Command(command));
        self.replicate(now);
        self.flush();
        Ok(index)
    }

    /// Proposes a change of one member. Returns the index of its entry.
    ///
    /// # Errors
    ///
    /// [`ProposalError`]: this replica is not the leader, an earlier change is uncommitted, or the change has no effect
    /// or would remove the last voter.
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
        self.proposed_change = Some(index);
        self.track_members(now);
        self.replicate(now);
        self.flush();
        Ok(index)
    }

    /// Starts a leadership transfer to `target`, which takes over once its log is complete. Proposals are refused while
    /// the transfer is pending. If it times out, this replica steps down.
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

    /// Makes this replica the leader and only voter of a group of two whose other voter is lost. Returns false and does
    /// nothing unless the group has exactly two voters and this replica is one of them.
    ///
    /// The caller must ensure that the other voter never does the same. No committed entry is lost, because both voters
    /// were needed for each commit.
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

    /// Starts to wait for a leader. No campaign starts before the promise to the last one has ended.
    pub(super) fn reset_election_deadline(&mut self, now: Timestamp) {
        let earliest = now + self.settings.election_timeout;
        let base = self.promised_until.map_or(earliest, |promised| promised.max(earliest));
        self.election_deadline = base + Millis(self.random.random_range(0..=self.settings.election_jitter.0));
    }

    /// Starts to wait for the outcome of a campaign. The wait doubles with each campaign, so that a split vote is
    /// repeated soon and slow disks still get the time they need.
    pub(super) fn reset_campaign_deadline(&mut self, now: Timestamp) {
        let rounds = self.campaigns.min(MAX_CAMPAIGN_DOUBLINGS);
        let base = (self.settings.campaign_retry.0 << rounds).min(self.settings.quorum_timeout.0);
        self.election_deadline = now + Millis(base + self.random.random_range(0..=base));
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

    /// Queues the pending write and messages as effects. The write comes first because the messages depend on it.
    pub(super) fn flush(&mut self) {
        if !self.write.is_empty() {
            self.begin_write(self.write.truncate_from);
            self.effects.push(ReplicaEffect::Persist(std::mem::take(&mut self.write)));
        }
        let urgent = std::mem::take(&mut self.urgent_messages);
        self.effects.extend(urgent.into_iter().map(ReplicaEffect::SendNow));
        let messages = std::mem::take(&mut self.messages);
        self.effects.extend(messages.into_iter().map(ReplicaEffect::Send));
    }
}
