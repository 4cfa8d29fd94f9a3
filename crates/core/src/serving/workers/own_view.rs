//! Load estimates of a gateway that receives no sums of other nodes, from its own view alone.
//!
//! What is known of a worker is its last own report or the last sums, whichever is newer. It loses weight with age
//! towards the mean of what is known of the service's workers; the requests of this node count exactly. The estimates
//! are too weak to choose the best of all workers by: partitioned gateways would all choose the worker that was last
//! seen idle. Therefore only a few candidates drawn at random are compared, fewer the less is known. Nothing is refused
//! because of an assumed load.
//!
//! Applies only after the last sums have expired; a node that never received any keeps its usual estimates.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::Rng;

use super::table::WorkerTable;
use super::worker::{PEER_LOAD_LIFETIME, WorkerEntry};
use crate::time::{Millis, Timestamp};

/// Time constant with which what is known of a worker loses weight. About the time for which a request holds a slot.
const KNOWLEDGE_TIME_CONSTANT: Millis = Millis(600);
/// Weight below which knowledge is ignored, since sums of tiny weights lose precision.
const NEGLIGIBLE_WEIGHT: f64 = 1e-9;
/// Interval between updates of the assumed loads. Limits the time spent on large fleets.
const ASSUMPTION_INTERVAL: Millis = Millis(250);
/// Number of candidates compared when nothing is known.
const MIN_COMPARED: usize = 16;
/// Number of further candidates compared when the loads of all workers were just reported.
const COMPARED_PER_KNOWLEDGE: f64 = 32.0;

/// Load that a worker is assumed to have apart from what is known of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct AssumedLoad {
    /// Mean number of requests of other nodes per slot over the service's workers.
    per_slot: f64,
    /// When the last sums were received. They apply to workers without a newer report of their own.
    sums_at: Timestamp,
}

/// Weighted mean of the known loads of a service.
#[derive(Clone, Copy, Debug, Default)]
struct KnownMean {
    weight: f64,
    weighted_per_slot: f64,
}

impl WorkerEntry {
    /// Returns the estimated number of requests at the worker while no sums of other nodes arrive.
    pub(super) fn own_estimate(&self, assumed: AssumedLoad, now: Timestamp) -> u32 {
        let (known, weight) = self.knowledge(assumed.sums_at, now);
        let mean = assumed.per_slot * f64::from(self.record.slots);
        let of_others = known * weight + mean * (1.0 - weight);
        self.in_flight + of_others.round() as u32
    }

    /// Returns the last known number of requests of other nodes at the worker, and its weight.
    fn knowledge(&self, sums_at: Timestamp, now: Timestamp) -> (f64, f64) {
        let own = self.report.filter(|report| report.at >= sums_at);
        let (load, at) = own.map_or_else(
            || {
                let shared = self.peer_load.filter(|shared| shared.at >= sums_at);
                (shared.map_or(0, |shared| shared.load), sums_at)
            },
            |report| (report.of_others(), report.at),
        );
        (f64::from(load), weight_at_age(now.since(at)))
    }
}

impl WorkerTable {
    /// Updates the assumed load of each worker if no sums of other nodes arrive.
    pub(super) fn update_assumed_loads(&mut self, now: Timestamp) {
        let Some(sums_at) = self.expired_sums(now) else { return };
        if now.since(self.assumed_at) < ASSUMPTION_INTERVAL {
            return;
        }
        self.assumed_at = now;
        let mut means: BTreeMap<Arc<str>, KnownMean> = BTreeMap::new();
        for entry in self.workers.values().filter(|entry| entry.accepts_requests(now)) {
            let (load, weight) = entry.knowledge(sums_at, now);
            let mean = means.entry(entry.record.service.clone()).or_default();
            mean.weight += weight;
            mean.weighted_per_slot += weight * load / f64::from(entry.record.slots.max(1));
        }
        for entry in self.workers.values_mut() {
            let mean = means.get(&entry.record.service).filter(|mean| mean.weight > NEGLIGIBLE_WEIGHT);
            // Without any knowledge, the last mean stays the best estimate.
            if let Some(mean) = mean {
                entry.assumed = Some(AssumedLoad { per_slot: mean.weighted_per_slot / mean.weight, sums_at });
            }
        }
    }

    /// Discards the assumed loads, since sums of other nodes have arrived.
    pub(super) fn clear_assumed_loads(&mut self) {
        if self.assumed_at != Timestamp::default() {
            self.assumed_at = Timestamp::default();
            self.workers.values_mut().for_each(|entry| entry.assumed = None);
        }
    }

    /// Returns the candidates to compare while no sums of other nodes arrive; `None` if they do.
    pub(super) fn sample_by_own_view<'a>(
        &self,
        candidates: &[&'a WorkerEntry],
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Option<Vec<&'a WorkerEntry>> {
        let sums_at = self.expired_sums(now)?;
        let weights: f64 = candidates.iter().map(|entry| entry.knowledge(sums_at, now).1).sum();
        let known_fraction = weights / candidates.len().max(1) as f64;
        let compared = MIN_COMPARED + (COMPARED_PER_KNOWLEDGE * known_fraction) as usize;
        let indices = rand::seq::index::sample(random, candidates.len(), compared.min(candidates.len()));
        Some(indices.into_iter().map(|index| candidates[index]).collect())
    }

    /// Returns when the last sums of other nodes were received if they have expired since.
    fn expired_sums(&self, now: Timestamp) -> Option<Timestamp> {
        self.peer_rate.map(|rate| rate.at).filter(|at| now.since(*at) >= PEER_LOAD_LIFETIME)
    }
}

fn weight_at_age(age: Millis) -> f64 {
    (-(age.0 as f64) / KNOWLEDGE_TIME_CONSTANT.0 as f64).exp()
}
