//! State of the engine stand-in: the emulator, open response streams, load reports and cache events.
//!
//! Faults are injected here, into the output of the emulator.

use std::collections::{HashMap, VecDeque};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::StatusCode;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use stallmoor_emulator::{CacheChange, EngineEmulator, EngineOutput, EngineRefusal, SequenceClass, SequenceRequest};
use tokio::sync::mpsc;

use super::{EngineFaults, EngineOptions};
use crate::http::{Answer, json};

/// Number of recent cache events retained for polling clients.
const MAX_CACHE_EVENTS: usize = 4_096;

/// Record of an accepted request, from which checkers count executions.
#[derive(Clone, Debug, Serialize)]
pub struct RunRecord {
    attempt: String,
    prompt: String,
    class: String,
    repeatable: bool,
    from_token: u32,
}

#[derive(Deserialize)]
pub(super) struct GenerateCall {
    attempt: String,
    class: String,
    priority: u32,
    model: String,
    prompt: String,
    max_tokens: u32,
    #[serde(default)]
    from_token: u32,
    #[serde(default = "default_repeatable")]
    repeatable: bool,
}

fn default_repeatable() -> bool {
    true
}

#[derive(Deserialize)]
pub(super) struct OrderCall {
    epoch: u64,
    load: Option<String>,
    unload: Option<String>,
}

struct Stream {
    name: String,
    chunks: mpsc::UnboundedSender<Option<Bytes>>,
    /// Number of chunks after which the connection is closed.
    break_after: Option<u32>,
    sent: u32,
}

pub(super) struct State {
    options: EngineOptions,
    pub(super) emulator: EngineEmulator,
    started: Instant,
    pub(super) faults: EngineFaults,
    streams: HashMap<u128, Stream>,
    next_stream: u128,
    pub(super) runs: Vec<RunRecord>,
    runs_file: Option<File>,
    reports: VecDeque<(Instant, Value)>,
    cache_events: VecDeque<(u64, CacheChange)>,
    next_cache_event: u64,
    fence: u64,
    loaded: Vec<String>,
    random: Xoshiro256PlusPlus,
}

impl State {
    pub(super) fn new(options: EngineOptions) -> Self {
        Self {
            emulator: EngineEmulator::new(options.settings),
            started: Instant::now(),
            faults: EngineFaults::default(),
            streams: HashMap::new(),
            next_stream: 1,
            runs: Vec::new(),
            runs_file: options.runs_file.as_ref().and_then(open_runs_file),
            reports: VecDeque::new(),
            cache_events: VecDeque::new(),
            next_cache_event: 0,
            fence: 0,
            loaded: Vec::new(),
            random: Xoshiro256PlusPlus::seed_from_u64(options.seed),
            options,
        }
    }

    fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// Returns the time until the current iteration ends, or `None` if the engine is idle.
    pub(super) fn time_to_next_event(&self) -> Option<Duration> {
        let next = self.emulator.next_event_us()?;
        Some(Duration::from_micros(next.saturating_sub(self.now_us())))
    }

    pub(super) fn submit(&mut self, request: GenerateCall) -> Answer {
        let stream_id = self.next_stream;
        self.next_stream += 1;
        let now = self.now_us();
        let record = RunRecord {
            attempt: request.attempt.clone(),
            prompt: request.prompt.clone(),
            class: request.class.clone(),
            repeatable: request.repeatable,
            from_token: request.from_token,
        };
        let sequence = SequenceRequest {
            attempt: stream_id,
            class: if request.class == "batch" { SequenceClass::Batch } else { SequenceClass::Online },
            priority: request.priority,
            model: request.model,
            prompt: request.prompt,
            max_tokens: request.max_tokens,
            from_token: request.from_token,
        };
        match self.emulator.submit(sequence, now) {
            Err(EngineRefusal::Leaving) => json(StatusCode::SERVICE_UNAVAILABLE, &json!({"refused": "leaving"})),
            Err(EngineRefusal::Full) => json(StatusCode::SERVICE_UNAVAILABLE, &json!({"refused": "full"})),
            Ok(()) => {
                self.record_run(record);
                let (chunks, receiver) = mpsc::unbounded_channel();
                let is_truncated =
                    self.faults.truncated > 0.0 && self.random.random_bool(self.faults.truncated.min(1.0));
                let break_after = is_truncated.then(|| self.random.random_range(0..6));
                let stream = Stream { name: request.attempt, chunks, break_after, sent: 0 };
                self.streams.insert(stream_id, stream);
                crate::http::stream(receiver)
            }
        }
    }

    /// Executes an order unless an order with a later epoch was received.
    pub(super) fn execute_order(&mut self, order: OrderCall) -> Answer {
        if order.epoch < self.fence {
            return json(StatusCode::PRECONDITION_FAILED, &json!({"epoch": self.fence}));
        }
        self.fence = order.epoch;
        if let Some(model) = order.load
            && !self.loaded.contains(&model)
        {
            self.loaded.push(model);
        }
        if let Some(model) = order.unload {
            self.loaded.retain(|loaded| *loaded != model);
        }
        json(StatusCode::OK, &json!({"loaded": self.loaded}))
    }

