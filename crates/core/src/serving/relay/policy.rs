//! Decides where a node obtains the store's next changes, and the waits between its calls.
//!
//! Tracks the outcome of the node's calls. The caller performs the calls and provides the clock and the view; the
//! intervals come from [`super::bounds`].

use super::bounds::WatchBounds;
use super::choice::RelaySelector;
use super::first_view::{FirstView, RELAY_RETRY_DELAY};
use super::item::Revision;
use super::message::ChangesAnswer;
use super::outage::{FailedCall, Outage, RecordGrace};
use super::tiers::RelayTier;
use crate::backoff::Backoff;
use crate::identity::NodeId;
use crate::time::{Millis, Timestamp};

/// Time allowed for a relay's answer beyond the time for which it may hold the request. Tolerates a relay that is in
/// another zone or busy.
const RELAY_ANSWER_MARGIN: Millis = Millis(250);
/// Timeout for the first view from a relay during a backoff after a failed call to the store. Bounds the delay of the next
/// call by a relay that is down.
const BACKOFF_RELAY_TIMEOUT: Millis = Millis(500);
/// Initial backoff after a failed call to the store, before jitter. Doubles with each consecutive failure. Short, so
/// that a store that refuses once is asked again soon.
const INITIAL_STORE_BACKOFF: Millis = Millis(50);
/// Maximum backoff before jitter, whatever the contact bound. Takes effect only for contact bounds above 51 s.
const MAX_STORE_BACKOFF: Millis = Millis(12_800);
/// Minimum of the random factor applied to a backoff, which is uniform over a range of width 1. Keeps nodes from
/// calling the store all at once when it recovers.
const MIN_JITTER: f64 = 0.5;

/// Role of a node in the distribution of the store's changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchRole {
    /// Other nodes query it, and it watches the store.
    Relay,
    /// Other nodes query it, and it queries the relays that watch the store.
    Forwarder,
    /// It queries relays.
    Follower,
    /// It knows no relay and watches the store itself.
    Standalone,
}

/// Next step of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchStep {
    /// Query a relay.
    QueryRelay {
        /// Relay to query.
        relay: NodeId,
        /// Maximum time for which the relay may hold the request.
        hold: Millis,
        /// Timeout for the answer.
        timeout: Millis,
    },
    /// Read the records of the storage nodes.
    DiscoverRelays,
    /// List the complete store.
    ListStore,
    /// Watch the store for changes.
    WatchStore {
        /// Revision after which changes are requested.
        since: Revision,
        /// Maximum time for which the store may hold the request.
        wait: Millis,
    },
    /// Make no call for this time.
    Wait(Millis),
}

impl WatchRole {
    /// Returns whether a request from another node interrupts the pending call or wait. While a node is not yet a
    /// relay, its pending call may complete long after the request arrives, or return another relay's old view.
    pub fn yields_to_requests(self) -> bool {
        !matches!(self, Self::Relay | Self::Forwarder)
    }
}

/// State of a node's view, from which the next step is chosen.
#[derive(Clone, Copy, Debug)]
pub struct ViewState {
    /// Current time.
    pub now: Timestamp,
    /// Revision up to which the view is complete; `None` before the first list.
    pub at: Option<Revision>,
    /// Time since the view was last confirmed to be complete; `None` before the first list.
    pub age: Option<Millis>,
    /// Time of the last request from another node.
    pub last_request_at: Option<Timestamp>,
}

impl ViewState {
    /// Returns when the view was last confirmed to be complete, or the current time before the first list.
    pub fn confirmed_at(self) -> Timestamp {
        self.now - self.age.unwrap_or_default()
    }
}

/// Decides where a node obtains the next changes.
#[derive(Clone, Debug)]
pub struct WatchPolicy {
    bounds: WatchBounds,
    relays: RelaySelector,
    tier: RelayTier,
    first_view: FirstView,
    /// Changes may have been missed, so the next call to the store must list everything.
    must_list: bool,
    store_failures: u32,
    /// No call to the store before this time.
    store_backoff_until: Timestamp,
    /// Current outage as observed by this node's own calls.
    outage: Option<Outage>,
}

impl WatchPolicy {
    /// Creates the policy of a node without a view.
    pub fn new(bounds: WatchBounds) -> Self {
        Self {
            bounds,
            relays: RelaySelector::default(),
            tier: RelayTier::Leaf,
            first_view: FirstView::default(),
            must_list: true,
            store_failures: 0,
            store_backoff_until: Timestamp::default(),
            outage: None,
        }
    }

