//! Polls engines and the machine list, and disseminates engine departures.

use std::collections::BTreeMap;

use super::effect::Effect;
use super::event::MachineReport;
use super::machine::Node;
use crate::hashing::{hash_bytes, hash_parts, rendezvous};
use crate::identity::{EngineName, NodeId};
use crate::log_event::LogEvent;
use crate::node::routing::{CacheEventBatch, LeavingFact, LoadReport, PrefixIndex};
use crate::peer_message::PeerMessage;
use crate::time::{Millis, Timestamp};

/// Maximum number of engines in a small fleet.
const MAX_SMALL_FLEET_ENGINES: usize = 48;
/// Maximum number of engines polled by a node of a small fleet, besides those it is steward of.
const MAX_POLLED_IN_SMALL_FLEET: usize = 24;
/// The same limit in a large fleet, where polls would otherwise dominate a node's traffic.
const MAX_POLLED_IN_LARGE_FLEET: usize = 8;
/// Factor by which the poll interval is extended in a large fleet.
const LARGE_FLEET_INTERVAL_FACTOR: u64 = 2;
/// Number of nodes that read the machine list.
const MACHINE_LIST_READERS: usize = 3;
/// Number of nodes to which each node forwards a new fact.
const LEAVING_FANOUT: usize = 4;
/// Offset between the first polls of consecutive engines, which spreads a node's polls over the interval.
const POLL_STAGGER: Millis = Millis(37);
/// Interval at which all leaving facts are sent to one random node.
const LEAVING_SYNC_INTERVAL: Millis = Millis(5_000);

/// Schedule of engine and machine list polls, and the prefix index they maintain.
pub(super) struct EnginePolls {
    due: BTreeMap<EngineName, Timestamp>,
    next_machine_poll: Timestamp,
    next_leaving_sync: Timestamp,
    pub(super) prefix_index: PrefixIndex,
}

impl EnginePolls {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            due: BTreeMap::new(),
            next_machine_poll: now,
            next_leaving_sync: now + LEAVING_SYNC_INTERVAL,
            prefix_index: PrefixIndex::default(),
        }
    }
}

impl Node {
    pub(super) fn tick_engines(&mut self) {
        let now = self.clock.now;
        if now >= self.polls.next_machine_poll {
            self.polls.next_machine_poll = now + self.settings.machine_poll;
            if self.has_duty("machine-list", MACHINE_LIST_READERS) {
                self.effects.push(Effect::ReadMachines);
            }
            self.select_polled_engines();
        }
        if now >= self.polls.next_leaving_sync {
            self.polls.next_leaving_sync = now + LEAVING_SYNC_INTERVAL;
            let selected = self.membership.sample_present(1);
            for node in selected {
                self.send_leaving_facts(node);
            }
        }
        self.poll_due_engines();
    }

    fn is_large_fleet(&self) -> bool {
        self.engines.iter().count() > MAX_SMALL_FLEET_ENGINES
    }

    fn max_polled_engines(&self) -> usize {
        if self.is_large_fleet() { MAX_POLLED_IN_LARGE_FLEET } else { MAX_POLLED_IN_SMALL_FLEET }
    }

    fn poll_interval(&self) -> Millis {
        let factor = if self.is_large_fleet() { LARGE_FLEET_INTERVAL_FACTOR } else { 1 };
        Millis(self.settings.engine_poll.0 * factor)
    }

    /// Selects all engines of a fleet with few engines, otherwise a subset that differs between nodes, and
    /// always the engines that this node is steward of.
    fn select_polled_engines(&mut self) {
        let now = self.clock.now;
        let key = hash_parts(&[b"poll", &self.settings.id.0.to_le_bytes()]);
        let names = self.engines.iter().map(|(name, _)| name);
        let mut selected: Vec<EngineName> =
            rendezvous(key, names, |name| hash_bytes(name.0.as_bytes()), self.max_polled_engines())
                .into_iter()
                .cloned()
                .collect();
        selected.extend(self.stewards.keys().cloned());
        let previous = std::mem::take(&mut self.polls.due);
        for (index, engine) in selected.into_iter().enumerate() {
            let offset = Millis(index as u64 * POLL_STAGGER.0 % self.poll_interval().0.max(1));
            let due = previous.get(&engine).copied().unwrap_or(now + offset);
            self.polls.due.insert(engine, due);
        }
    }

