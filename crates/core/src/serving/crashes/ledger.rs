//! Which requests are quarantined, since workers died while they ran them.
//!
//! Owns what is known of each such request: the workers that died under it and when it last ran to its end. The facts are
//! a set that only grows and a time that only rises, so that nodes which tell each other theirs, in any order and as often
//! as they like, come to the same verdict.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

use super::digest::RequestDigest;
use super::evidence::{Evidence, MOST_CRASHES, OpenCrash, Sighting, Verdict};
use super::recent::RecentCompletions;
use super::report::{Completion, Crash, CrashReport};
use crate::backoff::Backoff;
use crate::serving::workers::WorkerId;
use crate::time::{Millis, UnixMillis};

/// How long a request is quarantined after the third worker died, in milliseconds; doubles with each worker that dies
/// of it later, up to the longest.
const QUARANTINE: Backoff = Backoff::new(Millis(300_000), LONGEST_QUARANTINE);
/// See [`QUARANTINE`].
const LONGEST_QUARANTINE: Millis = Millis(3_600_000);
/// What is known of a request is forgotten this long after the last worker died of it, in milliseconds. Bounds memory.
const REMEMBERED_FOR: Millis = Millis(2 * LONGEST_QUARANTINE.0);
/// Most names of requests that are remembered; those whose last crash is longest ago go first. Bounds memory to some
/// 600 KB.
const MOST_REQUESTS: usize = 2_048;
/// Most crashes that are remembered of one request; the oldest go first. Bounds memory.
const MOST_SIGHTINGS: usize = 32;
/// A worker that dies within this time after a request ran to its end did not die of that request, in milliseconds.
/// Spares requests that many callers send, which are on all workers whenever one dies.
pub(super) const SPARED_FOR: Millis = Millis(10_000);
/// Who learned of a fact, which decides whether this node reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Here,
    Elsewhere,
}

/// What is known of a sighting.
#[derive(Clone, Copy, Debug)]
struct SightingFacts {
    /// How far the request's answer was, in events.
    progress: u64,
    source: Source,
}

#[derive(Clone, Copy, Debug)]
struct LastCompletion {
    at: UnixMillis,
    source: Source,
}

/// What is known of one request.
#[derive(Clone, Debug, Default)]
struct Suspect {
    sightings: BTreeMap<Sighting, SightingFacts>,
    completed: Option<LastCompletion>,
}

impl Suspect {
    /// The crashes that were seen since the request last ran to its end, but for those right after.
    fn open_sightings(&self) -> impl Iterator<Item = (&Sighting, &SightingFacts)> {
        let spared_until = self.completed.map_or(0, |completed| completed.at.0.saturating_add(SPARED_FOR.0));
        self.sightings.iter().filter(move |(sighting, _)| sighting.at.0 > spared_until)
    }

    /// The crashes that were seen since the request last ran to its end: one sighting of each.
    fn crashes(&self) -> Vec<OpenCrash<'_>> {
        let mut crashes: Vec<OpenCrash<'_>> = Vec::new();
        for (sighting, facts) in self.open_sightings() {
            match crashes.last_mut().filter(|last| last.sighting.is_same_crash(sighting)) {
                Some(last) => last.progress = last.progress.max(facts.progress),
                None => crashes.push(OpenCrash { sighting, progress: facts.progress }),
            }
        }
        crashes
    }

    fn last_crash(&self) -> UnixMillis {
        self.sightings.keys().map(|sighting| sighting.at).max().unwrap_or_default()
    }

    fn drop_oldest(&mut self) {
        let oldest = self.sightings.keys().min_by_key(|sighting| sighting.at).cloned();
        if let Some(oldest) = oldest {
            self.sightings.remove(&oldest);
        }
    }

    /// Whether a run to the end is worth telling others: with one crash alone it changes nothing, and other requests of a
    /// worker that died are most of what is known here.
    fn is_completion_reported(&self) -> bool {
        self.sightings.len() + 1 >= MOST_CRASHES
    }
}

/// A request that is quarantined from now on, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// The request.
    pub digest: RequestDigest,
    /// Workers that died of it.
    pub crashes: usize,
    /// Until when.
    pub until: UnixMillis,
}

/// How many crashes of a request are known, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashCount {
    /// Crashes that are remembered.
    pub known: usize,
    /// Those that are held against the request.
    pub counted: usize,
}

/// The requests under which workers died. Times are of day, since nodes share them and keep them beyond their own start:
/// clocks that differ by seconds are borne, as a quarantine takes minutes.
#[derive(Clone, Debug)]
pub struct CrashLedger {
    suspects: BTreeMap<RequestDigest, Suspect>,
    recent: RecentCompletions,
}

impl Default for CrashLedger {
    fn default() -> Self {
        Self { suspects: BTreeMap::new(), recent: RecentCompletions::new(SPARED_FOR) }
    }
}

impl CrashLedger {
    /// Whether no crash is known of any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// A worker died while it ran a request of this node, `progress` being the last event of its answer, 0 for none.
    /// Returns the quarantine that follows.
    pub fn crashed(
        &mut self,
        digest: RequestDigest,
        worker: WorkerId,
        progress: u64,
        now: UnixMillis,
    ) -> Option<Quarantine> {
        self.forget_old(now);
        self.note_crash(Crash { digest, worker, at: now, progress }, Source::Here);
        self.quarantine(digest)
    }

    /// A request of this node ran to its end. It is no longer suspected for what was before. Returns the crashes that
    /// were known of it; `None` if there was none.
    pub fn completed(&mut self, digest: RequestDigest, now: UnixMillis) -> Option<CrashCount> {
        self.recent.note(digest, now);
        let before = self.count(digest);
        self.note_completion(Completion { digest, at: now }, Source::Here).then_some(before)
    }

