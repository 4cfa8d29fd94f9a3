//! Trials of quarantined batch items.
//!
//! No caller repeats a batch item, and it is owed until its job ends, so the leader runs a quarantined item again for as long
//! as it is open. Its crashes decide when its next trial is due: later with each one, but soon enough that an item which was
//! only there is done shortly after the other crashes end. How many trials run at a time is decided by `trial_lanes`.

use super::evidence::{Attribution, WeighedCrash};
use crate::backoff::Backoff;
use crate::time::{Millis, UnixMillis};

/// Time from the crash that quarantined an item to its first trial.
const FIRST_TRIAL_DELAY: Millis = Millis(5_000);
/// Time from a failed trial to the next one; doubles with each failed trial beyond [`MAX_PROMPT_TRIALS`].
const TRIAL_BACKOFF: Backoff = Backoff::new(Millis(10_000), Millis(60_000));
/// Number of failed trials during which no other worker crashed, up to which the next one is not delayed further. Separates a
/// long series of coincidences from an item that crashes each worker.
const MAX_PROMPT_TRIALS: usize = 8;
/// Time from the last crash with a quarantined prompt part to the next trial of an item that holds it.
pub(super) const PART_TRIAL_DELAY: Millis = Millis(10_000);
/// Factor by which trials are delayed while many workers crash, as they would often fail for other reasons.
const STORM_DELAY_FACTOR: u64 = 2;
/// Time before a trial in which few workers must have crashed for it not to be delayed.
pub(super) const CALM_PERIOD: Millis = Millis(2_000);
/// Number of workers of a service for each crash that is tolerated in [`CALM_PERIOD`].
const WORKERS_PER_CRASH: usize = 20;

/// Interval between two checks of an item that waits for a trial.
const CHECK_INTERVAL: Millis = Millis(1_000);
/// Interval between two checks of an item whose trial is due.
const TURN_CHECK_INTERVAL: Millis = Millis(200);
/// Minimum interval between two checks of an item.
const MIN_CHECK_INTERVAL: Millis = Millis(20);

/// Whether a batch item may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemAdmission {
    /// The item is not quarantined.
    Runs,
    /// The item is quarantined, and runs as a trial.
    Trial,
    /// The item is quarantined.
    Waits(ItemWait),
}

impl ItemAdmission {
    /// Returns whether the item may not run yet.
    pub fn waits(self) -> bool {
        matches!(self, Self::Waits(_))
    }
}

/// Why an item that may not run yet waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitReason {
    /// The time after the item's last crash has not passed.
    #[default]
    Backoff,
    /// That time is longer because many workers crash.
    Storm,
    /// Other items are tried first.
    Turn,
    /// The result of the item's last trial is not known yet.
    Result,
    /// A part of its prompt is quarantined.
    Part,
}

impl WaitReason {
    /// Returns all reasons.
    pub fn all() -> [Self; 5] {
        [Self::Backoff, Self::Storm, Self::Turn, Self::Result, Self::Part]
    }

    /// Returns the name used in the log and in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Backoff => "backoff",
            Self::Storm => "storm",
            Self::Turn => "turn",
            Self::Result => "result",
            Self::Part => "part",
        }
    }
}

/// A batch item's wait for its next trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemWait {
    /// The reason.
    pub reason: WaitReason,
    /// Number of crashes that count toward the quarantine of the item.
    pub crashes: usize,
    /// Time before which the item is not tried, unless what is known of it changes.
    pub until: UnixMillis,
}

impl ItemWait {
    /// Returns the time after which the item should be checked again.
    pub fn check_after(&self, now: UnixMillis) -> Millis {
        let longest = if self.reason == WaitReason::Turn { TURN_CHECK_INTERVAL } else { CHECK_INTERVAL };
        Millis(self.until.0.saturating_sub(now.0)).clamp(MIN_CHECK_INTERVAL, longest)
    }
}

/// When the next trial of an item is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct NextTrial {
    /// Time while few workers crash.
    pub(super) if_calm: UnixMillis,
    /// Time whatever crashes.
    pub(super) at_latest: UnixMillis,
    /// Number of trials that failed.
    pub(super) failed: usize,
}

impl NextTrial {
    /// Returns the time of the next trial after the crashes `by_time` of an item, which are in order of time.
    pub(super) fn after(by_time: &[WeighedCrash<'_>]) -> Option<Self> {
        let last = by_time.last()?.crash.observation.at;
        let failed = failed_trials(by_time);
        let delay = trial_delay(failed);
        let after = |millis: u64| UnixMillis(last.0.saturating_add(millis));
        Some(Self { if_calm: after(delay.0), at_latest: after(delay.0 * STORM_DELAY_FACTOR), failed: failed.len() })
    }

    /// Returns the time of the next trial, and why the item waits until then.
    pub(super) fn due(self, is_calm: bool, now: UnixMillis) -> (UnixMillis, WaitReason) {
        match is_calm {
            true => (self.if_calm, WaitReason::Backoff),
            false if now < self.if_calm => (self.at_latest, WaitReason::Backoff),
            false => (self.at_latest, WaitReason::Storm),
        }
    }
}

/// Returns the crashes after the one that quarantined an item, by all its crashes in order of time.
fn failed_trials<'a, 'b>(by_time: &'a [WeighedCrash<'b>]) -> &'a [WeighedCrash<'b>] {
    let is_quarantined = |count: &usize| Attribution::of(&by_time[..*count]).excess().is_some();
    let quarantined_at = (1..=by_time.len()).find(is_quarantined);
    &by_time[quarantined_at.unwrap_or(by_time.len())..]
}

fn trial_delay(failed: &[WeighedCrash<'_>]) -> Millis {
    if failed.is_empty() {
        return FIRST_TRIAL_DELAY;
    }
    let alone = failed.iter().filter(|weighed| weighed.expected <= 0.0).count();
    TRIAL_BACKOFF.wait(u32::try_from(alone.saturating_sub(MAX_PROMPT_TRIALS)).unwrap_or(u32::MAX))
}

/// Returns whether few enough of `workers` workers crashed in [`CALM_PERIOD`] for most trials to be conclusive.
pub(super) fn is_calm(crashes: usize, workers: u32) -> bool {
    crashes <= workers as usize / WORKERS_PER_CRASH
}
