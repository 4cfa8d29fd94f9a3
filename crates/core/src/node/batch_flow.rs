//! Runs batch items within the limits granted by engine stewards.
//!
//! Owns the streams of batch items and the results not yet recorded by their groups. The limits come
//! from `batch_demand`, the jobs from the groups that this node leads.

use std::collections::{BTreeMap, BTreeSet};

use super::effect::{Effect, EngineRequest, RequestClass};
use super::event::StreamEvent;
use super::group_client::{GroupReply, Purpose};
use super::machine::Node;
use crate::identity::{AttemptId, EngineName, JobId};
use crate::node::configuration::FleetConfiguration;
use crate::node::partition::{Command, CommandOutcome, CompletedItem, ItemResult, ItemVerdict};
use crate::node::scheduling::{BatchDispatcher, JobRank, StreamEnd};
use crate::time::{Millis, Timestamp, UnixMillis};

/// Interval between capacity requests to the stewards.
const CAPACITY_REQUEST_INTERVAL: Millis = Millis(400);
/// Time without a chunk after which a batch stream is considered failed.
const STREAM_IDLE_TIMEOUT: Millis = Millis(20_000);
/// Time allowed for recording results before the items become startable again.
const RECORD_TIMEOUT: Millis = Millis(10_000);
/// Interval at which expired state is removed.
const FORGET_INTERVAL: Millis = Millis(600_000);

/// Batch scheduling state of a node.
pub(super) struct BatchState {
    pub(super) dispatcher: BatchDispatcher,
    /// Set when a change may allow streams to start or require them to end.
    pub(super) is_dirty: bool,
    /// Engines whose steward must be sent this node's number of online requests.
    pub(super) notices_due: BTreeSet<EngineName>,
    pub(super) next_notice: Timestamp,
    next_capacity_request: Timestamp,
    next_forget: Timestamp,
    /// Engines whose steward has a current capacity request from this node.
    pub(super) requested: BTreeSet<EngineName>,
    results: BTreeMap<JobId, Vec<CompletedItem>>,
}

impl BatchState {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            dispatcher: BatchDispatcher::default(),
            is_dirty: false,
            notices_due: BTreeSet::new(),
            next_notice: now,
            next_capacity_request: now,
            next_forget: now + FORGET_INTERVAL,
            requested: BTreeSet::new(),
            results: BTreeMap::new(),
        }
    }
}

/// The properties of a running job that scheduling needs.
pub(super) struct RunnableJob {
    pub(super) job: JobId,
    pub(super) item_count: u32,
    pub(super) service: std::sync::Arc<str>,
    pub(super) tenant: std::sync::Arc<str>,
    pub(super) weight: u32,
    pub(super) deadline: UnixMillis,
}

impl Node {
    pub(super) fn tick_batch(&mut self) {
        let now = self.clock.now;
        self.fail_idle_streams();
        self.schedule_batch();
        if now >= self.batch.next_capacity_request {
            self.batch.next_capacity_request = now + CAPACITY_REQUEST_INTERVAL;
            self.request_capacity();
        }
        if now >= self.batch.next_forget {
            self.batch.next_forget = now + FORGET_INTERVAL;
            self.forget_old_state();
        }
    }

    /// Stops streams of ended jobs, then starts items while engines have capacity.
    pub(super) fn schedule_batch(&mut self) {
        self.batch.is_dirty = false;
        let Some(fleet) = self.fleet() else { return };
        self.abandon_ended_jobs();
        if self.stopping.is_some() {
            return;
        }
        let jobs = self.runnable_jobs(&fleet);
        if jobs.is_empty() {
            return;
        }
        if self.batch.requested.is_empty() {
            // Avoids delaying the first job until the next periodic capacity request.
            self.request_capacity();
        }
        loop {
            let started = self.start_round(&jobs);
            if started == 0 {
                break;
            }
        }
    }

    /// Starts at most one stream per engine with free capacity, to spread streams evenly. Returns the
    /// number of streams started.
    fn start_round(&mut self, jobs: &[RunnableJob]) -> usize {
        let now = self.clock.now;
        let mut started = 0;
        for engine in self.batch.dispatcher.engines_with_capacity(now) {
            let Some(state) = self.engines.get(&engine).filter(|state| state.is_usable(now)) else { continue };
            let service = state.configured.service.clone();
            let Some(index) = self.best_job(jobs, &service) else { continue };
            if self.start_next_item(&jobs[index], &engine) {
                started += 1;
            }
        }
        started
    }

