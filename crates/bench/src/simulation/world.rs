//! The world: the virtual clock, the queue of events, and one run from its start to its report.
//!
//! Owns every model and the only source of randomness outside the nodes. Relies on the other modules to say
//! what each event does; the same seed gives the same run.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use stallmoor_core::identity::CallerId;
use stallmoor_core::node::Event;

use super::callers::CallerModel;
use super::calls::CallOwner;
use super::engines::EngineModel;
use super::events::SimEvent;
use super::faults::FaultPlan;
use super::jobs::JobModel;
use super::network::Network;
use super::nodes::{NodeSlot, ZONES};
use super::operators::OperatorModel;
use super::oracle::Oracle;
use super::platform::{KeyValueModel, MachineModel, USUAL_LAG_MS};
use super::report::{LivenessTally, SimulationReport};
use crate::event_queue::EventQueue;

/// Time between two ticks of a node, in milliseconds.
pub(super) const TICK_MS: u64 = 50;
/// How long before its end a run is free of failures, in milliseconds.
const QUIET_MS: u64 = 150_000;
/// Trace lines kept.
const TRACE_LINES: usize = 400_000;

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

/// The world.
pub struct World {
    /// What is run.
    pub options: SimulationOptions,
    /// Now.
    pub now_ms: u64,
    pub(super) queue: EventQueue<SimEvent>,
    /// Decides everything that is not a node's own.
    pub random: Xoshiro256PlusPlus,
    /// Nodes.
    pub slots: Vec<NodeSlot>,
    pub(super) by_address: BTreeMap<SocketAddr, usize>,
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
    pub(super) next_caller: u64,
    pub(super) next_address: u16,
    /// What callers did, by kind.
    pub operations: BTreeMap<&'static str, u64>,
    trace: VecDeque<String>,
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
