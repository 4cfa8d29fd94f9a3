//! Batch job upload: opens the job, adds its items in chunks, and accepts it. Also handles the other
//! batch calls.

use std::sync::Arc;

use rand::Rng;

use super::event::{BatchCall, CallerAnswer, JobSubmission};
use super::group_client::{GroupReply, Purpose};
use super::machine::Node;
use crate::error::{ErrorKind, Ran, Refusal};
use crate::hashing::{group_of, hash_parts};
use crate::identity::{CallerId, JobId};
use crate::node::partition::{Command, CommandOutcome, JobPhase, JobSpecification, NewItem, Query, QueryAnswer};
use crate::time::{Millis, UnixMillis};

/// Maximum total size of labels and prompts in one command. A larger single item is sent alone.
const MAX_CHUNK_BYTES: usize = 256 << 10;
/// Maximum number of items in one command.
const MAX_CHUNK_ITEMS: usize = 2_048;
/// Timeout of one command.
const STEP_TIMEOUT: Millis = Millis(8_000);
/// Timeout of one query.
pub(super) const READ_TIMEOUT: Millis = Millis(4_000);
/// Maximum number of items in a job.
const MAX_JOB_ITEMS: usize = 250_000;

/// A job that is being uploaded.
pub(super) struct JobUpload {
    job: JobId,
    specification: JobSpecification,
    items: Vec<NewItem>,
    /// Whether to accept the job once all items are uploaded.
    accept: bool,
    /// Whether the accept command was sent. If its answer is lost, the job may have been accepted.
    accepting: bool,
}

impl Node {
    pub(super) fn on_batch_call(&mut self, caller: CallerId, call: BatchCall) {
        if self.directory.group_count() == 0 || self.fleet().is_none() {
            self.refuse(caller, ErrorKind::NotConfigured, "no configuration or replica groups yet");
            return;
        }
        match call {
            BatchCall::Submit(submission) => self.begin_upload(caller, submission),
            BatchCall::Accept(job) => {
                let command = Command::AcceptJob { job };
                self.command(job.group, command, Purpose::AcceptJob(caller, job), STEP_TIMEOUT);
            }
            BatchCall::List { tenant, group, limit } => {
                let query = Query::JobList { tenant, limit };
                self.query(group, query, Purpose::JobList(caller), READ_TIMEOUT);
            }
            BatchCall::Status(job) => {
                self.query(job.group, Query::JobStatus { job }, Purpose::JobStatus(caller, job), READ_TIMEOUT);
            }
            BatchCall::Results { job, first, limit } => {
                let query = Query::JobResults { job, first, limit };
                self.query(job.group, query, Purpose::JobResults(caller), READ_TIMEOUT);
            }
            BatchCall::Cancel(job) => {
                let command = Command::CancelJob { job, at: self.clock.wall_time };
                self.command(job.group, command, Purpose::CancelJob(caller, job), STEP_TIMEOUT);
            }
        }
    }

    fn begin_upload(&mut self, caller: CallerId, submission: JobSubmission) {
        let JobSubmission { tenant, key, model, adapter, items, within, max_tokens, accept } = submission;
        if self.stopping.is_some() {
            self.refuse(caller, ErrorKind::Stopping, "submit the job at another node");
            return;
        }
        let max_tokens = match self.check_names(&tenant, &model, adapter.as_ref()) {
            Ok(service_limit) => max_tokens.unwrap_or(service_limit).min(service_limit),
            Err(refusal) => {
                self.answer(caller, CallerAnswer::Refused(refusal));
                return;
            }
        };
        if items.is_empty() || items.len() > MAX_JOB_ITEMS {
            let detail = format!("a job has from 1 to {MAX_JOB_ITEMS} items, not {}", items.len());
            self.refuse(caller, ErrorKind::MalformedRequest, detail);
            return;
        }
        let key = key.unwrap_or_else(|| Arc::from(format!("{:016x}", self.random.random::<u64>())));
        let group = group_of(&tenant, &key, self.directory.group_count());
        let hash = hash_parts(&[tenant.as_bytes(), key.as_bytes()]);
        let job = JobId { group, hash };
        let specification = JobSpecification {
            content_digest: content_digest(&model, adapter.as_ref(), max_tokens, &items),
            tenant,
            key,
            model,
            adapter,
            item_count: items.len() as u32,
            deadline: UnixMillis(self.clock.wall_time.0 + within.0),
            max_tokens,
        };
        let command = Command::OpenJob { job, specification: specification.clone(), at: self.clock.wall_time };
        let upload = JobUpload { job, specification, items, accept, accepting: false };
        self.uploads.insert(caller, upload);
        self.command(group, command, Purpose::Upload(caller), STEP_TIMEOUT);
    }

