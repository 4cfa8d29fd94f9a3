//! Places where nodes run: their starts and ends, disks, pauses and clocks.
//!
//! Owns [`NodeSlot`]: a node's process, if it runs, and what outlives it. Relies on `effects` to carry out
//! what a node wants.

use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use rand::Rng;
use stallmoor_core::identity::{CallerId, NodeId};
use stallmoor_core::node::{Clock, Event, Node, NodeSettings, PersistedNode};
use stallmoor_core::time::{Millis, Timestamp, UnixMillis};

use super::events::SimEvent;
use super::oracle;
use super::world::{TICK_MS, World};

/// The civil time at the start of a run.
const CIVIL_START_MS: u64 = 1_700_000_000_000;
/// A node's monotonic clock starts here at each start of the node.
const MONOTONIC_START_MS: u64 = 3_600_000;
/// Zones.
pub const ZONES: usize = 3;
/// Events that a paused node's buffers hold.
const PAUSED_EVENTS: usize = 5_000;

/// When a node is to crash in the middle of its next write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// Before the write.
    BeforeWrite,
    /// After the write, before anything is said.
    AfterWrite,
}

/// A place where a node runs, or did.
pub struct NodeSlot {
    /// The node, if it runs.
    pub node: Option<Node>,
    /// Raised with each start.
    pub process: u64,
    /// What its disk holds.
    pub disk: PersistedNode,
    /// Its identity on disk.
    pub identity: NodeId,
    /// Whether it stores.
    pub stores: bool,
    /// Its zone.
    pub zone: usize,
    /// Its address.
    pub address: SocketAddr,
    /// It never comes back.
    pub retired: bool,
    /// It does nothing until it is resumed.
    pub paused: bool,
    /// It was told to stop.
    pub stopping: bool,
    /// It crashes in its next write.
    pub crash: Option<CrashPoint>,
    /// When it was last paused, cut off or started.
    pub disturbed_ms: u64,
    held: VecDeque<Event>,
    started_ms: u64,
    /// How far its civil clock is off, in milliseconds.
    pub skew_ms: i64,
    /// The highest revision seen in force, kept while the disk is.
    pub highest_revision: u64,
}

impl World {
    /// Adds a place for a node, at a new address and with a blank disk.
    pub fn add_slot(&mut self, zone: usize, stores: bool) -> usize {
        let slot = self.slots.len();
        let number = self.next_address;
        self.next_address += 1;
        let ip = IpAddr::V4(Ipv4Addr::new(10, 0, (number >> 8) as u8, number as u8));
        let address = SocketAddr::new(ip, 7_100);
        self.by_address.insert(address, slot);
        self.slots.push(NodeSlot {
            node: None,
            process: 0,
            disk: PersistedNode::default(),
            identity: NodeId(self.random.random::<u64>().max(1)),
            stores,
            zone,
            address,
            retired: false,
            paused: false,
            stopping: false,
            crash: None,
            disturbed_ms: self.now_ms,
            held: VecDeque::new(),
            started_ms: 0,
            skew_ms: 0,
            highest_revision: 0,
        });
        slot
    }

    /// A node that runs, at random.
    pub fn random_node(&mut self) -> usize {
        let up: Vec<usize> = (0..self.slots.len()).filter(|slot| self.slots[*slot].node.is_some()).collect();
        if up.is_empty() {
            return 0;
        }
        up[self.random.random_range(0..up.len())]
    }

    pub(super) fn start_node(&mut self, slot: usize) {
        let now_ms = self.now_ms;
        let seed = self.random.random();
        let seeds: Vec<SocketAddr> = self.slots.iter().take(4).map(|slot| slot.address).collect();
        let target = &mut self.slots[slot];
        if target.node.is_some() || target.retired {
            return;
        }
        if !target.stores {
            target.identity = NodeId(self.random.random::<u64>().max(1));
            target.highest_revision = 0;
        }
        target.process += 1;
        target.started_ms = now_ms;
        target.disturbed_ms = now_ms;
        target.paused = false;
        target.stopping = false;
        target.crash = None;
        target.held.clear();
        let mut settings = NodeSettings::new(target.identity, &zone_name(target.zone), target.address, target.address);
        settings.seeds = seeds;
        settings.stores = target.stores;
        settings.founding_stores = 3;
        settings.compact_bytes = 64 << 10;
        settings.stop_timeout = Millis(40_000);
        let clock = clock_of(target, now_ms);
        let node = Node::new(settings, target.disk.clone(), clock, seed);
        target.node = Some(node);
        let process = target.process;
        self.note(|| format!("node {slot} starts, process {process}"));
        self.check_revision(slot);
        self.schedule(self.queue.count() % TICK_MS, SimEvent::Tick { slot, process });
    }

