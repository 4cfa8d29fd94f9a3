//! The leader's side of cold starts: how many requests all nodes together may send to a worker that has just started.
//!
//! Invariant: in any second, the requests that permits allow at one worker are no more than a second's worth of what it
//! bears and [`BURST`]. A permit is used within [`PERMIT_LIFETIME`], so those used in a second were granted in that
//! second or within a lifetime before it; [`GRANTED_SHARE`] makes up for that. A new leader grants nothing saved up, as
//! permits of the one before may still be in use, and a replica that can't prove that it leads grants nothing.

use std::collections::BTreeMap;

use super::cold_start::{ColdStart, PERMIT_LIFETIME};
use super::load_report::WorkerCount;
use super::worker::WorkerId;
use crate::serving::quota::bucket::{BucketLimit, TokenBucket};
use crate::time::{Millis, Timestamp};

/// The share of what a cold worker bears that is granted: a second and a permit's lifetime of it are a second's worth.
const GRANTED_SHARE: f64 = 0.7;
/// Permits saved up for one worker while nobody asks.
const BURST: f64 = 4.0;
/// A worker that nobody asked for in this time is forgotten, in milliseconds: saves memory.
const REMEMBERED_FOR: Millis = Millis(10_000);

#[derive(Clone, Copy, Debug)]
struct WorkerBucket {
    bucket: TokenBucket,
    asked_at: Timestamp,
}

/// Permits for requests to workers that have just started.
#[derive(Clone, Debug, Default)]
pub struct PermitGrants {
    opened_at: Timestamp,
    workers: BTreeMap<WorkerId, WorkerBucket>,
}

impl PermitGrants {
    /// Begins anew: this node has become the leader.
    pub fn reset(&mut self, now: Timestamp) {
        *self = Self { opened_at: now, workers: BTreeMap::new() };
    }

    /// Grants at most one permit for each worker. `cold_start_of` tells what a worker bears.
    pub fn grant(
        &mut self,
        wanted: &[WorkerId],
        cold_start_of: impl Fn(&WorkerId) -> Option<ColdStart>,
        now: Timestamp,
    ) -> Vec<WorkerCount> {
        let known = wanted.iter().filter_map(|worker| Some((worker, cold_start_of(worker)?)));
        let granted = known.filter(|(worker, cold_start)| self.take(worker, *cold_start, now));
        granted.map(|(worker, _)| WorkerCount { worker: worker.clone(), requests: 1 }).collect()
    }

    /// Forgets workers that nobody asks for.
    pub fn evict_unused(&mut self, now: Timestamp) {
        self.workers.retain(|_, worker| now.since(worker.asked_at) < REMEMBERED_FOR);
    }

    fn take(&mut self, worker: &WorkerId, cold_start: ColdStart, now: Timestamp) -> bool {
        let limit = BucketLimit { per_s: cold_start.per_s.requests() * GRANTED_SHARE, capacity: BURST };
        let has_led = now.since(self.opened_at) >= PERMIT_LIFETIME;
        let at_start = if has_led { 1.0 } else { 0.0 };
        let new = || WorkerBucket { bucket: TokenBucket::with_level(at_start, now), asked_at: now };
        let known = self.workers.entry(worker.clone()).or_insert_with(new);
        known.asked_at = now;
        known.bucket.refill(limit, now);
        let has_room = known.bucket.level() >= 1.0;
        if has_room {
            known.bucket.spend(1.0, 0.0);
        }
        has_room
    }
}
