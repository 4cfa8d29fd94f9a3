//! The metadata store, as an adapter brings it, and the updates of the fleet that its contents stand for.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use stallmoor_core::serving::configuration::GatewayConfiguration;
use stallmoor_core::serving::jobs::members::DrainState;
use stallmoor_core::serving::relay::item::{KeyState, MetadataItem, Revision};
use stallmoor_core::serving::relay::outage::RecordGrace;
use stallmoor_core::serving::workers::{WorkerId, WorkerRecord};
use stallmoor_core::time::{Millis, Timestamp};

/// A change of the fleet, as the metadata store shows it.
#[derive(Clone, Debug)]
pub enum FleetUpdate {
    /// The newest configuration.
    Configuration(Arc<GatewayConfiguration>),
    /// A worker's record.
    Worker(WorkerRecord),
    /// A worker's record was removed.
    WorkerGone {
        /// The worker.
        worker: WorkerId,
        /// Until when it may be used where nobody else serves.
        usable_until: Timestamp,
    },
    /// A worker's record was missing when the store was reached again. The worker may write it again.
    WorkerMissing {
        /// The worker.
        worker: WorkerId,
        /// Until when it serves on without a record.
        until: Timestamp,
    },
    /// The store's contents were read once; all updates of them came before.
    Synced,
    /// The operator evacuates a zone, or takes that back: its workers get nothing meanwhile.
    ZoneEvacuation {
        /// The zone.
        zone: Arc<str>,
        /// Whether the order stands.
        evacuated: bool,
    },
    /// The operator wants a machine emptied.
    DrainMachine {
        /// The machine's name.
        machine: Arc<str>,
    },
    /// One of the product's own keys changed.
    InternalItem(MetadataItem),
    /// An item that can't be read. It is skipped; the last version of it stays, but for a worker's record, which then names
    /// no worker.
    Unreadable {
        /// Which, and what is wrong with it.
        detail: String,
        /// The worker whose record it would be.
        worker: Option<WorkerId>,
    },
    /// The store answers again.
    StoreRecovered {
        /// For how long it did not.
        absence: Millis,
    },
    /// The store does not answer.
    StoreLost {
        /// What happened.
        detail: String,
    },
}

impl FleetUpdate {
    /// What a worker without a record means to this node. A record that lapsed for another node is gone for this one
    /// unless its own view allows for a lapse.
    pub fn without_record(worker: WorkerId, state: &KeyState, grace: &RecordGrace) -> Self {
        match (state, grace.expired_usable_until) {
            (KeyState::Lapsed, Some(until)) => Self::WorkerMissing { worker, until },
            _ => Self::WorkerGone { worker, usable_until: grace.removed_usable_until },
        }
    }
}

/// How a conditional write ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// It took effect, at this revision.
    Written(Revision),
    /// The key had another revision.
    Conflict,
    /// Not known, or nothing was done.
    Unknown,
}

/// Why a read brought nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadFailure {
    /// The history that was asked for is gone.
    HistoryGone,
    /// No answer within the time that the call may take.
    TimedOut,
    /// The store refused, or the connection broke.
    Failed {
        /// What happened.
        detail: String,
    },
}

/// Items that were read, and the revision up to which they are complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemSnapshot {
    /// The items.
    pub items: Vec<MetadataItem>,
    /// The revision.
    pub at: Revision,
}

/// A future without a name.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The metadata store.
pub trait MetadataStore: Send + Sync + 'static {
    /// Writes a key if its revision is still `expected`; 0 means that it must not exist.
    fn put(&self, key: String, value: Vec<u8>, expected: Revision) -> BoxFuture<'_, PutOutcome>;

    /// Reads a key.
    fn get(&self, key: String) -> BoxFuture<'_, Option<MetadataItem>>;

    /// Reads all keys. Items may be newer than the revision that comes with them.
    fn list(&self) -> BoxFuture<'_, Result<ItemSnapshot, ReadFailure>>;

    /// Reads the records of the storing nodes, which may be some seconds old: enough to find one to ask for the rest.
    fn storage_records(&self) -> BoxFuture<'_, Result<Vec<MetadataItem>, ReadFailure>> {
        Box::pin(async { Ok(Vec::new()) })
    }

    /// Waits for up to `wait` until something has changed since a revision.
    fn changes(&self, since: Revision, wait: Millis) -> BoxFuture<'_, Result<ItemSnapshot, ReadFailure>>;

    /// What an item means; `None` if it concerns nobody here. `grace` holds for workers whose records are missing.
    fn interpret(&self, item: &MetadataItem, grace: &RecordGrace) -> Option<FleetUpdate>;

    /// Reports to the operator how far the emptying of a machine is. Returns whether it was written.
    fn report_drain(&self, machine: Arc<str>, state: DrainState) -> BoxFuture<'_, bool>;
}
