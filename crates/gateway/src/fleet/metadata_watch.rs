//! Keeps this node's view of the metadata store up to date, through relays or by calling the store directly.
//!
//! Performs the calls and logs which relay the node follows. [`WatchPolicy`] decides where to get the next changes from
//! and how long a call may take.

use std::collections::BTreeSet;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use stallmoor_core::identity::NodeId;
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::serving::relay::bounds::WatchBounds;
use stallmoor_core::serving::relay::confirmation::CONFIRMATION_TIMEOUT;
use stallmoor_core::serving::relay::item::{KeyState, MetadataItem, Revision};
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

/// Wait of a watch that confirms the view: none, as the store answers once there is nothing to report.
const CONFIRMATION_WAIT: Millis = Millis(1);

/// Follows the store's changes and publishes them as fleet updates.
pub struct MetadataWatch {
    id: NodeId,
    store: Arc<dyn MetadataStore>,
    fleet: Arc<FleetView>,
    view: Arc<MetadataView>,
    relay_calls: RelayCalls,
    policy: WatchPolicy,
    /// Unbounded: the receiver applies updates without blocking, so the queue never exceeds the items of one answer.
    updates: UnboundedSender<FleetUpdate>,
    /// The relay that provides the changes, if any.
    followed_relay: Option<NodeId>,
    role: WatchRole,
    is_synced: bool,
    /// Keys that a former process of this node has kept, until the first complete view.
    kept: Vec<Arc<str>>,
}

impl MetadataWatch {
    /// Creates a watch that has not read the store yet.
    pub fn new(
        id: NodeId,
        store: Arc<dyn MetadataStore>,
        fleet: Arc<FleetView>,
        view: Arc<MetadataView>,
        bounds: WatchBounds,
        updates: UnboundedSender<FleetUpdate>,
    ) -> Self {
        let (relay_calls, policy) = (RelayCalls::new(id, fleet.clock), WatchPolicy::new(bounds));
        let (followed_relay, role, is_synced) = (None, WatchRole::Standalone, false);
        let kept = Vec::new();
        Self { id, store, fleet, view, relay_calls, policy, updates, followed_relay, role, is_synced, kept }
    }

    /// Sets the keys whose values of a former process are in use. Those that the first complete view lacks are removed with
    /// it.
    pub fn replacing(self, kept: Vec<Arc<str>>) -> Self {
        Self { kept, ..self }
    }

    /// Sends the store's contents and then each change, until the receiver is dropped.
    pub async fn run(mut self) {
        while !self.updates.is_closed() {
            let state = self.view.state();
            let RelayPlan { tier, relays } = plan_relays(&self.fleet.storage(), &self.fleet.zone, self.id);
            self.policy.set_tier(tier);
            self.set_role(self.policy.role(state, &relays));
            measures::set_view_age(state.age.unwrap_or_default());
            match self.policy.next(state, &relays) {
                WatchStep::QueryRelay { relay, hold, timeout } => {
                    self.query_relay(relay, state.at, hold, timeout).await
                }
                WatchStep::DiscoverRelays => self.discover_relays().await,
                WatchStep::ListStore => self.list_store().await,
                WatchStep::WatchStore { since, wait } => self.watch_store(since, wait).await,
                WatchStep::Wait(span) => {
                    // A request from another node ends the wait early.
                    let _ = self.run_until_requested(tokio::time::sleep(as_duration(span))).await;
                }
            }
            self.view.set_unreachable_for(self.policy.outage_duration(self.fleet.clock.now()));
        }
    }

    fn set_role(&mut self, role: WatchRole) {
        if role == WatchRole::Relay && self.role != WatchRole::Relay {
            record(LogEvent::RelayServing, &[]);
            self.followed_relay = None;
        }
        self.role = role;
    }

    /// Waits for a call. In a role that yields to requests, cancels the call and returns `None` if a request from
    /// another node arrives first.
    async fn run_until_requested<T>(&self, call: impl Future<Output = T>) -> Option<T> {
        let mut call = pin!(call);
        loop {
            tokio::select! {
                biased;
                answer = &mut call => return Some(answer),
                // A read that has begun is not canceled, as others wait for it.
                () = self.view.wait_for_confirmation_request() => self.confirm_view().await,
                () = self.view.wait_for_request(), if self.role.yields_to_requests() => return None,
            }
        }
    }

