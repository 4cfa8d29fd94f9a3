//! How long an attempt is awaited before another worker is tried.
//!
//! A request that may run again leaves a worker early, so that a second one can still be in time. One that can't gets
//! all the time that its caller allows.

use crate::serving::configuration::Route;
use crate::time::{Millis, Timestamp};

/// The share of a route's objective for which a first event is awaited, in percent: the other half is left for a second
/// worker.
const FIRST_EVENT_TIMEOUT_PERCENT: u64 = 50;
/// A first event is awaited for at least this many times the mean, so that a fleet that is slow as a whole isn't
/// retried.
const MEAN_MULTIPLE: u64 = 4;
/// The least time for which a first event is awaited, in milliseconds: the same for routes with a short objective.
const MIN_FIRST_EVENT_TIMEOUT: Millis = Millis(60);
/// The share of a route's longest pause between events for which an event is awaited, in percent; the rest is left for
/// the worker that goes on.
const GAP_TIMEOUT_PERCENT: u64 = 60;
/// The least time for which the first event is awaited once the head of its answer came, in milliseconds, however late
/// that was.
const MIN_EVENT_TIMEOUT: Millis = Millis(20);

/// An event that a worker owes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AwaitedEvent {
    /// The first one of the whole answer.
    First {
        /// When the request was sent to the worker.
        sent_at: Timestamp,
        /// The mean time to the first event over all workers.
        mean_first: Millis,
    },
    /// One that the caller waits for since the last.
    Next,
}

/// How long the head of an answer is awaited, in milliseconds, where the request may move to another worker.
pub fn first_event_timeout(route: &Route, mean_first: Millis) -> Millis {
    let of_objective = Millis(route.objective.0 * FIRST_EVENT_TIMEOUT_PERCENT / 100);
    of_objective.max(MIN_FIRST_EVENT_TIMEOUT).max(Millis(mean_first.0 * MEAN_MULTIPLE))
}

/// How long an event is awaited, in milliseconds, where the request may move to another worker. `None` without a limit:
/// the route has no target for pauses.
pub fn event_timeout(route: &Route, awaited: AwaitedEvent, now: Timestamp) -> Option<Millis> {
    let gap = route.gap_target?;
    Some(match awaited {
        AwaitedEvent::First { sent_at, mean_first } => {
            let allowed = first_event_timeout(route, mean_first);
            Millis(allowed.0.saturating_sub(now.since(sent_at).0)).max(MIN_EVENT_TIMEOUT)
        }
        AwaitedEvent::Next => Millis(gap.0 * GAP_TIMEOUT_PERCENT / 100),
    })
}
