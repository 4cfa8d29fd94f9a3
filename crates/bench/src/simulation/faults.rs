//! Fault injection: kinds of faults, when they occur and how long they last.

use std::collections::BTreeMap;

use rand::Rng;
use stallmoor_core::identity::GroupId;

use super::engines::{ENGINE_COUNT, EngineImpairments};
use super::events::SimEvent;
use super::network::NetworkImpairment;
use super::nodes::{CrashPoint, ZONE_COUNT};
use super::platform::{DEFAULT_LAG_MS, KeyValueImpairments};
use super::world::World;

/// Mean interval between two faults.
const MEAN_INTERVAL_MS: u64 = 6_000;
/// Interval between two checks of the fleet's health after the faults have ended.
const HEALTH_CHECK_INTERVAL_MS: u64 = 500;

/// State of fault injection.
#[derive(Default)]
pub struct FaultPlan {
    /// Number of faults injected, by kind.
    pub counts: BTreeMap<&'static str, u64>,
    /// Last time at which a partition or network impairment began or ended.
    pub disturbed_ms: u64,
    /// Time from the start of the fault-free period until all groups were fully replicated, in milliseconds.
    pub recovery_ms: u64,
    is_healthy: bool,
}

/// A fault that ends after a scheduled duration.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A partition between two nodes, in one or both directions.
    Links {
        /// Slot of one node.
        from: usize,
        /// Slot of the other node.
        to: usize,
    },
    /// A zone is partitioned from the others.
    Zone(usize),
    /// The network loses, duplicates and delays messages.
    NetworkImpairment,
    /// The key-value service is impaired.
    KeyValue,
    /// An engine is impaired.
    Engine(usize),
    /// The machine list is delayed.
    MachineList,
}

impl World {
    /// Injects the next fault or, in the fault-free period, checks the fleet's health.
    pub fn next_fault(&mut self) {
        if self.is_fault_free() {
            self.check_health();
            return;
        }
        let gap = self.random.random_range(1..=2 * MEAN_INTERVAL_MS);
        self.schedule(gap, SimEvent::NextFault);
        self.inject();
        // Sometimes injects two faults at the same time.
        if self.random.random_bool(0.25) {
            self.inject();
        }
    }

    fn inject(&mut self) {
        match self.random.random_range(0..22) {
            0 | 1 => self.kill(),
            2 => self.crash_in_write(),
            3 | 4 => self.pause(),
            5 => self.lose_disk(),
            6 => self.replace_node(),
            7 | 8 => self.stop_gracefully(),
            9 | 10 => self.partition_links(),
            11 => self.partition_zone(),
            12 => self.impair_network(),
            13..=15 => self.impair_key_value(),
            16 => self.crash_engine(),
            17 => self.drain_engine(),
            18 => self.freeze_engine(),
            19 => self.impair_engine(),
            20 => self.impair_clock_or_machine_list(),
            _ => {
                self.record_fault("retry_storm");
                self.storm();
            }
        }
    }

    fn record_fault(&mut self, kind: &'static str) {
        *self.faults.counts.entry(kind).or_default() += 1;
        self.trace_event(|| format!("fault: {kind}"));
    }

    /// Draws a duration that ends before the fault-free period begins.
    fn draw_duration(&mut self, shortest: u64, longest: u64) -> u64 {
        let left = self.fault_free_from_ms().saturating_sub(self.now_ms);
        self.random.random_range(shortest..=longest).min(left.max(1))
    }

    // Nodes.

    fn kill(&mut self) {
        let slot = self.random_node();
        self.record_fault("kill");
        self.kill_node(slot);
        let back = self.draw_duration(500, 20_000);
        self.schedule(back, SimEvent::Start { slot });
    }

    fn crash_in_write(&mut self) {
        let slot = self.random_node();
        self.record_fault("crash_in_write");
        let after = self.random.random_bool(0.5);
        self.slots[slot].crash = Some(if after { CrashPoint::AfterWrite } else { CrashPoint::BeforeWrite });
    }

    fn pause(&mut self) {
        let slot = self.random_node();
        self.record_fault("pause");
        self.slots[slot].paused = true;
        self.slots[slot].disturbed_ms = self.now_ms;
        let span = self.draw_duration(300, 15_000);
        self.schedule(span, SimEvent::Resume { slot });
    }

    fn lose_disk(&mut self) {
        let slot = self.random_node();
        if self.slots[slot].stores && self.may_lose_disk() {
            self.record_fault("disk_lost");
            self.lose_disk_of(slot);
        }
    }

    fn lose_disk_of(&mut self, slot: usize) {
        self.kill_node(slot);
        self.wipe_disk(slot);
        let back = self.draw_duration(500, 10_000);
        self.schedule(back, SimEvent::Start { slot });
    }

