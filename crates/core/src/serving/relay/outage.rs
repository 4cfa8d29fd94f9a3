//! Outages of the store as one node meets them, and how far records that are missing after one can be judged.
//!
//! A node that was cut off alone can't tell that from an absence of the store, in which records lapse. So what it
//! allows itself ends while it would be excused in either case.

use super::bounds::WatchBounds;
use super::mirror::MissingKeys;
use super::policy::ViewState;
use crate::time::{Millis, Timestamp};

/// Workers that live write a record that lapsed again within this time of the store's return, in milliseconds.
const RETURN_TIME: Millis = Millis(2_000);
/// A worker whose record was removed may be used for this long where there is nobody else, in milliseconds: a service
/// whose only worker's record went.
const LAST_RESORT: Millis = Millis(1_000);
/// A request that is sent to a worker reaches it within this time, in milliseconds: one that is sent at the last moment
/// keeps the bound.
const IN_FLIGHT: Millis = Millis(250);

/// A call of the store that failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedCall {
    /// When it began.
    pub begun: Timestamp,
    /// When it failed.
    pub ended: Timestamp,
    /// It got no answer in time; else it was refused, or its connection broke.
    pub timed_out: bool,
}

impl FailedCall {
    /// The way to the store was broken then, or later: a silent call may have met the silence from its first moment on.
    pub(super) fn broken_at(self) -> Timestamp {
        if self.timed_out { self.begun } else { self.ended }
    }
}

/// A span in which the store was out of this node's reach. It says nothing of whether others reached it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outage {
    /// It may have begun then.
    since: Timestamp,
    /// It was not over before then: the last failed call was.
    lasted_to: Timestamp,
}

impl Outage {
    /// The outage so far, after a further call that failed. `since` is when one that begins with it may have begun.
    pub(super) fn extended(earlier: Option<Self>, since: Timestamp, call: FailedCall) -> Self {
        Self { since: earlier.map_or(since, |outage| outage.since), lasted_to: call.broken_at() }
    }

    /// For how long it has lasted.
    pub(super) fn lasts(self, now: Timestamp) -> Millis {
        now.since(self.since)
    }
}

/// Until when workers may still be used whose records a node finds missing.
///
/// Invariant: both lie within the bounds that a node with a way to the store must keep, counted from what is known of
/// the record and of that way, never from when this node comes to read the store again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordGrace {
    /// Where nobody else serves, and the record was removed.
    pub removed_usable_until: Timestamp,
    /// Where the record may have lapsed with the store, and be written again.
    pub expired_usable_until: Option<Timestamp>,
}

impl RecordGrace {
    /// What a node with a view as it was before may allow itself after an outage.
    pub(super) fn after(outage: Option<Outage>, view: ViewState, bounds: WatchBounds) -> Self {
        let known_until = view.confirmed_at() + bounds.change - IN_FLIGHT;
        let removed_usable_until = known_until.min(view.now + LAST_RESORT);
        let long_enough = outage.filter(|outage| outage.lasts(view.now) >= bounds.least_lapse());
        let expired_usable_until = long_enough.map(|outage| {
            let excused_until = outage.lasted_to + bounds.contact - IN_FLIGHT;
            excused_until.min(view.now + RETURN_TIME)
        });
        Self { removed_usable_until, expired_usable_until: expired_usable_until.filter(|until| *until > view.now) }
    }

    /// What became of records that a list of the store lacks.
    pub fn missing_keys(&self) -> MissingKeys {
        match self.expired_usable_until {
            Some(_) => MissingKeys::MayHaveExpired,
            None => MissingKeys::Removed,
        }
    }
}
