//! Trials of quarantined batch items.
//!
//! No caller repeats a batch item, and its job ends long before a quarantine does, so a sound item that was quarantined by
//! coincidence would never run again. The leader therefore runs quarantined items itself, one after the other, once few
//! workers crash: a trial then tells a request that crashes its worker from one that was only there. The number of trials
//! that crash a worker is limited.

use super::evidence::{Attribution, WeighedCrash};
use crate::backoff::Backoff;
use crate::time::{Millis, UnixMillis};

/// Maximum number of trials that end with a crash, after which a request waits for the end of its quarantine, if other
/// workers crashed during its runs.
const MAX_FAILED_TRIALS: usize = 3;
/// The same if no other worker crashed during its runs, so that a coincidence is unlikely.
const MAX_FAILED_TRIALS_IF_ALONE: usize = 1;
/// Minimum time from the last crash of a request to its next trial; doubles with each failed one.
const TRIAL_BACKOFF: Backoff = Backoff::new(Millis(5_000), Millis(60_000));
/// Time between the starts of two trials, in which the first one crashes its worker if it is going to.
const TRIAL_INTERVAL: Millis = Millis(2_000);
/// Time before a trial in which few workers must have crashed.
pub(super) const CALM_PERIOD: Millis = Millis(2_000);
/// Number of workers of a service for each crash that is tolerated in [`CALM_PERIOD`].
const WORKERS_PER_CRASH: usize = 20;

/// Whether a batch item may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemAdmission {
    /// The item is not quarantined.
    Runs,
    /// The item is quarantined, and runs as a trial.
    Trial,
    /// The item is quarantined.
    Waits,
}

/// Paces the trials of one node.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TrialPacing {
    next_at: UnixMillis,
}

impl TrialPacing {
    /// Returns whether a trial may start now.
    pub(super) fn is_due(self, now: UnixMillis) -> bool {
        now >= self.next_at
    }

    /// Records the start of a trial.
    pub(super) fn start(&mut self, now: UnixMillis) {
        self.next_at = UnixMillis(now.0.saturating_add(TRIAL_INTERVAL.0));
    }
}

/// Returns the number of crashes after the one that quarantined a request. `by_time` are all its crashes in order of time.
fn failed_trials(by_time: &[WeighedCrash<'_>]) -> usize {
    let is_quarantined = |count: &usize| Attribution::of(&by_time[..*count]).excess().is_some();
    let quarantined_at = (1..=by_time.len()).find(is_quarantined);
    quarantined_at.map_or(0, |count| by_time.len() - count)
}

/// Returns the earliest time of a request's next trial, or `None` if too many have failed.
pub(super) fn next_trial(by_time: &[WeighedCrash<'_>]) -> Option<UnixMillis> {
    let last = by_time.last()?.crash.observation.at;
    let failed = failed_trials(by_time);
    let is_alone = by_time.iter().all(|weighed| weighed.expected <= 0.0);
    let max_failed = if is_alone { MAX_FAILED_TRIALS_IF_ALONE } else { MAX_FAILED_TRIALS };
    let wait = TRIAL_BACKOFF.wait(u32::try_from(failed).unwrap_or(u32::MAX));
    (failed < max_failed).then_some(UnixMillis(last.0.saturating_add(wait.0)))
}

/// Returns whether few enough of `workers` workers crashed in [`CALM_PERIOD`] for the result of a trial to be conclusive.
pub(super) fn is_calm(crashes: usize, workers: u32) -> bool {
    crashes <= workers as usize / WORKERS_PER_CRASH
}
