//! Splits a stream of server-sent events into complete events.
//!
//! A worker may fail in the middle of an event. Only complete events are forwarded, so that another worker can resume
//! the stream after the last one. The size of an event is limited, since a faulty worker may send one without end.

use snafu::Snafu;

/// One complete server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSentEvent {
    /// The event as received, including the blank line that ends it.
    pub bytes: Vec<u8>,
    /// The value of the `id` field, if it is a number.
    pub id: Option<u64>,
}

impl ServerSentEvent {
    /// Returns the values of the `data` fields, joined by line feeds.
    pub fn data(&self) -> String {
        let text = String::from_utf8_lossy(&self.bytes);
        let lines: Vec<&str> = text.lines().filter_map(|line| field_value(line, "data")).collect();
        lines.join("\n")
    }

    /// Returns whether the event has neither an ID nor data, such as a comment that keeps a connection open.
    pub fn is_comment(&self) -> bool {
        let text = String::from_utf8_lossy(&self.bytes);
        self.id.is_none() && !text.lines().any(|line| field_value(line, "data").is_some())
    }
}

/// An event exceeds the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("an event has more than {limit} bytes"))]
pub struct EventTooLarge {
    /// Maximum size of an event in bytes.
    pub limit: usize,
}

/// Buffers received bytes and splits off complete events.
#[derive(Clone, Debug)]
pub struct EventSplitter {
    /// Maximum size of an event in bytes, including the blank line that ends it.
    limit: usize,
    pending: Vec<u8>,
    /// Offset in `pending` at which the search for the end of the next event continues.
    search_from: usize,
}

impl EventSplitter {
    /// Creates a splitter of events of up to `limit` bytes each.
    pub fn new(limit: usize) -> Self {
        Self { limit, pending: Vec::new(), search_from: 0 }
    }

    /// Appends bytes and returns the events that are now complete.
    ///
    /// # Errors
    ///
    /// [`EventTooLarge`]: an event exceeds the limit, whether it is complete or not. Nothing more can be split.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<ServerSentEvent>, EventTooLarge> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(end) = find_event_end(&self.pending, start.max(self.search_from)) {
            self.check_size(end - start)?;
            let event = self.pending[start..end].to_vec();
            events.push(ServerSentEvent { id: event_id(&event), bytes: event });
            start = end;
            self.search_from = end;
        }
        self.check_size(self.pending.len() - start)?;
        self.pending.drain(..start);
        // The blank line may be split between two reads.
        self.search_from = self.pending.len().saturating_sub(3);
        Ok(events)
    }

    fn check_size(&self, bytes: usize) -> Result<(), EventTooLarge> {
        if bytes > self.limit { Err(EventTooLarge { limit: self.limit }) } else { Ok(()) }
    }

    /// Returns the bytes of the last, incomplete event.
    pub fn pending(&self) -> &[u8] {
        &self.pending
    }
}

/// Returns the offset just after the blank line that ends the event.
fn find_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut index = from;
    while index + 1 < bytes.len() {
        if bytes[index] == b'\n' {
            if bytes[index + 1] == b'\n' {
                return Some(index + 2);
            }
            if bytes[index + 1] == b'\r' && bytes.get(index + 2) == Some(&b'\n') {
                return Some(index + 3);
            }
        }
        index += 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    text.lines().find_map(|line| field_value(line, "id"))?.trim().parse().ok()
}

fn field_value<'a>(line: &'a str, field: &str) -> Option<&'a str> {
    let rest = line.strip_prefix(field)?.strip_prefix(':')?;
    Some(rest.strip_prefix(' ').unwrap_or(rest))
}