    /// Waits before the next call, and meanwhile confirms the view whenever that is requested.
    async fn pause(&self, span: Millis) {
        let mut pause = pin!(tokio::time::sleep(as_duration(span)));
        loop {
            tokio::select! {
                () = &mut pause => return,
                () = self.view.wait_for_confirmation_request() => self.confirm_view().await,
            }
        }
    }

    /// Confirms the view by a read that begins now. A read that fails has no other consequences: the calls that follow
    /// the store show whether it can be reached.
    async fn confirm_view(&self) {
        tokio::time::sleep(as_duration(self.view.wait_before_confirmation())).await;
        let served = self.view.begin_confirmation();
        let is_confirmed = self.read_changes().await;
        self.send(FleetUpdate::ReadAfterRequest(self.view.end_confirmation(served, is_confirmed)));
    }

    /// Applies the changes up to now. Returns whether the store answered.
    async fn read_changes(&self) -> bool {
        let state = self.view.state();
        let Some(since) = state.at.filter(|_| self.policy.can_confirm(state)) else { return false };
        let started_at = self.fleet.clock.now();
        measures::count_store_call("confirm");
        let reading = self.store.changes(since, CONFIRMATION_WAIT);
        let result = tokio::time::timeout(as_duration(CONFIRMATION_TIMEOUT), reading).await;
        let Ok(Ok(ItemSnapshot { items, at })) = result else { return false };
        let grace = self.policy.record_grace(self.view.state());
        let changed = self.view.advance(items, at, started_at);
        self.publish(&changed, &grace, started_at);
        true
    }

    async fn query_relay(&mut self, relay: NodeId, since: Option<Revision>, hold: Millis, timeout: Millis) {
        let requested_at = self.fleet.clock.now();
        let address = self.fleet.storage().of_node(relay).map(|record| record.address);
        let Some(address) = address else {
            return self.handle_relay_failure(relay, requested_at, "no address");
        };
        // Without a view, requests all changes from the first revision on.
        let since = since.unwrap_or_default();
        let request = ChangesRequest { since, hold };
        let call = self.relay_calls.send_request(relay, address, request, as_duration(timeout));
        let Some(result) = self.run_until_requested(call).await else { return };
        let now = self.fleet.clock.now();
        match result {
            Ok(answer) if answer.is_valid_for(since) => self.apply_answer(relay, answer, requested_at),
            Ok(answer) => {
                let detail =
                    format!("changes from {:?} to {}, asked from {since}", answer.changes.base, answer.changes.at);
                record(LogEvent::MessageRefused, &[Field::text("peer", address), Field::text("detail", detail)]);
                self.handle_relay_failure(relay, now, "unsound answer");
            }
            Err(reason) => self.handle_relay_failure(relay, now, &reason),
        }
    }

    /// Reads the records of storage nodes, which can then serve as relays for everything else in the store.
    async fn discover_relays(&mut self) {
        let started_at = self.fleet.clock.now();
        measures::count_store_call("seek");
        match self.store.storage_records().await {
            Ok(records) => {
                for item in records {
                    self.fleet.apply(&FleetUpdate::InternalItem(item));
                }
                self.policy.relays_discovered(started_at);
            }
            Err(failure) => self.record_store_failure(failure, started_at),
        }
    }

    fn apply_answer(&mut self, relay: NodeId, answer: ChangesAnswer, requested_at: Timestamp) {
        let grace = self.policy.record_grace(self.view.state());
        let now = self.fleet.clock.now();
        let is_fresh = match self.role {
            WatchRole::Relay => self.policy.record_answer_to_relay(relay, &answer, now),
            _ => self.policy.record_relay_answer(relay, &answer, now),
        };
        let confirmed = answer.confirmed_at(requested_at);
        let ChangesAnswer { changes, age, away, .. } = answer;
        let changed = match changes.base {
            Some(_) => self.view.advance(changes.items, changes.at, confirmed),
            None => self.view.replace(changes.items, changes.at, MissingKeys::Removed, confirmed),
        };
        self.publish(&changed, &grace, confirmed);
        self.report_synced();
        if is_fresh && self.followed_relay != Some(relay) {
            record(LogEvent::RelayFollowed, &[Field::text("relay", relay), Field::number("age_ms", age.0)]);
            self.followed_relay = Some(relay);
        } else if !is_fresh && self.followed_relay == Some(relay) {
            self.log_relay_left(
                relay,
                &format!("its view is {} ms old, the store out of its reach for {} ms", age.0, away.0),
            );
        }
    }

