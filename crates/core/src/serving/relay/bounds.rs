//! Time bounds within which a node must see changes of the metadata store, and the intervals derived from them.
//!
//! Every wait, hold and maximum age is a fraction of one of three configured bounds, so that the sum of the steps on
//! any path stays within the bound. Within the change bound (100%), a change reaches a follower through a relay's
//! watch and pause (20% + 10%) and the relay's hold (15%). A relay's view is considered stale at an age of 60% and a
//! node's own view at 75%; the rest is left for the node's own call to the store.

use super::policy::WatchRole;
use crate::time::Millis;

/// Wait of a relay's watch on the store, as a percentage of the change bound. Each wait ends with a confirmation of
/// the view and costs one call.
const RELAY_WATCH_WAIT_PERCENT: u64 = 20;
/// Pause of a relay after a watch that returned changes, as a percentage of the change bound. Batches changes that
/// arrive close together into one call.
const RELAY_PAUSE_PERCENT: u64 = 10;
/// Maximum time for which a relay holds a request until there are changes, as a percentage of the change bound.
/// Reduces the number of messages.
const MAX_HOLD_PERCENT: u64 = 15;
/// Age above which a relay's view is stale, as a percentage of the change bound. Followers then have time to switch
/// to another relay or to the store.
const MAX_RELAY_AGE_PERCENT: u64 = 60;
/// Age of its view at which a follower calls the store itself, as a percentage of the change bound. The rest is left
/// for that call.
const MAX_AGE_PERCENT: u64 = 75;
/// Pause of a node without relays after a watch that returned changes, as a percentage of the change bound.
const STANDALONE_PAUSE_PERCENT: u64 = 40;
/// Time for which a relay with a stale view is skipped, as a percentage of the change bound. Short, since the relay
/// may reconnect to the store soon.
const STALE_RELAY_COOLDOWN_PERCENT: u64 = 20;
/// Maximum backoff of a relay, a forwarder or a standalone node after failed calls to the store, before jitter, as a
/// percentage of the contact bound. Shorter than a follower's, since other nodes depend on a relay.
const MAX_RELAY_BACKOFF_PERCENT: u64 = 15;
/// Maximum backoff of a follower after failed calls to the store, before jitter, as a percentage of the contact
/// bound. A timed-out call (1 s), this backoff and the timeout of a relay (550 ms) must fit into the shortest contact
/// bound in use, 3 s.
const MAX_FOLLOWER_BACKOFF_PERCENT: u64 = 25;
/// Outage of the store after which records may have expired, as a percentage of the heartbeat interval. Workers whose
/// records are missing after a shorter outage are treated as removed.
const MIN_EXPIRY_OUTAGE_PERCENT: u64 = 150;
/// Time by which the watch of a node without relays exceeds the contact bound, since the watch may have begun before
/// the store stopped answering.
const STANDALONE_WAIT_MARGIN: Millis = Millis(500);

/// Configured time bounds within which a node must see changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchBounds {
    /// Maximum time from a change in the store until it takes effect on a node that can reach the store.
    pub change: Millis,
    /// Time within which a node must be up to date after it regains access to the store.
    pub contact: Millis,
    /// Interval at which a worker renews its record.
    pub heartbeat: Millis,
}

impl WatchBounds {
    pub(super) fn relay_watch_wait(self) -> Millis {
        percent_of(self.change, RELAY_WATCH_WAIT_PERCENT)
    }

    pub(super) fn relay_pause(self) -> Millis {
        percent_of(self.change, RELAY_PAUSE_PERCENT)
    }

    pub(super) fn max_hold(self) -> Millis {
        percent_of(self.change, MAX_HOLD_PERCENT)
    }

    /// Returns the age from which a relay's view is stale, so that the relay's followers must use another source.
    pub fn max_relay_age(self) -> Millis {
        percent_of(self.change, MAX_RELAY_AGE_PERCENT)
    }

    /// Returns the age of its view from which a follower calls the store itself.
    pub fn max_age(self) -> Millis {
        percent_of(self.change, MAX_AGE_PERCENT)
    }

    /// Returns the wait of a watch on the store by a node without relays. Longer than the contact bound, since an
    /// answer that the store lost is only detected when the wait is over.
    pub(super) fn standalone_wait(self) -> Millis {
        self.contact + STANDALONE_WAIT_MARGIN
    }

    pub(super) fn standalone_pause(self) -> Millis {
        percent_of(self.change, STANDALONE_PAUSE_PERCENT)
    }

    /// Returns the time after the last request of another node for which a node remains a relay and watches the store.
    pub(super) fn relay_idle_timeout(self) -> Millis {
        self.contact
    }

    pub(super) fn stale_relay_cooldown(self) -> Millis {
        percent_of(self.change, STALE_RELAY_COOLDOWN_PERCENT)
    }

    /// Returns the maximum backoff after failed calls to the store, before jitter.
    pub(super) fn max_store_backoff(self, role: WatchRole) -> Millis {
        let percent = match role {
            WatchRole::Relay | WatchRole::Forwarder | WatchRole::Standalone => MAX_RELAY_BACKOFF_PERCENT,
            WatchRole::Follower => MAX_FOLLOWER_BACKOFF_PERCENT,
        };
        percent_of(self.contact, percent)
    }

    /// Returns the minimum duration of an outage after which records may have expired.
    pub(super) fn min_expiry_outage(self) -> Millis {
        percent_of(self.heartbeat, MIN_EXPIRY_OUTAGE_PERCENT)
    }
}

fn percent_of(span: Millis, percent: u64) -> Millis {
    Millis(span.0 * percent / 100)
}
