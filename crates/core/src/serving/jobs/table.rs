//! The replicated table of jobs.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::command::{
    ItemFailures, ItemKey, ItemProgress, ItemState, JobCommand, JobItem, JobKey, JobOutcome, LoggedOutput,
    PartialOutput, QueueKey, Submission,
};
use crate::serving::configuration::tenant::CallerIdentity;
use crate::time::UnixMillis;

/// A result. Its position in its job never changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedResult {
    /// The item's place in its job.
    pub item: u32,
    /// The item's id.
    pub id: Arc<str>,
    /// How it ended.
    pub state: ItemState,
    /// Its output.
    pub text: Arc<str>,
}

/// Results from a position on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPage {
    /// How many items the job has.
    pub total: u32,
    /// The results, in order of position.
    pub results: Vec<CommittedResult>,
    /// Whether no more results will come.
    pub is_over: bool,
}

/// One job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// What was submitted. The body of an item with a result is dropped.
    pub submission: Submission,
    /// The results in the order in which they were committed.
    pub results: Vec<CommittedResult>,
    /// Whether each item has its result.
    with_result: Vec<bool>,
    /// What items without a result have put out so far.
    partials: BTreeMap<u32, PartialOutput>,
    /// Whether the submitter ended the job.
    pub ended: bool,
    /// How many runs of items without a result have failed. In a snapshot it stands behind the table.
    #[serde(skip)]
    failures: BTreeMap<u32, u32>,
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
        }
    }

    /// Whether a caller may read and end the job.
    pub fn is_seen_by(&self, caller: &CallerIdentity) -> bool {
        caller.may_see(self.submission.tenant.as_ref())
    }

    /// Whether nothing of the job will run any more.
    pub fn is_over(&self) -> bool {
        self.ended || self.results.len() == self.submission.items.len()
    }

    /// Whether an item has its result.
    pub fn has_result(&self, item: u32) -> bool {
        self.with_result.get(item as usize).copied().unwrap_or(false)
    }

    /// The places of items that have no result yet, unless the job has ended.
    pub fn open_items(&self) -> impl Iterator<Item = u32> + '_ {
        let ended = self.ended;
        (0..self.with_result.len() as u32).filter(move |item| !ended && !self.has_result(*item))
    }

    /// What an item without a result has put out, as far as the log has it.
    pub fn partial(&self, item: u32) -> Option<&PartialOutput> {
        self.partials.get(&item)
    }

    /// How many runs of an item without a result have failed, as far as the log has it.
    pub fn failures(&self, item: u32) -> u32 {
        self.failures.get(&item).copied().unwrap_or(0)
    }

    /// Whether the log has just that much of an item's output.
    fn follows_on(&self, item: u32, after: LoggedOutput) -> bool {
        let logged = self
            .partials
            .get(&item)
            .map(|partial| LoggedOutput { bytes: partial.text.len(), last_event: partial.last_event });
        logged.unwrap_or_default() == after
    }

    /// Tokens of items that have no result yet.
    pub fn open_tokens(&self) -> u64 {
        self.open_items().map(|item| self.submission.items[item as usize].token_count).sum()
    }

    /// The item with that id, while it has no result.
    pub fn open_item_by_id(&self, id: &str) -> Option<&JobItem> {
        let place = self.submission.items.iter().position(|item| &*item.id == id)?;
        (!self.with_result[place]).then(|| &self.submission.items[place])
    }

    /// Results from `first` on, at least one if there is one and at most `most_bytes` of text.
    pub fn page(&self, first: u32, most_bytes: usize) -> ResultPage {
        let mut bytes = 0;
        let mut results = Vec::new();
        for result in self.results.iter().skip(first as usize) {
            bytes += result.text.len();
            if !results.is_empty() && bytes > most_bytes {
                break;
            }
            results.push(result.clone());
        }
        ResultPage { total: self.submission.items.len() as u32, results, is_over: self.is_over() }
    }
}

/// The table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobTable {
    jobs: BTreeMap<JobKey, Job>,
    /// Tokens of items without a result.
    open_tokens: BTreeMap<QueueKey, u64>,
}

impl JobTable {
    /// A job.
    pub fn job(&self, key: &JobKey) -> Option<&Job> {
        self.jobs.get(key)
    }

    /// A job as a caller sees it: those of other tenants don't exist.
    pub fn job_for(&self, key: &JobKey, caller: &CallerIdentity) -> Option<&Job> {
        self.job(key).filter(|job| job.is_seen_by(caller))
    }

