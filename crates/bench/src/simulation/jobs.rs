//! Batch submitters and the state of their jobs.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::Rng;
use stallmoor_core::error::ErrorKind;
use stallmoor_core::identity::{AttemptId, JobId};
use stallmoor_core::node::partition::{FinishedItem, JobPhase, JobSummary, NewItem};
use stallmoor_core::node::{BatchCall, CallerAnswer, CallerCall, JobSubmission};
use stallmoor_core::time::Millis;
use stallmoor_emulator::answer_text;

use super::callers::{MODEL, TENANT};
use super::calls::CallPurpose;
use super::events::SimEvent;
use super::oracle;
use super::report::LivenessTally;
use super::world::World;

/// Maximum number of tokens in an item's answer.
const MAX_TOKENS: u32 = 48;
/// Mean interval between two jobs.
const MEAN_INTERVAL_MS: u64 = 8_000;
/// Interval between two queries for a job's state.
const JOB_POLL_INTERVAL_MS: u64 = 4_000;
/// Submissions stop this long before the end of the run.
const SUBMISSION_CUTOFF_MS: u64 = 170_000;
/// Number of times a cancelled job is read again to verify that no results are added.
const MAX_REREADS: u32 = 4;
/// Time without an answer after which a submitter retries.
const RETRY_TIMEOUT_MS: u64 = 15_000;

/// A job as observed by its submitter.
pub struct JobProbe {
    key: String,
    prompts: Vec<String>,
    /// Job id, once the job was accepted.
    accepted: Option<JobId>,
    wants_cancel: bool,
    /// Number of results when the cancellation was acknowledged.
    cancelled_at: Option<u32>,
    ended: bool,
    /// All results read so far, by item.
    seen: BTreeMap<u32, (AttemptId, String)>,
    /// Index of the next item to read.
    next_read: u32,
    read_all: bool,
    /// Number of times the cancelled job was read again.
    rereads: u32,
    completed_ms: Option<u64>,
    /// Time at which the current call was sent, if one is pending.
    calling_since_ms: Option<u64>,
}

/// State of the batch submitters.
#[derive(Default)]
pub struct JobModel {
    probes: Vec<JobProbe>,
}

impl World {
    /// Submits a new job and schedules the next one.
    pub fn new_job(&mut self) {
        let gap = self.random.random_range(1..=2 * MEAN_INTERVAL_MS);
        if self.now_ms + SUBMISSION_CUTOFF_MS >= self.end_ms() {
            return;
        }
        self.schedule(gap, SimEvent::NewJob);
        let number = self.jobs.probes.len();
        let seed = self.options.seed;
        let items = self.random.random_range(3..=40);
        let prompts = (0..items).map(|item| format!("item {item} of job {number} of seed {seed}")).collect();
        let wants_cancel = self.random.random_bool(0.3);
        self.jobs.probes.push(JobProbe {
            key: format!("job-{number}"),
            prompts,
            accepted: None,
            wants_cancel,
            cancelled_at: None,
            ended: false,
            seen: BTreeMap::new(),
            next_read: 0,
            read_all: false,
            rereads: 0,
            completed_ms: None,
            calling_since_ms: None,
        });
        self.step_job(number);
    }

    /// Performs the next step of a submitter.
    pub fn step_job(&mut self, job: usize) {
        let now_ms = self.now_ms;
        let probe = &self.jobs.probes[job];
        if probe.read_all {
            return;
        }
        let wait = JOB_POLL_INTERVAL_MS + self.random.random_range(0..=JOB_POLL_INTERVAL_MS);
        self.schedule(wait, SimEvent::JobStep { job });
        let probe = &self.jobs.probes[job];
        if probe.calling_since_ms.is_some_and(|since| now_ms < since + RETRY_TIMEOUT_MS) {
            return;
        }
        match probe.accepted {
            None => self.submit_job(job),
            Some(id) if probe.wants_cancel && probe.cancelled_at.is_none() => {
                self.job_call(job, CallPurpose::Cancel(job), BatchCall::Cancel(id));
            }
            Some(id) if probe.ended => {
                let first = probe.next_read;
                self.job_call(job, CallPurpose::Results(job), BatchCall::Results { job: id, first, limit: 15 });
            }
            Some(id) => {
                self.job_call(job, CallPurpose::Status(job), BatchCall::Status(id));
                self.peek_results(job, id);
            }
        }
    }

    fn job_call(&mut self, job: usize, purpose: CallPurpose, call: BatchCall) {
        self.jobs.probes[job].calling_since_ms = Some(self.now_ms);
        let slot = self.random_node();
        self.call(slot, purpose, CallerCall::Batch(call));
    }

    /// Queries the available results at another node.
    fn peek_results(&mut self, job: usize, id: JobId) {
        let items = self.jobs.probes[job].prompts.len() as u32;
        let first = self.random.random_range(0..items);
        let slot = self.random_node();
        let call = CallerCall::Batch(BatchCall::Results { job: id, first, limit: 10 });
        self.call(slot, CallPurpose::Peek(job), call);
    }

