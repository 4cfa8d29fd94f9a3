//! Node processes: starts and crashes, disks, pauses and clocks.
//!
//! Owns [`NodeSlot`]: a node's process, if it is running, and the state that outlives it. Relies on `effects` to
//! execute the effects that a node emits.

use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use rand::Rng;
use stallmoor_core::identity::{CallerId, NodeId};
use stallmoor_core::node::{Clock, Event, Node, NodeSettings, PersistedNode};
use stallmoor_core::time::{Millis, Timestamp, UnixMillis};

use super::events::SimEvent;
use super::oracle;
use super::world::{TICK_INTERVAL_MS, World};

/// Wall-clock time at the start of a run.
const WALL_CLOCK_START_MS: u64 = 1_700_000_000_000;
/// Monotonic clock reading of a node at each of its starts.
const MONOTONIC_START_MS: u64 = 3_600_000;
/// Number of zones.
pub const ZONE_COUNT: usize = 3;
/// Maximum number of events buffered for a paused node.
const MAX_PAUSED_EVENTS: usize = 5_000;

/// Point within the next write at which a node is to crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// Before the write.
    BeforeWrite,
    /// After the write, before any message is sent.
    AfterWrite,
}

/// A slot that holds at most one node process at a time.
pub struct NodeSlot {
    /// The node, if it is running.
    pub node: Option<Node>,
    /// Process number, incremented at each start.
    pub process: u64,
    /// Contents of the node's disk.
    pub disk: PersistedNode,
    /// Node identity stored on the disk.
    pub identity: NodeId,
    /// Whether this is a storage node.
    pub stores: bool,
    /// Index of the node's zone.
    pub zone: usize,
    /// Address of the node.
    pub address: SocketAddr,
    /// Whether the node has been removed permanently.
    pub retired: bool,
    /// Whether the node is paused.
    pub paused: bool,
    /// Whether a graceful shutdown has been requested.
    pub stopping: bool,
    /// Point at which the node crashes in its next write, if any.
    pub crash: Option<CrashPoint>,
    /// Last time the node was paused, partitioned or started.
    pub disturbed_ms: u64,
    buffered: VecDeque<Event>,
    started_ms: u64,
    /// Offset of the node's wall clock, in milliseconds.
    pub skew_ms: i64,
    /// Highest revision seen in force since the disk was last wiped.
    pub highest_revision: u64,
}

impl World {
    /// Adds a slot with a new address and an empty disk.
    pub fn add_slot(&mut self, zone: usize, stores: bool) -> usize {
        let slot = self.slots.len();
        let number = self.next_address;
        self.next_address += 1;
        let ip = IpAddr::V4(Ipv4Addr::new(10, 0, (number >> 8) as u8, number as u8));
        let address = SocketAddr::new(ip, 7_100);
        self.slots_by_address.insert(address, slot);
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
            buffered: VecDeque::new(),
            started_ms: 0,
            skew_ms: 0,
            highest_revision: 0,
        });
        slot
    }

    /// Returns a running node selected at random.
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
        target.buffered.clear();
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
        self.trace_event(|| format!("node {slot} started, process {process}"));
        self.check_revision(slot);
        self.schedule(self.queue.count() % TICK_INTERVAL_MS, SimEvent::Tick { slot, process });
    }

    /// Kills a node's process immediately. Its disk is preserved.
    pub fn kill_node(&mut self, slot: usize) {
        if self.slots[slot].node.take().is_none() {
            return;
        }
        self.trace_event(|| format!("node {slot} killed"));
        self.slots[slot].paused = false;
        let process = self.slots[slot].process;
        self.drop_streams_of(slot, process);
        let lost: Vec<CallerId> =
            self.calls.iter().filter(|(_, owner)| owner.slot == slot).map(|(caller, _)| *caller).collect();
        for caller in lost {
            self.schedule(2, SimEvent::Answer { caller, answer: None });
        }
    }

    /// Erases a node's disk; the node has a new identity at its next start.
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
        self.trace_event(|| format!("node {slot} resumed"));
        let buffered = std::mem::take(&mut self.slots[slot].buffered);
        for event in buffered {
            self.deliver(slot, event);
        }
    }

    /// Delivers an event to a node and executes the resulting effects.
    pub fn deliver(&mut self, slot: usize, event: Event) {
        let now_ms = self.now_ms;
        let target = &mut self.slots[slot];
        if target.paused {
            if target.buffered.len() < MAX_PAUSED_EVENTS {
                target.buffered.push_back(event);
            }
            return;
        }
        let clock = clock_of(target, now_ms);
        let Some(node) = &mut target.node else { return };
        let effects = node.handle(event, clock);
        self.execute(slot, effects);
    }

    /// Kills a node's process and schedules a restart.
    pub(super) fn kill_and_restart(&mut self, slot: usize) {
        self.kill_node(slot);
        let back = self.random.random_range(500..=8_000);
        self.schedule(back, SimEvent::Start { slot });
    }

    /// Returns another running node that currently believes it holds the control lease.
    pub fn other_control_holder(&self, slot: usize) -> Option<usize> {
        (0..self.slots.len()).filter(|other| *other != slot && !self.slots[*other].paused).find(|other| {
            let other = &self.slots[*other];
            let now = clock_of(other, self.now_ms).now;
            other.node.as_ref().is_some_and(|node| node.control_epoch(now).is_some())
        })
    }

    /// Handles the end of a graceful shutdown and checks that no caller is left waiting.
    pub(super) fn exit_node(&mut self, slot: usize) {
        let pending: Vec<CallerId> =
            self.calls.iter().filter(|(_, owner)| owner.slot == slot).map(|(caller, _)| *caller).collect();
        // Answers in flight are still delivered; a caller with none in flight was interrupted.
        let waiting = pending.iter().filter(|caller| !self.has_answer_in_flight(**caller)).count();
        let now_ms = self.now_ms;
        self.oracle.check(oracle::PLANNED_STOP_INTERRUPTS_NOTHING, waiting == 0, now_ms, || {
            format!("node {slot} stopped with {waiting} requests in progress")
        });
        self.kill_and_restart(slot);
    }
}

/// Returns the name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

fn clock_of(slot: &NodeSlot, now_ms: u64) -> Clock {
    let monotonic = MONOTONIC_START_MS + now_ms - slot.started_ms;
    let wall_time = (WALL_CLOCK_START_MS + now_ms).saturating_add_signed(slot.skew_ms);
    Clock { now: Timestamp::from_millis(monotonic), wall_time: UnixMillis(wall_time) }
}
