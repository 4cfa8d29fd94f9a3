//! The virtual clock, nodes, engines and the network between them.

use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stallmoor_core::identity::{AttemptId, CallerId, EngineName, NodeId};
use stallmoor_core::node::configuration::{ApplyId, Bundle};
use stallmoor_core::node::online::OnlineCall;
use stallmoor_core::node::partition::NewItem;
use stallmoor_core::node::routing::{BlockHash, CacheEvent, CacheEventBatch, LoadReport};
use stallmoor_core::node::{
    BatchCall, CallerAnswer, CallerCall, Clock, Effect, EngineRequest, Event, JobSubmission, KeyValueOperation,
    KeyValueOutcome, Node, NodeSettings, OperatorCall, PersistedNode, RequestClass, StreamEvent,
};
use stallmoor_core::peer_message::PeerMessage;
use stallmoor_core::time::{Millis, Timestamp, UnixMillis};
use stallmoor_emulator::{CacheChange, EngineEmulator, EngineOutput, EngineRefusal, SequenceClass, SequenceRequest};

use super::ExperimentOptions;
use super::measure::Measured;
use super::profile::Profile;
use super::workload::{WARM_UP_US, Workload};
use crate::event_queue::EventQueue;

const TICK_US: u64 = 25_000;
/// Time between two samples of the load that nodes go by, in microseconds.
const SAMPLE_US: u64 = 50_000;
const CIVIL_START_MS: u64 = 1_700_000_000_000;
const MONOTONIC_START_MS: u64 = 3_600_000;
/// Most tokens of an online answer.
const ONLINE_TOKENS: u32 = 64;
/// Most tokens of a batch answer.
const BATCH_TOKENS: u32 = 64;
const MODEL: &str = "model";
const TENANT: &str = "tenant";

/// A call of the fleet's caller numbers: online requests, jobs, and the first change.
#[derive(Clone, Copy, Debug)]
enum CallPurpose {
    Online(usize),
    Job,
    Apply,
}

#[derive(Debug)]
enum WorldEvent {
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

struct EngineSlot {
    emulator: EngineEmulator,
    address: SocketAddr,
    zone: usize,
    /// When the next wake-up is scheduled for.
    wakes_us: Option<u64>,
    reports: VecDeque<(u64, LoadReport)>,
    cache_events: u64,
    changes: VecDeque<CacheEvent>,
    /// Slot time is counted up to here.
    counted_us: u64,
}

/// A stream as the world sees it.
struct StreamOwner {
    engine: usize,
    /// The node that asked.
    node: usize,
    class: RequestClass,
    tokens: u32,
    deadline_us: u64,
    prompt: String,
}

/// An online request as its caller sees it.
#[derive(Clone, Copy, Default)]
struct OnlineProbe {
    sent_us: u64,
    last_us: Option<u64>,
}

/// One run.
pub struct World<'a> {
    profile: Profile,
    headroom: f64,
    workload: &'a Workload,
    now_us: u64,
    queue: EventQueue<WorldEvent>,
    random: Xoshiro256PlusPlus,
    nodes: Vec<Node>,
    node_addresses: BTreeMap<SocketAddr, usize>,
    engines: Vec<EngineSlot>,
    engine_addresses: BTreeMap<SocketAddr, usize>,
    streams: BTreeMap<AttemptId, StreamOwner>,
    key_value: BTreeMap<String, (u64, Arc<str>)>,
    calls: BTreeMap<CallerId, CallPurpose>,
    next_caller: u64,
    probes: Vec<OnlineProbe>,
    /// Batch items submitted and not complete.
    backlog: u64,
    /// Batch items at engines.
    batch_in_hand: u64,
    /// There are batch items that no engine has.
    batch_waits: bool,
    /// Deadlines of batch items by prompt, in microseconds.
    deadlines: BTreeMap<String, u64>,
    measured: Measured,
}

