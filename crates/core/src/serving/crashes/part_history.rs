//! Crash history of one prompt part.

use std::collections::BTreeSet;

use super::digest::RequestDigest;
use super::evidence::{CRASH_THRESHOLD, Observation};
use super::report::PartCrash;
use super::suspect::Source;
use crate::time::{Millis, UnixMillis};

/// Number of crashes without a survival after which a part is quarantined. One more than for a request, which is
/// quarantined first if it alone holds the part.
pub(super) const PART_CRASH_THRESHOLD: usize = CRASH_THRESHOLD + 1;
/// Number of different requests among these crashes. Crashes of a single request are attributed to the request.
const MIN_REQUESTS: usize = 2;
/// Crashes within this time after a request with the part survived are not attributed to the part.
pub(super) const SURVIVAL_GRACE_PERIOD: Millis = Millis(10_000);
/// Minimum time between two survivals of a part that are recorded. Limits the reports to other nodes.
const SURVIVAL_INTERVAL: Millis = Millis(SURVIVAL_GRACE_PERIOD.0 / 2);
/// Maximum number of requests stored for one crash, enough to tell whether several requests hold the part.
const MAX_REQUESTS_PER_CRASH: usize = MIN_REQUESTS;
/// Maximum number of observations stored per part; the oldest are evicted first. Bounds memory.
const MAX_OBSERVATIONS: usize = 64;
/// Time after the crash that quarantined a part in which further ones are those of requests that were on their way.
const SETTLING_PERIOD: Millis = Millis(10_000);

#[derive(Clone, Copy, Debug)]
pub(super) struct Survival {
    pub(super) at: UnixMillis,
    pub(super) source: Source,
}

/// Crash history of one part. Contains only crashes after the last survival and its grace period.
#[derive(Clone, Debug, Default)]
pub(super) struct PartHistory {
    /// Sorted by time.
    pub(super) crashes: Vec<(PartCrash, Source)>,
    pub(super) survived: Option<Survival>,
}

impl PartHistory {
    fn exempt_until(&self) -> UnixMillis {
        let grace = |survival: Survival| UnixMillis(survival.at.0.saturating_add(SURVIVAL_GRACE_PERIOD.0));
        self.survived.map_or(UnixMillis(0), grace)
    }

    /// Records a survival. Returns whether it is new enough to be reported.
    pub(super) fn record_survival(&mut self, survival: Survival) -> bool {
        let is_new = self.survived.is_none_or(|known| known.at.0.saturating_add(SURVIVAL_INTERVAL.0) <= survival.at.0);
        if is_new {
            self.survived = Some(survival);
            let exempt_until = self.exempt_until();
            self.crashes.retain(|(crash, _)| crash.at > exempt_until);
        }
        is_new
    }

    /// Returns whether recording a crash again would change nothing.
    pub(super) fn is_recorded(&self, crash: &PartCrash) -> bool {
        self.crashes.iter().any(|(known, _)| known == crash)
    }

    /// Records a crash unless a request with the part survived shortly before. Returns whether it is new.
    pub(super) fn record_crash(&mut self, crash: PartCrash, source: Source) -> bool {
        let observation = crash.observation();
        let of_same_crash = self.crashes.iter().filter(|(known, _)| known.observation().is_same_crash(&observation));
        if self.is_recorded(&crash)
            || crash.at <= self.exempt_until()
            || of_same_crash.count() >= MAX_REQUESTS_PER_CRASH
        {
            return false;
        }
        let position = self.crashes.partition_point(|(known, _)| known.at <= crash.at);
        self.crashes.insert(position, (crash, source));
        if self.crashes.len() > MAX_OBSERVATIONS {
            self.crashes.remove(0);
        }
        true
    }

    /// Returns the number of crashes for which `is_counted` holds; observations of the same crash count once.
    pub(super) fn count(&self, mut is_counted: impl FnMut(&Observation) -> bool) -> usize {
        let mut counted: Vec<Observation> = Vec::new();
        for (crash, _) in &self.crashes {
            let observation = crash.observation();
            if !counted.iter().any(|known| known.is_same_crash(&observation)) && is_counted(&observation) {
                counted.push(observation);
            }
        }
        counted.len()
    }

    pub(super) fn strength(&self) -> Strength {
        let positions = self.crashes.iter().map(|(crash, _)| crash.position);
        Strength { crashes: self.count(|_| true), position: positions.min().unwrap_or_default() }
    }

    pub(super) fn has_several_requests(&self) -> bool {
        let requests: BTreeSet<RequestDigest> = self.crashes.iter().map(|(crash, _)| crash.request).collect();
        requests.len() >= MIN_REQUESTS
    }

    /// Returns the number of crashes later than those of requests that were on their way when the part was quarantined.
    pub(super) fn later_crashes(&self) -> usize {
        let mut crashes: Vec<UnixMillis> = Vec::new();
        self.count(|crash| {
            crashes.push(crash.at);
            true
        });
        let quarantined_at = crashes.get(PART_CRASH_THRESHOLD - 1).copied().unwrap_or_default();
        crashes.iter().filter(|at| at.0 > quarantined_at.0.saturating_add(SETTLING_PERIOD.0)).count()
    }

    /// Returns the time from the first to the last crash.
    pub(super) fn duration(&self) -> Millis {
        let times = self.crashes.first().zip(self.crashes.last());
        times.map_or(Millis(0), |((first, _), (last, _))| Millis(last.at.0.saturating_sub(first.at.0)))
    }

    pub(super) fn is_affected_by(&self, crash: &Observation) -> bool {
        self.crashes.iter().any(|(known, _)| known.observation().is_same_crash(crash))
    }

    pub(super) fn last_change(&self) -> UnixMillis {
        let last_crash = self.crashes.last().map_or(UnixMillis(0), |(crash, _)| crash.at);
        last_crash.max(self.survived.map_or(UnixMillis(0), |survival| survival.at))
    }
}

/// How much speaks against a part. The order decides which of two parts explains a crash that affected both. Of two parts
/// with equally many crashes it is the later one in their prompts: more requests share the earlier one, and if that one
/// is the cause, it soon has more crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Strength {
    pub(super) crashes: usize,
    pub(super) position: u32,
}
