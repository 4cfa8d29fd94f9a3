//! The interface to the metadata store, and the fleet updates derived from its contents.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use stallmoor_core::serving::configuration::GatewayConfiguration;
use stallmoor_core::serving::jobs::members::DrainState;
use stallmoor_core::serving::relay::confirmation::ConfirmedReads;
use stallmoor_core::serving::relay::item::{KeyState, MetadataItem, Revision};
use stallmoor_core::serving::relay::outage::RecordGrace;
use stallmoor_core::serving::workers::{WorkerId, WorkerRecord};
use stallmoor_core::time::{Millis, Timestamp};

/// A change of the fleet, derived from a change in the metadata store.
#[derive(Clone, Debug)]
pub enum FleetUpdate {
    /// The configuration changed.
    Configuration(Arc<GatewayConfiguration>),
    /// A worker's record was added or changed.
    Worker(WorkerRecord),
    /// A worker's record was removed.
    WorkerRemoved {
        /// ID of the worker.
        worker: WorkerId,
        /// Time until which the worker may be used if its service has no other.
        usable_until: Timestamp,
    },
    /// A worker's record was missing when the store became reachable again. The worker may re-register.
    WorkerMissing {
        /// ID of the worker.
        worker: WorkerId,
        /// Time until which the worker is used without a record.
        until: Timestamp,
    },
    /// The initial read of the store is complete, and all its updates have been delivered.
    Synced,
    /// A read that a request for a confirmation caused has ended, and all its updates have been delivered.
    ReadAfterRequest(ConfirmedReads),
    /// All changes of the store up to this time have been delivered.
    RecordsConfirmed(Timestamp),
    /// An operator evacuates a zone, so that its workers receive no requests, or cancels the evacuation.
    ZoneEvacuation {
        /// Name of the zone.
        zone: Arc<str>,
        /// Whether the zone is evacuated.
        evacuated: bool,
    },
    /// An operator requests that a machine be drained.
    DrainMachine {
        /// Name of the machine.
        machine: Arc<str>,
    },
    /// A key that is written by gateways or storage nodes changed.
    InternalItem(MetadataItem),
    /// An item is malformed and is skipped. Its previous version stays in effect, except for a worker's record: that
    /// worker is treated as unregistered.
    Unreadable {
        /// Key of the item and the reason.
        detail: String,
        /// ID of the worker, if the item is a worker's record.
        worker: Option<WorkerId>,
    },
    /// The store is reachable again.
    StoreRecovered {
        /// Duration of the outage.
        absence: Millis,
    },
    /// The store is unreachable.
    StoreUnreachable {
        /// Description of the failure.
        detail: String,
    },
}

impl FleetUpdate {
    /// Returns the update for a worker without a record. A record that another node reports as expired counts as
    /// removed, unless `grace` covers expired records.
    pub fn without_record(worker: WorkerId, state: &KeyState, grace: &RecordGrace) -> Self {
        match (state, grace.expired_usable_until) {
            (KeyState::Lapsed, Some(until)) => Self::WorkerMissing { worker, until },
            _ => Self::WorkerRemoved { worker, usable_until: grace.removed_usable_until },
        }
    }
}

/// Result of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The write took effect at this revision.
    Written(Revision),
    /// The key's revision was not the expected one.
    Conflict,
    /// The call failed; the write may or may not have taken effect.
    Unknown,
}

/// Reason for a failed read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadFailure {
    /// The requested revisions have been compacted.
    HistoryGone,
    /// The store did not answer within the timeout.
    TimedOut,
    /// The store rejected the call, or the connection failed.
    Failed {
        /// Description of the failure.
        detail: String,
    },
}

/// Items read from the store, and the revision up to which they are complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemSnapshot {
    /// Present and removed items.
    pub items: Vec<MetadataItem>,
    /// All changes up to this revision are included.
    pub at: Revision,
}

/// A boxed future, which keeps [`MetadataStore`] object safe.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Client of the metadata store.
pub trait MetadataStore: Send + Sync + 'static {
    /// Writes a key if its revision is still `expected`; 0 requires that the key does not exist.
    fn put(&self, key: String, value: Vec<u8>, expected: Revision) -> BoxFuture<'_, PutOutcome>;

    /// Reads a key; `None` if the read fails. An absent key is returned as a removed item.
    fn get(&self, key: String) -> BoxFuture<'_, Option<MetadataItem>>;

    /// Reads all keys. Items may be newer than the returned revision.
    fn list(&self) -> BoxFuture<'_, Result<ItemSnapshot, ReadFailure>>;

    /// Reads the records of the storage nodes, possibly some seconds stale. Used to find a storage node from which the
    /// remaining contents can be read.
    fn storage_records(&self) -> BoxFuture<'_, Result<Vec<MetadataItem>, ReadFailure>> {
        Box::pin(async { Ok(Vec::new()) })
    }

    /// Returns the changes after a revision, waiting up to `wait` for the first one.
    fn changes(&self, since: Revision, wait: Millis) -> BoxFuture<'_, Result<ItemSnapshot, ReadFailure>>;

    /// Converts an item to a fleet update; `None` if the item is irrelevant to the fleet. `grace` applies to workers
    /// whose records are missing.
    fn interpret(&self, item: &MetadataItem, grace: &RecordGrace) -> Option<FleetUpdate>;

    /// Writes the progress of draining a machine, for the operator. Returns whether the write succeeded.
    fn report_drain(&self, machine: Arc<str>, state: DrainState) -> BoxFuture<'_, bool>;
}
