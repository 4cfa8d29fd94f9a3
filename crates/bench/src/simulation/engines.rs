//! Engines with their faults, and their execution counts.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use rand::Rng;
use stallmoor_core::identity::{AttemptId, EngineName};
use stallmoor_core::node::control::ModelOrder;
use stallmoor_core::node::routing::LoadReport;
use stallmoor_core::node::{EngineOrder, EngineRequest, Event, MachineReport, OrderOutcome, RequestClass, StreamEvent};
use stallmoor_emulator::{answer_length, answer_token};

use super::events::SimEvent;
use super::nodes::ZONE_COUNT;
use super::oracle;
use super::world::World;

/// Number of engines.
pub const ENGINE_COUNT: usize = 6;
/// Number of sequences that an engine runs concurrently.
const ENGINE_SLOTS: usize = 12;
/// Maximum number of tokens in one chunk.
const MAX_CHUNK_TOKENS: u32 = 12;
/// Time beyond the machine list's delay during which a leaving engine may still be offered work.
const LEAVING_GRACE_MS: u64 = 3_000;

/// Active impairments of an engine. Fractions are from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineImpairments {
    /// Fraction of steps at which a stream breaks.
    pub truncated: f64,
    /// Fraction of chunks sent twice.
    pub duplicated: f64,
    /// Fraction of steps at which a chunk of another stream is also sent.
    pub crossed: f64,
    /// Fraction of chunks omitted.
    pub gaps: f64,
    /// Maximum extra delay of a chunk, in milliseconds.
    pub late_ms: u64,
}

/// A stream at an engine.
struct EngineStream {
    request: EngineRequest,
    slot: usize,
    process: u64,
    next_token: u32,
    length: u32,
    /// Earliest arrival time of the next chunk, which keeps chunks in order.
    earliest_ms: u64,
}

/// State of one engine.
pub struct EngineModel {
    /// Engine name.
    pub name: EngineName,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Incarnation number, incremented at each start.
    pub incarnation: u64,
    /// Whether the engine is running.
    pub is_up: bool,
    /// Time at which the engine began to leave, if it is leaving.
    pub leaving_since_ms: Option<u64>,
    /// Time until which the engine is frozen.
    pub frozen_until_ms: u64,
    /// Latest epoch seen; orders from older epochs are rejected.
    pub fence: u64,
    /// Epoch of the last order executed.
    pub executed_epoch: u64,
    /// Model versions that are loaded.
    pub loaded: Vec<String>,
    /// Active impairments.
    pub impairments: EngineImpairments,
    streams: BTreeMap<AttemptId, EngineStream>,
    /// Number of runs by prompt, over all incarnations.
    pub runs: BTreeMap<String, u64>,
}

impl World {
    /// Adds all engines.
    pub fn add_engines(&mut self) {
        for index in 0..ENGINE_COUNT {
            let ip = IpAddr::V4(Ipv4Addr::new(10, 9, 0, index as u8 + 1));
            self.engines.push(EngineModel {
                name: EngineName::new(&format!("engine-{index}")),
                address: SocketAddr::new(ip, 8_000),
                incarnation: 1,
                is_up: true,
                leaving_since_ms: None,
                frozen_until_ms: 0,
                fence: 0,
                executed_epoch: 0,
                loaded: Vec::new(),
                impairments: EngineImpairments::default(),
                streams: BTreeMap::new(),
                runs: BTreeMap::new(),
            });
            self.report_machine(index, false);
        }
    }

    /// Returns the configuration file that lists the engines.
    pub fn machines_file(&self) -> String {
        let mut text = String::new();
        for (index, engine) in self.engines.iter().enumerate() {
            text.push_str(&format!(
                "[[machine]]\nname = \"{}\"\naddress = \"{}\"\nzone = \"zone-{}\"\nservice = \"service\"\nslots = {ENGINE_SLOTS}\n\n",
                engine.name,
                engine.address,
                index % ZONE_COUNT
            ));
        }
        text
    }

    /// Returns the number of runs of a prompt over all engines.
    pub fn runs_of(&self, prompt: &str) -> u64 {
        self.engines.iter().filter_map(|engine| engine.runs.get(prompt)).sum()
    }

    fn report_machine(&mut self, engine: usize, leaving: bool) {
        let now_ms = self.now_ms;
        let model = &self.engines[engine];
        let report = MachineReport { engine: model.name.clone(), incarnation: model.incarnation, leaving };
        self.machines.report(now_ms, report);
    }

    /// Handles a node's request for an engine's load.
    pub fn poll_engine(&mut self, slot: usize, process: u64, engine: &EngineName, address: SocketAddr) {
        let found = self.engines.iter().find(|model| model.address == address);
        let report = found.filter(|model| model.is_up && self.now_ms >= model.frozen_until_ms).map(load_of);
        let delay = if report.is_some() { 30 } else { 1_500 };
        let event = Box::new(Event::EngineLoad { engine: engine.clone(), report, cache: None });
        self.schedule(delay, SimEvent::Node { slot, process: Some(process), event });
    }

