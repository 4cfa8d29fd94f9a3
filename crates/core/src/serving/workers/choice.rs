//! Worker selection: picks the worker with the lowest expected time to the first event for a request or a batch item.
//!
//! Random numbers come from the caller's generator in a fixed order, so that a selection can be reproduced from its
//! seed: sampling of large candidate sets, the load in transit, then the jitter of each candidate.

use std::net::SocketAddr;

use rand::Rng;

use super::cost::{cost_slope, estimate_cost, load_cost};
use super::load_in_transit::cost_level_after;
use super::table::WorkerTable;
use super::worker::{
    Availability, PEER_LOAD_LIFETIME, Presence, SoftwareVersion, WorkerEntry, WorkerId, WorkerIncarnation,
};
use crate::hashing::{hash_bytes, rendezvous_weight};
use crate::serving::regions::AllowedRegions;
use crate::serving::request::PrefixBlock;
use crate::time::{Millis, Timestamp, UnixMillis};

/// Time until pausing batch items frees their slots, which takes a load report exchange and a message to the worker.
/// Batch placement leaves enough slots free for the online requests that arrive in the meantime.
const PAUSE_LATENCY: Millis = Millis(150);
/// Time for which a worker at which batch items were paused for online requests gets no others. They would likely be
/// paused, too, before they produce much output.
const YIELD_COOLDOWN: Millis = Millis(500);
/// Cost of each batch item already running at a worker, so that items spread over workers.
const BATCH_ITEM_COST_MS: f64 = 6.0;
/// Upper bound of the random cost added to each candidate, so that nodes do not all select the same worker.
const MAX_JITTER_MS: f64 = 3.0;
/// The load in transit is drawn uniformly between 0 and this multiple of its expected value, so that nodes with the
/// same reports make different choices while the mean stays at the expected value.
const MAX_IN_TRANSIT_FACTOR: f64 = 2.0;

/// Maximum number of candidates whose costs are compared. Larger sets are sampled, so that the time of a selection does
/// not grow with the fleet.
const MAX_COMPARED: usize = 256;
/// Number of sampled workers reserved for other zones, since all workers of the local zone may be full.
const REMOTE_COMPARED: usize = 64;

/// Properties of a request that determine which worker is selected.
#[derive(Clone, Debug)]
pub struct WorkerQuery<'a> {
    /// Service that handles the request.
    pub service: &'a str,
    /// Zone in which the request originates; its workers are preferred.
    pub zone: &'a str,
    /// Prefix blocks of the prompt, for cache affinity.
    pub prefix: &'a [PrefixBlock],
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Size of the request body, in bytes.
    pub body_bytes: usize,
    /// Workers that were already tried and are excluded.
    pub tried: &'a [WorkerId],
    /// Regions in which the request may run.
    pub regions: &'a AllowedRegions,
    /// Whether the request may run again after a failed attempt.
    pub may_run_again: bool,
    /// The only version whose workers may serve the request: that of the worker that began its stream, if any.
    pub version: Option<&'a SoftwareVersion>,
}

/// A selected worker, with the estimates that the selection used.
#[derive(Clone, Debug)]
pub struct Choice {
    /// ID of the worker.
    pub id: WorkerId,
    /// Start time of the selected incarnation, if reported.
    pub started_at: Option<UnixMillis>,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Version of the worker's software.
    pub version: SoftwareVersion,
    /// Estimated number of requests at the worker.
    pub load: u32,
    /// Number of requests that the worker runs concurrently.
    pub slots: u32,
    /// Position of the request in the worker's slot queue, 0 if a slot is free or a batch item yields one.
    pub queue_position: u32,
    /// Estimated number of prompt tokens in the worker's cache.
    pub cached_tokens: u32,
    /// Number of workers that were candidates.
    pub candidates: usize,
    /// Availability of the worker when it was selected.
    pub availability: Availability,
    /// Whether the request is a trial of a suspected worker.
    pub is_trial: bool,
}

impl Choice {
    /// Returns the incarnation of the selected worker.
    pub fn incarnation(&self) -> WorkerIncarnation {
        WorkerIncarnation { id: self.id.clone(), started_at: self.started_at }
    }