    /// Sometimes wipes the leader's disk right after a write was acknowledged.
    pub fn on_acknowledged_write(&mut self, group: GroupId) {
        if self.is_fault_free() || !self.random.random_bool(0.06) || !self.may_lose_disk() {
            return;
        }
        let leads = |world: &World, slot: usize| {
            let node = world.slots[slot].node.as_ref();
            node.is_some_and(|node| node.status().groups.iter().any(|status| status.group == group.0 && status.leads))
        };
        let leader = (0..self.slots.len()).find(|slot| leads(self, *slot));
        if let Some(slot) = leader {
            self.record_fault("disk_lost_after_acknowledgement");
            self.lose_disk_of(slot);
        }
    }

    /// Sometimes takes the key-value service down right after a change was accepted, and crashes the node that
    /// accepted it.
    pub fn on_accepted_change(&mut self, slot: usize) {
        if self.is_fault_free() || !self.random.random_bool(0.15) {
            return;
        }
        self.record_fault("key_value_down_after_apply");
        self.key_value.impairments = KeyValueImpairments { down: true, ..KeyValueImpairments::default() };
        let span = self.draw_duration(20_000, 90_000);
        self.schedule(span, SimEvent::EndFault(Fault::KeyValue));
        if self.random.random_bool(0.5) {
            self.record_fault("accepting_node_dies");
            self.kill_node(slot);
            let back = self.draw_duration(5_000, 60_000);
            self.schedule(back, SimEvent::Start { slot });
        }
    }

    /// Allows a disk loss only while every group is fully replicated, as three replicas tolerate one lost disk.
    fn may_lose_disk(&self) -> bool {
        self.groups_are_fully_replicated()
    }

    fn groups_are_fully_replicated(&self) -> bool {
        let mut replicated: BTreeMap<u32, bool> = BTreeMap::new();
        let identities: Vec<String> = self
            .slots
            .iter()
            .filter(|slot| slot.node.is_some() && !slot.paused)
            .map(|slot| slot.identity.to_string())
            .collect();
        for status in self.slots.iter().filter_map(|slot| slot.node.as_ref()).map(|node| node.status()) {
            for group in status.groups {
                let alive = group.voters.iter().all(|voter| identities.contains(voter));
                let is_complete = group.leads && group.caught_up && group.voters.len() == 3 && alive;
                *replicated.entry(group.group).or_default() |= is_complete;
            }
        }
        !replicated.is_empty() && replicated.values().all(|replicated| *replicated)
    }

    /// Retires a node permanently and starts a replacement at a new address.
    fn replace_node(&mut self) {
        let slot = self.random_node();
        let is_storage_node = self.slots[slot].stores;
        if is_storage_node && !self.may_lose_disk() {
            return;
        }
        self.record_fault("replace_node");
        self.kill_node(slot);
        self.slots[slot].retired = true;
        let zone = self.slots[slot].zone;
        let successor = self.add_slot(zone, is_storage_node);
        let after = self.draw_duration(500, 10_000);
        self.schedule(after, SimEvent::Start { slot: successor });
    }

    fn stop_gracefully(&mut self) {
        let is_stopping = self.slots.iter().any(|slot| slot.node.is_some() && slot.stopping);
        let slot = self.random_node();
        if is_stopping || self.slots[slot].paused {
            return;
        }
        self.record_fault("planned_stop");
        self.slots[slot].stopping = true;
        let event = Box::new(stallmoor_core::node::Event::Stop);
        self.schedule(1, SimEvent::Node { slot, process: None, event });
    }

    // The network.

    fn partition_links(&mut self) {
        let from = self.random_node();
        let to = self.random_node();
        self.faults.disturbed_ms = self.now_ms;
        self.network.partitioned_links.insert((from, to));
        if self.random.random_bool(0.5) {
            self.record_fault("cut_link");
            self.network.partitioned_links.insert((to, from));
        } else {
            self.record_fault("cut_one_way");
        }
        let span = self.draw_duration(1_000, 30_000);
        self.schedule(span, SimEvent::EndFault(Fault::Links { from, to }));
    }

    fn partition_zone(&mut self) {
        self.record_fault("cut_zone");
        self.faults.disturbed_ms = self.now_ms;
        let zone = self.random.random_range(0..ZONE_COUNT);
        self.network.partitioned_zones.insert(zone);
        let span = self.draw_duration(1_000, 20_000);
        self.schedule(span, SimEvent::EndFault(Fault::Zone(zone)));
    }