    /// All jobs.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobKey, &Job)> {
        self.jobs.iter()
    }

    /// Tokens of items without a result of one tenant on a route.
    pub fn open_tokens(&self, queue: &QueueKey) -> u64 {
        self.open_tokens.get(queue).copied().unwrap_or(0)
    }

    /// Applies a command.
    pub fn apply(&mut self, command: JobCommand) -> JobOutcome {
        match command {
            JobCommand::Accept(submission) => self.accept(submission),
            JobCommand::Finish { key, state, after, text } => self.finish(&key, state, after, &text),
            JobCommand::Progress(items) => self.progress(items),
            JobCommand::End { job, caller } => self.end(&job, &caller),
            JobCommand::Forget { before } => self.forget(before),
            JobCommand::Failures(items) => self.count_failures(items),
        }
    }

    /// Encodes the table for a snapshot. Failed runs follow behind the table, where a version that does not know them reads
    /// no further.
    pub fn encode(&self) -> Arc<[u8]> {
        // Can't fail: the length of all that is encoded is known, and a vector takes any.
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        let failures = self.all_failures();
        if !failures.is_empty() {
            bytes.extend(postcard::to_stdvec(&failures).unwrap_or_default());
        }
        Arc::from(bytes)
    }

    /// Reads the table from a snapshot. The empty snapshot of a new log is the empty table.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.is_empty() {
            return Some(Self::default());
        }
        let (mut table, rest): (Self, _) = postcard::take_from_bytes(bytes).ok()?;
        if !rest.is_empty() {
            table.count_failures(postcard::from_bytes(rest).ok()?);
        }
        Some(table)
    }

    fn all_failures(&self) -> Vec<ItemFailures> {
        let of_job = |(job, state): (&JobKey, &Job)| {
            let job = job.clone();
            let counts = state.failures.clone().into_iter();
            counts.map(move |(item, failures)| ItemFailures { key: ItemKey { job: job.clone(), item }, failures })
        };
        self.jobs.iter().flat_map(of_job).collect()
    }

    fn count_failures(&mut self, items: Vec<ItemFailures>) -> JobOutcome {
        for ItemFailures { key, failures } in items {
            let Some(job) = self.jobs.get_mut(&key.job) else { continue };
            let is_open = !job.ended && job.with_result.get(key.item as usize) == Some(&false);
            if is_open {
                let known = job.failures.entry(key.item).or_default();
                *known = failures.max(*known);
            }
        }
        JobOutcome::Committed
    }

    fn accept(&mut self, submission: Submission) -> JobOutcome {
        if let Some(job) = self.jobs.get(&submission.key) {
            let is_same = job.submission.tenant == submission.tenant;
            return if is_same { JobOutcome::Accepted } else { JobOutcome::KeyTaken };
        }
        *self.open_tokens.entry(submission.queue()).or_default() += submission.token_count();
        self.jobs.insert(submission.key.clone(), Job::new(submission));
        JobOutcome::Accepted
    }

    fn progress(&mut self, items: Vec<ItemProgress>) -> JobOutcome {
        for more in items {
            let Some(job) = self.jobs.get_mut(&more.key.job) else { continue };
            let item = more.key.item;
            let is_open = !job.ended && job.with_result.get(item as usize) == Some(&false);
            if is_open && job.follows_on(item, more.after) {
                let partial = job.partials.entry(item).or_default();
                partial.text.push_str(&more.text);
                partial.last_event = more.last_event;
            }
        }
        JobOutcome::Committed
    }

    fn finish(&mut self, key: &ItemKey, state: ItemState, after: LoggedOutput, text: &str) -> JobOutcome {
        let Some(job) = self.jobs.get_mut(&key.job) else { return JobOutcome::UnknownJob };
        let place = key.item as usize;
        if job.ended || job.with_result.get(place).copied().unwrap_or(true) {
            return JobOutcome::Dropped;
        }
        let text = match state {
            ItemState::GivenUp => Arc::from(""),
            // A text that does not follow on what the log has would not be the whole output.
            ItemState::Completed if !job.follows_on(key.item, after) => return JobOutcome::Dropped,
            ItemState::Completed => {
                let begun = job.partials.get(&key.item).map_or("", |partial| partial.text.as_str());
                Arc::from(format!("{begun}{text}"))
            }
        };
        job.partials.remove(&key.item);
        job.failures.remove(&key.item);
        job.with_result[place] = true;
        let item = &mut job.submission.items[place];
        job.results.push(CommittedResult { item: key.item, id: item.id.clone(), state, text });
        item.body = Arc::from([]);
        let tokens = item.token_count;
        let queue = job.submission.queue();
        self.release(&queue, tokens);
        JobOutcome::Committed
    }

    fn end(&mut self, key: &JobKey, caller: &CallerIdentity) -> JobOutcome {
        let job = self.jobs.get_mut(key).filter(|job| job.is_seen_by(caller));
        let Some(job) = job else { return JobOutcome::UnknownJob };
        let (queue, tokens) = (job.submission.queue(), job.open_tokens());
        job.ended = true;
        job.partials.clear();
        job.failures.clear();
        self.release(&queue, tokens);
        JobOutcome::Ended
    }

    fn forget(&mut self, before: UnixMillis) -> JobOutcome {
        self.jobs.retain(|_, job| !(job.is_over() && job.submission.received_at < before));
        JobOutcome::Forgotten
    }

    fn release(&mut self, queue: &QueueKey, tokens: u64) {
        let Some(open) = self.open_tokens.get_mut(queue) else { return };
        *open = open.saturating_sub(tokens);
        if *open == 0 {
            self.open_tokens.remove(queue);
        }
    }
}
