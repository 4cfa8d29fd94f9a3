//! Whether unrelated causes explain the crashes that occurred while a request ran.
//!
//! While many workers crash, a long run meets a crash more likely than not, and several runs in a row do so. The crashes
//! of workers that did not run the request tell how many of its own to expect if it did not cause any.

use super::evidence::{CandidateCrash, Observation};
use super::timeline::CrashTimeline;
use crate::time::{Millis, UnixMillis};

/// Time before and after a run in which crashes of other workers count for the rate during the run. Covers the gap
/// between two crashes of a storm, and the time until a crash is observed.
const RATE_MARGIN: Millis = Millis(1_000);
/// Maximum probability that unrelated causes lead to as many crashes for them to be attributed to the request. Many
/// requests are affected by each storm, so a probability that is small for one of them is not for all.
const MAX_COINCIDENCE: f64 = 1e-4;

/// Returns the number of crashes that unrelated causes lead to during the run that ended with `crash`. `own` are all
/// crashes that affected the request. Zero if the observing node reported no details of the run.
pub(super) fn expected_crashes(crash: &CandidateCrash<'_>, own: &[&Observation], timeline: &CrashTimeline) -> f64 {
    let Some(run) = crash.run else { return 0.0 };
    let ended = crash.observation.at.0;
    let first = UnixMillis(ended.saturating_sub(run.lasted.0).saturating_sub(RATE_MARGIN.0));
    let last = UnixMillis(ended.saturating_add(RATE_MARGIN.0));
    let others = timeline.count(&run.service, first, last, own);
    let other_workers = run.workers.saturating_sub(1).max(1);
    let lasted = run.lasted.0 as f64;
    let rate_period = lasted + 2.0 * RATE_MARGIN.0 as f64;
    others as f64 / f64::from(other_workers) * lasted / rate_period
}

/// Returns whether unrelated causes may have led to `count` crashes where `expected` were to be expected.
pub(super) fn is_coincidence(count: usize, expected: f64) -> bool {
    expected > 0.0 && poisson_tail(count, expected) > MAX_COINCIDENCE
}

/// Returns the probability of at least `count` events of a Poisson process with mean `mean`.
fn poisson_tail(count: usize, mean: f64) -> f64 {
    let mut term = (-mean).exp();
    let mut below = 0.0;
    for number in 1..=count {
        below += term;
        term *= mean / number as f64;
    }
    1.0 - below
}
