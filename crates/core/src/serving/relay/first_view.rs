//! Acquisition of the first view of the store by a node that has just started.
//!
//! When hundreds of nodes start at once, listing the whole store from each of them would saturate the store's link. A
//! node therefore reads only the records of the storage nodes and requests the rest from a relay. The root relays of
//! a zone list the store themselves, and so does a node that finds no relay in time.

use super::policy::{ViewState, WatchStep};
use super::tiers::RelayTier;
use crate::identity::NodeId;
use crate::time::{Millis, Timestamp};

/// Interval at which a node looks for storage nodes. In a new fleet they are about to write their records.
const LOOKUP_INTERVAL: Millis = Millis(125);
/// Time after which a node that has found no storage node lists the store itself, since it may be the only node.
const LOOKUP_TIMEOUT: Millis = Millis(500);
/// Time after which a relay that returned no first view is retried, since it may be starting too.
pub(super) const RELAY_RETRY_DELAY: Millis = Millis(150);
/// Timeout for a relay's answer. Allows for the complete contents of the store over a slow link.
const CONTENTS_TIMEOUT: Millis = Millis(2_000);

/// Progress of a node that has no view yet.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FirstView {
    /// First and last lookup of the storage nodes.
    lookups: Option<Lookups>,
}

#[derive(Clone, Copy, Debug)]
struct Lookups {
    first: Timestamp,
    last: Timestamp,
}

impl FirstView {
    /// Records a lookup of the storage nodes.
    pub(super) fn record_lookup(&mut self, now: Timestamp) {
        let first = self.lookups.map_or(now, |lookups| lookups.first);
        self.lookups = Some(Lookups { first, last: now });
    }

    /// Returns the next step. `usable` is the relay to query, if one is available; after `relay_timeout` without an
    /// answer of a relay, the node lists the store itself.
    pub(super) fn next(
        &self,
        view: ViewState,
        tier: RelayTier,
        relays: &[NodeId],
        usable: Option<NodeId>,
        relay_timeout: Millis,
    ) -> WatchStep {
        let Some(lookups) = self.lookups else { return WatchStep::DiscoverRelays };
        let waited = view.now.since(lookups.first);
        if tier == RelayTier::Root {
            return WatchStep::ListStore;
        }
        if relays.is_empty() {
            return Self::look_up_again(view.now, lookups, waited);
        }
        match usable {
            _ if waited >= relay_timeout => WatchStep::ListStore,
            Some(relay) => WatchStep::QueryRelay { relay, hold: Millis(0), timeout: CONTENTS_TIMEOUT },
            None => WatchStep::Wait(RELAY_RETRY_DELAY),
        }
    }

    fn look_up_again(now: Timestamp, lookups: Lookups, waited: Millis) -> WatchStep {
        let elapsed = now.since(lookups.last);
        if waited >= LOOKUP_TIMEOUT {
            WatchStep::ListStore
        } else if elapsed >= LOOKUP_INTERVAL {
            WatchStep::DiscoverRelays
        } else {
            WatchStep::Wait(Millis(LOOKUP_INTERVAL.0 - elapsed.0))
        }
    }
}
