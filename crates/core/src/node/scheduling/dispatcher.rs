//! Tracks the batch streams of a node and the limits granted to it by stewards.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::fairness::TenantUsage;
use crate::backoff::Backoff;
use crate::identity::{AttemptId, EngineName, JobId};
use crate::time::{Millis, Timestamp};

/// Delay before a failed item is retried.
const ITEM_BACKOFF: Backoff = Backoff::new(Millis(200), Millis(10_000));

/// A limit granted by a steward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLimit {
    /// Maximum number of batch streams at the engine.
    pub limit: u32,
    /// Time at which the grant expires and no new streams may start.
    pub until: Timestamp,
}

/// A batch item running on an engine.
#[derive(Clone, Debug)]
pub struct BatchStream {
    /// ID of the job.
    pub job: JobId,
    /// Index of the item in the job.
    pub item: u32,
    /// Tenant that owns the job.
    pub tenant: Arc<str>,
    /// Engine that runs the item.
    pub engine: EngineName,
    /// Text received so far, including that of earlier attempts.
    pub text: String,
    /// Number of tokens received so far, including those of earlier attempts.
    pub tokens: u32,
    /// Start time of this attempt.
    pub started: Timestamp,
    /// Time at which the latest chunk was received.
    pub last_chunk: Timestamp,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The answer is complete.
    Complete,
    /// The stream was paused to free capacity and will resume after the last token received.
    Paused,
    /// The stream failed; the item is retried after a backoff delay.
    Failed,
    /// The result is no longer needed.
    Abandoned,
}

/// Partial answer of an item, retained between attempts.
#[derive(Clone, Debug, Default)]
struct PartialAnswer {
    text: String,
    tokens: u32,
}

#[derive(Clone, Copy, Debug)]
struct RetryDelay {
    failures: u32,
    until: Timestamp,
}

type ItemKey = (JobId, u32);

/// Batch streams of a node, the limits they run under, and the items awaiting another attempt.
#[derive(Clone, Debug, Default)]
pub struct BatchDispatcher {
    limits: BTreeMap<EngineName, EngineLimit>,
    /// Earliest time at which the next stream may start, by engine.
    next_start: BTreeMap<EngineName, Timestamp>,
    streams: BTreeMap<AttemptId, BatchStream>,
    by_engine: BTreeMap<EngineName, BTreeSet<AttemptId>>,
    in_flight: BTreeSet<ItemKey>,
    partials: BTreeMap<ItemKey, PartialAnswer>,
    retry_delays: BTreeMap<ItemKey, RetryDelay>,
    /// Items whose result is proposed but not yet committed.
    proposed: BTreeSet<ItemKey>,
    /// Index of the first item that was never started, by job.
    cursors: BTreeMap<JobId, u32>,
    /// Items below the cursor that need another attempt, by job.
    retries: BTreeMap<JobId, BTreeSet<u32>>,
    /// Number of streams by tenant, used to rank jobs.
    pub usage: TenantUsage,
}

impl BatchDispatcher {
    /// Records a limit granted for an engine.
    pub fn set_limit(&mut self, engine: EngineName, limit: EngineLimit) {
        self.limits.insert(engine, limit);
    }

    /// Returns the number of additional streams that may start at an engine.
    pub fn free_capacity(&self, engine: &EngineName, now: Timestamp) -> u32 {
        let Some(limit) = self.limits.get(engine) else { return 0 };
        if now >= limit.until {
            return 0;
        }
        limit.limit.saturating_sub(self.streams_at(engine) as u32)
    }

    /// Delays the next start at an engine by `interval`.
    pub fn delay_next_start(&mut self, engine: &EngineName, interval: Millis, now: Timestamp) {
        self.next_start.insert(engine.clone(), now + interval);
    }

    /// Returns the engines at which a stream may start now.
    pub fn engines_with_capacity(&self, now: Timestamp) -> Vec<EngineName> {
        let is_due = |engine: &&EngineName| self.next_start.get(*engine).is_none_or(|at| now >= *at);
        self.limits.keys().filter(is_due).filter(|engine| self.free_capacity(engine, now) > 0).cloned().collect()
    }

    /// Returns the number of streams at an engine.
    pub fn streams_at(&self, engine: &EngineName) -> usize {
        self.by_engine.get(engine).map_or(0, BTreeSet::len)
    }

    /// Returns an iterator over the engines at which this node has streams.
    pub fn engines_in_use(&self) -> impl Iterator<Item = &EngineName> {
        self.by_engine.keys()
    }

    /// Returns an iterator over all streams.
    pub fn streams(&self) -> impl Iterator<Item = (AttemptId, &BatchStream)> {
        self.streams.iter().map(|(attempt, stream)| (*attempt, stream))
    }

    /// Returns the stream of an attempt.
    pub fn stream_mut(&mut self, attempt: AttemptId) -> Option<&mut BatchStream> {
        self.streams.get_mut(&attempt)
    }

