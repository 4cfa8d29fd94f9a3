//! Which item runs next, and what follows from how a run ended. Only the table's leader dispatches.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::command::{ItemKey, ItemProgress, ItemState, JobCommand, JobKey, LoggedOutput, PartialOutput};
use super::table::{Job, JobTable};
use crate::backoff::Backoff;
use crate::time::{Millis, Timestamp, UnixMillis};

/// The wait after a run that failed or broke off.
const RUN_BACKOFF: Backoff = Backoff::new(Millis(40), Millis(640));

/// Progress is logged once an item has put out this many events more.
const PROGRESS_EVENTS: u64 = 24;

/// How a run of an item ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The whole output came.
    Completed,
    /// The worker says that the item can never be done.
    Impossible,
    /// The worker failed the item.
    Failed,
    /// The run broke off; what came so far is kept.
    BrokenOff,
    /// The run was stopped for online requests; what came so far is kept.
    Paused,
    /// The item did not run.
    NotRun,
}

impl RunEnd {
    /// A short name, for figures.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::Impossible => "impossible",
            Self::Failed => "failed",
            Self::BrokenOff => "broken_off",
            Self::Paused => "paused",
            Self::NotRun => "not_run",
        }
    }
}

/// An item that runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningItem {
    /// The item.
    pub key: ItemKey,
    /// Its run; a younger one has the greater number.
    pub run: u64,
    /// The id of the last event that it has put out, 0 for none.
    pub events: u64,
}

#[derive(Clone, Debug)]
enum Phase {
    Ready,
    Delayed { until: Timestamp },
    Running,
    Finished { state: ItemState },
}

#[derive(Clone, Debug)]
struct Progress {
    phase: Phase,
    due: UnixMillis,
    failures: u32,
    delays: u32,
    output: PartialOutput,
    /// How much of the output the log has, proposals under way included.
    logged: LoggedOutput,
    /// When the last run began, and after which event.
    started_at: Timestamp,
    started_after: u64,
}

/// How long whole runs take, from those that ended, so that an item that can't be in time any more is
/// known early.
#[derive(Clone, Copy, Debug)]
struct RunEstimate {
    /// Events in a whole output.
    events: f64,
    /// Milliseconds for each event.
    ms_per_event: f64,
}

impl Default for RunEstimate {
    fn default() -> Self {
        Self { events: 1.0, ms_per_event: 0.0 }
    }
}

impl RunEstimate {
    /// Notes a run that put out `events` events in `took`.
    fn note(&mut self, events: u64, is_whole: bool, took: Millis) {
        const WEIGHT: f64 = 0.1;
        if events == 0 {
            return;
        }
        let is_first = self.ms_per_event == 0.0;
        let ms_per_event = took.0 as f64 / events as f64;
        let weight = if is_first { 1.0 } else { WEIGHT };
        self.ms_per_event += (ms_per_event - self.ms_per_event) * weight;
        if is_whole {
            let weight = if self.events == 1.0 { 1.0 } else { WEIGHT };
            self.events += (events as f64 - self.events) * weight;
        }
    }

    /// How long an item with so many events behind it still takes.
    fn remaining(&self, events_done: u64) -> Millis {
        Millis(((self.events - events_done as f64).max(0.0) * self.ms_per_event) as u64)
    }
}

/// The items without a result, and how far each is.
///
/// Ready items run in the order of their due time, but those that can't be in time any more come after
/// all that can: under overload the plain order would make every item late.
#[derive(Clone, Debug, Default)]
pub struct Dispatcher {
    estimate: RunEstimate,
    items: BTreeMap<ItemKey, Progress>,
    ready: BTreeSet<(UnixMillis, ItemKey)>,
    delayed: BTreeSet<(Timestamp, ItemKey)>,
    finished: BTreeSet<ItemKey>,
}

impl Dispatcher {
    /// Starts anew from the table: this node became the leader.
    pub fn restart(&mut self, table: &JobTable) {
        *self = Self::default();
        for (_, job) in table.jobs() {
            self.add_job(job);
        }
    }

