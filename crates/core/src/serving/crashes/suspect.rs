//! Crash history of one request.

use super::evidence::{CRASH_THRESHOLD, CandidateCrash, Evidence, Observation};
use super::ledger::COMPLETION_GRACE_PERIOD;
use super::report::{Crash, CrashedRun};
use crate::time::UnixMillis;

/// Maximum number of observations stored per request; the oldest are evicted first. Bounds memory.
const MAX_OBSERVATIONS: usize = 32;

/// Origin of a crash or completion. A node reports only the crashes and completions that it observed itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    Local,
    Peer,
}

/// Details of an observation that are not part of its identity.
#[derive(Clone, Debug)]
pub(super) struct ObservationDetails {
    /// Number of the last event of the response before the crash, 0 for none.
    pub(super) progress: u64,
    pub(super) run: Option<CrashedRun>,
    pub(super) source: Source,
}

/// How often workers crashed during a request, regardless of completions. Determines which requests are evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Recurrence {
    Once,
    Twice,
    /// Often enough for a quarantine.
    Repeatedly,
}

impl Recurrence {
    /// Returns all classes in ascending order.
    pub(super) fn all() -> [Self; CRASH_THRESHOLD] {
        [Self::Once, Self::Twice, Self::Repeatedly]
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct LastCompletion {
    pub(super) at: UnixMillis,
    pub(super) source: Source,
}

/// Crash history of one request. Kept small, since a crash affects all requests in the worker's slots.
#[derive(Clone, Debug, Default)]
pub(super) struct SuspectRequest {
    /// Sorted by worker and time.
    observations: Vec<(Observation, ObservationDetails)>,
    completed: Option<LastCompletion>,
    /// Crash counts since the last completion.
    evidence: Evidence,
}

impl SuspectRequest {
    /// Creates the history of a request that completed at the given time, if ever.
    pub(super) fn new(completed: Option<LastCompletion>) -> Self {
        Self { completed, ..Self::default() }
    }

    /// Records a crash. Returns whether it is new.
    pub(super) fn record_crash(&mut self, crash: Crash, source: Source) -> bool {
        let observation = Observation { worker: crash.worker, at: crash.at };
        let details = ObservationDetails { progress: crash.progress, run: crash.run, source };
        let Err(position) = self.observations.binary_search_by(|(known, _)| known.cmp(&observation)) else {
            return false;
        };
        // Most requests are affected by a single crash.
        self.observations.reserve_exact(1);
        self.observations.insert(position, (observation, details));
        if self.observations.len() > MAX_OBSERVATIONS {
            self.evict_oldest();
        }
        self.evidence = Evidence::of(&self.crashes());
        true
    }

    /// Records a completion, which clears earlier crashes.
    pub(super) fn record_completion(&mut self, completion: LastCompletion) {
        if self.completed.is_none_or(|known| known.at < completion.at) {
            self.completed = Some(completion);
            self.evidence = Evidence::of(&self.crashes());
        }
    }

    /// Returns the observations since the last completion, excluding the grace period after it.
    pub(super) fn active_observations(&self) -> impl Iterator<Item = &(Observation, ObservationDetails)> {
        let exempt_until =
            self.completed.map_or(0, |completed| completed.at.0.saturating_add(COMPLETION_GRACE_PERIOD.0));
        self.observations.iter().filter(move |(observation, _)| observation.at.0 > exempt_until)
    }

    /// Returns the crashes since the last completion, with observations of the same crash merged.
    pub(super) fn crashes(&self) -> Vec<CandidateCrash<'_>> {
        let mut crashes: Vec<CandidateCrash<'_>> = Vec::new();
        for (observation, details) in self.active_observations() {
            match crashes.last_mut().filter(|last| last.observation.is_same_crash(observation)) {
                Some(last) => {
                    last.progress = last.progress.max(details.progress);
                    last.run = last.run.or(details.run.as_ref());
                }
                None => {
                    let run = details.run.as_ref();
                    crashes.push(CandidateCrash { observation, progress: details.progress, run });
                }
            }
        }
        crashes
    }

    /// Returns the crash counts since the last completion.
    pub(super) fn evidence(&self) -> Evidence {
        self.evidence
    }

    /// Returns the number of stored observations.
    pub(super) fn observed(&self) -> usize {
        self.observations.len()
    }

    pub(super) fn recurrence(&self) -> Recurrence {
        match self.observations.len() {
            0 | 1 => Recurrence::Once,
            2 => Recurrence::Twice,
            _ => Recurrence::Repeatedly,
        }
    }

    pub(super) fn last_crash(&self) -> UnixMillis {
        self.observations.iter().map(|(observation, _)| observation.at).max().unwrap_or_default()
    }

    /// Returns the last completion if this node should report it. With a single crash it would change no decision, and
    /// most tracked requests have only one, since they merely shared a worker with the cause.
    pub(super) fn reportable_completion(&self) -> Option<UnixMillis> {
        let is_relevant = self.observations.len() + 1 >= CRASH_THRESHOLD;
        let completed = self.completed.filter(|completed| is_relevant && completed.source == Source::Local);
        completed.map(|completed| completed.at)
    }

    fn evict_oldest(&mut self) {
        let times = self.observations.iter().map(|(observation, _)| observation.at);
        if let Some((oldest, _)) = times.enumerate().min_by_key(|(_, at)| *at) {
            self.observations.remove(oldest);
        }
    }
}
