//! Batch submitters, and what became of their jobs.

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

/// Most tokens of an item's answer.
const MAX_TOKENS: u32 = 48;
/// The mean time between two jobs, in milliseconds.
const MEAN_GAP_MS: u64 = 8_000;
/// Time between two looks at a job, in milliseconds.
const LOOK_MS: u64 = 4_000;
/// Submissions end this long before the run's end, in milliseconds.
const LAST_SUBMISSION_MS: u64 = 170_000;
/// A cancelled job is read this often again, to see that nothing is added.
const REREADS: u32 = 4;
/// A submitter that hears nothing for this long tries again, in milliseconds.
const PATIENCE_MS: u64 = 15_000;

/// A job as its submitter sees it.
pub struct JobProbe {
    key: String,
    prompts: Vec<String>,
    /// The id, once the job was accepted.
    accepted: Option<JobId>,
    wants_cancel: bool,
    /// The count of results when the cancellation was acknowledged.
    cancelled_at: Option<u32>,
    ended: bool,
    /// Every result seen, by item.
    seen: BTreeMap<u32, (AttemptId, String)>,
    /// The next item whose result is read.
    next_read: u32,
    read_all: bool,
    /// How often a cancelled job was read again.
    rereads: u32,
    completed_ms: Option<u64>,
    /// A call is under way since then.
    calling_since_ms: Option<u64>,
}

/// Batch submitters.
#[derive(Default)]
pub struct JobModel {
    probes: Vec<JobProbe>,
}

impl World {
    /// A new job comes up.
    pub fn new_job(&mut self) {
        let gap = self.random.random_range(1..=2 * MEAN_GAP_MS);
        if self.now_ms + LAST_SUBMISSION_MS >= self.end_ms() {
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

    /// A submitter does its next step.
    pub fn step_job(&mut self, job: usize) {
        let now_ms = self.now_ms;
        let probe = &self.jobs.probes[job];
        if probe.read_all {
            return;
        }
        let wait = LOOK_MS + self.random.random_range(0..=LOOK_MS);
        self.schedule(wait, SimEvent::JobStep { job });
        let probe = &self.jobs.probes[job];
        if probe.calling_since_ms.is_some_and(|since| now_ms < since + PATIENCE_MS) {
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

    /// Results that are there already are read from somewhere else.
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
        // Now and then the same job is sent twice at once.
        if self.random.random_bool(0.25) {
            self.resend_job(job);
        }
    }

    /// The same job again, at another node.
    fn resend_job(&mut self, job: usize) {
        self.count("jobs_resent");
        let submission = self.submission(job, "");
        let slot = self.random_node();
        self.call(slot, CallPurpose::Submit(job), CallerCall::Batch(BatchCall::Submit(submission)));
    }

    fn submission(&self, job: usize, suffix: &str) -> JobSubmission {
        let probe = &self.jobs.probes[job];
        let items = probe.prompts.iter().enumerate().map(|(place, prompt)| NewItem {
            label: Arc::from(format!("label-{place}")),
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

    /// The answer to a submission.
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
        self.note(|| format!("job {job} accepted as {id}"));
        if self.jobs.probes[job].wants_cancel {
            // While its items run and complete.
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

    /// The job's own content is never in conflict with itself.
    fn check_submission_refusal(&mut self, job: usize, kind: ErrorKind) {
        let now_ms = self.now_ms;
        self.oracle.check(oracle::EXACTLY_ONCE, kind != ErrorKind::KeyConflict, now_ms, || {
            format!("job {job}: a resend of the same content was called a conflict")
        });
    }

    /// Other content under an accepted job's key must not be taken.
    pub fn on_conflicting(&mut self, job: usize, answer: Option<CallerAnswer>) {
        self.count("jobs_conflicting");
        let now_ms = self.now_ms;
        let is_taken = matches!(answer, Some(CallerAnswer::Job { .. }));
        self.oracle.check(oracle::EXACTLY_ONCE, !is_taken, now_ms, || {
            format!("job {job}: other content was taken under its key")
        });
    }

    /// A job's status.
    pub fn on_job_status(&mut self, job: usize, answer: Option<CallerAnswer>) {
        self.jobs.probes[job].calling_since_ms = None;
        match answer {
            Some(CallerAnswer::Job { summary, .. }) => self.take_summary(job, &summary),
            Some(CallerAnswer::Refused(refusal)) => self.check_known(job, refusal.kind),
            _ => {}
        }
    }

    fn take_summary(&mut self, job: usize, summary: &JobSummary) {
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
                format!("job {job}: {now_completed} items are complete, {at_cancel} when it was cancelled")
            });
        }
    }

    /// An accepted job is never unknown.
    fn check_known(&mut self, job: usize, kind: ErrorKind) {
        let now_ms = self.now_ms;
        self.oracle.check(oracle::RESULTS_READABLE, kind != ErrorKind::UnknownJob, now_ms, || {
            format!("job {job} was accepted and is now unknown")
        });
    }

    /// Some results, out of order.
    pub fn on_peeked(&mut self, job: usize, answer: Option<CallerAnswer>) {
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

    /// A page of results.
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
            // Read the whole job a few times more: nothing may be added.
            probe.next_read = 0;
            probe.rereads += 1;
            probe.read_all = probe.rereads > REREADS;
            self.oracle.check(oracle::CANCEL_STOPS, seen <= at_cancel as usize, now_ms, || {
                format!("job {job}: {seen} results, {at_cancel} when it was cancelled")
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
        let place = item.item;
        let probe = &mut self.jobs.probes[job];
        let text = item.result.text.to_string();
        let expected = answer_text(MODEL, &probe.prompts[place as usize], MAX_TOKENS);
        let is_own = text == expected && *item.label == format!("label-{place}");
        let earlier = probe.seen.insert(place, (item.result.attempt, text.clone()));
        let is_same = earlier.is_none_or(|earlier| earlier == (item.result.attempt, text));
        self.oracle.check(oracle::WHOLE_ANSWERS, is_own, now_ms, || {
            format!("job {job} item {place}: the result is not the whole answer to its prompt")
        });
        self.oracle.check(oracle::EXACTLY_ONCE, is_same, now_ms, || {
            format!("job {job} item {place}: two different results were read")
        });
    }

    /// The answer to a cancellation.
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
                    // It was complete before the cancellation came.
                    probe.cancelled_at = None;
                }
                self.take_summary(job, &summary);
            }
            Some(CallerAnswer::Refused(refusal)) => self.check_known(job, refusal.kind),
            _ => {}
        }
    }

    /// At the end: every accepted job that was not cancelled is complete, with one result an item.
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

    /// Whether every accepted job came to its end in time.
    pub fn jobs_liveness(&self) -> (&'static str, LivenessTally, Vec<String>) {
        let quiet_from = self.quiet_from_ms();
        let mut tally = LivenessTally::default();
        let mut details = Vec::new();
        for (number, probe) in self.jobs.probes.iter().enumerate() {
            let Some(id) = probe.accepted else { continue };
            tally.checked += 1;
            if probe.ended {
                let after = probe.completed_ms.map_or(0, |at| at.saturating_sub(quiet_from));
                tally.worst_ms = tally.worst_ms.max(after);
            } else {
                tally.violations += 1;
                details.push(format!("job {number} ({id}) has not ended; {} results seen", probe.seen.len()));
            }
        }
        ("jobs_complete", tally, details)
    }
}
