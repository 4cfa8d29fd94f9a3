//! The failed runs of an item, and when they are enough to give it up.
//!
//! A failure at a worker that is suspected, or becomes so shortly after, does not use up an attempt. The log only counts
//! all failures of an item, so a new leader takes those of earlier leaders for the item's own, except that they alone
//! never suffice: an earlier leader that still ran the item had not seen enough of them.

use crate::serving::workers::WorkerId;
use crate::time::{Millis, Timestamp};

/// Factor by which the failures of an item may exceed the maximum number of attempts if suspected workers caused them.
/// Afterwards the item must not reach a worker again.
const HARD_LIMIT_FACTOR: u32 = 3;

/// Time after a failure within which the suspicion of its worker excuses the item. Covers several reviews and exchanges
/// of evidence.
pub(super) const EXCUSE_WINDOW: Millis = Millis(1_000);

/// A failed run at a known worker.
#[derive(Clone, Debug)]
struct FailedRun {
    worker: WorkerId,
    at: Timestamp,
    is_excused: bool,
    /// Whether another item failed at the worker shortly before.
    is_doubtful: bool,
}

/// The failed runs of one item.
#[derive(Clone, Debug, Default)]
pub(super) struct Failures {
    /// All failed runs, including those known from the log.
    total: u32,
    /// Failed runs known only from the log.
    inherited: u32,
    /// Failed runs of this leader at known workers. Bounded by the hard limit.
    runs: Vec<FailedRun>,
}

impl Failures {
    /// Returns the failures of an item that becomes open at this node: those in the log, and those seen here before.
    pub(super) fn resume(logged: u32, mut seen: Self) -> Self {
        seen.inherited += logged.saturating_sub(seen.total);
        seen.total = seen.total.max(logged);
        seen
    }

    /// Returns the number of all failed runs.
    pub(super) fn total(&self) -> u32 {
        self.total
    }

    /// Records a failed run at a worker, if known.
    pub(super) fn record(&mut self, failed_at: Option<(WorkerId, Timestamp)>, is_suspected: bool, is_doubtful: bool) {
        self.total += 1;
        if let Some((worker, at)) = failed_at {
            self.runs.push(FailedRun { worker, at, is_excused: is_suspected, is_doubtful });
        }
    }

    /// Excuses the recent failures at a worker that became suspected. Returns whether there are any.
    pub(super) fn excuse(&mut self, worker: &WorkerId, now: Timestamp) -> bool {
        let recent = |run: &&mut FailedRun| run.worker == *worker && now.since(run.at) < EXCUSE_WINDOW;
        let mut is_changed = false;
        for run in self.runs.iter_mut().filter(recent) {
            is_changed |= !run.is_excused;
            run.is_excused = true;
        }
        is_changed
    }

    /// Returns the number of failed runs that count as the item's own.
    fn counted(&self, max_attempts: u32) -> u32 {
        let excused = self.runs.iter().filter(|run| run.is_excused).count();
        let excused = u32::try_from(excused).unwrap_or(u32::MAX);
        let own = self.total.saturating_sub(self.inherited).saturating_sub(excused);
        own + self.inherited.min(max_attempts.saturating_sub(1))
    }

    /// Returns whether the item must not run again.
    pub(super) fn is_exhausted(&self, max_attempts: u32) -> bool {
        self.counted(max_attempts) >= max_attempts || self.total >= max_attempts.saturating_mul(HARD_LIMIT_FACTOR)
    }

    /// Returns whether one more failure would exhaust the item's attempts.
    pub(super) fn is_last_attempt(&self, max_attempts: u32) -> bool {
        self.counted(max_attempts) + 1 >= max_attempts
            || self.total + 1 >= max_attempts.saturating_mul(HARD_LIMIT_FACTOR)
    }

    /// Returns until when the decision to give up the item is open, because its workers may yet become suspected.
    /// `None` if the decision is final.
    pub(super) fn open_until(
        &self,
        max_attempts: u32,
        failed_others: impl Fn(&WorkerId) -> bool,
        now: Timestamp,
    ) -> Option<Timestamp> {
        if self.total >= max_attempts.saturating_mul(HARD_LIMIT_FACTOR) {
            return None;
        }
        let is_open = |run: &&FailedRun| {
            let is_recent = now.since(run.at) < EXCUSE_WINDOW;
            !run.is_excused && is_recent && (run.is_doubtful || failed_others(&run.worker))
        };
        self.runs.iter().filter(is_open).map(|run| run.at + EXCUSE_WINDOW).max()
    }

    /// Returns the workers at which the item failed.
    pub(super) fn workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.runs.iter().map(|run| &run.worker)
    }
}
