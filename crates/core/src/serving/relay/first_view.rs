//! How a node that has just started comes by its first view of the store.
//!
//! Where hundreds of nodes start at once, reading all that the store holds would keep its link busy for longer than a
//! recovery may take. So a node reads only which storing nodes there are, and asks a relay for the rest. The nodes that
//! watch the store for their zone read it themselves, and so does a node that finds no relay in time.

use super::policy::{ViewState, WatchStep};
use super::tiers::RelayTier;
use crate::identity::NodeId;
use crate::time::{Millis, Timestamp};

/// The time between two looks for storing nodes, in milliseconds: in a fleet that starts for the first time they are
/// about to file their records.
const SEEK_INTERVAL: Millis = Millis(125);
/// A node that has found no storing node for this long, in milliseconds, reads the store itself: it may be the only node.
const SEEK_FOR: Millis = Millis(500);
/// A relay that gave no first view is asked again after this long, in milliseconds: it may be starting too.
pub(super) const RELAY_RETRY: Millis = Millis(150);
/// How long a relay's answer is awaited, in milliseconds: all that the store holds, over a thin link.
const CONTENTS_TIMEOUT: Millis = Millis(2_000);

/// What a node without a view has done so far.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FirstView {
    /// When it looked for storing nodes first and last.
    sought: Option<Sought>,
}

#[derive(Clone, Copy, Debug)]
struct Sought {
    first: Timestamp,
    last: Timestamp,
}

impl FirstView {
    /// The node has looked for storing nodes.
    pub(super) fn sought(&mut self, now: Timestamp) {
        let first = self.sought.map_or(now, |sought| sought.first);
        self.sought = Some(Sought { first, last: now });
    }

    /// The next step. `usable` is the relay to ask of those that are known, `patience` for how long relays are asked.
    pub(super) fn next(
        &self,
        view: ViewState,
        tier: RelayTier,
        relays: &[NodeId],
        usable: Option<NodeId>,
        patience: Millis,
    ) -> WatchStep {
        let Some(sought) = self.sought else { return WatchStep::DiscoverRelays };
        let waited = view.now.since(sought.first);
        if tier == RelayTier::Root {
            return WatchStep::ListStore;
        }
        if relays.is_empty() {
            return Self::seek_again(view.now, sought, waited);
        }
        match usable {
            _ if waited >= patience => WatchStep::ListStore,
            Some(relay) => WatchStep::AskRelay { relay, hold: Millis(0), timeout: CONTENTS_TIMEOUT },
            None => WatchStep::Wait(RELAY_RETRY),
        }
    }

    fn seek_again(now: Timestamp, sought: Sought, waited: Millis) -> WatchStep {
        let rested = now.since(sought.last);
        if waited >= SEEK_FOR {
            WatchStep::ListStore
        } else if rested >= SEEK_INTERVAL {
            WatchStep::DiscoverRelays
        } else {
            WatchStep::Wait(Millis(SEEK_INTERVAL.0 - rested.0))
        }
    }
}
