//! Splitting a stream of server-sent events into whole events.
//!
//! A worker may stop in the midst of an event. Only whole events are passed on, so that another worker
//! can go on right after the last one.

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSentEvent {
    /// The event's bytes as they came, with the blank line that ends it.
    pub bytes: Vec<u8>,
    /// Its id, if it has one.
    pub id: Option<u64>,
}

impl ServerSentEvent {
    /// The event's data lines, joined by line feeds.
    pub fn data(&self) -> String {
        let text = String::from_utf8_lossy(&self.bytes);
        let lines: Vec<&str> = text.lines().filter_map(|line| field_value(line, "data")).collect();
        lines.join("\n")
    }
}

/// Collects bytes until events are whole.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    /// Where the search for the end of the next event goes on.
    searched: usize,
}

impl EventSplitter {
    /// Takes bytes and returns the events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<ServerSentEvent> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(end) = find_event_end(&self.pending, start.max(self.searched)) {
            let event = self.pending[start..end].to_vec();
            events.push(ServerSentEvent { id: event_id(&event), bytes: event });
            start = end;
            self.searched = end;
        }
        self.pending.drain(..start);
        // A blank line may lie across the border of two reads.
        self.searched = self.pending.len().saturating_sub(3);
        events
    }

    /// Bytes that belong to no whole event yet.
    pub fn pending(&self) -> &[u8] {
        &self.pending
    }
}

/// The place after the blank line that ends an event.
fn find_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut place = from;
    while place + 1 < bytes.len() {
        if bytes[place] == b'\n' {
            if bytes[place + 1] == b'\n' {
                return Some(place + 2);
            }
            if bytes[place + 1] == b'\r' && bytes.get(place + 2) == Some(&b'\n') {
                return Some(place + 3);
            }
        }
        place += 1;
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
