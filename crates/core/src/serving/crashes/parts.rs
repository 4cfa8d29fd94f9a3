//! Crash history of prompt parts, and the quarantine that follows from it.
//!
//! A part of prompts may crash every worker that begins to answer, whatever else a request holds, so no two requests that
//! crash workers need be alike. A crash affects all parts of all requests in the worker's slots. What separates the part
//! that caused it from the others is that no request with it survives: a worker that went on after its first event, and
//! lives, shows that no part of that prompt crashes workers.
//!
//! The last part of a prompt belongs to its request alone and is covered by the request's own digests.

use std::collections::{BTreeMap, BTreeSet};

use super::digest::PartDigest;
use super::evidence::Observation;
use super::ledger::MAX_QUARANTINE;
use super::part_history::{PART_CRASH_THRESHOLD, PartHistory, SURVIVAL_GRACE_PERIOD, Strength, Survival};
use super::recent::RecentTimes;
use super::report::{PartCrash, PartReport, PartSurvival};
use super::suspect::Source;
use super::trials::PART_TRIAL_DELAY;
use crate::backoff::Backoff;
use crate::hashing::rendezvous_weight;
use crate::time::{Millis, UnixMillis};

/// Maximum number of parts tracked that have too few crashes for a quarantine. Bounds memory.
const MAX_UNSUSPECTED_PARTS: usize = 16_384;
/// Maximum number of parts tracked that have enough crashes for a quarantine. Bounds memory and the cost of a decision.
const MAX_SUSPECTED_PARTS: usize = 1_024;
/// Time for which a part is retained after its last crash. Bounds memory.
const PART_RETENTION: Millis = Millis(2 * MAX_QUARANTINE.0);

/// Duration of a quarantine; doubles with each crash of a later trial. Shorter than that of a request, since it affects
/// many callers, and only one request of each node is tried afterwards.
const PART_QUARANTINE_BACKOFF: Backoff = Backoff::new(Millis(60_000), MAX_QUARANTINE);
/// Minimum quarantine of a part while another one may as well be the cause. Short, as it may be wrong: afterwards a request
/// with either part shows which of them is.
const MIN_CONTESTED_QUARANTINE: Millis = Millis(2_000);
/// Maximum time by which a contested quarantine is longer, so that the quarantines of two parts end at different times.
const MAX_CONTESTED_JITTER: Millis = Millis(2_000);
/// Time between the first and the last crash of a part from which its quarantine is no longer contested.
const CONTESTED_PERIOD: Millis = Millis(15_000);

/// Time for which a node waits for the result of a trial: a request with a part whose quarantine has ended.
const TRIAL_TIMEOUT: Millis = Millis(2_000);
/// Mean time between the first trials of two nodes, in which the crash of one becomes known to the others.
const TRIAL_SPACING: Millis = Millis(500);
/// Maximum time from the end of a quarantine to the first trial of a node.
const MAX_TRIAL_SPREAD: Millis = Millis(10_000);

/// Returns the duration of a contested quarantine, which is the same at all nodes.
fn contested_quarantine(part: PartDigest) -> Millis {
    MIN_CONTESTED_QUARANTINE + Millis(part.value() % MAX_CONTESTED_JITTER.0)
}

/// A new or extended quarantine of a part, for logging.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartQuarantine {
    /// Digest of the part.
    pub part: PartDigest,
    /// The crashes that count toward the quarantine.
    pub crashes: Vec<PartCrash>,
    /// End of the quarantine.
    pub until: UnixMillis,
}

/// The result of merging another node's report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergedParts {
    /// New or extended quarantines that have not ended.
    pub quarantines: Vec<PartQuarantine>,
    /// Whether this node knows of survivals that the other nodes lack.
    pub has_survivals: bool,
}

/// Number of tracked parts, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PartCounts {
    /// Parts with crashes or reported survivals.
    pub tracked: usize,
    /// Those among them with enough crashes for a quarantine, some of which other parts may explain.
    pub suspected: usize,
    /// Parts evicted for lack of capacity since the ledger was created.
    pub evicted: u64,
}

