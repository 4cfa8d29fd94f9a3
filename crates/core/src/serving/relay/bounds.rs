//! The times in which a node must know of changes, and what follows from them.

use super::policy::Role;
use crate::time::Millis;

/// A watch of a node that takes no changes from relays waits this much longer than the contact bound, since it
/// may have begun before the silence.
const ALONE_MARGIN: Millis = Millis(500);
/// The times in which a node must know of changes, from its settings.
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
    /// How long a relay's watch of the store waits: its view is confirmed as often as this.
    pub(super) fn relay_wait(self) -> Millis {
        percent(self.change, 20)
    }

    /// The pause of a relay after a watch that brought changes, so that further ones come together.
    pub(super) fn relay_pause(self) -> Millis {
        percent(self.change, 10)
    }

    /// How long a relay may hold an answer back.
    pub(super) fn hold(self) -> Millis {
        percent(self.change, 15)
    }

    /// A relay whose view is older than this has lost the store: more than two of its watches and a pause.
    pub fn relay_stale(self) -> Millis {
        percent(self.change, 60)
    }

    /// A node whose view is older than this asks the store itself. What is left of the bound is for that call.
    pub fn stale(self) -> Millis {
        percent(self.change, 75)
    }

    /// How long a watch waits where there is no relay. The store may have lost its answer, which shows only after
    /// that.
    pub(super) fn alone_wait(self) -> Millis {
        self.contact + ALONE_MARGIN
    }

    /// The pause after a watch with changes where there is no relay.
    pub(super) fn alone_pause(self) -> Millis {
        percent(self.change, 40)
    }

    /// A node that was asked within this time is a relay.
    pub(super) fn relay_lifetime(self) -> Millis {
        self.contact
    }

    /// How long a relay with an old view is avoided: it may have the store again soon.
    pub(super) fn avoid_stale(self) -> Millis {
        percent(self.change, 20)
    }

    /// The longest wait after a failed call of the store, before half of it is added. Others depend on a relay, so it
    /// tries more often. A follower's call that fails (1 s), this wait and a relay's silence (550 ms) together stay
    /// below the shortest contact bound in use, 3 s.
    pub(super) fn longest_store_wait(self, role: Role) -> Millis {
        match role {
            Role::Relay | Role::Alone => percent(self.contact, 15),
            Role::Follower => percent(self.contact, 25),
        }
    }

    /// Records can lapse once the store was out of reach for this long. A record lapses after three heartbeats without
    /// a write, so no sooner than two after the store went; the rest is for how late a node notices.
    pub(super) fn least_lapse(self) -> Millis {
        percent(self.heartbeat, 150)
    }
}

fn percent(span: Millis, share: u64) -> Millis {
    Millis(span.0 * share / 100)
}
