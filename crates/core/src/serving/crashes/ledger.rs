//! Crash history of requests, and the quarantine that follows from it.
//!
//! For each request, the ledger stores the observed crashes as a grow-only set and the time of the last completion as a
//! maximum. Merging is therefore commutative and idempotent, and nodes that exchange their reports in any order reach
//! the same decisions.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::coincidence::expected_crashes;
use super::digest::RequestDigest;
use super::evidence::{Attribution, CandidateCrash, Evidence, Observation, WeighedCrash};
use super::parts::{MergedParts, PartLedger};
use super::recent::RecentTimes;
use super::report::{Completion, Crash, CrashReport, MAX_REPORTED_CRASHES};
use super::suspect::{LastCompletion, Source, SuspectRequest};
use super::table::{Evicted, SuspectTable};
use super::timeline::CrashTimeline;
use super::trial_lanes::TrialLanes;
use crate::backoff::Backoff;
use crate::serving::workers::WorkerId;
use crate::time::{Millis, UnixMillis};

/// Duration of a quarantine; doubles with each crash beyond the threshold.
const QUARANTINE_BACKOFF: Backoff = Backoff::new(Millis(300_000), MAX_QUARANTINE);
/// Maximum duration of a quarantine.
pub(super) const MAX_QUARANTINE: Millis = Millis(3_600_000);
/// Crashes within this time after a completion of the request are not attributed to it. Exempts requests that many
/// callers send and that therefore run on every worker that crashes.
pub(super) const COMPLETION_GRACE_PERIOD: Millis = Millis(10_000);

/// Fraction of the maximum number of reported crashes that is available for those of prompt parts in addition, as a
/// divisor. Bounds the size of the record.
const PART_REPORT_DIVISOR: usize = 2;

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
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrashCount {
    /// Number of stored observations.
    pub observed: usize,
    /// Number of crashes that count toward a quarantine.
    pub counted: usize,
    /// Number of crashes that unrelated causes lead to during the runs of the request. Only computed once there are enough
    /// crashes for a quarantine.
    pub expected: f64,
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
    pub(super) suspects: SuspectTable,
    pub(super) timeline: CrashTimeline,
    evicted: Evicted,
    recent: RecentTimes<RequestDigest>,
    pub(super) parts: PartLedger,
    pub(super) trials: TrialLanes,
}

impl Default for CrashLedger {
    fn default() -> Self {
        Self {
            suspects: SuspectTable::default(),
            timeline: CrashTimeline::default(),
            evicted: Evicted::default(),
            recent: RecentTimes::new(COMPLETION_GRACE_PERIOD),
            parts: PartLedger::default(),
            trials: TrialLanes::default(),
        }
    }
}

