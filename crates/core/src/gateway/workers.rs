//! The workers, what this node believes of each, and the choice among them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::cost::{cost_slope, estimate_cost, load_cost};
use super::prefix_cache::PrefixCache;
use super::request::PrefixLink;
use super::unseen_load::level_after;
use crate::hashing::{hash_bytes, rendezvous_weight};
use crate::time::{Millis, Timestamp};

/// How long a worker that failed once is passed over; doubles with each failure in a row.
const FIRST_PASS_OVER: Millis = Millis(300);
/// How long a worker that could not be reached is passed over at first.
const FIRST_PASS_OVER_UNREACHED: Millis = Millis(1_200);
/// Longest time for which a failing worker is passed over.
const LONGEST_PASS_OVER: Millis = Millis(4_000);
/// Batch leaves one in this many slots of a worker free.
const RESERVE_PART: u32 = 6;
/// Batch items leave a worker once this many requests more than it has slots are there. A short wait
/// costs less than reading a prompt again.
const BATCH_TOLERANCE: u32 = 1;
/// The time over which the load of other nodes is smoothed.
const SMOOTHING: Millis = Millis(300);
/// A load report is believed for this long.
const REPORT_LIFETIME: Millis = Millis(2_000);
/// A gathered load is believed for this long.
const SHARED_LIFETIME: Millis = Millis(1_200);
/// How old gathered loads are on average when they arrive: nodes tell them a few times a second.
const GATHERED_AGE: Millis = Millis(100);
/// A report is told to other nodes while it is younger than this.
const REPORT_TOLD_WITHIN: Millis = Millis(300);
/// A worker that vanished without notice may still be used as a last resort for this long.
const GONE_LAST_RESORT: Millis = Millis(1_000);
/// A worker that is gone is forgotten after this long.
const GONE_REMEMBERED: Millis = Millis(60_000);
/// The usual time to the first event before any was measured, in milliseconds.
const TYPICAL_AT_START_MS: f64 = 60.0;
/// Spread of the random part of the cost, in milliseconds: nodes must not all choose alike.
const JITTER_MS: f64 = 3.0;

/// Names one start of a worker.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerId(pub Arc<str>);

impl std::fmt::Display for WorkerId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// What a worker says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerRecord {
    /// Its id.
    pub id: WorkerId,
    /// Its service.
    pub service: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It takes no new requests.
    pub draining: bool,
}

/// A worker's load as it told it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// How many requests are at a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCount {
    /// The worker.
    pub worker: WorkerId,
    /// Requests.
    pub requests: u32,
}

/// What one node tells of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerNews {
    /// The worker.
    pub worker: WorkerId,
    /// The teller's requests there.
    pub requests: u32,
    /// All requests there, if the worker told that a moment ago.
    pub told: Option<u32>,
}

/// What one node tells of its requests, or hears of those of all others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadNews {
    /// The workers that there is something to tell of.
    pub workers: Vec<WorkerNews>,
    /// Requests placed in a second.
    pub placed_per_s: u32,
}

/// Whether a worker may be sent requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    Ready,
    Draining,
    Gone { since: Timestamp },
}

#[derive(Clone, Copy, Debug)]
struct LoadReport {
    load: WorkerLoad,
    in_flight_then: u32,
    at: Timestamp,
}

impl LoadReport {
    /// The load that was told, corrected by what this node sent and ended since.
    fn corrected(&self, in_flight: u32) -> u32 {
        let told = self.load.running + self.load.waiting;
        (told + in_flight).saturating_sub(self.in_flight_then)
    }
}

#[derive(Clone, Copy, Debug)]
struct SharedLoad {
    load: u32,
    /// The load smoothed over [`SMOOTHING`].
    smoothed: f64,
    at: Timestamp,
}

#[derive(Clone, Debug)]
pub(super) struct WorkerEntry {
    pub(super) record: WorkerRecord,
    presence: Presence,
    in_flight: u32,
    batch_in_flight: u32,
    report: Option<LoadReport>,
    /// Requests of other nodes, as the table's leader gathered them.
    others: Option<SharedLoad>,
    failures: u32,
    passed_over_until: Option<Timestamp>,
    pub(super) cache: PrefixCache,
    /// Smoothed time to the first event against the usual of all workers, 1.0 being as usual.
    pub(super) slowness: f64,
    /// When the slowness was last measured.
    pub(super) measured_at: Timestamp,
}