    /// Checks that tenant, model and adapter are configured. Returns the service's token limit.
    pub(super) fn check_names(&self, tenant: &str, model: &str, adapter: Option<&Arc<str>>) -> Result<u32, Refusal> {
        let Some(fleet) = self.fleet() else {
            return Err(Refusal::new(ErrorKind::NotConfigured, "no configuration yet"));
        };
        if !fleet.tenants.contains_key(tenant) {
            return Err(Refusal::new(ErrorKind::UnknownTenant, format!("there is no tenant \"{tenant}\"")));
        }
        let Some(configured_model) = fleet.models.get(model) else {
            return Err(Refusal::new(ErrorKind::UnknownModel, format!("there is no model \"{model}\"")));
        };
        if let Some(adapter) = adapter
            && !configured_model.adapters.contains(adapter)
        {
            let detail = format!("model \"{model}\" has no adapter \"{adapter}\"");
            return Err(Refusal::new(ErrorKind::UnknownAdapter, detail));
        }
        let service = fleet.services.get(&configured_model.service);
        Ok(service.map_or(0, |service| service.max_tokens))
    }

    pub(super) fn on_upload_reply(&mut self, caller: CallerId, reply: GroupReply) {
        let Some(upload) = self.uploads.get(&caller) else { return };
        let GroupReply::Outcome(outcome) = reply else {
            let ran = if upload.accepting { Ran::Unknown } else { Ran::NotRun };
            let detail =
                format!("{}: the job's group did not answer in time; submit again with the same key", upload.job);
            self.fail_upload(caller, Refusal::new(ErrorKind::StateUnavailable, detail).with_ran(ran));
            return;
        };
        match outcome {
            CommandOutcome::JobOpen { phase: JobPhase::Accepted, .. } => self.finish_upload(caller),
            CommandOutcome::JobOpen { phase: JobPhase::Cancelled, .. } | CommandOutcome::JobCancelled => {
                let detail = format!("{} was cancelled", upload.job);
                self.fail_upload(caller, Refusal::new(ErrorKind::JobCancelled, detail));
            }
            CommandOutcome::JobOpen { phase: JobPhase::Uploading, received }
            | CommandOutcome::ItemsMissing { received } => self.continue_upload(caller, received),
            CommandOutcome::JobConflict => {
                let detail = format!("key \"{}\" was used for another job", upload.specification.key);
                self.fail_upload(caller, Refusal::new(ErrorKind::KeyConflict, detail));
            }
            _ => {
                let detail = format!("{}: unexpected outcome", upload.job);
                self.fail_upload(caller, Refusal::new(ErrorKind::Internal, detail));
            }
        }
    }

    fn continue_upload(&mut self, caller: CallerId, received: u32) {
        let Some(upload) = self.uploads.get_mut(&caller) else { return };
        let job = upload.job;
        if received >= upload.specification.item_count {
            if !upload.accept {
                self.finish_upload(caller);
                return;
            }
            upload.accepting = true;
            self.command(job.group, Command::AcceptJob { job }, Purpose::Upload(caller), STEP_TIMEOUT);
            return;
        }
        let items = take_chunk(&upload.items[received as usize..]);
        let command = Command::AddItems { job, first: received, items };
        self.command(job.group, command, Purpose::Upload(caller), STEP_TIMEOUT);
    }

    fn finish_upload(&mut self, caller: CallerId) {
        let Some(upload) = self.uploads.remove(&caller) else { return };
        let job = upload.job;
        self.query(job.group, Query::JobStatus { job }, Purpose::JobStatus(caller, job), READ_TIMEOUT);
    }

    fn fail_upload(&mut self, caller: CallerId, refusal: Refusal) {
        self.uploads.remove(&caller);
        self.answer(caller, CallerAnswer::Refused(refusal));
    }

