//! One worker: its record, whether it may be sent requests, and what is believed of its load and health.
//!
//! Owns what one node knows of one worker; the modules of [`WorkerTable`](super::WorkerTable) change it.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::cold_start::Warmth;
use super::health::new_slowness;
use super::prefix_cache::PrefixCache;
use crate::moving_mean::MovingMean;
use crate::time::{Millis, Timestamp, UnixMillis};

/// What a worker itself reported of its load is believed for this long, in milliseconds.
const REPORT_LIFETIME: Millis = Millis(2_000);
/// How long work takes at a worker is believed for this long, in milliseconds: it changes many times a second.
const PACE_LIFETIME: Millis = Millis(300);
/// The aggregated load of the other nodes is believed for this long, in milliseconds.
pub(super) const SHARED_LIFETIME: Millis = Millis(1_200);

/// Names a worker. It may start again under the same id; see [`WorkerIncarnation`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerId(pub Arc<str>);

impl std::fmt::Display for WorkerId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// One life of a worker, from its start to its end. After another start under the same id it holds nothing of before, so
/// what is learned of one life says nothing of the next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerIncarnation {
    /// The worker.
    pub id: WorkerId,
    /// When this life began; `None` if the worker does not say, as where it never starts again under its id.
    pub started_at: Option<UnixMillis>,
}

impl WorkerIncarnation {
    /// Whether two lives can be the same. One that is not dated may be any of its worker's.
    pub fn may_be(&self, other: &Self) -> bool {
        let is_same_start = self.started_at.zip(other.started_at).is_none_or(|(own, other)| own == other);
        self.id == other.id && is_same_start
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
    /// When this life of the worker began, if it says so.
    pub started_at: Option<UnixMillis>,
    /// For how long it is cold, counted from when the record was written.
    pub cold_remaining: Millis,
}

impl WorkerRecord {
    /// The life that the record is of.
    pub fn incarnation(&self) -> WorkerIncarnation {
        WorkerIncarnation { id: self.id.clone(), started_at: self.started_at }
    }
}

/// A worker's load as the worker itself reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// How long work takes there.
    pub slowdown: Slowdown,
}

/// How long work takes at a worker, in percent of the usual: its machine may be shared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slowdown(pub u32);

impl Default for Slowdown {
    fn default() -> Self {
        Self(100)
    }
}

impl Slowdown {
    /// The factor by which work takes longer than usual.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

/// On what ground a worker is sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Its record says that it takes requests.
    Ready,
    /// Its record is missing and may be written again.
    Missing,
    /// Its record was removed a moment ago, and there is nobody else.
    LastResort,
}

impl Availability {
    /// Its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Missing => "missing",
            Self::LastResort => "last_resort",
        }
    }
}

/// Whether a worker may be sent requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Presence {
    Ready,
    /// Its record may have lapsed while the store was out of reach: it serves on until `until`.
    Missing {
        until: Timestamp,
    },
    Draining,
    /// It was draining, and its record is gone.
    Left {
        since: Timestamp,
    },
    /// Its record was removed. It is a last resort until `usable_until`.
    Gone {
        since: Timestamp,
        usable_until: Timestamp,
    },
}

/// A load that the worker itself reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedLoad {
    pub(super) load: WorkerLoad,
    pub(super) in_flight_then: u32,
    pub(super) at: Timestamp,
}

impl ReportedLoad {
    /// The reported load, corrected by what this node sent and ended since.
    pub(super) fn corrected(&self, in_flight: u32) -> u32 {
        let reported = self.load.running + self.load.waiting;
        (reported + in_flight).saturating_sub(self.in_flight_then)
    }
}

/// Requests of other nodes at a worker, as an aggregator summed them.
#[derive(Clone, Copy, Debug)]
pub(super) struct SharedLoad {
    pub(super) load: u32,
    /// Batch items among them.
    pub(super) batch: u32,
    pub(super) at: Timestamp,
}

