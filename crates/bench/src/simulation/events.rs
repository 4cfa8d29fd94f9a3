//! Event types of the simulation: the entries of the world's event queue.
//!
//! Owns no state. An event addressed to one incarnation of a node carries its process number, so that it is
//! dropped when that process crashes, as an open connection would be.

use std::net::SocketAddr;

use stallmoor_core::identity::{AttemptId, CallerId};
use stallmoor_core::node::{CallerAnswer, EngineOrder, EngineRequest, Event};
use stallmoor_core::peer_message::PeerMessage;

use super::faults::Fault;

/// An event on the virtual clock.
#[derive(Debug)]
pub enum SimEvent {
    /// The timer of a node fires.
    Tick {
        /// Slot of the node.
        slot: usize,
        /// Process number that the event is addressed to.
        process: u64,
    },
    /// An event is delivered to a node.
    Node {
        /// Slot of the node.
        slot: usize,
        /// Process number that the event is addressed to, or `None` for whichever process is running.
        process: Option<u64>,
        /// The event to deliver.
        event: Box<Event>,
    },
    /// A peer message is delivered to an address.
    Message {
        /// Destination address.
        to: SocketAddr,
        /// The message to deliver.
        message: Box<PeerMessage>,
    },
    /// A node starts.
    Start {
        /// Slot of the node.
        slot: usize,
    },
    /// A paused node resumes.
    Resume {
        /// Slot of the node.
        slot: usize,
    },
    /// An answer is delivered to a caller; `None` means that the connection broke.
    Answer {
        /// The caller.
        caller: CallerId,
        /// The answer.
        answer: Option<Box<CallerAnswer>>,
    },
    /// A stream at an engine advances by one step.
    EngineStep {
        /// Index of the engine.
        engine: usize,
        /// Attempt that the stream belongs to.
        attempt: AttemptId,
    },
    /// A request is delivered to an engine.
    EngineRequest {
        /// The request.
        request: Box<EngineRequest>,
        /// Slot of the sending node.
        slot: usize,
        /// Process number of the sending node.
        process: u64,
    },
    /// An order is delivered to an engine.
    EngineOrder {
        /// The order.
        order: Box<EngineOrder>,
        /// Slot of the sending node.
        slot: usize,
        /// Process number of the sending node.
        process: u64,
    },
    /// A cancellation is delivered to an engine.
    EngineCancel {
        /// Attempt to cancel.
        attempt: AttemptId,
    },
    /// An engine restarts.
    EngineStart {
        /// Index of the engine.
        engine: usize,
    },
    /// A frozen engine resumes.
    EngineThaw {
        /// Index of the engine.
        engine: usize,
    },
    /// Online callers send a new request.
    CallerStep,
    /// An online caller retries a request.
    CallerRetry {
        /// Index of the request.
        request: usize,
    },
    /// A job's submitter performs its next step.
    JobStep {
        /// Index of the job.
        job: usize,
    },
    /// A new job is submitted.
    NewJob,
    /// An operator applies a change.
    OperatorStep,
    /// The next fault is injected.
    NextFault,
    /// A fault ends.
    EndFault(Fault),
}