    fn impair_network(&mut self) {
        self.record_fault("network_noise");
        self.faults.disturbed_ms = self.now_ms;
        let lost = self.random.random_range(0.0..0.2);
        let duplicated = self.random.random_range(0.0..0.2);
        let delay_ms = self.random.random_range(0..400);
        self.network.impairment = NetworkImpairment { lost, duplicated, delay_ms };
        let span = self.draw_duration(3_000, 30_000);
        self.schedule(span, SimEvent::EndFault(Fault::NetworkImpairment));
    }

    // The platform.

    fn impair_key_value(&mut self) {
        let mut impairments = KeyValueImpairments::default();
        match self.random.random_range(0..4) {
            0 => {
                self.record_fault("key_value_down");
                impairments.down = true;
            }
            1 => {
                self.record_fault("key_value_slow");
                impairments.slow_ms = 4_000;
            }
            2 => {
                self.record_fault("key_value_answers_lost");
                impairments.lost_answers = 0.6;
            }
            _ => {
                self.record_fault("key_value_stale");
                impairments.stale = 0.5;
            }
        }
        self.key_value.impairments = impairments;
        let span = self.draw_duration(5_000, 120_000);
        self.schedule(span, SimEvent::EndFault(Fault::KeyValue));
    }

    fn impair_clock_or_machine_list(&mut self) {
        if self.random.random_bool(0.5) {
            self.record_fault("clock_jump");
            let slot = self.random_node();
            self.slots[slot].skew_ms = self.random.random_range(-3_600_000..3_600_000);
            return;
        }
        self.record_fault("machine_list_late");
        self.machines.lag_ms = self.random.random_range(2_000..8_000);
        let span = self.draw_duration(10_000, 40_000);
        self.schedule(span, SimEvent::EndFault(Fault::MachineList));
    }

    // Engines.

    fn random_engine(&mut self) -> usize {
        self.random.random_range(0..ENGINE_COUNT)
    }

    fn crash_engine(&mut self) {
        self.record_fault("engine_dies");
        let engine = self.random_engine();
        self.kill_engine(engine);
        let back = self.draw_duration(1_000, 20_000);
        self.schedule(back, SimEvent::EngineStart { engine });
    }

    fn drain_engine(&mut self) {
        let engine = self.random_engine();
        if !self.engines[engine].is_up {
            return;
        }
        self.record_fault("engine_leaves");
        self.begin_leaving(engine);
        let back = self.draw_duration(12_000, 40_000);
        self.schedule(back, SimEvent::EngineStart { engine });
    }

    fn freeze_engine(&mut self) {
        self.record_fault("engine_freezes");
        let engine = self.random_engine();
        let span = self.draw_duration(1_000, 25_000);
        self.engines[engine].frozen_until_ms = self.now_ms + span;
        self.schedule(span, SimEvent::EngineThaw { engine });
    }

    fn impair_engine(&mut self) {
        self.record_fault("engine_answers_badly");
        let engine = self.random_engine();
        self.engines[engine].impairments = EngineImpairments {
            truncated: self.random.random_range(0.0..0.2),
            duplicated: self.random.random_range(0.0..0.3),
            crossed: self.random.random_range(0.0..0.3),
            gaps: self.random.random_range(0.0..0.1),
            late_ms: self.random.random_range(0..2_000),
        };
        let span = self.draw_duration(5_000, 40_000);
        self.schedule(span, SimEvent::EndFault(Fault::Engine(engine)));
    }

    /// Ends a fault and restores the affected model.
    pub fn end_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Links { from, to } => {
                self.network.partitioned_links.remove(&(from, to));
                self.network.partitioned_links.remove(&(to, from));
                self.faults.disturbed_ms = self.now_ms;
            }
            Fault::Zone(zone) => {
                self.network.partitioned_zones.remove(&zone);
                self.faults.disturbed_ms = self.now_ms;
            }
            Fault::NetworkImpairment => {
                self.network.impairment = NetworkImpairment::default();
                self.faults.disturbed_ms = self.now_ms;
            }
            Fault::KeyValue => self.key_value.impairments = KeyValueImpairments::default(),
            Fault::Engine(engine) => self.engines[engine].impairments = EngineImpairments::default(),
            Fault::MachineList => self.machines.lag_ms = DEFAULT_LAG_MS,
        }
    }

    /// Records the time from the start of the fault-free period until all groups are fully replicated.
    fn check_health(&mut self) {
        if self.faults.is_healthy {
            return;
        }
        if self.groups_are_fully_replicated() {
            self.faults.is_healthy = true;
            self.faults.recovery_ms = self.now_ms - self.fault_free_from_ms();
        }
        self.schedule(HEALTH_CHECK_INTERVAL_MS, SimEvent::NextFault);
    }
}