impl CrashLedger {
    /// Returns whether no crashes are stored.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.parts.is_empty()
    }

    /// Returns the crash history of prompt parts.
    pub fn parts(&self) -> &PartLedger {
        &self.parts
    }

    /// Returns the crash history of prompt parts for changes.
    pub fn parts_mut(&mut self) -> &mut PartLedger {
        &mut self.parts
    }

    /// Returns the size of the ledger.
    pub fn size(&self) -> LedgerSize {
        LedgerSize {
            tracked: self.suspects.len(),
            evicted: self.evicted.requests,
            evicted_above_threshold: self.evicted.above_threshold,
        }
    }

    /// Records that a worker crashed while it ran a request of this node, of which nothing else is known. `progress` is
    /// the number of the last event of the response, 0 for none. Returns the resulting quarantine, if any.
    pub fn record_local_crash(
        &mut self,
        digest: RequestDigest,
        worker: WorkerId,
        progress: u64,
        now: UnixMillis,
    ) -> Option<Quarantine> {
        self.record_local_crash_of_run(Crash { digest, worker, at: now, progress, run: None })
    }

    /// Records that a worker crashed while it ran a request of this node. Returns the resulting quarantine, if any.
    pub fn record_local_crash_of_run(&mut self, crash: Crash) -> Option<Quarantine> {
        let (digest, now) = (crash.digest, crash.at);
        self.trials.record_crash(digest, now);
        self.record_crash(crash, Source::Local);
        self.evict(now);
        self.quarantine(digest)
    }

    /// Records that a worker of `service` was lost, whatever it ran. Such losses tell how many crashes unrelated causes lead
    /// to; a loss of which a crash is known counts once.
    pub fn record_worker_loss(&mut self, worker: WorkerId, service: &Arc<str>, at: UnixMillis) {
        self.timeline.record(&Observation { worker, at }, service);
    }

    /// Records that a request of this node completed, which clears its earlier crashes. Returns the crash counts before
    /// that, or `None` if there were no crashes.
    pub fn record_local_completion(&mut self, digest: RequestDigest, now: UnixMillis) -> Option<CrashCount> {
        self.recent.record(digest, now);
        self.trials.record_completion(digest);
        let previous_count = self.count(digest);
        self.record_completion(Completion { digest, at: now }, Source::Local).then_some(previous_count)
    }

    /// Returns the crash counts of a request.
    pub fn count(&self, digest: RequestDigest) -> CrashCount {
        let observed = self.suspects.get(digest).map_or(0, SuspectRequest::observed);
        let attribution = self.attribute(digest).unwrap_or_default();
        CrashCount { observed, counted: attribution.counted(), expected: attribution.expected() }
    }

    /// Returns the remaining quarantine of a request that its caller may repeat, or `None` if it may run. For batch items see
    /// [`CrashLedger::admit_item_with_parts`].
    pub fn quarantined_for(&self, digest: RequestDigest, now: UnixMillis) -> Option<Millis> {
        let remaining = self.quarantine(digest)?.until.0.saturating_sub(now.0);
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
        self.evict(now);
        let quarantines = updated.into_iter().filter_map(|digest| self.quarantine(digest));
        quarantines.filter(|quarantine| quarantine.until > now).collect()
    }

    /// Merges what the report says about prompt parts; see [`CrashLedger::merge`].
    pub fn merge_parts(&mut self, report: &CrashReport, is_local: bool, now: UnixMillis) -> MergedParts {
        self.parts.merge(&report.parts, is_local, now)
    }

    /// Returns this node's report to the other nodes, of the largest size.
    pub fn report(&self) -> CrashReport {
        self.report_up_to(MAX_REPORTED_CRASHES)
    }

    /// Returns this node's report, of at most `max_crashes` crashes and as many completions. Requests with most crashes
    /// take precedence, then those with the latest crash.
    pub fn report_up_to(&self, max_crashes: usize) -> CrashReport {
        let mut report =
            CrashReport { parts: self.parts.report_up_to(max_crashes / PART_REPORT_DIVISOR), ..CrashReport::default() };
        for (digest, suspect) in self.suspects.strongest_first() {
            let own = suspect.active_observations().filter(|(_, details)| details.source == Source::Local);
            let crashes = own.map(|(observation, details)| Crash {
                digest,
                worker: observation.worker.clone(),
                at: observation.at,
                progress: details.progress,
                run: details.run.clone(),
            });
            report.crashes.extend(crashes.take(max_crashes - report.crashes.len()));
            let completed = suspect.reportable_completion();
            let completions = completed.map(|at| Completion { digest, at }).into_iter();
            report.completions.extend(completions.take(max_crashes - report.completions.len()));
        }
        // Sorted, so that an unchanged report is equal to the previous one.
        report
            .crashes
            .sort_by(|one, other| (one.digest, &one.worker, one.at).cmp(&(other.digest, &other.worker, other.at)));
        report.completions.sort_by_key(|completion| completion.digest);
        report
    }

    /// Records a crash. Returns whether it is new.
    fn record_crash(&mut self, crash: Crash, source: Source) -> bool {
        let digest = crash.digest;
        if let Some(run) = &crash.run {
            let observation = Observation { worker: crash.worker.clone(), at: crash.at };
            self.timeline.record(&observation, &run.service);
        }
        let recent = &self.recent;
        let new = || {
            let completed = recent.last(digest).map(|at| LastCompletion { at, source: Source::Local });
            SuspectRequest::new(completed)
        };
        self.suspects.update(digest, new, |suspect| suspect.record_crash(crash, source))
    }

    /// Counts the crashes since a request's last completion that are attributed to it.
    ///
    /// A crash affects all requests in the worker's slots. If another affected request, or a part of their prompts, has
    /// stronger evidence that suffices for a quarantine, the crash counts for that request or part only. Crashes count for
    /// none if as many are to be expected from the crashes of other workers.
    fn attribute(&self, digest: RequestDigest) -> Option<Attribution> {
        self.suspects.get(digest).map(|_| Attribution::of(&self.weighed_crashes(digest)))
    }

    pub(super) fn weighed_crashes(&self, digest: RequestDigest) -> Vec<WeighedCrash<'_>> {
        let Some(suspect) = self.suspects.get(digest) else { return Vec::new() };
        let own = suspect.evidence();
        let crashes = suspect.crashes();
        let observations: Vec<&Observation> = crashes.iter().map(|crash| crash.observation).collect();
        let weighed = crashes.iter().map(|crash| WeighedCrash {
            crash: *crash,
            expected: self.expected_crashes(crash, own, &observations),
            is_explained: self.is_explained(crash.observation, own),
        });
        weighed.collect()
    }

    /// Returns how many crashes unrelated causes lead to during a run, or zero if the answer would not matter, as all
    /// crashes together do not suffice for a quarantine.
    fn expected_crashes(&self, crash: &CandidateCrash<'_>, own: Evidence, observations: &[&Observation]) -> f64 {
        if own.meets_threshold() { expected_crashes(crash, observations, &self.timeline) } else { 0.0 }
    }

    /// Returns whether there is stronger evidence than `own` that another request or a prompt part caused a crash.
    fn is_explained(&self, crash: &Observation, own: Evidence) -> bool {
        let affects =
            |other: &SuspectRequest| other.crashes().iter().any(|other| other.observation.is_same_crash(crash));
        self.suspects.explaining(&crash.worker, own).any(affects) || self.parts.explains(crash, own.total)
    }

    /// Returns a request's quarantine, which may have ended, or `None` below the threshold.
    fn quarantine(&self, digest: RequestDigest) -> Option<Quarantine> {
        let attribution = self.attribute(digest)?;
        let until = self.quarantine_end(digest, attribution.excess_if_repeated()?);
        Some(Quarantine { digest, crashes: attribution.counted(), until })
    }

    pub(super) fn quarantine_end(&self, digest: RequestDigest, excess: usize) -> UnixMillis {
        let excess = u32::try_from(excess).unwrap_or(u32::MAX);
        let last_crash = self.suspects.get(digest).map(SuspectRequest::last_crash).unwrap_or_default();
        UnixMillis(last_crash.0.saturating_add(QUARANTINE_BACKOFF.wait(excess).0))
    }

    /// Records a completion. Returns whether the request has crashes; completions of requests without crashes are not
    /// stored.
    fn record_completion(&mut self, completion: Completion, source: Source) -> bool {
        let Completion { digest, at } = completion;
        let is_tracked = self.suspects.get(digest).is_some();
        if is_tracked {
            let change = |suspect: &mut SuspectRequest| suspect.record_completion(LastCompletion { at, source });
            self.suspects.update(digest, SuspectRequest::default, change);
        }
        is_tracked
    }

    fn evict(&mut self, now: UnixMillis) {
        let evicted = self.suspects.evict(now);
        self.evicted.requests += evicted.requests;
        self.evicted.above_threshold += evicted.above_threshold;
    }
}
