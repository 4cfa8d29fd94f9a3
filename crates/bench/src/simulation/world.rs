//! The world: the queue of events, the clock, and carrying out the nodes' effects.

use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stallmoor_core::identity::{AttemptId, CallerId, NodeId};
use stallmoor_core::node::{
    CallerAnswer, CallerCall, Clock, Effect, Event, Node, NodeSettings, PersistedNode, StreamEvent,
};
use stallmoor_core::peer_message::PeerMessage;
use stallmoor_core::time::{Millis, Timestamp, UnixMillis};

use super::callers::CallerModel;
use super::engines::EngineModel;
use super::faults::{Fault, FaultPlan};
use super::jobs::JobModel;
use super::network::Network;
use super::operators::OperatorModel;
use super::oracle::{self, Oracle};
use super::platform::{KeyValueModel, MachineModel, USUAL_LAG_MS};
use super::report::{LivenessTally, SimulationReport};
use crate::event_queue::EventQueue;

/// Time between two ticks of a node, in milliseconds.
const TICK_MS: u64 = 50;
/// How long before its end a run is free of failures, in milliseconds.
const QUIET_MS: u64 = 150_000;
/// The civil time at the start of a run.
const CIVIL_START_MS: u64 = 1_700_000_000_000;
/// A node's monotonic clock starts here at each start of the node.
const MONOTONIC_START_MS: u64 = 3_600_000;
/// Trace lines kept.
const TRACE_LINES: usize = 400_000;
/// Zones.
pub const ZONES: usize = 3;
/// Events that a paused node's buffers hold.
const PAUSED_EVENTS: usize = 5_000;

/// What to run.
#[derive(Clone, Copy, Debug)]
pub struct SimulationOptions {
    /// Decides everything.
    pub seed: u64,
    /// Nodes.
    pub nodes: usize,
    /// Minutes to simulate.
    pub minutes: u64,
    /// Keep a trace.
    pub trace: bool,
}

