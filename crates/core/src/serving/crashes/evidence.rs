//! How strongly the crashes of workers speak against a request that was there.
//!
//! All requests in a worker's slots are there when it dies, and most have nothing to do with it. The more often that happens
//! to a request, and the more alike, the less it is chance.

use crate::serving::workers::WorkerId;
use crate::time::{Millis, UnixMillis};

/// So many workers may die under one request, at the same point of its answer and without a run to its end between, before
/// it is kept from all others. One or two may die of something else at the same time; a worker that is lost takes up to all
/// of its slots of other requests with it. The users' bound.
pub const MOST_CRASHES: usize = 3;
/// The same where they died at different points. That is how a long answer looks which was only there, too.
const MOST_SCATTERED: usize = MOST_CRASHES + 1;
/// The same whatever else explains the crashes: the users allow three retries beyond [`MOST_CRASHES`].
const MOST_EXPLAINED: usize = MOST_CRASHES + 3;
/// Two nodes that see one worker die of a request within this time saw the same crash, in milliseconds. A worker that
/// starts again under its id and dies again later counts anew.
const SAME_CRASH: Millis = Millis(1_000);
/// Runs whose last events are no further apart died at the same point, in events: some are on their way when a worker dies.
const SAME_POINT: u64 = 2;

/// A crash that was seen. Two sightings at one worker within [`SAME_CRASH`] are of one crash.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Sighting {
    pub(super) worker: WorkerId,
    pub(super) at: UnixMillis,
}

impl Sighting {
    pub(super) fn is_same_crash(&self, other: &Self) -> bool {
        self.worker == other.worker && self.at.0.abs_diff(other.at.0) < SAME_CRASH.0
    }
}

/// A crash that counts unless another request explains it.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenCrash<'a> {
    pub(super) sighting: &'a Sighting,
    /// How far the request's answer was, in events.
    pub(super) progress: u64,
}

/// How strongly crashes speak against a request. The order decides which of two requests explains a crash of both: crashes
/// at one point say more than crashes anywhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Evidence {
    /// Most crashes at the same point of the answer.
    at_one_point: usize,
    pub(super) all: usize,
}

impl Evidence {
    pub(super) fn of(crashes: &[OpenCrash<'_>]) -> Self {
        let mut points: Vec<u64> = crashes.iter().map(|crash| crash.progress).collect();
        points.sort_unstable();
        let near = |first: &u64| {
            let last = first.saturating_add(SAME_POINT);
            points.iter().filter(|point| (*first..=last).contains(point)).count()
        };
        Self { at_one_point: points.iter().map(near).max().unwrap_or(0), all: points.len() }
    }

    /// Whether it is enough to quarantine a request that nothing else clears.
    pub(super) fn is_enough(self) -> bool {
        self.beyond().is_some()
    }

    /// How many crashes there are beyond the first that is enough; `None` if there are too few.
    fn beyond(self) -> Option<usize> {
        let at_one_point = self.at_one_point.checked_sub(MOST_CRASHES);
        at_one_point.max(self.all.checked_sub(MOST_SCATTERED))
    }
}

/// What speaks against a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Verdict {
    /// Crashes that nothing else explains.
    pub(super) open: Evidence,
    /// All crashes.
    pub(super) all: usize,
}

impl Verdict {
    /// How many crashes there are beyond the first that is enough; `None` if there are too few.
    pub(super) fn beyond(self) -> Option<usize> {
        self.open.beyond().max(self.all.checked_sub(MOST_EXPLAINED))
    }

    /// Whether one crash more is enough.
    pub(super) fn is_near_quarantine(self) -> bool {
        let Evidence { at_one_point, all } = self.open;
        at_one_point + 1 >= MOST_CRASHES || all + 1 >= MOST_SCATTERED || self.all + 1 >= MOST_EXPLAINED
    }

    /// The crashes that are held against the request.
    pub(super) fn counted(self) -> usize {
        if self.all >= MOST_EXPLAINED { self.all } else { self.open.all }
    }
}