    fn handle_relay_failure(&mut self, relay: NodeId, now: Timestamp, reason: &str) {
        if self.view.state().at.is_none() {
            return self.policy.record_first_view_failure(relay, now);
        }
        self.policy.record_relay_failure(relay, now);
        if self.followed_relay == Some(relay) {
            self.log_relay_left(relay, reason);
        }
    }

    fn log_relay_left(&mut self, relay: NodeId, reason: &str) {
        let age = self.view.state().age.unwrap_or_default();
        let fields = [Field::text("relay", relay), Field::text("detail", reason), Field::number("age_ms", age.0)];
        record(LogEvent::RelayLeft, &fields);
        self.followed_relay = None;
    }

    async fn list_store(&mut self) {
        let started_at = self.fleet.clock.now();
        measures::count_store_call("list");
        match self.store.list().await {
            Ok(ItemSnapshot { items, at }) => {
                let grace = self.policy.record_grace(self.view.state());
                self.record_store_answer();
                let changed = self.view.replace(items, at, grace.missing_keys(), started_at);
                self.publish(&changed, &grace, started_at);
                self.report_synced();
            }
            Err(failure) => self.record_store_failure(failure, started_at),
        }
    }

    /// Sends [`FleetUpdate::Synced`] after the first complete read of the store.
    fn report_synced(&mut self) {
        if !self.is_synced {
            self.is_synced = true;
            self.remove_outdated();
            self.send(FleetUpdate::Synced);
        }
    }

    /// Removes what a former process has kept and the first complete view lacks.
    fn remove_outdated(&mut self) {
        let kept = std::mem::take(&mut self.kept);
        let items = self.view.present_items().unwrap_or_default();
        let present: BTreeSet<Arc<str>> = items.into_iter().map(|item| item.key).collect();
        let grace = RecordGrace { removed_usable_until: self.fleet.clock.now(), expired_usable_until: None };
        for key in kept.into_iter().filter(|key| !present.contains(key)) {
            let item = MetadataItem { key, state: KeyState::Removed, revision: Revision(0) };
            if let Some(update) = self.store.interpret(&item, &grace) {
                self.send(update);
            }
        }
    }

    async fn watch_store(&mut self, since: Revision, wait: Millis) {
        let started_at = self.fleet.clock.now();
        measures::count_store_call("watch");
        let store = self.store.clone();
        let Some(result) = self.run_until_requested(store.changes(since, wait)).await else { return };
        match result {
            Ok(ItemSnapshot { items, at }) => {
                let grace = self.policy.record_grace(self.view.state());
                self.record_store_answer();
                let has_changes = !items.is_empty();
                let now = self.fleet.clock.now();
                let confirmed = WatchPolicy::watch_confirmed_at(started_at, wait, has_changes, now);
                let changed = self.view.advance(items, at, confirmed);
                self.publish(&changed, &grace, confirmed);
                if has_changes {
                    self.pause(self.policy.pause(self.role)).await;
                }
            }
            Err(ReadFailure::HistoryGone) => self.policy.record_compacted_history(),
            Err(failure) => self.record_store_failure(failure, started_at),
        }
    }

    fn record_store_answer(&mut self) {
        let absence = self.policy.record_store_answer(self.fleet.clock.now());
        if absence > Millis(0) {
            self.send(FleetUpdate::StoreRecovered { absence });
        }
    }

    fn record_store_failure(&mut self, failure: ReadFailure, started_at: Timestamp) {
        let failed_at = self.fleet.clock.now();
        let call = FailedCall { started_at, failed_at, timed_out: failure == ReadFailure::TimedOut };
        let spread = self.fleet.random().random::<f64>();
        if self.policy.record_store_failure(self.role, self.view.state(), call, spread) {
            self.send(FleetUpdate::StoreUnreachable { detail: format!("{failure:?}") });
        }
    }

    /// Sends the changes of a view that was complete at `confirmed` with them.
    fn publish(&self, changed: &[MetadataItem], grace: &RecordGrace, confirmed: Timestamp) {
        for update in changed.iter().filter_map(|item| self.store.interpret(item, grace)) {
            self.send(update);
        }
        self.send(FleetUpdate::RecordsConfirmed(confirmed));
    }

    fn send(&self, update: FleetUpdate) {
        // The receiver is dropped only at shutdown.
        let _ = self.updates.send(update);
    }
}

fn as_duration(span: Millis) -> Duration {
    Duration::from_millis(span.0)
}