/// Something that happens at a time.
#[derive(Debug)]
pub enum SimEvent {
    /// A node's clock ticks.
    Tick {
        /// The node.
        slot: usize,
        /// The start of the node that this is for.
        process: u64,
    },
    /// An event arrives at a node.
    Node {
        /// The node.
        slot: usize,
        /// The start of the node that this is for; `None` for whoever is there.
        process: Option<u64>,
        /// The event.
        event: Box<Event>,
    },
    /// A message arrives at an address.
    Message {
        /// The address.
        to: SocketAddr,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// A node starts.
    Start {
        /// The node.
        slot: usize,
    },
    /// A paused node goes on.
    Resume {
        /// The node.
        slot: usize,
    },
    /// An answer arrives at a caller; `None` means that the connection broke.
    Answer {
        /// The caller.
        caller: CallerId,
        /// The answer.
        answer: Option<Box<CallerAnswer>>,
    },
    /// A stream at an engine makes a step.
    EngineStep {
        /// The engine.
        engine: usize,
        /// The stream.
        attempt: AttemptId,
    },
    /// A request arrives at an engine.
    EngineRequest {
        /// The request.
        request: Box<stallmoor_core::node::EngineRequest>,
        /// Who sent it.
        slot: usize,
        /// The start of the sender.
        process: u64,
    },
    /// An order arrives at an engine.
    EngineOrder {
        /// The order.
        order: Box<stallmoor_core::node::EngineOrder>,
        /// Who gave it.
        slot: usize,
        /// The start of the giver.
        process: u64,
    },
    /// A cancellation arrives at an engine.
    EngineCancel {
        /// The stream.
        attempt: AttemptId,
    },
    /// An engine comes back.
    EngineStart {
        /// The engine.
        engine: usize,
    },
    /// An engine thaws.
    EngineThaw {
        /// The engine.
        engine: usize,
    },
    /// Callers do something.
    CallerStep,
    /// A caller tries again.
    CallerRetry {
        /// Which.
        request: usize,
    },
    /// A job's submitter does something.
    JobStep {
        /// Which.
        job: usize,
    },
    /// A new job is submitted.
    NewJob,
    /// An operator does something.
    OperatorStep,
    /// The next failure.
    NextFault,
    /// A failure ends.
    EndFault(Fault),
}

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

/// The world.
pub struct World {
    /// What is run.
    pub options: SimulationOptions,
    /// Now.
    pub now_ms: u64,
    queue: EventQueue<SimEvent>,
    /// Decides everything that is not a node's own.
    pub random: Xoshiro256PlusPlus,
    /// Nodes.
    pub slots: Vec<NodeSlot>,
    by_address: BTreeMap<SocketAddr, usize>,
    /// The network.
    pub network: Network,
    /// The key-value service.
    pub key_value: KeyValueModel,
    /// The machine list.
    pub machines: MachineModel,
    /// Engines.
    pub engines: Vec<EngineModel>,
    /// Online callers.
    pub callers: CallerModel,
    /// Batch submitters.
    pub jobs: JobModel,
    /// Operators.
    pub operators: OperatorModel,
    /// What breaks.
    pub faults: FaultPlan,
    /// The invariants.
    pub oracle: Oracle,
    /// Who waits at which node.
    pub calls: BTreeMap<CallerId, CallOwner>,
    next_caller: u64,
    next_address: u16,
    /// What callers did, by kind.
    pub operations: BTreeMap<&'static str, u64>,
    trace: VecDeque<String>,
}

/// Who made a call, and where.
#[derive(Clone, Copy, Debug)]
pub struct CallOwner {
    /// The node.
    pub slot: usize,
    /// What the call is for.
    pub purpose: CallPurpose,
}

/// What a call is for.
#[derive(Clone, Copy, Debug)]
pub enum CallPurpose {
    /// An online request.
    Online(usize),
    /// A job's submission.
    Submit(usize),
    /// A submission of other content under a job's key.
    Conflicting(usize),
    /// A job's status.
    Status(usize),
    /// A page of a job's results.
    Results(usize),
    /// Some of a job's results, out of order.
    Peek(usize),
    /// A job's cancellation.
    Cancel(usize),
    /// An operator's change.
    Apply(usize),
}

/// Runs one seed.
pub fn simulate(options: SimulationOptions) -> SimulationReport {
    let mut world = World::new(options);
    world.run();
    world.report()
}

impl World {
    fn new(options: SimulationOptions) -> Self {
        let mut world = Self {
            options,
            now_ms: 0,
            queue: EventQueue::default(),
            random: Xoshiro256PlusPlus::seed_from_u64(options.seed),
            slots: Vec::new(),
            by_address: BTreeMap::new(),
            network: Network::default(),
            key_value: KeyValueModel::default(),
            machines: MachineModel::new(USUAL_LAG_MS),
            engines: Vec::new(),
            callers: CallerModel::default(),
            jobs: JobModel::default(),
            operators: OperatorModel::default(),
            faults: FaultPlan::default(),
            oracle: Oracle::new(),
            calls: BTreeMap::new(),
            next_caller: 1,
            next_address: 1,
            operations: BTreeMap::new(),
            trace: VecDeque::new(),
        };
        const MOST_STORES: usize = 5;
        let stores = options.nodes.saturating_sub(1).clamp(1, MOST_STORES);
        for place in 0..options.nodes {
            world.add_slot(place % ZONES, place < stores);
        }
        world.add_engines();
        for slot in 0..world.slots.len() {
            world.schedule(slot as u64 * 7, SimEvent::Start { slot });
        }
        world.schedule(500, SimEvent::OperatorStep);
        world.schedule(4_000, SimEvent::CallerStep);
        world.schedule(4_500, SimEvent::NewJob);
        world.schedule(8_000, SimEvent::NextFault);
        world
    }

