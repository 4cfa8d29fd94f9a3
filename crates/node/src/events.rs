//! The event queue of the driver.

use stallmoor_core::node::Event;
use tokio::sync::mpsc;

/// Maximum number of queued events.
pub const EVENT_QUEUE_CAPACITY: usize = 65_536;

/// Sending half of the event queue.
#[derive(Clone)]
pub struct EventSender {
    sender: mpsc::Sender<Event>,
}

impl EventSender {
    /// Creates a queue and returns both halves.
    pub fn channel() -> (Self, mpsc::Receiver<Event>) {
        let (sender, receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        (Self { sender }, receiver)
    }

    /// Sends an event, waiting while the queue is full.
    pub async fn send(&self, event: Event) {
        // The queue is closed only when the node stops.
        let _ = self.sender.send(event).await;
    }

    /// Sends an event that may be lost, such as a peer message. Returns false if the queue is full or closed.
    pub fn try_send(&self, event: Event) -> bool {
        self.sender.try_send(event).is_ok()
    }
}