    fn of(entry: &WorkerEntry, query: &WorkerQuery<'_>, candidates: usize, now: Timestamp) -> Self {
        Self {
            id: entry.record.id.clone(),
            started_at: entry.record.started_at,
            address: entry.record.address,
            version: entry.record.version.clone(),
            load: entry.estimated_load(now),
            slots: entry.record.slots,
            queue_position: entry.queue_position(now),
            cached_tokens: entry.cache.cached_tokens(query.prefix),
            candidates,
            availability: entry.availability(),
            is_trial: false,
        }
    }

    /// Creates the choice of a suspected worker for a trial; `candidates` would have been compared without it.
    fn of_trial(entry: &WorkerEntry, query: &WorkerQuery<'_>, candidates: &[&WorkerEntry], now: Timestamp) -> Self {
        let others = candidates.iter().filter(|candidate| candidate.record.id != entry.record.id).count();
        Self { is_trial: true, ..Self::of(entry, query, others + 1, now) }
    }
}

impl WorkerTable {
    /// Selects the worker with the lowest estimated time to the first event. Ejected workers are selected only if all
    /// others were tried, and workers whose records were removed only if no other worker is available. A suspected
    /// worker whose trial is due takes precedence if the request may run again.
    pub fn choose(&self, query: &WorkerQuery<'_>, now: Timestamp, random: &mut impl Rng) -> Option<Choice> {
        let candidates = self.candidates(query, now);
        if let Some(entry) = self.due_trial(query, now) {
            return Some(Choice::of_trial(entry, query, &candidates, now));
        }
        let affinity_worker = self.affinity_worker(query, &candidates);
        let own_sample = self.sample_by_own_view(&candidates, now, random);
        let compared = own_sample.unwrap_or_else(|| sample_candidates(&candidates, query, affinity_worker, random));
        let compared_fraction = compared.len() as f64 / candidates.len().max(1) as f64;
        let level = self.in_transit_level(&compared, compared_fraction, now, random);
        let cost = |entry: &WorkerEntry| {
            let has_affinity = affinity_worker.is_some_and(|preferred| preferred.record.id == entry.record.id);
            let in_transit = level.map_or(0.0, |level| (level - load_cost(entry, now)).max(0.0));
            estimate_cost(entry, query, has_affinity, now) + in_transit
        };
        let chosen = cheapest(&compared, cost, random)?;
        Some(Choice::of(chosen, query, candidates.len(), now))
    }