    /// The end of the run.
    pub fn end_ms(&self) -> u64 {
        self.options.minutes * 60_000
    }

    /// From here on nothing breaks any more.
    pub fn quiet_from_ms(&self) -> u64 {
        self.end_ms().saturating_sub(QUIET_MS)
    }

    /// Whether failures are over.
    pub fn is_quiet(&self) -> bool {
        self.now_ms >= self.quiet_from_ms()
    }

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

    /// Schedules something `after_ms` from now.
    pub fn schedule(&mut self, after_ms: u64, event: SimEvent) {
        self.queue.push(self.now_ms + after_ms, event);
    }

    /// Adds a line to the trace.
    pub fn note(&mut self, line: impl FnOnce() -> String) {
        if self.options.trace {
            if self.trace.len() >= TRACE_LINES {
                self.trace.pop_front();
            }
            let line = format!("{:>8} {}", self.now_ms, line());
            self.trace.push_back(line);
        }
    }

    /// Counts something that a caller did.
    pub fn count(&mut self, operation: &'static str) {
        *self.operations.entry(operation).or_default() += 1;
    }

    fn run(&mut self) {
        let end = self.end_ms();
        while let Some((at_ms, event)) = self.queue.pop() {
            if at_ms > end {
                break;
            }
            self.now_ms = at_ms;
            self.happen(event);
        }
        self.now_ms = end;
        self.check_at_end();
    }

    fn happen(&mut self, event: SimEvent) {
        match event {
            SimEvent::Tick { slot, process } => {
                if self.slots[slot].process == process && self.slots[slot].node.is_some() {
                    if !self.slots[slot].paused {
                        self.feed(slot, Event::Tick);
                    }
                    self.schedule(TICK_MS, SimEvent::Tick { slot, process });
                }
            }
            SimEvent::Node { slot, process, event } => {
                if process.is_none_or(|process| process == self.slots[slot].process) {
                    self.feed(slot, *event);
                }
            }
            SimEvent::Message { to, message } => {
                if let Some(slot) = self.by_address.get(&to).copied() {
                    self.feed(slot, Event::Peer(*message));
                }
            }
            SimEvent::Start { slot } => self.start_node(slot),
            SimEvent::Resume { slot } => self.resume_node(slot),
            SimEvent::Answer { caller, answer } => self.on_answer(caller, answer.map(|answer| *answer)),
            SimEvent::EngineStep { engine, attempt } => self.step_engine(engine, attempt),
            SimEvent::EngineRequest { request, slot, process } => self.offer_to_engine(*request, slot, process),
            SimEvent::EngineOrder { order, slot, process } => self.carry_out_order(&order, slot, process),
            SimEvent::EngineCancel { attempt } => self.cancel_at_engine(attempt),
            SimEvent::EngineStart { engine } => self.start_engine(engine),
            SimEvent::EngineThaw { engine } => self.thaw_engine(engine),
            SimEvent::CallerStep => self.step_callers(),
            SimEvent::CallerRetry { request } => self.send_online(request),
            SimEvent::JobStep { job } => self.step_job(job),
            SimEvent::NewJob => self.new_job(),
            SimEvent::OperatorStep => self.step_operators(),
            SimEvent::NextFault => self.next_fault(),
            SimEvent::EndFault(fault) => self.end_fault(fault),
        }
    }

    // Nodes.