    /// Sets the node's tier, from the current plan of relays.
    pub fn set_tier(&mut self, tier: RelayTier) {
        self.tier = tier;
    }

    /// Returns the node's role, given the relays that it could query.
    pub fn role(&self, view: ViewState, relays: &[NodeId]) -> WatchRole {
        let idle_timeout = self.bounds.relay_idle_timeout();
        if view.last_request_at.is_some_and(|requested| view.now.since(requested) < idle_timeout) {
            let forwards = self.tier == RelayTier::Forwarder && !relays.is_empty();
            if forwards { WatchRole::Forwarder } else { WatchRole::Relay }
        } else if relays.is_empty() {
            WatchRole::Standalone
        } else {
            WatchRole::Follower
        }
    }

    /// Returns the next step.
    pub fn next(&self, view: ViewState, relays: &[NodeId]) -> WatchStep {
        let role = self.role(view, relays);
        let store_step = self.store_step(view, role);
        let relay = self.relays.first_usable(view.now, relays);
        let Some(age) = view.age else { return self.initial_step(view, relays, relay, store_step) };
        let is_backing_off = matches!(store_step, WatchStep::Wait(_));
        if !matches!(role, WatchRole::Follower | WatchRole::Forwarder) {
            // The store may refuse this node alone, while the other relays see everything.
            let other = relay.filter(|_| is_backing_off);
            return other.map_or(store_step, |other| self.query_relay(other, self.bounds.max_age()));
        }
        let remaining = Millis(self.bounds.max_age().0.saturating_sub(age.0));
        match relay {
            Some(relay) if remaining > Millis(0) => self.query_relay(relay, remaining),
            // The store is failing, so a relay may take its full time.
            Some(relay) if is_backing_off => self.query_relay(relay, self.bounds.max_age()),
            None if is_backing_off => self.wait_until_usable(view.now, relays, store_step),
            _ => store_step,
        }
    }

    /// Returns the next step of a node without a view.
    fn initial_step(
        &self,
        view: ViewState,
        relays: &[NodeId],
        usable: Option<NodeId>,
        store_step: WatchStep,
    ) -> WatchStep {
        let step = self.first_view.next(view, self.tier, relays, usable, self.bounds.contact);
        match step {
            // The backoff applies to the first calls as well. Meanwhile the known storage nodes are asked, which the store
            // may answer.
            WatchStep::DiscoverRelays | WatchStep::ListStore if matches!(store_step, WatchStep::Wait(_)) => {
                match usable {
                    Some(relay) => WatchStep::QueryRelay { relay, hold: Millis(0), timeout: BACKOFF_RELAY_TIMEOUT },
                    None => self.wait_until_usable(view.now, relays, store_step),
                }
            }
            step => step,
        }
    }

    /// Records that the records of the storage nodes have been read.
    pub fn relays_discovered(&mut self, now: Timestamp) {
        self.first_view.record_lookup(now);
    }

    /// Shortens a wait to the end of the first relay's cooldown.
    fn wait_until_usable(&self, now: Timestamp, relays: &[NodeId], step: WatchStep) -> WatchStep {
        let WatchStep::Wait(wait) = step else { return step };
        let first = self.relays.time_until_usable(now, relays).unwrap_or(wait);
        WatchStep::Wait(wait.min(first.max(Millis(1))))
    }

    fn query_relay(&self, relay: NodeId, remaining: Millis) -> WatchStep {
        let hold = self.bounds.max_hold();
        WatchStep::QueryRelay { relay, hold, timeout: remaining.min(hold + RELAY_ANSWER_MARGIN) }
    }

    fn store_step(&self, view: ViewState, role: WatchRole) -> WatchStep {
        let backoff = self.store_backoff_until.since(view.now);
        if backoff > Millis(0) {
            return WatchStep::Wait(backoff);
        }
        let wait =
            if role == WatchRole::Standalone { self.bounds.standalone_wait() } else { self.bounds.relay_watch_wait() };
        match view.at {
            Some(since) if !self.must_list => WatchStep::WatchStore { since, wait },
            _ => WatchStep::ListStore,
        }
    }

    /// Records a relay's answer. Returns whether the relay's view is fresh; the answer may be applied either way.
    pub fn record_relay_answer(&mut self, relay: NodeId, answer: &ChangesAnswer, now: Timestamp) -> bool {
        let is_fresh = answer.age < self.bounds.max_relay_age();
        if is_fresh {
            self.relays.record_answer(relay);
            self.must_list = false;
            self.store_failures = 0;
            self.store_backoff_until = Timestamp::default();
            self.outage = None;
        } else {
            self.relays.avoid(relay, self.bounds.stale_relay_cooldown(), now);
        }
        is_fresh
    }

