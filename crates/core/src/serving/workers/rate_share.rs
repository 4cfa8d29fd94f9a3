//! This node's share of the request rate of cold workers while no leader grants permits.
//!
//! Without a leader, each gateway keeps to an even share of a fraction of the rate. Its requests to a worker are spread
//! over slots: one request for each slot, only while the slot is open, at a random phase for each gateway and worker.
//! Unused slots are lost, so that gateways that have been idle cannot all use saved requests in the same second.
//!
//! The shares add up to less than what the leader's permits leave of the tolerated rate, so the limit also holds while
//! only some gateways reach the leader.

use super::cold_start::{ColdStart, PERMIT_LIFETIME};
use super::worker::WorkerId;
use crate::hashing::{hash_bytes, rendezvous_weight};
use crate::time::{Millis, Timestamp};

/// Fraction of a cold worker's rate limit that all gateways together use without a leader. Half of what a leader grants,
/// since it may still do so for other gateways.
const SHARED_FRACTION: f64 = 0.35;

/// This node's share of the rate of cold workers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RateShare {
    /// Number of gateways; 0 if unknown.
    gateways: u32,
    /// Random number of this node, which determines the phases of its slots.
    seed: u64,
    /// Whether this node uses its share, because no leader grants it permits.
    is_active: bool,
}

impl RateShare {
    /// Sets the number of gateways and draws new phases if it changed.
    pub(super) fn set_gateways(&mut self, gateways: u32, seed: u64) {
        if gateways != self.gateways {
            *self = Self { gateways, seed, ..*self };
        }
    }

    /// Sets whether this node uses its share.
    pub(super) fn set_active(&mut self, is_active: bool) {
        self.is_active = is_active;
    }

    /// Returns the number of the slot that is open for a worker, if any.
    pub(super) fn open_slot(&self, worker: &WorkerId, cold_start: ColdStart, now: Timestamp) -> Option<u64> {
        let (slot, elapsed, interval) = self.slot_at(worker, cold_start, now)?;
        (elapsed < interval.min(PERMIT_LIFETIME)).then_some(slot)
    }

    /// Returns the time until the next slot for a worker opens.
    pub(super) fn next_slot_in(&self, worker: &WorkerId, cold_start: ColdStart, now: Timestamp) -> Option<Millis> {
        let (_, elapsed, interval) = self.slot_at(worker, cold_start, now)?;
        Some(Millis(interval.0 - elapsed.0))
    }

    /// Returns the number of the current slot, the time since it began, and the time between two slots. `None` if this
    /// node does not use its share.
    fn slot_at(&self, worker: &WorkerId, cold_start: ColdStart, now: Timestamp) -> Option<(u64, Millis, Millis)> {
        let per_s = cold_start.per_s.requests() * SHARED_FRACTION;
        if !self.is_active || self.gateways == 0 || per_s <= 0.0 {
            return None;
        }
        let interval = ((f64::from(self.gateways) * 1_000.0 / per_s).ceil() as u64).max(1);
        let phase = rendezvous_weight(self.seed, hash_bytes(worker.0.as_bytes())) % interval;
        let shifted = now.as_millis() + phase;
        Some((shifted / interval, Millis(shifted % interval), Millis(interval)))
    }
}
