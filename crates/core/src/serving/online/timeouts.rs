//! Timeouts after which a request switches to another worker.
//!
//! A request that may run again switches to another worker early enough for that worker to still be on time. Other
//! requests get all the time that their caller allows.

use crate::serving::configuration::Route;
use crate::time::{Millis, Timestamp};

/// Percentage of the route's objective allowed for the first event. The rest is left for a second worker.
const FIRST_EVENT_TIMEOUT_PERCENT: u64 = 50;
/// Minimum timeout for the first event, as a multiple of the mean over all workers, so that requests are not retried
/// when the whole fleet is slow.
const MEAN_MULTIPLE: u64 = 4;
/// Minimum timeout for the first event, for routes with a short objective.
const MIN_FIRST_EVENT_TIMEOUT: Millis = Millis(60);
/// Percentage of the route's target gap between events that is allowed for an event. The rest is left for the worker
/// that resumes the stream.
const GAP_TIMEOUT_PERCENT: u64 = 60;
/// Minimum timeout for the first event once the head of the answer has arrived, however late it was.
const MIN_EVENT_TIMEOUT: Millis = Millis(20);
/// Minimum rate at which a long event has to arrive, in bytes per millisecond.
const MIN_EVENT_RATE: u64 = 1_024;

/// The event that a request is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AwaitedEvent {
    /// The first event of the answer.
    First {
        /// When the request was sent to the worker.
        sent_at: Timestamp,
        /// Mean time to the first event over all workers.
        mean_first: Millis,
        /// The wait since the head of the answer.
        wait: EventWait,
    },
    /// Any later event.
    Next {
        /// The wait since the event before it, or since the head of an answer that resumes a stream.
        wait: EventWait,
    },
}

/// The wait for the rest of an event. It is limited as a whole, not from one read to the next: a faulty worker may send
/// a few bytes at a time without ever completing an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventWait {
    /// When the wait began.
    pub since: Timestamp,
    /// Number of bytes of the event that were received.
    pub received: usize,
}

impl EventWait {
    /// Returns what is left of `timeout`, which is extended by the time that the received part of a long event takes on a
    /// slow connection.
    pub fn remaining(&self, timeout: Millis, now: Timestamp) -> Millis {
        let transfer = Millis(self.received as u64 / MIN_EVENT_RATE);
        (self.since + timeout + transfer).since(now)
    }
}

/// Returns the timeout for the head of an answer if the request may switch to another worker.
pub fn first_event_timeout(route: &Route, mean_first: Millis) -> Millis {
    let of_objective = Millis(route.objective.0.saturating_mul(FIRST_EVENT_TIMEOUT_PERCENT) / 100);
    of_objective.max(MIN_FIRST_EVENT_TIMEOUT).max(Millis(mean_first.0.saturating_mul(MEAN_MULTIPLE)))
}

/// Returns the timeout for an event if the request may switch to another worker, or `None` if the route has no target
/// gap between events.
pub fn event_timeout(route: &Route, awaited: AwaitedEvent, now: Timestamp) -> Option<Millis> {
    let gap = route.gap_target?;
    Some(match awaited {
        AwaitedEvent::First { sent_at, mean_first, wait } => {
            let allowed = first_event_timeout(route, mean_first);
            let left_at_head = Millis(allowed.0.saturating_sub(wait.since.since(sent_at).0));
            wait.remaining(left_at_head.max(MIN_EVENT_TIMEOUT), now)
        }
        AwaitedEvent::Next { wait } => wait.remaining(Millis(gap.0.saturating_mul(GAP_TIMEOUT_PERCENT) / 100), now),
    })
}
