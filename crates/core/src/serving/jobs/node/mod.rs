//! One replica of the job table: the replicated log, the table, and acknowledgements.
//!
//! A driver takes the effects of each call in order. A [`JobsEffect::Persist`] must be durable before
//! any later effect is carried out; meanwhile further events may be handled, their effects queue up.

mod messages;

use std::collections::BTreeMap;

pub use messages::{JobsChange, JobsEffect, NotProposed, UnreadableSnapshot, Waiter};

use super::command::{ItemKey, JobCommand, JobKey, JobOutcome, QueueKey, Submission};
use super::request::JobsAnswer;
use super::table::JobTable;
use crate::identity::{GroupId, NodeId};
use crate::replication::{
    EntryPayload, GroupMembership, LogIndex, MembershipChange, PersistedReplica, ProposalError, Replica, ReplicaEffect,
    ReplicaSettings, ReplicationMessage, Snapshot, Term,
};
use crate::time::{Millis, Timestamp};

/// A snapshot is taken once the log has this many bytes. Bounds the disk, and the time to start.
const COMPACT_BYTES: usize = 8 << 20;
/// The log up to a snapshot is dropped only once this many bytes follow it: a follower that lags by less than that
/// needs no snapshot.
const TAIL_BYTES: usize = 2 << 20;

struct Proposal {
    term: Term,
    waiter: Option<Waiter>,
    /// The job that it would take.
    job: Option<ProposedJob>,
}

/// A job whose proposal is under way. Its tokens count against the limit meanwhile.
struct ProposedJob {
    key: JobKey,
    queue: QueueKey,
    tokens: u64,
}

impl ProposedJob {
    fn of(submission: &Submission) -> Self {
        Self { key: submission.key.clone(), queue: submission.queue(), tokens: submission.token_count() }
    }
}

/// What applying one command brought about.
struct Applied {
    answer: JobsAnswer,
    change: Option<JobsChange>,
}

struct HeldAnswer {
    index: LogIndex,
    waiter: Waiter,
    answer: JobsAnswer,
    deadline: Timestamp,
}

/// One replica of the job table.
pub struct JobsNode {
    replica: Replica,
    table: JobTable,
    proposals: BTreeMap<LogIndex, Proposal>,
    held: Vec<HeldAnswer>,
    announced: LogIndex,
    /// A snapshot was taken over by the log and not yet by the table.
    restoring: bool,
    /// A snapshot of this replica that does not stand in for the log yet.
    prepared: Option<Snapshot>,
    full_ack_timeout: Millis,
}

impl JobsNode {
    /// Starts a replica from what its disk holds. Returns `None` if the snapshot can't be read.
    pub fn new(
        id: NodeId,
        settings: ReplicaSettings,
        persisted: PersistedReplica,
        now: Timestamp,
        seed: u64,
    ) -> Option<Self> {
        let table = JobTable::decode(&persisted.snapshot.state)?;
        let announced = persisted.snapshot.index;
        let replica = Replica::new(GroupId(0), id, settings, persisted, now, seed);
        let proposals = BTreeMap::new();
        let full_ack_timeout = settings.full_ack_timeout;
        Some(Self {
            replica,
            table,
            proposals,
            held: Vec::new(),
            announced,
            restoring: false,
            prepared: None,
            full_ack_timeout,
        })
    }

    /// The replica.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The table as far as it was applied.
    pub fn table(&self) -> &JobTable {
        &self.table
    }

    /// Whether this replica leads and knows all that is committed.
    pub fn may_answer(&self, now: Timestamp) -> bool {
        self.replica.may_answer_reads(now)
    }

    /// Gives a replica without a log its first membership.
    pub fn bootstrap(&mut self, membership: GroupMembership, now: Timestamp) -> Vec<JobsEffect> {
        self.replica.bootstrap(membership, now);
        self.gather()
    }

    /// Takes a message of another replica.
    pub fn step(&mut self, message: ReplicationMessage, now: Timestamp) -> Vec<JobsEffect> {
        self.replica.step(message, now);
        self.gather()
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Timestamp) -> Vec<JobsEffect> {
        self.replica.tick(now);
        self.compact();
        self.gather()
    }

    /// Takes a snapshot when the log has grown long, and lets it stand in for the log a while later.
    fn compact(&mut self) {
        if self.restoring {
            self.prepared = None;
            return;
        }
        match self.prepared.take() {
            Some(snapshot) if self.replica.log().has_bytes_after(snapshot.index, TAIL_BYTES) => {
                self.replica.compact_to(snapshot);
            }
            Some(snapshot) => self.prepared = Some(snapshot),
            None if self.replica.log().bytes() > COMPACT_BYTES => {
                self.prepared = self.replica.snapshot_of(self.table.encode());
            }
            None => {}
        }
    }

