//! Where a node takes the store's next changes from, and how long it waits.
//!
//! Owns the outcome of the node's calls so far. The calls, the clock and the view are the driver's; the shares of the
//! bounds are in [`super::bounds`].

use super::bounds::WatchBounds;
use super::choice::RelayChoice;
use super::first_view::{FirstView, RELAY_RETRY};
use super::item::Revision;
use super::message::ChangesAnswer;
use super::outage::{FailedCall, Outage, RecordGrace};
use super::tiers::RelayTier;
use crate::backoff::Backoff;
use crate::identity::NodeId;
use crate::time::{Millis, Timestamp};

/// How long an answer of a relay may take beyond the time for which it may be held back, in milliseconds: a relay in
/// another zone, or a busy one, isn't left.
const RELAY_MARGIN: Millis = Millis(250);
/// The first wait after a failed call of the store, in milliseconds, before its random part: a store that refuses once
/// is asked again soon. Doubles with each failure in a row.
const FIRST_STORE_WAIT: Millis = Millis(50);
/// The longest such wait, in milliseconds, whatever the contact bound allows: only bounds over 51 s allow for more.
const LONGEST_STORE_WAIT: Millis = Millis(12_800);
/// The random part of such a wait makes it this share of itself at the least, and up to one more: nodes don't all ask
/// the store at once when it is back.
const LEAST_JITTER: f64 = 0.5;

/// What a node is among those that follow the store's changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchRole {
    /// Others ask it, so it watches the store.
    Relay,
    /// Others ask it, and it asks the relays that watch the store.
    Forwarder,
    /// It asks relays.
    Follower,
    /// It knows no relay, so it watches the store.
    Standalone,
}

/// The next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchStep {
    /// Ask a relay.
    AskRelay {
        /// Which.
        relay: NodeId,
        /// How long it may hold the answer back.
        hold: Millis,
        /// How long its answer is waited for.
        timeout: Millis,
    },
    /// Read which storing nodes there are.
    DiscoverRelays,
    /// Read all that the store holds.
    ListStore,
    /// Watch the store.
    WatchStore {
        /// From where on.
        since: Revision,
        /// How long the store may hold the answer back.
        wait: Millis,
    },
    /// No call for so long.
    Wait(Millis),
}

impl WatchRole {
    /// Whether a question of another node ends what the node is waiting for. The call of a node that is no relay yet
    /// may be answered long after the question, or say how old another relay's view is.
    pub fn yields_to_requests(self) -> bool {
        !matches!(self, Self::Relay | Self::Forwarder)
    }
}

/// What this node knows when it chooses the next call.
#[derive(Clone, Copy, Debug)]
pub struct ViewState {
    /// The time.
    pub now: Timestamp,
    /// The view is complete up to here.
    pub at: Option<Revision>,
    /// How old it is.
    pub age: Option<Millis>,
    /// When another node last asked this one.
    pub asked_at: Option<Timestamp>,
}

impl ViewState {
    /// When the view was last known to be complete; now, before the first list.
    pub fn confirmed_at(self) -> Timestamp {
        self.now - self.age.unwrap_or_default()
    }
}

/// Chooses where the next changes come from.
#[derive(Clone, Debug)]
pub struct WatchPolicy {
    bounds: WatchBounds,
    relays: RelayChoice,
    tier: RelayTier,
    first_view: FirstView,
    /// Changes may have been missed: everything must be read again.
    must_list: bool,
    store_failures: u32,
    /// No call of the store before.
    store_rests_until: Timestamp,
    /// The outage that this node's own calls have met and that is not over.
    outage: Option<Outage>,
}

impl WatchPolicy {
    /// The policy of a node that knows nothing yet.
    pub fn new(bounds: WatchBounds) -> Self {
        Self {
            bounds,
            relays: RelayChoice::default(),
            tier: RelayTier::Leaf,
            first_view: FirstView::default(),
            must_list: true,
            store_failures: 0,
            store_rests_until: Timestamp::default(),
            outage: None,
        }
    }

    /// Where the node stands among those that pass changes on.
    pub fn set_tier(&mut self, tier: RelayTier) {
        self.tier = tier;
    }

    /// What the node is, where these relays could be asked.
    pub fn role(&self, view: ViewState, relays: &[NodeId]) -> WatchRole {
        let lifetime = self.bounds.relay_lifetime();
        if view.asked_at.is_some_and(|asked| view.now.since(asked) < lifetime) {
            let forwards = self.tier == RelayTier::Forwarder && !relays.is_empty();
            if forwards { WatchRole::Forwarder } else { WatchRole::Relay }
        } else if relays.is_empty() {
            WatchRole::Standalone
        } else {
            WatchRole::Follower
        }
    }

    /// The next call.
    pub fn next(&self, view: ViewState, relays: &[NodeId]) -> WatchStep {
        let role = self.role(view, relays);
        let store_step = self.store_step(view, role);
        let relay = self.relays.usable(view.now, relays);
        let Some(age) = view.age else { return self.first_step(view, relays, relay, store_step) };
        if !matches!(role, WatchRole::Follower | WatchRole::Forwarder) {
            return store_step;
        }
        let left = Millis(self.bounds.stale().0.saturating_sub(age.0));
        let store_rests = matches!(store_step, WatchStep::Wait(_));
        match relay {
            Some(relay) if left > Millis(0) => self.ask(relay, left),
            // The store does not answer, so there is no hurry.
            Some(relay) if store_rests => self.ask(relay, self.bounds.stale()),
            None if store_rests => self.rest_until_usable(view.now, relays, store_step),
            _ => store_step,
        }
    }