    /// How many crashes of a request are known.
    pub fn count(&self, digest: RequestDigest) -> CrashCount {
        let known = self.suspects.get(&digest).map_or(0, |suspect| suspect.sightings.len());
        let counted = self.verdict(digest).map_or(0, Verdict::counted);
        CrashCount { known, counted }
    }

    /// For how long a request is to be kept from all workers, in milliseconds; `None` if it may run.
    pub fn quarantined_for(&self, digest: RequestDigest, now: UnixMillis) -> Option<Millis> {
        let until = self.quarantined_until(digest)?;
        let left = until.0.saturating_sub(now.0);
        (left > 0).then_some(Millis(left))
    }

    /// Whether one crash more would quarantine a request, so that the next attempt has to wait for what is known of the
    /// last one.
    pub fn is_near_quarantine(&self, digest: RequestDigest) -> bool {
        self.verdict(digest).is_some_and(Verdict::is_near_quarantine)
    }

    /// Takes what another node reports, or this one did before its start (`is_own`). Returns the quarantines that follow.
    pub fn merge(&mut self, report: &CrashReport, is_own: bool, now: UnixMillis) -> Vec<Quarantine> {
        let source = if is_own { Source::Here } else { Source::Elsewhere };
        let mut touched = BTreeSet::new();
        for crash in &report.crashes {
            if self.note_crash(crash.clone(), source) {
                touched.insert(crash.digest);
            }
        }
        for completion in &report.completions {
            self.note_completion(completion.clone(), source);
        }
        self.forget_old(now);
        let quarantines = touched.into_iter().filter_map(|digest| self.quarantine(digest));
        quarantines.filter(|quarantine| quarantine.until > now).collect()
    }

    /// What this node tells the others.
    pub fn report(&self) -> CrashReport {
        let mut report = CrashReport::default();
        for (digest, suspect) in &self.suspects {
            let own = suspect.open_sightings().filter(|(_, facts)| facts.source == Source::Here);
            report.crashes.extend(own.map(|(sighting, facts)| Crash {
                digest: *digest,
                worker: sighting.worker.clone(),
                at: sighting.at,
                progress: facts.progress,
            }));
            let completed = suspect.completed.filter(|completed| completed.source == Source::Here);
            if let Some(completed) = completed.filter(|_| suspect.is_completion_reported()) {
                report.completions.push(Completion { digest: *digest, at: completed.at });
            }
        }
        report
    }

    /// Notes a crash. Returns whether it was not known.
    fn note_crash(&mut self, crash: Crash, source: Source) -> bool {
        let suspect = self.suspects.entry(crash.digest).or_insert_with(|| {
            let last = self.recent.last(crash.digest);
            let completed = last.map(|at| LastCompletion { at, source: Source::Here });
            Suspect { completed, ..Suspect::default() }
        });
        let facts = SightingFacts { progress: crash.progress, source };
        let is_new = match suspect.sightings.entry(Sighting { worker: crash.worker, at: crash.at }) {
            Entry::Occupied(_) => false,
            Entry::Vacant(entry) => {
                entry.insert(facts);
                true
            }
        };
        if suspect.sightings.len() > MOST_SIGHTINGS {
            suspect.drop_oldest();
        }
        is_new
    }

    /// What speaks against a request since it last ran to its end.
    ///
    /// All requests in a worker's slots are there when it dies. A crash that another one explains, against which more
    /// speaks and enough to be quarantined, counts for that one alone.
    fn verdict(&self, digest: RequestDigest) -> Option<Verdict> {
        let crashes = self.suspects.get(&digest)?.crashes();
        let own = Evidence::of(&crashes);
        let mut open = crashes;
        for others in self.suspects.values().map(Suspect::crashes) {
            let evidence = Evidence::of(&others);
            if evidence > own && evidence.is_enough() {
                open.retain(|crash| !others.iter().any(|other| other.sighting.is_same_crash(crash.sighting)));
            }
        }
        Some(Verdict { open: Evidence::of(&open), all: own.all })
    }

    /// Until when a request is quarantined; `None` if too few workers died of it.
    fn quarantined_until(&self, digest: RequestDigest) -> Option<UnixMillis> {
        let suspect = self.suspects.get(&digest)?;
        let beyond = u32::try_from(self.verdict(digest)?.beyond()?).unwrap_or(u32::MAX);
        Some(UnixMillis(suspect.last_crash().0.saturating_add(QUARANTINE.wait(beyond).0)))
    }

    fn quarantine(&self, digest: RequestDigest) -> Option<Quarantine> {
        let until = self.quarantined_until(digest)?;
        Some(Quarantine { digest, crashes: self.count(digest).counted, until })
    }

    /// Notes a run to the end. Returns whether any crash of the request is known: else there is nothing to clear it of.
    fn note_completion(&mut self, completion: Completion, source: Source) -> bool {
        let Some(suspect) = self.suspects.get_mut(&completion.digest) else { return false };
        if suspect.completed.is_none_or(|known| known.at < completion.at) {
            suspect.completed = Some(LastCompletion { at: completion.at, source });
        }
        true
    }

    fn forget_old(&mut self, now: UnixMillis) {
        let is_young = |suspect: &Suspect| now.0.saturating_sub(suspect.last_crash().0) < REMEMBERED_FOR.0;
        self.suspects.retain(|_, suspect| is_young(suspect));
        let surplus = self.suspects.len().saturating_sub(MOST_REQUESTS);
        if surplus == 0 {
            return;
        }
        let by_age: BTreeSet<_> = self.suspects.iter().map(|(digest, known)| (known.last_crash(), *digest)).collect();
        for (_, digest) in by_age.into_iter().take(surplus) {
            self.suspects.remove(&digest);
        }
    }
}
