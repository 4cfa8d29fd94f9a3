//! Reads of results that wait until there is a new result or their deadline passes.
//!
//! [`PendingReads`] stores the waiting reads in order of arrival. The caller polls it after results were committed, a
//! job ended, leadership may have changed, or time has passed. The number of reads is not limited here, but each read
//! ends at its deadline, at most the `wait` of [`super::request::JobsRequest::Read`] after it arrived, and stores no
//! page until then.

use super::command::JobKey;
use super::node::Waiter;
use super::request::JobsAnswer;
use super::table::JobTable;
use crate::serving::configuration::tenant::CallerIdentity;
use crate::time::Timestamp;

/// The maximum size of the text in one page of results. A page must fit into one message between nodes.
const MAX_PAGE_BYTES: usize = 900_000;

/// A read that waits for a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingRead {
    /// The recipient of the answer.
    pub waiter: Waiter,
    /// The job to read.
    pub job: JobKey,
    /// The position of the first result to return.
    pub first: u32,
    /// The caller that reads.
    pub caller: CallerIdentity,
    /// The time at which the read is answered even without a new result.
    pub deadline: Timestamp,
}

/// The answer to a waiting read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadAnswer {
    /// The recipient of the answer.
    pub waiter: Waiter,
    /// The answer; `None` if this replica may no longer answer reads.
    pub answer: Option<JobsAnswer>,
}

/// The waiting reads, in order of arrival.
#[derive(Clone, Debug, Default)]
pub struct PendingReads {
    reads: Vec<PendingRead>,
}

impl PendingReads {
    /// Adds a read. The next call of [`PendingReads::take_due`] answers it if it does not have to wait.
    pub fn push(&mut self, read: PendingRead) {
        self.reads.push(read);
    }

    /// Removes and answers the reads that have a new result or whose deadline has passed. If this replica may not
    /// answer, removes all reads.
    pub fn take_due(&mut self, table: &JobTable, may_answer: bool, now: Timestamp) -> Vec<ReadAnswer> {
        let mut answers = Vec::new();
        self.reads.retain(|read| {
            if !may_answer {
                answers.push(ReadAnswer { waiter: read.waiter, answer: None });
                return false;
            }
            let answer = due_answer(read, table, now);
            let is_waiting = answer.is_none();
            if !is_waiting {
                answers.push(ReadAnswer { waiter: read.waiter, answer });
            }
            is_waiting
        });
        answers
    }
}

/// Returns the answer to a read, or `None` if the read has to wait.
fn due_answer(read: &PendingRead, table: &JobTable, now: Timestamp) -> Option<JobsAnswer> {
    let Some(job) = table.job_for(&read.job, &read.caller) else { return Some(JobsAnswer::UnknownJob) };
    let has_more = job.results.len() > read.first as usize;
    let is_due = has_more || job.is_over() || now >= read.deadline;
    is_due.then(|| JobsAnswer::Page(job.page(read.first, MAX_PAGE_BYTES)))
}
