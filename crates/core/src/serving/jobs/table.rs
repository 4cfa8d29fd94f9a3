//! The replicated table of jobs.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::command::{
    ItemFailures, ItemKey, ItemOrigin, ItemProgress, ItemState, JobCommand, JobItem, JobKey, JobOutcome, LoggedOutput,
    PartialOutput, QueueKey, Submission,
};
use crate::serving::configuration::tenant::{CallerIdentity, TenantName};
use crate::serving::stream_origins::StreamOrigin;
use crate::time::UnixMillis;

/// A committed result. Its position in [`Job::results`] never changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedResult {
    /// The zero-based index of the item in its job.
    pub item: u32,
    /// The ID of the item.
    pub id: Arc<str>,
    /// The final state of the item.
    pub state: ItemState,
    /// The complete output; empty unless the item completed.
    pub text: Arc<str>,
}

/// A page of results, starting at a requested position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPage {
    /// The number of items in the job.
    pub total: u32,
    /// The results, in order of position.
    pub results: Vec<CommittedResult>,
    /// Whether no further results will be added.
    pub is_over: bool,
}

/// The state of one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The job as submitted. The bodies of items with a result are dropped.
    pub submission: Submission,
    /// The results in the order in which they were committed.
    pub results: Vec<CommittedResult>,
    /// Whether each item has a result, by index.
    with_result: Vec<bool>,
    /// The logged output of items without a result, by index.
    partials: BTreeMap<u32, PartialOutput>,
    /// Whether the submitter ended the job.
    pub ended: bool,
    /// The number of failed runs of items without a result, by index. A snapshot stores it after the table.
    #[serde(skip)]
    failures: BTreeMap<u32, u32>,
    /// The origins of logged output, by index, where they are known. A snapshot stores them after the failed runs.
    #[serde(skip)]
    origins: BTreeMap<u32, StreamOrigin>,
}

impl Job {
    fn new(submission: Submission) -> Self {
        let with_result = vec![false; submission.items.len()];
        Self {
            submission,
            results: Vec::new(),
            with_result,
            partials: BTreeMap::new(),
            ended: false,
            failures: BTreeMap::new(),
            origins: BTreeMap::new(),
        }
    }

    /// Returns whether a caller may read and end the job.
    pub fn is_visible_to(&self, caller: &CallerIdentity) -> bool {
        caller.may_access(self.submission.tenant.as_ref())
    }

    /// Returns whether no item of the job will run any more.
    pub fn is_over(&self) -> bool {
        self.ended || self.results.len() == self.submission.items.len()
    }

    /// Returns whether an item has a result. Items that do not exist have none.
    pub fn has_result(&self, item: u32) -> bool {
        self.with_result.get(item as usize).copied().unwrap_or(false)
    }

    /// Returns the result of an item, if it has one.
    pub fn result_of(&self, item: u32) -> Option<&CommittedResult> {
        self.results.iter().find(|result| result.item == item)
    }

    /// Returns the indexes of the items without a result; none if the job has ended.
    pub fn open_items(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.with_result.len() as u32).filter(|item| self.is_open(*item))
    }

    /// Returns whether an item has no result and its job has not ended.
    pub fn is_open(&self, item: u32) -> bool {
        !self.ended && !self.has_result(item)
    }

    /// Returns the logged output of an item without a result.
    pub fn partial(&self, item: u32) -> Option<&PartialOutput> {
        self.partials.get(&item)
    }

    /// Returns the logged number of failed runs of an item without a result.
    pub fn failures(&self, item: u32) -> u32 {
        self.failures.get(&item).copied().unwrap_or(0)
    }

    /// Returns the origin of the logged output of an item, if known.
    pub fn origin(&self, item: u32) -> Option<&StreamOrigin> {
        self.origins.get(&item)
    }

    /// Forgets the logged output of an item.
    fn remove_output(&mut self, item: u32) {
        self.partials.remove(&item);
        self.origins.remove(&item);
    }

    /// Returns whether the logged output of an item ends exactly at `after`.
    fn log_ends_at(&self, item: u32, after: LoggedOutput) -> bool {
        let logged = self
            .partials
            .get(&item)
            .map(|partial| LoggedOutput { bytes: partial.text.len(), last_event: partial.last_event });
        logged.unwrap_or_default() == after
    }

    /// Returns the number of tokens of items without a result.
    pub fn open_tokens(&self) -> u64 {
        let counts = self.open_items().map(|item| self.submission.items[item as usize].token_count);
        counts.fold(0, u64::saturating_add)
    }

    /// Returns the item with the given ID, unless it already has a result.
    pub fn open_item_by_id(&self, id: &str) -> Option<&JobItem> {
        let index = self.submission.items.iter().position(|item| &*item.id == id)?;
        (!self.with_result[index]).then(|| &self.submission.items[index])
    }

    /// Returns the results starting at `first`, limited to `max_bytes` of text but with at least one result if there is
    /// any.
    pub fn page(&self, first: u32, max_bytes: usize) -> ResultPage {
        let mut bytes = 0;
        let mut results = Vec::new();
        for result in self.results.iter().skip(first as usize) {
            bytes += result.text.len();
            if !results.is_empty() && bytes > max_bytes {
                break;
            }
            results.push(result.clone());
        }
        ResultPage { total: self.submission.items.len() as u32, results, is_over: self.is_over() }
    }
}