    pub(super) fn on_job_status(&mut self, caller: CallerId, job: JobId, reply: GroupReply) {
        match reply {
            GroupReply::Answer(QueryAnswer::Job(summary)) => self.answer(caller, CallerAnswer::Job { job, summary }),
            GroupReply::Answer(QueryAnswer::UnknownJob) => {
                self.refuse(caller, ErrorKind::UnknownJob, job.to_string());
            }
            _ => self.refuse(caller, ErrorKind::StateUnavailable, format!("{job}: its group did not answer in time")),
        }
    }

    pub(super) fn on_job_list(&mut self, caller: CallerId, reply: GroupReply) {
        let group_count = self.directory.group_count();
        match reply {
            GroupReply::Answer(QueryAnswer::Jobs(jobs)) => {
                self.answer(caller, CallerAnswer::Jobs { jobs, group_count })
            }
            _ => self.refuse(caller, ErrorKind::StateUnavailable, "a group did not answer in time"),
        }
    }

    pub(super) fn on_job_results(&mut self, caller: CallerId, reply: GroupReply) {
        match reply {
            GroupReply::Answer(QueryAnswer::Results { results, next }) => {
                self.answer(caller, CallerAnswer::Results { results, next });
            }
            GroupReply::Answer(QueryAnswer::UnknownJob) => self.refuse(caller, ErrorKind::UnknownJob, "no such job"),
            _ => self.refuse(caller, ErrorKind::StateUnavailable, "the job's group did not answer in time"),
        }
    }

    pub(super) fn on_job_accepted(&mut self, caller: CallerId, job: JobId, reply: GroupReply) {
        match reply {
            GroupReply::Outcome(CommandOutcome::UnknownJob) => {
                self.refuse(caller, ErrorKind::UnknownJob, job.to_string());
            }
            GroupReply::Outcome(CommandOutcome::ItemsMissing { received }) => {
                let detail = format!("{job}: only {received} items have arrived; upload it again with the same key");
                self.refuse(caller, ErrorKind::MalformedRequest, detail);
            }
            GroupReply::Outcome(CommandOutcome::JobCancelled) => {
                self.refuse(caller, ErrorKind::JobCancelled, job.to_string());
            }
            GroupReply::Outcome(_) => {
                self.query(job.group, Query::JobStatus { job }, Purpose::JobStatus(caller, job), READ_TIMEOUT);
            }
            _ => {
                let detail = format!("{job}: its group did not answer in time; accept it again");
                let refusal = Refusal::new(ErrorKind::StateUnavailable, detail).with_ran(Ran::Unknown);
                self.answer(caller, CallerAnswer::Refused(refusal));
            }
        }
    }

    pub(super) fn on_job_cancelled(&mut self, caller: CallerId, job: JobId, reply: GroupReply) {
        match reply {
            GroupReply::Outcome(CommandOutcome::UnknownJob) => {
                self.refuse(caller, ErrorKind::UnknownJob, job.to_string());
            }
            GroupReply::Outcome(_) => {
                self.query(job.group, Query::JobStatus { job }, Purpose::JobStatus(caller, job), READ_TIMEOUT);
            }
            _ => {
                let detail = format!("{job}: its group did not answer in time; cancel again");
                let refusal = Refusal::new(ErrorKind::StateUnavailable, detail).with_ran(Ran::Unknown);
                self.answer(caller, CallerAnswer::Refused(refusal));
            }
        }
    }
}

fn content_digest(model: &str, adapter: Option<&Arc<str>>, max_tokens: u32, items: &[NewItem]) -> u64 {
    let adapter: &[u8] = adapter.map_or(b"", |adapter| adapter.as_bytes());
    let limit = max_tokens.to_le_bytes();
    let mut parts: Vec<&[u8]> = vec![model.as_bytes(), adapter, &limit];
    parts.extend(items.iter().flat_map(|item| [item.label.as_bytes(), item.prompt.as_bytes()]));
    hash_parts(&parts)
}

fn take_chunk(items: &[NewItem]) -> Vec<NewItem> {
    let mut chunk = Vec::new();
    let mut bytes = 0;
    for item in items.iter().take(MAX_CHUNK_ITEMS) {
        bytes += item.label.len() + item.prompt.len();
        if !chunk.is_empty() && bytes > MAX_CHUNK_BYTES {
            break;
        }
        chunk.push(item.clone());
    }
    chunk
}
