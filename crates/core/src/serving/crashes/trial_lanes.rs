//! How many quarantined batch items are tried at a time.
//!
//! Each service has a lane. A trial occupies a place until it completes, fails, or has run for [`TRIAL_PERIOD`] without a
//! crash. The number of places doubles with each round of trials that pass, so that many sound items are soon done, and
//! halves with each one that fails. The place of a failed trial stays occupied for a while, which bounds the rate at which
//! trials crash workers. Among the items that wait, the one whose trial has been due for the longest time is first, but each
//! failed trial defers an item.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::digest::RequestDigest;
use crate::time::{Millis, UnixMillis};

/// Time without a crash after which a trial has passed. Longer than the first events of an answer take.
const TRIAL_PERIOD: Millis = Millis(2_000);
/// Time for which a failed trial occupies its place.
const FAILURE_PERIOD: Millis = Millis(5_000);
/// Time after its start in which a trial that has passed still fails if its worker crashes.
const MAX_TRIAL_AGE: Millis = Millis(30_000);
/// Number of workers of a service for each place that does not depend on the results of trials.
const WORKERS_PER_PLACE: usize = 20;
/// Time without trials after which their earlier results no longer count.
const IDLE_PERIOD: Millis = Millis(15_000);
/// Time without a check after which an item no longer waits. Longer than items are checked apart.
const MAX_CHECK_AGE: Millis = Millis(3_000);

/// Time by which each failed trial of an item defers it among those that wait.
const DEFERRAL: Millis = Millis(10_000);

/// A trial that is due.
#[derive(Clone, Copy, Debug)]
pub(super) struct DueTrial {
    /// Identifies the item.
    pub(super) item: RequestDigest,
    /// Time at which the trial became due.
    pub(super) due: UnixMillis,
    /// Number of trials of the item that failed.
    pub(super) failed: usize,
}

impl DueTrial {
    /// Returns the item's place in the order of those that wait.
    fn rank(&self) -> UnixMillis {
        UnixMillis(self.due.0.saturating_add(DEFERRAL.0.saturating_mul(self.failed as u64)))
    }
}

/// Returns whether a period from `since` on has passed. It has if the clock was set back by as much.
fn has_passed(since: UnixMillis, period: Millis, now: UnixMillis) -> bool {
    now.0.abs_diff(since.0) >= period.0
}

/// Returns an entry of which a period has passed, if there is any.
fn first_passed(
    entries: &BTreeSet<(UnixMillis, RequestDigest)>,
    period: Millis,
    now: UnixMillis,
) -> Option<(UnixMillis, RequestDigest)> {
    // Those from before the clock was set back are last.
    [entries.first(), entries.last()].into_iter().flatten().find(|(since, _)| has_passed(*since, period, now)).copied()
}

/// An item that waits for a place.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    rank: UnixMillis,
    checked_at: UnixMillis,
}

/// The trials of one service.
///
/// Invariants: `order` contains each item of `waiting` under its rank; each trial in `started` is in either `undecided` or
/// `passed` under the time of its start.
#[derive(Clone, Debug, Default)]
struct TrialLane {
    /// Number of places that the results of trials allow.
    earned: usize,
    /// Number of places in any case.
    minimum: usize,
    started: BTreeMap<RequestDigest, UnixMillis>,
    undecided: BTreeSet<(UnixMillis, RequestDigest)>,
    /// Trials that passed, whose items have not completed.
    passed: BTreeSet<(UnixMillis, RequestDigest)>,
    /// Times of the failures that still occupy a place, in order.
    failures: BTreeSet<(UnixMillis, RequestDigest)>,
    last_start: UnixMillis,
    waiting: BTreeMap<RequestDigest, Waiting>,
    order: BTreeSet<(UnixMillis, RequestDigest)>,
}

impl TrialLane {
    /// Applies the time that has passed.
    fn advance(&mut self, now: UnixMillis) {
        while let Some(trial) = first_passed(&self.undecided, TRIAL_PERIOD, now) {
            self.undecided.remove(&trial);
            self.passed.insert(trial);
            self.pass();
        }
        while let Some((_, digest)) = first_passed(&self.passed, MAX_TRIAL_AGE, now) {
            self.end(digest);
        }
        while let Some(failure) = first_passed(&self.failures, FAILURE_PERIOD, now) {
            self.failures.remove(&failure);
        }
        while let Some(first) = self.order.first().map(|(_, digest)| *digest) {
            if self.waiting.get(&first).is_some_and(|waiting| !has_passed(waiting.checked_at, MAX_CHECK_AGE, now)) {
                break;
            }
            self.leave(first);
        }
        if self.undecided.is_empty() && has_passed(self.last_start, IDLE_PERIOD, now) {
            self.earned = 0;
        }
    }