    /// Sends a node's order to an engine, possibly delayed.
    pub fn order_engine(&mut self, slot: usize, process: u64, order: EngineOrder) {
        let now_ms = self.now_ms;
        let other = self.other_control_holder(slot);
        self.oracle.check(oracle::ONE_CONTROL_HOLDER, other.is_none(), now_ms, || {
            format!("node {slot} sends orders while node {other:?} also holds the lease")
        });
        let delay = self.random.random_range(1..=30) * self.random.random_range(1..=30);
        self.schedule(delay, SimEvent::EngineOrder { order: Box::new(order), slot, process });
    }

    /// Handles an order that arrived at an engine.
    pub fn execute_order(&mut self, order: &EngineOrder, slot: usize, process: u64) {
        let now_ms = self.now_ms;
        let found = self.engines.iter_mut().find(|engine| engine.address == order.address && engine.is_up);
        let outcome = match found {
            None => OrderOutcome::NoAnswer,
            Some(engine) if order.epoch < engine.fence => OrderOutcome::Fenced,
            Some(engine) => {
                let before = engine.executed_epoch;
                engine.fence = order.epoch;
                engine.executed_epoch = before.max(order.epoch);
                match &order.order {
                    ModelOrder::Load(model) => engine.loaded.push(model.clone()),
                    ModelOrder::Unload(model) => engine.loaded.retain(|loaded| loaded != model),
                }
                let loaded = engine.loaded.clone();
                let epoch = order.epoch;
                self.oracle.check(oracle::ORDERS_ARE_FENCED, epoch >= before, now_ms, || {
                    format!("an order of epoch {epoch} was executed after one of epoch {before}")
                });
                OrderOutcome::Done { loaded }
            }
        };
        self.count("orders");
        let event = Box::new(Event::Ordered { engine: order.engine.clone(), outcome });
        self.schedule(2, SimEvent::Node { slot, process: Some(process), event });
    }

    /// Handles a request that arrived at an engine.
    pub fn submit_to_engine(&mut self, request: EngineRequest, slot: usize, process: u64) {
        let attempt = request.attempt;
        let found = self.engines.iter().position(|engine| engine.address == request.address && engine.is_up);
        let Some(index) = found else {
            self.stream_event(1, slot, process, attempt, StreamEvent::NotSent);
            return;
        };
        self.check_leaving(index, slot);
        let frozen_for = self.engines[index].frozen_until_ms.saturating_sub(self.now_ms);
        let engine = &mut self.engines[index];
        if engine.leaving_since_ms.is_some() {
            self.stream_event(1, slot, process, attempt, StreamEvent::Refused { leaving: true });
            return;
        }
        if engine.streams.len() >= ENGINE_SLOTS * 2 {
            self.stream_event(1, slot, process, attempt, StreamEvent::Refused { leaving: false });
            return;
        }
        let length = answer_length(&request.model, &request.prompt, request.max_tokens);
        *engine.runs.entry(request.prompt.to_string()).or_default() += 1;
        let next_token = request.from_token;
        let stream = EngineStream { request, slot, process, next_token, length, earliest_ms: 0 };
        engine.streams.insert(attempt, stream);
        self.schedule(frozen_for + 20, SimEvent::EngineStep { engine: index, attempt });
    }

    fn check_leaving(&mut self, engine: usize, slot: usize) {
        let Some(since) = self.engines[engine].leaving_since_ms else { return };
        let now_ms = self.now_ms;
        let bound = self.machines.lag_ms + LEAVING_GRACE_MS;
        let disturbed = self.slots[slot].disturbed_ms.max(self.faults.disturbed_ms);
        // A node that was paused or partitioned may not have received the change.
        if now_ms < disturbed + bound || self.network.has_partitions() {
            return;
        }
        let name = self.engines[engine].name.clone();
        self.oracle.check(oracle::NO_WORK_FOR_LEAVING, now_ms <= since + bound, now_ms, || {
            format!("{name} has been leaving since {since} ms and was offered work by node {slot}")
        });
    }

    /// Handles a cancellation that arrived.
    pub fn cancel_at_engine(&mut self, attempt: AttemptId) {
        for engine in &mut self.engines {
            engine.streams.remove(&attempt);
        }
    }

    /// Ends the streams of a node whose connections broke.
    pub fn drop_streams_of(&mut self, slot: usize, process: u64) {
        for engine in &mut self.engines {
            engine.streams.retain(|_, stream| stream.slot != slot || stream.process != process);
        }
    }

