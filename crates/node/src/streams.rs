//! The actor that runs engine streams.

use std::collections::HashMap;
use std::sync::Arc;

use stallmoor_clients::Engines;
use stallmoor_core::identity::AttemptId;
use stallmoor_core::node::{EngineRequest, Event};
use tokio::task::JoinHandle;

use crate::actor::MessageHandler;
use crate::events::EventSender;

/// Number of started streams after which finished tasks are removed.
const STARTS_BETWEEN_SWEEPS: usize = 256;

/// Messages to the actor.
pub enum StreamCommand {
    /// Sends a request to an engine and forwards its stream.
    Start(EngineRequest),
    /// Aborts a stream; closing its connection cancels the request at the engine.
    Cancel(AttemptId),
}

/// The actor's state: tasks of the running streams.
pub struct StreamsState {
    engines: Arc<dyn Engines>,
    events: EventSender,
    running: HashMap<AttemptId, JoinHandle<()>>,
    starts: usize,
}

impl StreamsState {
    /// Creates a state without streams.
    pub fn new(engines: Arc<dyn Engines>, events: EventSender) -> Self {
        Self { engines, events, running: HashMap::new(), starts: 0 }
    }

    fn start(&mut self, request: EngineRequest) {
        let attempt = request.attempt;
        let (engines, events) = (self.engines.clone(), self.events.clone());
        let task = tokio::spawn(async move {
            let (sender, mut receiver) = tokio::sync::mpsc::unbounded_channel();
            let sink = Box::new(move |event| sender.send(event).is_ok());
            let forward = async move {
                while let Some(event) = receiver.recv().await {
                    events.send(Event::Stream { attempt, event }).await;
                }
            };
            tokio::join!(engines.stream(request, sink), forward);
        });
        self.running.insert(attempt, task);
        self.starts += 1;
        if self.starts >= STARTS_BETWEEN_SWEEPS {
            self.starts = 0;
            self.running.retain(|_, task| !task.is_finished());
        }
    }
}

impl MessageHandler for StreamsState {
    type Message = StreamCommand;

    fn handle(&mut self, command: StreamCommand) {
        match command {
            StreamCommand::Start(request) => self.start(request),
            StreamCommand::Cancel(attempt) => {
                if let Some(task) = self.running.remove(&attempt) {
                    task.abort();
                }
            }
        }
    }
}