    pub(super) fn runnable_jobs(&self, fleet: &FleetConfiguration) -> Vec<RunnableJob> {
        let mut jobs = Vec::new();
        for (_, hosted) in self.groups.led() {
            for (id, job) in hosted.state.running_jobs() {
                let specification = &job.specification;
                let Some(service) = fleet.service_of_model(&specification.model) else { continue };
                jobs.push(RunnableJob {
                    job: id,
                    item_count: specification.item_count,
                    service: service.name.clone(),
                    tenant: specification.tenant.clone(),
                    weight: fleet.tenants.get(&specification.tenant).map_or(1, |tenant| tenant.batch_weight),
                    deadline: specification.deadline,
                });
            }
        }
        jobs
    }

    fn best_job(&self, jobs: &[RunnableJob], service: &str) -> Option<usize> {
        let now = self.clock.now;
        let mut best: Option<(JobRank, usize)> = None;
        for (index, job) in jobs.iter().enumerate() {
            let startable =
                &*job.service == service && self.batch.dispatcher.has_startable(job.job, job.item_count, now);
            if !startable {
                continue;
            }
            let usage = &self.batch.dispatcher.usage;
            let rank = usage.rank(&job.tenant, job.weight, job.deadline, self.clock.wall_time);
            if best.as_ref().is_none_or(|(lowest, _)| rank < *lowest) {
                best = Some((rank, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// Starts the job's next startable item. Returns whether an item was started.
    fn start_next_item(&mut self, job: &RunnableJob, engine: &EngineName) -> bool {
        let now = self.clock.now;
        while let Some(item) = self.batch.dispatcher.next_item(job.job, job.item_count, now) {
            if self.start_item(job, item, engine) {
                return true;
            }
        }
        false
    }

    fn start_item(&mut self, job: &RunnableJob, item: u32, engine: &EngineName) -> bool {
        let now = self.clock.now;
        let Some(state) = self.engines.get(engine) else { return false };
        let address = state.configured.address;
        let Some(fleet) = self.fleet() else { return false };
        let Some(service) = fleet.services.get(&job.service) else { return false };
        let hosted = self.groups.get(job.job.group);
        let stored = hosted.and_then(|hosted| hosted.state.job(job.job));
        let Some(stored) = stored else { return false };
        let Some(prompt) = stored.items.get(item as usize).and_then(|item| item.prompt.clone()) else { return false };
        let specification = stored.specification.clone();
        let attempt = self.new_attempt_id();
        let from_token =
            self.batch.dispatcher.register(attempt, job.job, item, job.tenant.clone(), engine.clone(), now);
        self.batch.dispatcher.delay_next_start(engine, service.batch_start_interval, now);
        self.counters.batch_started += 1;
        self.effects.push(Effect::StartStream(EngineRequest {
            attempt,
            engine: engine.clone(),
            address,
            class: RequestClass::Batch,
            priority: service.batch_priority,
            model: specification.model,
            adapter: specification.adapter,
            prompt,
            max_tokens: specification.max_tokens,
            from_token,
            repeatable: true,
        }));
        true
    }

    /// Stops the streams of jobs that have ended or whose group this node no longer leads.
    fn abandon_ended_jobs(&mut self) {
        let tracked_jobs = self.batch.dispatcher.known_jobs();
        for job in tracked_jobs {
            let is_running = self.groups.get(job.group).is_some_and(|hosted| {
                let stored = hosted.state.job(job);
                hosted.replica.is_leader()
                    && stored.is_some_and(|stored| {
                        stored.phase == crate::node::partition::JobPhase::Accepted && !stored.has_ended()
                    })
            });
            if is_running {
                continue;
            }
            for attempt in self.batch.dispatcher.forget_job(job) {
                self.stop_stream(attempt, StreamEnd::Abandoned);
            }
            self.batch.results.remove(&job);
        }
    }

    pub(super) fn stop_stream(&mut self, attempt: AttemptId, end: StreamEnd) {
        self.effects.push(Effect::CancelStream { attempt });
        self.batch.dispatcher.finish(attempt, end, self.clock.now);
    }

    /// Stops all batch streams and withdraws all capacity requests, for a graceful shutdown.
    pub(super) fn stop_batch(&mut self) {
        let attempts: Vec<AttemptId> = self.batch.dispatcher.streams().map(|(attempt, _)| attempt).collect();
        for attempt in attempts {
            self.stop_stream(attempt, StreamEnd::Paused);
        }
        self.cancel_capacity_requests();
    }

    fn fail_idle_streams(&mut self) {
        let now = self.clock.now;
        let idle: Vec<(AttemptId, EngineName)> = self
            .batch
            .dispatcher
            .streams()
            .filter(|(_, stream)| now.since(stream.last_chunk) >= STREAM_IDLE_TIMEOUT)
            .map(|(attempt, stream)| (attempt, stream.engine.clone()))
            .collect();
        for (attempt, engine) in idle {
            self.stop_stream(attempt, StreamEnd::Failed);
            self.record_engine_failure(&engine);
        }
    }

    // Chunks and results.

    pub(super) fn on_batch_stream(&mut self, attempt: AttemptId, event: StreamEvent) {
        match event {
            StreamEvent::Chunk { first, tokens, text, .. } => self.on_batch_chunk(attempt, first, tokens, &text),
            StreamEvent::End { length, .. } => self.on_batch_end(attempt, length),
            StreamEvent::Rejected { detail } => {
                let verdict = ItemVerdict::Rejected(detail.into());
                self.complete_item(attempt, verdict);
            }
            StreamEvent::Refused { leaving } => {
                self.fail_batch_stream(attempt, leaving);
            }
            StreamEvent::NotSent | StreamEvent::Broken { .. } => self.fail_batch_stream(attempt, false),
        }
        self.batch.is_dirty = true;
    }

    fn on_batch_chunk(&mut self, attempt: AttemptId, first: u32, tokens: u32, text: &str) {
        let now = self.clock.now;
        let Some(stream) = self.batch.dispatcher.stream_mut(attempt) else { return };
        stream.last_chunk = now;
        if first == stream.tokens {
            stream.tokens += tokens;
            stream.text.push_str(text);
            return;
        }
        let is_gap = first > stream.tokens;
        self.counters.pieces_dropped += 1;
        if is_gap {
            self.effects.push(Effect::CancelStream { attempt });
            self.fail_batch_stream(attempt, false);
        }
    }

    fn on_batch_end(&mut self, attempt: AttemptId, length: u32) {
        let is_complete = self.batch.dispatcher.stream_mut(attempt).is_some_and(|stream| stream.tokens == length);
        if is_complete {
            self.complete_item(attempt, ItemVerdict::Completed);
        } else {
            self.fail_batch_stream(attempt, false);
        }
    }

    fn fail_batch_stream(&mut self, attempt: AttemptId, leaving: bool) {
        let Some(stream) = self.batch.dispatcher.finish(attempt, StreamEnd::Failed, self.clock.now) else { return };
        if leaving {
            self.engine_refused_as_leaving(&stream.engine);
        } else {
            self.record_engine_failure(&stream.engine);
        }
    }

    fn complete_item(&mut self, attempt: AttemptId, verdict: ItemVerdict) {
        let Some(stream) = self.batch.dispatcher.finish(attempt, StreamEnd::Complete, self.clock.now) else { return };
        self.engines.record_success(&stream.engine);
        let result =
            ItemResult { attempt, engine: stream.engine, verdict, text: stream.text.into(), tokens: stream.tokens };
        self.batch.results.entry(stream.job).or_default().push(CompletedItem { item: stream.item, result });
    }

    /// Proposes the results collected during one event, with one command per job.
    pub(super) fn flush_results(&mut self) {
        let results = std::mem::take(&mut self.batch.results);
        for (job, results) in results {
            let items = results.iter().map(|completed| completed.item).collect();
            let command = Command::CompleteItems { job, results, at: self.clock.wall_time };
            self.command(job.group, command, Purpose::RecordResults(job, items), RECORD_TIMEOUT);
        }
        if self.batch.is_dirty {
            self.schedule_batch();
        }
    }

    pub(super) fn on_results_recorded(&mut self, job: JobId, items: &[u32], reply: GroupReply) {
        match reply {
            GroupReply::Outcome(CommandOutcome::ItemsCompleted { dropped }) => {
                self.counters.batch_completed += items.len() as u64 - u64::from(dropped);
                self.counters.batch_results_dropped += u64::from(dropped);
                for item in items {
                    self.batch.dispatcher.finish_item(job, *item);
                }
            }
            GroupReply::Outcome(_) => {}
            _ => {
                for item in items {
                    self.batch.dispatcher.retry_lost_proposal(job, *item);
                }
            }
        }
        self.batch.is_dirty = true;
    }

    // Retention.

    fn forget_old_state(&mut self) {
        let Some(fleet) = self.fleet() else { return };
        let before = UnixMillis(self.clock.wall_time.0.saturating_sub(fleet.fleet.retention.0));
        let led: Vec<_> = self.groups.led().map(|(group, _)| group).collect();
        for group in led {
            self.command(group, Command::Forget { before }, Purpose::Forget, RECORD_TIMEOUT);
        }
    }
}
