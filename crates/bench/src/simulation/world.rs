//! The simulation world: the virtual clock, the event queue, and one run from start to report.
//!
//! Owns every model and the only source of randomness outside the nodes. The other modules implement the
//! handling of each event. The same seed produces the same run.

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
use super::nodes::{NodeSlot, ZONE_COUNT};
use super::operators::OperatorModel;
use super::oracle::Oracle;
use super::platform::{DEFAULT_LAG_MS, KeyValueModel, MachineModel};
use super::report::{LivenessTally, SimulationReport};
use crate::event_queue::EventQueue;

/// Interval between two ticks of a node.
pub(super) const TICK_INTERVAL_MS: u64 = 50;
/// Length of the fault-free period at the end of a run.
const FAULT_FREE_MS: u64 = 150_000;
/// Maximum number of trace lines retained.
const MAX_TRACE_LINES: usize = 400_000;

/// Options of a simulation run.
#[derive(Clone, Copy, Debug)]
pub struct SimulationOptions {
    /// Seed of the random generator, which determines the whole run.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Length of the run, in simulated minutes.
    pub minutes: u64,
    /// Whether to record a trace.
    pub trace: bool,
}

/// State of one run.
pub struct World {
    /// Options of this run.
    pub options: SimulationOptions,
    /// Current virtual time.
    pub now_ms: u64,
    pub(super) queue: EventQueue<SimEvent>,
    /// Source of all randomness outside the nodes.
    pub random: Xoshiro256PlusPlus,
    /// Node slots, indexed by slot number.
    pub slots: Vec<NodeSlot>,
    pub(super) slots_by_address: BTreeMap<SocketAddr, usize>,
    /// Network model.
    pub network: Network,
    /// Key-value service model.
    pub key_value: KeyValueModel,
    /// Machine list model.
    pub machines: MachineModel,
    /// Engine models.
    pub engines: Vec<EngineModel>,
    /// Online caller model.
    pub callers: CallerModel,
    /// Batch submitter model.
    pub jobs: JobModel,
    /// Operator model.
    pub operators: OperatorModel,
    /// Fault injection state.
    pub faults: FaultPlan,
    /// Invariant checks and violations.
    pub oracle: Oracle,
    /// Pending calls by caller.
    pub calls: BTreeMap<CallerId, CallOwner>,
    pub(super) next_caller: u64,
    pub(super) next_address: u16,
    /// Caller operations by kind.
    pub operations: BTreeMap<&'static str, u64>,
    trace: VecDeque<String>,
}

/// Runs the simulation for one seed.
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
            slots_by_address: BTreeMap::new(),
            network: Network::default(),
            key_value: KeyValueModel::default(),
            machines: MachineModel::new(DEFAULT_LAG_MS),
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
        const MAX_STORAGE_NODES: usize = 5;
        let stores = options.nodes.saturating_sub(1).clamp(1, MAX_STORAGE_NODES);
        for index in 0..options.nodes {
            world.add_slot(index % ZONE_COUNT, index < stores);
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

    /// Virtual time at which the run ends.
    pub fn end_ms(&self) -> u64 {
        self.options.minutes * 60_000
    }

    /// Virtual time after which no faults are injected.
    pub fn fault_free_from_ms(&self) -> u64 {
        self.end_ms().saturating_sub(FAULT_FREE_MS)
    }

    /// Whether the fault-free period has begun.
    pub fn is_fault_free(&self) -> bool {
        self.now_ms >= self.fault_free_from_ms()
    }

    /// Schedules an event `after_ms` from now.
    pub fn schedule(&mut self, after_ms: u64, event: SimEvent) {
        self.queue.push(self.now_ms + after_ms, event);
    }

    /// Appends a line to the trace if tracing is enabled.
    pub fn trace_event(&mut self, line: impl FnOnce() -> String) {
        if self.options.trace {
            if self.trace.len() >= MAX_TRACE_LINES {
                self.trace.pop_front();
            }
            let line = format!("{:>8} {}", self.now_ms, line());
            self.trace.push_back(line);
        }
    }

    /// Increments the count of a caller operation.
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
            self.handle_event(event);
        }
        self.now_ms = end;
        self.check_at_end();
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Tick { slot, process } => {
                if self.slots[slot].process == process && self.slots[slot].node.is_some() {
                    if !self.slots[slot].paused {
                        self.deliver(slot, Event::Tick);
                    }
                    self.schedule(TICK_INTERVAL_MS, SimEvent::Tick { slot, process });
                }
            }
            SimEvent::Node { slot, process, event } => {
                if process.is_none_or(|process| process == self.slots[slot].process) {
                    self.deliver(slot, *event);
                }
            }
            SimEvent::Message { to, message } => {
                if let Some(slot) = self.slots_by_address.get(&to).copied() {
                    self.deliver(slot, Event::Peer(*message));
                }
            }
            SimEvent::Start { slot } => self.start_node(slot),
            SimEvent::Resume { slot } => self.resume_node(slot),
            SimEvent::Answer { caller, answer } => self.on_answer(caller, answer.map(|answer| *answer)),
            SimEvent::EngineStep { engine, attempt } => self.step_engine(engine, attempt),
            SimEvent::EngineRequest { request, slot, process } => self.submit_to_engine(*request, slot, process),
            SimEvent::EngineOrder { order, slot, process } => self.execute_order(&order, slot, process),
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
            slowest_propagation: (self.operators.max_propagation_ms, seed),
            violations: violations.into_iter().map(|violation| (seed, violation)).collect(),
            trace: self.trace.into_iter().collect(),
        }
    }
}