/// Whether a part has enough crashes for a quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    Unsuspected,
    Suspected,
}

/// Crash history of all parts of requests during which workers crashed.
///
/// Invariants: `by_change` contains each tracked part once, in its class. `suspected` contains the strength of each
/// part of the class [`Class::Suspected`].
#[derive(Clone, Debug)]
pub struct PartLedger {
    parts: BTreeMap<PartDigest, PartHistory>,
    by_change: BTreeSet<(Class, UnixMillis, PartDigest)>,
    suspected: BTreeMap<PartDigest, Strength>,
    /// Survivals that this node observed.
    recent: RecentTimes<PartDigest>,
    evicted: u64,
    seed: u64,
    /// Ends of this node's trials.
    trials: BTreeMap<PartDigest, UnixMillis>,
}

impl Default for PartLedger {
    fn default() -> Self {
        Self {
            parts: BTreeMap::new(),
            by_change: BTreeSet::new(),
            suspected: BTreeMap::new(),
            recent: RecentTimes::new(SURVIVAL_GRACE_PERIOD),
            evicted: 0,
            seed: 0,
            trials: BTreeMap::new(),
        }
    }
}

impl PartLedger {
    /// Returns whether no crashes are stored.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the number of tracked parts.
    pub fn counts(&self) -> PartCounts {
        PartCounts { tracked: self.parts.len(), suspected: self.suspected.len(), evicted: self.evicted }
    }

    /// Records that a worker crashed while it ran a request of this node with the part. Returns the resulting
    /// quarantine, if any.
    pub fn record_local_crash(&mut self, crash: PartCrash, now: UnixMillis) -> Option<PartQuarantine> {
        let part = crash.part;
        self.record_crash(crash, Source::Local);
        self.evict(now);
        self.quarantine(part)
    }

    /// Records that a worker went on with a request of this node with the part after its first event. Returns the number
    /// of crashes that this clears if other nodes have to learn it.
    pub fn record_local_survival(&mut self, part: PartDigest, now: UnixMillis) -> Option<usize> {
        self.recent.record(part, now);
        let cleared = self.parts.get(&part)?.count(|_| true);
        let survival = Survival { at: now, source: Source::Local };
        self.update(part, |history| history.record_survival(survival)).then_some(cleared)
    }

    /// Returns the remaining quarantine of a part, or `None` if requests with it may run.
    pub fn quarantined_for(&self, part: PartDigest, now: UnixMillis) -> Option<Millis> {
        let remaining = self.quarantine(part)?.until.0.saturating_sub(now.0);
        (remaining > 0).then_some(Millis(remaining))
    }

    /// Returns when a batch item with a part may be tried, or `None` if the part is not quarantined. A batch item is owed, so it
    /// does not wait for the end of the quarantine.
    pub(super) fn item_trial_due(&self, part: PartDigest, now: UnixMillis) -> Option<UnixMillis> {
        let until = self.quarantine(part).map(|quarantine| quarantine.until).filter(|until| *until > now)?;
        let last_crash = self.parts.get(&part)?.crashes.last().map(|(crash, _)| crash.at)?;
        Some(until.min(UnixMillis(last_crash.0.saturating_add(PART_TRIAL_DELAY.0))))
    }

    /// Returns the time for which this node refuses requests with a part, or `None` if the request at hand may run. After
    /// a quarantine, the request is a trial: this node admits no other one until the result is known, and the nodes, of
    /// which there are `nodes`, begin at different times.
    pub fn admit(&mut self, part: PartDigest, nodes: u32, now: UnixMillis) -> Option<Millis> {
        let quarantine = self.quarantine(part)?;
        let spread = (u64::from(nodes) * TRIAL_SPACING.0).clamp(1, MAX_TRIAL_SPREAD.0);
        let delay = rendezvous_weight(part.value(), self.seed) % spread;
        let trial_ends = self.trials.get(&part).copied().unwrap_or_default();
        let admits_at = trial_ends.0.max(quarantine.until.0.saturating_add(delay));
        if admits_at > now.0 {
            return Some(Millis(admits_at - now.0));
        }
        self.trials.retain(|_, ends| *ends > now);
        self.trials.insert(part, UnixMillis(now.0 + TRIAL_TIMEOUT.0));
        None
    }

