//! State kept for one worker: its record, availability, estimated load and health.
//!
//! The modules that implement [`WorkerTable`](super::WorkerTable) update it.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::cold_start::ColdState;
use super::evidence::{Suspicion, WorkerEvidence};
use super::health::initial_relative_latency;
use super::held_slots::HeldSlots;
use super::own_view::AssumedLoad;
use super::prefix_cache::PrefixCache;
use crate::hashing::hash_bytes;
use crate::moving_mean::MovingMean;
use crate::time::{Millis, Timestamp, UnixMillis};

/// Time for which a load reported by the worker itself is valid.
const REPORT_LIFETIME: Millis = Millis(2_000);
/// Time for which a reported slowdown is valid. Short, since a slowdown changes many times a second.
const SLOWDOWN_LIFETIME: Millis = Millis(300);
/// Maximum age of a report by which a worker counts as full. About as long as a request waits for a slot under a burst.
const FULL_REPORT_LIFETIME: Millis = Millis(1_000);
/// Time for which the aggregated load of the other nodes is valid.
pub(super) const PEER_LOAD_LIFETIME: Millis = Millis(1_200);

/// Identifies a worker. A restarted worker may reuse its ID; see [`WorkerIncarnation`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerId(pub Arc<str>);

impl std::fmt::Display for WorkerId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Maximum length of a software version in bytes. Longer ones are replaced by a digest.
const MAX_VERSION_BYTES: usize = 64;

/// Version of a worker's software. What workers of different versions write for one stream does not fit together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// Creates a version from its name, which may be any text.
    pub fn new(name: &str) -> Self {
        if name.len() <= MAX_VERSION_BYTES {
            return Self(Arc::from(name));
        }
        Self(Arc::from(format!("digest-{:016x}", hash_bytes(name.as_bytes()))))
    }
}

impl std::fmt::Display for SoftwareVersion {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// One incarnation of a worker, from its start to its exit. A worker that restarts under the same ID keeps no state, so
/// load and health observed for one incarnation do not apply to the next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerIncarnation {
    /// ID of the worker.
    pub id: WorkerId,
    /// Start time of this incarnation; `None` if the worker does not report it, for example because it never reuses its
    /// ID.
    pub started_at: Option<UnixMillis>,
}

impl WorkerIncarnation {
    /// Returns whether both values can refer to the same incarnation. A value without a start time matches every
    /// incarnation of its worker.
    pub fn may_match(&self, other: &Self) -> bool {
        let is_same_start = self.started_at.zip(other.started_at).is_none_or(|(own, other)| own == other);
        self.id == other.id && is_same_start
    }
}

/// Registration record of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerRecord {
    /// ID of the worker.
    pub id: WorkerId,
    /// Service that the worker belongs to.
    pub service: Arc<str>,
    /// Address on which the worker accepts requests.
    pub address: SocketAddr,
    /// Zone in which the worker runs.
    pub zone: Arc<str>,
    /// Version of the worker's software.
    pub version: SoftwareVersion,
    /// Number of requests that the worker runs concurrently.
    pub slots: u32,
    /// Whether the worker is draining and accepts no new requests.
    pub draining: bool,
    /// Start time of this incarnation of the worker, if reported.
    pub started_at: Option<UnixMillis>,
    /// Remaining duration of the cold start when the record was written.
    pub cold_remaining: Millis,
}

impl WorkerRecord {
    /// Returns the incarnation that this record describes.
    pub fn incarnation(&self) -> WorkerIncarnation {
        WorkerIncarnation { id: self.id.clone(), started_at: self.started_at }
    }
}

/// Load of a worker as reported by the worker itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Current slowdown of the worker.
    pub slowdown: Slowdown,
}

impl WorkerLoad {
    /// Returns the number of running and queued requests. Saturates, since the worker may report any numbers.
    pub fn requests(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// Time that work takes at a worker, in percent of the usual time. Exceeds 100 when other load shares the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slowdown(pub u32);

impl Default for Slowdown {
    fn default() -> Self {
        Self(100)
    }
}

impl Slowdown {
    /// Returns the slowdown as a factor, 1.0 for the usual time.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

/// Availability of a worker when it was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The worker's record exists and accepts requests.
    Ready,
    /// The worker's record is missing, but the worker may still rewrite it.
    Missing,
    /// The worker's record was removed recently, and no other worker is available.
    LastResort,
}

impl Availability {
    /// Returns the name used in log fields.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Missing => "missing",
            Self::LastResort => "last_resort",
        }
    }
}

