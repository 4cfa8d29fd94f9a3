//! Workers that have just started: for how long each counts as cold, and this node's permits to send it requests.
//!
//! A cold worker bears a limited rate of requests from all nodes together, and nodes that each see an idle worker would
//! exceed it. So a cold worker gets a request only under a permit of the job table's leader
//! ([`PermitGrants`](super::permit_grants::PermitGrants)). A node without permits passes cold workers over; one that
//! can't reach the leader has none.

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

/// A permit holds for this long from the moment it was asked for, in milliseconds. Short, since permits of many nodes may
/// be used in one moment.
pub const PERMIT_LIFETIME: Millis = Millis(400);
/// The shortest time between two requests for permits of one node, in milliseconds, for the leader's processor.
pub const PERMIT_INTERVAL: Millis = Millis(100);
/// The longest wait of a request for permits where every worker of its service is cold, in milliseconds.
pub const MAX_PERMIT_WAIT: Millis = Millis(60);
/// Workers for which a node asks for permits at once. One that places few requests in a permit's lifetime would waste
/// more.
pub const MAX_WORKERS_PER_PERMIT_REQUEST: usize = 2;

/// What the workers of a service bear after their start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStart {
    /// Requests a second that a cold worker bears, from all nodes together.
    pub per_s: MilliRequests,
    /// For how long a worker is cold after its start.
    pub lasts: Millis,
}

/// What one node knows of a worker's cold start.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Warmth {
    /// The worker is cold until then.
    pub(super) cold_until: Timestamp,
    /// Requests that may be sent to it while it is cold.
    permits: u32,
    permits_until: Timestamp,
}

impl Warmth {
    /// The worker is cold until `until` at the least.
    pub(super) fn chill(&mut self, until: Timestamp) {
        self.cold_until = self.cold_until.max(until);
    }

    fn has_permit(&self, now: Timestamp) -> bool {
        self.permits > 0 && now < self.permits_until
    }
}

impl WorkerTable {
    /// Takes the cold starts of the services that have one.
    pub fn set_cold_starts(&mut self, cold_starts: BTreeMap<Arc<str>, ColdStart>) {
        self.cold_starts = cold_starts;
    }

    /// What a worker bears while it is cold; `None` if it is not known, or its service has no cold start.
    pub fn cold_start_of(&self, id: &WorkerId) -> Option<ColdStart> {
        let entry = self.workers.get(id)?;
        self.cold_starts.get(&entry.record.service).copied()
    }

    /// A worker said for how long it is cold from now on.
    pub fn mark_cold(&mut self, incarnation: &WorkerIncarnation, left: Millis, now: Timestamp) {
        if left == Millis(0) {
            return;
        }
        if let Some(entry) = self.entry_of(incarnation) {
            entry.warmth.chill(now + left);
            self.cold_until = self.cold_until.max(now + left);
        }
    }

    /// A worker that comes back at `from` may have started again: it is cold for its service's time from then on.
    pub(super) fn chill_from(&mut self, id: &WorkerId, from: Timestamp) {
        let Some(entry) = self.workers.get_mut(id) else { return };
        let Some(cold_start) = self.cold_starts.get(&entry.record.service) else { return };
        entry.warmth.chill(from + cold_start.lasts);
        self.cold_until = self.cold_until.max(from + cold_start.lasts);
    }

    /// The same of all workers in a zone.
    pub(super) fn chill_zone_from(&mut self, zone: &str, from: Timestamp) {
        let in_zone = self.workers.values().filter(|entry| &*entry.record.zone == zone);
        let ids: Vec<WorkerId> = in_zone.map(|entry| entry.record.id.clone()).collect();
        for id in &ids {
            self.chill_from(id, from);
        }
    }

    /// Whether any worker may be cold.
    pub fn has_cold_workers(&self, now: Timestamp) -> bool {
        now < self.cold_until
    }

    pub(super) fn is_cold(&self, entry: &WorkerEntry, now: Timestamp) -> bool {
        now < entry.warmth.cold_until && self.cold_starts.contains_key(&entry.record.service)
    }

    /// Whether a worker may be sent a request as far as its cold start goes.
    pub(super) fn is_warm_or_permitted(&self, entry: &WorkerEntry, now: Timestamp) -> bool {
        !self.is_cold(entry, now) || entry.warmth.has_permit(now)
    }

    /// Whether a request could go to a worker for which this node has no permit.
    pub fn needs_permit(&self, ask: &WorkerQuery<'_>, now: Timestamp) -> bool {
        self.has_cold_workers(now) && self.unpermitted(ask, now).next().is_some()
    }

    /// The workers for which permits are to be asked for: those of the zone first, drawn so that nodes ask for different
    /// ones.
    pub fn wanted_permits(&self, ask: &WorkerQuery<'_>, now: Timestamp, random: &mut impl Rng) -> Vec<WorkerId> {
        let in_zone = self.unpermitted(ask, now).filter(|entry| &*entry.record.zone == ask.zone);
        let mut wanted = in_zone.choose_multiple(random, MAX_WORKERS_PER_PERMIT_REQUEST);
        if wanted.is_empty() {
            wanted = self.unpermitted(ask, now).choose_multiple(random, MAX_WORKERS_PER_PERMIT_REQUEST);
        }
        wanted.into_iter().map(|entry| entry.record.id.clone()).collect()
    }

    fn unpermitted<'a>(&'a self, ask: &'a WorkerQuery<'_>, now: Timestamp) -> impl Iterator<Item = &'a WorkerEntry> {
        let is_cold = move |entry: &&WorkerEntry| !self.is_warm_or_permitted(entry, now);
        self.eligible(ask).filter(is_cold).filter(move |entry| entry.takes_requests(now) && !entry.is_ejected(now))
    }

    /// Takes permits, which hold until `until`.
    pub fn add_permits(&mut self, granted: &[WorkerCount], until: Timestamp) {
        for count in granted {
            if let Some(entry) = self.workers.get_mut(&count.worker) {
                entry.warmth.permits = count.requests;
                entry.warmth.permits_until = until;
            }
        }
    }

    /// A request leaves for a worker: it uses a permit, if the worker is cold.
    pub(super) fn use_permit(&mut self, incarnation: &WorkerIncarnation) {
        if let Some(entry) = self.entry_of(incarnation) {
            entry.warmth.permits = entry.warmth.permits.saturating_sub(1);
        }
    }
}
