//! The experiment world: the virtual clock, the event queue, the nodes and the network between them.
//!
//! Owns the state of one run. Relies on `callers` and `engines` for the two sides that the nodes communicate with.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stallmoor_core::identity::{AttemptId, CallerId, NodeId};
use stallmoor_core::node::{
    CallerAnswer, Clock, Effect, EngineRequest, Event, KeyValueOperation, KeyValueOutcome, Node, NodeSettings,
    PersistedNode,
};
use stallmoor_core::peer_message::PeerMessage;
use stallmoor_core::time::{Timestamp, UnixMillis};

use super::ExperimentOptions;
use super::callers::{CallPurpose, OnlineProbe};
use super::engines::{EngineSlot, StreamOwner};
use super::measure::RunMetrics;
use super::profile::Profile;
use super::workload::{WARM_UP_US, Workload};
use crate::event_queue::EventQueue;

/// Interval between two ticks of a node.
const TICK_INTERVAL_US: u64 = 25_000;
/// Interval between two samples of the nodes' load estimates.
const SAMPLE_INTERVAL_US: u64 = 50_000;
const WALL_CLOCK_START_MS: u64 = 1_700_000_000_000;
const MONOTONIC_START_MS: u64 = 3_600_000;

/// An event on the virtual clock.
#[derive(Debug)]
pub(super) enum WorldEvent {
    Tick(usize),
    Node { node: usize, event: Box<Event> },
    Engine(usize),
    EngineRequest { request: Box<EngineRequest>, node: usize },
    EngineCancel(AttemptId),
    Answer { caller: CallerId, answer: Box<CallerAnswer> },
    Online(usize),
    Job(usize),
    Apply,
    Sample,
}

/// State of one run.
pub(super) struct World<'a> {
    pub(super) profile: Profile,
    pub(super) headroom: f64,
    pub(super) workload: &'a Workload,
    pub(super) now_us: u64,
    pub(super) queue: EventQueue<WorldEvent>,
    pub(super) random: Xoshiro256PlusPlus,
    pub(super) nodes: Vec<Node>,
    pub(super) node_addresses: BTreeMap<SocketAddr, usize>,
    pub(super) engines: Vec<EngineSlot>,
    pub(super) engine_addresses: BTreeMap<SocketAddr, usize>,
    pub(super) streams: BTreeMap<AttemptId, StreamOwner>,
    pub(super) key_value: BTreeMap<String, (u64, Arc<str>)>,
    pub(super) calls: BTreeMap<CallerId, CallPurpose>,
    pub(super) next_caller: u64,
    pub(super) probes: Vec<OnlineProbe>,
    /// Number of batch items submitted and not completed.
    pub(super) backlog: u64,
    /// Number of batch items running or queued at engines.
    pub(super) batch_at_engines: u64,
    /// Whether some batch items are not at any engine.
    pub(super) has_waiting_batch: bool,
    /// Deadlines of batch items by prompt, in microseconds.
    pub(super) deadlines: BTreeMap<String, u64>,
    pub(super) metrics: RunMetrics,
}

impl<'a> World<'a> {
    /// Creates a world with all arrivals scheduled.
    pub(super) fn new(options: &ExperimentOptions, workload: &'a Workload) -> Self {
        let profile = options.profile;
        let mut world = Self {
            profile,
            headroom: options.headroom.unwrap_or(profile.headroom()),
            workload,
            now_us: 0,
            queue: EventQueue::default(),
            random: Xoshiro256PlusPlus::seed_from_u64(options.seed),
            nodes: Vec::new(),
            node_addresses: BTreeMap::new(),
            engines: Vec::new(),
            engine_addresses: BTreeMap::new(),
            streams: BTreeMap::new(),
            key_value: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_caller: 1,
            probes: vec![OnlineProbe::default(); workload.online.len()],
            backlog: 0,
            batch_at_engines: 0,
            has_waiting_batch: false,
            deadlines: BTreeMap::new(),
            metrics: RunMetrics::default(),
        };
        world.add_engines();
        world.add_nodes();
        world.schedule_arrivals();
        world
    }

