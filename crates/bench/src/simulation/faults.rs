//! What breaks, when, and for how long.

use std::collections::BTreeMap;

use rand::Rng;
use stallmoor_core::identity::GroupId;

use super::engines::{ENGINES, EngineAilments};
use super::events::SimEvent;
use super::network::Noise;
use super::nodes::{CrashPoint, ZONES};
use super::platform::{KeyValueAilments, USUAL_LAG_MS};
use super::world::World;

/// The mean time between two failures, in milliseconds.
const MEAN_GAP_MS: u64 = 6_000;
/// Time between two looks at the fleet's health once failures are over, in milliseconds.
const HEALTH_MS: u64 = 500;

/// What breaks.
#[derive(Default)]
pub struct FaultPlan {
    /// Failures injected, by kind.
    pub counts: BTreeMap<&'static str, u64>,
    /// When the network last was cut or noisy.
    pub disturbed_ms: u64,
    /// How long after the last failure all groups were whole, in milliseconds.
    pub worst_healthy_ms: u64,
    is_healthy: bool,
}

/// A failure that ends by itself.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A cut of links, one way each.
    Links {
        /// One end.
        from: usize,
        /// The other.
        to: usize,
    },
    /// A cut of a zone.
    Zone(usize),
    /// A noisy network.
    Noise,
    /// Something ails the key-value service.
    KeyValue,
    /// Something ails an engine.
    Engine(usize),
    /// The machine list is late.
    MachineList,
}

