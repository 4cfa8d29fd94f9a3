//! Repeated submissions of a job. They are answered without another log entry, since each would store all bodies again.

use super::answers::{PendingAnswer, answer_of};
use super::{JobsNode, Waiter};
use crate::serving::configuration::tenant::TenantName;
use crate::serving::jobs::command::{JobKey, Submission};
use crate::serving::jobs::request::JobsAnswer;
use crate::time::Timestamp;

/// A submission of a job that this leader has already proposed.
pub(super) struct Repeat {
    waiter: Waiter,
    tenant: Option<TenantName>,
}

impl Repeat {
    pub(super) fn waiter(&self) -> Waiter {
        self.waiter
    }
}

impl JobsNode {
    /// Answers a submission whose job is in the table, or once the job's proposal of this term is applied. Returns
    /// whether there is such a job.
    pub(super) fn submit_repeat(&mut self, submission: &Submission, waiter: Waiter, now: Timestamp) -> bool {
        let repeat = Repeat { waiter, tenant: submission.tenant.clone() };
        if self.table.job(&submission.key).is_some() {
            self.answer_repeats(&submission.key, vec![repeat], now);
            return true;
        }
        let term = self.replica.term();
        let proposal = self.proposals.values_mut().find(|proposal| {
            let is_same_job = proposal.job.as_ref().is_some_and(|job| job.key == submission.key);
            proposal.term == term && is_same_job
        });
        let Some(proposal) = proposal else { return false };
        proposal.repeats.push(repeat);
        true
    }

    /// Answers repeated submissions of an applied job once all responsive replicas store it.
    pub(super) fn answer_repeats(&mut self, job: &JobKey, repeats: Vec<Repeat>, now: Timestamp) {
        let (index, deadline) = (self.replica.applied(), now + self.full_ack_timeout);
        for Repeat { waiter, tenant } in repeats {
            let outcome = self.table.outcome_of_repeat(job, tenant.as_ref());
            let answer = outcome.map_or(JobsAnswer::Indeterminate, answer_of);
            self.pending.push(PendingAnswer { index, waiter, answer, deadline });
        }
    }
}
