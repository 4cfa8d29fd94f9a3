//! One replica of the job table: the replicated log, the table, and the acknowledgments.
//!
//! The caller carries out the effects of each call in order, except for [`JobsEffect::SendNow`]. A
//! [`JobsEffect::Persist`] must be durable before any later effect is carried out; further events may be handled in the
//! meantime, and their effects are queued. The caller reports each completed write with [`JobsNode::record_durable`].

mod answers;
mod messages;
mod repeats;
mod settings;
mod snapshots;

use std::collections::BTreeMap;

pub use messages::{JobsChange, JobsEffect, NotProposed, SnapshotSource, UnreadableSnapshot, Waiter};
pub use settings::replica_settings;

use self::answers::{PendingAnswer, answer_of, indeterminate_answers};
use self::repeats::Repeat;
use super::command::{ItemKey, JobCommand, JobKey, JobOutcome, QueueKey, Submission};
use super::request::JobsAnswer;
use super::table::JobTable;
use crate::identity::{GroupId, NodeId};
use crate::replication::{
    CampaignStart, EntryPayload, GroupMembership, LogIndex, MembershipChange, PersistedReplica, ProposalError, Replica,
    ReplicaEffect, ReplicaSettings, ReplicationMessage, Snapshot, StandDownReason, Term,
};
use crate::time::{Millis, Timestamp};

struct Proposal {
    term: Term,
    waiter: Option<Waiter>,
    /// The job that the proposal would add.
    job: Option<ProposedJob>,
    /// Further submissions of that job.
    repeats: Vec<Repeat>,
}

/// A proposed job whose tokens count against the limit until the proposal is applied.
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

/// The outcome of applying one command.
struct Applied {
    answer: JobsAnswer,
    change: Option<JobsChange>,
}

/// One replica of the job table.
pub struct JobsNode {
    replica: Replica,
    table: JobTable,
    proposals: BTreeMap<LogIndex, Proposal>,
    pending: Vec<PendingAnswer>,
    announced_commit: LogIndex,
    /// Whether the log has installed a snapshot that the table has not restored yet.
    awaiting_restore: bool,
    /// A snapshot of the table that has not replaced the start of the log yet.
    prepared_snapshot: Option<Snapshot>,
    /// Whether the caller encodes a snapshot.
    is_encoding: bool,
    full_ack_timeout: Millis,
}

impl JobsNode {
    /// Creates a replica from its persisted state. Returns `None` if the snapshot cannot be decoded.
    pub fn new(
        id: NodeId,
        settings: ReplicaSettings,
        persisted: PersistedReplica,
        now: Timestamp,
        seed: u64,
    ) -> Option<Self> {
        let table = JobTable::decode(&persisted.snapshot.state)?;
        let announced_commit = persisted.snapshot.index;
        let replica = Replica::new(GroupId(0), id, settings, persisted, now, seed);
        let proposals = BTreeMap::new();
        let full_ack_timeout = settings.full_ack_timeout;
        Some(Self {
            replica,
            table,
            proposals,
            pending: Vec::new(),
            announced_commit,
            awaiting_restore: false,
            prepared_snapshot: None,
            is_encoding: false,
            full_ack_timeout,
        })
    }

    /// Returns the underlying replica of the log.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the table with all applied entries.
    pub fn table(&self) -> &JobTable {
        &self.table
    }

    /// Returns whether this replica leads and knows all committed entries.
    pub fn may_answer(&self, now: Timestamp) -> bool {
        self.replica.may_answer_reads(now)
    }

    /// Sets the first membership of a replica whose log is empty.
    pub fn bootstrap(&mut self, membership: GroupMembership, now: Timestamp) -> Vec<JobsEffect> {
        self.replica.bootstrap(membership, now);
        self.collect_effects()
    }

    /// Handles a message from another replica.
    pub fn step(&mut self, message: ReplicationMessage, now: Timestamp) -> Vec<JobsEffect> {
        self.replica.step(message, now);
        self.collect_effects()
    }

    /// Records that the process of a node has ended; see [`Replica::record_process_ended`].
    pub fn record_process_ended(&mut self, node: NodeId) {
        self.replica.record_process_ended(node);
    }

