//! Schedules the items of batch jobs and handles the end of their runs. Only the leader of the job table dispatches.
//!
//! | module | contents |
//! |---|---|
//! | this one | [`Dispatcher`]: the items without a result, in the order in which they run and pause |
//! | `contributors` | the workers whose records may still contradict the origin of an item's output |
//! | `run_end` | [`RunEnd`]: the meaning of a worker's answer, or of its absence, for an item |
//! | `failures` | the failed runs of an item, and when they are enough to give it up |
//! | `idle_items` | the items that have not run for some time, and what they wait for |
//! | `ready_items` | the items that may run now, by what they lack |
//! | `item_queue` | items with the same needs, in the order in which they run |
//! | `rounds` | the rounds in which ready items are tried |
//! | `recent_failures` | the workers at which items failed recently |
//! | `run_estimate` | the expected duration of a run |
//! | `start` | [`decide_start`]: whether the next item runs, waits or is abandoned |
//! | `resumption` | [`item_resumption`]: whether and where an item continues its output |
//! | `proposals` | the commands that log results, progress, origins and failed runs |
//! | `wait_cause` | [`WaitCause`]: what a ready item lacks |
//! | `wait_log` | [`WaitLog`]: when it is reported that ready items do not start |
//! | `worker_runs` | [`WorkerRuns`]: the items that run at each worker |
//! | `pacing` | [`ItemPacing`]: when progress is logged |
//!
//! Open items come from the job table ([`super::table`]); the caller supplies the time and performs the runs. All state
//! is rebuilt from the table when a replica becomes the leader.

mod contributors;
mod failures;
mod idle_items;
mod item_queue;
mod pacing;
mod proposals;
mod ready_items;
mod recent_failures;
mod resumption;
mod rounds;
mod run_end;
mod run_estimate;
mod start;
mod wait_cause;
mod wait_log;
mod worker_runs;

use std::collections::{BTreeMap, BTreeSet};

use contributors::Contributors;
use failures::Failures;
pub use idle_items::{IdleItem, IdleReview};
pub use pacing::ItemPacing;
use ready_items::ReadyItems;
use recent_failures::RecentFailures;
pub use resumption::{ItemResumption, item_resumption};
pub use run_end::{EVENT_TIMEOUT, FIRST_EVENT_TIMEOUT, RunEnd, SEND_TIMEOUT};
use run_estimate::RunEstimate;
pub use start::{ItemStart, StartDecision, decide_start, max_attempts};
pub use wait_cause::{WaitCause, WorkerNeeds};
pub use wait_log::{WaitLog, WaitReport, WaitingItems, is_blocked};
pub use worker_runs::WorkerRuns;

use super::command::{ItemKey, ItemState, JobKey, LoggedOutput, PartialOutput};
use super::table::{Job, JobTable};
use crate::backoff::Backoff;
use crate::serving::crashes::{ItemWait, WaitReason};
use crate::serving::stream_origins::StreamOrigin;
use crate::serving::workers::{WorkerId, WorkerRecord};
use crate::time::{Millis, Timestamp, UnixMillis};

/// The delay after an unsuccessful run, doubled with each consecutive one. The growth limits the number of runs that
/// are paused again at once; the maximum is short, so that recovered workers are found soon.
const RUN_BACKOFF: Backoff = Backoff::new(Millis(40), Millis(640));

/// The delay after a run whose output exceeded the limit, doubled with each consecutive one. Each such run takes a worker
/// as long as a whole one, and an item that exceeds the limit at every worker runs until its waiting time is over.
const LARGE_OUTPUT_BACKOFF: Backoff = Backoff::new(Millis(640), Millis(20_480));

/// An item that is running at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningItem {
    /// The item that is running.
    pub key: ItemKey,
    /// The number of the run; later runs have greater numbers.
    pub run: u64,
    /// The ID of the last event that the item produced; 0 for none.
    pub events: u64,
    /// Whether the item has already been requested to pause.
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
    failures: Failures,
    /// Workers at which the output exceeded the limit. Bounded by the backoff after such runs.
    too_large_at: Vec<WorkerId>,
    delays: u32,
    output: PartialOutput,
    /// The part of the output that is logged or proposed.
    logged: LoggedOutput,
    /// The origin of the output; `None` if there is none yet, or if another leader received it and did not log it.
    origin: Option<StreamOrigin>,
    /// The origin that is logged or proposed.
    logged_origin: Option<StreamOrigin>,
    /// Start time of the last run.
    started_at: Timestamp,
    /// The ID of the last event before the last run; 0 for none.
    started_after: u64,
    /// Why the item waits for a trial, if it does.
    waits_for: Option<WaitReason>,
    /// The time since which no worker that can continue the output had room, if so.
    bound_since: Option<Timestamp>,
    /// The first review of the waits since which the item has not run; `None` while it runs.
    idle_since: Option<Timestamp>,
}

