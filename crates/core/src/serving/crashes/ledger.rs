//! Crash history of requests, and the quarantine that follows from it.
//!
//! For each request, the ledger stores the observed crashes as a grow-only set and the time of the last completion as a
//! maximum. Merging is therefore commutative and idempotent, and nodes that exchange their reports in any order reach
//! the same decisions.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

use super::digest::RequestDigest;
use super::evidence::{Attribution, CRASH_THRESHOLD, CandidateCrash, Evidence, Observation};
use super::recent::RecentCompletions;
use super::report::{Completion, Crash, CrashReport};
use crate::backoff::Backoff;
use crate::serving::workers::WorkerId;
use crate::time::{Millis, UnixMillis};

/// Duration of a quarantine; doubles with each crash beyond the threshold.
const QUARANTINE_BACKOFF: Backoff = Backoff::new(Millis(300_000), MAX_QUARANTINE);
/// Maximum duration of a quarantine.
const MAX_QUARANTINE: Millis = Millis(3_600_000);
/// Time for which a request is retained after its last crash. Bounds memory.
const CRASH_RETENTION: Millis = Millis(2 * MAX_QUARANTINE.0);
/// Maximum number of request digests tracked; those whose last crash is oldest are evicted first. Bounds memory.
const MAX_REQUESTS: usize = 2_048;
/// Maximum number of observations stored per request; the oldest are evicted first. Bounds memory.
const MAX_OBSERVATIONS: usize = 32;
/// Crashes within this time after a completion of the request are not attributed to it. Exempts requests that many
/// callers send and that therefore run on every worker that crashes.
pub(super) const COMPLETION_GRACE_PERIOD: Millis = Millis(10_000);

/// Origin of a crash or completion. A node reports only the crashes and completions that it observed itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Local,
    Peer,
}

/// Details of an observation that are not part of its identity.
#[derive(Clone, Copy, Debug)]
struct ObservationDetails {
    /// Number of the last event of the response before the crash, 0 for none.
    progress: u64,
    source: Source,
}

#[derive(Clone, Copy, Debug)]
struct LastCompletion {
    at: UnixMillis,
    source: Source,
}

/// Crash history of one request.
#[derive(Clone, Debug, Default)]
struct SuspectRequest {
    observations: BTreeMap<Observation, ObservationDetails>,
    completed: Option<LastCompletion>,
}

impl SuspectRequest {
    /// Returns the observations since the last completion, excluding the grace period after it.
    fn active_observations(&self) -> impl Iterator<Item = (&Observation, &ObservationDetails)> {
        let exempt_until =
            self.completed.map_or(0, |completed| completed.at.0.saturating_add(COMPLETION_GRACE_PERIOD.0));
        self.observations.iter().filter(move |(observation, _)| observation.at.0 > exempt_until)
    }

    /// Returns the crashes since the last completion, with observations of the same crash merged.
    fn crashes(&self) -> Vec<CandidateCrash<'_>> {
        let mut crashes: Vec<CandidateCrash<'_>> = Vec::new();
        for (observation, details) in self.active_observations() {
            match crashes.last_mut().filter(|last| last.observation.is_same_crash(observation)) {
                Some(last) => last.progress = last.progress.max(details.progress),
                None => crashes.push(CandidateCrash { observation, progress: details.progress }),
            }
        }
        crashes
    }

    fn last_crash(&self) -> UnixMillis {
        self.observations.keys().map(|observation| observation.at).max().unwrap_or_default()
    }

    fn evict_oldest(&mut self) {
        let oldest = self.observations.keys().min_by_key(|observation| observation.at).cloned();
        if let Some(oldest) = oldest {
            self.observations.remove(&oldest);
        }
    }

    /// Returns whether a completion should be reported to other nodes. With a single crash it would change no decision,
    /// and most tracked requests have only one, since they merely shared a worker with the cause.
    fn should_report_completion(&self) -> bool {
        self.observations.len() + 1 >= CRASH_THRESHOLD
    }
}

/// A new or extended quarantine of a request, for logging.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Number of crashes that count toward the quarantine.
    pub crashes: usize,
    /// End of the quarantine.
    pub until: UnixMillis,
}