/// The replicated table of all jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobTable {
    jobs: BTreeMap<JobKey, Job>,
    /// The number of tokens of items without a result, by queue.
    open_tokens: BTreeMap<QueueKey, u64>,
}

impl JobTable {
    /// Returns a job regardless of its owner.
    pub fn job(&self, key: &JobKey) -> Option<&Job> {
        self.jobs.get(key)
    }

    /// Returns a job if it is visible to `caller`.
    pub fn job_for(&self, key: &JobKey, caller: &CallerIdentity) -> Option<&Job> {
        self.job(key).filter(|job| job.is_visible_to(caller))
    }

    /// Returns all jobs in the order of their keys.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobKey, &Job)> {
        self.jobs.iter()
    }

    /// Returns the number of tokens of items without a result in a queue.
    pub fn open_tokens(&self, queue: &QueueKey) -> u64 {
        self.open_tokens.get(queue).copied().unwrap_or(0)
    }

    /// Applies a command. Applying the same command again has no further effect.
    pub fn apply(&mut self, command: JobCommand) -> JobOutcome {
        match command {
            JobCommand::Accept(submission) => self.accept(submission),
            JobCommand::Finish { key, state, after, text } => self.finish(&key, state, after, &text),
            JobCommand::Progress(items) => self.progress(items),
            JobCommand::End { job, caller } => self.end(&job, &caller),
            JobCommand::Forget { before } => self.forget(before),
            JobCommand::Failures(items) => self.record_failures(items),
            JobCommand::Restart(items) => self.restart(items),
            JobCommand::Origins(items) => self.record_origins(items),
        }
    }

    /// Encodes the table for a snapshot. The counts of failed runs follow the table, and the origins of logged output
    /// follow those; versions that do not know them stop reading before.
    pub fn encode(&self) -> Arc<[u8]> {
        // Cannot fail: all lengths are known, and a vector grows as needed.
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        let (failures, origins) = (self.all_failures(), self.all_origins());
        if !failures.is_empty() || !origins.is_empty() {
            bytes.extend(postcard::to_stdvec(&failures).unwrap_or_default());
        }
        if !origins.is_empty() {
            bytes.extend(postcard::to_stdvec(&origins).unwrap_or_default());
        }
        Arc::from(bytes)
    }

    /// Decodes the table from a snapshot. The empty snapshot of a new log decodes to an empty table.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.is_empty() {
            return Some(Self::default());
        }
        let (mut table, rest): (Self, _) = postcard::take_from_bytes(bytes).ok()?;
        if !rest.is_empty() {
            let (failures, rest) = postcard::take_from_bytes(rest).ok()?;
            table.record_failures(failures);
            if !rest.is_empty() {
                table.record_origins(postcard::from_bytes(rest).ok()?);
            }
        }
        Some(table)
    }

    fn all_origins(&self) -> Vec<ItemOrigin> {
        let of_job = |(job, state): (&JobKey, &Job)| {
            let job = job.clone();
            let origins = state.origins.clone().into_iter();
            origins.map(move |(item, origin)| ItemOrigin { key: ItemKey { job: job.clone(), item }, origin })
        };
        self.jobs.iter().flat_map(of_job).collect()
    }

    fn all_failures(&self) -> Vec<ItemFailures> {
        let of_job = |(job, state): (&JobKey, &Job)| {
            let job = job.clone();
            let counts = state.failures.clone().into_iter();
            counts.map(move |(item, failures)| ItemFailures { key: ItemKey { job: job.clone(), item }, failures })
        };
        self.jobs.iter().flat_map(of_job).collect()
    }

    fn record_failures(&mut self, items: Vec<ItemFailures>) -> JobOutcome {
        for ItemFailures { key, failures } in items {
            let Some(job) = self.jobs.get_mut(&key.job) else { continue };
            let is_open = !job.ended && job.with_result.get(key.item as usize) == Some(&false);
            if is_open {
                let recorded = job.failures.entry(key.item).or_default();
                *recorded = failures.max(*recorded);
            }
        }
        JobOutcome::Committed
    }

    /// Returns the outcome of submitting a job whose ID is in the table, or `None` if it is not.
    pub fn outcome_of_repeat(&self, key: &JobKey, tenant: Option<&TenantName>) -> Option<JobOutcome> {
        let is_same = self.jobs.get(key)?.submission.tenant.as_ref() == tenant;
        Some(if is_same { JobOutcome::Accepted } else { JobOutcome::KeyTaken })
    }

    fn accept(&mut self, submission: Submission) -> JobOutcome {
        if let Some(outcome) = self.outcome_of_repeat(&submission.key, submission.tenant.as_ref()) {
            return outcome;
        }
        let open = self.open_tokens.entry(submission.queue()).or_default();
        *open = open.saturating_add(submission.token_count());
        self.jobs.insert(submission.key.clone(), Job::new(submission));
        JobOutcome::Accepted
    }

    fn progress(&mut self, items: Vec<ItemProgress>) -> JobOutcome {
        for update in items {
            let Some(job) = self.jobs.get_mut(&update.key.job) else { continue };
            let item = update.key.item;
            let is_open = !job.ended && job.with_result.get(item as usize) == Some(&false);
            if is_open && job.log_ends_at(item, update.after) {
                let partial = job.partials.entry(item).or_default();
                partial.text.push_str(&update.text);
                partial.last_event = update.last_event;
            }
        }
        JobOutcome::Committed
    }

    fn restart(&mut self, items: Vec<ItemKey>) -> JobOutcome {
        for key in items {
            if let Some(job) = self.jobs.get_mut(&key.job) {
                job.remove_output(key.item);
            }
        }
        JobOutcome::Committed
    }

    /// Records origins. That of output which is logged already does not change.
    fn record_origins(&mut self, items: Vec<ItemOrigin>) -> JobOutcome {
        for ItemOrigin { key, origin } in items {
            let Some(job) = self.jobs.get_mut(&key.job).filter(|job| job.is_open(key.item)) else { continue };
            if !job.partials.contains_key(&key.item) || !job.origins.contains_key(&key.item) {
                job.origins.insert(key.item, origin);
            }
        }
        JobOutcome::Committed
    }

    fn finish(&mut self, key: &ItemKey, state: ItemState, after: LoggedOutput, text: &str) -> JobOutcome {
        let Some(job) = self.jobs.get_mut(&key.job) else { return JobOutcome::UnknownJob };
        let index = key.item as usize;
        if job.ended || job.with_result.get(index).copied().unwrap_or(true) {
            return JobOutcome::Dropped;
        }
        let text = match state {
            ItemState::GivenUp => Arc::from(""),
            // Text that starts anywhere but at the end of the logged output would leave a gap or an overlap.
            ItemState::Completed if !job.log_ends_at(key.item, after) => return JobOutcome::Dropped,
            ItemState::Completed => {
                let logged_text = job.partials.get(&key.item).map_or("", |partial| partial.text.as_str());
                Arc::from(format!("{logged_text}{text}"))
            }
        };
        job.remove_output(key.item);
        job.failures.remove(&key.item);
        job.with_result[index] = true;
        let item = &mut job.submission.items[index];
        job.results.push(CommittedResult { item: key.item, id: item.id.clone(), state, text });
        item.body = Arc::from([]);
        let tokens = item.token_count;
        let queue = job.submission.queue();
        self.release_tokens(&queue, tokens);
        JobOutcome::Committed
    }

    fn end(&mut self, key: &JobKey, caller: &CallerIdentity) -> JobOutcome {
        let job = self.jobs.get_mut(key).filter(|job| job.is_visible_to(caller));
        let Some(job) = job else { return JobOutcome::UnknownJob };
        let (queue, tokens) = (job.submission.queue(), job.open_tokens());
        job.ended = true;
        job.partials.clear();
        job.origins.clear();
        job.failures.clear();
        self.release_tokens(&queue, tokens);
        JobOutcome::Ended
    }

    fn forget(&mut self, before: UnixMillis) -> JobOutcome {
        self.jobs.retain(|_, job| !(job.is_over() && job.submission.received_at < before));
        JobOutcome::Forgotten
    }

    fn release_tokens(&mut self, queue: &QueueKey, tokens: u64) {
        let Some(open) = self.open_tokens.get_mut(queue) else { return };
        *open = open.saturating_sub(tokens);
        if *open == 0 {
            self.open_tokens.remove(queue);
        }
    }
}