impl World {
    /// The next failure, or once they are over a look at the fleet's health.
    pub fn next_fault(&mut self) {
        if self.is_quiet() {
            self.watch_health();
            return;
        }
        let gap = self.random.random_range(1..=2 * MEAN_GAP_MS);
        self.schedule(gap, SimEvent::NextFault);
        self.inject();
        // At times two things break together.
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
            7 | 8 => self.stop_by_plan(),
            9 | 10 => self.cut_links(),
            11 => self.cut_zone(),
            12 => self.make_noise(),
            13..=15 => self.ail_key_value(),
            16 => self.engine_dies(),
            17 => self.engine_leaves(),
            18 => self.engine_freezes(),
            19 => self.ail_engine(),
            20 => self.disturb_clock_or_list(),
            _ => {
                self.tally("retry_storm");
                self.storm();
            }
        }
    }

    fn tally(&mut self, kind: &'static str) {
        *self.faults.counts.entry(kind).or_default() += 1;
        self.note(|| format!("fault: {kind}"));
    }

    /// How long something lasts; it ends before the quiet begins.
    fn lasting(&mut self, shortest: u64, longest: u64) -> u64 {
        let left = self.quiet_from_ms().saturating_sub(self.now_ms);
        self.random.random_range(shortest..=longest).min(left.max(1))
    }

    // Nodes.

    fn kill(&mut self) {
        let slot = self.random_node();
        self.tally("kill");
        self.kill_node(slot);
        let back = self.lasting(500, 20_000);
        self.schedule(back, SimEvent::Start { slot });
    }

    fn crash_in_write(&mut self) {
        let slot = self.random_node();
        self.tally("crash_in_write");
        let after = self.random.random_bool(0.5);
        self.slots[slot].crash = Some(if after { CrashPoint::AfterWrite } else { CrashPoint::BeforeWrite });
    }

    fn pause(&mut self) {
        let slot = self.random_node();
        self.tally("pause");
        self.slots[slot].paused = true;
        self.slots[slot].disturbed_ms = self.now_ms;
        let span = self.lasting(300, 15_000);
        self.schedule(span, SimEvent::Resume { slot });
    }

    fn lose_disk(&mut self) {
        let slot = self.random_node();
        if self.slots[slot].stores && self.may_lose_disk() {
            self.tally("disk_lost");
            self.lose_disk_of(slot);
        }
    }

    fn lose_disk_of(&mut self, slot: usize) {
        self.kill_node(slot);
        self.wipe_disk(slot);
        let back = self.lasting(500, 10_000);
        self.schedule(back, SimEvent::Start { slot });
    }

    /// A write was acknowledged: at times its leader's disk is lost right after.
    pub fn on_acknowledged_write(&mut self, group: GroupId) {
        if self.is_quiet() || !self.random.random_bool(0.06) || !self.may_lose_disk() {
            return;
        }
        let leads = |world: &World, slot: usize| {
            let node = world.slots[slot].node.as_ref();
            node.is_some_and(|node| node.status().groups.iter().any(|status| status.group == group.0 && status.leads))
        };
        let leader = (0..self.slots.len()).find(|slot| leads(self, *slot));
        if let Some(slot) = leader {
            self.tally("disk_lost_after_acknowledgement");
            self.lose_disk_of(slot);
        }
    }

    /// A change was accepted: at times the key-value service goes down right after, and the node that
    /// accepted it dies.
    pub fn on_accepted_change(&mut self, slot: usize) {
        if self.is_quiet() || !self.random.random_bool(0.15) {
            return;
        }
        self.tally("key_value_down_after_apply");
        self.key_value.ailments = KeyValueAilments { down: true, ..KeyValueAilments::default() };
        let span = self.lasting(20_000, 90_000);
        self.schedule(span, SimEvent::EndFault(Fault::KeyValue));
        if self.random.random_bool(0.5) {
            self.tally("accepting_node_dies");
            self.kill_node(slot);
            let back = self.lasting(5_000, 60_000);
            self.schedule(back, SimEvent::Start { slot });
        }
    }

    /// Three copies bear the loss of one disk at a time: a second may go only once every group is whole.
    fn may_lose_disk(&self) -> bool {
        self.groups_are_whole()
    }

    fn groups_are_whole(&self) -> bool {
        let mut whole: BTreeMap<u32, bool> = BTreeMap::new();
        let identities: Vec<String> = self
            .slots
            .iter()
            .filter(|slot| slot.node.is_some() && !slot.paused)
            .map(|slot| slot.identity.to_string())
            .collect();
        for status in self.slots.iter().filter_map(|slot| slot.node.as_ref()).map(|node| node.status()) {
            for group in status.groups {
                let alive = group.voters.iter().all(|voter| identities.contains(voter));
                let is_whole = group.leads && group.caught_up && group.voters.len() == 3 && alive;
                *whole.entry(group.group).or_default() |= is_whole;
            }
        }
        !whole.is_empty() && whole.values().all(|whole| *whole)
    }

    /// A machine goes for good; another takes its place at another address.
    fn replace_node(&mut self) {
        let slot = self.random_node();
        let is_storing = self.slots[slot].stores;
        if is_storing && !self.may_lose_disk() {
            return;
        }
        self.tally("replace_node");
        self.kill_node(slot);
        self.slots[slot].retired = true;
        let zone = self.slots[slot].zone;
        let successor = self.add_slot(zone, is_storing);
        let after = self.lasting(500, 10_000);
        self.schedule(after, SimEvent::Start { slot: successor });
    }

    fn stop_by_plan(&mut self) {
        let is_stopping = self.slots.iter().any(|slot| slot.node.is_some() && slot.stopping);
        let slot = self.random_node();
        if is_stopping || self.slots[slot].paused {
            return;
        }
        self.tally("planned_stop");
        self.slots[slot].stopping = true;
        let event = Box::new(stallmoor_core::node::Event::Stop);
        self.schedule(1, SimEvent::Node { slot, process: None, event });
    }

    // The network.

    fn cut_links(&mut self) {
        let from = self.random_node();
        let to = self.random_node();
        self.faults.disturbed_ms = self.now_ms;
        self.network.cut_links.insert((from, to));
        if self.random.random_bool(0.5) {
            self.tally("cut_link");
            self.network.cut_links.insert((to, from));
        } else {
            self.tally("cut_one_way");
        }
        let span = self.lasting(1_000, 30_000);
        self.schedule(span, SimEvent::EndFault(Fault::Links { from, to }));
    }

    fn cut_zone(&mut self) {
        self.tally("cut_zone");
        self.faults.disturbed_ms = self.now_ms;
        let zone = self.random.random_range(0..ZONES);
        self.network.cut_zones.insert(zone);
        let span = self.lasting(1_000, 20_000);
        self.schedule(span, SimEvent::EndFault(Fault::Zone(zone)));
    }

    fn make_noise(&mut self) {
        self.tally("network_noise");
        self.faults.disturbed_ms = self.now_ms;
        let lost = self.random.random_range(0.0..0.2);
        let doubled = self.random.random_range(0.0..0.2);
        let delay_ms = self.random.random_range(0..400);
        self.network.noise = Noise { lost, doubled, delay_ms };
        let span = self.lasting(3_000, 30_000);
        self.schedule(span, SimEvent::EndFault(Fault::Noise));
    }

    // The platform.

    fn ail_key_value(&mut self) {
        let mut ailments = KeyValueAilments::default();
        match self.random.random_range(0..4) {
            0 => {
                self.tally("key_value_down");
                ailments.down = true;
            }
            1 => {
                self.tally("key_value_slow");
                ailments.slow_ms = 4_000;
            }
            2 => {
                self.tally("key_value_answers_lost");
                ailments.lost_answers = 0.6;
            }
            _ => {
                self.tally("key_value_stale");
                ailments.stale = 0.5;
            }
        }
        self.key_value.ailments = ailments;
        let span = self.lasting(5_000, 120_000);
        self.schedule(span, SimEvent::EndFault(Fault::KeyValue));
    }

    fn disturb_clock_or_list(&mut self) {
        if self.random.random_bool(0.5) {
            self.tally("clock_jump");
            let slot = self.random_node();
            self.slots[slot].skew_ms = self.random.random_range(-3_600_000..3_600_000);
            return;
        }
        self.tally("machine_list_late");
        self.machines.lag_ms = self.random.random_range(2_000..8_000);
        let span = self.lasting(10_000, 40_000);
        self.schedule(span, SimEvent::EndFault(Fault::MachineList));
    }

    // Engines.

    fn random_engine(&mut self) -> usize {
        self.random.random_range(0..ENGINES)
    }

    fn engine_dies(&mut self) {
        self.tally("engine_dies");
        let engine = self.random_engine();
        self.kill_engine(engine);
        let back = self.lasting(1_000, 20_000);
        self.schedule(back, SimEvent::EngineStart { engine });
    }

    fn engine_leaves(&mut self) {
        let engine = self.random_engine();
        if !self.engines[engine].is_up {
            return;
        }
        self.tally("engine_leaves");
        self.begin_leaving(engine);
        let back = self.lasting(12_000, 40_000);
        self.schedule(back, SimEvent::EngineStart { engine });
    }

    fn engine_freezes(&mut self) {
        self.tally("engine_freezes");
        let engine = self.random_engine();
        let span = self.lasting(1_000, 25_000);
        self.engines[engine].frozen_until_ms = self.now_ms + span;
        self.schedule(span, SimEvent::EngineThaw { engine });
    }

    fn ail_engine(&mut self) {
        self.tally("engine_answers_badly");
        let engine = self.random_engine();
        self.engines[engine].ailments = EngineAilments {
            truncated: self.random.random_range(0.0..0.2),
            doubled: self.random.random_range(0.0..0.3),
            crossed: self.random.random_range(0.0..0.3),
            gaps: self.random.random_range(0.0..0.1),
            late_ms: self.random.random_range(0..2_000),
        };
        let span = self.lasting(5_000, 40_000);
        self.schedule(span, SimEvent::EndFault(Fault::Engine(engine)));
    }

    /// A failure ends.
    pub fn end_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Links { from, to } => {
                self.network.cut_links.remove(&(from, to));
                self.network.cut_links.remove(&(to, from));
                self.faults.disturbed_ms = self.now_ms;
            }
            Fault::Zone(zone) => {
                self.network.cut_zones.remove(&zone);
                self.faults.disturbed_ms = self.now_ms;
            }
            Fault::Noise => {
                self.network.noise = Noise::default();
                self.faults.disturbed_ms = self.now_ms;
            }
            Fault::KeyValue => self.key_value.ailments = KeyValueAilments::default(),
            Fault::Engine(engine) => self.engines[engine].ailments = EngineAilments::default(),
            Fault::MachineList => self.machines.lag_ms = USUAL_LAG_MS,
        }
    }

    /// Notes how long the fleet takes to be whole again after the last failure.
    fn watch_health(&mut self) {
        if self.faults.is_healthy {
            return;
        }
        if self.groups_are_whole() {
            self.faults.is_healthy = true;
            self.faults.worst_healthy_ms = self.now_ms - self.quiet_from_ms();
        }
        self.schedule(HEALTH_MS, SimEvent::NextFault);
    }
}