impl<'a> World<'a> {
    /// A world before its start.
    pub fn new(options: &ExperimentOptions, workload: &'a Workload) -> Self {
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
            batch_in_hand: 0,
            batch_waits: false,
            deadlines: BTreeMap::new(),
            measured: Measured::default(),
        };
        world.add_engines();
        world.add_nodes();
        world.schedule_arrivals();
        world
    }

    fn add_engines(&mut self) {
        for place in 0..self.profile.workers() {
            let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 9, 0, place as u8 + 1)), 8_000);
            self.engine_addresses.insert(address, place);
            self.engines.push(EngineSlot {
                emulator: EngineEmulator::new(self.profile.engine()),
                address,
                zone: place % self.profile.zones(),
                wakes_us: None,
                reports: VecDeque::new(),
                cache_events: 0,
                changes: VecDeque::new(),
                counted_us: 0,
            });
        }
    }

    fn add_nodes(&mut self) {
        let address_of = |place: usize| SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, place as u8 + 1)), 7_100);
        for place in 0..self.profile.zones() {
            let id = NodeId(place as u64 + 1);
            let zone = format!("zone-{place}");
            let mut settings = NodeSettings::new(id, &zone, address_of(place), address_of(place));
            settings.seeds = vec![address_of(0)];
            settings.stores = true;
            let seed = self.random.random();
            let node = Node::new(settings, PersistedNode::default(), self.clock(), seed);
            self.node_addresses.insert(address_of(place), place);
            self.nodes.push(node);
            self.schedule(place as u64 * 1_000, WorldEvent::Tick(place));
        }
    }

    fn schedule_arrivals(&mut self) {
        self.schedule(500_000, WorldEvent::Apply);
        for place in 0..self.workload.online.len() {
            self.schedule(self.workload.online[place].at_us, WorldEvent::Online(place));
        }
        for place in 0..self.workload.jobs.len() {
            self.schedule(self.workload.jobs[place].at_us, WorldEvent::Job(place));
        }
        self.schedule(WARM_UP_US, WorldEvent::Sample);
    }

    /// Runs to the end of the arrivals.
    pub fn run(mut self) -> Measured {
        let end_us = self.workload.end_us;
        while let Some((at_us, event)) = self.queue.pop() {
            if at_us > end_us {
                break;
            }
            self.now_us = at_us;
            self.happen(event);
        }
        self.now_us = end_us;
        for engine in 0..self.engines.len() {
            self.count_slot_time(engine);
        }
        self.measured.behind_batch = self.engines.iter().map(|engine| engine.emulator.online_behind_batch).sum();
        self.measured.paused = self.nodes.iter().map(|node| node.status().counters.batch_paused).sum();
        self.measured.load_us = end_us - WARM_UP_US;
        self.measured
    }

    fn schedule(&mut self, after_us: u64, event: WorldEvent) {
        self.queue.push(self.now_us + after_us, event);
    }

    fn clock(&self) -> Clock {
        let millis = self.now_us / 1_000;
        Clock { now: Timestamp::from_millis(MONOTONIC_START_MS + millis), civil: UnixMillis(CIVIL_START_MS + millis) }
    }

    fn happen(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Tick(node) => {
                self.feed_node(node, Event::Tick);
                self.schedule(TICK_US, WorldEvent::Tick(node));
            }
            WorldEvent::Node { node, event } => self.feed_node(node, *event),
            WorldEvent::Engine(engine) => self.wake_engine(engine),
            WorldEvent::EngineRequest { request, node } => self.offer(*request, node),
            WorldEvent::EngineCancel(attempt) => self.cancel(attempt),
            WorldEvent::Answer { caller, answer } => self.on_answer(caller, *answer),
            WorldEvent::Online(place) => self.send_online(place),
            WorldEvent::Job(place) => self.submit_job(place),
            WorldEvent::Apply => self.apply_configuration(),
            WorldEvent::Sample => {
                self.sample_load();
                self.schedule(SAMPLE_US, WorldEvent::Sample);
            }
        }
    }

    // Nodes.

    fn feed_node(&mut self, node: usize, event: Event) {
        let clock = self.clock();
        let effects = self.nodes[node].handle(event, clock);
        for effect in effects {
            self.carry_out(node, effect);
        }
    }

    fn carry_out(&mut self, node: usize, effect: Effect) {
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

    fn engine_latency(&self, node: usize, address: SocketAddr) -> u64 {
        let zone = self.engine_addresses.get(&address).map(|engine| self.engines[*engine].zone);
        if zone == Some(node) { self.profile.local_latency_us() } else { self.profile.zone_latency_us() }
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

    fn apply_configuration(&mut self) {
        let profile = self.profile;
        let mut fleet = "[fleet]\nname = \"experiment\"\nreplica_groups = 8\n".to_owned();
        for zone in 0..profile.zones() {
            fleet.push_str(&format!("[[zone]]\nname = \"zone-{zone}\"\nregion = \"region\"\n"));
        }
        let services = format!(
            "[[service]]\nname = \"service\"\nonline_headroom = {:.4}\nmax_tokens = 512\n[[model]]\nname = \"{MODEL}\"\nservice = \"service\"\n",
            self.headroom
        );
        let mut machines = String::new();
        for (place, engine) in self.engines.iter().enumerate() {
            machines.push_str(&format!(
                "[[machine]]\nname = \"engine-{place}\"\naddress = \"{}\"\nzone = \"zone-{}\"\nservice = \"service\"\nslots = {}\n",
                engine.address,
                engine.zone,
                profile.engine().slots
            ));
        }
        let tenants = format!("[[tenant]]\nname = \"{TENANT}\"\nrequests_in_flight = 100000\n");
        let files = [
            ("fleet.toml", fleet),
            ("services.toml", services),
            ("machines.toml", machines),
            ("tenants.toml", tenants),
        ];
        let bundle =
            Bundle { files: files.into_iter().map(|(name, text)| (name.to_owned(), Arc::from(text))).collect() };
        let call = OperatorCall::Apply { id: ApplyId(1), bundle, expected_revision: None };
        self.call(0, CallPurpose::Apply, CallerCall::Operator(call));
    }

    fn call(&mut self, node: usize, purpose: CallPurpose, call: CallerCall) {
        let caller = CallerId(self.next_caller);
        self.next_caller += 1;
        self.calls.insert(caller, purpose);
        let event = Box::new(Event::Call { caller, call });
        self.schedule(self.profile.caller_latency_us(), WorldEvent::Node { node, event });
    }

    // Callers.

    fn send_online(&mut self, place: usize) {
        let arrival = &self.workload.online[place];
        self.probes[place].sent_us = self.now_us;
        let call = OnlineCall {
            id: Arc::from(format!("request-{place}")),
            tenant: Arc::from(TENANT),
            model: Arc::from(MODEL),
            adapter: None,
            session: Some(Arc::from(format!("session-{}", arrival.session))),
            key: None,
            repeatable: true,
            deadline: None,
            prompt: Arc::from(arrival.prompt.as_str()),
            max_tokens: Some(ONLINE_TOKENS),
            from_token: 0,
        };
        let node = self.random.random_range(0..self.nodes.len());
        self.call(node, CallPurpose::Online(place), CallerCall::Online(call));
    }

    fn submit_job(&mut self, place: usize) {
        let arrival = &self.workload.jobs[place];
        let deadline_us = self.now_us + arrival.within_ms * 1_000;
        let count = arrival.prompts.len() as u64;
        self.backlog += count;
        self.note_backlog();
        for prompt in &arrival.prompts {
            self.deadlines.insert(prompt.clone(), deadline_us);
        }
        let items = arrival.prompts.iter().enumerate();
        let items = items
            .map(|(item, prompt)| NewItem { label: Arc::from(item.to_string()), prompt: Arc::from(prompt.as_str()) });
        let submission = JobSubmission {
            tenant: Arc::from(TENANT),
            key: Some(Arc::from(format!("job-{place}"))),
            model: Arc::from(MODEL),
            adapter: None,
            items: items.collect(),
            within: Millis(arrival.within_ms),
            max_tokens: Some(BATCH_TOKENS),
            accept: true,
        };
        let node = place % self.nodes.len();
        self.call(node, CallPurpose::Job, CallerCall::Batch(BatchCall::Submit(submission)));
    }

    fn on_answer(&mut self, caller: CallerId, answer: CallerAnswer) {
        let Some(purpose) = self.calls.get(&caller).copied() else { return };
        if answer.is_final() {
            self.calls.remove(&caller);
        }
        match (purpose, answer) {
            (CallPurpose::Online(place), CallerAnswer::Piece { .. }) => self.on_piece(place),
            (CallPurpose::Online(_), CallerAnswer::End { .. }) => self.measured.online_answered += 1,
            (CallPurpose::Online(_), _) => self.measured.online_refused += 1,
            (CallPurpose::Job | CallPurpose::Apply, _) => {}
        }
    }

    fn on_piece(&mut self, place: usize) {
        let now = self.now_us;
        let probe = &mut self.probes[place];
        // Values lie far within the histograms' bounds.
        let _ = match probe.last_us {
            None => self.measured.first_token.record((now - probe.sent_us).max(1)),
            Some(last) => self.measured.between.record((now - last).max(1)),
        };
        probe.last_us = Some(now);
    }

    // Engines.

    fn offer(&mut self, request: EngineRequest, node: usize) {
        let Some(engine) = self.engine_addresses.get(&request.address).copied() else { return };
        let owner = StreamOwner {
            engine,
            node,
            class: request.class,
            tokens: 0,
            deadline_us: self.deadlines.get(&*request.prompt).copied().unwrap_or(u64::MAX),
            prompt: request.prompt.to_string(),
        };
        let sequence = SequenceRequest {
            attempt: request.attempt.0,
            class: class_of(request.class),
            priority: request.priority,
            model: request.model.to_string(),
            prompt: request.prompt.to_string(),
            max_tokens: request.max_tokens,
            from_token: request.from_token,
        };
        self.count_slot_time(engine);
        let refused = self.engines[engine].emulator.submit(sequence, self.now_us).err();
        match refused {
            None => {
                self.add_stream(request.attempt, owner);
                self.arm(engine);
            }
            Some(refusal) => {
                let leaving = refusal == EngineRefusal::Leaving;
                self.send_to_node(engine, node, request.attempt, StreamEvent::Refused { leaving });
            }
        }
    }

    /// Slot time up to now is counted under what held until now.
    fn note_backlog(&mut self) {
        let waits = self.backlog > self.batch_in_hand;
        if waits != self.batch_waits {
            for engine in 0..self.engines.len() {
                self.count_slot_time(engine);
            }
            self.batch_waits = waits;
        }
    }

    fn add_stream(&mut self, attempt: AttemptId, owner: StreamOwner) {
        self.batch_in_hand += u64::from(owner.class == RequestClass::Batch);
        self.streams.insert(attempt, owner);
        self.note_backlog();
    }

    fn remove_stream(&mut self, attempt: AttemptId) -> Option<StreamOwner> {
        let stream = self.streams.remove(&attempt)?;
        self.batch_in_hand -= u64::from(stream.class == RequestClass::Batch);
        self.note_backlog();
        Some(stream)
    }

    fn send_to_node(&mut self, engine: usize, node: usize, attempt: AttemptId, event: StreamEvent) {
        let latency = self.engine_latency(node, self.engines[engine].address);
        let event = Box::new(Event::Stream { attempt, event });
        self.schedule(latency, WorldEvent::Node { node, event });
    }

    fn cancel(&mut self, attempt: AttemptId) {
        if let Some(engine) = self.streams.get(&attempt).map(|stream| stream.engine) {
            self.count_slot_time(engine);
        }
        if let Some(stream) = self.remove_stream(attempt) {
            self.engines[stream.engine].emulator.cancel(attempt.0);
            self.arm(stream.engine);
        }
    }

    /// Schedules the engine's next wake-up.
    fn arm(&mut self, engine: usize) {
        let slot = &mut self.engines[engine];
        let Some(next) = slot.emulator.next_event_us() else { return };
        if slot.wakes_us == Some(next) {
            return;
        }
        slot.wakes_us = Some(next);
        let after = next.saturating_sub(self.now_us);
        self.schedule(after, WorldEvent::Engine(engine));
    }

    fn wake_engine(&mut self, engine: usize) {
        self.count_slot_time(engine);
        let outputs = self.engines[engine].emulator.advance(self.now_us);
        for output in outputs {
            match output {
                EngineOutput::Token { attempt, place, text } => {
                    self.on_token(engine, AttemptId(attempt), place, text);
                }
                EngineOutput::End { attempt, length } => self.on_end(engine, AttemptId(attempt), length),
            }
        }
        self.publish_cache(engine);
        self.arm(engine);
    }

    fn on_token(&mut self, engine: usize, attempt: AttemptId, place: u32, text: String) {
        let Some(stream) = self.streams.get_mut(&attempt) else { return };
        stream.tokens += 1;
        let node = stream.node;
        let event = StreamEvent::Piece { attempt, first: place, tokens: 1, text };
        self.send_to_node(engine, node, attempt, event);
    }

    fn on_end(&mut self, engine: usize, attempt: AttemptId, length: u32) {
        let Some(stream) = self.remove_stream(attempt) else { return };
        if stream.class == RequestClass::Batch {
            self.on_item_done(&stream);
        }
        self.send_to_node(engine, stream.node, attempt, StreamEvent::End { attempt, length });
    }

    fn on_item_done(&mut self, stream: &StreamOwner) {
        // A second run of an item is waste.
        if self.deadlines.remove(&stream.prompt).is_none() {
            self.measured.wasted_tokens += u64::from(stream.tokens);
            return;
        }
        self.backlog = self.backlog.saturating_sub(1);
        self.note_backlog();
        self.measured.items += 1;
        if self.now_us > stream.deadline_us {
            self.measured.items_late += 1;
        }
    }

    /// Adds the slot time since the last change, as the engine truly was.
    fn count_slot_time(&mut self, engine: usize) {
        let now = self.now_us;
        let slots = self.profile.engine().slots;
        let slot = &mut self.engines[engine];
        let span = now - slot.counted_us;
        slot.counted_us = now;
        if now < WARM_UP_US || span == 0 {
            return;
        }
        let load = slot.emulator.load();
        // Capacity counts as idle only while there is batch work that could use it.
        if self.batch_waits {
            self.measured.idle_slot_us += span * slots.saturating_sub(load.running_online) as u64;
            self.measured.batch_slot_us += span * load.running_batch as u64;
        }
    }

    fn publish_cache(&mut self, engine: usize) {
        const HISTORY: usize = 4_096;
        let slot = &mut self.engines[engine];
        for change in slot.emulator.cache.take_changes() {
            slot.cache_events += 1;
            slot.changes.push_back(match change {
                CacheChange::Stored(block) => CacheEvent::Stored(BlockHash(block)),
                CacheChange::Removed(block) => CacheEvent::Removed(BlockHash(block)),
            });
        }
        while slot.changes.len() > HISTORY {
            slot.changes.pop_front();
        }
    }

    /// A load report as it was a while ago, and the cache events since the one asked for.
    fn poll(&mut self, node: usize, engine: EngineName, address: SocketAddr, cache_from: Option<u64>) {
        let Some(place) = self.engine_addresses.get(&address).copied() else { return };
        let lag = self.profile.report_lag_us();
        let latency = self.engine_latency(node, address);
        let now = self.now_us;
        let slots = self.profile.engine().slots as u32;
        let slot = &mut self.engines[place];
        slot.reports.push_back((now, report_of(&slot.emulator, slots)));
        while slot.reports.len() > 1 && slot.reports[1].0 + lag <= now {
            slot.reports.pop_front();
        }
        let report = slot.reports.front().map(|(_, report)| report.clone());
        let cache = cache_since(slot, cache_from);
        let event = Box::new(Event::EngineLoad { engine, report, cache: Some(cache) });
        self.schedule(2 * latency, WorldEvent::Node { node, event });
    }

    /// Compares the load that nodes go by with the true one.
    fn sample_load(&mut self) {
        let now = self.clock().now;
        for node in &self.nodes {
            for (name, estimate) in node.estimated_loads(now) {
                let place = name.0.strip_prefix("engine-").and_then(|place| place.parse::<usize>().ok());
                let Some(slot) = place.and_then(|place| self.engines.get(place)) else { continue };
                let load = slot.emulator.load();
                let true_online = (load.running_online + load.queued_online) as f64;
                self.measured.load_error.0 += (f64::from(estimate) - true_online).abs();
                self.measured.load_error.1 += 1;
            }
        }
    }
}

fn class_of(class: RequestClass) -> SequenceClass {
    match class {
        RequestClass::Online => SequenceClass::Online,
        RequestClass::Batch => SequenceClass::Batch,
    }
}

fn report_of(emulator: &EngineEmulator, slots: u32) -> LoadReport {
    let load = emulator.load();
    LoadReport {
        incarnation: 1,
        slots,
        running_online: load.running_online as u32,
        running_batch: load.running_batch as u32,
        queued_online: load.queued_online as u32,
        queued_batch: load.queued_batch as u32,
        leaving: emulator.is_leaving(),
        loaded: vec![format!("{MODEL}@1")],
    }
}

fn cache_since(slot: &EngineSlot, from: Option<u64>) -> CacheEventBatch {
    let oldest = slot.cache_events - slot.changes.len() as u64;
    match from {
        Some(from) if from >= oldest => {
            let skip = (from - oldest) as usize;
            CacheEventBatch {
                first: from,
                events: slot.changes.iter().skip(skip).copied().collect(),
                is_snapshot: false,
            }
        }
        _ => {
            let events: Vec<CacheEvent> =
                slot.emulator.cache.blocks().map(|block| CacheEvent::Stored(BlockHash(block))).collect();
            let first = slot.cache_events.saturating_sub(events.len() as u64);
            CacheEventBatch { first, events, is_snapshot: true }
        }
    }
}
