//! The worker crashes that are known, whichever request they affected.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::evidence::Observation;
use crate::serving::workers::WorkerId;
use crate::time::{Millis, UnixMillis};

/// Maximum number of observations stored; the oldest are evicted first. Bounds memory.
const MAX_OBSERVATIONS: usize = 65_536;
/// Observations of one worker within the same interval are stored once, since a crash affects all requests of a worker.
const RESOLUTION: Millis = Millis(100);
/// Observations of one worker within this time are of one crash. Longer than the time after which the record of a crashed
/// worker is removed, which is observed in addition to the runs that the crash interrupted.
const SAME_CRASH_PERIOD: Millis = Millis(6_000);
/// Time after a crash during which the worker's record still counts it among the workers that accept requests.
const RECORD_PERIOD: Millis = Millis(3_000);

/// Worker crashes by time. A grow-only set, so that nodes which know the same crashes count the same.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashTimeline {
    observations: BTreeSet<(UnixMillis, WorkerId, Arc<str>)>,
}

impl CrashTimeline {
    /// Records an observation of a crash of a worker of `service`.
    pub(super) fn record(&mut self, observation: &Observation, service: &Arc<str>) {
        let at = UnixMillis(observation.at.0 / RESOLUTION.0 * RESOLUTION.0);
        self.observations.insert((at, observation.worker.clone(), service.clone()));
        if self.observations.len() > MAX_OBSERVATIONS {
            self.observations.pop_first();
        }
    }

    /// Returns the number of workers of `service` that crashed from `first` to `last`, excluding the crashes in `excluded`.
    pub(super) fn count(&self, service: &str, first: UnixMillis, last: UnixMillis, excluded: &[&Observation]) -> usize {
        let smallest = (first, WorkerId(Arc::from("")), Arc::from(""));
        let in_time = self.observations.range(smallest..).take_while(|(at, _, _)| *at <= last);
        let mut counted_at: BTreeMap<&WorkerId, UnixMillis> = BTreeMap::new();
        let mut count = 0;
        for (at, worker, _) in in_time.filter(|(_, _, of)| **of == *service) {
            let is_same = |known: UnixMillis| at.0.abs_diff(known.0) < SAME_CRASH_PERIOD.0;
            let is_known = counted_at.get(worker).copied().is_some_and(is_same);
            if !is_known && !excluded.iter().any(|own| own.worker == *worker && is_same(own.at)) {
                counted_at.insert(worker, *at);
                count += 1;
            }
        }
        count
    }

    /// Returns how many of `workers` workers of `service` were left at a time, one at least.
    pub(super) fn remaining(&self, service: &str, workers: u32, at: UnixMillis, excluded: &[&Observation]) -> usize {
        let crashed = self.count(service, UnixMillis(at.0.saturating_sub(RECORD_PERIOD.0)), at, excluded);
        (workers as usize).saturating_sub(crashed).max(1)
    }
}