    /// Returns the untried workers of the service: healthy ones if there are any, else ejected ones, else recently
    /// removed ones. Workers that must be avoided because they fail requests are returned only if there are no others.
    fn candidates<'a>(&'a self, query: &'a WorkerQuery<'_>, now: Timestamp) -> Vec<&'a WorkerEntry> {
        let untried = |entry: &&WorkerEntry| !query.tried.contains(&entry.record.id);
        let usable = || self.eligible(query).filter(|entry| self.is_warm_or_permitted(entry, now)).filter(untried);
        let ready: Vec<&WorkerEntry> = usable().filter(|entry| entry.accepts_requests(now)).collect();
        if ready.is_empty() {
            return usable().filter(|entry| is_last_resort(entry, now)).collect();
        }
        let ready = self.without_avoided(ready, query);
        let healthy: Vec<&WorkerEntry> = ready.iter().copied().filter(|entry| !entry.is_ejected(now)).collect();
        if healthy.is_empty() { ready } else { healthy }
    }

    /// Returns whether the request can be sent to a worker that is not ejected.
    pub(super) fn has_candidate(&self, query: &WorkerQuery<'_>, now: Timestamp) -> bool {
        let mut usable = self.eligible(query).filter(|entry| !query.tried.contains(&entry.record.id));
        usable
            .any(|entry| entry.accepts_requests(now) && !entry.is_ejected(now) && self.is_warm_or_permitted(entry, now))
    }

    /// Removes suspected workers: those excluded from selection, or all for a request that may run only once. Returns
    /// all workers if none would be left.
    fn without_avoided<'a>(&self, ready: Vec<&'a WorkerEntry>, query: &WorkerQuery<'_>) -> Vec<&'a WorkerEntry> {
        if self.evidence.suspected.is_empty() {
            return ready;
        }
        let others: Vec<&WorkerEntry> = ready.iter().copied().filter(|entry| !is_avoided(entry, query)).collect();
        if others.is_empty() { ready } else { others }
    }

    /// Returns the workers of the service that the request's regions and version and the operator's evacuations allow.
    pub(super) fn eligible<'a>(&'a self, query: &'a WorkerQuery<'_>) -> impl Iterator<Item = &'a WorkerEntry> {
        let of_service = self.workers.values().filter(|entry| &*entry.record.service == query.service);
        of_service.filter(|entry| self.is_allowed(entry, query))
    }

    /// Returns whether a worker is eligible; see [`WorkerTable::eligible`].
    pub(super) fn is_eligible(&self, entry: &WorkerEntry, query: &WorkerQuery<'_>) -> bool {
        &*entry.record.service == query.service && self.is_allowed(entry, query)
    }

    /// Returns whether any worker can serve the request, or will once it is healthy or has a free slot.
    pub fn has_eligible(&self, query: &WorkerQuery<'_>, now: Timestamp) -> bool {
        self.eligible(query).any(|entry| entry.accepts_requests(now) || is_last_resort(entry, now))
    }

    fn is_allowed(&self, entry: &WorkerEntry, query: &WorkerQuery<'_>) -> bool {
        let has_version = query.version.is_none_or(|version| *version == entry.record.version);
        has_version && !self.is_evacuated(&entry.record.zone) && self.regions.allows(query.regions, &entry.record.zone)
    }

    /// Returns the cost level to which requests placed by other nodes since their last report may have raised the
    /// cheapest workers. The number of those requests is drawn at random and scaled by `compared_fraction`, the
    /// fraction of candidates that are compared.
    fn in_transit_level(
        &self,
        compared: &[&WorkerEntry],
        compared_fraction: f64,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Option<f64> {
        let rate = self.peer_rate.filter(|rate| now.since(rate.at) < PEER_LOAD_LIFETIME)?;
        let age = now.since(rate.at) + rate.report_age;
        let expected = f64::from(rate.placed_per_s) * age.0 as f64 / 1_000.0 * compared_fraction;
        let in_transit = expected * MAX_IN_TRANSIT_FACTOR * random.random::<f64>();
        let slopes: Vec<_> = compared.iter().map(|entry| cost_slope(entry, now)).collect();
        cost_level_after(&slopes, in_transit)
    }

    /// Returns the preferred worker for the shared part of a prompt, by rendezvous hashing over the local zone, or over
    /// all candidates if the zone has none. Nodes agree on it without coordination.
    fn affinity_worker<'a>(&self, query: &WorkerQuery<'_>, candidates: &[&'a WorkerEntry]) -> Option<&'a WorkerEntry> {
        let shared = query.prefix.len().checked_sub(2).map(|index| query.prefix[index].chain)?;
        let in_zone = candidates.iter().filter(|entry| &*entry.record.zone == query.zone);
        let weight = |entry: &&&WorkerEntry| rendezvous_weight(shared, hash_bytes(entry.record.id.0.as_bytes()));
        in_zone.max_by_key(weight).or_else(|| candidates.iter().max_by_key(weight)).copied()
    }

    /// Selects the cheapest worker with a free slot for a batch item. Returns `None` unless the service keeps enough
    /// free slots to absorb `online_per_s` online requests per second until batch items can be paused.
    pub fn choose_for_batch(
        &self,
        query: &WorkerQuery<'_>,
        online_per_s: u32,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Option<Choice> {
        let free_slots = |entry: &WorkerEntry| u64::from(entry.free_slots(now));
        let healthy = self
            .eligible(query)
            .filter(|entry| entry.accepts_requests(now) && !entry.is_ejected(now) && !is_avoided(entry, query))
            .filter(|entry| self.is_warm_or_permitted(entry, now));
        let with_free_slots: Vec<(u64, &WorkerEntry)> =
            healthy.map(|entry| (free_slots(entry), entry)).filter(|(free, _)| *free > 0).collect();
        let reserve = (u64::from(online_per_s) * PAUSE_LATENCY.0).div_ceil(1_000).max(1);
        if with_free_slots.iter().map(|(free, _)| free).sum::<u64>() <= reserve {
            return None;
        }
        let untried = with_free_slots.into_iter().filter(|(_, entry)| !query.tried.contains(&entry.record.id));
        let untried = untried.filter(|(_, entry)| !has_yielded_recently(entry, now));
        let candidates: Vec<&WorkerEntry> = untried.map(|(_, entry)| entry).collect();
        if let Some(entry) = self.due_trial(query, now) {
            return Some(Choice::of_trial(entry, query, &candidates, now));
        }
        let cost = |entry: &WorkerEntry| {
            let items = f64::from(entry.batch_in_flight) * BATCH_ITEM_COST_MS;
            estimate_cost(entry, query, false, now) + items
        };
        let compared = sample_candidates(&candidates, query, None, random);
        let chosen = cheapest(&compared, cost, random)?;
        Some(Choice::of(chosen, query, candidates.len(), now))
    }
}

/// Returns the candidates to compare: all of them, or, if there are too many, a random sample mostly from the local
/// zone, plus the workers estimated to have part of the prompt cached.
fn sample_candidates<'a>(
    candidates: &[&'a WorkerEntry],
    query: &WorkerQuery<'_>,
    affinity_worker: Option<&'a WorkerEntry>,
    random: &mut impl Rng,
) -> Vec<&'a WorkerEntry> {
    if candidates.len() <= MAX_COMPARED {
        return candidates.to_vec();
    }
    let (local, remote): (Vec<_>, Vec<_>) =
        candidates.iter().copied().partition(|entry| &*entry.record.zone == query.zone);
    let mut compared = sample_workers(&local, MAX_COMPARED - REMOTE_COMPARED, random);
    compared.extend(sample_workers(&remote, MAX_COMPARED - compared.len(), random));
    let has_cached_prefix = |entry: &&&WorkerEntry| entry.cache.cached_tokens(query.prefix) > 0;
    compared.extend(candidates.iter().filter(has_cached_prefix));
    compared.extend(affinity_worker);
    compared
}

fn sample_workers<'a>(from: &[&'a WorkerEntry], limit: usize, random: &mut impl Rng) -> Vec<&'a WorkerEntry> {
    let indices = rand::seq::index::sample(random, from.len(), limit.min(from.len()));
    indices.into_iter().map(|index| from[index]).collect()
}