#[derive(Clone, Debug)]
pub(super) struct WorkerEntry {
    pub(super) record: WorkerRecord,
    pub(super) presence: Presence,
    pub(super) in_flight: u32,
    pub(super) batch_in_flight: u32,
    pub(super) report: Option<ReportedLoad>,
    /// Requests of other nodes.
    pub(super) peers: Option<SharedLoad>,
    /// Attempts of this node that failed in a row.
    pub(super) failures: u32,
    /// Ejected for what it did to this node, until then.
    pub(super) ejected_until: Option<Timestamp>,
    /// Ejected for what it did to other nodes, until then.
    pub(super) peer_ejection: Option<Timestamp>,
    pub(super) cache: PrefixCache,
    /// The time to the first event against the mean of all workers, 1.0 being equal to it.
    pub(super) slowness: MovingMean,
    /// When the slowness was last measured.
    pub(super) measured_at: Timestamp,
    pub(super) warmth: Warmth,
}

impl WorkerEntry {
    pub(super) fn new(record: WorkerRecord) -> Self {
        let presence = if record.draining { Presence::Draining } else { Presence::Ready };
        Self {
            record,
            presence,
            in_flight: 0,
            batch_in_flight: 0,
            report: None,
            peers: None,
            failures: 0,
            ejected_until: None,
            peer_ejection: None,
            cache: PrefixCache::default(),
            slowness: new_slowness(),
            measured_at: Timestamp::default(),
            warmth: Warmth::default(),
        }
    }

    /// Whether it may be sent requests.
    pub(super) fn takes_requests(&self, now: Timestamp) -> bool {
        match self.presence {
            Presence::Ready => true,
            Presence::Missing { until } => now < until,
            Presence::Draining | Presence::Left { .. } | Presence::Gone { .. } => false,
        }
    }

    /// On what ground it would be sent a request.
    pub(super) fn availability(&self) -> Availability {
        match self.presence {
            Presence::Ready => Availability::Ready,
            Presence::Missing { .. } => Availability::Missing,
            Presence::Draining | Presence::Left { .. } | Presence::Gone { .. } => Availability::LastResort,
        }
    }

    /// Requests at the worker: those of this node and, as last aggregated, of all others. A report of the worker itself
    /// that is newer than that counts where it is higher; it includes requests that their senders have given up and that
    /// still run.
    pub(super) fn estimated_load(&self, now: Timestamp) -> u32 {
        let shared = self.shared_load(now);
        let reported = self.report.filter(|report| now.since(report.at) < REPORT_LIFETIME);
        let reported = reported.filter(|report| shared.is_none_or(|shared| report.at >= shared.at));
        let from_report = reported.map_or(0, |report| report.corrected(self.in_flight));
        let from_peers = shared.map_or(0, |shared| shared.load) + self.in_flight;
        from_peers.max(from_report)
    }

    /// The factor by which work takes longer there than usual, as far as it was reported a moment ago.
    pub(super) fn slowdown(&self, now: Timestamp) -> f64 {
        let fresh = self.report.filter(|report| now.since(report.at) < PACE_LIFETIME);
        fresh.map_or(1.0, |report| report.load.slowdown.factor())
    }

    /// Of a request more, the place in the queue for a slot, 0 if one is free. Batch items make room.
    pub(super) fn queue_position(&self, now: Timestamp) -> u32 {
        let batch = self.shared_load(now).map_or(0, |shared| shared.batch);
        let online = self.estimated_load(now).saturating_sub(batch);
        (online + 1).saturating_sub(self.record.slots)
    }

    /// Whether nothing is at it, nobody said so a moment ago, and nobody has ejected it.
    pub(super) fn is_idle(&self, now: Timestamp) -> bool {
        let has_requests = self.in_flight > 0 || self.batch_in_flight > 0;
        let has_report = self.report.is_some_and(|report| now.since(report.at) < REPORT_LIFETIME);
        let has_shared_load = self.shared_load(now).is_some_and(|shared| shared.load > 0 || shared.batch > 0);
        !(has_requests || has_report || has_shared_load || self.is_ejected(now))
    }

    fn shared_load(&self, now: Timestamp) -> Option<SharedLoad> {
        self.peers.filter(|shared| now.since(shared.at) < SHARED_LIFETIME)
    }

    /// Whether it is ejected: it failed this node, or others, a moment ago.
    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        self.failed_here(now) || self.peer_ejection.is_some_and(|until| now < until)
    }

    /// Whether it is ejected for what it did to this node.
    pub(super) fn failed_here(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }
}