/// What the runs at this node showed about an item. Retained after a loss of leadership until the item has a committed
/// result, since the proposal that would tell other nodes may be lost with the leadership.
#[derive(Clone, Debug, Default)]
struct Verdict {
    failures: Failures,
    is_impossible: bool,
}

/// An item whose output was discarded, because the record of a worker that produced part of it names another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ContradictedItem {
    /// The item.
    pub key: ItemKey,
    /// Whether it was running. Its run must be aborted.
    pub was_running: bool,
    /// The ID of the last event that was discarded, unless the item was running; 0 for none.
    pub events: u64,
}

/// The worker of a failed run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedAt {
    /// ID of the worker.
    pub worker: WorkerId,
    /// Whether the worker is suspected of failing requests.
    pub is_suspected: bool,
}

/// The items without a result, and their progress.
///
/// Ready items run in order of their due time, but items that can no longer finish in time run after all others: under
/// overload, the plain order would make every item late. An item that lacks something, such as a free worker of its
/// service, does not delay the items that can start without it.
#[derive(Clone, Debug, Default)]
pub struct Dispatcher {
    estimate: RunEstimate,
    items: BTreeMap<ItemKey, OpenItem>,
    ready: ReadyItems,
    /// The version of the configuration under which items wait.
    configuration_version: u64,
    delayed: BTreeSet<(Timestamp, ItemKey)>,
    finished: BTreeSet<ItemKey>,
    /// Finished items whose result was not proposed yet.
    unproposed: BTreeSet<ItemKey>,
    /// Items with failed runs that are not yet logged.
    failed: BTreeSet<ItemKey>,
    /// Items whose logged output is discarded by a command that is not proposed yet.
    restarted: BTreeSet<ItemKey>,
    /// Items whose origin a newer record of a worker may contradict.
    contributors: BTreeMap<ItemKey, Contributors>,
    recent_failures: RecentFailures,
    verdicts: BTreeMap<ItemKey, Verdict>,
}

impl Dispatcher {
    /// Rebuilds the state from the table after this node became the leader.
    pub fn restart(&mut self, table: &JobTable) {
        self.clear();
        self.verdicts.retain(|key, _| table.job(&key.job).is_some_and(|job| job.is_open(key.item)));
        for (_, job) in table.jobs() {
            self.add_job(job);
        }
    }

    /// Drops all items because this node no longer leads. Verdicts on items without a committed result are retained.
    pub fn clear(&mut self) {
        *self = Self { verdicts: std::mem::take(&mut self.verdicts), ..Self::default() };
    }

    /// Adds the items of a job that have no result.
    pub fn add_job(&mut self, job: &Job) {
        let submission = &job.submission;
        let due = UnixMillis(submission.received_at.0.saturating_add(submission.due.0));
        for item in job.open_items() {
            let key = ItemKey { job: submission.key.clone(), item };
            if self.items.contains_key(&key) {
                continue;
            }
            let verdict = self.verdicts.get(&key).cloned().unwrap_or_default();
            if verdict.failures.total() > job.failures(item) {
                self.failed.insert(key.clone());
            }
            let output = job.partial(item).cloned().unwrap_or_default();
            self.ready.insert(key.clone(), due, output.events());
            let logged = output.position();
            let open_item = OpenItem {
                phase: Phase::Ready,
                due,
                failures: Failures::resume(job.failures(item), verdict.failures),
                too_large_at: Vec::new(),
                delays: 0,
                output,
                logged,
                origin: job.origin(item).cloned(),
                logged_origin: job.origin(item).cloned(),
                started_at: Timestamp::default(),
                started_after: 0,
                waits_for: None,
                bound_since: None,
                idle_since: None,
            };
            self.items.insert(key.clone(), open_item);
            if verdict.is_impossible {
                self.finish(&key, ItemState::GivenUp);
            }
        }
    }

    /// Sorts running items into the order in which they should be paused: first those that can no longer finish in
    /// time, then those with the most slack, and last those that a pause would make late.
    pub fn pause_order(&self, running: &mut [RunningItem], wall_time: UnixMillis) {
        let slack = |item: &RunningItem| {
            let due = self.items.get(&item.key).map_or(UnixMillis(0), |open_item| open_item.due);
            let ends = wall_time.0.saturating_add(self.estimate.remaining(item.events).0);
            due.0.checked_sub(ends).map(std::cmp::Reverse)
        };
        running.sort_by_cached_key(|item| (slack(item), std::cmp::Reverse(item.run)));
    }

