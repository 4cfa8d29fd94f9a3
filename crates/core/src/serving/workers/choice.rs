//! The choice of a worker for a request or a batch item: the one with the least expected time to the first event.
//!
//! Relies on what the table believes of the workers. The random part of the choice is drawn from the caller's source, in
//! a fixed order: the load in transit, then one draw for each candidate.

use std::net::SocketAddr;

use rand::Rng;

use super::cost::{cost_slope, estimate_cost, load_cost};
use super::load_in_transit::level_after;
use super::table::WorkerTable;
use super::worker::{Availability, Presence, SHARED_LIFETIME, WorkerEntry, WorkerId, WorkerIncarnation};
use crate::hashing::{hash_bytes, rendezvous_weight};
use crate::serving::regions::AllowedRegions;
use crate::serving::request::PrefixBlock;
use crate::time::{Millis, Timestamp, UnixMillis};

/// Batch leaves as many slots of a service free as online requests are placed in this time, in milliseconds: they come
/// before a pause of items takes effect, which needs an exchange of load reports and a way to the worker.
const PAUSE_TAKES: Millis = Millis(150);
/// The cost of each batch item that runs at a worker, in milliseconds, so that items spread over workers.
const ITEM_MS: f64 = 6.0;
/// The random part of the cost goes up to this, in milliseconds, so that nodes don't all choose alike.
const JITTER_MS: f64 = 3.0;
/// The load in transit is drawn from 0 to this many times what is expected: the mean of the draws is the expectation,
/// and nodes with the same reports differ.
const TRANSIT_SPREAD: f64 = 2.0;

/// Workers among which the cheapest is sought: with more of them, the best of some that are drawn is as good, and the time
/// for a choice does not grow with the fleet.
const MOST_CONSIDERED: usize = 256;
/// Of those, workers of other zones, where there are enough of both: the zone's may all be full.
const FAR_CONSIDERED: usize = 64;

/// What is asked of a worker.
#[derive(Clone, Debug)]
pub struct WorkerQuery<'a> {
    /// The service.
    pub service: &'a str,
    /// The zone that the request is in.
    pub zone: &'a str,
    /// The prompt.
    pub prefix: &'a [PrefixBlock],
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// Bytes that would be sent.
    pub body_bytes: usize,
    /// Workers that were tried before.
    pub tried: &'a [WorkerId],
    /// Where the request may run.
    pub regions: &'a AllowedRegions,
}

/// A worker that was chosen, and why.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The worker.
    pub id: WorkerId,
    /// When this life of it began, if it says so.
    pub started_at: Option<UnixMillis>,
    /// Its address.
    pub address: SocketAddr,
    /// Requests believed to be at it.
    pub load: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// The request's place in the queue for one of its slots, 0 if one is free or a batch item makes room.
    pub queue_position: u32,
    /// Prompt tokens believed to be cached there.
    pub cached_tokens: u32,
    /// How many workers could be chosen from.
    pub candidates: usize,
    /// On what ground it is sent the request.
    pub availability: Availability,
}

impl Choice {
    /// The life of the worker that was chosen.
    pub fn incarnation(&self) -> WorkerIncarnation {
        WorkerIncarnation { id: self.id.clone(), started_at: self.started_at }
    }

    fn of(entry: &WorkerEntry, ask: &WorkerQuery<'_>, candidates: usize, now: Timestamp) -> Self {
        Self {
            id: entry.record.id.clone(),
            started_at: entry.record.started_at,
            address: entry.record.address,
            load: entry.estimated_load(now),
            slots: entry.record.slots,
            queue_position: entry.queue_position(now),
            cached_tokens: entry.cache.cached_tokens(ask.prefix),
            candidates,
            availability: entry.availability(),
        }
    }
}

impl WorkerTable {
    /// The worker with the least estimated time to the first event. Ejected workers are chosen only if all others were
    /// tried, and workers whose records were removed only if nobody else can serve.
    pub fn choose(&self, ask: &WorkerQuery<'_>, now: Timestamp, random: &mut impl Rng) -> Option<Choice> {
        let candidates = self.candidates(ask, now);
        let affinity_worker = self.affinity_worker(ask, &candidates);
        let considered = consider(&candidates, ask, affinity_worker, random);
        let share = considered.len() as f64 / candidates.len().max(1) as f64;
        let level = self.in_transit_level(&considered, share, now, random);
        let cost = |entry: &WorkerEntry| {
            let has_affinity = affinity_worker.is_some_and(|affine| affine.record.id == entry.record.id);
            let in_transit = level.map_or(0.0, |level| (level - load_cost(entry, now)).max(0.0));
            estimate_cost(entry, ask, has_affinity, now) + in_transit
        };
        let chosen = cheapest(&considered, cost, random)?;
        Some(Choice::of(chosen, ask, candidates.len(), now))
    }

