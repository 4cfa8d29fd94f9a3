//! The engine: the emulator in real time behind HTTP, with its faults, its lagging load report, its
//! late and gappy cache events, and fenced orders.

use std::collections::{HashMap, VecDeque};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{Method, StatusCode};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use stallmoor_emulator::{
    CacheChange, EngineEmulator, EngineOutput, EngineRefusal, EngineSettings, SequenceClass, SequenceRequest,
};
use tokio::sync::{Notify, mpsc};

use crate::http::{Answer, Call, json, whole};

/// Cache events kept for pollers.
const CACHE_HISTORY: usize = 4_096;

/// Faults, all off at first. Shares are from 0 to 1.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Share of answers that break off after some pieces.
    pub truncated: f64,
    /// Share of pieces that are sent twice.
    pub doubled: f64,
    /// Share of pieces that carry another attempt's name.
    pub crossed: f64,
    /// Wait this long before each piece.
    pub late_ms: u64,
    /// Answer nothing at all.
    pub frozen: bool,
    /// Takes no new work.
    pub leaving: bool,
    /// Share of cache events that are lost.
    pub cache_gaps: f64,
}

/// How the stand-in is set up.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// How it computes.
    pub settings: EngineSettings,
    /// Load reports are this old.
    pub report_lag: Duration,
    /// Names this start of the engine.
    pub incarnation: u64,
    /// Decides which pieces the faults hit.
    pub seed: u64,
    /// Where each run is written down as a line of JSON, so that the count outlives the engine.
    pub runs_file: Option<PathBuf>,
}

/// One run, for the checkers' own count.
#[derive(Clone, Debug, Serialize)]
pub struct RunRecord {
    attempt: String,
    prompt: String,
    class: String,
    repeatable: bool,
    from_token: u32,
}

#[derive(Deserialize)]
struct GenerateCall {
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
struct OrderCall {
    epoch: u64,
    load: Option<String>,
    unload: Option<String>,
}

struct Stream {
    name: String,
    pieces: mpsc::UnboundedSender<Option<Bytes>>,
    /// The connection breaks once this many pieces were sent.
    break_after: Option<u32>,
    sent: u32,
}

struct State {
    options: EngineOptions,
    emulator: EngineEmulator,
    started: Instant,
    faults: EngineFaults,
    streams: HashMap<u128, Stream>,
    next_stream: u128,
    runs: Vec<RunRecord>,
    runs_file: Option<File>,
    reports: VecDeque<(Instant, Value)>,
    cache_events: VecDeque<(u64, CacheChange)>,
    next_cache_event: u64,
    fence: u64,
    loaded: Vec<String>,
    random: Xoshiro256PlusPlus,
}

/// The engine.
#[derive(Clone)]
pub struct StandinEngine {
    state: Arc<Mutex<State>>,
    work: Arc<Notify>,
}

impl StandinEngine {
    /// An idle engine. [`run`](Self::run) makes it compute.
    pub fn new(options: EngineOptions) -> Self {
        let state = State {
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
        };
        Self { state: Arc::new(Mutex::new(state)), work: Arc::default() }
    }

    /// Computes until the process ends.
    pub async fn run(self) {
        loop {
            let (next, late_ms) = {
                let mut state = self.lock();
                state.advance();
                (state.wait(), state.faults.late_ms)
            };
            let woken = self.work.notified();
            match next {
                Some(wait) => tokio::time::sleep(wait + Duration::from_millis(late_ms)).await,
                None => woken.await,
            }
        }
    }

