//! Effects that a node requests from its I/O layer.

use std::net::SocketAddr;
use std::sync::Arc;

use super::event::{CallerAnswer, KeyValueCall};
use crate::identity::{AttemptId, CallerId, EngineName, GroupId};
use crate::log_event::LogEvent;
use crate::node::configuration::ActiveConfiguration;
use crate::node::control::ModelOrder;
use crate::peer_message::PeerMessage;
use crate::replication::LogWrite;

/// An action for the I/O layer to execute. Effects of one event are executed in order.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Write durably to a group's log before executing any later effect.
    Persist {
        /// The group whose log is written.
        group: GroupId,
        /// The entries and metadata to write.
        write: LogWrite,
    },
    /// Store a configuration durably on disk before executing any later effect.
    PersistConfiguration(Arc<ActiveConfiguration>),
    /// Send a message to another node. Delivery is not guaranteed.
    Send {
        /// The recipient's peer address.
        to: SocketAddr,
        /// The message to send.
        message: PeerMessage,
    },
    /// Call the key-value service; the result arrives as `Event::KeyValue`.
    KeyValue {
        /// Correlates the result with this call.
        call: KeyValueCall,
        /// The operation to perform.
        operation: KeyValueOperation,
    },
    /// Read the machine list.
    ReadMachines,
    /// Query an engine's load and cache events.
    PollEngine {
        /// Name of the engine.
        engine: EngineName,
        /// Address of the engine.
        address: SocketAddr,
        /// Sequence number of the first cache event to return, or `None` for the full cache state.
        cache_from: Option<u64>,
    },
    /// Send a model order to an engine.
    Order(EngineOrder),
    /// Send a generation request to an engine and stream its response.
    StartStream(EngineRequest),
    /// Cancel a stream; its remaining events are ignored.
    CancelStream {
        /// The attempt whose stream is canceled.
        attempt: AttemptId,
    },
    /// Send an answer to a caller.
    Answer {
        /// The caller's connection.
        caller: CallerId,
        /// The answer to send.
        answer: CallerAnswer,
    },
    /// Write a log event.
    Log {
        /// The numbered event.
        event: LogEvent,
        /// Details of this occurrence.
        detail: String,
    },
    /// Exit the process: the graceful shutdown is complete.
    Exit,
}

/// An operation of the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyValueOperation {
    /// Read a key's value and version.
    Get {
        /// The key to access.
        key: String,
    },
    /// Write a key only if its current version matches `expected`.
    CompareAndSwap {
        /// The key to access.
        key: String,
        /// The expected version; 0 means that the key must not exist.
        expected: u64,
        /// The value to write.
        value: String,
    },
}

/// A model order for an engine. The engine rejects it if it has seen a later epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// Name of the engine.
    pub engine: EngineName,
    /// Address of the engine.
    pub address: SocketAddr,
    /// The control epoch in which the order was issued.
    pub epoch: u64,
    /// The model to load or unload.
    pub order: ModelOrder,
}

/// Whether a request is interactive or part of a batch job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// Interactive: a caller waits for the response.
    Online,
    /// An item of a batch job.
    Batch,
}

/// A generation request for an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRequest {
    /// The attempt ID, which the engine repeats in every chunk of its response.
    pub attempt: AttemptId,
    /// Name of the engine.
    pub engine: EngineName,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Whether the request is interactive.
    pub class: RequestClass,
    /// Scheduling priority at the engine; lower values run first.
    pub priority: u32,
    /// The model to run.
    pub model: Arc<str>,
    /// The adapter to apply, if any.
    pub adapter: Option<Arc<str>>,
    /// The prompt text.
    pub prompt: Arc<str>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Index of the first token to return; earlier tokens were received from a previous attempt.
    pub from_token: u32,
    /// Whether the request may run more than once; used only for the engine's statistics.
    pub repeatable: bool,
}