    fn record_run(&mut self, record: RunRecord) {
        if let Some(file) = &mut self.runs_file
            && let Err(error) = writeln!(file, "{}", json!(record))
        {
            eprintln!("failed to write to the runs file: {error}");
        }
        self.runs.push(record);
    }

    pub(super) fn advance(&mut self) {
        let now = self.now_us();
        let gone: Vec<u128> =
            self.streams.iter().filter(|(_, stream)| stream.chunks.is_closed()).map(|(id, _)| *id).collect();
        for id in gone {
            self.streams.remove(&id);
            self.emulator.cancel(id);
        }
        for output in self.emulator.advance(now) {
            self.deliver(output);
        }
        self.collect_cache_events();
    }

    fn deliver(&mut self, output: EngineOutput) {
        let (id, is_end) = match &output {
            EngineOutput::Token { attempt, .. } => (*attempt, false),
            EngineOutput::End { attempt, .. } => (*attempt, true),
        };
        let other = self.streams.iter().find(|(other, _)| **other != id).map(|(_, stream)| stream.name.clone());
        let is_crossed = !is_end && self.draw_fault(self.faults.crossed);
        let is_doubled = !is_end && self.draw_fault(self.faults.doubled);
        let Some(stream) = self.streams.get_mut(&id) else { return };
        let event = match output {
            EngineOutput::Token { place, text, .. } => {
                json!({"attempt": stream.name, "first": place, "tokens": 1, "text": text})
            }
            EngineOutput::End { length, .. } => json!({"attempt": stream.name, "length": length}),
        };
        if stream.break_after == Some(stream.sent) {
            // `None` closes the connection.
            let _ = stream.chunks.send(None);
            self.streams.remove(&id);
            self.emulator.cancel(id);
            return;
        }
        stream.sent += 1;
        let mut events = Vec::new();
        if let Some(other) = other.filter(|_| is_crossed) {
            let mut crossed = event.clone();
            crossed["attempt"] = json!(other);
            events.push(crossed);
        }
        if is_doubled {
            events.push(event.clone());
        }
        events.push(event);
        for event in events {
            // A closed receiver is detected by the next `advance`.
            let _ = stream.chunks.send(Some(Bytes::from(format!("data: {event}\n\n"))));
        }
        if is_end {
            self.streams.remove(&id);
        }
    }

    fn draw_fault(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.random.random_bool(probability.min(1.0))
    }

    /// Returns the delayed load report and the cache events from `cache_from` on.
    pub(super) fn report(&mut self, cache_from: Option<u64>) -> Value {
        let lag = self.options.report_lag;
        let current = self.current_load();
        self.reports.push_back((Instant::now(), current));
        while self.reports.len() > 1 && self.reports[1].0.elapsed() >= lag {
            self.reports.pop_front();
        }
        let mut report = self.reports.front().map(|(_, report)| report.clone()).unwrap_or_default();
        report["cache"] = self.cache_since(cache_from);
        report
    }

    fn current_load(&self) -> Value {
        let load = self.emulator.load();
        json!({
            "incarnation": self.options.incarnation,
            "slots": self.options.settings.slots,
            "running_online": load.running_online,
            "running_batch": load.running_batch,
            "queued_online": load.queued_online,
            "queued_batch": load.queued_batch,
            "leaving": self.emulator.is_leaving(),
            "loaded": self.loaded,
        })
    }

    fn collect_cache_events(&mut self) {
        for change in self.emulator.cache.take_changes() {
            let number = self.next_cache_event;
            self.next_cache_event += 1;
            if !self.draw_fault(self.faults.cache_gaps) {
                self.cache_events.push_back((number, change));
            }
        }
        while self.cache_events.len() > MAX_CACHE_EVENTS {
            self.cache_events.pop_front();
        }
    }

    /// Returns the events from number `from` on, up to the first gap, or a snapshot if `from` is absent.
    fn cache_since(&self, from: Option<u64>) -> Value {
        let Some(from) = from else { return self.cache_snapshot() };
        let mut events = Vec::new();
        let mut first = None;
        for (number, change) in self.cache_events.iter().filter(|(number, _)| *number >= from) {
            let start = *first.get_or_insert(*number);
            if *number != start + events.len() as u64 {
                break;
            }
            events.push(match change {
                CacheChange::Stored(block) => json!({"stored": block}),
                CacheChange::Removed(block) => json!({"removed": block}),
            });
        }
        json!({"first": first.unwrap_or(from), "snapshot": false, "events": events})
    }

    fn cache_snapshot(&self) -> Value {
        let events: Vec<Value> = self.emulator.cache.blocks().map(|block| json!({"stored": block})).collect();
        let first = self.next_cache_event.saturating_sub(events.len() as u64);
        json!({"first": first, "snapshot": true, "events": events})
    }
}

fn open_runs_file(path: &PathBuf) -> Option<File> {
    let opened = OpenOptions::new().create(true).append(true).open(path);
    opened.inspect_err(|error| eprintln!("{}: {error}", path.display())).ok()
}
