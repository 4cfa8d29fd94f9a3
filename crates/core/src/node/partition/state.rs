//! The partition state machine, which applies commands and answers queries.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::command::{Command, CommandOutcome, CompletedItem};
use super::job::{Job, JobPhase, JobSpecification, NewItem};
use super::mark::{Mark, RequestKey, Settlement};
use super::query::{FinishedItem, Query, QueryAnswer};
use super::session::{SessionKey, SessionRecord};
use crate::identity::{AttemptId, JobId};
use crate::time::UnixMillis;

/// Bytes of result text after which an answer to [`Query::JobResults`] ends its page.
const MAX_RESULT_PAGE_BYTES: usize = 1 << 20;

/// An item without a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenItem {
    /// Index of the item in its job.
    pub item: u32,
    /// Prompt to run.
    pub prompt: Arc<str>,
}

/// The replicated state of one group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionState {
    jobs: BTreeMap<JobId, Job>,
    marks: BTreeMap<RequestKey, Mark>,
    sessions: BTreeMap<SessionKey, SessionRecord>,
    /// Accepted jobs that have not ended. Derived from `jobs`.
    #[serde(skip)]
    running: BTreeSet<JobId>,
}

impl PartitionState {
    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Arc<[u8]> {
        postcard::to_stdvec(self).map(Arc::from).unwrap_or_default()
    }