    fn pass(&mut self) {
        self.earned = self.earned.max(self.minimum) + 1;
    }

    fn free_places(&self) -> usize {
        self.earned.max(self.minimum).saturating_sub(self.undecided.len() + self.failures.len())
    }

    /// Returns whether a waiting item is next, given the number of free places.
    fn is_next(&self, digest: RequestDigest) -> bool {
        self.order.iter().take(self.free_places()).any(|(_, next)| *next == digest)
    }

    fn join(&mut self, digest: RequestDigest, rank: UnixMillis, now: UnixMillis) {
        self.leave(digest);
        self.waiting.insert(digest, Waiting { rank, checked_at: now });
        self.order.insert((rank, digest));
    }

    fn leave(&mut self, digest: RequestDigest) {
        if let Some(known) = self.waiting.remove(&digest) {
            self.order.remove(&(known.rank, digest));
        }
    }

    fn start(&mut self, digest: RequestDigest, now: UnixMillis) {
        self.leave(digest);
        self.end(digest);
        self.started.insert(digest, now);
        self.undecided.insert((now, digest));
        self.last_start = now;
    }

    /// Ends a trial. Returns whether its result was still open, or `None` if there is no such trial.
    fn end(&mut self, digest: RequestDigest) -> Option<bool> {
        let started = self.started.remove(&digest)?;
        self.passed.remove(&(started, digest));
        Some(self.undecided.remove(&(started, digest)))
    }
}

/// The lanes of all services.
#[derive(Clone, Debug, Default)]
pub(super) struct TrialLanes {
    lanes: BTreeMap<Arc<str>, TrialLane>,
}

impl TrialLanes {
    /// Returns when the result of an item's last trial will be known if it is still open.
    pub(super) fn result_due(&mut self, digest: RequestDigest, now: UnixMillis) -> Option<UnixMillis> {
        self.lanes.values_mut().find_map(|lane| {
            lane.advance(now);
            let started = *lane.started.get(&digest)?;
            lane.undecided.contains(&(started, digest)).then_some(UnixMillis(started.0 + TRIAL_PERIOD.0))
        })
    }

    /// Records that an item whose trial is due still waits. Returns whether other items are next.
    pub(super) fn is_behind(&mut self, digest: RequestDigest, now: UnixMillis) -> bool {
        self.lanes.values_mut().any(|lane| {
            let Some(waiting) = lane.waiting.get_mut(&digest) else { return false };
            waiting.checked_at = now;
            lane.advance(now);
            !lane.is_next(digest)
        })
    }

    /// Records that an item does not wait for a place.
    pub(super) fn leave(&mut self, digest: RequestDigest) {
        for lane in self.lanes.values_mut() {
            lane.leave(digest);
        }
    }

    /// Starts a trial at a service with `workers` workers if a place is free. Returns whether it started.
    pub(super) fn start(&mut self, trial: DueTrial, service: &Arc<str>, workers: u32, now: UnixMillis) -> bool {
        let lane = self.lanes.entry(service.clone()).or_default();
        lane.minimum = (workers as usize / WORKERS_PER_PLACE).max(1);
        lane.join(trial.item, trial.rank(), now);
        lane.advance(now);
        let is_next = lane.is_next(trial.item);
        if is_next {
            lane.start(trial.item, now);
        }
        is_next
    }

    /// Records that a trial was not sent to a worker.
    pub(super) fn cancel(&mut self, digest: RequestDigest) {
        for lane in self.lanes.values_mut() {
            lane.end(digest);
        }
    }

    /// Records that a worker crashed while it ran an item.
    pub(super) fn record_crash(&mut self, digest: RequestDigest, at: UnixMillis) {
        for lane in self.lanes.values_mut() {
            if lane.end(digest).is_some() {
                lane.earned /= 2;
                lane.failures.insert((at, digest));
            }
        }
    }

    /// Records that an item completed.
    pub(super) fn record_completion(&mut self, digest: RequestDigest) {
        for lane in self.lanes.values_mut() {
            lane.leave(digest);
            if lane.end(digest) == Some(true) {
                lane.pass();
            }
        }
    }
}
