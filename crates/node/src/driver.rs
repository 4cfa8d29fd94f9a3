//! The actor that feeds events to the state machine and applies its effects.
//!
//! Events are processed in batches. All disk writes of a batch are committed in one transaction before any
//! other effect is applied, so that many requests share one disk flush.

use std::sync::Arc;

use ractor::{ActorRef, RpcReplyPort};
use stallmoor_clients::{Engines, KeyValueService, MachineList};
use stallmoor_core::identity::EngineName;
use stallmoor_core::log_event::{LogEvent, Severity};
use stallmoor_core::node::{Effect, EngineOrder, Event, KeyValueCall, KeyValueOperation, Node};
use stallmoor_storage::{Store, StoreWrite};

use crate::actor::MessageHandler;
use crate::callers::CallerRegistry;
use crate::clock::SystemClock;
use crate::events::EventSender;
use crate::streams::StreamCommand;
use crate::transport::Outgoing;

/// A batch of events to process.
pub struct EventBatch {
    /// Events in the order of their arrival.
    pub events: Vec<Event>,
    /// Receives, after all effects have been applied, whether the node keeps running.
    pub done: RpcReplyPort<bool>,
}

/// The actor's state: the state machine and the resources that its effects use.
pub struct DriverState {
    /// The node's state machine.
    pub node: Node,
    /// Persistent storage; `None` on a node without a data folder.
    pub store: Option<Store>,
    /// Source of the timestamps passed to the state machine.
    pub clock: SystemClock,
    /// Queue for the results of asynchronous calls.
    pub events: EventSender,
    /// Callers with pending answers.
    pub callers: CallerRegistry,
    /// The actor that runs engine streams.
    pub streams: ActorRef<StreamCommand>,
    /// The actor that sends messages to peers.
    pub transport: ActorRef<Outgoing>,
    /// Client of the key-value service.
    pub key_value: Arc<dyn KeyValueService>,
    /// Client of the machine list.
    pub machines: Arc<dyn MachineList>,
    /// Client of the engines.
    pub engines: Arc<dyn Engines>,
}

impl MessageHandler for DriverState {
    type Message = EventBatch;

    fn handle(&mut self, batch: EventBatch) {
        let mut effects = Vec::new();
        for event in batch.events {
            effects.extend(self.node.handle(event, self.clock.read()));
        }
        let keep_running = self.persist(&effects) && self.apply_effects(effects);
        // The receiver is dropped when the node shuts down.
        let _ = batch.done.send(keep_running);
    }
}

impl DriverState {
    /// Commits all writes of the batch. Returns false if the write failed: no other effect of the batch
    /// may then be applied, and the node stops.
    fn persist(&self, effects: &[Effect]) -> bool {
        let mut write = StoreWrite::default();
        for effect in effects {
            match effect {
                Effect::Persist { group, write: log_write } => write.groups.push((*group, log_write.clone())),
                Effect::PersistConfiguration(active) => write.configuration = Some(active.clone()),
                _ => {}
            }
        }
        let Some(store) = self.store.as_ref().filter(|_| !write.is_empty()) else { return true };
        match tokio::task::block_in_place(|| store.write(&write)) {
            Ok(()) => true,
            Err(error) => {
                log_event(LogEvent::StoreWriteFailed, &error.to_string());
                false
            }
        }
    }

    /// Applies all effects other than disk writes, in order. Returns false if the node is to stop.
    fn apply_effects(&mut self, effects: Vec<Effect>) -> bool {
        let mut keep_running = true;
        for effect in effects {
            match effect {
                Effect::Persist { .. } | Effect::PersistConfiguration(_) => {}
                Effect::Send { to, message } => {
                    let _ = self.transport.cast(Outgoing { to, message });
                }
                Effect::KeyValue { call, operation } => self.call_key_value(call, operation),
                Effect::ReadMachines => self.read_machines(),
                Effect::PollEngine { engine, address, cache_from } => self.poll_engine(engine, address, cache_from),
                Effect::Order(order) => self.send_order(order),
                Effect::StartStream(request) => {
                    let _ = self.streams.cast(StreamCommand::Start(request));
                }
                Effect::CancelStream { attempt } => {
                    let _ = self.streams.cast(StreamCommand::Cancel(attempt));
                }
                Effect::Answer { caller, answer } => {
                    let is_final = answer.is_final();
                    if !self.callers.answer(caller, answer) && !is_final {
                        self.events.try_send(Event::CallerDisconnected(caller));
                    }
                }
                Effect::Log { event, detail } => log_event(event, &detail),
                Effect::Exit => keep_running = false,
            }
        }
        keep_running
    }

    fn call_key_value(&self, call: KeyValueCall, operation: KeyValueOperation) {
        let (service, events) = (self.key_value.clone(), self.events.clone());
        tokio::spawn(async move {
            let outcome = service.call(operation).await;
            events.send(Event::KeyValue { call, outcome }).await;
        });
    }

    fn read_machines(&self) {
        let (machines, events) = (self.machines.clone(), self.events.clone());
        tokio::spawn(async move {
            if let Some(list) = machines.read().await {
                events.send(Event::Machines(list)).await;
            }
        });
    }

    fn send_order(&self, order: EngineOrder) {
        let (engines, events) = (self.engines.clone(), self.events.clone());
        tokio::spawn(async move {
            let engine = order.engine.clone();
            let outcome = engines.order(order).await;
            events.send(Event::Ordered { engine, outcome }).await;
        });
    }

    fn poll_engine(&self, engine: EngineName, address: std::net::SocketAddr, cache_from: Option<u64>) {
        let (engines, events) = (self.engines.clone(), self.events.clone());
        tokio::spawn(async move {
            let (report, cache) = match engines.poll(address, cache_from).await {
                Some(poll) => (Some(poll.report), poll.cache),
                None => (None, None),
            };
            events.send(Event::EngineLoad { engine, report, cache }).await;
        });
    }
}

/// Logs an event at the level of its severity.
pub fn log_event(event: LogEvent, detail: &str) {
    let level = match event.severity() {
        Severity::Information => log::Level::Info,
        Severity::Warning => log::Level::Warn,
        Severity::Error => log::Level::Error,
    };
    log::log!(target: "stallmoor", level, "E{:03} {:?}: {detail}", event.number(), event);
}