impl WorkerEntry {
    fn new(record: WorkerRecord) -> Self {
        let presence = if record.draining { Presence::Draining } else { Presence::Ready };
        Self {
            record,
            presence,
            in_flight: 0,
            batch_in_flight: 0,
            report: None,
            others: None,
            failures: 0,
            passed_over_until: None,
            cache: PrefixCache::default(),
            slowness: 1.0,
            measured_at: Timestamp::default(),
        }
    }

    /// Requests at the worker: those of this node and, as last gathered, of all others. A report of the
    /// worker that is newer than that counts where it tells more; it also knows of requests that their
    /// senders have given up and that still run.
    pub(super) fn estimated_load(&self, now: Timestamp) -> u32 {
        let gathered = self.others.filter(|others| now.since(others.at) < SHARED_LIFETIME);
        let reported = self.report.filter(|report| now.since(report.at) < REPORT_LIFETIME);
        let reported = reported.filter(|report| gathered.is_none_or(|others| report.at >= others.at));
        let from_report = reported.map_or(0, |report| report.corrected(self.in_flight));
        let from_others = gathered.map_or(0, |others| others.load) + self.in_flight;
        from_others.max(from_report)
    }

    /// Requests of this node with the smoothed ones of all others, rounded up.
    fn smoothed_load(&self) -> u32 {
        self.in_flight + self.others.map_or(0, |others| others.smoothed.ceil() as u32)
    }

    fn is_passed_over(&self, now: Timestamp) -> bool {
        self.passed_over_until.is_some_and(|until| now < until)
    }
}

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
    /// Prompt tokens believed to be cached there.
    pub held_tokens: u32,
    /// How many workers could be chosen from.
    pub candidates: usize,
}

/// All workers.
#[derive(Clone, Debug)]
pub struct WorkerTable {
    workers: BTreeMap<WorkerId, WorkerEntry>,
    /// Smoothed time to the first event over all workers, in milliseconds.
    typical_first_ms: f64,
    /// When the loads of all other nodes were gathered, and how fast those placed requests then.
    gathered: Option<GatheredRate>,
    /// Requests that this node has placed, batch items included.
    placed: u64,
}

#[derive(Clone, Copy, Debug)]
struct GatheredRate {
    at: Timestamp,
    placed_per_s: u32,
}

impl Default for WorkerTable {
    fn default() -> Self {
        Self { workers: BTreeMap::new(), typical_first_ms: TYPICAL_AT_START_MS, gathered: None, placed: 0 }
    }
}

/// What changed in the table, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerChange {
    /// A worker appeared.
    Seen(WorkerId),
    /// A worker states that it leaves.
    Draining(WorkerId),
    /// A worker's record was removed.
    Gone(WorkerId),
}

impl WorkerTable {
    /// Takes a worker's record. A worker that drains or is gone never takes requests again.
    pub fn upsert(&mut self, record: WorkerRecord) -> Option<WorkerChange> {
        let id = record.id.clone();
        let Some(entry) = self.workers.get_mut(&id) else {
            let change =
                if record.draining { WorkerChange::Draining(id.clone()) } else { WorkerChange::Seen(id.clone()) };
            self.workers.insert(id, WorkerEntry::new(record));
            return Some(change);
        };
        let was = entry.presence;
        entry.presence = match (was, record.draining) {
            (Presence::Draining, _) | (_, true) => Presence::Draining,
            // A record may vanish while the store is down and be written again by the same worker.
            (Presence::Gone { .. } | Presence::Ready, false) => Presence::Ready,
        };
        entry.record = record;
        match (was, entry.presence) {
            (Presence::Draining, _) => None,
            (_, Presence::Draining) => Some(WorkerChange::Draining(id)),
            (Presence::Gone { .. }, _) => Some(WorkerChange::Seen(id)),
            _ => None,
        }
    }

    /// A worker's record is gone.
    pub fn remove(&mut self, id: &WorkerId, now: Timestamp) -> Option<WorkerChange> {
        let entry = self.workers.get_mut(id)?;
        if matches!(entry.presence, Presence::Gone { .. }) {
            return None;
        }
        // One that was draining must not become a last resort.
        if entry.presence == Presence::Draining {
            return None;
        }
        entry.presence = Presence::Gone { since: now };
        Some(WorkerChange::Gone(id.clone()))
    }

