//! Reads the bodies of answers within their limits.

use std::fmt::Display;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use stallmoor_core::serving::online::answer_limits::{AnswerLimits, AnswerPart, MAX_REFUSAL_BYTES};
use stallmoor_core::serving::online::attempt::AttemptEnd;
use stallmoor_core::serving::online::event_stream::{EventSplitter, ServerSentEvent};
use stallmoor_core::serving::online::stream_end::{BodyFraming, EndedAnswer};

use super::answer_memory::{AnswerMemory, HeldMemory};
use crate::http::answer_body::CompleteBody;
use crate::observe::large_answers::record_large_answer;

/// Limits on answers: of each one, and of all together.
#[derive(Clone, Debug)]
pub struct AnswerBounds {
    /// Limits of one answer.
    pub limits: AnswerLimits,
    /// Memory of all answers.
    pub memory: AnswerMemory,
}

/// The events of one answer.
pub struct EventReader {
    splitter: EventSplitter,
    framing: BodyFraming,
    has_events: bool,
    memory: HeldMemory,
}

impl EventReader {
    /// Creates a reader of an answer of which nothing was received yet.
    pub fn new(bounds: &AnswerBounds, framing: BodyFraming) -> Self {
        let splitter = EventSplitter::new(bounds.limits.event);
        Self { splitter, framing, has_events: false, memory: bounds.memory.hold_none() }
    }

    /// Appends received bytes and returns the events that are now complete.
    ///
    /// # Errors
    ///
    /// Returns how the attempt failed if the next event can't be held.
    pub fn push(&mut self, data: &[u8]) -> Result<Vec<ServerSentEvent>, AttemptEnd> {
        let too_large = AttemptEnd::TooLarge { part: AnswerPart::Event };
        let events = self.splitter.push(data).map_err(|_| too_large)?;
        self.has_events |= !events.is_empty();
        self.memory.resize(self.splitter.pending().len()).map_err(|_| AttemptEnd::NoMemory)?;
        Ok(events)
    }

    /// Returns the number of bytes of the incomplete event.
    pub fn pending_bytes(&self) -> usize {
        self.splitter.pending().len()
    }

    /// Describes the answer once its body has ended without an error.
    pub fn ended(&self) -> EndedAnswer {
        EndedAnswer {
            framing: self.framing,
            is_within_event: !self.splitter.pending().is_empty(),
            has_events: self.has_events,
        }
    }
}

/// Size of the parts in which bodies are collected. A single buffer that grows would be copied again and again, and would
/// take up to twice its size.
const PART_BYTES: usize = 64 << 10;

/// The received part of a body.
#[derive(Default)]
struct BodyParts {
    complete: Vec<Bytes>,
    last: Vec<u8>,
    bytes: usize,
}

impl BodyParts {
    fn push(&mut self, mut data: &[u8]) {
        self.bytes += data.len();
        while !data.is_empty() {
            let (head, rest) = data.split_at(data.len().min(PART_BYTES - self.last.len()));
            self.last.extend_from_slice(head);
            if self.last.len() == PART_BYTES {
                self.complete.push(std::mem::replace(&mut self.last, Vec::with_capacity(PART_BYTES)).into());
            }
            data = rest;
        }
    }

    fn into_body(mut self, memory: HeldMemory) -> CompleteBody {
        self.complete.extend((!self.last.is_empty()).then(|| self.last.into()));
        CompleteBody::new(self.complete, memory)
    }
}

/// Reads a complete body.
///
/// # Errors
///
/// Returns how the attempt failed if the body breaks off or can't be held.
pub async fn read_body(body: &mut Incoming, bounds: &AnswerBounds) -> Result<CompleteBody, AttemptEnd> {
    let too_large = AttemptEnd::TooLarge { part: AnswerPart::Body };
    if body.size_hint().lower() > bounds.limits.body as u64 {
        return Err(too_large);
    }
    let mut body = Limited::new(body, bounds.limits.body);
    let mut memory = bounds.memory.hold_none();
    let mut parts = BodyParts::default();
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(|error| if error.is::<LengthLimitError>() { too_large } else { AttemptEnd::Broken })?;
        let data = frame.into_data().unwrap_or_default();
        memory.resize(parts.bytes + data.len()).map_err(|_| AttemptEnd::NoMemory)?;
        parts.push(&data);
    }
    Ok(parts.into_body(memory))
}

/// How the body of a refusal ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalBody {
    /// The body was read completely.
    Complete,
    /// The body broke off.
    Broken,
    /// The body exceeds the limit.
    TooLarge,
}

/// Reads and drops the body of a refusal.
pub async fn skip_refusal(body: Incoming) -> RefusalBody {
    match Limited::new(body, MAX_REFUSAL_BYTES).collect().await {
        Ok(_) => RefusalBody::Complete,
        Err(error) if error.is::<LengthLimitError>() => RefusalBody::TooLarge,
        Err(_) => RefusalBody::Broken,
    }
}

/// Records an answer that exceeded a limit. `sender` is the ID of the worker.
pub fn record_too_large(sender: impl Display, request: &str, part: AnswerPart, limits: &AnswerLimits) {
    record_large_answer(sender, request, part.name(), limits.of(part));
}
