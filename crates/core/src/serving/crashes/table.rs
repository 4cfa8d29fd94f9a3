//! The tracked requests, with the indexes that keep the cost of a crash independent of their number.

use std::collections::{BTreeMap, BTreeSet};

use super::digest::RequestDigest;
use super::evidence::Evidence;
use super::ledger::MAX_QUARANTINE;
use super::suspect::{Recurrence, SuspectRequest};
use crate::serving::workers::WorkerId;
use crate::time::{Millis, UnixMillis};

/// Maximum number of request digests tracked in each class of recurrence. Holds those of 2,000 workers with 8 occupied
/// slots, which may crash at once. Bounds memory.
const MAX_REQUESTS_PER_CLASS: usize = 32_768;
/// Time for which a request is retained after its last crash. Bounds memory.
const CRASH_RETENTION: Millis = Millis(2 * MAX_QUARANTINE.0);

/// Requests during which workers crashed.
///
/// Invariants: `by_recurrence` contains each tracked request once. `explaining` contains each request whose crashes suffice
/// for a quarantine under the workers of these crashes, and no other request.
#[derive(Clone, Debug, Default)]
pub(super) struct SuspectTable {
    suspects: BTreeMap<RequestDigest, SuspectRequest>,
    /// Requests of each class by time of the last crash.
    by_recurrence: BTreeMap<Recurrence, BTreeSet<(UnixMillis, RequestDigest)>>,
    /// Requests that may explain the crashes of others, by worker and evidence.
    explaining: BTreeSet<(WorkerId, Evidence, RequestDigest)>,
}

/// Number of requests that were evicted before their retention time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Evicted {
    pub(super) requests: u64,
    /// Those among them with enough crashes for a quarantine.
    pub(super) above_threshold: u64,
}

impl SuspectTable {
    pub(super) fn len(&self) -> usize {
        self.suspects.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    pub(super) fn get(&self, digest: RequestDigest) -> Option<&SuspectRequest> {
        self.suspects.get(&digest)
    }

    /// Changes a request, which is inserted if it is not tracked.
    pub(super) fn update<T>(
        &mut self,
        digest: RequestDigest,
        new: impl FnOnce() -> SuspectRequest,
        change: impl FnOnce(&mut SuspectRequest) -> T,
    ) -> T {
        let mut suspect = self.remove(digest).unwrap_or_else(new);
        let result = change(&mut suspect);
        self.insert(digest, suspect);
        result
    }

    /// Returns the requests with stronger evidence than `own` that may explain crashes of a worker, as their own crashes
    /// suffice for a quarantine.
    pub(super) fn explaining(&self, worker: &WorkerId, own: Evidence) -> impl Iterator<Item = &SuspectRequest> {
        let weakest = (worker.clone(), Evidence::default(), RequestDigest::smallest());
        let strongest = (worker.clone(), Evidence::largest(), RequestDigest::largest());
        let strongest_first = self.explaining.range(weakest..=strongest).rev();
        let stronger = strongest_first.take_while(move |(_, evidence, _)| *evidence > own);
        stronger.filter_map(|(_, _, digest)| self.suspects.get(digest))
    }

    /// Returns all requests, those of the highest class first, then those with the latest crash.
    pub(super) fn strongest_first(&self) -> impl Iterator<Item = (RequestDigest, &SuspectRequest)> {
        let digests = self.by_recurrence.values().rev().flat_map(|requests| requests.iter().rev());
        digests.filter_map(|(_, digest)| Some((*digest, self.suspects.get(digest)?)))
    }

    /// Evicts requests whose retention time has passed, and the oldest ones of a class that has too many.
    ///
    /// Classes do not evict each other. A quarantined request does not run, so its last crash is older than those of the
    /// many requests that an unrelated crash affects once; these must not displace it, nor may it displace new suspects.
    pub(super) fn evict(&mut self, now: UnixMillis) -> Evicted {
        let mut evicted = Evicted::default();
        for class in Recurrence::all() {
            while let Some((last_crash, digest)) = self.oldest(class) {
                let is_expired = now.0.saturating_sub(last_crash.0) >= CRASH_RETENTION.0;
                let is_surplus = self.count(class) > MAX_REQUESTS_PER_CLASS;
                if !is_expired && !is_surplus {
                    break;
                }
                let Some(suspect) = self.remove(digest) else { break };
                if !is_expired {
                    evicted.requests += 1;
                    evicted.above_threshold += u64::from(suspect.evidence().meets_threshold());
                }
            }
        }
        evicted
    }

    fn oldest(&self, class: Recurrence) -> Option<(UnixMillis, RequestDigest)> {
        self.by_recurrence.get(&class)?.first().copied()
    }

    fn count(&self, class: Recurrence) -> usize {
        self.by_recurrence.get(&class).map_or(0, BTreeSet::len)
    }

    fn insert(&mut self, digest: RequestDigest, suspect: SuspectRequest) {
        let requests = self.by_recurrence.entry(suspect.recurrence()).or_default();
        requests.insert((suspect.last_crash(), digest));
        for worker in explaining_workers(&suspect) {
            self.explaining.insert((worker.clone(), suspect.evidence(), digest));
        }
        self.suspects.insert(digest, suspect);
    }

    fn remove(&mut self, digest: RequestDigest) -> Option<SuspectRequest> {
        let suspect = self.suspects.remove(&digest)?;
        if let Some(requests) = self.by_recurrence.get_mut(&suspect.recurrence()) {
            requests.remove(&(suspect.last_crash(), digest));
        }
        for worker in explaining_workers(&suspect) {
            self.explaining.remove(&(worker.clone(), suspect.evidence(), digest));
        }
        Some(suspect)
    }
}

/// Returns the workers whose crashes a request may explain.
fn explaining_workers(suspect: &SuspectRequest) -> impl Iterator<Item = &WorkerId> {
    let may_explain = suspect.evidence().meets_threshold();
    suspect.active_observations().filter(move |_| may_explain).map(|(observation, _)| &observation.worker)
}