    /// Drops everything: this node leads no longer.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Adds the open items of a job.
    pub fn add_job(&mut self, job: &Job) {
        let submission = &job.submission;
        let due = UnixMillis(submission.received_at.0 + submission.due.0);
        for item in job.open_items() {
            let key = ItemKey { job: submission.key.clone(), item };
            if self.items.contains_key(&key) {
                continue;
            }
            self.ready.insert((due, key.clone()));
            let output = job.partial(item).cloned().unwrap_or_default();
            let logged = LoggedOutput { bytes: output.text.len(), last_event: output.last_event };
            let progress = Progress {
                phase: Phase::Ready,
                due,
                failures: 0,
                delays: 0,
                output,
                logged,
                started_at: Timestamp::default(),
                started_after: 0,
            };
            self.items.insert(key, progress);
        }
    }

    /// Takes the most urgent item that may run now. `civil` is the time of day, which due times are in.
    pub fn take_next(&mut self, now: Timestamp, civil: UnixMillis) -> Option<(ItemKey, PartialOutput)> {
        self.wake_delayed(now);
        let chosen = self
            .ready
            .iter()
            .find(|(due, key)| {
                let done = self.items.get(key).and_then(|progress| progress.output.last_event).unwrap_or(0);
                civil.0 + self.estimate.remaining(done).0 <= due.0
            })
            .or_else(|| self.ready.first())
            .cloned()?;
        self.ready.remove(&chosen);
        let progress = self.items.get_mut(&chosen.1)?;
        progress.phase = Phase::Running;
        progress.started_at = now;
        progress.started_after = progress.output.last_event.unwrap_or(0);
        Some((chosen.1, std::mem::take(&mut progress.output)))
    }

    /// Puts running items in the order in which they should be paused: first those that can't be in time any more,
    /// then those with the most time to spare. The ones that a pause would make late go last.
    pub fn pause_order(&self, running: &mut [RunningItem], civil: UnixMillis) {
        let spare = |item: &RunningItem| {
            let due = self.items.get(&item.key).map_or(UnixMillis(0), |progress| progress.due);
            let ends = civil.0 + self.estimate.remaining(item.events).0;
            due.0.checked_sub(ends).map(std::cmp::Reverse)
        };
        running.sort_by_cached_key(|item| (spare(item), std::cmp::Reverse(item.run)));
    }

    /// Whether an item may run now.
    pub fn has_ready(&mut self, now: Timestamp) -> bool {
        self.wake_delayed(now);
        !self.ready.is_empty()
    }

    /// Gives back an item that was taken and not sent.
    pub fn put_back(&mut self, key: &ItemKey, output: PartialOutput) {
        if let Some(progress) = self.items.get_mut(key) {
            progress.output = output;
            progress.phase = Phase::Ready;
            self.ready.insert((progress.due, key.clone()));
        }
    }

    /// A run ended. Returns whether a result is to be listed ([`Dispatcher::unlisted`]).
    pub fn run_ended(
        &mut self,
        key: &ItemKey,
        end: &RunEnd,
        output: PartialOutput,
        max_attempts: u32,
        now: Timestamp,
    ) -> bool {
        let Some(progress) = self.items.get_mut(key) else { return false };
        let done = output.last_event.unwrap_or(0);
        let made_progress = done > progress.started_after;
        let whole = *end == RunEnd::Completed && progress.started_after == 0;
        self.estimate.note(done.saturating_sub(progress.started_after), whole, now.since(progress.started_at));
        progress.output = output;
        match end {
            RunEnd::Completed => return self.finish(key, ItemState::Completed),
            RunEnd::Impossible => return self.finish(key, ItemState::GivenUp),
            RunEnd::Failed => {
                progress.failures += 1;
                if progress.failures >= max_attempts {
                    return self.finish(key, ItemState::GivenUp);
                }
            }
            RunEnd::BrokenOff | RunEnd::Paused if made_progress => progress.delays = 0,
            RunEnd::BrokenOff | RunEnd::NotRun | RunEnd::Paused => {}
        }
        self.delay(key, now);
        false
    }

