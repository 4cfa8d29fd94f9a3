//! The leader's side of cold starts: limits the requests that all nodes together send to a worker that has just
//! started.
//!
//! Invariant: in any second, permits allow at most one second's worth of the worker's rate limit plus
//! `MAX_ACCUMULATED_PERMITS` requests to a worker. Permits used in a given second were granted in that second or up
//! to [`PERMIT_LIFETIME`] earlier, for which `GRANTED_FRACTION` compensates. A new leader starts without accumulated
//! permits, because permits of its predecessor may still be valid, and a replica that cannot prove its leadership
//! grants nothing.

use std::collections::BTreeMap;

use super::cold_start::{ColdStart, PERMIT_LIFETIME};
use super::load_report::WorkerCount;
use super::worker::WorkerId;
use crate::serving::quota::bucket::{BucketLimit, TokenBucket};
use crate::time::{Millis, Timestamp};

/// Fraction of a cold worker's rate limit that is granted, so that the permits granted over one second plus one permit
/// lifetime do not exceed one second's worth.
const GRANTED_FRACTION: f64 = 0.7;
/// Maximum number of permits that accumulate for a worker while none are requested.
const MAX_ACCUMULATED_PERMITS: f64 = 4.0;
/// Number of accumulated permits that are not granted to batch items.
const RESERVED_FOR_ONLINE: f64 = 2.0;
/// Time for which a worker's bucket is retained after the last request for its permits.
const IDLE_RETENTION: Millis = Millis(10_000);

#[derive(Clone, Copy, Debug)]
struct WorkerBucket {
    bucket: TokenBucket,
    requested_at: Timestamp,
}

/// Token buckets from which the leader grants permits for cold workers.
#[derive(Clone, Debug, Default)]
pub struct PermitGrants {
    leader_since: Timestamp,
    workers: BTreeMap<WorkerId, WorkerBucket>,
}

impl PermitGrants {
    /// Resets all buckets when this node becomes the leader.
    pub fn reset(&mut self, now: Timestamp) {
        *self = Self { leader_since: now, workers: BTreeMap::new() };
    }

    /// Grants at most one permit for each worker in `wanted` to the online requests of a node. `cold_start_of` returns
    /// the limits of a worker, or `None` if the worker is unknown or has no cold start.
    pub fn grant(
        &mut self,
        wanted: &[WorkerId],
        cold_start_of: impl Fn(&WorkerId) -> Option<ColdStart>,
        now: Timestamp,
    ) -> Vec<WorkerCount> {
        self.grant_above(0.0, wanted, cold_start_of, now)
    }

    /// Like [`PermitGrants::grant`], for batch items of the leader. They get what online requests leave over, since the
    /// leader dispatches items far more often than the nodes request permits.
    pub fn grant_batch(
        &mut self,
        wanted: &[WorkerId],
        cold_start_of: impl Fn(&WorkerId) -> Option<ColdStart>,
        now: Timestamp,
    ) -> Vec<WorkerCount> {
        self.grant_above(RESERVED_FOR_ONLINE, wanted, cold_start_of, now)
    }

    /// Grants permits from buckets whose level stays at `reserved` or above.
    fn grant_above(
        &mut self,
        reserved: f64,
        wanted: &[WorkerId],
        cold_start_of: impl Fn(&WorkerId) -> Option<ColdStart>,
        now: Timestamp,
    ) -> Vec<WorkerCount> {
        let known = wanted.iter().filter_map(|worker| Some((worker, cold_start_of(worker)?)));
        let granted = known.filter(|(worker, cold_start)| self.take_permit(worker, *cold_start, reserved, now));
        granted.map(|(worker, _)| WorkerCount { worker: worker.clone(), requests: 1 }).collect()
    }

    /// Evicts workers for which no permits were requested recently.
    pub fn evict_unused(&mut self, now: Timestamp) {
        self.workers.retain(|_, worker| now.since(worker.requested_at) < IDLE_RETENTION);
    }

    fn take_permit(&mut self, worker: &WorkerId, cold_start: ColdStart, reserved: f64, now: Timestamp) -> bool {
        let limit =
            BucketLimit { per_s: cold_start.per_s.requests() * GRANTED_FRACTION, capacity: MAX_ACCUMULATED_PERMITS };
        let is_established = now.since(self.leader_since) >= PERMIT_LIFETIME;
        let initial_level = if is_established { 1.0 } else { 0.0 };
        let new = || WorkerBucket { bucket: TokenBucket::with_level(initial_level, now), requested_at: now };
        let known = self.workers.entry(worker.clone()).or_insert_with(new);
        known.requested_at = now;
        known.bucket.refill(limit, now);
        let is_available = known.bucket.level() >= reserved + 1.0;
        if is_available {
            known.bucket.spend(1.0, 0.0);
        }
        is_available
    }
}