    /// Proposes to take a job.
    ///
    /// # Errors
    ///
    /// [`NotProposed`]: nothing of the job will run because of this call.
    pub fn submit(
        &mut self,
        submission: Submission,
        waiter: Waiter,
        now: Timestamp,
    ) -> Result<Vec<JobsEffect>, NotProposed> {
        self.check_leading(now)?;
        if !self.may_hold(&submission.key)
            && let Some(limit) = submission.queued_token_limit
        {
            let waiting = self.waiting_tokens(&submission.queue());
            if waiting + submission.token_count() > limit {
                return Err(NotProposed::OverQuota { waiting });
            }
        }
        let job = Some(ProposedJob::of(&submission));
        self.propose_with(&JobCommand::Accept(submission), Some(waiter), job, now)
    }

    /// Proposes a command.
    ///
    /// # Errors
    ///
    /// [`NotProposed`]: it was not proposed.
    pub fn propose(
        &mut self,
        command: &JobCommand,
        waiter: Option<Waiter>,
        now: Timestamp,
    ) -> Result<Vec<JobsEffect>, NotProposed> {
        self.check_leading(now)?;
        self.propose_with(command, waiter, None, now)
    }

    /// Proposes a change of one member. Refused while an earlier change is uncommitted.
    pub fn change_membership(&mut self, change: MembershipChange, now: Timestamp) -> Vec<JobsEffect> {
        // A refusal means that the next plan tries again.
        let _ = self.replica.propose_membership(change, now);
        self.gather()
    }

    /// Goes on as the only voter; see [`super::pair`] for when this is right.
    pub fn become_sole_voter(&mut self, now: Timestamp) -> Vec<JobsEffect> {
        self.replica.become_sole_voter(now);
        self.gather()
    }

    /// Hands leadership over.
    pub fn transfer_leadership(&mut self, target: NodeId, now: Timestamp) -> Vec<JobsEffect> {
        self.replica.transfer_leadership(target, now);
        self.gather()
    }

    /// Replaces the table by a snapshot's.
    ///
    /// # Errors
    ///
    /// [`UnreadableSnapshot`]: the table stays as it was, behind the log. No snapshot of it is taken until one that can
    /// be read has come, as it would stand in for entries that it doesn't have.
    pub fn restore(&mut self, snapshot: &Snapshot) -> Result<(), UnreadableSnapshot> {
        let Some(table) = JobTable::decode(&snapshot.state) else {
            return Err(UnreadableSnapshot { index: snapshot.index });
        };
        self.table = table;
        self.restoring = false;
        Ok(())
    }

    /// Applies what is committed up to a place.
    pub fn apply_up_to(&mut self, index: LogIndex, now: Timestamp) -> Vec<JobsChange> {
        let mut changes = Vec::new();
        while self.replica.applied() < index {
            let Some(entry) = self.replica.next_committed() else { break };
            let proposal = self.proposals.remove(&entry.index);
            let mine = proposal.as_ref().is_some_and(|proposal| proposal.term == entry.term);
            let waiter = proposal.and_then(|proposal| proposal.waiter);
            let EntryPayload::Command(bytes) = &entry.payload else {
                changes.extend(waiter.map(|waiter| JobsChange::Answer { waiter, answer: JobsAnswer::Indeterminate }));
                continue;
            };
            let Some(command) = JobCommand::decode(bytes) else {
                // Whoever waits must not wait on: what the command would have done is not known here.
                changes.push(JobsChange::Unreadable(entry.index));
                changes.extend(waiter.map(|waiter| JobsChange::Answer { waiter, answer: JobsAnswer::Indeterminate }));
                continue;
            };
            let applied = self.apply(command);
            changes.extend(applied.change);
            if let Some(waiter) = waiter {
                let answer = if mine { applied.answer } else { JobsAnswer::Indeterminate };
                let deadline = now + self.full_ack_timeout;
                self.held.push(HeldAnswer { index: entry.index, waiter, answer, deadline });
            }
        }
        changes.extend(self.release_answers(now));
        changes
    }

    /// Answers that waited until every replica that answers holds their entry on disk, or long enough.
    pub fn release_answers(&mut self, now: Timestamp) -> Vec<JobsChange> {
        let replica = &self.replica;
        let is_due = |held: &HeldAnswer| held.deadline <= now || replica.is_on_all_responsive_voters(held.index, now);
        let (due, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.held).into_iter().partition(is_due);
        self.held = waiting;
        due.into_iter().map(|held| JobsChange::Answer { waiter: held.waiter, answer: held.answer }).collect()
    }

