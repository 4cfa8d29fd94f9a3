//! The time for which a view of the store was observed without a gap.
//!
//! A view holds the last state of each key. What appeared and disappeared while it was not updated is not in it, so that
//! a duration counts as observed only as far as the view was current throughout.

use crate::time::{Millis, Timestamp};

/// Maximum age of a view that counts as current, and maximum time between two confirmations of a view that counts as
/// observed throughout. A worker takes longer to start, serve and leave, but not to start and serve.
pub const MAX_VIEW_AGE: Millis = Millis(2_000);

/// How a view was brought up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewUpdate {
    /// By the complete contents of the store.
    Replaced,
    /// By changes since its revision. Of several changes of a key it contains the last one.
    Changed,
    /// There were no changes since its revision.
    Unchanged,
}

#[derive(Clone, Copy, Debug)]
struct Span {
    since: Timestamp,
    confirmed_at: Timestamp,
}

/// The last span of time in which a view was current throughout.
#[derive(Clone, Copy, Debug, Default)]
pub struct Continuity {
    span: Option<Span>,
}

impl Continuity {
    /// Records that a view was complete at `confirmed_at` after an update.
    pub fn record(&mut self, update: ViewUpdate, confirmed_at: Timestamp) {
        let span = self.span.get_or_insert(Span { since: confirmed_at, confirmed_at });
        let is_gap = confirmed_at.since(span.confirmed_at) > MAX_VIEW_AGE;
        if is_gap && update != ViewUpdate::Unchanged {
            span.since = confirmed_at;
        }
        span.confirmed_at = span.confirmed_at.max(confirmed_at);
    }

    /// Returns for how long the view has been observed at `now`.
    pub fn observed(&self, now: Timestamp) -> Observation {
        let Some(span) = self.span else { return Observation::default() };
        Observation { age: Some(now.since(span.confirmed_at)), lasted: span.confirmed_at.since(span.since) }
    }
}

/// The time for which a view has been observed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    /// Time since the view was last confirmed to be complete; `None` before the first complete view.
    pub age: Option<Millis>,
    /// Time up to that confirmation in which the view was current throughout.
    pub lasted: Millis,
}

impl Observation {
    /// Returns whether the view is current.
    pub fn is_current(&self) -> bool {
        self.age.is_some_and(|age| age <= MAX_VIEW_AGE)
    }

    /// Returns how much of the given time until now was observed; none of it if the view is not current.
    pub fn observed_part(&self, span: Millis) -> Millis {
        match self.age {
            Some(age) if age <= MAX_VIEW_AGE => Millis(span.0.saturating_sub(age.0)).min(self.lasted),
            _ => Millis(0),
        }
    }
}
