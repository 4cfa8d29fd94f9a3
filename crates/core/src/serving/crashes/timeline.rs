//! The worker crashes that are known, whichever request they affected.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::evidence::{Observation, SAME_CRASH_WINDOW};
use crate::serving::workers::WorkerId;
use crate::time::{Millis, UnixMillis};

/// Maximum number of observations stored; the oldest are evicted first. Bounds memory.
const MAX_OBSERVATIONS: usize = 65_536;
/// Observations of one worker within the same interval are stored once, since a crash affects all requests of a worker.
const RESOLUTION: Millis = Millis(100);

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

    /// Returns the number of crashes of workers of `service` from `first` to `last`, excluding those in `excluded`.
    pub(super) fn count(&self, service: &str, first: UnixMillis, last: UnixMillis, excluded: &[&Observation]) -> usize {
        let smallest = (first, WorkerId(Arc::from("")), Arc::from(""));
        let in_time = self.observations.range(smallest..).take_while(|(at, _, _)| *at <= last);
        let mut counted_at: BTreeMap<&WorkerId, UnixMillis> = BTreeMap::new();
        let mut count = 0;
        for (at, worker, _) in in_time.filter(|(_, _, of)| **of == *service) {
            let observation = Observation { worker: worker.clone(), at: *at };
            let is_known = counted_at.get(worker).is_some_and(|known| at.0 - known.0 < SAME_CRASH_WINDOW.0);
            if !is_known && !excluded.iter().any(|own| own.is_same_crash(&observation)) {
                counted_at.insert(worker, *at);
                count += 1;
            }
        }
        count
    }
}
