//! What a node is told by, and asks of, the metadata store. An adapter implements [`MetadataStore`]
//! and sends [`FleetUpdate`]s.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use stallmoor_core::gateway::configuration::GatewayConfiguration;
use stallmoor_core::gateway::workers::{WorkerId, WorkerRecord};
use stallmoor_core::jobs::members::EmptyingState;
use stallmoor_core::time::Millis;

/// One of the product's own keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetadataItem {
    /// The key.
    pub key: Arc<str>,
    /// Its value; `None` if the key was removed.
    pub value: Option<Vec<u8>>,
    /// The store's revision of that change.
    pub revision: u64,
}

/// Something that the store told.
#[derive(Clone, Debug)]
pub enum FleetUpdate {
    /// The newest configuration.
    Configuration(Arc<GatewayConfiguration>),
    /// A worker's record.
    Worker(WorkerRecord),
    /// A worker's record was removed.
    WorkerGone(WorkerId),
    /// All workers that have a record.
    WorkersListed {
        /// The workers.
        listed: Vec<WorkerId>,
        /// How long the store was out of reach before: records may have lapsed meanwhile.
        absence: Millis,
    },
    /// The operator wants a machine emptied.
    EmptyMachine {
        /// The machine's name.
        machine: Arc<str>,
    },
    /// One of the product's own keys changed.
    Item(MetadataItem),
    /// The store answers again.
    Reached,
    /// The store does not answer.
    Lost {
        /// What happened.
        detail: String,
    },
}

/// How a conditional write ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// It took effect, at this revision.
    Written(u64),
    /// The key had another revision.
    Conflict,
    /// Not known, or nothing was done.
    Unknown,
}

/// A future without a name.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The metadata store's writes.
pub trait MetadataStore: Send + Sync + 'static {
    /// Writes a key if its revision is still `expected`; 0 means that it must not exist.
    fn put(&self, key: String, value: Vec<u8>, expected: u64) -> BoxFuture<'_, PutOutcome>;

    /// Reads a key.
    fn get(&self, key: String) -> BoxFuture<'_, Option<MetadataItem>>;

    /// Tells the operator how far the emptying of a machine is. Returns whether it was written.
    fn report_emptying(&self, machine: Arc<str>, state: EmptyingState) -> BoxFuture<'_, bool>;
}
