//! The times in which a node must learn of changes, and what follows from them: each wait, hold and age is a share of
//! one of three bounds from the settings, so that all of them together keep the bound.
//!
//! Within the change bound (100%) a change reaches a follower through a relay's watch and pause (20% + 10%) and the
//! relay's hold (15%); a relay's view is gone by up to an age of 60%, a node's own up to 75%, and the rest is for its
//! own call of the store.

use super::policy::WatchRole;
use crate::time::Millis;

/// How long a relay's watch of the store waits, in percent of the change bound: its view is confirmed as often as this,
/// and each confirmation costs a call.
const RELAY_WAIT_PERCENT: u64 = 20;
/// The pause of a relay after a watch that brought changes, in percent of the change bound: saves calls, since further
/// changes come together.
const RELAY_PAUSE_PERCENT: u64 = 10;
/// How long a relay may hold an answer back until there are changes, in percent of the change bound: saves messages.
const HOLD_PERCENT: u64 = 15;
/// A relay whose view is older than this has lost the store, in percent of the change bound: its followers leave it in
/// time.
const RELAY_STALE_PERCENT: u64 = 60;
/// A node whose view is older than this asks the store itself, in percent of the change bound: the rest is for that
/// call.
const STALE_PERCENT: u64 = 75;
/// The pause after a watch with changes where there is no relay, in percent of the change bound: saves calls.
const ALONE_PAUSE_PERCENT: u64 = 40;
/// How long a relay with an old view is avoided, in percent of the change bound: it may have the store again soon.
const AVOID_STALE_PERCENT: u64 = 20;
/// The longest wait of a relay, or of a node that knows none, after a failed call of the store, before its random part
/// of up to a half is added, in percent of the contact bound. Others depend on a relay, so it tries more often than a
/// follower.
const RELAY_STORE_WAIT_PERCENT: u64 = 15;
/// The same of a follower, in percent of the contact bound: its call that fails (1 s), this wait and a relay's silence
/// (550 ms) together stay below the shortest contact bound in use, 3 s.
const FOLLOWER_STORE_WAIT_PERCENT: u64 = 25;
/// Records can lapse once the store was out of reach for this long, in percent of a heartbeat: workers whose records
/// lapsed with the store serve on, and only those.
const LEAST_LAPSE_PERCENT: u64 = 150;
/// A watch of a node that takes no changes from relays waits this much longer than the contact bound, in milliseconds,
/// since it may have begun before the silence.
const ALONE_MARGIN: Millis = Millis(500);

/// The times in which a node must learn of changes, from its settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchBounds {
    /// A change must have its effect within this time.
    pub change: Millis,
    /// A node that had no way to the store must be up to date this long after it has one again.
    pub contact: Millis,
    /// The time between two writes of a worker's record.
    pub heartbeat: Millis,
}

impl WatchBounds {
    /// How long a relay's watch of the store waits.
    pub(super) fn relay_wait(self) -> Millis {
        percent(self.change, RELAY_WAIT_PERCENT)
    }

    /// The pause of a relay after a watch that brought changes.
    pub(super) fn relay_pause(self) -> Millis {
        percent(self.change, RELAY_PAUSE_PERCENT)
    }

    /// How long a relay may hold an answer back.
    pub(super) fn hold(self) -> Millis {
        percent(self.change, HOLD_PERCENT)
    }

    /// A relay whose view is older than this has lost the store.
    pub fn max_relay_age(self) -> Millis {
        percent(self.change, RELAY_STALE_PERCENT)
    }

    /// A node whose view is older than this asks the store itself.
    pub fn stale(self) -> Millis {
        percent(self.change, STALE_PERCENT)
    }

    /// How long a watch waits where there is no relay. The store may have lost its answer, which shows only after
    /// that.
    pub(super) fn alone_wait(self) -> Millis {
        self.contact + ALONE_MARGIN
    }

    /// The pause after a watch with changes where there is no relay.
    pub(super) fn alone_pause(self) -> Millis {
        percent(self.change, ALONE_PAUSE_PERCENT)
    }

    /// A node that was asked within this time is a relay: one that nobody asks any more stops watching the store.
    pub(super) fn relay_lifetime(self) -> Millis {
        self.contact
    }

    /// How long a relay with an old view is avoided.
    pub(super) fn avoid_stale(self) -> Millis {
        percent(self.change, AVOID_STALE_PERCENT)
    }

    /// The longest wait after a failed call of the store, before its random part.
    pub(super) fn longest_store_wait(self, role: WatchRole) -> Millis {
        let share = match role {
            WatchRole::Relay | WatchRole::Forwarder | WatchRole::Standalone => RELAY_STORE_WAIT_PERCENT,
            WatchRole::Follower => FOLLOWER_STORE_WAIT_PERCENT,
        };
        percent(self.contact, share)
    }

    /// Records can lapse once the store was out of reach for this long.
    pub(super) fn least_lapse(self) -> Millis {
        percent(self.heartbeat, LEAST_LAPSE_PERCENT)
    }
}

fn percent(span: Millis, share: u64) -> Millis {
    Millis(span.0 * share / 100)
}
