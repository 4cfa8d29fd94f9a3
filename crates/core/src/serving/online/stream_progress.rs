//! How far a stream is that may come from several workers, one after another.
//!
//! A worker that takes a stream up begins after the last event that the caller has. What it sends is checked against
//! that, so that no event reaches the caller twice and none is left out.

use super::event_stream::ServerSentEvent;

/// What of a worker's events goes on to the caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TakenEvents {
    /// The bytes to pass on. They count as passed on, so they must be, also before a gap.
    pub bytes: Vec<u8>,
    /// The worker left out events after these, so nothing more of it can be passed on.
    pub has_gap: bool,
}

/// What is to be done with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EventOrder {
    /// It follows the last one, or has no number.
    Next,
    /// The caller has it.
    Repeated,
    /// Events before it are missing.
    AfterGap,
}

/// How far a stream is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamProgress {
    /// The number of the last event that was passed on, or that the caller had from an earlier request.
    pub last_event: Option<u64>,
    /// Events that were passed on.
    pub events: u32,
}

impl StreamProgress {
    /// A stream whose caller has the events up to `last_event`.
    pub fn after(last_event: Option<u64>) -> Self {
        Self { last_event, events: 0 }
    }

    /// Takes whole events as a worker sent them. A stream that is not resumable is passed on as it comes.
    pub fn take(&mut self, events: Vec<ServerSentEvent>, is_resumable: bool) -> TakenEvents {
        let mut taken = TakenEvents::default();
        for event in events {
            match self.order_of(event.id) {
                EventOrder::Repeated if is_resumable => continue,
                EventOrder::AfterGap if is_resumable => {
                    taken.has_gap = true;
                    break;
                }
                EventOrder::Next | EventOrder::Repeated | EventOrder::AfterGap => {}
            }
            self.last_event = event.id.or(self.last_event);
            self.events += 1;
            taken.bytes.extend_from_slice(&event.bytes);
        }
        taken
    }

    fn order_of(&self, id: Option<u64>) -> EventOrder {
        match (id, self.last_event) {
            (Some(id), Some(last)) if id <= last => EventOrder::Repeated,
            (Some(id), Some(last)) if id > last + 1 => EventOrder::AfterGap,
            _ => EventOrder::Next,
        }
    }
}