    /// Records the answer of another relay to a node that is a relay itself. Unlike [`Self::record_relay_answer`], this does
    /// not end the outage: the node's followers rely on its own calls, which go on with their backoff.
    pub fn record_answer_to_relay(&mut self, relay: NodeId, answer: &ChangesAnswer, now: Timestamp) -> bool {
        let is_fresh = answer.age < self.bounds.max_relay_age();
        if is_fresh {
            self.relays.record_answer(relay);
            self.must_list = false;
        } else {
            self.relays.avoid(relay, self.bounds.stale_relay_cooldown(), now);
        }
        is_fresh
    }

    /// Records that a relay did not answer.
    pub fn record_relay_failure(&mut self, relay: NodeId, now: Timestamp) {
        self.relays.record_failure(relay, self.bounds.contact, now);
    }

    /// Records that a relay returned no first view. It is retried soon, since it may be starting too.
    pub fn record_first_view_failure(&mut self, relay: NodeId, now: Timestamp) {
        self.relays.avoid(relay, RELAY_RETRY_DELAY, now);
    }

    /// Records an answer of the store and returns the duration of the outage that it ends. Relays that did not answer
    /// may have been disconnected together with the store, so their cooldowns end.
    pub fn record_store_answer(&mut self, now: Timestamp) -> Millis {
        self.must_list = false;
        self.store_failures = 0;
        self.store_backoff_until = Timestamp::default();
        let Some(outage) = self.outage.take() else { return Millis(0) };
        self.relays.clear();
        outage.duration(now)
    }

    /// Returns the deadlines for using workers whose records are now found missing. Must be called before the answer
    /// that lacks them is applied: `view` is the view before.
    pub fn record_grace(&self, view: ViewState) -> RecordGrace {
        RecordGrace::after(self.outage, view, self.bounds)
    }

    /// Records that the store no longer has the history that was requested.
    pub fn record_compacted_history(&mut self) {
        self.must_list = true;
    }

    /// Returns whether a read of the changes since the view's revision confirms the view. After a failed call the store's
    /// history may no longer hold them; while the store can't be reached, no read is made.
    pub fn can_confirm(&self, view: ViewState) -> bool {
        view.at.is_some() && !self.must_list && self.outage.is_none()
    }

    /// Records a failed call to the store. `jitter` is a random number from 0 to 1 that spreads the retries of
    /// different nodes. Returns whether it is the first of consecutive failures.
    pub fn record_store_failure(&mut self, role: WatchRole, view: ViewState, call: FailedCall, jitter: f64) -> bool {
        // A follower calls the store only after its relays' views have become stale as well.
        let is_follower = matches!(role, WatchRole::Follower | WatchRole::Forwarder);
        let since = if is_follower { view.confirmed_at() } else { call.unreachable_since() };
        self.outage = Some(Outage::extended(self.outage, since, call));
        // The interrupted watch may have missed changes that the store's history no longer holds by the next call.
        self.must_list = true;
        let max_backoff = self.bounds.max_store_backoff(role).min(MAX_STORE_BACKOFF);
        let backoff = Backoff::new(INITIAL_STORE_BACKOFF, max_backoff);
        let wait = backoff.wait(self.store_failures).0 as f64 * (MIN_JITTER + jitter);
        self.store_backoff_until = call.failed_at + Millis(wait as u64);
        self.store_failures += 1;
        self.store_failures == 1
    }

    /// Returns when a view is confirmed to have been complete by a watch that was started at `started_at` with the given
    /// wait. Without changes, the store answers only once the wait is over.
    pub fn watch_confirmed_at(started_at: Timestamp, wait: Millis, has_changes: bool, now: Timestamp) -> Timestamp {
        let has_waited = !has_changes && now.since(started_at) >= wait;
        if has_waited { started_at + wait } else { started_at }
    }

    /// Returns the duration of the current outage; 0 if there is none.
    pub fn outage_duration(&self, now: Timestamp) -> Millis {
        self.outage.map_or(Millis(0), |outage| outage.duration(now))
    }

    /// Returns the pause after a watch that returned changes.
    pub fn pause(&self, role: WatchRole) -> Millis {
        match role {
            WatchRole::Relay => self.bounds.relay_pause(),
            WatchRole::Standalone => self.bounds.standalone_pause(),
            WatchRole::Follower | WatchRole::Forwarder => Millis(0),
        }
    }
}