    /// Returns whether an attempt is an active batch stream.
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.streams.contains_key(&attempt)
    }

    /// Returns the streams that exceed an engine's limit. Those with the fewest tokens are selected, since
    /// they lose the least progress.
    pub fn excess(&self, engine: &EngineName) -> Vec<AttemptId> {
        let limit = self.limits.get(engine).map_or(0, |limit| limit.limit) as usize;
        let mut attempts: Vec<(u32, AttemptId)> = self
            .by_engine
            .get(engine)
            .into_iter()
            .flatten()
            .filter_map(|attempt| Some((self.streams.get(attempt)?.tokens, *attempt)))
            .collect();
        attempts.sort_unstable();
        let count = attempts.len().saturating_sub(limit);
        attempts.into_iter().take(count).map(|(_, attempt)| attempt).collect()
    }

    /// Returns the next item of a job to start; retries take precedence over items never started.
    pub fn next_item(&mut self, job: JobId, item_count: u32, now: Timestamp) -> Option<u32> {
        if let Some(item) = self.next_retry(job, now) {
            return Some(item);
        }
        let cursor = self.cursors.entry(job).or_default();
        if *cursor >= item_count {
            return None;
        }
        *cursor += 1;
        Some(*cursor - 1)
    }

    /// Returns whether a job has an item that can start now.
    pub fn has_startable(&self, job: JobId, item_count: u32, now: Timestamp) -> bool {
        let has_unstarted = self.cursors.get(&job).copied().unwrap_or(0) < item_count;
        has_unstarted || self.first_ready_retry(job, now).is_some()
    }

    fn first_ready_retry(&self, job: JobId, now: Timestamp) -> Option<u32> {
        let waiting = self.retries.get(&job)?;
        let is_ready = |item: &&u32| self.retry_delays.get(&(job, **item)).is_none_or(|delay| now >= delay.until);
        waiting.iter().find(is_ready).copied()
    }

    fn next_retry(&mut self, job: JobId, now: Timestamp) -> Option<u32> {
        let item = self.first_ready_retry(job, now)?;
        let waiting = self.retries.get_mut(&job)?;
        waiting.remove(&item);
        if waiting.is_empty() {
            self.retries.remove(&job);
        }
        Some(item)
    }

    /// Queues an item for another attempt.
    pub fn requeue(&mut self, job: JobId, item: u32) {
        self.retries.entry(job).or_default().insert(item);
    }

    /// Registers a stream. Returns the index of the token to resume from.
    pub fn register(
        &mut self,
        attempt: AttemptId,
        job: JobId,
        item: u32,
        tenant: Arc<str>,
        engine: EngineName,
        now: Timestamp,
    ) -> u32 {
        let key = (job, item);
        let PartialAnswer { text, tokens } = self.partials.remove(&key).unwrap_or_default();
        self.in_flight.insert(key);
        self.usage.increment(&tenant);
        self.by_engine.entry(engine.clone()).or_default().insert(attempt);
        let stream = BatchStream { job, item, tenant, engine, text, tokens, started: now, last_chunk: now };
        self.streams.insert(attempt, stream);
        tokens
    }

    /// Removes a stream and updates the state of its item according to how the stream ended.
    pub fn finish(&mut self, attempt: AttemptId, end: StreamEnd, now: Timestamp) -> Option<BatchStream> {
        let stream = self.streams.remove(&attempt)?;
        let key = (stream.job, stream.item);
        self.in_flight.remove(&key);
        self.usage.decrement(&stream.tenant);
        if let Some(attempts) = self.by_engine.get_mut(&stream.engine) {
            attempts.remove(&attempt);
            if attempts.is_empty() {
                self.by_engine.remove(&stream.engine);
            }
        }
        match end {
            StreamEnd::Complete => {
                self.proposed.insert(key);
            }
            StreamEnd::Abandoned => {}
            StreamEnd::Paused => self.store_partial(key, &stream),
            StreamEnd::Failed => {
                self.store_partial(key, &stream);
                self.back_off(key, now);
            }
        }
        Some(stream)
    }

    /// Records that the result of an item was committed or is no longer needed.
    pub fn finish_item(&mut self, job: JobId, item: u32) {
        self.proposed.remove(&(job, item));
        self.retry_delays.remove(&(job, item));
    }

    /// Queues an item for another attempt after the proposal of its result was lost.
    pub fn retry_lost_proposal(&mut self, job: JobId, item: u32) {
        if self.proposed.remove(&(job, item)) {
            self.requeue(job, item);
        }
    }

    /// Drops the queued state of a job and returns its active streams, which the caller must end.
    pub fn forget_job(&mut self, job: JobId) -> Vec<AttemptId> {
        self.cursors.remove(&job);
        self.retries.remove(&job);
        self.partials.retain(|(other, _), _| *other != job);
        self.retry_delays.retain(|(other, _), _| *other != job);
        self.proposed.retain(|(other, _)| *other != job);
        let of_job = self.streams.iter().filter(|(_, stream)| stream.job == job);
        of_job.map(|(attempt, _)| *attempt).collect()
    }

    /// Returns the jobs that the dispatcher has started to process.
    pub fn known_jobs(&self) -> BTreeSet<JobId> {
        let streams = self.streams.values().map(|stream| stream.job);
        self.cursors.keys().copied().chain(streams).collect()
    }

    /// Returns the number of items that are running or whose result is not yet committed.
    pub fn in_progress(&self) -> usize {
        self.in_flight.len() + self.proposed.len()
    }

    fn store_partial(&mut self, key: ItemKey, stream: &BatchStream) {
        self.partials.insert(key, PartialAnswer { text: stream.text.clone(), tokens: stream.tokens });
        self.requeue(key.0, key.1);
    }

    fn back_off(&mut self, key: ItemKey, now: Timestamp) {
        let failures = self.retry_delays.get(&key).map_or(0, |delay| delay.failures) + 1;
        let until = now + ITEM_BACKOFF.wait(failures - 1);
        self.retry_delays.insert(key, RetryDelay { failures, until });
    }
}
