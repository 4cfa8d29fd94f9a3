//! Progress of a stream that may be produced by several workers in sequence.
//!
//! A worker that resumes a stream starts after the last event that the caller received. Its events are checked against
//! that position, so that the caller gets no event twice and misses none.

use super::event_stream::ServerSentEvent;

/// The events of a worker that are forwarded to the caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AcceptedEvents {
    /// The bytes to forward. They are already counted as forwarded, so they must be sent even if there is a gap.
    pub bytes: Vec<u8>,
    /// Whether the worker skipped events after these bytes. If so, nothing more from it can be forwarded.
    pub has_gap: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EventOrder {
    /// The event directly follows the last one, or has no number.
    Next,
    /// The caller already has the event.
    Repeated,
    /// Events before this one are missing.
    AfterGap,
}

/// The progress of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamProgress {
    /// The number of the last event that was forwarded, or that the caller received in an earlier request.
    pub last_event: Option<u64>,
    /// The number of events forwarded for this request.
    pub events: u32,
}

impl StreamProgress {
    /// Creates the progress of a stream whose caller has the events up to and including `last_event`.
    pub fn after(last_event: Option<u64>) -> Self {
        Self { last_event, events: 0 }
    }

    /// Returns whether the caller has events of the stream.
    pub fn has_events(&self) -> bool {
        self.events > 0 || self.last_event.is_some_and(|event| event > 0)
    }

    /// Selects the events to forward, and records them as forwarded. If the stream is not resumable, all are forwarded.
    pub fn take(&mut self, events: Vec<ServerSentEvent>, is_resumable: bool) -> AcceptedEvents {
        let mut accepted = AcceptedEvents::default();
        for event in events {
            match self.order_of(event.id) {
                EventOrder::Repeated if is_resumable => continue,
                EventOrder::AfterGap if is_resumable => {
                    accepted.has_gap = true;
                    break;
                }
                EventOrder::Next | EventOrder::Repeated | EventOrder::AfterGap => {}
            }
            self.last_event = event.id.or(self.last_event);
            self.events += 1;
            accepted.bytes.extend_from_slice(&event.bytes);
        }
        accepted
    }

    fn order_of(&self, id: Option<u64>) -> EventOrder {
        match (id, self.last_event) {
            (Some(id), Some(last)) if id <= last => EventOrder::Repeated,
            (Some(id), Some(last)) if id > last + 1 => EventOrder::AfterGap,
            _ => EventOrder::Next,
        }
    }
}
