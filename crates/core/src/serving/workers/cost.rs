//! Cost model of worker selection: the estimated time to the first event, in milliseconds.

use super::choice::WorkerQuery;
use super::load_in_transit::CostSlope;
use super::worker::WorkerEntry;
use crate::serving::request::count_tokens;
use crate::time::{Millis, Timestamp};

/// Time to process one prompt token that is not cached.
const PREFILL_MS_PER_TOKEN: f64 = 0.018;
/// Cost difference between a full and an idle worker, so that requests spread over free slots.
const FULL_LOAD_COST_MS: f64 = 40.0;
/// Cost of each request that would be queued for a slot.
const QUEUED_REQUEST_COST_MS: f64 = 80.0;
/// Cost of sending a request to another zone, to reduce traffic between zones.
const CROSS_ZONE_COST_MS: f64 = 4.0;
/// Cost of each KiB of request body sent to another zone.
const CROSS_ZONE_COST_MS_PER_KIB: f64 = 0.4;
/// Relative latency above which a worker counts as slow, so that ordinary variance does not matter.
const SLOW_THRESHOLD: f64 = 1.5;
/// Cost of each unit of relative latency above the threshold. Gives slow workers fewer requests.
const SLOW_COST_MS: f64 = 15.0;
/// Time over which the weight of a relative latency decays to zero, so that recovered workers are tried again.
const RELATIVE_LATENCY_LIFETIME: Millis = Millis(4_000);
/// Fraction of a prompt's shared parts assumed to be cached at their affinity worker, so that one worker per zone
/// processes them.
const AFFINITY_CACHED_FRACTION: f64 = 0.6;

/// Time that a failure costs a request that may run again: a second choice and a second wait for the first event.
const FAILURE_COST_MS: f64 = 300.0;
/// Cost of a failure of a request that may run only once. Its response is lost, which is worse than a late one.
const FINAL_FAILURE_COST_MS: f64 = 1_500.0;

/// Returns the estimated time to the first event, in milliseconds, including the cost of leaving the zone.
pub(super) fn estimate_cost(entry: &WorkerEntry, query: &WorkerQuery<'_>, has_affinity: bool, now: Timestamp) -> f64 {
    let cached = f64::from(entry.cache.cached_tokens(query.prefix));
    let shared = count_tokens(query.prefix.iter().rev().skip(1));
    let estimated_cached = if has_affinity { cached.max(f64::from(shared) * AFFINITY_CACHED_FRACTION) } else { cached };
    let uncached = (f64::from(query.prompt_tokens) - estimated_cached).max(0.0);
    let cross_zone_cost = if &*entry.record.zone == query.zone {
        0.0
    } else {
        CROSS_ZONE_COST_MS + query.body_bytes as f64 / 1_024.0 * CROSS_ZONE_COST_MS_PER_KIB
    };
    let failure_cost = if query.may_run_again { FAILURE_COST_MS } else { FINAL_FAILURE_COST_MS };
    let prefill_cost = uncached * PREFILL_MS_PER_TOKEN * entry.slowdown(now);
    prefill_cost + cross_zone_cost + load_cost(entry, now) + entry.expected_failures() * failure_cost
}

/// Returns the request-independent part of the cost, from load and relative latency, in milliseconds.
pub(super) fn load_cost(entry: &WorkerEntry, now: Timestamp) -> f64 {
    let slots = f64::from(entry.record.slots.max(1));
    let load = f64::from(entry.estimated_load(now));
    let slot_cost = load / slots * FULL_LOAD_COST_MS;
    let queue_cost = (load + 1.0 - slots).max(0.0) * QUEUED_REQUEST_COST_MS;
    let sample_age = now.since(entry.latency_measured_at).0.min(RELATIVE_LATENCY_LIFETIME.0) as f64;
    let sample_weight = 1.0 - sample_age / RELATIVE_LATENCY_LIFETIME.0 as f64;
    let slow_cost = (entry.relative_latency.value() - SLOW_THRESHOLD).max(0.0) * SLOW_COST_MS * sample_weight;
    (slot_cost + queue_cost) * entry.slowdown(now) + slow_cost
}

/// Returns how the load cost grows with additional requests.
pub(super) fn cost_slope(entry: &WorkerEntry, now: Timestamp) -> CostSlope {
    let slots = f64::from(entry.record.slots.max(1));
    let load = f64::from(entry.estimated_load(now));
    let per_slot = FULL_LOAD_COST_MS / slots;
    CostSlope {
        cost: load_cost(entry, now),
        free_slots: (slots - load).max(0.0),
        per_slot,
        per_queued: per_slot + QUEUED_REQUEST_COST_MS,
    }
}
