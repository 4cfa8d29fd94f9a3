//! Clients of what the platform gives: engines, the key-value service and the machine list.
//!
//! Each is one narrow trait and one file that speaks its published protocol over HTTP. A platform with
//! another protocol costs one more file here and nothing elsewhere.

mod engine;
mod http;
mod key_value;
mod machine_list;

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

use stallmoor_core::node::routing::{CacheEventBatch, LoadReport};
use stallmoor_core::node::{
    EngineOrder, EngineRequest, KeyValueOperation, KeyValueOutcome, MachineReport, OrderOutcome, StreamEvent,
};

pub use engine::HttpEngines;
pub use http::{HttpCaller, HttpError};
pub use key_value::HttpKeyValue;
pub use machine_list::HttpMachineList;

/// A future on the heap, so that the traits can be used as objects.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Where the pieces of a stream go. Returns whether more is wanted.
pub type StreamSink = Box<dyn Fn(StreamEvent) -> bool + Send + Sync>;

/// The key-value service.
pub trait KeyValueService: Send + Sync {
    /// Carries out an operation. Errors and time-outs are [`KeyValueOutcome::NoAnswer`].
    fn call(&self, operation: KeyValueOperation) -> BoxFuture<'_, KeyValueOutcome>;
}

/// The machine list.
pub trait MachineList: Send + Sync {
    /// Reads the list; `None` if it can't be read.
    fn read(&self) -> BoxFuture<'_, Option<Vec<MachineReport>>>;
}

/// What an engine answers to a poll.
#[derive(Clone, Debug)]
pub struct EnginePoll {
    /// Its load.
    pub report: LoadReport,
    /// Its cache events.
    pub cache: Option<CacheEventBatch>,
}

/// Engines.
pub trait Engines: Send + Sync {
    /// Sends a request and feeds what comes to the sink, ending with one event that ends the stream.
    /// Dropping the future cancels the request at the engine.
    fn stream(&self, request: EngineRequest, sink: StreamSink) -> BoxFuture<'_, ()>;

    /// Gives an order to an engine.
    fn order(&self, order: EngineOrder) -> BoxFuture<'_, OrderOutcome>;

    /// Polls an engine; `None` if it doesn't answer.
    fn poll(&self, address: SocketAddr, cache_from: Option<u64>) -> BoxFuture<'_, Option<EnginePoll>>;
}
