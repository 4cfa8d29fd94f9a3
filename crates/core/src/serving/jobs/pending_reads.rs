//! Reads of results that are answered once there is something new to read, or their time is up.
//!
//! It owns the reads that wait, in the order in which they came. It relies on its driver to call it whenever results
//! were committed, a job ended, leadership may have changed, or time has passed. Their number has no bound of its
//! own: each read ends at its deadline, at most [`super::request::JobsRequest::Read`]'s `wait` after it came, and
//! holds no page until then.

use super::command::JobKey;
use super::node::Waiter;
use super::request::JobsAnswer;
use super::table::JobTable;
use crate::serving::configuration::tenant::CallerIdentity;
use crate::time::Timestamp;

/// Most bytes of text in one page of results. A page fits into one message between nodes.
const PAGE_BYTES: usize = 900_000;

/// A read that waits for a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingRead {
    /// Who waits.
    pub waiter: Waiter,
    /// The job.
    pub job: JobKey,
    /// The first position wanted.
    pub first: u32,
    /// Who reads.
    pub caller: CallerIdentity,
    /// When it is answered even with nothing new.
    pub deadline: Timestamp,
}

/// The answer of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadAnswer {
    /// Who waits.
    pub waiter: Waiter,
    /// The answer; `None` if this replica may not answer reads any more.
    pub answer: Option<JobsAnswer>,
}

/// The reads that wait.
#[derive(Clone, Debug, Default)]
pub struct PendingReads {
    reads: Vec<PendingRead>,
}

impl PendingReads {
    /// Adds a read. The next [`PendingReads::take_due`] answers it if it need not wait.
    pub fn push(&mut self, read: PendingRead) {
        self.reads.push(read);
    }

    /// Takes the answers of the reads that have something to read, or have waited long enough; of all reads if this
    /// replica may not answer.
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

/// The answer of a read, unless it has to wait.
fn due_answer(read: &PendingRead, table: &JobTable, now: Timestamp) -> Option<JobsAnswer> {
    let Some(job) = table.job_for(&read.job, &read.caller) else { return Some(JobsAnswer::UnknownJob) };
    let has_more = job.results.len() > read.first as usize;
    let is_due = has_more || job.is_over() || now >= read.deadline;
    is_due.then(|| JobsAnswer::Page(job.page(read.first, PAGE_BYTES)))
}