    /// Sets the seed by which this node's trials begin at another time than those of other nodes.
    pub fn set_seed(&mut self, seed: u64) {
        self.seed = seed;
    }

    /// Returns whether one more crash may quarantine the part.
    pub fn is_near_quarantine(&self, part: PartDigest) -> bool {
        self.parts.get(&part).is_some_and(|history| history.count(|_| true) + 1 >= PART_CRASH_THRESHOLD)
    }

    /// Merges the report of another node, or the report that this node stored before its restart (`is_local`).
    pub fn merge(&mut self, report: &PartReport, is_local: bool, now: UnixMillis) -> MergedParts {
        let source = if is_local { Source::Local } else { Source::Peer };
        let mut merged = MergedParts::default();
        for PartSurvival { part, at } in &report.survivals {
            let survival = Survival { at: *at, source };
            self.update(*part, |history| history.record_survival(survival));
        }
        let mut changed = BTreeSet::new();
        for crash in &report.crashes {
            if self.record_crash(crash.clone(), source) {
                changed.insert(crash.part);
            } else {
                merged.has_survivals |= self.has_own_survival_after(crash);
            }
        }
        self.evict(now);
        let quarantines = changed.into_iter().filter_map(|part| self.quarantine(part));
        merged.quarantines = quarantines.filter(|quarantine| quarantine.until > now).collect();
        merged
    }

    /// Returns this node's report, of at most `max_crashes` crashes and as many survivals. Parts with most crashes take
    /// precedence, then those with the latest change.
    pub fn report_up_to(&self, max_crashes: usize) -> PartReport {
        let mut report = PartReport::default();
        for (_, _, part) in self.by_change.iter().rev() {
            let Some(history) = self.parts.get(part) else { continue };
            let own = history.crashes.iter().filter(|(_, source)| *source == Source::Local);
            report.crashes.extend(own.map(|(crash, _)| crash.clone()).take(max_crashes - report.crashes.len()));
            let survived = history.survived.filter(|survival| survival.source == Source::Local);
            let survivals = survived.map(|survival| PartSurvival { part: *part, at: survival.at }).into_iter();
            report.survivals.extend(survivals.take(max_crashes - report.survivals.len()));
        }
        // Sorted, so that an unchanged report is equal to the previous one.
        report.crashes.sort();
        report.survivals.sort();
        report
    }

    /// Returns whether a quarantined part explains a crash that affected a request with `total` crashes.
    pub(super) fn explains(&self, crash: &Observation, total: usize) -> bool {
        let own = Strength { crashes: total, position: u32::MAX };
        self.stronger_than(own).any(|(part, history)| history.is_affected_by(crash) && self.quarantine(part).is_some())
    }

    fn record_crash(&mut self, crash: PartCrash, source: Source) -> bool {
        let part = crash.part;
        if self.parts.get(&part).is_some_and(|history| history.is_recorded(&crash)) {
            return false;
        }
        let survived = self.recent.last(part).map(|at| Survival { at, source: Source::Local });
        self.update(part, |history| {
            if let Some(survival) = survived {
                history.record_survival(survival);
            }
            history.record_crash(crash, source)
        })
    }

    fn has_own_survival_after(&self, crash: &PartCrash) -> bool {
        let survived = self.parts.get(&crash.part).and_then(|history| history.survived);
        survived.is_some_and(|survival| {
            survival.source == Source::Local && crash.at.0 <= survival.at.0.saturating_add(SURVIVAL_GRACE_PERIOD.0)
        })
    }

    /// Returns the suspected parts against which more speaks than `own`.
    fn stronger_than(&self, own: Strength) -> impl Iterator<Item = (PartDigest, &PartHistory)> {
        let stronger = self.suspected.iter().filter(move |(_, strength)| **strength > own);
        stronger.filter_map(|(part, _)| Some((*part, self.parts.get(part)?)))
    }

