//! Outages of the store as observed by one node, and how to treat records that are missing afterwards.
//!
//! A node cannot tell whether it alone was disconnected or the store was down and records expired. The grace that it
//! grants to workers without a record therefore ends within the bounds that hold in either case.

use super::bounds::WatchBounds;
use super::mirror::MissingKeys;
use super::policy::ViewState;
use crate::time::{Millis, Timestamp};

/// Time within which running workers rewrite expired records once the store is back.
const RECORD_REWRITE_TIME: Millis = Millis(2_000);
/// Maximum time for which a worker whose record was removed may be used if its service has no other worker.
const MAX_LAST_RESORT: Millis = Millis(1_000);
/// Maximum time for which a request is in flight to a worker. Deducted so that a request sent at the last moment
/// still arrives within the bound.
const MAX_IN_FLIGHT: Millis = Millis(250);

/// A failed call to the store.
#[derive(Clone, Copy, Debug)]
pub struct FailedCall {
    /// Start of the call.
    pub started_at: Timestamp,
    /// Time of the failure.
    pub failed_at: Timestamp,
    /// Whether the call timed out; otherwise it was refused or its connection broke.
    pub timed_out: bool,
}

impl FailedCall {
    /// Returns the earliest time at which the store may have become unreachable for this call: a call that timed out
    /// may have been lost right after its start.
    pub(super) fn unreachable_since(self) -> Timestamp {
        if self.timed_out { self.started_at } else { self.failed_at }
    }
}

/// A period in which this node could not reach the store. Other nodes may have reached it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outage {
    /// Earliest possible start.
    since: Timestamp,
    /// Earliest possible end, given by the last failed call.
    not_over_before: Timestamp,
}

impl Outage {
    /// Extends an outage by another failed call. `since` is the earliest possible start of an outage that begins with
    /// this call.
    pub(super) fn extended(earlier: Option<Self>, since: Timestamp, call: FailedCall) -> Self {
        Self { since: earlier.map_or(since, |outage| outage.since), not_over_before: call.unreachable_since() }
    }

    pub(super) fn duration(self, now: Timestamp) -> Millis {
        now.since(self.since)
    }
}

/// Deadlines until which workers whose records are missing may still be used.
///
/// Invariant: both lie within the bounds for a node that can reach the store, counted from the state of the view and
/// the last failed call, never from when this node reads the store again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordGrace {
    /// Deadline for a worker whose record was removed, if its service has no other worker.
    pub removed_usable_until: Timestamp,
    /// Deadline for a worker whose record may have expired during an outage and may be written again; `None` if no
    /// record can have expired.
    pub expired_usable_until: Option<Timestamp>,
}

impl RecordGrace {
    /// Returns the grace after an outage, given the view before the store's answer is applied.
    pub(super) fn after(outage: Option<Outage>, view: ViewState, bounds: WatchBounds) -> Self {
        let change_deadline = view.confirmed_at() + bounds.change - MAX_IN_FLIGHT;
        let removed_usable_until = change_deadline.min(view.now + MAX_LAST_RESORT);
        let expiring_outage = outage.filter(|outage| outage.duration(view.now) >= bounds.min_expiry_outage());
        let expired_usable_until = expiring_outage.map(|outage| {
            let contact_deadline = outage.not_over_before + bounds.contact - MAX_IN_FLIGHT;
            contact_deadline.min(view.now + RECORD_REWRITE_TIME)
        });
        Self { removed_usable_until, expired_usable_until: expired_usable_until.filter(|until| *until > view.now) }
    }

    /// Returns how to treat records that are missing from a list of the store.
    pub fn missing_keys(&self) -> MissingKeys {
        match self.expired_usable_until {
            Some(_) => MissingKeys::MayHaveExpired,
            None => MissingKeys::Removed,
        }
    }
}
