//! Maintains the control lease and sends orders to engines under it.

use std::collections::BTreeMap;

use super::effect::{Effect, EngineOrder, KeyValueOperation};
use super::event::{KeyValueOutcome, OrderOutcome};
use super::key_value_flow::KeyValuePurpose;
use super::machine::Node;
use crate::identity::EngineName;
use crate::log_event::LogEvent;
use crate::node::control::{
    ControlLease, EnginePlacement, LEASE_KEY, LeaseAnswer, LeaseRecord, LeaseStep, ModelOrder, plan_placement,
};
use crate::time::{Millis, Timestamp};

/// Number of nodes that may acquire the lease.
const CONTROL_CANDIDATES: usize = 3;
/// Interval between placement runs.
const PLACEMENT_INTERVAL: Millis = Millis(2_000);
/// Maximum number of concurrent model loads, to protect the weight store.
const MAX_CONCURRENT_LOADS: usize = 2;
/// Time after which an unanswered order may be sent again.
const ORDER_TIMEOUT: Millis = Millis(60_000);
/// Interval at which the lease holder polls all engines, in addition to polls by other nodes.
const CONTROL_POLL_INTERVAL: Millis = Millis(10_000);

/// The lease and the pending orders of a node.
pub(super) struct ControlState {
    lease: ControlLease,
    next_placement: Timestamp,
    next_poll: Timestamp,
    /// Pending orders and the times at which they were sent.
    orders: BTreeMap<EngineName, Timestamp>,
    last_epoch: Option<u64>,
}

impl ControlState {
    pub(super) fn new(node: crate::identity::NodeId, now: Timestamp) -> Self {
        Self {
            lease: ControlLease::new(node, now),
            next_placement: now,
            next_poll: now,
            orders: BTreeMap::new(),
            last_epoch: None,
        }
    }
}

impl Node {
    /// Returns the control epoch under which this node may act at `now`.
    pub fn control_epoch(&self, now: Timestamp) -> Option<u64> {
        self.control.lease.active_epoch(now)
    }

    pub(super) fn tick_control(&mut self) {
        let now = self.clock.now;
        let may_hold = self.stopping.is_none() && self.has_duty("control", CONTROL_CANDIDATES);
        if let Some(step) = self.control.lease.tick(may_hold, now) {
            self.execute_lease_step(step);
        }
        self.update_lease_state();
        let Some(_) = self.control_epoch(now) else { return };
        if now >= self.control.next_poll {
            self.control.next_poll = now + CONTROL_POLL_INTERVAL;
            self.poll_all_engines();
        }
        if now >= self.control.next_placement {
            self.control.next_placement = now + PLACEMENT_INTERVAL;
            self.place_models();
        }
    }

    fn update_lease_state(&mut self) {
        let held_epoch = self.control_epoch(self.clock.now);
        if held_epoch == self.control.last_epoch {
            return;
        }
        self.control.last_epoch = held_epoch;
        match held_epoch {
            Some(epoch) => self.log(LogEvent::ControlTaken, format!("epoch {epoch}")),
            None => {
                self.control.orders.clear();
                self.log(LogEvent::ControlLost, self.settings.id.to_string());
            }
        }
    }

    fn execute_lease_step(&mut self, step: LeaseStep) {
        let operation = match step {
            LeaseStep::Read => KeyValueOperation::Get { key: LEASE_KEY.to_owned() },
            LeaseStep::Write { expected, record } => {
                let Ok(value) = serde_json::to_string(&record) else { return };
                KeyValueOperation::CompareAndSwap { key: LEASE_KEY.to_owned(), expected, value }
            }
        };
        self.call_key_value(KeyValuePurpose::Lease, operation);
    }

    pub(super) fn on_lease_answer(&mut self, outcome: KeyValueOutcome) {
        let answer = match outcome {
            KeyValueOutcome::Value { version, value } => match serde_json::from_str::<LeaseRecord>(&value) {
                Ok(record) => LeaseAnswer::Record(Some((version, record))),
                Err(_) => LeaseAnswer::NoAnswer,
            },
            KeyValueOutcome::NotFound => LeaseAnswer::Record(None),
            KeyValueOutcome::Written => LeaseAnswer::Written,
            KeyValueOutcome::VersionMismatch => LeaseAnswer::VersionMismatch,
            KeyValueOutcome::NoAnswer => LeaseAnswer::NoAnswer,
        };
        let now = self.clock.now;
        if let Some(step) = self.control.lease.on_answer(answer, now) {
            self.execute_lease_step(step);
        }
        self.update_lease_state();
    }

    /// Sends the next placement orders. The lease is checked immediately before, and engines reject stale epochs.
    fn place_models(&mut self) {
        let now = self.clock.now;
        let Some(fleet) = self.fleet() else { return };
        let Some(epoch) = self.control_epoch(now) else { return };
        self.control.orders.retain(|_, sent_at| now.since(*sent_at) < ORDER_TIMEOUT);
        let reported = self.engines.iter().filter(|(_, state)| state.is_usable(now));
        let placements: Vec<EnginePlacement> = reported
            .filter_map(|(name, state)| {
                let (_, report) = state.report.as_ref()?;
                let is_busy = self.control.orders.contains_key(name);
                Some(EnginePlacement { engine: name.clone(), loaded: report.loaded.clone(), is_busy })
            })
            .collect();
        for (engine, order) in plan_placement(&fleet, &placements, MAX_CONCURRENT_LOADS) {
            self.send_order(engine, epoch, order);
        }
    }

    fn send_order(&mut self, engine: EngineName, epoch: u64, order: ModelOrder) {
        let Some(address) = self.engines.get(&engine).map(|state| state.configured.address) else { return };
        self.control.orders.insert(engine.clone(), self.clock.now);
        self.log(LogEvent::OrderGiven, format!("{engine}: {order:?} under epoch {epoch}"));
        self.effects.push(Effect::Order(EngineOrder { engine, address, epoch, order }));
    }

    pub(super) fn on_ordered(&mut self, engine: &EngineName, outcome: OrderOutcome) {
        self.control.orders.remove(engine);
        match outcome {
            OrderOutcome::Done { loaded } => self.engines.record_loaded_models(engine, loaded),
            OrderOutcome::Fenced => {
                self.log(LogEvent::OrderFenced, format!("{engine} has seen a later epoch"));
            }
            OrderOutcome::NoAnswer => {}
        }
    }
}