    /// Returns a part's quarantine, which may have ended, or `None` if there is none. Crashes that another part explains do
    /// not count.
    fn quarantine(&self, part: PartDigest) -> Option<PartQuarantine> {
        let own = *self.suspected.get(&part)?;
        let history = self.parts.get(&part).filter(|history| history.has_several_requests())?;
        let is_unexplained = |crash: &Observation| {
            let mut stronger = self.stronger_than(own).filter(|(_, other)| other.has_several_requests());
            !stronger.any(|(_, other)| other.is_affected_by(crash))
        };
        if history.count(is_unexplained) < PART_CRASH_THRESHOLD {
            return None;
        }
        let wait = if self.is_contested(part, history, own) {
            contested_quarantine(part)
        } else {
            PART_QUARANTINE_BACKOFF.wait(u32::try_from(history.later_crashes()).unwrap_or(u32::MAX))
        };
        let crashes: Vec<PartCrash> = history.crashes.iter().map(|(crash, _)| crash.clone()).collect();
        let last = crashes.last()?.at;
        Some(PartQuarantine { part, crashes, until: UnixMillis(last.0.saturating_add(wait.0)) })
    }

    /// Returns whether another part may as well have caused all crashes of a part. After some time without a survival of
    /// either it does not matter which.
    fn is_contested(&self, part: PartDigest, history: &PartHistory, own: Strength) -> bool {
        let affects_all = |other: &PartHistory| history.count(|crash| !other.is_affected_by(crash)) == 0;
        let mut others =
            self.suspected.iter().filter(|(other, strength)| **other != part && strength.crashes == own.crashes);
        history.duration() < CONTESTED_PERIOD && others.any(|(other, _)| self.parts.get(other).is_some_and(affects_all))
    }

    /// Changes the history of a part, which is inserted if it is not tracked.
    fn update<T>(&mut self, part: PartDigest, change: impl FnOnce(&mut PartHistory) -> T) -> T {
        let mut history = self.remove(part).unwrap_or_default();
        let result = change(&mut history);
        self.insert(part, history);
        result
    }

    fn insert(&mut self, part: PartDigest, history: PartHistory) {
        let strength = history.strength();
        let class = if strength.crashes >= PART_CRASH_THRESHOLD { Class::Suspected } else { Class::Unsuspected };
        if class == Class::Suspected {
            self.suspected.insert(part, strength);
        }
        self.by_change.insert((class, history.last_change(), part));
        self.parts.insert(part, history);
    }

    fn remove(&mut self, part: PartDigest) -> Option<PartHistory> {
        let history = self.parts.remove(&part)?;
        let class = if self.suspected.remove(&part).is_some() { Class::Suspected } else { Class::Unsuspected };
        self.by_change.remove(&(class, history.last_change(), part));
        Some(history)
    }

    /// Evicts parts whose retention time has passed, and the oldest ones of a class that has too many. Classes do not
    /// evict each other, so that crashes of other causes do not end a quarantine.
    fn evict(&mut self, now: UnixMillis) {
        for class in [Class::Unsuspected, Class::Suspected] {
            while let Some((_, changed_at, part)) = self.oldest(class) {
                let is_expired = now.0.saturating_sub(changed_at.0) >= PART_RETENTION.0;
                let is_surplus = match class {
                    Class::Suspected => self.suspected.len() > MAX_SUSPECTED_PARTS,
                    Class::Unsuspected => self.parts.len() - self.suspected.len() > MAX_UNSUSPECTED_PARTS,
                };
                if !is_expired && !is_surplus {
                    break;
                }
                self.remove(part);
                self.evicted += u64::from(!is_expired);
            }
        }
    }

    fn oldest(&self, class: Class) -> Option<(Class, UnixMillis, PartDigest)> {
        let first = self.by_change.range((class, UnixMillis(0), PartDigest::smallest())..).next();
        first.filter(|(found, _, _)| *found == class).copied()
    }
}