/// State of a worker's registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Presence {
    Ready,
    /// The record may have expired while the store was unreachable; the worker stays usable until `until`.
    Missing {
        until: Timestamp,
    },
    Draining,
    /// The worker was draining, and its record no longer exists.
    Drained {
        since: Timestamp,
    },
    /// The record was removed. The worker can be selected as a last resort until `usable_until`.
    Removed {
        since: Timestamp,
        usable_until: Timestamp,
    },
}

/// A load report from the worker itself, with this node's request count at that time.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedLoad {
    pub(super) load: WorkerLoad,
    pub(super) in_flight_at_report: u32,
    pub(super) at: Timestamp,
}

impl ReportedLoad {
    /// Returns the reported load without the requests of this node.
    pub(super) fn of_others(&self) -> u32 {
        self.load.requests().saturating_sub(self.in_flight_at_report)
    }

    /// Returns the reported load, adjusted for requests that this node has started and ended since.
    pub(super) fn corrected(&self, in_flight: u32) -> u32 {
        self.load.requests().saturating_add(in_flight).saturating_sub(self.in_flight_at_report)
    }
}

/// Requests of other nodes at a worker, as summed by an aggregator.
#[derive(Clone, Copy, Debug)]
pub(super) struct SharedLoad {
    pub(super) load: u32,
    /// Number of batch items included in `load`.
    pub(super) batch: u32,
    /// Load that the worker itself reported to another node, shortly before.
    pub(super) self_reported: Option<u32>,
    pub(super) at: Timestamp,
}

#[derive(Clone, Debug)]
pub(super) struct WorkerEntry {
    pub(super) record: WorkerRecord,
    pub(super) presence: Presence,
    pub(super) in_flight: u32,
    pub(super) batch_in_flight: u32,
    /// Last time at which batch items of this node were paused here for online requests.
    pub(super) batch_yielded_at: Option<Timestamp>,
    pub(super) report: Option<ReportedLoad>,
    /// Load from other nodes.
    pub(super) peer_load: Option<SharedLoad>,
    /// Load assumed while no sums of other nodes arrive.
    pub(super) assumed: Option<AssumedLoad>,
    /// Number of consecutive failed attempts from this node.
    pub(super) consecutive_failures: u32,
    /// Time of the last failure that was counted. Attempts that started before it are not counted again.
    pub(super) ejected_at: Timestamp,
    /// End of the ejection caused by failed attempts of this node.
    pub(super) ejected_until: Option<Timestamp>,
    /// End of the ejection caused by failures that other nodes reported.
    pub(super) peer_ejected_until: Option<Timestamp>,
    pub(super) cache: PrefixCache,
    /// Time to the first event relative to the mean of all workers; 1.0 equals the mean.
    pub(super) relative_latency: MovingMean,
    /// Time of the last relative latency sample.
    pub(super) latency_measured_at: Timestamp,
    pub(super) cold_state: ColdState,
    /// Slots that failed runs keep in the load estimate.
    pub(super) held_slots: HeldSlots,
    /// Evidence of failures; `None` before the first run. Boxed, since most workers of a large fleet have none.
    pub(super) evidence: Option<Box<WorkerEvidence>>,
}

impl WorkerEntry {
    pub(super) fn new(record: WorkerRecord) -> Self {
        let presence = if record.draining { Presence::Draining } else { Presence::Ready };
        Self {
            record,
            presence,
            in_flight: 0,
            batch_in_flight: 0,
            batch_yielded_at: None,
            report: None,
            peer_load: None,
            assumed: None,
            consecutive_failures: 0,
            ejected_at: Timestamp::default(),
            ejected_until: None,
            peer_ejected_until: None,
            cache: PrefixCache::default(),
            relative_latency: initial_relative_latency(),
            latency_measured_at: Timestamp::default(),
            cold_state: ColdState::default(),
            held_slots: HeldSlots::default(),
            evidence: None,
        }
    }

    /// Returns whether the entry can be of the given incarnation.
    pub(super) fn is_incarnation(&self, incarnation: &WorkerIncarnation) -> bool {
        let is_same_start = self.record.started_at.zip(incarnation.started_at).is_none_or(|(own, other)| own == other);
        self.record.id == incarnation.id && is_same_start
    }

    pub(super) fn suspicion(&self) -> Option<&Suspicion> {
        self.evidence.as_ref()?.suspicion.as_ref()
    }

    /// Returns the expected fraction of failed runs beyond the base rate.
    pub(super) fn expected_failures(&self) -> f64 {
        self.evidence.as_ref().map_or(0.0, |evidence| evidence.expected_failures)
    }