    /// The next call of a node without a view.
    fn first_step(
        &self,
        view: ViewState,
        relays: &[NodeId],
        usable: Option<NodeId>,
        store_step: WatchStep,
    ) -> WatchStep {
        let step = self.first_view.next(view, self.tier, relays, usable, self.bounds.contact);
        match step {
            // The store is given its rest after a failed call.
            WatchStep::DiscoverRelays | WatchStep::ListStore if matches!(store_step, WatchStep::Wait(_)) => store_step,
            step => step,
        }
    }

    /// The node has read which storing nodes there are.
    pub fn relays_discovered(&mut self, now: Timestamp) {
        self.first_view.sought(now);
    }

    /// A rest that is over when one of the relays may be asked again.
    fn rest_until_usable(&self, now: Timestamp, relays: &[NodeId], step: WatchStep) -> WatchStep {
        let WatchStep::Wait(rest) = step else { return step };
        let first = self.relays.until_usable(now, relays).unwrap_or(rest);
        WatchStep::Wait(rest.min(first.max(Millis(1))))
    }

    fn ask(&self, relay: NodeId, left: Millis) -> WatchStep {
        let hold = self.bounds.hold();
        WatchStep::AskRelay { relay, hold, timeout: left.min(hold + RELAY_MARGIN) }
    }

    fn store_step(&self, view: ViewState, role: WatchRole) -> WatchStep {
        let rest = self.store_rests_until.since(view.now);
        if rest > Millis(0) {
            return WatchStep::Wait(rest);
        }
        let wait = if role == WatchRole::Standalone { self.bounds.alone_wait() } else { self.bounds.relay_wait() };
        match view.at {
            Some(since) if !self.must_list => WatchStep::WatchStore { since, wait },
            _ => WatchStep::ListStore,
        }
    }

    /// A relay answered. Returns whether its view is young enough; the answer may be used either way.
    pub fn relay_answered(&mut self, relay: NodeId, answer: &ChangesAnswer, now: Timestamp) -> bool {
        let is_young = answer.age < self.bounds.max_relay_age();
        if is_young {
            self.relays.answered(relay);
            self.must_list = false;
            self.store_failures = 0;
            self.store_rests_until = Timestamp::default();
            self.outage = None;
        } else {
            self.relays.avoid(relay, self.bounds.avoid_stale(), now);
        }
        is_young
    }

    /// A relay gave no answer.
    pub fn relay_failed(&mut self, relay: NodeId, now: Timestamp) {
        self.relays.failed(relay, self.bounds.contact, now);
    }

    /// A relay gave no first view. It may be starting as this node is.
    pub fn first_view_failed(&mut self, relay: NodeId, now: Timestamp) {
        self.relays.avoid(relay, RELAY_RETRY, now);
    }

    /// The store answered. Returns for how long it was out of reach before. Relays that were silent meanwhile may have
    /// been out of reach with it, and are asked again.
    pub fn store_answered(&mut self, now: Timestamp) -> Millis {
        self.must_list = false;
        self.store_failures = 0;
        self.store_rests_until = Timestamp::default();
        let Some(outage) = self.outage.take() else { return Millis(0) };
        self.relays.forgive();
        outage.lasts(now)
    }

    /// Until when workers may be used whose records are found missing now. Asked before the answer that shows it is
    /// taken: `view` is the view as it was.
    pub fn record_grace(&self, view: ViewState) -> RecordGrace {
        RecordGrace::after(self.outage, view, self.bounds)
    }

    /// The store has dropped the history that was asked for.
    pub fn history_dropped(&mut self) {
        self.must_list = true;
    }

    /// A call of the store failed. `spread` is a random number from 0 to 1, so that nodes don't retry all at once.
    /// Returns whether it is the first failure in a row.
    pub fn store_failed(&mut self, role: WatchRole, view: ViewState, call: FailedCall, spread: f64) -> bool {
        // A follower asks the store itself because the relays' views have grown old too.
        let is_follower = matches!(role, WatchRole::Follower | WatchRole::Forwarder);
        let since = if is_follower { view.confirmed_at() } else { call.broken_at() };
        self.outage = Some(Outage::extended(self.outage, since, call));
        // A watch that was cut may have missed changes that it can't learn of any more: the store may be about
        // to drop its history. So everything is read again.
        self.must_list = true;
        let longest = self.bounds.longest_store_wait(role).min(LONGEST_STORE_WAIT);
        let backoff = Backoff::new(FIRST_STORE_WAIT, longest);
        let wait = backoff.wait(self.store_failures).0 as f64 * (LEAST_JITTER + spread);
        self.store_rests_until = call.ended + Millis(wait as u64);
        self.store_failures += 1;
        self.store_failures == 1
    }

    /// When a view is known to have been complete, after a watch that began at `begun` and may have waited for `wait`.
    /// Without changes the store answers only after the wait.
    pub fn watch_confirmed_at(begun: Timestamp, wait: Millis, has_changes: bool, now: Timestamp) -> Timestamp {
        let has_waited = !has_changes && now.since(begun) >= wait;
        if has_waited { begun + wait } else { begun }
    }

    /// For how long the store has been out of reach.
    pub fn away(&self, now: Timestamp) -> Millis {
        self.outage.map_or(Millis(0), |outage| outage.lasts(now))
    }

    /// The pause after a watch that brought changes.
    pub fn pause(&self, role: WatchRole) -> Millis {
        match role {
            WatchRole::Relay => self.bounds.relay_pause(),
            WatchRole::Standalone => self.bounds.alone_pause(),
            WatchRole::Follower | WatchRole::Forwarder => Millis(0),
        }
    }
}
