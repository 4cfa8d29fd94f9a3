//! Keeping this node's view of the metadata store up to date, through relays or by calls of its own.
//!
//! Owns the calls, and the log lines of whom the node follows. Where the next changes come from and how long a call may
//! take is decided by [`WatchPolicy`].

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use stallmoor_core::identity::NodeId;
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::serving::relay::bounds::WatchBounds;
use stallmoor_core::serving::relay::item::{MetadataItem, Revision};
use stallmoor_core::serving::relay::message::{ChangesAnswer, ChangesRequest};
use stallmoor_core::serving::relay::mirror::MissingKeys;
use stallmoor_core::serving::relay::outage::{FailedCall, RecordGrace};
use stallmoor_core::serving::relay::policy::{WatchPolicy, WatchRole, WatchStep};
use stallmoor_core::serving::relay::tiers::{RelayPlan, plan_relays};
use stallmoor_core::time::{Millis, Timestamp};
use tokio::sync::mpsc::UnboundedSender;

use crate::adapter::metadata::{FleetUpdate, ItemSnapshot, MetadataStore, ReadFailure};
use crate::fleet::fleet_view::FleetView;
use crate::fleet::metadata_view::MetadataView;
use crate::fleet::relay_calls::RelayCalls;
use crate::observe::journal::{Field, record};
use crate::observe::measures;

/// Follows the store's changes.
pub struct MetadataWatch {
    id: NodeId,
    store: Arc<dyn MetadataStore>,
    fleet: Arc<FleetView>,
    view: Arc<MetadataView>,
    relay_calls: RelayCalls,
    policy: WatchPolicy,
    /// Not bounded: its receiver applies updates in memory and waits for nothing, so no more wait than one answer has.
    updates: UnboundedSender<FleetUpdate>,
    /// The relay that the last changes came from.
    followed: Option<NodeId>,
    role: WatchRole,
    is_synced: bool,
}

impl MetadataWatch {
    /// A watch that has read nothing yet.
    pub fn new(
        id: NodeId,
        store: Arc<dyn MetadataStore>,
        fleet: Arc<FleetView>,
        view: Arc<MetadataView>,
        bounds: WatchBounds,
        updates: UnboundedSender<FleetUpdate>,
    ) -> Self {
        let (relay_calls, policy) = (RelayCalls::new(id, fleet.clock), WatchPolicy::new(bounds));
        let (followed, role, is_synced) = (None, WatchRole::Standalone, false);
        Self { id, store, fleet, view, relay_calls, policy, updates, followed, role, is_synced }
    }

    /// Sends what the store holds and each change of it, until the receiver is gone.
    pub async fn run(mut self) {
        while !self.updates.is_closed() {
            let state = self.view.state();
            let RelayPlan { tier, relays } = plan_relays(&self.fleet.storage(), &self.fleet.zone, self.id);
            self.policy.set_tier(tier);
            self.enter(self.policy.role(state, &relays));
            measures::view_age(state.age.unwrap_or_default());
            match self.policy.next(state, &relays) {
                WatchStep::AskRelay { relay, hold, timeout } => self.ask_relay(relay, state.at, hold, timeout).await,
                WatchStep::DiscoverRelays => self.seek_relays().await,
                WatchStep::ListStore => self.list_store().await,
                WatchStep::WatchStore { since, wait } => self.watch_store(since, wait).await,
                WatchStep::Wait(span) => {
                    // A question ends the rest early.
                    let _ = self.until_asked(tokio::time::sleep(as_duration(span))).await;
                }
            }
            self.view.set_unreachable_for(self.policy.away(self.fleet.clock.now()));
        }
    }

    fn enter(&mut self, role: WatchRole) {
        if role == WatchRole::Relay && self.role != WatchRole::Relay {
            record(LogEvent::RelayServing, &[]);
            self.followed = None;
        }
        self.role = role;
    }