    /// Ids of all workers whose records are believed to exist.
    pub fn present(&self) -> Vec<WorkerId> {
        let is_present = |entry: &&WorkerEntry| !matches!(entry.presence, Presence::Gone { .. });
        self.workers.values().filter(is_present).map(|entry| entry.record.id.clone()).collect()
    }

    /// Forgets workers that are gone for long.
    pub fn forget_gone(&mut self, now: Timestamp) {
        self.workers.retain(|_, entry| match entry.presence {
            Presence::Gone { since } => now.since(since) < GONE_REMEMBERED || entry.in_flight > 0,
            _ => true,
        });
    }

    /// How many workers of a service take requests.
    pub fn ready_count(&self, service: &str) -> usize {
        let is_ready = |entry: &&WorkerEntry| entry.presence == Presence::Ready && &*entry.record.service == service;
        self.workers.values().filter(is_ready).count()
    }

    /// The worker with the least estimated time to the first event. Workers that failed of late are
    /// passed over while there are others, and workers that vanished serve only when nobody else can.
    pub fn choose(&self, ask: &WorkerAsk<'_>, now: Timestamp, random: &mut impl Rng) -> Option<Choice> {
        let of_service = || self.workers.values().filter(|entry| &*entry.record.service == ask.service);
        let untried = |entry: &&WorkerEntry| !ask.tried.contains(&entry.record.id);
        let ready: Vec<&WorkerEntry> =
            of_service().filter(|entry| entry.presence == Presence::Ready).filter(untried).collect();
        let sound: Vec<&WorkerEntry> = ready.iter().copied().filter(|entry| !entry.is_passed_over(now)).collect();
        let candidates = if !sound.is_empty() {
            sound
        } else if !ready.is_empty() {
            ready
        } else {
            of_service().filter(untried).filter(|entry| is_last_resort(entry, now)).collect()
        };
        let home = self.home_of(ask, &candidates);
        let level = self.unseen_level(&candidates, now, random);
        let cost = |entry: &WorkerEntry, random: &mut dyn FnMut() -> f64| {
            let is_home = home.as_ref() == Some(&entry.record.id);
            let unseen = level.map_or(0.0, |level| (level - load_cost(entry, now)).max(0.0));
            estimate_cost(entry, ask, is_home, now) + unseen + random() * JITTER_MS
        };
        let mut draw = || random.random::<f64>();
        let chosen = candidates
            .iter()
            .map(|entry| (cost(entry, &mut draw), *entry))
            .min_by(|left, right| left.0.total_cmp(&right.0))?
            .1;
        Some(Choice {
            id: chosen.record.id.clone(),
            address: chosen.record.address,
            load: chosen.estimated_load(now),
            held_tokens: chosen.cache.held_tokens(ask.prefix),
            candidates: candidates.len(),
        })
    }

    /// The level to which requests that other nodes have placed meanwhile may have raised the cost of the
    /// least busy workers. How many those are is drawn, up to twice what is to be expected.
    fn unseen_level(&self, candidates: &[&WorkerEntry], now: Timestamp, random: &mut impl Rng) -> Option<f64> {
        let gathered = self.gathered.filter(|gathered| now.since(gathered.at) < SHARED_LIFETIME)?;
        let age = now.since(gathered.at) + GATHERED_AGE;
        let expected = f64::from(gathered.placed_per_s) * age.0 as f64 / 1_000.0;
        let unseen = expected * 2.0 * random.random::<f64>();
        let slopes: Vec<_> = candidates.iter().map(|entry| cost_slope(entry, now)).collect();
        level_after(&slopes, unseen)
    }

    /// Where the shared parts of a prompt go from every node: workers of the zone first, so that
    /// nodes agree without asking each other.
    fn home_of(&self, ask: &WorkerAsk<'_>, candidates: &[&WorkerEntry]) -> Option<WorkerId> {
        let shared = ask.prefix.len().checked_sub(2).map(|place| ask.prefix[place].chain)?;
        let in_zone = candidates.iter().filter(|entry| &*entry.record.zone == ask.zone);
        let weight = |entry: &&&WorkerEntry| rendezvous_weight(shared, hash_bytes(entry.record.id.0.as_bytes()));
        let home = in_zone.max_by_key(weight).or_else(|| candidates.iter().max_by_key(weight));
        home.map(|entry| entry.record.id.clone())
    }

