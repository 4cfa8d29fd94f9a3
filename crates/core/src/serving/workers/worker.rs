//! One worker: its record, what is believed of it, and what nodes tell each other of it.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::prefix_cache::PrefixCache;
use crate::time::{Millis, Timestamp};

/// A load report is believed for this long.
const REPORT_LIFETIME: Millis = Millis(2_000);
/// A gathered load is believed for this long.
pub(super) const SHARED_LIFETIME: Millis = Millis(1_200);

/// From this many gateways on, those of a zone exchange loads with a node of the zone, which exchanges sums with
/// the table's leader. Two steps at the shortest interval are no older than one at the interval that the leader
/// bears with this many: four times half of 40 ms, against 100 nodes at 900 exchanges a second.
const CENTRAL_NODES: u32 = 100;
/// Exchanges of loads that a node which gathers them bears in a second.
const EXCHANGES_PER_S: u64 = 900;
/// The shortest time between two exchanges of one node.
const LEAST_INTERVAL: Millis = Millis(40);
/// The longest time between two exchanges of one node.
const LONGEST_INTERVAL: Millis = Millis(400);

/// So many nodes must find a worker failing before others believe them.
const FAILED_NODES: u32 = 2;

/// Names one start of a worker.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerId(pub Arc<str>);

impl std::fmt::Display for WorkerId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
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
}

/// A worker's load as it told it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// How many requests are at a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCount {
    /// The worker.
    pub worker: WorkerId,
    /// Requests.
    pub requests: u32,
}

/// What one node tells of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker.
    pub worker: WorkerId,
    /// The teller's requests there.
    pub requests: u32,
    /// All requests there, if the worker told that a moment ago.
    pub told: Option<u32>,
    /// How many nodes pass the worker over, since it failed them of late.
    pub failing: u32,
    /// Batch items among the requests, which make room for online requests.
    pub batch: u32,
}

impl WorkerReport {
    /// Whether the worker is held to be dead: it failed several nodes, and told nobody anything since.
    pub fn is_reported_dead(&self) -> bool {
        self.failing >= FAILED_NODES && self.told.is_none()
    }
}

/// What one node tells of its requests, or hears of those of all others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The workers that there is something to tell of.
    pub workers: Vec<WorkerReport>,
    /// Requests placed in a second.
    pub placed_per_s: u32,
    /// How many nodes tell the one that answers, in what is heard.
    pub reporters: u32,
    /// How many gateways it is of: besides the asker in what is heard, 0 for one in what is told.
    pub nodes: u32,
    /// How long ago, on average over the requests placed, the gateways told it.
    pub age: Millis,
}

impl LoadReport {
    /// Whether there are so many gateways that loads are gathered in each zone first.
    pub fn is_by_zone(&self) -> bool {
        self.nodes >= CENTRAL_NODES
    }

    /// The time between two exchanges of one node, where so many tell: as short as the gatherer can bear, since
    /// requests are placed by what was heard last.
    pub fn interval(&self) -> Millis {
        let spread = u64::from(self.reporters) * 1_000 / EXCHANGES_PER_S;
        Millis(spread).clamp(LEAST_INTERVAL, LONGEST_INTERVAL)
    }
}

/// On what ground a worker is sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Its record says that it takes requests.
    Ready,
    /// Its record is missing and may be written again.
    Missing,
    /// Its record was removed a moment ago, and there is nobody else.
    LastResort,
}

impl Standing {
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

#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedLoad {
    pub(super) load: WorkerLoad,
    pub(super) in_flight_then: u32,
    pub(super) at: Timestamp,
}

impl ReportedLoad {
    /// The load that was told, corrected by what this node sent and ended since.
    pub(super) fn corrected(&self, in_flight: u32) -> u32 {
        let told = self.load.running + self.load.waiting;
        (told + in_flight).saturating_sub(self.in_flight_then)
    }
}

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
    /// Requests of other nodes, as the table's leader gathered them.
    pub(super) others: Option<SharedLoad>,
    pub(super) failures: u32,
    pub(super) ejected_until: Option<Timestamp>,
    /// Other nodes hold it to be dead.
    pub(super) reported_until: Option<Timestamp>,
    pub(super) cache: PrefixCache,
    /// Smoothed time to the first event against the usual of all workers, 1.0 being as usual.
    pub(super) slowness: f64,
    /// When the slowness was last measured.
    pub(super) measured_at: Timestamp,
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
            others: None,
            failures: 0,
            ejected_until: None,
            reported_until: None,
            cache: PrefixCache::default(),
            slowness: 1.0,
            measured_at: Timestamp::default(),
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
    pub(super) fn standing(&self) -> Standing {
        match self.presence {
            Presence::Ready => Standing::Ready,
            Presence::Missing { .. } => Standing::Missing,
            Presence::Draining | Presence::Left { .. } | Presence::Gone { .. } => Standing::LastResort,
        }
    }

    /// Requests at the worker: those of this node and, as last gathered, of all others. A report of the
    /// worker that is newer than that counts where it tells more; it also knows of requests that their
    /// senders have given up and that still run.
    pub(super) fn estimated_load(&self, now: Timestamp) -> u32 {
        let gathered = self.others.filter(|others| now.since(others.at) < SHARED_LIFETIME);
        let reported = self.report.filter(|report| now.since(report.at) < REPORT_LIFETIME);
        let reported = reported.filter(|report| gathered.is_none_or(|others| report.at >= others.at));
        let from_report = reported.map_or(0, |report| report.corrected(self.in_flight));
        let from_others = gathered.map_or(0, |others| others.load) + self.in_flight;
        from_others.max(from_report)
    }

    /// Of a request more, the place in the queue for a slot, 0 if one is free. Batch items make room.
    pub(super) fn place_in_queue(&self, now: Timestamp) -> u32 {
        let batch =
            self.others.filter(|others| now.since(others.at) < SHARED_LIFETIME).map_or(0, |others| others.batch);
        let online = self.estimated_load(now).saturating_sub(batch);
        (online + 1).saturating_sub(self.record.slots)
    }

    /// Whether it failed this node, or others, of late.
    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        self.failed_here(now) || self.reported_until.is_some_and(|until| now < until)
    }

    /// Whether it failed this node of late.
    pub(super) fn failed_here(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }
}
