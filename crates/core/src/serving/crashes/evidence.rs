//! Crash counts and thresholds that decide whether a request is likely to have crashed its workers.
//!
//! A crash affects all requests in the worker's slots, most of which did not cause it. A request becomes more likely to
//! be the cause with each crash, and more so if the crashes occur at the same point of its response.

use super::coincidence::is_coincidence;
use super::report::CrashedRun;
use crate::serving::workers::WorkerId;
use crate::time::{Millis, UnixMillis};

/// Number of crashes at the same point of the response, without a completion in between, after which a request is
/// quarantined. Fewer can be coincidental, because a crash affects every request on the worker. A worker that is lost
/// takes up to all of its slots of other requests with it. Users set this bound.
pub const CRASH_THRESHOLD: usize = 3;
/// Number of crashes at different points after which a request is quarantined. Higher than [`CRASH_THRESHOLD`], since
/// unrelated crashes during a long response produce the same pattern.
const SCATTERED_CRASH_THRESHOLD: usize = CRASH_THRESHOLD + 1;
/// Number of crashes after which a request is quarantined even if other requests explain them.
const TOTAL_CRASH_THRESHOLD: usize = CRASH_THRESHOLD + 3;
/// Number of late crashes after which a request is quarantined even if unrelated causes explain them, as it might crash its
/// workers after some time. Another retry may be under way when the crash is known.
const LATE_CRASH_THRESHOLD: usize = 2;
/// Time from the third crash of a request after which its crashes are late: nodes in touch know of the third one by then.
const LATE_PERIOD: Millis = Millis(3_000);
/// Observations of a crash of the same worker within this time refer to the same crash. Later ones are crashes of a
/// restarted worker.
const SAME_CRASH_WINDOW: Millis = Millis(1_000);
/// Maximum distance, in events, of two crashes at the same point of a response; some events are lost in transit when a
/// worker crashes.
const SAME_POINT_TOLERANCE: u64 = 2;

/// One node's observation of a crash. Observations at one worker within [`SAME_CRASH_WINDOW`] are of the same crash.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Observation {
    pub(super) worker: WorkerId,
    pub(super) at: UnixMillis,
}

impl Observation {
    pub(super) fn is_same_crash(&self, other: &Self) -> bool {
        self.worker == other.worker && self.at.0.abs_diff(other.at.0) < SAME_CRASH_WINDOW.0
    }
}

/// A crash since the last completion of a request, which counts unless another request explains it.
#[derive(Clone, Copy, Debug)]
pub(super) struct CandidateCrash<'a> {
    pub(super) observation: &'a Observation,
    /// Number of the last event of the response before the crash, 0 for none.
    pub(super) progress: u64,
    /// The run during which the worker crashed, if known.
    pub(super) run: Option<&'a CrashedRun>,
}

impl CandidateCrash<'_> {
    /// Returns the part of the run, from 0 to 1, in which a crash would have been at the same point of the response.
    fn share_at_same_point(&self) -> f64 {
        let events = self.run.map_or(0, |run| run.events);
        ((2 * SAME_POINT_TOLERANCE + 1) as f64 / (events as f64 + 1.0)).min(1.0)
    }
}

/// A number of crashes, and how many of them unrelated causes lead to.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    crashes: usize,
    expected: f64,
}

impl Count {
    /// Returns the number of crashes beyond `threshold`; `None` if there are fewer, or if they may be a coincidence.
    fn excess(self, threshold: usize) -> Option<usize> {
        self.crashes.checked_sub(threshold).filter(|_| !is_coincidence(self.crashes, self.expected))
    }
}

/// Crash counts of a request. The order decides which of two requests explains a crash that affected both: crashes at
/// the same point take precedence over the total number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Evidence {
    /// Maximum number of crashes at the same point of the response.
    at_same_point: usize,
    pub(super) total: usize,
}

impl Evidence {
    pub(super) fn largest() -> Self {
        Self { at_same_point: usize::MAX, total: usize::MAX }
    }