    /// Proposals of an earlier term whose fate this node can't tell any more.
    pub fn abandon_lost_proposals(&mut self) -> Vec<JobsChange> {
        if self.replica.is_leader() {
            return Vec::new();
        }
        let lost = std::mem::take(&mut self.proposals);
        let waiters = lost.into_values().filter_map(|proposal| proposal.waiter);
        waiters.map(|waiter| JobsChange::Answer { waiter, answer: JobsAnswer::Indeterminate }).collect()
    }

    fn apply(&mut self, command: JobCommand) -> Applied {
        let change = match &command {
            JobCommand::Accept(submission) => Some(JobsChange::Accepted(submission.key.clone())),
            JobCommand::Finish { key, .. } => Some(JobsChange::ResultCommitted(key.clone())),
            JobCommand::End { job, .. } => Some(JobsChange::Ended(job.clone())),
            JobCommand::Progress(_) | JobCommand::Failures(_) | JobCommand::Forget { .. } => None,
        };
        let outcome = self.table.apply(command);
        let change = match change {
            Some(JobsChange::ResultCommitted(item)) if !self.needs_no_result(&item) => {
                Some(JobsChange::ResultDropped(item))
            }
            // The job is another tenant's, and goes on.
            Some(JobsChange::Ended(_)) if outcome == JobOutcome::UnknownJob => None,
            other => other,
        };
        let answer = match outcome {
            JobOutcome::Accepted | JobOutcome::Committed | JobOutcome::Forgotten => JobsAnswer::Accepted,
            JobOutcome::Dropped | JobOutcome::Ended => JobsAnswer::Ended,
            JobOutcome::KeyTaken => JobsAnswer::KeyTaken,
            JobOutcome::UnknownJob => JobsAnswer::UnknownJob,
        };
        Applied { answer, change }
    }

    /// Whether an item needs no result any more.
    fn needs_no_result(&self, key: &ItemKey) -> bool {
        self.table.job(&key.job).is_none_or(|job| job.ended || job.has_result(key.item))
    }

    /// Whether a job is in the table, or its proposal is under way. It must not be refused then: it is taken
    /// already, or may be.
    pub fn may_hold(&self, key: &JobKey) -> bool {
        self.table.job(key).is_some() || self.proposed_jobs().any(|job| job.key == *key)
    }

    fn proposed_jobs(&self) -> impl Iterator<Item = &ProposedJob> {
        self.proposals.values().filter_map(|proposal| proposal.job.as_ref())
    }

    fn waiting_tokens(&self, queue: &QueueKey) -> u64 {
        // A job that was submitted again meanwhile counts once.
        let proposed: BTreeMap<&JobKey, u64> =
            self.proposed_jobs().filter(|job| job.queue == *queue).map(|job| (&job.key, job.tokens)).collect();
        self.table.open_tokens(queue) + proposed.values().sum::<u64>()
    }

    fn check_leading(&self, now: Timestamp) -> Result<(), NotProposed> {
        if !self.replica.is_leader() {
            return Err(NotProposed::NotLeader(self.replica.leader()));
        }
        if !self.replica.may_answer_reads(now) {
            return Err(NotProposed::Busy);
        }
        Ok(())
    }

    fn propose_with(
        &mut self,
        command: &JobCommand,
        waiter: Option<Waiter>,
        job: Option<ProposedJob>,
        now: Timestamp,
    ) -> Result<Vec<JobsEffect>, NotProposed> {
        let index = self.replica.propose(command.encode(), now).map_err(|error| match error {
            ProposalError::NotLeader(leader) => NotProposed::NotLeader(leader),
            ProposalError::Busy => NotProposed::Busy,
        })?;
        self.proposals.insert(index, Proposal { term: self.replica.term(), waiter, job });
        Ok(self.gather())
    }

    fn gather(&mut self) -> Vec<JobsEffect> {
        let mut effects: Vec<JobsEffect> = self
            .replica
            .take_effects()
            .into_iter()
            .map(|effect| match effect {
                ReplicaEffect::Persist(write) => JobsEffect::Persist(write),
                ReplicaEffect::Send(message) => JobsEffect::Send(message),
                ReplicaEffect::Restore(snapshot) => JobsEffect::Restore(snapshot),
            })
            .collect();
        self.restoring |= effects.iter().any(|effect| matches!(effect, JobsEffect::Restore(_)));
        if self.replica.commit() > self.announced {
            self.announced = self.replica.commit();
            effects.push(JobsEffect::ApplyUpTo(self.announced));
        }
        effects
    }
}