/// Returns the candidate with the lowest cost, after adding independent jitter to each.
fn cheapest<'a>(
    candidates: &[&'a WorkerEntry],
    cost: impl Fn(&WorkerEntry) -> f64,
    random: &mut impl Rng,
) -> Option<&'a WorkerEntry> {
    let with_cost = candidates.iter().map(|entry| (cost(entry) + random.random::<f64>() * MAX_JITTER_MS, *entry));
    with_cost.min_by(|left, right| left.0.total_cmp(&right.0)).map(|(_, entry)| entry)
}

/// Returns whether a request avoids a worker while there are others.
fn is_avoided(entry: &WorkerEntry, query: &WorkerQuery<'_>) -> bool {
    entry.is_excluded() || (!query.may_run_again && entry.suspicion().is_some())
}

pub(super) fn has_yielded_recently(entry: &WorkerEntry, now: Timestamp) -> bool {
    entry.batch_yielded_at.is_some_and(|at| now.since(at) < YIELD_COOLDOWN)
}

fn is_last_resort(entry: &WorkerEntry, now: Timestamp) -> bool {
    match entry.presence {
        Presence::Removed { usable_until, .. } => now < usable_until,
        Presence::Ready => true,
        Presence::Missing { .. } | Presence::Draining | Presence::Drained { .. } => false,
    }
}
