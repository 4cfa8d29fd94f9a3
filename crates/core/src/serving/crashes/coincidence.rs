//! Whether unrelated causes explain the crashes that occurred while a request ran.
//!
//! While many workers crash, a long run meets a crash more likely than not, and several runs in a row do so. The crashes
//! of workers that did not run the request tell how many of its own to expect if it did not cause any.

use super::evidence::{CandidateCrash, Observation};
use super::timeline::CrashTimeline;
use crate::time::{Millis, UnixMillis};

/// Time before a run in which crashes of other workers count for the rate during the run. Covers several gaps between the
/// crashes of a storm.
const RATE_MARGIN: Millis = Millis(2_000);
/// Time after a run in which crashes count as simultaneous with its end, as they are observed at slightly different times.
const OBSERVATION_JITTER: Millis = Millis(50);
/// Maximum probability that unrelated causes lead to as many crashes for them to be attributed to the request. Many
/// requests are affected by each storm, so a probability that is small for one of them is not for all.
const MAX_COINCIDENCE: f64 = 1e-5;

/// Returns the number of crashes that unrelated causes lead to during the run that ended with `crash`. `own` are all
/// crashes that affected the request. Zero if the observing node reported no details of the run.
pub(super) fn expected_crashes(crash: &CandidateCrash<'_>, own: &[&Observation], timeline: &CrashTimeline) -> f64 {
    let Some(run) = crash.run else { return 0.0 };
    let ended = crash.observation.at;
    let rate_period = run.lasted + RATE_MARGIN;
    let first = UnixMillis(ended.0.saturating_sub(rate_period.0));
    let last = UnixMillis(ended.0.saturating_add(OBSERVATION_JITTER.0));
    let others = timeline.count(&run.service, first, last, own);
    // If the request causes none, its own crashes belong to the same rate. They don't count beyond those of other workers,
    // so that a request which causes all crashes does not excuse itself.
    let crashes = others + others.min(own_crashes(own, first, last));
    let other_workers = timeline.remaining(&run.service, run.workers.saturating_sub(1), ended, own);
    crashes as f64 / other_workers as f64 * run.lasted.0 as f64 / rate_period.0 as f64
}

fn own_crashes(own: &[&Observation], first: UnixMillis, last: UnixMillis) -> usize {
    own.iter().filter(|crash| (first..=last).contains(&crash.at)).count()
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
