//! What a node wants done.

use std::net::SocketAddr;
use std::sync::Arc;

use super::event::{CallerAnswer, KeyValueCall};
use crate::identity::{AttemptId, CallerId, EngineName, GroupId};
use crate::log_event::LogEvent;
use crate::node::configuration::InForce;
use crate::node::control::ModelOrder;
use crate::peer_message::PeerMessage;
use crate::replication::LogWrite;

/// Something to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Write to a group's log, durably, before any later effect.
    Persist {
        /// The group.
        group: GroupId,
        /// What to write.
        write: LogWrite,
    },
    /// Keep a configuration on disk, durably, before any later effect.
    PersistConfiguration(Arc<InForce>),
    /// Send to another node. It may be lost.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Call the key-value service.
    KeyValue {
        /// Comes back with the answer.
        call: KeyValueCall,
        /// What to do.
        operation: KeyValueOperation,
    },
    /// Read the machine list.
    ReadMachines,
    /// Ask an engine for its load and cache events.
    PollEngine {
        /// The engine.
        engine: EngineName,
        /// Its address.
        address: SocketAddr,
        /// The next cache event wanted, or `None` for the whole state.
        cache_from: Option<u64>,
    },
    /// Give an order to an engine.
    Order(EngineOrder),
    /// Send a request to an engine.
    StartStream(EngineRequest),
    /// Stop a stream. Nothing more of it is wanted.
    CancelStream {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Answer a caller.
    Answer {
        /// The connection.
        caller: CallerId,
        /// The answer.
        answer: CallerAnswer,
    },
    /// Write to the log.
    Log {
        /// The numbered event.
        event: LogEvent,
        /// What exactly happened.
        detail: String,
    },
    /// The planned stop is complete.
    Exit,
}

/// An operation of the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyValueOperation {
    /// Read a key.
    Get {
        /// The key.
        key: String,
    },
    /// Write a key if its version is still the expected one; 0 means that it must not exist.
    CompareAndSwap {
        /// The key.
        key: String,
        /// The version.
        expected: u64,
        /// The new value.
        value: String,
    },
}

/// An order to an engine, which refuses it if it has seen a later epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// The engine.
    pub engine: EngineName,
    /// Its address.
    pub address: SocketAddr,
    /// The control epoch that it is given under.
    pub epoch: u64,
    /// What to do.
    pub order: ModelOrder,
}

/// Whether a person waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// A caller waits.
    Online,
    /// An item of a job.
    Batch,
}

/// A request for an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRequest {
    /// The attempt; the engine repeats it on every piece.
    pub attempt: AttemptId,
    /// The engine.
    pub engine: EngineName,
    /// Its address.
    pub address: SocketAddr,
    /// Whether a person waits.
    pub class: RequestClass,
    /// The engine's priority; lower runs first.
    pub priority: u32,
    /// The model.
    pub model: Arc<str>,
    /// The adapter, if any.
    pub adapter: Option<Arc<str>>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// The token to start from: those before it were received from an earlier attempt.
    pub from_token: u32,
    /// Whether the request may run more than once, for the engine's own count.
    pub repeatable: bool,
}
