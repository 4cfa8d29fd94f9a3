//! Executes the effects that a node's decision code emits: disk writes, messages, calls, streams and answers.
//!
//! Owns no state. Keeps the order of a real node: state is persisted before any message is sent, and a crash may
//! occur on either side of the write.

use std::net::SocketAddr;

use stallmoor_core::identity::AttemptId;
use stallmoor_core::node::{Effect, Event, StreamEvent};
use stallmoor_core::peer_message::PeerMessage;

use super::events::SimEvent;
use super::nodes::CrashPoint;
use super::oracle;
use super::world::World;

impl World {
    pub(super) fn execute(&mut self, slot: usize, effects: Vec<Effect>) {
        let writes = effects.iter().any(|effect| matches!(effect, Effect::Persist { .. }));
        let crash = if writes { self.slots[slot].crash.take() } else { None };
        if crash == Some(CrashPoint::BeforeWrite) {
            self.kill_and_restart(slot);
            return;
        }
        for effect in &effects {
            self.persist(slot, effect);
        }
        if crash == Some(CrashPoint::AfterWrite) {
            self.kill_and_restart(slot);
            return;
        }
        for effect in effects {
            self.execute_one(slot, effect);
        }
        self.check_revision(slot);
    }

    fn persist(&mut self, slot: usize, effect: &Effect) {
        let disk = &mut self.slots[slot].disk;
        match effect {
            Effect::Persist { group, write } => disk.groups.entry(*group).or_default().write(write),
            Effect::PersistConfiguration(active) => {
                disk.configuration = Some((active.manifest.clone(), active.contents.clone()));
            }
            _ => {}
        }
    }

    fn execute_one(&mut self, slot: usize, effect: Effect) {
        let process = self.slots[slot].process;
        match effect {
            Effect::Persist { .. } | Effect::PersistConfiguration(_) => {}
            Effect::Send { to, message } => self.send(slot, to, message),
            Effect::KeyValue { call, operation } => {
                let (outcome, delay) = self.key_value.call(&operation, self.now_ms, &mut self.random);
                let event = Box::new(Event::KeyValue { call, outcome });
                self.schedule(delay, SimEvent::Node { slot, process: Some(process), event });
            }
            Effect::ReadMachines => {
                let event = Box::new(Event::Machines(self.machines.read(self.now_ms)));
                self.schedule(5, SimEvent::Node { slot, process: Some(process), event });
            }
            Effect::PollEngine { engine, address, .. } => self.poll_engine(slot, process, &engine, address),
            Effect::Order(order) => self.order_engine(slot, process, order),
            Effect::StartStream(request) => {
                self.schedule(1, SimEvent::EngineRequest { request: Box::new(request), slot, process });
            }
            Effect::CancelStream { attempt } => self.schedule(1, SimEvent::EngineCancel { attempt }),
            Effect::Answer { caller, answer } => {
                self.schedule(2, SimEvent::Answer { caller, answer: Some(Box::new(answer)) });
            }
            Effect::Log { event, detail } => {
                self.trace_event(|| format!("node {slot} E{:03} {event:?}: {detail}", event.number()));
            }
            Effect::Exit => self.exit_node(slot),
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: PeerMessage) {
        let Some(target) = self.slots_by_address.get(&to).copied() else { return };
        let ends = ((from, self.slots[from].zone), (target, self.slots[target].zone));
        let deliveries = self.network.route(ends.0, ends.1, &mut self.random);
        for delay in deliveries {
            self.schedule(delay, SimEvent::Message { to, message: Box::new(message.clone()) });
        }
    }

    /// Delivers a stream event to the node that requested the stream.
    pub fn stream_event(&mut self, after_ms: u64, slot: usize, process: u64, attempt: AttemptId, event: StreamEvent) {
        let event = Box::new(Event::Stream { attempt, event });
        self.schedule(after_ms, SimEvent::Node { slot, process: Some(process), event });
    }

    pub(super) fn check_revision(&mut self, slot: usize) {
        let now_ms = self.now_ms;
        let target = &mut self.slots[slot];
        let Some(node) = &target.node else { return };
        let revision = node.configuration_revision();
        let highest = target.highest_revision;
        if revision != highest {
            target.highest_revision = highest.max(revision);
            self.oracle.check(oracle::REVISION_NEVER_DECREASES, revision > highest, now_ms, || {
                format!("node {slot} went from revision {highest} to {revision}")
            });
            self.record_revision(slot, revision);
        }
    }
}