    /// Sends one poll to each engine that is not polled regularly, for the holder of the control lease.
    pub(super) fn poll_all_engines(&mut self) {
        let polled: Vec<EngineName> = self.polls.due.keys().cloned().collect();
        let others = self.engines.iter().filter(|(name, _)| !polled.contains(name));
        let others: Vec<(EngineName, std::net::SocketAddr)> =
            others.map(|(name, state)| (name.clone(), state.configured.address)).collect();
        for (engine, address) in others {
            let cache_from = self.polls.prefix_index.next_event(&engine);
            self.effects.push(Effect::PollEngine { engine, address, cache_from });
        }
    }

    fn poll_due_engines(&mut self) {
        let now = self.clock.now;
        let due: Vec<EngineName> =
            self.polls.due.iter().filter(|(_, at)| now >= **at).map(|(engine, _)| engine.clone()).collect();
        for engine in due {
            self.polls.due.insert(engine.clone(), now + self.poll_interval());
            let Some(state) = self.engines.get(&engine) else { continue };
            let address = state.configured.address;
            let cache_from = self.polls.prefix_index.next_event(&engine);
            self.effects.push(Effect::PollEngine { engine, address, cache_from });
        }
    }

    pub(super) fn on_engine_load(
        &mut self,
        engine: &EngineName,
        report: Option<LoadReport>,
        cache: Option<&CacheEventBatch>,
    ) {
        let now = self.clock.now;
        let Some(report) = report else {
            self.record_engine_failure(engine);
            return;
        };
        let restarted = self.engines.get(engine).is_some_and(|state| state.incarnation < report.incarnation);
        if restarted {
            self.polls.prefix_index.forget(engine);
        }
        if let Some(batch) = cache {
            self.polls.prefix_index.record(engine, batch);
        }
        let new_fact = self.engines.record_report(engine, report, now);
        self.disseminate_leaving(new_fact.into_iter().collect());
    }

    pub(super) fn on_machines(&mut self, machines: &[MachineReport]) {
        let mut new_facts = Vec::new();
        for machine in machines {
            self.engines.record_incarnation(&machine.engine, machine.incarnation);
            if machine.leaving {
                let fact = LeavingFact { engine: machine.engine.clone(), incarnation: machine.incarnation };
                new_facts.extend(self.engines.record_leaving(&fact));
            }
        }
        self.disseminate_leaving(new_facts);
    }

    pub(super) fn on_engines_leaving(&mut self, facts: &[LeavingFact]) {
        let new_facts: Vec<LeavingFact> = facts.iter().filter_map(|fact| self.engines.record_leaving(fact)).collect();
        self.disseminate_leaving(new_facts);
    }

    pub(super) fn engine_refused_as_leaving(&mut self, engine: &EngineName) {
        let new_fact = self.engines.record_leaving_refusal(engine);
        self.disseminate_leaving(new_fact.into_iter().collect());
    }

    /// Forwards new facts to a few random nodes, each of which does the same.
    fn disseminate_leaving(&mut self, facts: Vec<LeavingFact>) {
        if facts.is_empty() {
            return;
        }
        for fact in &facts {
            self.log(LogEvent::EngineLeaving, format!("{} incarnation {}", fact.engine, fact.incarnation));
        }
        for node in self.membership.sample_present(LEAVING_FANOUT) {
            self.send(node, PeerMessage::EnginesLeaving(facts.clone()));
        }
        self.batch.is_dirty = true;
    }

    pub(super) fn send_leaving_facts(&mut self, node: NodeId) {
        let facts = self.engines.leaving_facts();
        if !facts.is_empty() {
            self.send(node, PeerMessage::EnginesLeaving(facts));
        }
    }

    pub(super) fn record_engine_failure(&mut self, engine: &EngineName) {
        if self.engines.record_failure(engine, self.clock.now) {
            self.log(LogEvent::EngineEjected, engine.to_string());
        }
    }
}