    fn add_nodes(&mut self) {
        let address_of = |index: usize| SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, index as u8 + 1)), 7_100);
        for index in 0..self.profile.zones() {
            let id = NodeId(index as u64 + 1);
            let zone = format!("zone-{index}");
            let mut settings = NodeSettings::new(id, &zone, address_of(index), address_of(index));
            settings.seeds = vec![address_of(0)];
            settings.stores = true;
            let seed = self.random.random();
            let node = Node::new(settings, PersistedNode::default(), self.clock(), seed);
            self.node_addresses.insert(address_of(index), index);
            self.nodes.push(node);
            self.schedule(index as u64 * 1_000, WorldEvent::Tick(index));
        }
    }

    fn schedule_arrivals(&mut self) {
        self.schedule(500_000, WorldEvent::Apply);
        for index in 0..self.workload.online.len() {
            self.schedule(self.workload.online[index].at_us, WorldEvent::Online(index));
        }
        for index in 0..self.workload.jobs.len() {
            self.schedule(self.workload.jobs[index].at_us, WorldEvent::Job(index));
        }
        self.schedule(WARM_UP_US, WorldEvent::Sample);
    }

    /// Runs until the end of the arrivals and returns the metrics.
    pub(super) fn run(mut self) -> RunMetrics {
        let end_us = self.workload.end_us;
        while let Some((at_us, event)) = self.queue.pop() {
            if at_us > end_us {
                break;
            }
            self.now_us = at_us;
            self.handle_event(event);
        }
        self.now_us = end_us;
        for engine in 0..self.engines.len() {
            self.count_slot_time(engine);
        }
        self.metrics.behind_batch = self.engines.iter().map(|engine| engine.emulator.online_behind_batch).sum();
        self.metrics.paused = self.nodes.iter().map(|node| node.status().counters.batch_paused).sum();
        self.metrics.load_us = end_us - WARM_UP_US;
        self.metrics
    }

    pub(super) fn schedule(&mut self, after_us: u64, event: WorldEvent) {
        self.queue.push(self.now_us + after_us, event);
    }

    pub(super) fn clock(&self) -> Clock {
        let millis = self.now_us / 1_000;
        Clock {
            now: Timestamp::from_millis(MONOTONIC_START_MS + millis),
            wall_time: UnixMillis(WALL_CLOCK_START_MS + millis),
        }
    }

    fn handle_event(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Tick(node) => {
                self.deliver(node, Event::Tick);
                self.schedule(TICK_INTERVAL_US, WorldEvent::Tick(node));
            }
            WorldEvent::Node { node, event } => self.deliver(node, *event),
            WorldEvent::Engine(engine) => self.wake_engine(engine),
            WorldEvent::EngineRequest { request, node } => self.submit(*request, node),
            WorldEvent::EngineCancel(attempt) => self.cancel(attempt),
            WorldEvent::Answer { caller, answer } => self.on_answer(caller, *answer),
            WorldEvent::Online(index) => self.send_online(index),
            WorldEvent::Job(index) => self.submit_job(index),
            WorldEvent::Apply => self.apply_configuration(),
            WorldEvent::Sample => {
                self.sample_load();
                self.schedule(SAMPLE_INTERVAL_US, WorldEvent::Sample);
            }
        }
    }

    fn deliver(&mut self, node: usize, event: Event) {
        let clock = self.clock();
        let effects = self.nodes[node].handle(event, clock);
        for effect in effects {
            self.execute(node, effect);
        }
    }

    fn execute(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send_peer(node, to, message),
            Effect::KeyValue { call, operation } => {
                let outcome = self.call_key_value(operation);
                let event = Box::new(Event::KeyValue { call, outcome });
                self.schedule(3_000, WorldEvent::Node { node, event });
            }
            Effect::PollEngine { engine, address, cache_from } => self.poll(node, engine, address, cache_from),
            Effect::StartStream(request) => {
                let latency = self.engine_latency(node, request.address);
                self.schedule(latency, WorldEvent::EngineRequest { request: Box::new(request), node });
            }
            Effect::CancelStream { attempt } => {
                let latency = self.streams.get(&attempt).map_or(0, |stream| {
                    let address = self.engines[stream.engine].address;
                    self.engine_latency(node, address)
                });
                self.schedule(latency, WorldEvent::EngineCancel(attempt));
            }
            Effect::Answer { caller, answer } => {
                let latency = self.profile.caller_latency_us();
                self.schedule(latency, WorldEvent::Answer { caller, answer: Box::new(answer) });
            }
            _ => {}
        }
    }

    fn send_peer(&mut self, from: usize, to: SocketAddr, message: PeerMessage) {
        let Some(target) = self.node_addresses.get(&to).copied() else { return };
        let latency = if from == target { 0 } else { self.profile.zone_latency_us() };
        self.schedule(latency, WorldEvent::Node { node: target, event: Box::new(Event::Peer(message)) });
    }

    fn call_key_value(&mut self, operation: KeyValueOperation) -> KeyValueOutcome {
        match operation {
            KeyValueOperation::Get { key } => match self.key_value.get(&key) {
                Some((version, value)) => KeyValueOutcome::Value { version: *version, value: value.clone() },
                None => KeyValueOutcome::NotFound,
            },
            KeyValueOperation::CompareAndSwap { key, expected, value } => {
                let current = self.key_value.get(&key).map_or(0, |(version, _)| *version);
                if current != expected {
                    return KeyValueOutcome::VersionMismatch;
                }
                self.key_value.insert(key, (current + 1, Arc::from(value)));
                KeyValueOutcome::Written
            }
        }
    }
}
