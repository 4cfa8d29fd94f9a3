//! Cold starts: the time for which a started worker counts as cold, and this node's permits to send it requests.
//!
//! A cold worker tolerates a limited request rate from all nodes together. Nodes that each see an idle worker would
//! exceed it, so sending a request to a cold worker requires a permit from the leader of the job table
//! ([`PermitGrants`](super::permit_grants::PermitGrants)). A gateway that reaches no leader keeps to its share of the
//! rate instead ([`rate_share`](super::rate_share)).

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::Rng;
use rand::seq::IteratorRandom;

use super::choice::WorkerQuery;
use super::load_report::WorkerCount;
use super::table::WorkerTable;
use super::worker::{WorkerEntry, WorkerId, WorkerIncarnation};
use crate::serving::configuration::tenant::MilliRequests;
use crate::time::{Millis, Timestamp};

/// Lifetime of a permit, counted from the request for it. Short, because it bounds the number of unused permits that
/// can accumulate across nodes and be used at once.
pub const PERMIT_LIFETIME: Millis = Millis(400);
/// Minimum time between two permit requests of a node, which limits the load on the leader.
pub const PERMIT_INTERVAL: Millis = Millis(100);
/// Maximum time that a request waits for a permit when every worker of its service is cold.
pub const MAX_PERMIT_WAIT: Millis = Millis(60);
/// Maximum number of workers in one permit request. A node that places few requests would let further permits expire
/// unused.
pub const MAX_WORKERS_PER_PERMIT_REQUEST: usize = 2;
/// Maximum number of workers in a permit request while requests have no worker to go to, so that their permits are
/// used.
pub const MAX_WORKERS_WITHOUT_CANDIDATE: usize = 8;

/// Limits on the workers of a service after their start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStart {
    /// Maximum request rate of a cold worker, from all nodes together.
    pub per_s: MilliRequests,
    /// Time for which a worker is cold after its start.
    pub lasts: Millis,
}

/// Cold start state of a worker, and this node's permits for it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ColdState {
    pub(super) cold_until: Timestamp,
    /// Number of requests that this node may send while the worker is cold.
    permits: u32,
    permits_until: Timestamp,
    /// Last slot of this node's rate share that was used.
    used_slot: Option<u64>,
}

impl ColdState {
    /// Extends the cold period to `until`; never shortens it.
    pub(super) fn extend_cold_period(&mut self, until: Timestamp) {
        self.cold_until = self.cold_until.max(until);
    }

    /// Ends the cold period at `latest` at the latest.
    fn limit_cold_period(&mut self, latest: Timestamp) {
        self.cold_until = self.cold_until.min(latest);
    }

    fn has_permit(&self, now: Timestamp) -> bool {
        self.permits > 0 && now < self.permits_until
    }
}

impl WorkerTable {
    /// Replaces the cold start limits, keyed by service.
    pub fn set_cold_starts(&mut self, cold_starts: BTreeMap<Arc<str>, ColdStart>) {
        self.cold_starts = cold_starts;
    }

    /// Returns the cold start limits of a worker; `None` if the worker is unknown or its service has no cold start.
    pub fn cold_start_of(&self, id: &WorkerId) -> Option<ColdStart> {
        let entry = self.workers.get(id)?;
        self.cold_starts.get(&entry.record.service).copied()
    }

    /// Records that a worker reported itself cold for another `remaining` from now on.
    pub fn mark_cold(&mut self, incarnation: &WorkerIncarnation, remaining: Millis, now: Timestamp) {
        if remaining == Millis(0) {
            return;
        }
        if let Some(entry) = self.entry_mut(incarnation) {
            entry.cold_state.extend_cold_period(now + remaining);
            self.cold_until = self.cold_until.max(now + remaining);
        }
    }

    /// Treats a worker as cold from `from` on for the cold start duration of its service, since it may have restarted.
    pub(super) fn mark_cold_from(&mut self, id: &WorkerId, from: Timestamp) {
        let Some(entry) = self.workers.get_mut(id) else { return };
        let Some(cold_start) = self.cold_starts.get(&entry.record.service) else { return };
        entry.cold_state.extend_cold_period(from + cold_start.lasts);
        self.cold_until = self.cold_until.max(from + cold_start.lasts);
    }

    /// Ends a worker's cold period no later than one cold start after `now`, since a worker that answered at `now` had
    /// started by then.
    pub(super) fn limit_cold_period(&mut self, incarnation: &WorkerIncarnation, now: Timestamp) {
        let Some(cold_start) = self.cold_start_of(&incarnation.id) else { return };
        if let Some(entry) = self.entry_mut(incarnation) {
            entry.cold_state.limit_cold_period(now + cold_start.lasts);
        }
    }

    /// Treats all workers of a zone as cold from `from` on.
    pub(super) fn mark_zone_cold_from(&mut self, zone: &str, from: Timestamp) {
        let in_zone = self.workers.values().filter(|entry| &*entry.record.zone == zone);
        let ids: Vec<WorkerId> = in_zone.map(|entry| entry.record.id.clone()).collect();
        for id in &ids {
            self.mark_cold_from(id, from);
        }
    }

    /// Returns whether any worker may be cold.
    pub fn has_cold_workers(&self, now: Timestamp) -> bool {
        now < self.cold_until
    }

    pub(super) fn is_cold(&self, entry: &WorkerEntry, now: Timestamp) -> bool {
        now < entry.cold_state.cold_until && self.cold_starts.contains_key(&entry.record.service)
    }