    /// Gives an item up: its route is gone, or its time.
    pub fn give_up(&mut self, key: &ItemKey) -> bool {
        self.finish(key, ItemState::GivenUp)
    }

    /// The commands for results that are not listed yet.
    pub fn unlisted(&self) -> Vec<JobCommand> {
        let command = |key: &ItemKey| {
            let progress = self.items.get(key)?;
            let Phase::Finished { state } = progress.phase else { return None };
            let text = progress.output.text.get(progress.logged.bytes..).unwrap_or_default();
            Some(JobCommand::Finish { key: key.clone(), state, after: progress.logged, text: Arc::from(text) })
        };
        self.finished.iter().filter_map(command).collect()
    }

    /// What a running item has put out beyond what the log has; `None` while that is little.
    pub fn progress_of(&self, key: &ItemKey, output: &PartialOutput) -> Option<ItemProgress> {
        let logged = self.items.get(key)?.logged;
        let is_much = output.last_event.unwrap_or(0) >= logged.last_event.unwrap_or(0) + PROGRESS_EVENTS;
        let text = output.text.get(logged.bytes..).filter(|_| is_much)?;
        Some(ItemProgress { key: key.clone(), after: logged, text: Arc::from(text), last_event: output.last_event })
    }

    /// Progress was proposed: what follows goes on from there.
    pub fn progress_proposed(&mut self, progress: &ItemProgress) {
        if let Some(item) = self.items.get_mut(&progress.key) {
            let bytes = progress.after.bytes + progress.text.len();
            item.logged = LoggedOutput { bytes, last_event: progress.last_event };
        }
    }

    /// Items of a job that run, for a job that ended. The job is forgotten.
    pub fn remove_job(&mut self, job: &JobKey) -> Vec<ItemKey> {
        let keys: Vec<ItemKey> = self.items.keys().filter(|key| key.job == *job).cloned().collect();
        let mut running = Vec::new();
        for key in keys {
            let is_running = matches!(self.items.get(&key), Some(progress) if matches!(progress.phase, Phase::Running));
            if is_running {
                running.push(key.clone());
            }
            self.remove(&key);
        }
        running
    }

    /// An item's result is listed.
    pub fn remove(&mut self, key: &ItemKey) {
        if let Some(progress) = self.items.remove(key) {
            self.ready.remove(&(progress.due, key.clone()));
            if let Phase::Delayed { until } = progress.phase {
                self.delayed.remove(&(until, key.clone()));
            }
            self.finished.remove(key);
        }
    }

    /// How many items have no result.
    pub fn open_count(&self) -> usize {
        self.items.len()
    }

    /// How many runs of an item failed.
    pub fn failures(&self, key: &ItemKey) -> u32 {
        self.items.get(key).map_or(0, |progress| progress.failures)
    }

    fn finish(&mut self, key: &ItemKey, state: ItemState) -> bool {
        let Some(progress) = self.items.get_mut(key) else { return false };
        if state == ItemState::GivenUp {
            progress.output = PartialOutput::default();
        }
        self.ready.remove(&(progress.due, key.clone()));
        progress.phase = Phase::Finished { state };
        self.finished.insert(key.clone());
        true
    }

    fn delay(&mut self, key: &ItemKey, now: Timestamp) {
        if let Some(progress) = self.items.get_mut(key) {
            let until = now + RUN_BACKOFF.wait(progress.delays);
            progress.delays += 1;
            progress.phase = Phase::Delayed { until };
            self.delayed.insert((until, key.clone()));
        }
    }

    fn wake_delayed(&mut self, now: Timestamp) {
        while let Some((until, key)) = self.delayed.first().cloned() {
            if until > now {
                return;
            }
            self.delayed.pop_first();
            if let Some(progress) = self.items.get_mut(&key) {
                progress.phase = Phase::Ready;
                self.ready.insert((progress.due, key));
            }
        }
    }
}
