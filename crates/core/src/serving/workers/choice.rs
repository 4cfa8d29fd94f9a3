//! The choice of a worker for a request or a batch item.

use std::net::SocketAddr;

use rand::Rng;

use super::cost::{cost_slope, estimate_cost, load_cost};
use super::load_in_transit::level_after;
use super::table::WorkerTable;
use super::worker::{Presence, SHARED_LIFETIME, Standing, WorkerEntry, WorkerId};
use crate::hashing::{hash_bytes, rendezvous_weight};
use crate::serving::request::PrefixLink;
use crate::time::{Millis, Timestamp};

/// Batch leaves so many slots of a service free as online requests are placed in this time: they come before a pause of
/// items takes effect, which needs an exchange of loads and a way to the worker.
const PAUSE_TAKES: Millis = Millis(150);
/// Spread of the random part of the cost, in milliseconds: nodes must not all choose alike.
const JITTER_MS: f64 = 3.0;

/// What is asked of a worker.
#[derive(Clone, Debug)]
pub struct WorkerAsk<'a> {
    /// The service.
    pub service: &'a str,
    /// The zone that the request is in.
    pub zone: &'a str,
    /// The prompt.
    pub prefix: &'a [PrefixLink],
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// Bytes that would be sent.
    pub body_bytes: usize,
    /// Workers that were tried before.
    pub tried: &'a [WorkerId],
}

/// A worker that was chosen, and why.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The worker.
    pub id: WorkerId,
    /// Its address.
    pub address: SocketAddr,
    /// Requests believed to be at it.
    pub load: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// The request's place in the queue for one of its slots, 0 if one is free or a batch item makes room.
    pub place_in_queue: u32,
    /// Prompt tokens believed to be cached there.
    pub held_tokens: u32,
    /// How many workers could be chosen from.
    pub candidates: usize,
    /// On what ground it is sent the request.
    pub standing: Standing,
}

impl Choice {
    fn of(entry: &WorkerEntry, ask: &WorkerAsk<'_>, candidates: usize, now: Timestamp) -> Self {
        Self {
            id: entry.record.id.clone(),
            address: entry.record.address,
            load: entry.estimated_load(now),
            slots: entry.record.slots,
            place_in_queue: entry.place_in_queue(now),
            held_tokens: entry.cache.held_tokens(ask.prefix),
            candidates,
            standing: entry.standing(),
        }
    }
}

impl WorkerTable {
    /// The worker with the least estimated time to the first event. Workers that failed of late are
    /// passed over while there are others, and workers that vanished serve only when nobody else can.
    pub fn choose(&self, ask: &WorkerAsk<'_>, now: Timestamp, random: &mut impl Rng) -> Option<Choice> {
        let of_service = || self.workers.values().filter(|entry| &*entry.record.service == ask.service);
        let untried = |entry: &&WorkerEntry| !ask.tried.contains(&entry.record.id);
        let ready: Vec<&WorkerEntry> = of_service().filter(|entry| entry.takes_requests(now)).filter(untried).collect();
        let sound: Vec<&WorkerEntry> = ready.iter().copied().filter(|entry| !entry.is_ejected(now)).collect();
        let candidates = if !sound.is_empty() {
            sound
        } else if !ready.is_empty() {
            ready
        } else {
            of_service().filter(untried).filter(|entry| is_last_resort(entry, now)).collect()
        };
        let home = self.affinity_worker(ask, &candidates);
        let level = self.in_transit_level(&candidates, now, random);
        let cost = |entry: &WorkerEntry, random: &mut dyn FnMut() -> f64| {
            let has_affinity = home.as_ref() == Some(&entry.record.id);
            let unseen = level.map_or(0.0, |level| (level - load_cost(entry, now)).max(0.0));
            estimate_cost(entry, ask, has_affinity, now) + unseen + random() * JITTER_MS
        };
        let mut draw = || random.random::<f64>();
        let chosen = candidates
            .iter()
            .map(|entry| (cost(entry, &mut draw), *entry))
            .min_by(|left, right| left.0.total_cmp(&right.0))?
            .1;
        Some(Choice::of(chosen, ask, candidates.len(), now))
    }

    /// The level to which requests that other nodes have placed meanwhile may have raised the cost of the
    /// least busy workers. How many those are is drawn, up to twice what is to be expected.
    fn in_transit_level(&self, candidates: &[&WorkerEntry], now: Timestamp, random: &mut impl Rng) -> Option<f64> {
        let gathered = self.gathered.filter(|gathered| now.since(gathered.at) < SHARED_LIFETIME)?;
        let age = now.since(gathered.at) + gathered.report_age;
        let expected = f64::from(gathered.placed_per_s) * age.0 as f64 / 1_000.0;
        let unseen = expected * 2.0 * random.random::<f64>();
        let slopes: Vec<_> = candidates.iter().map(|entry| cost_slope(entry, now)).collect();
        level_after(&slopes, unseen)
    }

    /// Where the shared parts of a prompt go from every node: workers of the zone first, so that
    /// nodes agree without asking each other.
    fn affinity_worker(&self, ask: &WorkerAsk<'_>, candidates: &[&WorkerEntry]) -> Option<WorkerId> {
        let shared = ask.prefix.len().checked_sub(2).map(|place| ask.prefix[place].chain)?;
        let in_zone = candidates.iter().filter(|entry| &*entry.record.zone == ask.zone);
        let weight = |entry: &&&WorkerEntry| rendezvous_weight(shared, hash_bytes(entry.record.id.0.as_bytes()));
        let home = in_zone.max_by_key(weight).or_else(|| candidates.iter().max_by_key(weight));
        home.map(|entry| entry.record.id.clone())
    }

    /// The worker for a batch item: the one with the most room. Of all the service's slots so many stay free as
    /// `online_per_s` online requests in a second need until items make room for them.
    pub fn choose_for_batch(
        &self,
        ask: &WorkerAsk<'_>,
        online_per_s: u32,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Option<Choice> {
        let free_slots = |entry: &WorkerEntry| u64::from(entry.record.slots.saturating_sub(entry.estimated_load(now)));
        let sound = self
            .workers
            .values()
            .filter(|entry| &*entry.record.service == ask.service && entry.takes_requests(now))
            .filter(|entry| !entry.is_ejected(now));
        let with_room: Vec<(u64, &WorkerEntry)> =
            sound.map(|entry| (free_slots(entry), entry)).filter(|(free, _)| *free > 0).collect();
        let reserve = (u64::from(online_per_s) * PAUSE_TAKES.0).div_ceil(1_000).max(1);
        if with_room.iter().map(|(free, _)| free).sum::<u64>() <= reserve {
            return None;
        }
        let untried = with_room.into_iter().filter(|(_, entry)| !ask.tried.contains(&entry.record.id));
        let candidates: Vec<&WorkerEntry> = untried.map(|(_, entry)| entry).collect();
        let mut draw = || random.random::<f64>();
        let chosen = candidates
            .iter()
            .map(|entry| {
                let crowd = f64::from(entry.batch_in_flight) * 6.0;
                (estimate_cost(entry, ask, false, now) + crowd + draw() * JITTER_MS, *entry)
            })
            .min_by(|left, right| left.0.total_cmp(&right.0))?
            .1;
        Some(Choice::of(chosen, ask, candidates.len(), now))
    }
}

fn is_last_resort(entry: &WorkerEntry, now: Timestamp) -> bool {
    match entry.presence {
        Presence::Gone { usable_until, .. } => now < usable_until,
        Presence::Ready => true,
        Presence::Missing { .. } | Presence::Draining | Presence::Left { .. } => false,
    }
}