    fn start_node(&mut self, slot: usize) {
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

    fn resume_node(&mut self, slot: usize) {
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

    fn carry_out(&mut self, slot: usize, effects: Vec<Effect>) {
        let writes = effects.iter().any(|effect| matches!(effect, Effect::Persist { .. }));
        let crash = if writes { self.slots[slot].crash.take() } else { None };
        if crash == Some(CrashPoint::BeforeWrite) {
            self.crash_node(slot);
            return;
        }
        for effect in &effects {
            self.persist(slot, effect);
        }
        if crash == Some(CrashPoint::AfterWrite) {
            self.crash_node(slot);
            return;
        }
        for effect in effects {
            self.carry_out_one(slot, effect);
        }
        self.check_revision(slot);
    }

    /// A node dies in the middle of a write and comes back a little later.
    fn crash_node(&mut self, slot: usize) {
        self.kill_node(slot);
        let back = self.random.random_range(500..=8_000);
        self.schedule(back, SimEvent::Start { slot });
    }

    fn persist(&mut self, slot: usize, effect: &Effect) {
        let disk = &mut self.slots[slot].disk;
        match effect {
            Effect::Persist { group, write } => disk.groups.entry(*group).or_default().write(write),
            Effect::PersistConfiguration(in_force) => {
                disk.configuration = Some((in_force.manifest.clone(), in_force.contents.clone()));
            }
            _ => {}
        }
    }

    fn carry_out_one(&mut self, slot: usize, effect: Effect) {
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
                self.note(|| format!("node {slot} E{:03} {event:?}: {detail}", event.number()));
            }
            Effect::Exit => self.exit_node(slot),
        }
    }

    /// Whether any node but one believes to hold the control lease now.
    pub fn other_control_holder(&self, slot: usize) -> Option<usize> {
        (0..self.slots.len()).filter(|other| *other != slot && !self.slots[*other].paused).find(|other| {
            let other = &self.slots[*other];
            let now = clock_of(other, self.now_ms).now;
            other.node.as_ref().is_some_and(|node| node.control_epoch(now).is_some())
        })
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: PeerMessage) {
        let Some(target) = self.by_address.get(&to).copied() else { return };
        let ends = ((from, self.slots[from].zone), (target, self.slots[target].zone));
        let deliveries = self.network.route(ends.0, ends.1, &mut self.random);
        for delay in deliveries {
            self.schedule(delay, SimEvent::Message { to, message: Box::new(message.clone()) });
        }
    }

    /// A node has stopped by plan: nobody may be left waiting at it.
    fn exit_node(&mut self, slot: usize) {
        let in_hand: Vec<CallerId> =
            self.calls.iter().filter(|(_, owner)| owner.slot == slot).map(|(caller, _)| *caller).collect();
        // Answers already on their way arrive; whoever has none on its way was cut.
        let waiting = in_hand.iter().filter(|caller| !self.has_answer_on_its_way(**caller)).count();
        let now_ms = self.now_ms;
        self.oracle.check(oracle::PLANNED_STOP_CUTS_NOTHING, waiting == 0, now_ms, || {
            format!("node {slot} stopped with {waiting} requests in hand")
        });
        self.kill_node(slot);
        let back = self.random.random_range(500..=8_000);
        self.schedule(back, SimEvent::Start { slot });
    }

    fn has_answer_on_its_way(&self, caller: CallerId) -> bool {
        self.queue.events().any(|event| match event {
            SimEvent::Answer { caller: to, answer: Some(answer) } => *to == caller && answer.is_final(),
            SimEvent::Node { event, .. } => matches!(&**event, Event::Call { caller: by, .. } if *by == caller),
            _ => false,
        })
    }

    fn check_revision(&mut self, slot: usize) {
        let now_ms = self.now_ms;
        let target = &mut self.slots[slot];
        let Some(node) = &target.node else { return };
        let revision = node.configuration_revision();
        let highest = target.highest_revision;
        if revision != highest {
            target.highest_revision = highest.max(revision);
            self.oracle.check(oracle::CONFIGURATION_NEVER_REVERTS, revision > highest, now_ms, || {
                format!("node {slot} went from revision {highest} to {revision}")
            });
            self.note_revision(slot, revision);
        }
    }

    // Calls.