    /// Waits for a call. A node whose role yields to questions breaks off when it is asked.
    async fn until_asked<T>(&self, call: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            answer = call => Some(answer),
            () = self.view.asked(), if self.role.yields_to_requests() => None,
        }
    }

    async fn ask_relay(&mut self, relay: NodeId, since: Option<Revision>, hold: Millis, timeout: Millis) {
        let asked_at = self.fleet.clock.now();
        let address = self.fleet.storage().of_node(relay).map(|record| record.address);
        let Some(address) = address else {
            return self.leave(relay, asked_at, "no address");
        };
        // Without a view, everything since the beginning is wanted.
        let since = since.unwrap_or_default();
        let request = ChangesRequest { since, hold };
        let call = self.relay_calls.send_request(relay, address, request, as_duration(timeout));
        let Some(answered) = self.until_asked(call).await else { return };
        let now = self.fleet.clock.now();
        match answered {
            Ok(answer) if answer.is_valid_for(since) => self.take_answer(relay, answer, asked_at),
            Ok(answer) => {
                let detail =
                    format!("changes from {:?} to {}, asked from {since}", answer.changes.base, answer.changes.at);
                record(LogEvent::MessageRefused, &[Field::text("peer", address), Field::text("detail", detail)]);
                self.leave(relay, now, "unsound answer");
            }
            Err(why) => self.leave(relay, now, &why),
        }
    }

    /// Reads which storing nodes there are. What else the store holds comes from them.
    async fn seek_relays(&mut self) {
        let begun = self.fleet.clock.now();
        measures::store_call("seek");
        match self.store.storage_records().await {
            Ok(records) => {
                for item in records {
                    self.fleet.apply(&FleetUpdate::InternalItem(item));
                }
                self.policy.relays_discovered(begun);
            }
            Err(failure) => self.store_failed(failure, begun),
        }
    }

    fn take_answer(&mut self, relay: NodeId, answer: ChangesAnswer, asked_at: Timestamp) {
        let grace = self.policy.record_grace(self.view.state());
        let is_young = self.policy.relay_answered(relay, &answer, self.fleet.clock.now());
        let confirmed = answer.confirmed_at(asked_at);
        let ChangesAnswer { changes, age, away, .. } = answer;
        let changed = match changes.base {
            Some(_) => self.view.advance(changes.items, changes.at, confirmed),
            None => self.view.replace(changes.items, changes.at, MissingKeys::Removed, confirmed),
        };
        self.publish(&changed, &grace);
        self.note_synced();
        if is_young && self.followed != Some(relay) {
            record(LogEvent::RelayFollowed, &[Field::text("relay", relay), Field::number("age_ms", age.0)]);
            self.followed = Some(relay);
        } else if !is_young && self.followed == Some(relay) {
            self.log_left(
                relay,
                &format!("its view is {} ms old, the store out of its reach for {} ms", age.0, away.0),
            );
        }
    }

    fn leave(&mut self, relay: NodeId, now: Timestamp, why: &str) {
        if self.view.state().at.is_none() {
            return self.policy.first_view_failed(relay, now);
        }
        self.policy.relay_failed(relay, now);
        if self.followed == Some(relay) {
            self.log_left(relay, why);
        }
    }

    fn log_left(&mut self, relay: NodeId, why: &str) {
        let age = self.view.state().age.unwrap_or_default();
        let fields = [Field::text("relay", relay), Field::text("detail", why), Field::number("age_ms", age.0)];
        record(LogEvent::RelayLeft, &fields);
        self.followed = None;
    }

    async fn list_store(&mut self) {
        let begun = self.fleet.clock.now();
        measures::store_call("list");
        match self.store.list().await {
            Ok(ItemSnapshot { items, at }) => {
                let grace = self.policy.record_grace(self.view.state());
                self.store_answered();
                let changed = self.view.replace(items, at, grace.missing_keys(), begun);
                self.publish(&changed, &grace);
                self.note_synced();
            }
            Err(failure) => self.store_failed(failure, begun),
        }
    }

    /// All that the store holds is known; says so the first time.
    fn note_synced(&mut self) {
        if !self.is_synced {
            self.is_synced = true;
            self.send(FleetUpdate::Synced);
        }
    }

    async fn watch_store(&mut self, since: Revision, wait: Millis) {
        let begun = self.fleet.clock.now();
        measures::store_call("watch");
        let store = self.store.clone();
        let Some(result) = self.until_asked(store.changes(since, wait)).await else { return };
        match result {
            Ok(ItemSnapshot { items, at }) => {
                let grace = self.policy.record_grace(self.view.state());
                self.store_answered();
                let has_changes = !items.is_empty();
                let now = self.fleet.clock.now();
                let confirmed = WatchPolicy::watch_confirmed_at(begun, wait, has_changes, now);
                let changed = self.view.advance(items, at, confirmed);
                self.publish(&changed, &grace);
                if has_changes {
                    tokio::time::sleep(as_duration(self.policy.pause(self.role))).await;
                }
            }
            Err(ReadFailure::HistoryGone) => self.policy.history_dropped(),
            Err(failure) => self.store_failed(failure, begun),
        }
    }

    fn store_answered(&mut self) {
        let absence = self.policy.store_answered(self.fleet.clock.now());
        if absence > Millis(0) {
            self.send(FleetUpdate::StoreRecovered { absence });
        }
    }

    fn store_failed(&mut self, failure: ReadFailure, begun: Timestamp) {
        let ended = self.fleet.clock.now();
        let call = FailedCall { begun, ended, timed_out: failure == ReadFailure::TimedOut };
        let spread = self.fleet.random().random::<f64>();
        if self.policy.store_failed(self.role, self.view.state(), call, spread) {
            self.send(FleetUpdate::StoreLost { detail: format!("{failure:?}") });
        }
    }

    fn publish(&self, changed: &[MetadataItem], grace: &RecordGrace) {
        for update in changed.iter().filter_map(|item| self.store.interpret(item, grace)) {
            self.send(update);
        }
    }

    fn send(&self, update: FleetUpdate) {
        // The receiver is gone only when the process ends.
        let _ = self.updates.send(update);
    }
}

fn as_duration(span: Millis) -> Duration {
    Duration::from_millis(span.0)
}