    /// Advances a stream by one chunk, or ends it after the last one.
    pub fn step_engine(&mut self, engine: usize, attempt: AttemptId) {
        let model = &self.engines[engine];
        if !model.is_up || !model.streams.contains_key(&attempt) {
            return;
        }
        let frozen_for = model.frozen_until_ms.saturating_sub(self.now_ms);
        if frozen_for > 0 {
            self.schedule(frozen_for, SimEvent::EngineStep { engine, attempt });
            return;
        }
        let impairments = model.impairments;
        let load = model.streams.len() as u64;
        if draw_bool(&mut self.random, impairments.truncated) {
            self.break_stream(engine, attempt);
            return;
        }
        self.send_chunk(engine, attempt, impairments);
        if draw_bool(&mut self.random, impairments.crossed) {
            self.cross_streams(engine, attempt);
        }
        self.schedule(60 + load * 4, SimEvent::EngineStep { engine, attempt });
    }

    fn send_chunk(&mut self, engine: usize, attempt: AttemptId, impairments: EngineImpairments) {
        let delay = 1 + self.random.random_range(0..=impairments.late_ms);
        let now_ms = self.now_ms;
        let Some(stream) = self.engines[engine].streams.get_mut(&attempt) else { return };
        let (slot, process) = (stream.slot, stream.process);
        // Chunks on one connection arrive in order.
        stream.earliest_ms = stream.earliest_ms.max(now_ms + delay);
        let after = stream.earliest_ms - now_ms;
        if stream.next_token >= stream.length {
            let length = stream.length;
            self.engines[engine].streams.remove(&attempt);
            self.stream_event(after, slot, process, attempt, StreamEvent::End { attempt, length });
            return;
        }
        let first = stream.next_token;
        let tokens = MAX_CHUNK_TOKENS.min(stream.length - first);
        stream.next_token += tokens;
        let event = chunk_of(attempt, &stream.request, first, tokens);
        if draw_bool(&mut self.random, impairments.gaps) {
            return;
        }
        if draw_bool(&mut self.random, impairments.duplicated) {
            self.stream_event(after, slot, process, attempt, event.clone());
        }
        self.stream_event(after, slot, process, attempt, event);
    }

    /// Sends a chunk of another stream on this one.
    fn cross_streams(&mut self, engine: usize, attempt: AttemptId) {
        let streams = &self.engines[engine].streams;
        let Some(stream) = streams.get(&attempt) else { return };
        let (slot, process) = (stream.slot, stream.process);
        let other = streams.iter().find(|(other, _)| **other != attempt);
        let Some((other_attempt, other_stream)) = other else { return };
        let event = chunk_of(*other_attempt, &other_stream.request, other_stream.next_token, 1);
        self.stream_event(1, slot, process, attempt, event);
    }

    fn break_stream(&mut self, engine: usize, attempt: AttemptId) {
        if let Some(stream) = self.engines[engine].streams.remove(&attempt) {
            let detail = "the connection broke".to_owned();
            self.stream_event(1, stream.slot, stream.process, attempt, StreamEvent::Broken { detail });
        }
    }

    /// Kills an engine together with its active streams.
    pub fn kill_engine(&mut self, engine: usize) {
        self.engines[engine].is_up = false;
        let attempts: Vec<AttemptId> = self.engines[engine].streams.keys().copied().collect();
        for attempt in attempts {
            self.break_stream(engine, attempt);
        }
    }

    /// Starts an engine as a new incarnation.
    pub fn start_engine(&mut self, engine: usize) {
        let model = &mut self.engines[engine];
        if model.is_up && model.leaving_since_ms.is_none() {
            return;
        }
        model.is_up = true;
        model.leaving_since_ms = None;
        model.incarnation += 1;
        model.streams.clear();
        model.loaded.clear();
        self.report_machine(engine, false);
    }

    /// Marks an engine as leaving, after which it must not be offered new work.
    pub fn begin_leaving(&mut self, engine: usize) {
        self.engines[engine].leaving_since_ms = Some(self.now_ms);
        self.report_machine(engine, true);
    }

    /// Resumes a frozen engine. Its streams have their own timers.
    pub fn thaw_engine(&mut self, engine: usize) {
        self.engines[engine].frozen_until_ms = 0;
    }
}

fn load_of(engine: &EngineModel) -> LoadReport {
    let online = engine.streams.values().filter(|stream| stream.request.class == RequestClass::Online).count() as u32;
    let batch = engine.streams.len() as u32 - online;
    LoadReport {
        incarnation: engine.incarnation,
        slots: ENGINE_SLOTS as u32,
        running_online: online,
        running_batch: batch,
        queued_online: 0,
        queued_batch: 0,
        leaving: engine.leaving_since_ms.is_some(),
        loaded: engine.loaded.clone(),
    }
}

fn chunk_of(attempt: AttemptId, request: &EngineRequest, first: u32, tokens: u32) -> StreamEvent {
    let text = (first..first + tokens).map(|index| answer_token(&request.model, &request.prompt, index)).collect();
    StreamEvent::Chunk { attempt, first, tokens, text }
}

fn draw_bool(random: &mut rand_xoshiro::Xoshiro256PlusPlus, probability: f64) -> bool {
    probability > 0.0 && random.random_bool(probability)
}