    /// Ends a node's process at once. Its disk stays as it is.
    pub fn kill_node(&mut self, slot: usize) {
        if self.slots[slot].node.take().is_none() {
            return;
        }
        self.note(|| format!("node {slot} dies"));
        self.slots[slot].paused = false;
        let process = self.slots[slot].process;
        self.drop_streams_of(slot, process);
        let lost: Vec<CallerId> =
            self.calls.iter().filter(|(_, owner)| owner.slot == slot).map(|(caller, _)| *caller).collect();
        for caller in lost {
            self.schedule(2, SimEvent::Answer { caller, answer: None });
        }
    }

    /// Takes everything off a node's disk; the next start is a new identity.
    pub fn wipe_disk(&mut self, slot: usize) {
        let identity = NodeId(self.random.random::<u64>().max(1));
        let target = &mut self.slots[slot];
        target.disk = PersistedNode::default();
        target.identity = identity;
        target.highest_revision = 0;
    }

    pub(super) fn resume_node(&mut self, slot: usize) {
        if !self.slots[slot].paused {
            return;
        }
        self.slots[slot].paused = false;
        self.slots[slot].disturbed_ms = self.now_ms;
        self.note(|| format!("node {slot} wakes"));
        let held = std::mem::take(&mut self.slots[slot].held);
        for event in held {
            self.feed(slot, event);
        }
    }

    /// Gives an event to a node and carries out what it wants.
    pub fn feed(&mut self, slot: usize, event: Event) {
        let now_ms = self.now_ms;
        let target = &mut self.slots[slot];
        if target.paused {
            if target.held.len() < PAUSED_EVENTS {
                target.held.push_back(event);
            }
            return;
        }
        let clock = clock_of(target, now_ms);
        let Some(node) = &mut target.node else { return };
        let effects = node.handle(event, clock);
        self.carry_out(slot, effects);
    }

    /// Ends a node's process; it starts again a little later.
    pub(super) fn kill_and_restart(&mut self, slot: usize) {
        self.kill_node(slot);
        let back = self.random.random_range(500..=8_000);
        self.schedule(back, SimEvent::Start { slot });
    }

    /// Whether any node but one believes to hold the control lease now.
    pub fn other_control_holder(&self, slot: usize) -> Option<usize> {
        (0..self.slots.len()).filter(|other| *other != slot && !self.slots[*other].paused).find(|other| {
            let other = &self.slots[*other];
            let now = clock_of(other, self.now_ms).now;
            other.node.as_ref().is_some_and(|node| node.control_epoch(now).is_some())
        })
    }

    /// A node has stopped by plan: nobody may be left waiting at it.
    pub(super) fn exit_node(&mut self, slot: usize) {
        let in_hand: Vec<CallerId> =
            self.calls.iter().filter(|(_, owner)| owner.slot == slot).map(|(caller, _)| *caller).collect();
        // Answers already on their way arrive; whoever has none on its way was cut.
        let waiting = in_hand.iter().filter(|caller| !self.has_answer_on_its_way(**caller)).count();
        let now_ms = self.now_ms;
        self.oracle.check(oracle::PLANNED_STOP_CUTS_NOTHING, waiting == 0, now_ms, || {
            format!("node {slot} stopped with {waiting} requests in hand")
        });
        self.kill_and_restart(slot);
    }
}

/// The name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

fn clock_of(slot: &NodeSlot, now_ms: u64) -> Clock {
    let monotonic = MONOTONIC_START_MS + now_ms - slot.started_ms;
    let civil = (CIVIL_START_MS + now_ms).saturating_add_signed(slot.skew_ms);
    Clock { now: Timestamp::from_millis(monotonic), civil: UnixMillis(civil) }
}