    /// A request leaves for a worker.
    pub fn started(&mut self, id: &WorkerId, prefix: &[PrefixLink], memory_tokens: u64, now: Timestamp) {
        if let Some(entry) = self.workers.get_mut(id) {
            entry.in_flight += 1;
            entry.cache.note(prefix, memory_tokens, now);
            self.placed += 1;
        }
    }

    /// A request at a worker ended, however it did.
    pub fn ended(&mut self, id: &WorkerId) {
        if let Some(entry) = self.workers.get_mut(id) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// A batch item leaves for a worker.
    pub fn batch_started(&mut self, id: &WorkerId) {
        if let Some(entry) = self.workers.get_mut(id) {
            entry.batch_in_flight += 1;
        }
    }

    /// A batch item at a worker ended.
    pub fn batch_ended(&mut self, id: &WorkerId) {
        if let Some(entry) = self.workers.get_mut(id) {
            entry.batch_in_flight = entry.batch_in_flight.saturating_sub(1);
        }
    }

    /// A worker told its load.
    pub fn reported(&mut self, id: &WorkerId, load: WorkerLoad, now: Timestamp) {
        if let Some(entry) = self.workers.get_mut(id) {
            entry.report = Some(LoadReport { load, in_flight_then: entry.in_flight, at: now });
        }
    }

    /// A worker answered as it should. `took` is the time to its first event.
    pub fn succeeded(&mut self, id: &WorkerId, took: Millis, now: Timestamp) {
        let took = took.0 as f64;
        let ratio = (took / self.typical_first_ms.max(5.0)).clamp(0.5, 5.0);
        self.typical_first_ms = self.typical_first_ms * 0.95 + took * 0.05;
        if let Some(entry) = self.workers.get_mut(id) {
            entry.failures = 0;
            entry.passed_over_until = None;
            entry.slowness = entry.slowness * 0.8 + ratio * 0.2;
            entry.measured_at = now;
        }
    }

    /// The usual time to the first event, over all workers.
    pub fn typical_first_event(&self) -> Millis {
        Millis(self.typical_first_ms as u64)
    }

    /// A worker failed. Returns for how long it is passed over: longer if it could not even be reached,
    /// since each try costs a request the whole time to connect.
    pub fn failed(&mut self, id: &WorkerId, was_reached: bool, now: Timestamp) -> Option<Millis> {
        let entry = self.workers.get_mut(id)?;
        entry.failures += 1;
        let first = if was_reached { FIRST_PASS_OVER } else { FIRST_PASS_OVER_UNREACHED };
        let doubled = first.0 << (entry.failures - 1).min(6);
        let span = Millis(doubled.min(LONGEST_PASS_OVER.0));
        entry.passed_over_until = Some(now + span);
        Some(span)
    }

    /// A worker had no room: it is believed to be full until it reports again.
    pub fn was_full(&mut self, id: &WorkerId, now: Timestamp) {
        if let Some(entry) = self.workers.get_mut(id) {
            let load = WorkerLoad { running: entry.record.slots, waiting: entry.record.slots / 2 };
            entry.report = Some(LoadReport { load, in_flight_then: entry.in_flight, at: now });
        }
    }

    /// How many requests this node has placed, batch items included.
    pub fn placed(&self) -> u64 {
        self.placed
    }

    /// What this node has to tell of each worker.
    pub fn own_news(&self, now: Timestamp) -> Vec<WorkerNews> {
        let news = |entry: &WorkerEntry| {
            let report = entry.report.filter(|report| now.since(report.at) < REPORT_TOLD_WITHIN);
            let told = report.map(|report| report.corrected(entry.in_flight));
            let has_news = entry.in_flight > 0 || told.is_some();
            has_news.then(|| WorkerNews { worker: entry.record.id.clone(), requests: entry.in_flight, told })
        };
        self.workers.values().filter_map(news).collect()
    }

    /// Takes what was gathered of all other nodes.
    pub fn hear(&mut self, news: &LoadNews, now: Timestamp) {
        let loads: Vec<WorkerCount> = news
            .workers
            .iter()
            .map(|news| {
                let own = self.workers.get(&news.worker).map_or(0, |entry| entry.in_flight);
                let requests = news.requests.max(news.told.unwrap_or(0).saturating_sub(own));
                WorkerCount { worker: news.worker.clone(), requests }
            })
            .collect();
        self.set_shared_loads(&loads, now);
        self.gathered = Some(GatheredRate { at: now, placed_per_s: news.placed_per_s });
    }

    /// Requests of this node at each worker, those without any left out.
    pub fn own_loads(&self) -> Vec<WorkerCount> {
        let busy = self.workers.values().filter(|entry| entry.in_flight > 0);
        busy.map(|entry| WorkerCount { worker: entry.record.id.clone(), requests: entry.in_flight }).collect()
    }

    /// Takes the loads of all other nodes. A worker that is not listed has none.
    pub fn set_shared_loads(&mut self, loads: &[WorkerCount], now: Timestamp) {
        let by_worker: BTreeMap<&WorkerId, u32> = loads.iter().map(|count| (&count.worker, count.requests)).collect();
        for (id, entry) in &mut self.workers {
            let load = by_worker.get(id).copied().unwrap_or(0);
            let smoothed = entry.others.map_or(f64::from(load), |earlier| {
                let passed = now.since(earlier.at).0 as f64;
                let weight = 1.0 - (-passed / SMOOTHING.0 as f64).exp();
                earlier.smoothed + (f64::from(load) - earlier.smoothed) * weight
            });
            entry.others = Some(SharedLoad { load, smoothed, at: now });
        }
    }

    /// Workers that are full while batch items run there, and how many of those must go.
    pub fn overfull(&self, now: Timestamp) -> Vec<WorkerCount> {
        let excess = |entry: &WorkerEntry| {
            let allowed = entry.record.slots + BATCH_TOLERANCE;
            let over = entry.estimated_load(now).saturating_sub(allowed).min(entry.batch_in_flight);
            (over > 0).then(|| WorkerCount { worker: entry.record.id.clone(), requests: over })
        };
        self.workers.values().filter_map(excess).collect()
    }

    /// The worker for a batch item: the one with the most room beyond a reserve that stays free for
    /// online requests.
    pub fn choose_for_batch(&self, ask: &WorkerAsk<'_>, now: Timestamp, random: &mut impl Rng) -> Option<Choice> {
        let has_room = |entry: &&WorkerEntry| {
            let reserve = (entry.record.slots / RESERVE_PART).max(1);
            let load = entry.estimated_load(now).max(entry.smoothed_load());
            load + reserve < entry.record.slots.max(reserve + 1)
        };
        let candidates: Vec<&WorkerEntry> = self
            .workers
            .values()
            .filter(|entry| &*entry.record.service == ask.service && entry.presence == Presence::Ready)
            .filter(|entry| !ask.tried.contains(&entry.record.id) && !entry.is_passed_over(now))
            .filter(has_room)
            .collect();
        let mut draw = || random.random::<f64>();
        let chosen = candidates
            .iter()
            .map(|entry| {
                let crowd = f64::from(entry.batch_in_flight) * 6.0;
                (estimate_cost(entry, ask, false, now) + crowd + draw() * JITTER_MS, *entry)
            })
            .min_by(|left, right| left.0.total_cmp(&right.0))?
            .1;
        Some(Choice {
            id: chosen.record.id.clone(),
            address: chosen.record.address,
            load: chosen.estimated_load(now),
            held_tokens: chosen.cache.held_tokens(ask.prefix),
            candidates: candidates.len(),
        })
    }

    /// What is believed of a worker's load, for the log.
    pub fn describe(&self, id: &WorkerId, now: Timestamp) -> String {
        let Some(entry) = self.workers.get(id) else { return String::new() };
        format!(
            "load {} of {} slots, {} of batch, {:?}",
            entry.estimated_load(now),
            entry.record.slots,
            entry.batch_in_flight,
            entry.others
        )
    }

    /// The slots of a worker; `None` if it is not known.
    pub fn record(&self, id: &WorkerId) -> Option<&WorkerRecord> {
        self.workers.get(id).map(|entry| &entry.record)
    }
}

fn is_last_resort(entry: &WorkerEntry, now: Timestamp) -> bool {
    match entry.presence {
        Presence::Gone { since } => now.since(since) < GONE_LAST_RESORT,
        Presence::Ready => true,
        Presence::Draining => false,
    }
}