    pub(super) fn of(crashes: &[CandidateCrash<'_>]) -> Self {
        let mut points: Vec<u64> = crashes.iter().map(|crash| crash.progress).collect();
        points.sort_unstable();
        let count_from = |first: &u64| {
            let last = first.saturating_add(SAME_POINT_TOLERANCE);
            points.iter().filter(|point| (*first..=last).contains(point)).count()
        };
        Self { at_same_point: points.iter().map(count_from).max().unwrap_or(0), total: points.len() }
    }

    /// Returns whether the crashes suffice to quarantine a request if no other request explains them.
    pub(super) fn meets_threshold(self) -> bool {
        self.excess().is_some()
    }

    /// Returns the number of crashes beyond the quarantine threshold, or `None` below it.
    fn excess(self) -> Option<usize> {
        let at_same_point = self.at_same_point.checked_sub(CRASH_THRESHOLD);
        at_same_point.max(self.total.checked_sub(SCATTERED_CRASH_THRESHOLD))
    }
}

/// A crash that affected a request, weighed against the crashes of other workers.
#[derive(Clone, Copy, Debug)]
pub(super) struct WeighedCrash<'a> {
    pub(super) crash: CandidateCrash<'a>,
    /// Number of crashes that unrelated causes lead to during the run.
    pub(super) expected: f64,
    /// Whether there is stronger evidence that another request or a prompt part caused it.
    pub(super) is_explained: bool,
}

/// Crashes attributed to a request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Attribution {
    /// Largest number of crashes at the same point of the response that no other request explains.
    at_same_point: Count,
    /// All crashes that no other request explains.
    unexplained: Count,
    /// All crashes since the last completion.
    all: Count,
    /// Number of late crashes that no other request explains.
    late: usize,
}

impl Attribution {
    pub(super) fn of(crashes: &[WeighedCrash<'_>]) -> Self {
        let unexplained = crashes.iter().filter(|weighed| !weighed.is_explained);
        Self {
            at_same_point: at_same_point(crashes),
            unexplained: count(unexplained),
            all: count(crashes.iter()),
            late: late_crashes(crashes),
        }
    }

    /// Returns the number of crashes beyond the quarantine threshold, or `None` below it.
    pub(super) fn excess(self) -> Option<usize> {
        let at_same_point = self.at_same_point.excess(CRASH_THRESHOLD);
        let scattered = self.unexplained.excess(SCATTERED_CRASH_THRESHOLD);
        at_same_point.max(scattered).max(self.all.excess(TOTAL_CRASH_THRESHOLD))
    }

    /// Returns the number of crashes beyond the quarantine threshold of a request that its caller may repeat, which is
    /// limited whatever explains the crashes. A batch item is not: nobody repeats it, so it would not be done.
    pub(super) fn excess_if_repeated(self) -> Option<usize> {
        self.excess().max(self.late.checked_sub(LATE_CRASH_THRESHOLD))
    }

    /// Returns whether one more crash may quarantine the request.
    pub(super) fn is_near_quarantine(self) -> bool {
        self.at_same_point.crashes + 1 >= CRASH_THRESHOLD
            || self.unexplained.crashes + 1 >= SCATTERED_CRASH_THRESHOLD
            || self.all.crashes + 1 >= TOTAL_CRASH_THRESHOLD
    }

    /// Returns the number of crashes that unrelated causes lead to during the runs.
    pub(super) fn expected(self) -> f64 {
        self.all.expected
    }

    /// Returns the number of crashes that count toward the quarantine.
    pub(super) fn counted(self) -> usize {
        let all = self.all.crashes;
        if all >= TOTAL_CRASH_THRESHOLD { all } else { self.unexplained.crashes }
    }
}

fn count<'a>(crashes: impl Iterator<Item = &'a WeighedCrash<'a>>) -> Count {
    crashes.fold(Count::default(), |count, weighed| Count {
        crashes: count.crashes + 1,
        expected: count.expected + weighed.expected,
    })
}

fn late_crashes(crashes: &[WeighedCrash<'_>]) -> usize {
    let unexplained = crashes.iter().filter(|weighed| !weighed.is_explained);
    let mut times: Vec<u64> = unexplained.map(|weighed| weighed.crash.observation.at.0).collect();
    times.sort_unstable();
    let third = times.get(CRASH_THRESHOLD - 1).copied();
    third.map_or(0, |third| times.iter().filter(|at| **at > third.saturating_add(LATE_PERIOD.0)).count())
}

/// Returns the largest group of unexplained crashes at the same point of the response.
fn at_same_point(crashes: &[WeighedCrash<'_>]) -> Count {
    let unexplained = || crashes.iter().filter(|weighed| !weighed.is_explained);
    let count_from = |first: u64| {
        let last = first.saturating_add(SAME_POINT_TOLERANCE);
        let group = unexplained().filter(|weighed| (first..=last).contains(&weighed.crash.progress));
        group.fold(Count::default(), |count, weighed| Count {
            crashes: count.crashes + 1,
            expected: count.expected + weighed.expected * weighed.crash.share_at_same_point(),
        })
    };
    let groups = unexplained().map(|weighed| count_from(weighed.crash.progress));
    groups.max_by_key(|group| group.crashes).unwrap_or_default()
}
