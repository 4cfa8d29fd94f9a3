//! What it costs to send a request to a worker: the estimated time to its first event, in milliseconds.

use super::choice::WorkerQuery;
use super::load_in_transit::CostSlope;
use super::worker::WorkerEntry;
use crate::time::{Millis, Timestamp};

/// The time to read one prompt token, in milliseconds.
const READ_MS_PER_TOKEN: f64 = 0.018;
/// The cost of a full worker against an idle one, in milliseconds: spreads requests over free slots.
const BUSY_MS: f64 = 40.0;
/// The cost of each request that would wait for a slot, in milliseconds.
const WAIT_MS: f64 = 80.0;
/// The cost of leaving the zone, in milliseconds, which saves bytes between zones.
const ZONE_MS: f64 = 4.0;
/// The cost of each kilobyte that leaves the zone, in milliseconds; see [`ZONE_MS`].
const ZONE_MS_PER_KILOBYTE: f64 = 0.4;
/// A worker counts as slow from this many times the mean time to the first event, so that ordinary spread doesn't.
const SLOW_ABOVE: f64 = 1.5;
/// The cost of each further time the mean, in milliseconds, so that slow workers get less; see [`SLOW_ABOVE`].
const SLOW_MS: f64 = 15.0;
/// A worker's slowness loses its weight over this time, in milliseconds, so that one that recovered is tried again; see
/// [`SLOW_ABOVE`].
const SLOWNESS_LIFETIME: Millis = Millis(4_000);
/// The share of a prompt's shared parts believed to be cached at their affinity worker, so that they are read at one
/// worker of a zone.
const AFFINITY_CACHED_SHARE: f64 = 0.6;

/// The estimated time to the first event, in milliseconds, with what the way there costs.
pub(super) fn estimate_cost(entry: &WorkerEntry, ask: &WorkerQuery<'_>, has_affinity: bool, now: Timestamp) -> f64 {
    let cached = f64::from(entry.cache.cached_tokens(ask.prefix));
    let shared: u32 = ask.prefix.iter().rev().skip(1).map(|link| link.tokens).sum();
    let believed = if has_affinity { cached.max(f64::from(shared) * AFFINITY_CACHED_SHARE) } else { cached };
    let unread = (f64::from(ask.prompt_tokens) - believed).max(0.0);
    let away = if &*entry.record.zone == ask.zone {
        0.0
    } else {
        ZONE_MS + ask.body_bytes as f64 / 1_024.0 * ZONE_MS_PER_KILOBYTE
    };
    unread * READ_MS_PER_TOKEN * entry.slowdown(now) + away + load_cost(entry, now)
}

/// The part of the cost that is the same for every request: load and slowness, in milliseconds.
pub(super) fn load_cost(entry: &WorkerEntry, now: Timestamp) -> f64 {
    let slots = f64::from(entry.record.slots.max(1));
    let load = f64::from(entry.estimated_load(now));
    let busy = load / slots * BUSY_MS;
    let waiting = (load + 1.0 - slots).max(0.0) * WAIT_MS;
    let measured = now.since(entry.measured_at).0.min(SLOWNESS_LIFETIME.0) as f64;
    let trust = 1.0 - measured / SLOWNESS_LIFETIME.0 as f64;
    let slow = (entry.slowness.value() - SLOW_ABOVE).max(0.0) * SLOW_MS * trust;
    (busy + waiting) * entry.slowdown(now) + slow
}

/// How the load's cost rises with further requests.
pub(super) fn cost_slope(entry: &WorkerEntry, now: Timestamp) -> CostSlope {
    let slots = f64::from(entry.record.slots.max(1));
    let load = f64::from(entry.estimated_load(now));
    let per_slot = BUSY_MS / slots;
    CostSlope {
        cost: load_cost(entry, now),
        free_slots: (slots - load).max(0.0),
        per_slot,
        per_wait: per_slot + WAIT_MS,
    }
}
