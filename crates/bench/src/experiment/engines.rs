//! Engines and their streams, run by the emulator on the virtual clock.
//!
//! Owns what a node observes of an engine: chunks, ends of streams, refusals, delayed load reports and cache
//! events. Relies on `accounting` to count slot time before each change of an engine's streams.

use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use stallmoor_core::identity::{AttemptId, EngineName};
use stallmoor_core::node::routing::{BlockHash, CacheEvent, CacheEventBatch, LoadReport};
use stallmoor_core::node::{EngineRequest, Event, RequestClass, StreamEvent};
use stallmoor_emulator::{CacheChange, EngineEmulator, EngineOutput, EngineRefusal, SequenceClass, SequenceRequest};

use super::callers::MODEL;
use super::world::{World, WorldEvent};

/// An emulated engine with its reports to the nodes.
pub(super) struct EngineSlot {
    pub(super) emulator: EngineEmulator,
    pub(super) address: SocketAddr,
    pub(super) zone: usize,
    /// Time of the next scheduled wake-up.
    pub(super) next_wake_us: Option<u64>,
    pub(super) reports: VecDeque<(u64, LoadReport)>,
    pub(super) cache_events: u64,
    pub(super) changes: VecDeque<CacheEvent>,
    /// Time up to which slot time has been counted.
    pub(super) counted_us: u64,
}

/// A stream at an engine and the node that requested it.
pub(super) struct StreamOwner {
    pub(super) engine: usize,
    /// Node that requested the stream.
    pub(super) node: usize,
    pub(super) class: RequestClass,
    pub(super) tokens: u32,
    pub(super) deadline_us: u64,
    pub(super) prompt: String,
}

impl World<'_> {
    pub(super) fn add_engines(&mut self) {
        for index in 0..self.profile.workers() {
            let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 9, 0, index as u8 + 1)), 8_000);
            self.engine_addresses.insert(address, index);
            self.engines.push(EngineSlot {
                emulator: EngineEmulator::new(self.profile.engine()),
                address,
                zone: index % self.profile.zones(),
                next_wake_us: None,
                reports: VecDeque::new(),
                cache_events: 0,
                changes: VecDeque::new(),
                counted_us: 0,
            });
        }
    }

    pub(super) fn engine_latency(&self, node: usize, address: SocketAddr) -> u64 {
        let zone = self.engine_addresses.get(&address).map(|engine| self.engines[*engine].zone);
        if zone == Some(node) { self.profile.local_latency_us() } else { self.profile.zone_latency_us() }
    }

    pub(super) fn submit(&mut self, request: EngineRequest, node: usize) {
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
                self.schedule_wake(engine);
            }
            Some(refusal) => {
                let leaving = refusal == EngineRefusal::Leaving;
                self.send_to_node(engine, node, request.attempt, StreamEvent::Refused { leaving });
            }
        }
    }

    fn send_to_node(&mut self, engine: usize, node: usize, attempt: AttemptId, event: StreamEvent) {
        let latency = self.engine_latency(node, self.engines[engine].address);
        let event = Box::new(Event::Stream { attempt, event });
        self.schedule(latency, WorldEvent::Node { node, event });
    }

    pub(super) fn cancel(&mut self, attempt: AttemptId) {
        if let Some(engine) = self.streams.get(&attempt).map(|stream| stream.engine) {
            self.count_slot_time(engine);
        }
        if let Some(stream) = self.remove_stream(attempt) {
            self.engines[stream.engine].emulator.cancel(attempt.0);
            self.schedule_wake(stream.engine);
        }
    }

    /// Schedules the engine's next wake-up.
    fn schedule_wake(&mut self, engine: usize) {
        let slot = &mut self.engines[engine];
        let Some(next) = slot.emulator.next_event_us() else { return };
        if slot.next_wake_us == Some(next) {
            return;
        }
        slot.next_wake_us = Some(next);
        let after = next.saturating_sub(self.now_us);
        self.schedule(after, WorldEvent::Engine(engine));
    }

    pub(super) fn wake_engine(&mut self, engine: usize) {
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
        self.schedule_wake(engine);
    }

    fn on_token(&mut self, engine: usize, attempt: AttemptId, place: u32, text: String) {
        let Some(stream) = self.streams.get_mut(&attempt) else { return };
        stream.tokens += 1;
        let node = stream.node;
        let event = StreamEvent::Chunk { attempt, first: place, tokens: 1, text };
        self.send_to_node(engine, node, attempt, event);
    }

    fn on_end(&mut self, engine: usize, attempt: AttemptId, length: u32) {
        let Some(stream) = self.remove_stream(attempt) else { return };
        if stream.class == RequestClass::Batch {
            self.on_item_done(&stream);
        }
        self.send_to_node(engine, stream.node, attempt, StreamEvent::End { attempt, length });
    }

    fn publish_cache(&mut self, engine: usize) {
        const MAX_CACHE_EVENTS: usize = 4_096;
        let slot = &mut self.engines[engine];
        for change in slot.emulator.cache.take_changes() {
            slot.cache_events += 1;
            slot.changes.push_back(match change {
                CacheChange::Stored(block) => CacheEvent::Stored(BlockHash(block)),
                CacheChange::Removed(block) => CacheEvent::Removed(BlockHash(block)),
            });
        }
        while slot.changes.len() > MAX_CACHE_EVENTS {
            slot.changes.pop_front();
        }
    }

    /// Answers a poll with a delayed load report and the cache events since `cache_from`.
    pub(super) fn poll(&mut self, node: usize, engine: EngineName, address: SocketAddr, cache_from: Option<u64>) {
        let Some(index) = self.engine_addresses.get(&address).copied() else { return };
        let lag = self.profile.report_lag_us();
        let latency = self.engine_latency(node, address);
        let now = self.now_us;
        let slots = self.profile.engine().slots as u32;
        let slot = &mut self.engines[index];
        slot.reports.push_back((now, report_of(&slot.emulator, slots)));
        while slot.reports.len() > 1 && slot.reports[1].0 + lag <= now {
            slot.reports.pop_front();
        }
        let report = slot.reports.front().map(|(_, report)| report.clone());
        let cache = cache_since(slot, cache_from);
        let event = Box::new(Event::EngineLoad { engine, report, cache: Some(cache) });
        self.schedule(2 * latency, WorldEvent::Node { node, event });
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