    /// Makes a call at a node.
    pub fn call(&mut self, slot: usize, purpose: CallPurpose, call: CallerCall) -> CallerId {
        let caller = CallerId(self.next_caller);
        self.next_caller += 1;
        self.calls.insert(caller, CallOwner { slot, purpose });
        let is_up = self.slots[slot].node.is_some();
        if is_up {
            let process = Some(self.slots[slot].process);
            let event = Box::new(Event::Call { caller, call });
            self.schedule(2, SimEvent::Node { slot, process, event });
        } else {
            self.schedule(2, SimEvent::Answer { caller, answer: None });
        }
        caller
    }

    /// A caller hangs up.
    pub fn hang_up(&mut self, caller: CallerId) {
        if let Some(owner) = self.calls.remove(&caller) {
            let event = Box::new(Event::CallerGone(caller));
            self.schedule(2, SimEvent::Node { slot: owner.slot, process: None, event });
        }
    }

    /// A node that runs, at random.
    pub fn random_node(&mut self) -> usize {
        let up: Vec<usize> = (0..self.slots.len()).filter(|slot| self.slots[*slot].node.is_some()).collect();
        if up.is_empty() {
            return 0;
        }
        up[self.random.random_range(0..up.len())]
    }

    fn on_answer(&mut self, caller: CallerId, answer: Option<CallerAnswer>) {
        let Some(owner) = self.calls.get(&caller).copied() else { return };
        if answer.as_ref().is_none_or(CallerAnswer::is_final) {
            self.calls.remove(&caller);
        }
        if let Some(CallerAnswer::Refused(refusal)) = &answer {
            let table = refusal.kind.answer();
            let says_when = table.retry_after_ms.is_none() || refusal.retry_after_ms.is_some();
            let now_ms = self.now_ms;
            self.oracle.check(oracle::REFUSAL_SAYS_WHEN, says_when, now_ms, || refusal.kind.code().to_owned());
        }
        match owner.purpose {
            CallPurpose::Online(request) => self.on_online_answer(request, caller, answer),
            CallPurpose::Submit(job) => self.on_submitted(job, answer),
            CallPurpose::Conflicting(job) => self.on_conflicting(job, answer),
            CallPurpose::Status(job) => self.on_job_status(job, answer),
            CallPurpose::Results(job) => self.on_job_results(job, answer),
            CallPurpose::Peek(job) => self.on_peeked(job, answer),
            CallPurpose::Cancel(job) => self.on_cancelled(job, answer),
            CallPurpose::Apply(change) => self.on_applied(change, answer),
        }
    }

    /// A piece of a stream arrives at the node that asked for it.
    pub fn stream_event(&mut self, after_ms: u64, slot: usize, process: u64, attempt: AttemptId, event: StreamEvent) {
        let event = Box::new(Event::Stream { attempt, event });
        self.schedule(after_ms, SimEvent::Node { slot, process: Some(process), event });
    }

    // The end.

    fn check_at_end(&mut self) {
        self.check_jobs_at_end();
        self.check_callers_at_end();
        self.check_operators_at_end();
    }

    fn report(self) -> SimulationReport {
        let mut liveness: BTreeMap<String, LivenessTally> = BTreeMap::new();
        let mut violations: Vec<String> = self.oracle.violations.clone();
        for (name, tally, details) in self.liveness() {
            liveness.insert(name.to_owned(), tally);
            violations.extend(details.into_iter().map(|detail| format!("end: {name}: {detail}")));
        }
        let seed = self.options.seed;
        SimulationReport {
            seeds: 1,
            simulated_minutes: self.options.minutes as f64,
            invariants: self.oracle.tallies.iter().map(|(name, tally)| ((*name).to_owned(), *tally)).collect(),
            faults: self.faults.counts.iter().map(|(name, count)| ((*name).to_owned(), *count)).collect(),
            liveness,
            operations: self.operations.iter().map(|(name, count)| ((*name).to_owned(), *count)).collect(),
            slowest_spread: (self.operators.worst_spread_ms, seed),
            violations: violations.into_iter().map(|violation| (seed, violation)).collect(),
            trace: self.trace.into_iter().collect(),
        }
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