    /// The workers of a service that were not tried: those that are sound; if there are none, those that are ejected; if
    /// there are none, those that were removed a moment ago.
    fn candidates<'a>(&'a self, ask: &'a WorkerQuery<'_>, now: Timestamp) -> Vec<&'a WorkerEntry> {
        let untried = |entry: &&WorkerEntry| !ask.tried.contains(&entry.record.id);
        let usable = || self.eligible(ask).filter(|entry| self.is_warm_or_permitted(entry, now)).filter(untried);
        let ready: Vec<&WorkerEntry> = usable().filter(|entry| entry.takes_requests(now)).collect();
        if ready.is_empty() {
            return usable().filter(|entry| is_last_resort(entry, now)).collect();
        }
        let sound: Vec<&WorkerEntry> = ready.iter().copied().filter(|entry| !entry.is_ejected(now)).collect();
        if sound.is_empty() { ready } else { sound }
    }

    /// The workers of a service that may be sent the request by its regions and by the operator's orders.
    pub(super) fn eligible<'a>(&'a self, ask: &'a WorkerQuery<'_>) -> impl Iterator<Item = &'a WorkerEntry> {
        let of_service = self.workers.values().filter(|entry| &*entry.record.service == ask.service);
        of_service.filter(|entry| {
            !self.is_evacuated(&entry.record.zone) && self.regions.allows(ask.regions, &entry.record.zone)
        })
    }

    /// The level to which requests that other nodes have placed since their last report may have raised the cost of the
    /// least busy workers. How many those are is drawn; of them `share` are at the workers that are considered.
    fn in_transit_level(
        &self,
        considered: &[&WorkerEntry],
        share: f64,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Option<f64> {
        let rate = self.peer_rate.filter(|rate| now.since(rate.at) < SHARED_LIFETIME)?;
        let age = now.since(rate.at) + rate.report_age;
        let expected = f64::from(rate.placed_per_s) * age.0 as f64 / 1_000.0 * share;
        let in_transit = expected * TRANSIT_SPREAD * random.random::<f64>();
        let slopes: Vec<_> = considered.iter().map(|entry| cost_slope(entry, now)).collect();
        level_after(&slopes, in_transit)
    }

    /// Where the shared parts of a prompt go from every node: workers of the zone first, so that
    /// nodes agree without asking each other.
    fn affinity_worker<'a>(&self, ask: &WorkerQuery<'_>, candidates: &[&'a WorkerEntry]) -> Option<&'a WorkerEntry> {
        let shared = ask.prefix.len().checked_sub(2).map(|place| ask.prefix[place].chain)?;
        let in_zone = candidates.iter().filter(|entry| &*entry.record.zone == ask.zone);
        let weight = |entry: &&&WorkerEntry| rendezvous_weight(shared, hash_bytes(entry.record.id.0.as_bytes()));
        in_zone.max_by_key(weight).or_else(|| candidates.iter().max_by_key(weight)).copied()
    }

    /// The worker for a batch item: the one with the most room. Of all the service's slots so many stay free as
    /// `online_per_s` online requests in a second need until items make room for them.
    pub fn choose_for_batch(
        &self,
        ask: &WorkerQuery<'_>,
        online_per_s: u32,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Option<Choice> {
        let free_slots = |entry: &WorkerEntry| u64::from(entry.record.slots.saturating_sub(entry.estimated_load(now)));
        let sound = self
            .eligible(ask)
            .filter(|entry| entry.takes_requests(now) && !entry.is_ejected(now))
            .filter(|entry| self.is_warm_or_permitted(entry, now));
        let with_room: Vec<(u64, &WorkerEntry)> =
            sound.map(|entry| (free_slots(entry), entry)).filter(|(free, _)| *free > 0).collect();
        let reserve = (u64::from(online_per_s) * PAUSE_TAKES.0).div_ceil(1_000).max(1);
        if with_room.iter().map(|(free, _)| free).sum::<u64>() <= reserve {
            return None;
        }
        let untried = with_room.into_iter().filter(|(_, entry)| !ask.tried.contains(&entry.record.id));
        let candidates: Vec<&WorkerEntry> = untried.map(|(_, entry)| entry).collect();
        let cost = |entry: &WorkerEntry| {
            let items = f64::from(entry.batch_in_flight) * ITEM_MS;
            estimate_cost(entry, ask, false, now) + items
        };
        let considered = consider(&candidates, ask, None, random);
        let chosen = cheapest(&considered, cost, random)?;
        Some(Choice::of(chosen, ask, candidates.len(), now))
    }
}

/// The workers among which the cheapest is sought: all of them, or, where there are many, some that are drawn, the zone's
/// for the greater part, with those that are believed to have parts of the prompt.
fn consider<'a>(
    candidates: &[&'a WorkerEntry],
    ask: &WorkerQuery<'_>,
    affinity_worker: Option<&'a WorkerEntry>,
    random: &mut impl Rng,
) -> Vec<&'a WorkerEntry> {
    if candidates.len() <= MOST_CONSIDERED {
        return candidates.to_vec();
    }
    let (near, far): (Vec<_>, Vec<_>) = candidates.iter().copied().partition(|entry| &*entry.record.zone == ask.zone);
    let mut considered = draw(&near, MOST_CONSIDERED - FAR_CONSIDERED, random);
    considered.extend(draw(&far, MOST_CONSIDERED - considered.len(), random));
    let has_parts = |entry: &&&WorkerEntry| entry.cache.cached_tokens(ask.prefix) > 0;
    considered.extend(candidates.iter().filter(has_parts));
    considered.extend(affinity_worker);
    considered
}

fn draw<'a>(from: &[&'a WorkerEntry], most: usize, random: &mut impl Rng) -> Vec<&'a WorkerEntry> {
    let places = rand::seq::index::sample(random, from.len(), most.min(from.len()));
    places.into_iter().map(|place| from[place]).collect()
}

/// The candidate with the least cost, each with a random part of its own.
fn cheapest<'a>(
    candidates: &[&'a WorkerEntry],
    cost: impl Fn(&WorkerEntry) -> f64,
    random: &mut impl Rng,
) -> Option<&'a WorkerEntry> {
    let with_cost = candidates.iter().map(|entry| (cost(entry) + random.random::<f64>() * JITTER_MS, *entry));
    with_cost.min_by(|left, right| left.0.total_cmp(&right.0)).map(|(_, entry)| entry)
}

fn is_last_resort(entry: &WorkerEntry, now: Timestamp) -> bool {
    match entry.presence {
        Presence::Gone { usable_until, .. } => now < usable_until,
        Presence::Ready => true,
        Presence::Missing { .. } | Presence::Draining | Presence::Left { .. } => false,
    }
}