    /// Returns whether the cold start of a worker allows sending it a request.
    pub(super) fn is_warm_or_permitted(&self, entry: &WorkerEntry, now: Timestamp) -> bool {
        !self.is_cold(entry, now) || entry.cold_state.has_permit(now) || self.unused_slot(entry, now).is_some()
    }

    /// Returns the open slot of this node's rate share, unless it was used.
    fn unused_slot(&self, entry: &WorkerEntry, now: Timestamp) -> Option<u64> {
        let cold_start = *self.cold_starts.get(&entry.record.service)?;
        let slot = self.rate_share.open_slot(&entry.record.id, cold_start, now)?;
        (entry.cold_state.used_slot != Some(slot)).then_some(slot)
    }

    /// Sets whether a leader answers requests for permits. Without one, this node uses its share of the rate of cold
    /// workers.
    pub fn set_permit_leader(&mut self, has_leader: bool) {
        self.rate_share.set_active(!has_leader);
    }

    /// Returns the time until this node may send the request to a cold worker, if it uses its share of their rate.
    pub fn next_share_in(&self, query: &WorkerQuery<'_>, now: Timestamp) -> Option<Millis> {
        let next = |entry: &WorkerEntry| {
            let cold_start = *self.cold_starts.get(&entry.record.service)?;
            self.rate_share.next_slot_in(&entry.record.id, cold_start, now)
        };
        self.unpermitted(query, true, now).filter_map(next).min()
    }

    /// Returns whether a permit would make another worker available for the request.
    pub fn needs_permit(&self, query: &WorkerQuery<'_>, now: Timestamp) -> bool {
        self.has_cold_workers(now) && self.unpermitted(query, !self.has_candidate(query, now), now).next().is_some()
    }

    /// Returns the workers to request permits for, preferring the local zone. They are sampled at random, so that nodes
    /// request permits for different workers. A request without any candidate asks for more of them, and for ejected
    /// ones, which may have recovered.
    pub fn wanted_permits(&self, query: &WorkerQuery<'_>, now: Timestamp, random: &mut impl Rng) -> Vec<WorkerId> {
        let has_candidate = self.has_candidate(query, now);
        let limit = if has_candidate { MAX_WORKERS_PER_PERMIT_REQUEST } else { MAX_WORKERS_WITHOUT_CANDIDATE };
        let (ejected, others): (Vec<_>, Vec<_>) =
            self.unpermitted(query, !has_candidate, now).partition(|entry| entry.is_ejected(now));
        let mut wanted = sample_local_first(others, query.zone, limit, !has_candidate, random);
        wanted.extend(ejected.into_iter().choose_multiple(random, limit - wanted.len()));
        wanted.into_iter().map(|entry| entry.record.id.clone()).collect()
    }

    /// Returns the workers to request permits for on behalf of a batch item, which is not sent to ejected workers.
    pub fn wanted_batch_permits(
        &self,
        query: &WorkerQuery<'_>,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Vec<WorkerId> {
        let cold = self.unpermitted(query, false, now).collect();
        let wanted = sample_local_first(cold, query.zone, MAX_WORKERS_PER_PERMIT_REQUEST, false, random);
        wanted.into_iter().map(|entry| entry.record.id.clone()).collect()
    }

    /// Returns the workers to which the request could be sent with a permit.
    fn unpermitted<'a>(
        &'a self,
        query: &'a WorkerQuery<'_>,
        includes_ejected: bool,
        now: Timestamp,
    ) -> impl Iterator<Item = &'a WorkerEntry> {
        let untried = self.eligible(query).filter(|entry| !query.tried.contains(&entry.record.id));
        let accepting = untried.filter(move |entry| entry.accepts_requests(now));
        let cold = accepting.filter(move |entry| !self.is_warm_or_permitted(entry, now));
        cold.filter(move |entry| includes_ejected || !entry.is_ejected(now))
    }

    /// Stores granted permits, which expire at `until`.
    pub fn add_permits(&mut self, granted: &[WorkerCount], until: Timestamp) {
        for count in granted {
            if let Some(entry) = self.workers.get_mut(&count.worker) {
                entry.cold_state.permits = count.requests;
                entry.cold_state.permits_until = until;
            }
        }
    }

    /// Consumes a permit for a request sent to the worker, or else the open slot of this node's rate share.
    pub(super) fn consume_permit(&mut self, incarnation: &WorkerIncarnation, now: Timestamp) {
        let slot = self.workers.get(&incarnation.id).and_then(|entry| self.unused_slot(entry, now));
        let Some(entry) = self.entry_mut(incarnation) else { return };
        if entry.cold_state.has_permit(now) {
            entry.cold_state.permits -= 1;
        } else if slot.is_some() {
            entry.cold_state.used_slot = slot;
        }
    }
}

/// Returns up to `limit` random workers of the zone, or of other zones if the zone has none. With `fills_up`, workers of
/// other zones make up for missing ones.
fn sample_local_first<'a>(
    workers: Vec<&'a WorkerEntry>,
    zone: &str,
    limit: usize,
    fills_up: bool,
    random: &mut impl Rng,
) -> Vec<&'a WorkerEntry> {
    let (local, remote): (Vec<_>, Vec<_>) = workers.into_iter().partition(|entry| &*entry.record.zone == zone);
    let mut sample = local.into_iter().choose_multiple(random, limit);
    if sample.is_empty() || fills_up {
        sample.extend(remote.into_iter().choose_multiple(random, limit - sample.len()));
    }
    sample
}