    /// Returns the items at one worker to pause so that `count` of them pause, including those that are already
    /// pausing.
    pub fn choose_pauses(&self, at_worker: Vec<RunningItem>, count: usize, wall_time: UnixMillis) -> Vec<ItemKey> {
        let (pausing, mut continuing): (Vec<_>, Vec<_>) = at_worker.into_iter().partition(|item| item.is_pausing);
        let due = count.saturating_sub(pausing.len());
        self.pause_order(&mut continuing, wall_time);
        continuing.into_iter().take(due).map(|item| item.key).collect()
    }

    /// Returns the origin of an item's output, if this leader received it or a former one logged it.
    pub fn origin(&self, key: &ItemKey) -> Option<&StreamOrigin> {
        self.items.get(key)?.origin.as_ref()
    }

    /// Records that a run at a worker of the given origin adds to the item's output.
    pub fn record_origin(&mut self, key: &ItemKey, origin: StreamOrigin) {
        if let Some(open_item) = self.items.get_mut(key) {
            open_item.origin = Some(origin);
        }
    }

    /// Records that a run at a worker, which was chosen by a record of the given origin, adds to the item's output.
    pub fn record_run(&mut self, key: &ItemKey, worker: WorkerId, origin: StreamOrigin, now: Timestamp) {
        let Some(open_item) = self.items.get_mut(key) else { return };
        open_item.origin = Some(origin.clone());
        let contributors = self.contributors.entry(key.clone()).or_default();
        if open_item.started_after == 0 {
            *contributors = Contributors::default();
        }
        contributors.add(worker, origin, now);
    }

