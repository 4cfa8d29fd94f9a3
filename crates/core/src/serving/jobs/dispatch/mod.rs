//! Which item runs next, and what follows from how a run ended. Only the table's leader dispatches.
//!
//! | module | owns |
//! |---|---|
//! | this one | [`Dispatcher`]: the items without a result, in the order in which they run and pause |
//! | `run_end` | [`RunEnd`]: what a worker's answer, or its silence, means for an item |
//! | `run_estimate` | how long a run is expected to take |
//! | `start` | [`decide_start`]: whether an item whose turn it is runs, waits or is given up |
//! | `pacing` | [`ItemPacing`]: when items are tried, and when progress is logged |
//!
//! It relies on the job table ([`super::table`]) for what is open, and on its driver for times and for the runs
//! themselves. All state is rebuilt from the table when a replica becomes the leader.

mod pacing;
mod run_end;
mod run_estimate;
mod start;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub use pacing::ItemPacing;
pub use run_end::{EVENT_TIMEOUT, FIRST_EVENT_TIMEOUT, RunEnd};
use run_estimate::RunEstimate;
pub use start::{ItemStart, StartDecision, decide_start, max_attempts};

use super::command::{ItemFailures, ItemKey, ItemProgress, ItemState, JobCommand, JobKey, LoggedOutput, PartialOutput};
use super::table::{Job, JobTable};
use crate::backoff::Backoff;
use crate::time::{Millis, Timestamp, UnixMillis};

/// The wait after a run that failed or broke off: 40 ms, doubled with each in a row up to 640 ms. Spares items that
/// would be paused at once again, and still finds a worker that recovered.
const RUN_BACKOFF: Backoff = Backoff::new(Millis(40), Millis(640));

/// OpenItem is logged once an item has put out this many events more. Saves bytes of the log.
const PROGRESS_EVENTS: u64 = 24;

/// The time between two looks at an item that is quarantined, in milliseconds: how late the end of its quarantine, or
/// of its time, is noticed.
const QUARANTINE_CHECK_INTERVAL: Millis = Millis(1_000);

/// An item that runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningItem {
    /// The item.
    pub key: ItemKey,
    /// Its run; a younger one has the greater number.
    pub run: u64,
    /// The id of the last event that it has put out, 0 for none.
    pub events: u64,
    /// Whether it was asked to pause already.
    pub is_pausing: bool,
}

#[derive(Clone, Debug)]
enum Phase {
    Ready,
    Delayed { until: Timestamp },
    Running,
    Finished { state: ItemState },
}

#[derive(Clone, Debug)]
struct OpenItem {
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

/// The items without a result, and how far each is.
///
/// Ready items run in the order of their due time, but those that can't be in time any more come after
/// all that can: under overload the plain order would make every item late.
#[derive(Clone, Debug, Default)]
pub struct Dispatcher {
    estimate: RunEstimate,
    items: BTreeMap<ItemKey, OpenItem>,
    ready: BTreeSet<(UnixMillis, ItemKey)>,
    delayed: BTreeSet<(Timestamp, ItemKey)>,
    finished: BTreeSet<ItemKey>,
    /// Items with failed runs that the log doesn't have.
    failed: BTreeSet<ItemKey>,
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
            let progress = OpenItem {
                phase: Phase::Ready,
                due,
                failures: job.failures(item),
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

    /// Which items at one worker to pause, so that `count` of them are leaving. Items that pause already count.
    pub fn choose_pauses(&self, at_worker: Vec<RunningItem>, count: usize, civil: UnixMillis) -> Vec<ItemKey> {
        let (leaving, mut staying): (Vec<_>, Vec<_>) = at_worker.into_iter().partition(|item| item.is_pausing);
        let due = count.saturating_sub(leaving.len());
        self.pause_order(&mut staying, civil);
        staying.into_iter().take(due).map(|item| item.key).collect()
    }

    /// Whether an item may run now.
    pub fn has_ready(&mut self, now: Timestamp) -> bool {
        self.wake_delayed(now);
        !self.ready.is_empty()
    }

    /// Gives back an item that was taken and not sent.
    pub fn requeue(&mut self, key: &ItemKey, output: PartialOutput) {
        if let Some(progress) = self.items.get_mut(key) {
            progress.output = output;
            progress.phase = Phase::Ready;
            self.ready.insert((progress.due, key.clone()));
        }
    }

    /// Gives back an item that was taken and is quarantined. It is looked at again in a while.
    pub fn delay_quarantined(&mut self, key: &ItemKey, output: PartialOutput, now: Timestamp) {
        if let Some(progress) = self.items.get_mut(key) {
            progress.output = output;
        }
        self.delay_until(key, now + QUARANTINE_CHECK_INTERVAL);
    }

    /// A run ended. Returns whether a result is to be committed ([`Dispatcher::uncommitted_results`]).
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
                self.failed.insert(key.clone());
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

    /// The commands for results that are not committed yet.
    pub fn uncommitted_results(&self) -> Vec<JobCommand> {
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

    /// OpenItem was proposed: what follows goes on from there.
    pub fn progress_proposed(&mut self, progress: &ItemProgress) {
        if let Some(item) = self.items.get_mut(&progress.key) {
            let bytes = progress.after.bytes + progress.text.len();
            item.logged = LoggedOutput { bytes, last_event: progress.last_event };
        }
    }

    /// Failed runs that the log doesn't have; `None` if there are none.
    pub fn unlogged_failures(&self) -> Option<Vec<ItemFailures>> {
        let count = |key: &ItemKey| {
            let failures = self.items.get(key)?.failures;
            Some(ItemFailures { key: key.clone(), failures })
        };
        let failures: Vec<ItemFailures> = self.failed.iter().filter_map(count).collect();
        (!failures.is_empty()).then_some(failures)
    }

    /// Failed runs were proposed.
    pub fn failures_proposed(&mut self, failures: &[ItemFailures]) {
        for item in failures {
            if self.failures(&item.key) == item.failures {
                self.failed.remove(&item.key);
            }
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

    /// An item's result is committed.
    pub fn remove(&mut self, key: &ItemKey) {
        if let Some(progress) = self.items.remove(key) {
            self.ready.remove(&(progress.due, key.clone()));
            if let Phase::Delayed { until } = progress.phase {
                self.delayed.remove(&(until, key.clone()));
            }
            self.finished.remove(key);
            self.failed.remove(key);
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
        let Some(progress) = self.items.get_mut(key) else { return };
        let until = now + RUN_BACKOFF.wait(progress.delays);
        progress.delays += 1;
        self.delay_until(key, until);
    }

    fn delay_until(&mut self, key: &ItemKey, until: Timestamp) {
        if let Some(progress) = self.items.get_mut(key) {
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
