//! Whether the end of a worker's answer completes a stream of events.
//!
//! An answer without a stated length ends with its connection, and a worker that stops closes its connection as well.
//! Only the events before such an end show that the worker has served the request at all.

/// How the end of an answer's body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its length or by chunks.
    Explicit,
    /// By the end of the connection.
    UntilClose,
}

/// The events of one answer whose body has ended without an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedAnswer {
    /// How the end of the body is known.
    pub framing: BodyFraming,
    /// Whether the body ended within an event.
    pub is_within_event: bool,
    /// Whether the body held a complete event.
    pub has_events: bool,
}

/// What the end of an answer says about the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamCompletion {
    /// The stream is complete.
    Complete,
    /// The stream is not complete.
    Broken,
    /// The answer adds no event to those of earlier answers, and only its connection ended it: either nothing was
    /// missing, or the worker stopped.
    Unknown,
}

impl EndedAnswer {
    /// Returns whether the stream is complete. `is_resumed` states whether earlier answers held events of the stream. A
    /// stream has at least one event.
    pub fn completion(&self, is_resumed: bool) -> StreamCompletion {
        if self.is_within_event || !(self.has_events || is_resumed) {
            return StreamCompletion::Broken;
        }
        match self.framing {
            BodyFraming::UntilClose if !self.has_events => StreamCompletion::Unknown,
            BodyFraming::Explicit | BodyFraming::UntilClose => StreamCompletion::Complete,
        }
    }
}