    /// Discards the output of the items for which the present record of a worker contradicts the origin, and returns them
    /// to the queue. Results that were proposed stay. `confirmed_at` is the time at which the view that `record_of` reads
    /// was complete.
    pub fn restart_contradicted<'a>(
        &mut self,
        record_of: impl Fn(&WorkerId) -> Option<&'a WorkerRecord>,
        confirmed_at: Timestamp,
    ) -> Vec<ContradictedItem> {
        let mut contradicted = Vec::new();
        self.contributors.retain(|key, contributors| {
            if contributors.is_contradicted(&record_of, confirmed_at) {
                contradicted.push(key.clone());
                return false;
            }
            !contributors.is_empty()
        });
        contradicted.into_iter().filter_map(|key| self.restart_open(key)).collect()
    }

    /// Discards the output of an item and returns it to the queue, unless it has no output or its result was proposed.
    fn restart_open(&mut self, key: ItemKey) -> Option<ContradictedItem> {
        let open_item = self.items.get(&key)?;
        let was_running = matches!(open_item.phase, Phase::Running);
        let events = open_item.output.last_event.unwrap_or(0);
        match open_item.phase {
            Phase::Running => {}
            Phase::Ready | Phase::Delayed { .. } if open_item.output.last_event.is_some() => {}
            Phase::Finished { state: ItemState::Completed } if self.unproposed.contains(&key) => {}
            Phase::Ready | Phase::Delayed { .. } | Phase::Finished { .. } => return None,
        }
        self.restart_item(&key);
        if self.ready.contains(&key) {
            self.requeue(&key, PartialOutput::default());
        }
        if was_running || self.finished.remove(&key) {
            self.unproposed.remove(&key);
            self.requeue(&key, PartialOutput::default());
        }
        Some(ContradictedItem { key, was_running, events })
    }

    /// Discards the output of an item that was taken: no worker can continue it. The logged part has to be discarded by
    /// a command; see [`Dispatcher::restarts_due`].
    pub fn restart_item(&mut self, key: &ItemKey) {
        let Some(open_item) = self.items.get_mut(key) else { return };
        open_item.output = PartialOutput::default();
        open_item.origin = None;
        open_item.logged_origin = None;
        open_item.started_after = 0;
        open_item.bound_since = None;
        if std::mem::take(&mut open_item.logged) != LoggedOutput::default() {
            self.restarted.insert(key.clone());
        }
    }

    /// Returns to the queue an item that was taken but not sent to a worker.
    pub fn requeue(&mut self, key: &ItemKey, output: PartialOutput) {
        if let Some(open_item) = self.items.get_mut(key) {
            let events = output.events();
            open_item.output = output;
            open_item.phase = Phase::Ready;
            self.ready.insert(key.clone(), open_item.due, events);
        }
    }

    /// Returns a quarantined item to the queue, to be checked again later. Returns whether the reason for which it waits is new.
    pub fn delay_quarantined(
        &mut self,
        key: &ItemKey,
        output: PartialOutput,
        wait: &ItemWait,
        now: Timestamp,
        wall_time: UnixMillis,
    ) -> bool {
        let Some(open_item) = self.items.get_mut(key) else { return false };
        open_item.output = output;
        let is_new = open_item.waits_for.replace(wait.reason) != Some(wait.reason);
        self.delay_until(key, now + wait.check_after(wall_time));
        is_new
    }

    /// Handles the end of a run at an unknown worker; see [`Dispatcher::finish_run_at`].
    pub fn finish_run(
        &mut self,
        key: &ItemKey,
        end: &RunEnd,
        output: PartialOutput,
        max_attempts: u32,
        now: Timestamp,
    ) -> bool {
        self.finish_run_at(key, end, None, output, max_attempts, now)
    }

    /// Handles the end of a run. `failed_at` is the worker of a failed run, if known. Returns whether there is a result
    /// to commit (see [`Dispatcher::uncommitted_results`]).
    pub fn finish_run_at(
        &mut self,
        key: &ItemKey,
        end: &RunEnd,
        failed_at: Option<FailedAt>,
        output: PartialOutput,
        max_attempts: u32,
        now: Timestamp,
    ) -> bool {
        let Some(open_item) = self.items.get_mut(key) else { return false };
        let done = output.last_event.unwrap_or(0);
        let made_progress = done > open_item.started_after;
        let is_complete = *end == RunEnd::Completed && open_item.started_after == 0;
        self.estimate.record(
            done.saturating_sub(open_item.started_after),
            is_complete,
            now.since(open_item.started_at),
        );
        open_item.output = output;
        match end {
            RunEnd::Completed => return self.finish(key, ItemState::Completed),
            RunEnd::Impossible => {
                self.verdicts.entry(key.clone()).or_default().is_impossible = true;
                return self.finish(key, ItemState::GivenUp);
            }
            RunEnd::Failed => {
                self.record_failure(key, failed_at, now);
                match self.give_up_time(key, max_attempts, now) {
                    Some(at) if at <= now => return self.finish(key, ItemState::GivenUp),
                    Some(at) => {
                        self.failed.insert(key.clone());
                        self.delay_until(key, at);
                        return false;
                    }
                    None => {
                        self.failed.insert(key.clone());
                    }
                }
            }
            RunEnd::OutputTooLarge => {
                open_item.too_large_at.extend(failed_at.map(|failed_at| failed_at.worker));
                self.restart_item(key);
                self.delay(key, LARGE_OUTPUT_BACKOFF, now);
                return false;
            }
            RunEnd::Unconfirmed => self.restart_item(key),
            RunEnd::BrokenOff | RunEnd::Paused if made_progress => open_item.delays = 0,
            RunEnd::BrokenOff | RunEnd::NotRun | RunEnd::Paused => {}
        }
        self.delay(key, RUN_BACKOFF, now);
        false
    }

    fn record_failure(&mut self, key: &ItemKey, failed_at: Option<FailedAt>, now: Timestamp) {
        let Some(open_item) = self.items.get_mut(key) else { return };
        let is_doubtful =
            failed_at.as_ref().is_some_and(|failed_at| self.recent_failures.record(&failed_at.worker, key, now));
        let is_suspected = failed_at.as_ref().is_some_and(|failed_at| failed_at.is_suspected);
        open_item.failures.record(failed_at.map(|failed_at| (failed_at.worker, now)), is_suspected, is_doubtful);
        self.verdicts.entry(key.clone()).or_default().failures = open_item.failures.clone();
    }

    /// Returns when to give up an item with its present failures: later than now if its workers may yet become
    /// suspected. `None` if the item may run again.
    fn give_up_time(&self, key: &ItemKey, max_attempts: u32, now: Timestamp) -> Option<Timestamp> {
        let failures = &self.items.get(key)?.failures;
        let failed_others = |worker: &WorkerId| self.recent_failures.failed_others(worker, key, now);
        let open_until = || failures.open_until(max_attempts, failed_others, now);
        failures.is_exhausted(max_attempts).then(|| open_until().unwrap_or(now))
    }

    /// Returns whether an item must not run again, given its failed runs.
    pub fn is_exhausted(&self, key: &ItemKey, max_attempts: u32) -> bool {
        self.items.get(key).is_some_and(|open_item| open_item.failures.is_exhausted(max_attempts))
    }

    /// Returns the workers at which an item failed or its output exceeded the limit.
    pub fn failed_workers(&self, key: &ItemKey) -> Vec<WorkerId> {
        let Some(open_item) = self.items.get(key) else { return Vec::new() };
        open_item.failures.workers().chain(&open_item.too_large_at).cloned().collect()
    }

    /// Returns the workers to avoid in the last attempt of an item: those at which any item failed recently. Empty if
    /// the item has several attempts left.
    pub fn avoided_in_last_attempt(&self, key: &ItemKey, max_attempts: u32, now: Timestamp) -> Vec<WorkerId> {
        let is_last = self.items.get(key).is_some_and(|open_item| open_item.failures.is_last_attempt(max_attempts));
        if is_last { self.recent_failures.workers(now).cloned().collect() } else { Vec::new() }
    }

    /// Excuses the recent failures at workers that have become suspected since. Items that wait to be given up because
    /// of them run again.
    pub fn excuse_failures(&mut self, is_suspected: impl Fn(&WorkerId) -> bool, now: Timestamp) {
        let workers: Vec<WorkerId> =
            self.recent_failures.excusing_workers(now).filter(|worker| is_suspected(worker)).cloned().collect();
        for worker in workers {
            for (key, open_item) in &mut self.items {
                if open_item.failures.excuse(&worker, now)
                    && let Some(verdict) = self.verdicts.get_mut(key)
                {
                    verdict.failures = open_item.failures.clone();
                }
            }
        }
    }

    /// Abandons an item whose route was removed or whose time limit has passed.
    pub fn give_up(&mut self, key: &ItemKey) -> bool {
        self.finish(key, ItemState::GivenUp)
    }

    /// Removes the items of a job that ended, and returns those that are running.
    pub fn remove_job(&mut self, job: &JobKey) -> Vec<ItemKey> {
        let keys: Vec<ItemKey> = self.items.keys().filter(|key| key.job == *job).cloned().collect();
        let mut running = Vec::new();
        for key in keys {
            let is_running =
                matches!(self.items.get(&key), Some(open_item) if matches!(open_item.phase, Phase::Running));
            if is_running {
                running.push(key.clone());
            }
            self.remove(&key);
        }
        self.verdicts.retain(|key, _| key.job != *job);
        running
    }

    /// Removes an item whose result is committed.
    pub fn remove(&mut self, key: &ItemKey) {
        self.verdicts.remove(key);
        self.withdraw(key);
    }

    /// Removes an item that still needs a result, and may be added again with its job.
    pub fn withdraw(&mut self, key: &ItemKey) {
        if let Some(open_item) = self.items.remove(key) {
            self.ready.remove(key);
            if let Phase::Delayed { until } = open_item.phase {
                self.delayed.remove(&(until, key.clone()));
            }
            self.finished.remove(key);
            self.unproposed.remove(key);
            self.failed.remove(key);
            self.restarted.remove(key);
            self.contributors.remove(key);
        }
    }

    /// Returns the number of items without a result.
    pub fn open_count(&self) -> usize {
        self.items.len()
    }

    /// Returns the number of failed runs of an item.
    pub fn failures(&self, key: &ItemKey) -> u32 {
        self.items.get(key).map_or(0, |open_item| open_item.failures.total())
    }

    fn finish(&mut self, key: &ItemKey, state: ItemState) -> bool {
        let Some(open_item) = self.items.get_mut(key) else { return false };
        if state == ItemState::GivenUp {
            open_item.output = PartialOutput::default();
        }
        self.ready.remove(key);
        open_item.phase = Phase::Finished { state };
        self.finished.insert(key.clone());
        self.unproposed.insert(key.clone());
        true
    }

    fn delay(&mut self, key: &ItemKey, backoff: Backoff, now: Timestamp) {
        let Some(open_item) = self.items.get_mut(key) else { return };
        let until = now + backoff.wait(open_item.delays);
        open_item.delays += 1;
        self.delay_until(key, until);
    }

    fn delay_until(&mut self, key: &ItemKey, until: Timestamp) {
        if let Some(open_item) = self.items.get_mut(key) {
            open_item.phase = Phase::Delayed { until };
            self.delayed.insert((until, key.clone()));
        }
    }

    fn wake_delayed(&mut self, now: Timestamp) {
        while let Some((until, key)) = self.delayed.first().cloned() {
            if until > now {
                return;
            }
            self.delayed.pop_first();
            if let Some(open_item) = self.items.get_mut(&key) {
                open_item.phase = Phase::Ready;
                self.ready.insert(key, open_item.due, open_item.output.events());
            }
        }
    }
}