/// Crash counts of a request, for logging.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashCount {
    /// Number of stored observations.
    pub observed: usize,
    /// Number of crashes that count toward a quarantine.
    pub counted: usize,
}

/// Size of a ledger, for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerSize {
    /// Number of request digests tracked.
    pub tracked: usize,
    /// Number of request digests evicted for lack of capacity since the ledger was created.
    pub evicted: u64,
    /// Those among them that had enough crashes for a quarantine.
    pub evicted_above_threshold: u64,
}

/// Crash history of all requests during which workers crashed. Uses wall-clock time, because times are shared between
/// nodes and persist across restarts; clock skew of a few seconds is tolerated, since a quarantine lasts minutes.
#[derive(Clone, Debug)]
pub struct CrashLedger {
    suspects: BTreeMap<RequestDigest, SuspectRequest>,
    evicted: u64,
    evicted_above_threshold: u64,
    recent: RecentCompletions,
}

impl Default for CrashLedger {
    fn default() -> Self {
        Self {
            suspects: BTreeMap::new(),
            evicted: 0,
            evicted_above_threshold: 0,
            recent: RecentCompletions::new(COMPLETION_GRACE_PERIOD),
        }
    }
}

impl CrashLedger {
    /// Returns whether no crashes are stored.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the size of the ledger.
    pub fn size(&self) -> LedgerSize {
        LedgerSize {
            tracked: self.suspects.len(),
            evicted: self.evicted,
            evicted_above_threshold: self.evicted_above_threshold,
        }
    }

    /// Records that a worker crashed while it ran a request of this node. `progress` is the number of the last event of
    /// the response, 0 for none. Returns the resulting quarantine, if any.
    pub fn record_local_crash(
        &mut self,
        digest: RequestDigest,
        worker: WorkerId,
        progress: u64,
        now: UnixMillis,
    ) -> Option<Quarantine> {
        self.evict_expired(now);
        self.record_crash(Crash { digest, worker, at: now, progress }, Source::Local);
        self.quarantine(digest)
    }

    /// Records that a request of this node completed, which clears its earlier crashes. Returns the crash counts before
    /// that, or `None` if there were no crashes.
    pub fn record_local_completion(&mut self, digest: RequestDigest, now: UnixMillis) -> Option<CrashCount> {
        self.recent.record(digest, now);
        let previous_count = self.count(digest);
        self.record_completion(Completion { digest, at: now }, Source::Local).then_some(previous_count)
    }

    /// Returns the crash counts of a request.
    pub fn count(&self, digest: RequestDigest) -> CrashCount {
        let observed = self.suspects.get(&digest).map_or(0, |suspect| suspect.observations.len());
        let counted = self.attribute(digest).map_or(0, Attribution::counted);
        CrashCount { observed, counted }
    }

    /// Returns the remaining quarantine of a request, or `None` if it may run.
    pub fn quarantined_for(&self, digest: RequestDigest, now: UnixMillis) -> Option<Millis> {
        let until = self.quarantined_until(digest)?;
        let remaining = until.0.saturating_sub(now.0);
        (remaining > 0).then_some(Millis(remaining))
    }

    /// Returns whether one more crash would quarantine the request. If so, the next attempt has to wait until the
    /// outcome of the previous one is known.
    pub fn is_near_quarantine(&self, digest: RequestDigest) -> bool {
        self.attribute(digest).is_some_and(Attribution::is_near_quarantine)
    }

    /// Merges the report of another node, or the report that this node stored before its restart (`is_local`). Returns
    /// the resulting quarantines.
    pub fn merge(&mut self, report: &CrashReport, is_local: bool, now: UnixMillis) -> Vec<Quarantine> {
        let source = if is_local { Source::Local } else { Source::Peer };
        let mut updated = BTreeSet::new();
        for crash in &report.crashes {
            if self.record_crash(crash.clone(), source) {
                updated.insert(crash.digest);
            }
        }
        for completion in &report.completions {
            self.record_completion(completion.clone(), source);
        }
        self.evict_expired(now);
        let quarantines = updated.into_iter().filter_map(|digest| self.quarantine(digest));
        quarantines.filter(|quarantine| quarantine.until > now).collect()
    }