    /// Takes the latest campaign of this replica that the caller has not seen yet.
    pub fn take_campaign(&mut self) -> Option<CampaignStart> {
        self.replica.take_campaign()
    }

    /// Takes the reason for which this replica last stood down as the leader; see [`Replica::take_stand_down`].
    pub fn take_stand_down(&mut self) -> Option<StandDownReason> {
        self.replica.take_stand_down()
    }

    /// Records that the oldest [`JobsEffect::Persist`] is durable.
    pub fn record_durable(&mut self) {
        self.replica.record_durable();
    }

    /// Handles the passage of time.
    pub fn tick(&mut self, now: Timestamp) -> Vec<JobsEffect> {
        self.replica.tick(now);
        self.compact();
        let mut effects = self.collect_effects();
        effects.extend(self.request_snapshot().map(JobsEffect::EncodeSnapshot));
        effects
    }

    /// Proposes to add a job. A job that is in the table or proposed already is not proposed again.
    ///
    /// # Errors
    ///
    /// [`NotProposed`] if the submission has no effect.
    pub fn submit(
        &mut self,
        submission: Submission,
        waiter: Waiter,
        now: Timestamp,
    ) -> Result<Vec<JobsEffect>, NotProposed> {
        self.check_ready(now)?;
        if self.submit_repeat(&submission, waiter, now) {
            return Ok(Vec::new());
        }
        if !self.has_or_proposes(&submission.key)
            && let Some(limit) = submission.queued_token_limit
        {
            let waiting = self.queued_tokens(&submission.queue());
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
    /// [`NotProposed`] if the command has no effect.
    pub fn propose(
        &mut self,
        command: &JobCommand,
        waiter: Option<Waiter>,
        now: Timestamp,
    ) -> Result<Vec<JobsEffect>, NotProposed> {
        self.check_ready(now)?;
        self.propose_with(command, waiter, None, now)
    }

    /// Proposes a change of one member. Ignored while an earlier change is uncommitted.
    pub fn change_membership(&mut self, change: MembershipChange, now: Timestamp) -> Vec<JobsEffect> {
        // A rejected change is proposed again by the next plan.
        let _ = self.replica.propose_membership(change, now);
        self.collect_effects()
    }

    /// Continues as the only voter; see [`super::pair`] for the conditions.
    pub fn become_sole_voter(&mut self, now: Timestamp) -> Vec<JobsEffect> {
        self.replica.become_sole_voter(now);
        self.collect_effects()
    }

    /// Campaigns for the vote of the only learner of a pair; see [`Replica::campaign_with_learner`] for the conditions.
    pub fn campaign_with_learner(&mut self, now: Timestamp) -> Vec<JobsEffect> {
        self.replica.campaign_with_learner(now);
        self.collect_effects()
    }

    /// Withdraws a membership change that can't be committed.
    pub fn withdraw_membership_change(&mut self) -> Vec<JobsEffect> {
        self.replica.withdraw_membership_change();
        self.collect_effects()
    }

    /// Transfers leadership to another member.
    pub fn transfer_leadership(&mut self, target: NodeId, now: Timestamp) -> Vec<JobsEffect> {
        self.replica.transfer_leadership(target, now);
        self.collect_effects()
    }

    /// Replaces the table by that of a snapshot.
    ///
    /// # Errors
    ///
    /// [`UnreadableSnapshot`] if the table cannot be decoded. The table then stays behind the log, and no snapshot of
    /// it is taken until a readable one arrives, because it would lack entries.
    pub fn restore(&mut self, snapshot: &Snapshot) -> Result<(), UnreadableSnapshot> {
        let Some(table) = JobTable::decode(&snapshot.state) else {
            return Err(UnreadableSnapshot { index: snapshot.index });
        };
        self.table = table;
        self.awaiting_restore = false;
        Ok(())
    }

    /// Applies committed entries up to and including `index`.
    pub fn apply_up_to(&mut self, index: LogIndex, now: Timestamp) -> Vec<JobsChange> {
        let mut changes = Vec::new();
        while self.replica.applied() < index {
            let Some(entry) = self.replica.next_committed() else { break };
            let proposal = self.proposals.remove(&entry.index);
            let EntryPayload::Command(bytes) = &entry.payload else {
                changes.extend(indeterminate_answers(proposal));
                continue;
            };
            let Some(command) = JobCommand::decode(bytes) else {
                // The effect of the command is unknown here, so its sender must not wait for an outcome.
                changes.push(JobsChange::Unreadable(entry.index));
                changes.extend(indeterminate_answers(proposal));
                continue;
            };
            let applied = self.apply(command);
            changes.extend(applied.change);
            match proposal {
                Some(proposal) if proposal.term == entry.term => self.answer_proposal(proposal, applied.answer, now),
                replaced => changes.extend(indeterminate_answers(replaced)),
            }
        }
        changes.extend(self.release_answers(now));
        changes
    }

    fn apply(&mut self, command: JobCommand) -> Applied {
        let change = match &command {
            JobCommand::Accept(submission) => Some(JobsChange::Accepted(submission.key.clone())),
            JobCommand::Finish { key, .. } => Some(JobsChange::ResultCommitted(key.clone())),
            JobCommand::End { job, .. } => Some(JobsChange::Ended(job.clone())),
            JobCommand::Progress(_)
            | JobCommand::Failures(_)
            | JobCommand::Restart(_)
            | JobCommand::Origins(_)
            | JobCommand::Forget { .. } => None,
        };
        let outcome = self.table.apply(command);
        let change = match change {
            Some(JobsChange::ResultCommitted(item)) if !self.needs_no_result(&item) => {
                Some(JobsChange::ResultDropped(item))
            }
            // The job belongs to another tenant and continues.
            Some(JobsChange::Ended(_)) if outcome == JobOutcome::UnknownJob => None,
            other => other,
        };
        Applied { answer: answer_of(outcome), change }
    }

    /// Returns whether an item has a result, or its job has ended or is gone.
    fn needs_no_result(&self, key: &ItemKey) -> bool {
        self.table.job(&key.job).is_none_or(|job| job.ended || job.has_result(key.item))
    }

    /// Returns whether a job is in the table or proposed. Such a job must not be rejected, because it is or may be
    /// accepted.
    pub fn has_or_proposes(&self, key: &JobKey) -> bool {
        self.table.job(key).is_some() || self.proposed_jobs().any(|job| job.key == *key)
    }

    fn proposed_jobs(&self) -> impl Iterator<Item = &ProposedJob> {
        self.proposals.values().filter_map(|proposal| proposal.job.as_ref())
    }

    fn queued_tokens(&self, queue: &QueueKey) -> u64 {
        // A job that was submitted more than once counts once.
        let proposed: BTreeMap<&JobKey, u64> =
            self.proposed_jobs().filter(|job| job.queue == *queue).map(|job| (&job.key, job.tokens)).collect();
        proposed.values().fold(self.table.open_tokens(queue), |sum, tokens| sum.saturating_add(*tokens))
    }

    fn check_ready(&self, now: Timestamp) -> Result<(), NotProposed> {
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
        self.proposals.insert(index, Proposal { term: self.replica.term(), waiter, job, repeats: Vec::new() });
        Ok(self.collect_effects())
    }

    fn collect_effects(&mut self) -> Vec<JobsEffect> {
        let mut effects: Vec<JobsEffect> = self
            .replica
            .take_effects()
            .into_iter()
            .map(|effect| match effect {
                ReplicaEffect::Persist(write) => JobsEffect::Persist(write),
                ReplicaEffect::Send(message) => JobsEffect::Send(message),
                ReplicaEffect::SendNow(message) => JobsEffect::SendNow(message),
                ReplicaEffect::Restore(snapshot) => JobsEffect::Restore(snapshot),
            })
            .collect();
        self.awaiting_restore |= effects.iter().any(|effect| matches!(effect, JobsEffect::Restore(_)));
        if self.replica.commit() > self.announced_commit {
            self.announced_commit = self.replica.commit();
            effects.push(JobsEffect::ApplyUpTo(self.announced_commit));
        }
        effects
    }
}
