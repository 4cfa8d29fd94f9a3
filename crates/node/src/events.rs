//! The way of events to the driver.

use stallmoor_core::node::Event;
use tokio::sync::mpsc;

/// Most events that wait for the driver.
pub const EVENT_QUEUE_CAPACITY: usize = 65_536;

/// Sends events to the driver.
#[derive(Clone)]
pub struct EventSender {
    sender: mpsc::Sender<Event>,
}

impl EventSender {
    /// The two ends of a new queue.
    pub fn channel() -> (Self, mpsc::Receiver<Event>) {
        let (sender, receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        (Self { sender }, receiver)
    }

    /// Sends an event that must not be lost, waiting while the queue is full.
    pub async fn send(&self, event: Event) {
        // A closed queue means that the node stops.
        let _ = self.sender.send(event).await;
    }

    /// Sends an event that may be lost, such as a message of another node. Returns whether it went.
    pub fn try_send(&self, event: Event) -> bool {
        self.sender.try_send(event).is_ok()
    }
}
