//! A metadata store for tests that records all writes and fails all reads.

use std::sync::{Arc, Mutex};

use stallmoor_core::serving::jobs::members::DrainState;
use stallmoor_core::serving::relay::item::{MetadataItem, Revision};
use stallmoor_core::serving::relay::outage::RecordGrace;
use stallmoor_core::time::Millis;
use stallmoor_gateway::adapter::metadata::{
    BoxFuture, FleetUpdate, ItemSnapshot, MetadataStore, PutOutcome, ReadFailure,
};

/// One call that writes a key.
#[derive(Clone, Debug)]
pub struct Write {
    pub key: String,
    pub value: String,
}

pub struct RecordingStore {
    writes: Mutex<Vec<Write>>,
    outcome: PutOutcome,
}

impl RecordingStore {
    /// Creates a store that answers each write with `outcome`.
    pub fn new(outcome: PutOutcome) -> Arc<Self> {
        Arc::new(Self { writes: Mutex::default(), outcome })
    }

    pub fn writes(&self) -> Vec<Write> {
        self.writes.lock().expect("not poisoned").clone()
    }
}

impl MetadataStore for RecordingStore {
    fn put(&self, key: String, value: Vec<u8>, _expected: Revision) -> BoxFuture<'_, PutOutcome> {
        let value = String::from_utf8(value).expect("valid UTF-8");
        self.writes.lock().expect("not poisoned").push(Write { key, value });
        Box::pin(async { self.outcome.clone() })
    }

    fn get(&self, _key: String) -> BoxFuture<'_, Option<MetadataItem>> {
        Box::pin(async { None })
    }

    fn list(&self) -> BoxFuture<'_, Result<ItemSnapshot, ReadFailure>> {
        Box::pin(async { Err(ReadFailure::TimedOut) })
    }

    fn changes(&self, _since: Revision, _wait: Millis) -> BoxFuture<'_, Result<ItemSnapshot, ReadFailure>> {
        Box::pin(async { Err(ReadFailure::TimedOut) })
    }

    fn interpret(&self, _item: &MetadataItem, _grace: &RecordGrace) -> Option<FleetUpdate> {
        None
    }

    fn report_drain(&self, _machine: Arc<str>, _state: DrainState) -> BoxFuture<'_, bool> {
        Box::pin(async { true })
    }
}