    fn submit_job(&mut self, job: usize) {
        self.count("jobs_sent");
        let submission = self.submission(job, "");
        self.job_call(job, CallPurpose::Submit(job), BatchCall::Submit(submission));
        // Sometimes sends the same job twice concurrently.
        if self.random.random_bool(0.25) {
            self.resend_job(job);
        }
    }

    /// Submits the same job again at another node.
    fn resend_job(&mut self, job: usize) {
        self.count("jobs_resent");
        let submission = self.submission(job, "");
        let slot = self.random_node();
        self.call(slot, CallPurpose::Submit(job), CallerCall::Batch(BatchCall::Submit(submission)));
    }

    fn submission(&self, job: usize, suffix: &str) -> JobSubmission {
        let probe = &self.jobs.probes[job];
        let items = probe.prompts.iter().enumerate().map(|(index, prompt)| NewItem {
            label: Arc::from(format!("label-{index}")),
            prompt: Arc::from(format!("{prompt}{suffix}")),
        });
        JobSubmission {
            tenant: Arc::from(TENANT),
            key: Some(Arc::from(probe.key.as_str())),
            model: Arc::from(MODEL),
            adapter: None,
            items: items.collect(),
            within: Millis(600_000),
            max_tokens: Some(MAX_TOKENS),
            accept: true,
        }
    }

    /// Handles the answer to a submission.
    pub fn on_submitted(&mut self, job: usize, answer: Option<CallerAnswer>) {
        self.jobs.probes[job].calling_since_ms = None;
        let Some(CallerAnswer::Job { job: id, summary }) = answer else {
            if let Some(CallerAnswer::Refused(refusal)) = answer {
                self.check_submission_refusal(job, refusal.kind);
            }
            return;
        };
        let is_accepted = matches!(summary.phase, JobPhase::Accepted | JobPhase::Cancelled);
        if !is_accepted || self.jobs.probes[job].accepted.is_some() {
            return;
        }
        self.count("jobs_accepted");
        self.jobs.probes[job].accepted = Some(id);
        self.trace_event(|| format!("job {job} accepted as {id}"));
        if self.jobs.probes[job].wants_cancel {
            // Cancel while items are running and completing.
            let soon = self.random.random_range(20..1_500);
            self.schedule(soon, SimEvent::JobStep { job });
        }
        self.on_acknowledged_write(id.group);
        match self.random.random_range(0..4) {
            0 => self.resend_job(job),
            1 => {
                let submission = self.submission(job, " changed");
                let slot = self.random_node();
                let call = CallerCall::Batch(BatchCall::Submit(submission));
                self.call(slot, CallPurpose::Conflicting(job), call);
            }
            _ => {}
        }
    }

    /// Checks that resubmitting identical content is not refused as a conflict.
    fn check_submission_refusal(&mut self, job: usize, kind: ErrorKind) {
        let now_ms = self.now_ms;
        self.oracle.check(oracle::EXACTLY_ONCE, kind != ErrorKind::KeyConflict, now_ms, || {
            format!("job {job}: a resend of the same content was refused as a conflict")
        });
    }

    /// Checks that different content under an accepted job's key is refused.
    pub fn on_conflicting(&mut self, job: usize, answer: Option<CallerAnswer>) {
        self.count("jobs_conflicting");
        let now_ms = self.now_ms;
        let is_taken = matches!(answer, Some(CallerAnswer::Job { .. }));
        self.oracle.check(oracle::EXACTLY_ONCE, !is_taken, now_ms, || {
            format!("job {job}: different content was accepted under its key")
        });
    }

    /// Handles the answer to a status query.
    pub fn on_job_status(&mut self, job: usize, answer: Option<CallerAnswer>) {
        self.jobs.probes[job].calling_since_ms = None;
        match answer {
            Some(CallerAnswer::Job { summary, .. }) => self.check_summary(job, &summary),
            Some(CallerAnswer::Refused(refusal)) => self.check_known(job, refusal.kind),
            _ => {}
        }
    }

    fn check_summary(&mut self, job: usize, summary: &JobSummary) {
        let now_ms = self.now_ms;
        let probe = &mut self.jobs.probes[job];
        let is_complete = summary.completed as usize == probe.prompts.len();
        probe.ended = is_complete || summary.phase == JobPhase::Cancelled;
        if is_complete && probe.completed_ms.is_none() {
            probe.completed_ms = Some(now_ms);
        }
        if let Some(at_cancel) = probe.cancelled_at {
            let now_completed = summary.completed;
            self.oracle.check(oracle::CANCEL_STOPS, now_completed <= at_cancel, now_ms, || {
                format!("job {job}: {now_completed} items are complete, {at_cancel} at cancellation")
            });
        }
    }

    /// Checks that an accepted job is never reported as unknown.
    fn check_known(&mut self, job: usize, kind: ErrorKind) {
        let now_ms = self.now_ms;
        self.oracle.check(oracle::RESULTS_READABLE, kind != ErrorKind::UnknownJob, now_ms, || {
            format!("job {job} was accepted and is now unknown")
        });
    }