    pub(super) fn accepts_requests(&self, now: Timestamp) -> bool {
        match self.presence {
            Presence::Ready => true,
            Presence::Missing { until } => now < until,
            Presence::Draining | Presence::Drained { .. } | Presence::Removed { .. } => false,
        }
    }

    pub(super) fn availability(&self) -> Availability {
        match self.presence {
            Presence::Ready => Availability::Ready,
            Presence::Missing { .. } => Availability::Missing,
            Presence::Draining | Presence::Drained { .. } | Presence::Removed { .. } => Availability::LastResort,
        }
    }

    /// Returns the load with which the worker is compared with others: its estimated requests, and the slots that failed
    /// runs keep, so that a worker that fails fast does not look idle.
    pub(super) fn estimated_load(&self, now: Timestamp) -> u32 {
        self.present_load(now).saturating_add(self.held_slots.count(now))
    }

    /// Returns the slots that the estimated load leaves free.
    pub(super) fn free_slots(&self, now: Timestamp) -> u32 {
        self.record.slots.saturating_sub(self.estimated_load(now))
    }

    /// Returns the estimated number of requests at the worker: the requests of this node plus the last aggregated load
    /// of the other nodes. A newer report from the worker itself takes precedence if it is higher, because it includes
    /// abandoned requests that are still running. Without recent sums, see [`own_view`](super::own_view).
    pub(super) fn present_load(&self, now: Timestamp) -> u32 {
        match self.assumed.filter(|_| self.shared_load(now).is_none()) {
            Some(assumed) => self.own_estimate(assumed, now),
            None => self.reported_load(now),
        }
    }

    fn reported_load(&self, now: Timestamp) -> u32 {
        let shared = self.shared_load(now);
        let reported = self.report.filter(|report| now.since(report.at) < REPORT_LIFETIME);
        let reported = reported.filter(|report| shared.is_none_or(|shared| report.at >= shared.at));
        let from_report = reported.map_or(0, |report| report.corrected(self.in_flight));
        let from_nodes = shared.map_or(0, |shared| shared.load).saturating_add(self.in_flight);
        from_nodes.max(from_report)
    }

    /// Returns whether the worker itself recently reported, to this node or to others, that all its slots are taken.
    pub(super) fn reports_full(&self, now: Timestamp) -> bool {
        let own = self.report.filter(|report| now.since(report.at) < FULL_REPORT_LIFETIME);
        let to_peers = self.shared_load(now).filter(|shared| now.since(shared.at) < FULL_REPORT_LIFETIME);
        let own_load = own.map(|report| report.load.requests());
        own_load.max(to_peers.and_then(|shared| shared.self_reported)).is_some_and(|load| load >= self.record.slots)
    }

    /// Returns the slowdown factor of the worker, or 1.0 without a recent report.
    pub(super) fn slowdown(&self, now: Timestamp) -> f64 {
        let fresh = self.report.filter(|report| now.since(report.at) < SLOWDOWN_LIFETIME);
        fresh.map_or(1.0, |report| report.load.slowdown.factor())
    }

    /// Returns the position in the slot queue that a new request would take, 0 if a slot is free. Batch items are not
    /// counted, since they yield their slots to online requests. Neither are assumed loads, since a request is refused
    /// only for what is known of the worker.
    pub(super) fn queue_position(&self, now: Timestamp) -> u32 {
        let batch = self.shared_load(now).map_or(0, |shared| shared.batch);
        let online = self.reported_load(now).saturating_sub(batch);
        online.saturating_add(1).saturating_sub(self.record.slots)
    }

    /// Returns whether the worker has no requests, no recent load reports, and no active ejection.
    pub(super) fn is_idle(&self, now: Timestamp) -> bool {
        let has_requests = self.in_flight > 0 || self.batch_in_flight > 0 || self.held_slots.count(now) > 0;
        let has_report = self.report.is_some_and(|report| now.since(report.at) < REPORT_LIFETIME);
        let has_shared_load = self.shared_load(now).is_some_and(|shared| shared.load > 0 || shared.batch > 0);
        !(has_requests || has_report || has_shared_load || self.is_ejected(now))
    }

    fn shared_load(&self, now: Timestamp) -> Option<SharedLoad> {
        self.peer_load.filter(|shared| now.since(shared.at) < PEER_LOAD_LIFETIME)
    }

    /// Returns whether the worker is ejected because of failures seen by this node or reported by others.
    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        self.is_ejected_locally(now) || self.peer_ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether the worker is ejected because of failures seen by this node.
    pub(super) fn is_ejected_locally(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }
}