    /// Decodes a snapshot. No bytes decode to the empty state; `None` means that the snapshot is corrupt.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.is_empty() {
            return Some(Self::default());
        }
        let mut state: Self = postcard::from_bytes(bytes).ok()?;
        let is_running = |job: &Job| job.phase == JobPhase::Accepted && !job.has_ended();
        state.running = state.jobs.iter().filter(|(_, job)| is_running(job)).map(|(id, _)| *id).collect();
        Some(state)
    }

    /// Applies a command and returns its outcome.
    pub fn apply(&mut self, command: &Command) -> CommandOutcome {
        match command {
            Command::OpenJob { job, specification, at } => self.open_job(*job, specification, *at),
            Command::AddItems { job, first, items } => self.add_items(*job, *first, items),
            Command::AcceptJob { job } => self.accept_job(*job),
            Command::CompleteItems { job, results, at } => self.complete_items(*job, results, *at),
            Command::CancelJob { job, at } => self.cancel_job(*job, *at),
            Command::MarkRequest { request, digest, holder, at } => self.mark_request(request, *digest, *holder, *at),
            Command::SettleRequest { request, digest, holder, settlement, at } => {
                self.settle_request(request, *digest, *holder, *settlement, *at)
            }
            Command::PlaceSession { session, record } => self.place_session(session, record),
            Command::Forget { before } => self.forget(*before),
        }
    }

    /// Answers a query.
    pub fn query(&self, query: &Query) -> QueryAnswer {
        match query {
            Query::JobStatus { job } => {
                self.jobs.get(job).map_or(QueryAnswer::UnknownJob, |job| QueryAnswer::Job(job.summary()))
            }
            Query::JobResults { job, first, limit } => self.results(*job, *first, *limit),
            Query::JobList { tenant, limit } => self.job_list(tenant, *limit),
            Query::Session { session } => QueryAnswer::Session(self.sessions.get(session).cloned()),
        }
    }

    /// Returns a job by ID.
    pub fn job(&self, job: JobId) -> Option<&Job> {
        self.jobs.get(&job)
    }

    /// Returns all jobs, ordered by ID.
    pub fn jobs(&self) -> impl Iterator<Item = (JobId, &Job)> {
        self.jobs.iter().map(|(id, job)| (*id, job))
    }

    /// Returns the accepted jobs that have not ended.
    pub fn running_jobs(&self) -> impl Iterator<Item = (JobId, &Job)> {
        self.running.iter().filter_map(|id| self.jobs.get(id).map(|job| (*id, job)))
    }

    /// Returns a job's items without a result, in order, starting at index `first`.
    pub fn open_items(&self, job: JobId, first: u32) -> impl Iterator<Item = OpenItem> + '_ {
        let items = self.jobs.get(&job).map_or(&[][..], |job| &job.items[..]);
        items.iter().enumerate().skip(first as usize).filter_map(|(index, item)| {
            let prompt = item.prompt.clone()?;
            Some(OpenItem { item: index as u32, prompt })
        })
    }

    /// Returns the mark of a request.
    pub fn mark(&self, request: &RequestKey) -> Option<&Mark> {
        self.marks.get(request)
    }

    /// Returns a session's record.
    pub fn session(&self, session: &SessionKey) -> Option<&SessionRecord> {
        self.sessions.get(session)
    }

    /// Returns the total number of jobs, marks and sessions.
    pub fn len(&self) -> usize {
        self.jobs.len() + self.marks.len() + self.sessions.len()
    }

    /// Returns whether there are no jobs, marks or sessions.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn open_job(&mut self, id: JobId, specification: &JobSpecification, at: UnixMillis) -> CommandOutcome {
        let job = self.jobs.entry(id).or_insert_with(|| Job::new(specification.clone(), at));
        let is_same = job.specification.content_digest == specification.content_digest
            && job.specification.tenant == specification.tenant
            && job.specification.key == specification.key;
        if !is_same {
            return CommandOutcome::JobConflict;
        }
        CommandOutcome::JobOpen { received: job.items.len() as u32, phase: job.phase }
    }

    fn add_items(&mut self, id: JobId, first: u32, items: &[NewItem]) -> CommandOutcome {
        let Some(job) = self.jobs.get_mut(&id) else { return CommandOutcome::UnknownJob };
        job.add_items(first, items);
        CommandOutcome::JobOpen { received: job.items.len() as u32, phase: job.phase }
    }

    fn accept_job(&mut self, id: JobId) -> CommandOutcome {
        let Some(job) = self.jobs.get_mut(&id) else { return CommandOutcome::UnknownJob };
        let received = job.items.len() as u32;
        match job.phase {
            JobPhase::Cancelled => return CommandOutcome::JobCancelled,
            JobPhase::Uploading if received < job.specification.item_count => {
                return CommandOutcome::ItemsMissing { received };
            }
            JobPhase::Uploading => job.phase = JobPhase::Accepted,
            JobPhase::Accepted => {}
        }
        if !job.has_ended() {
            self.running.insert(id);
        }
        CommandOutcome::JobOpen { received, phase: JobPhase::Accepted }
    }

    fn complete_items(&mut self, id: JobId, results: &[CompletedItem], at: UnixMillis) -> CommandOutcome {
        let Some(job) = self.jobs.get_mut(&id) else { return CommandOutcome::UnknownJob };
        let recorded = results.iter().filter(|done| job.complete_item(done.item, &done.result, at)).count();
        if job.has_ended() {
            self.running.remove(&id);
        }
        CommandOutcome::ItemsCompleted { dropped: (results.len() - recorded) as u32 }
    }

    fn cancel_job(&mut self, id: JobId, at: UnixMillis) -> CommandOutcome {
        let Some(job) = self.jobs.get_mut(&id) else { return CommandOutcome::UnknownJob };
        job.cancel(at);
        self.running.remove(&id);
        CommandOutcome::JobOpen { received: job.items.len() as u32, phase: job.phase }
    }

    fn mark_request(&mut self, request: &RequestKey, digest: u64, holder: AttemptId, at: UnixMillis) -> CommandOutcome {
        let Some(mark) = self.marks.get_mut(request) else {
            let mark = Mark { digest, holder, settlement: None, marked_at: at };
            self.marks.insert(request.clone(), mark);
            return CommandOutcome::Marked;
        };
        if mark.digest != digest {
            return CommandOutcome::MarkConflict;
        }
        let same_holder = mark.holder == holder;
        match mark.settlement {
            None if same_holder => CommandOutcome::Marked,
            Some(Settlement::NotRun) if !same_holder => {
                *mark = Mark { digest, holder, settlement: None, marked_at: at };
                CommandOutcome::Marked
            }
            settlement => CommandOutcome::AlreadyMarked { settlement },
        }
    }

    /// Settles a mark. If the settlement arrives before its mark, it creates a settled mark, so that the
    /// late mark command does not grant the right to send.
    fn settle_request(
        &mut self,
        request: &RequestKey,
        digest: u64,
        holder: AttemptId,
        settlement: Settlement,
        at: UnixMillis,
    ) -> CommandOutcome {
        let settled = Mark { digest, holder, settlement: Some(settlement), marked_at: at };
        let mark = self.marks.entry(request.clone()).or_insert(settled);
        if mark.holder == holder && mark.settlement.is_none() {
            mark.settlement = Some(settlement);
        }
        CommandOutcome::Settled
    }

    fn place_session(&mut self, session: &SessionKey, record: &SessionRecord) -> CommandOutcome {
        let current = self.sessions.get(session).map_or(0, |current| current.generation);
        if record.generation == current + 1 {
            self.sessions.insert(session.clone(), record.clone());
        }
        let stored = self.sessions.get(session).unwrap_or(record);
        CommandOutcome::Session(stored.clone())
    }

    fn forget(&mut self, before: UnixMillis) -> CommandOutcome {
        let is_retained = |job: &Job| match job.phase {
            JobPhase::Uploading => job.opened_at >= before,
            _ => job.ended_at.is_none_or(|ended| ended >= before),
        };
        self.jobs.retain(|_, job| is_retained(job));
        self.marks.retain(|_, mark| mark.marked_at >= before);
        self.sessions.retain(|_, record| record.placed_at >= before);
        CommandOutcome::Forgotten
    }

    fn job_list(&self, tenant: &str, limit: u32) -> QueryAnswer {
        let of_tenant = self.jobs.iter().filter(|(_, job)| &*job.specification.tenant == tenant);
        QueryAnswer::Jobs(of_tenant.take(limit as usize).map(|(id, job)| (*id, job.summary())).collect())
    }

    fn results(&self, id: JobId, first: u32, limit: u32) -> QueryAnswer {
        let Some(job) = self.jobs.get(&id) else { return QueryAnswer::UnknownJob };
        let mut results = Vec::new();
        let mut bytes = 0;
        let mut index = first;
        while (index as usize) < job.items.len() && index - first < limit && bytes < MAX_RESULT_PAGE_BYTES {
            let item = &job.items[index as usize];
            if let Some(result) = &item.result {
                bytes += result.text.len();
                results.push(FinishedItem { item: index, label: item.label.clone(), result: result.clone() });
            }
            index += 1;
        }
        let next = ((index as usize) < job.items.len()).then_some(index);
        QueryAnswer::Results { results, next }
    }
}
