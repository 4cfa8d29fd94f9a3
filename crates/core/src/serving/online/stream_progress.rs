//! How far a stream is that may come from several workers, one after another.
//!
//! A worker that takes a stream up begins after the last event that the caller has. What it sends is checked against
//! that, so that no event reaches the caller twice and none is left out.

use super::event_stream::WholeEvent;

/// A worker left out events that the caller doesn't have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventGap;

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

    /// Takes whole events as a worker sent them and returns the bytes to pass on. A stream that is not resumable is
    /// passed on as it comes.
    ///
    /// # Errors
    ///
    /// [`EventGap`]: the worker's stream can't be passed on any further.
    pub fn take(&mut self, events: Vec<WholeEvent>, is_resumable: bool) -> Result<Vec<u8>, EventGap> {
        let mut bytes = Vec::new();
        for event in events {
            match self.order_of(event.id) {
                EventOrder::Repeated if is_resumable => continue,
                EventOrder::AfterGap if is_resumable => return Err(EventGap),
                EventOrder::Next | EventOrder::Repeated | EventOrder::AfterGap => {}
            }
            self.last_event = event.id.or(self.last_event);
            self.events += 1;
            bytes.extend_from_slice(&event.bytes);
        }
        Ok(bytes)
    }

    fn order_of(&self, id: Option<u64>) -> EventOrder {
        match (id, self.last_event) {
            (Some(id), Some(last)) if id <= last => EventOrder::Repeated,
            (Some(id), Some(last)) if id > last + 1 => EventOrder::AfterGap,
            _ => EventOrder::Next,
        }
    }
}
