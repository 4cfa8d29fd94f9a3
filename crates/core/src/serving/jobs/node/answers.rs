//! Answers to the senders of proposals.

use super::{JobsChange, JobsNode, Proposal, Waiter};
use crate::replication::LogIndex;
use crate::serving::jobs::command::JobOutcome;
use crate::serving::jobs::request::JobsAnswer;
use crate::time::Timestamp;

/// An answer that waits until its entry is stored widely enough.
pub(super) struct PendingAnswer {
    pub(super) index: LogIndex,
    pub(super) waiter: Waiter,
    pub(super) answer: JobsAnswer,
    pub(super) deadline: Timestamp,
}

impl JobsNode {
    /// Returns the answers whose entries are stored by all responsive replicas or whose deadline has passed.
    pub fn release_answers(&mut self, now: Timestamp) -> Vec<JobsChange> {
        let replica = &self.replica;
        let is_due = |pending: &PendingAnswer| {
            pending.deadline <= now || replica.is_on_all_responsive_voters(pending.index, now)
        };
        let (due, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending).into_iter().partition(is_due);
        self.pending = waiting;
        due.into_iter().map(|pending| JobsChange::Answer { waiter: pending.waiter, answer: pending.answer }).collect()
    }

    /// Answers proposals whose outcome is unknown because this node no longer leads.
    pub fn abandon_lost_proposals(&mut self) -> Vec<JobsChange> {
        if self.replica.is_leader() {
            return Vec::new();
        }
        let lost = std::mem::take(&mut self.proposals);
        indeterminate_answers(lost.into_values()).collect()
    }

    /// Answers the senders of an applied proposal once all responsive replicas store it.
    pub(super) fn answer_proposal(&mut self, proposal: Proposal, answer: JobsAnswer, now: Timestamp) {
        let (index, deadline) = (self.replica.applied(), now + self.full_ack_timeout);
        self.pending.extend(proposal.waiter.map(|waiter| PendingAnswer { index, waiter, answer, deadline }));
        if let Some(job) = proposal.job {
            self.answer_repeats(&job.key, proposal.repeats, now);
        }
    }
}

/// Returns the answer to the sender of an applied command.
pub(super) fn answer_of(outcome: JobOutcome) -> JobsAnswer {
    match outcome {
        JobOutcome::Accepted | JobOutcome::Committed | JobOutcome::Forgotten => JobsAnswer::Accepted,
        JobOutcome::Dropped | JobOutcome::Ended => JobsAnswer::Ended,
        JobOutcome::KeyTaken => JobsAnswer::KeyTaken,
        JobOutcome::UnknownJob => JobsAnswer::UnknownJob,
    }
}

/// Returns answers which state that the outcome of the proposals is unknown.
pub(super) fn indeterminate_answers(proposals: impl IntoIterator<Item = Proposal>) -> impl Iterator<Item = JobsChange> {
    let waiters = proposals.into_iter().flat_map(|proposal| {
        let repeats = proposal.repeats.into_iter().map(|repeat| repeat.waiter());
        proposal.waiter.into_iter().chain(repeats)
    });
    waiters.map(|waiter| JobsChange::Answer { waiter, answer: JobsAnswer::Indeterminate })
}