    /// Handles results that were read out of order.
    pub fn on_peek(&mut self, job: usize, answer: Option<CallerAnswer>) {
        match answer {
            Some(CallerAnswer::Results { results, .. }) => {
                for item in &results {
                    self.check_result(job, item);
                }
            }
            Some(CallerAnswer::Refused(refusal)) => self.check_known(job, refusal.kind),
            _ => {}
        }
    }

    /// Handles a page of results.
    pub fn on_job_results(&mut self, job: usize, answer: Option<CallerAnswer>) {
        self.jobs.probes[job].calling_since_ms = None;
        match answer {
            Some(CallerAnswer::Results { results, next }) => {
                for item in &results {
                    self.check_result(job, item);
                }
                self.advance_reading(job, next);
            }
            Some(CallerAnswer::Refused(refusal)) => self.check_known(job, refusal.kind),
            _ => {}
        }
    }

    fn advance_reading(&mut self, job: usize, next: Option<u32>) {
        let now_ms = self.now_ms;
        let probe = &mut self.jobs.probes[job];
        if let Some(next) = next {
            probe.next_read = next;
            return;
        }
        let seen = probe.seen.len();
        let expected = probe.prompts.len();
        if let Some(at_cancel) = probe.cancelled_at {
            // Reads the whole job again to verify that no results are added.
            probe.next_read = 0;
            probe.rereads += 1;
            probe.read_all = probe.rereads > MAX_REREADS;
            self.oracle.check(oracle::CANCEL_STOPS, seen <= at_cancel as usize, now_ms, || {
                format!("job {job}: {seen} results, {at_cancel} at cancellation")
            });
            return;
        }
        probe.read_all = true;
        self.oracle.check(oracle::RESULTS_READABLE, seen == expected, now_ms, || {
            format!("job {job}: {seen} of {expected} results could be read")
        });
    }

    fn check_result(&mut self, job: usize, item: &FinishedItem) {
        let now_ms = self.now_ms;
        let index = item.item;
        let probe = &mut self.jobs.probes[job];
        let text = item.result.text.to_string();
        let expected = answer_text(MODEL, &probe.prompts[index as usize], MAX_TOKENS);
        let matches_prompt = text == expected && *item.label == format!("label-{index}");
        let earlier = probe.seen.insert(index, (item.result.attempt, text.clone()));
        let is_same = earlier.is_none_or(|earlier| earlier == (item.result.attempt, text));
        self.oracle.check(oracle::COMPLETE_ANSWERS, matches_prompt, now_ms, || {
            format!("job {job} item {index}: the result is not the complete answer to its prompt")
        });
        self.oracle.check(oracle::EXACTLY_ONCE, is_same, now_ms, || {
            format!("job {job} item {index}: two different results were read")
        });
    }

    /// Handles the answer to a cancellation.
    pub fn on_cancelled(&mut self, job: usize, answer: Option<CallerAnswer>) {
        self.jobs.probes[job].calling_since_ms = None;
        match answer {
            Some(CallerAnswer::Job { summary, .. }) => {
                self.count("jobs_cancelled");
                let probe = &mut self.jobs.probes[job];
                probe.cancelled_at = Some(summary.completed);
                let cancelled = summary.phase == JobPhase::Cancelled;
                probe.wants_cancel = false;
                if !cancelled {
                    // The job completed before the cancellation arrived.
                    probe.cancelled_at = None;
                }
                self.check_summary(job, &summary);
            }
            Some(CallerAnswer::Refused(refusal)) => self.check_known(job, refusal.kind),
            _ => {}
        }
    }

    /// Checks at the end of the run that each accepted job that was not cancelled has one result per item.
    pub fn check_jobs_at_end(&mut self) {
        let now_ms = self.now_ms;
        for job in 0..self.jobs.probes.len() {
            let probe = &self.jobs.probes[job];
            if probe.accepted.is_none() {
                continue;
            }
            let (seen, cancelled) = (probe.seen.len(), probe.cancelled_at.is_some());
            let expected = probe.prompts.len();
            let holds = cancelled || !probe.read_all || seen == expected;
            self.oracle.check(oracle::EXACTLY_ONCE, holds, now_ms, || {
                format!("job {job}: {seen} results for {expected} items")
            });
        }
    }

    /// Returns whether every accepted job completed in time.
    pub fn jobs_liveness(&self) -> (&'static str, LivenessTally, Vec<String>) {
        let fault_free_from = self.fault_free_from_ms();
        let mut tally = LivenessTally::default();
        let mut details = Vec::new();
        for (number, probe) in self.jobs.probes.iter().enumerate() {
            let Some(id) = probe.accepted else { continue };
            tally.checked += 1;
            if probe.ended {
                let after = probe.completed_ms.map_or(0, |at| at.saturating_sub(fault_free_from));
                tally.worst_ms = tally.worst_ms.max(after);
            } else {
                tally.violations += 1;
                details.push(format!("job {number} ({id}) has not completed; {} results read", probe.seen.len()));
            }
        }
        ("jobs_complete", tally, details)
    }
}