    /// Returns this node's report to the other nodes.
    pub fn report(&self) -> CrashReport {
        let mut report = CrashReport::default();
        for (digest, suspect) in &self.suspects {
            let own = suspect.active_observations().filter(|(_, details)| details.source == Source::Local);
            report.crashes.extend(own.map(|(observation, details)| Crash {
                digest: *digest,
                worker: observation.worker.clone(),
                at: observation.at,
                progress: details.progress,
            }));
            let completed = suspect.completed.filter(|completed| completed.source == Source::Local);
            if let Some(completed) = completed.filter(|_| suspect.should_report_completion()) {
                report.completions.push(Completion { digest: *digest, at: completed.at });
            }
        }
        report
    }

    /// Records a crash. Returns whether it is new.
    fn record_crash(&mut self, crash: Crash, source: Source) -> bool {
        let suspect = self.suspects.entry(crash.digest).or_insert_with(|| {
            let last = self.recent.last(crash.digest);
            let completed = last.map(|at| LastCompletion { at, source: Source::Local });
            SuspectRequest { completed, ..SuspectRequest::default() }
        });
        let details = ObservationDetails { progress: crash.progress, source };
        let is_new = match suspect.observations.entry(Observation { worker: crash.worker, at: crash.at }) {
            Entry::Occupied(_) => false,
            Entry::Vacant(entry) => {
                entry.insert(details);
                true
            }
        };
        if suspect.observations.len() > MAX_OBSERVATIONS {
            suspect.evict_oldest();
        }
        is_new
    }

    /// Counts the crashes since a request's last completion that are attributed to it.
    ///
    /// A crash affects all requests in the worker's slots. If another affected request has stronger evidence that
    /// suffices for a quarantine, the crash counts for that request only.
    fn attribute(&self, digest: RequestDigest) -> Option<Attribution> {
        let crashes = self.suspects.get(&digest)?.crashes();
        let own = Evidence::of(&crashes);
        let mut unexplained = crashes;
        for others in self.suspects.values().map(SuspectRequest::crashes) {
            let evidence = Evidence::of(&others);
            if evidence > own && evidence.meets_threshold() {
                unexplained
                    .retain(|crash| !others.iter().any(|other| other.observation.is_same_crash(crash.observation)));
            }
        }
        Some(Attribution { unexplained: Evidence::of(&unexplained), total: own.total })
    }

    /// Returns the end of a request's quarantine, which may be in the past, or `None` below the threshold.
    fn quarantined_until(&self, digest: RequestDigest) -> Option<UnixMillis> {
        let suspect = self.suspects.get(&digest)?;
        let excess = u32::try_from(self.attribute(digest)?.excess()?).unwrap_or(u32::MAX);
        Some(UnixMillis(suspect.last_crash().0.saturating_add(QUARANTINE_BACKOFF.wait(excess).0)))
    }

    fn quarantine(&self, digest: RequestDigest) -> Option<Quarantine> {
        let until = self.quarantined_until(digest)?;
        Some(Quarantine { digest, crashes: self.count(digest).counted, until })
    }

    /// Records a completion. Returns whether the request has crashes; completions of requests without crashes are not
    /// stored.
    fn record_completion(&mut self, completion: Completion, source: Source) -> bool {
        let Some(suspect) = self.suspects.get_mut(&completion.digest) else { return false };
        if suspect.completed.is_none_or(|known| known.at < completion.at) {
            suspect.completed = Some(LastCompletion { at: completion.at, source });
        }
        true
    }

    fn evict_expired(&mut self, now: UnixMillis) {
        let is_retained = |suspect: &SuspectRequest| now.0.saturating_sub(suspect.last_crash().0) < CRASH_RETENTION.0;
        self.suspects.retain(|_, suspect| is_retained(suspect));
        let surplus = self.suspects.len().saturating_sub(MAX_REQUESTS);
        if surplus == 0 {
            return;
        }
        let by_age: BTreeSet<_> = self.suspects.iter().map(|(digest, known)| (known.last_crash(), *digest)).collect();
        for (_, digest) in by_age.into_iter().take(surplus) {
            let evicted = self.suspects.remove(&digest);
            self.evicted += 1;
            let evidence = evicted.map(|suspect| Evidence::of(&suspect.crashes())).unwrap_or_default();
            self.evicted_above_threshold += u64::from(evidence.meets_threshold());
        }
    }
}
