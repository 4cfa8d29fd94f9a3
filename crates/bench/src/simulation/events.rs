//! What can happen in the simulation: the entries of the world's queue.
//!
//! Owns no state. An event that is meant for one start of a node names its process, so that it is lost when
//! that process dies, as an open connection would be.

use std::net::SocketAddr;

use stallmoor_core::identity::{AttemptId, CallerId};
use stallmoor_core::node::{CallerAnswer, EngineOrder, EngineRequest, Event};
use stallmoor_core::peer_message::PeerMessage;

use super::faults::Fault;

/// Something that happens at a time.
#[derive(Debug)]
pub enum SimEvent {
    /// A node's clock ticks.
    Tick {
        /// The node.
        slot: usize,
        /// The start of the node that this is for.
        process: u64,
    },
    /// An event arrives at a node.
    Node {
        /// The node.
        slot: usize,
        /// The start of the node that this is for; `None` for whoever is there.
        process: Option<u64>,
        /// The event.
        event: Box<Event>,
    },
    /// A message arrives at an address.
    Message {
        /// The address.
        to: SocketAddr,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// A node starts.
    Start {
        /// The node.
        slot: usize,
    },
    /// A paused node goes on.
    Resume {
        /// The node.
        slot: usize,
    },
    /// An answer arrives at a caller; `None` means that the connection broke.
    Answer {
        /// The caller.
        caller: CallerId,
        /// The answer.
        answer: Option<Box<CallerAnswer>>,
    },
    /// A stream at an engine makes a step.
    EngineStep {
        /// The engine.
        engine: usize,
        /// The stream.
        attempt: AttemptId,
    },
    /// A request arrives at an engine.
    EngineRequest {
        /// The request.
        request: Box<EngineRequest>,
        /// Who sent it.
        slot: usize,
        /// The start of the sender.
        process: u64,
    },
    /// An order arrives at an engine.
    EngineOrder {
        /// The order.
        order: Box<EngineOrder>,
        /// Who gave it.
        slot: usize,
        /// The start of the giver.
        process: u64,
    },
    /// A cancellation arrives at an engine.
    EngineCancel {
        /// The stream.
        attempt: AttemptId,
    },
    /// An engine comes back.
    EngineStart {
        /// The engine.
        engine: usize,
    },
    /// An engine thaws.
    EngineThaw {
        /// The engine.
        engine: usize,
    },
    /// Callers do something.
    CallerStep,
    /// A caller tries again.
    CallerRetry {
        /// Which.
        request: usize,
    },
    /// A job's submitter does something.
    JobStep {
        /// Which.
        job: usize,
    },
    /// A new job is submitted.
    NewJob,
    /// An operator does something.
    OperatorStep,
    /// The next failure.
    NextFault,
    /// A failure ends.
    EndFault(Fault),
}
