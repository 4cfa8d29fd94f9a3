//! Clients of the platform's services: engines, the key-value service and the machine list.
//!
//! Each service has a trait and a module that implements it over HTTP. Supporting another protocol requires
//! only another implementation of the trait.

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
pub use http::{HttpCaller, HttpError, MAX_RESPONSE_BYTES};
pub use key_value::HttpKeyValue;
pub use machine_list::HttpMachineList;

/// A boxed future, which keeps the traits object-safe.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Receives the events of a stream. Returns false to stop the stream.
pub type StreamSink = Box<dyn Fn(StreamEvent) -> bool + Send + Sync>;

/// A client of the key-value service.
pub trait KeyValueService: Send + Sync {
    /// Executes an operation. Errors and timeouts are returned as [`KeyValueOutcome::NoAnswer`].
    fn call(&self, operation: KeyValueOperation) -> BoxFuture<'_, KeyValueOutcome>;
}

/// A client of the machine list.
pub trait MachineList: Send + Sync {
    /// Reads the list. Returns `None` if it can't be read.
    fn read(&self) -> BoxFuture<'_, Option<Vec<MachineReport>>>;
}

/// An engine's response to a poll.
#[derive(Clone, Debug)]
pub struct EnginePoll {
    /// Load of the engine.
    pub report: LoadReport,
    /// Changes of the engine's prefix cache, if the response contains any.
    pub cache: Option<CacheEventBatch>,
}

/// A client of the engines.
pub trait Engines: Send + Sync {
    /// Sends a request and passes the resulting events to the sink; the last one ends the stream.
    /// Dropping the future cancels the request at the engine.
    fn stream(&self, request: EngineRequest, sink: StreamSink) -> BoxFuture<'_, ()>;

    /// Sends an order to an engine.
    fn order(&self, order: EngineOrder) -> BoxFuture<'_, OrderOutcome>;

    /// Polls an engine. Returns `None` if there is no valid response.
    fn poll(&self, address: SocketAddr, cache_from: Option<u64>) -> BoxFuture<'_, Option<EnginePoll>>;
}
