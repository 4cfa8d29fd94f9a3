//! What a node that leads groups keeps of its batch streams and of the limits it was granted.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::fairness::TenantUsage;
use crate::backoff::Backoff;
use crate::identity::{AttemptId, EngineName, JobId};
use crate::time::{Millis, Timestamp};

/// How long an item waits after a failure.
const ITEM_BACKOFF: Backoff = Backoff::new(Millis(200), Millis(10_000));

/// A limit that a steward granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLimit {
    /// Most batch streams there.
    pub limit: u32,
    /// Until when the limit allows new streams.
    pub until: Timestamp,
}

/// One batch item that runs on an engine.
#[derive(Clone, Debug)]
pub struct BatchStream {
    /// The job.
    pub job: JobId,
    /// The item's place.
    pub item: u32,
    /// Whose job it is.
    pub tenant: Arc<str>,
    /// The engine.
    pub engine: EngineName,
    /// The answer so far.
    pub text: String,
    /// Tokens received so far, those of earlier attempts included.
    pub tokens: u32,
    /// When this attempt started.
    pub started: Timestamp,
    /// When the latest piece came.
    pub last_piece: Timestamp,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The answer is whole.
    Whole,
    /// It was paused to make room, and resumes from where it was.
    Paused,
    /// It failed; the item waits a little before its next attempt.
    Failed,
    /// It is not wanted any more.
    Abandoned,
}

/// The part of an answer that an item keeps between attempts.
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

/// An item's name.
type ItemKey = (JobId, u32);

/// Batch streams of one node.
#[derive(Clone, Debug, Default)]
pub struct BatchDispatcher {
    limits: BTreeMap<EngineName, EngineLimit>,
    /// No stream starts at an engine before this.
    next_start: BTreeMap<EngineName, Timestamp>,
    streams: BTreeMap<AttemptId, BatchStream>,
    by_engine: BTreeMap<EngineName, BTreeSet<AttemptId>>,
    in_flight: BTreeSet<ItemKey>,
    partials: BTreeMap<ItemKey, PartialAnswer>,
    retry_delays: BTreeMap<ItemKey, RetryDelay>,
    /// Items whose result is proposed and not yet committed.
    proposed: BTreeSet<ItemKey>,
    /// The first item of a job that was never started.
    cursors: BTreeMap<JobId, u32>,
    /// Started items below the cursor that need another attempt.
    retries: BTreeMap<JobId, BTreeSet<u32>>,
    /// Streams by tenant.
    pub usage: TenantUsage,
}

impl BatchDispatcher {
    /// Takes a limit.
    pub fn granted(&mut self, engine: EngineName, limit: EngineLimit) {
        self.limits.insert(engine, limit);
    }

    /// How many more streams may start at an engine.
    pub fn room(&self, engine: &EngineName, now: Timestamp) -> u32 {
        let Some(limit) = self.limits.get(engine) else { return 0 };
        if now >= limit.until {
            return 0;
        }
        limit.limit.saturating_sub(self.streams_at(engine) as u32)
    }

    /// Notes a start, and when the next may be.
    pub fn pace(&mut self, engine: &EngineName, interval: Millis, now: Timestamp) {
        self.next_start.insert(engine.clone(), now + interval);
    }

    /// Engines with room for more streams.
    pub fn engines_with_room(&self, now: Timestamp) -> Vec<EngineName> {
        let is_due = |engine: &&EngineName| self.next_start.get(*engine).is_none_or(|at| now >= *at);
        self.limits.keys().filter(is_due).filter(|engine| self.room(engine, now) > 0).cloned().collect()
    }

    /// Streams at an engine.
    pub fn streams_at(&self, engine: &EngineName) -> usize {
        self.by_engine.get(engine).map_or(0, BTreeSet::len)
    }

    /// Engines where this node has streams.
    pub fn engines_in_use(&self) -> impl Iterator<Item = &EngineName> {
        self.by_engine.keys()
    }

    /// All streams.
    pub fn streams(&self) -> impl Iterator<Item = (AttemptId, &BatchStream)> {
        self.streams.iter().map(|(attempt, stream)| (*attempt, stream))
    }

    /// One stream.
    pub fn stream_mut(&mut self, attempt: AttemptId) -> Option<&mut BatchStream> {
        self.streams.get_mut(&attempt)
    }

    /// Whether an attempt is one of this node's batch streams.
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.streams.contains_key(&attempt)
    }

    /// Streams above an engine's limit: the ones with the fewest tokens, so that the least is set back.
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

    /// The item of a job to start next, given the job's size.
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

    /// Whether a job has an item that could start now.
    pub fn has_startable(&self, job: JobId, item_count: u32, now: Timestamp) -> bool {
        let fresh = self.cursors.get(&job).copied().unwrap_or(0) < item_count;
        fresh || self.first_ready_retry(job, now).is_some()
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

    /// Puts an item back that could not be started.
    pub fn requeue(&mut self, job: JobId, item: u32) {
        self.retries.entry(job).or_default().insert(item);
    }

    /// Starts a stream. Returns the token to resume from.
    pub fn started(
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
        self.usage.started(&tenant);
        self.by_engine.entry(engine.clone()).or_default().insert(attempt);
        let stream = BatchStream { job, item, tenant, engine, text, tokens, started: now, last_piece: now };
        self.streams.insert(attempt, stream);
        tokens
    }

    /// Ends a stream and files what is left of its item.
    pub fn ended(&mut self, attempt: AttemptId, end: StreamEnd, now: Timestamp) -> Option<BatchStream> {
        let stream = self.streams.remove(&attempt)?;
        let key = (stream.job, stream.item);
        self.in_flight.remove(&key);
        self.usage.ended(&stream.tenant);
        if let Some(attempts) = self.by_engine.get_mut(&stream.engine) {
            attempts.remove(&attempt);
            if attempts.is_empty() {
                self.by_engine.remove(&stream.engine);
            }
        }
        match end {
            StreamEnd::Whole => {
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

    /// A result was committed, or will never be.
    pub fn settled(&mut self, job: JobId, item: u32) {
        self.proposed.remove(&(job, item));
        self.retry_delays.remove(&(job, item));
    }

    /// A result's proposal was lost: the item needs another attempt.
    pub fn proposal_lost(&mut self, job: JobId, item: u32) {
        if self.proposed.remove(&(job, item)) {
            self.requeue(job, item);
        }
    }

    /// Drops everything about a job and returns its streams.
    pub fn forget_job(&mut self, job: JobId) -> Vec<AttemptId> {
        self.cursors.remove(&job);
        self.retries.remove(&job);
        self.partials.retain(|(other, _), _| *other != job);
        self.retry_delays.retain(|(other, _), _| *other != job);
        self.proposed.retain(|(other, _)| *other != job);
        let of_job = self.streams.iter().filter(|(_, stream)| stream.job == job);
        of_job.map(|(attempt, _)| *attempt).collect()
    }

    /// Jobs that this dispatcher holds anything of.
    pub fn known_jobs(&self) -> BTreeSet<JobId> {
        let streams = self.streams.values().map(|stream| stream.job);
        self.cursors.keys().copied().chain(streams).collect()
    }

    /// Items that run or wait for their result to be committed.
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