    /// Serves one call.
    pub async fn handle(self, call: Call) -> Answer {
        let path: Vec<&str> = call.path.iter().map(String::as_str).collect();
        let frozen = self.lock().faults.frozen;
        match (&call.method, path.as_slice()) {
            (&Method::POST, ["fault"]) => self.set_faults(&call),
            (&Method::GET, ["runs"]) => json(StatusCode::OK, &json!(self.lock().runs)),
            _ if frozen => std::future::pending().await,
            (&Method::POST, ["v1", "generate"]) => self.generate(&call),
            (&Method::GET, ["v1", "load"]) => self.load(&call),
            (&Method::POST, ["v1", "order"]) => self.order(&call),
            _ => whole(StatusCode::NOT_FOUND, ""),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, call: &Call) -> Answer {
        match serde_json::from_slice::<EngineFaults>(&call.body) {
            Ok(faults) => {
                let mut state = self.lock();
                state.emulator.set_leaving(faults.leaving);
                state.faults = faults;
                whole(StatusCode::OK, "")
            }
            Err(error) => whole(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn generate(&self, call: &Call) -> Answer {
        let Ok(request) = serde_json::from_slice::<GenerateCall>(&call.body) else {
            return json(StatusCode::BAD_REQUEST, &json!({"rejected": "the request can't be read"}));
        };
        let answer = self.lock().submit(request);
        self.work.notify_one();
        answer
    }

    /// Reports the load as it was a while ago, and the cache events since the one asked for.
    fn load(&self, call: &Call) -> Answer {
        let mut state = self.lock();
        let lag = state.options.report_lag;
        let current = state.current_load();
        state.reports.push_back((Instant::now(), current));
        while state.reports.len() > 1 && state.reports[1].0.elapsed() >= lag {
            state.reports.pop_front();
        }
        let mut report = state.reports.front().map(|(_, report)| report.clone()).unwrap_or_default();
        report["cache"] = state.cache_since(call.parameter("cache_from").and_then(|from| from.parse().ok()));
        json(StatusCode::OK, &report)
    }

    /// Carries out an order unless a later epoch was seen.
    fn order(&self, call: &Call) -> Answer {
        let Ok(order) = serde_json::from_slice::<OrderCall>(&call.body) else {
            return whole(StatusCode::BAD_REQUEST, "epoch is needed");
        };
        let mut state = self.lock();
        if order.epoch < state.fence {
            return json(StatusCode::PRECONDITION_FAILED, &json!({"epoch": state.fence}));
        }
        state.fence = order.epoch;
        if let Some(model) = order.load
            && !state.loaded.contains(&model)
        {
            state.loaded.push(model);
        }
        if let Some(model) = order.unload {
            state.loaded.retain(|loaded| *loaded != model);
        }
        json(StatusCode::OK, &json!({"loaded": state.loaded}))
    }
}

fn open_runs_file(path: &PathBuf) -> Option<File> {
    let opened = OpenOptions::new().create(true).append(true).open(path);
    opened.inspect_err(|error| eprintln!("{}: {error}", path.display())).ok()
}

impl State {
    fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// How long until the iteration under way ends.
    fn wait(&self) -> Option<Duration> {
        let next = self.emulator.next_event_us()?;
        Some(Duration::from_micros(next.saturating_sub(self.now_us())))
    }

    fn submit(&mut self, request: GenerateCall) -> Answer {
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
                let (pieces, receiver) = mpsc::unbounded_channel();
                let is_hit = self.faults.truncated > 0.0 && self.random.random_bool(self.faults.truncated.min(1.0));
                let break_after = is_hit.then(|| self.random.random_range(0..6));
                let stream = Stream { name: request.attempt, pieces, break_after, sent: 0 };
                self.streams.insert(stream_id, stream);
                crate::http::stream(receiver)
            }
        }
    }

    fn record_run(&mut self, record: RunRecord) {
        if let Some(file) = &mut self.runs_file
            && let Err(error) = writeln!(file, "{}", json!(record))
        {
            eprintln!("a run could not be written down: {error}");
        }
        self.runs.push(record);
    }

    fn advance(&mut self) {
        let now = self.now_us();
        let gone: Vec<u128> =
            self.streams.iter().filter(|(_, stream)| stream.pieces.is_closed()).map(|(id, _)| *id).collect();
        for id in gone {
            self.streams.remove(&id);
            self.emulator.cancel(id);
        }
        for output in self.emulator.advance(now) {
            self.deliver(output);
        }
        self.gather_cache_events();
    }

    fn deliver(&mut self, output: EngineOutput) {
        let (id, is_end) = match &output {
            EngineOutput::Token { attempt, .. } => (*attempt, false),
            EngineOutput::End { attempt, .. } => (*attempt, true),
        };
        let other = self.streams.iter().find(|(other, _)| **other != id).map(|(_, stream)| stream.name.clone());
        let is_crossed = !is_end && self.hits(self.faults.crossed);
        let is_doubled = !is_end && self.hits(self.faults.doubled);
        let Some(stream) = self.streams.get_mut(&id) else { return };
        let event = match output {
            EngineOutput::Token { place, text, .. } => {
                json!({"attempt": stream.name, "first": place, "tokens": 1, "text": text})
            }
            EngineOutput::End { length, .. } => json!({"attempt": stream.name, "length": length}),
        };
        if stream.break_after == Some(stream.sent) {
            // The piece that breaks the connection.
            let _ = stream.pieces.send(None);
            self.streams.remove(&id);
            self.emulator.cancel(id);
            return;
        }
        stream.sent += 1;
        let mut events = Vec::new();
        if let Some(other) = other.filter(|_| is_crossed) {
            // The piece of somebody else comes along as well.
            let mut crossed = event.clone();
            crossed["attempt"] = json!(other);
            events.push(crossed);
        }
        if is_doubled {
            events.push(event.clone());
        }
        events.push(event);
        for event in events {
            // A caller that went away is noticed at the next step.
            let _ = stream.pieces.send(Some(Bytes::from(format!("data: {event}\n\n"))));
        }
        if is_end {
            self.streams.remove(&id);
        }
    }

    fn hits(&mut self, share: f64) -> bool {
        share > 0.0 && self.random.random_bool(share.min(1.0))
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

    fn gather_cache_events(&mut self) {
        for change in self.emulator.cache.take_changes() {
            let number = self.next_cache_event;
            self.next_cache_event += 1;
            if !self.hits(self.faults.cache_gaps) {
                self.cache_events.push_back((number, change));
            }
        }
        while self.cache_events.len() > CACHE_HISTORY {
            self.cache_events.pop_front();
        }
    }

    /// Events from a number on, up to the first gap; or the whole state where that isn't possible.
    fn cache_since(&self, from: Option<u64>) -> Value {
        let Some(from) = from else { return self.whole_cache() };
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

    fn whole_cache(&self) -> Value {
        let events: Vec<Value> = self.emulator.cache.blocks().map(|block| json!({"stored": block})).collect();
        let first = self.next_cache_event.saturating_sub(events.len() as u64);
        json!({"first": first, "snapshot": true, "events": events})
    }
}
