//! Engine stand-in: runs the emulator in real time behind HTTP, with injected faults, delayed load reports,
//! incomplete cache events and epoch-fenced orders.
//!
//! This module handles the HTTP requests; `state` holds the engine state.

mod state;

use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use stallmoor_emulator::EngineSettings;
use tokio::sync::Notify;

pub use self::state::RunRecord;
use self::state::{GenerateCall, OrderCall, State};
use crate::http::{Answer, Call, full, json};

/// Injected faults, all off by default. Fractions range from 0 to 1.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Fraction of responses whose connection is closed after a few chunks.
    pub truncated: f64,
    /// Fraction of chunks that are sent twice.
    pub doubled: f64,
    /// Fraction of chunks that are preceded by a copy labeled with the name of another attempt.
    pub crossed: f64,
    /// Delay added before each iteration.
    pub late_ms: u64,
    /// Leaves every request without a response, except for `/fault` and `/runs`.
    pub frozen: bool,
    /// Rejects new work.
    pub leaving: bool,
    /// Fraction of cache events that are lost.
    pub cache_gaps: f64,
}

/// Options of the engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Settings of the emulated engine.
    pub settings: EngineSettings,
    /// Age of load reports.
    pub report_lag: Duration,
    /// Incarnation number sent in load reports.
    pub incarnation: u64,
    /// Seed of the random generator that injects faults.
    pub seed: u64,
    /// File to which each run is appended as a JSON line, so that the record survives a restart.
    pub runs_file: Option<PathBuf>,
}

/// HTTP handler and real-time loop of an emulated engine.
#[derive(Clone)]
pub struct StandinEngine {
    state: Arc<Mutex<State>>,
    work: Arc<Notify>,
}

impl StandinEngine {
    /// Creates an idle engine. It processes requests once [`run`](Self::run) is polled.
    pub fn new(options: EngineOptions) -> Self {
        Self { state: Arc::new(Mutex::new(State::new(options))), work: Arc::default() }
    }

    /// Advances the emulator in real time, until the process exits.
    pub async fn run(self) {
        loop {
            let (next, late_ms) = {
                let mut state = self.lock();
                state.advance();
                (state.time_to_next_event(), state.faults.late_ms)
            };
            let woken = self.work.notified();
            match next {
                Some(wait) => tokio::time::sleep(wait + Duration::from_millis(late_ms)).await,
                None => woken.await,
            }
        }
    }

    /// Handles one request.
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
            _ => full(StatusCode::NOT_FOUND, ""),
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
                full(StatusCode::OK, "")
            }
            Err(error) => full(StatusCode::BAD_REQUEST, error.to_string()),
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

    /// Returns the delayed load report and the cache events from `cache_from` on.
    fn load(&self, call: &Call) -> Answer {
        let cache_from = call.parameter("cache_from").and_then(|from| from.parse().ok());
        json(StatusCode::OK, &self.lock().report(cache_from))
    }

    fn order(&self, call: &Call) -> Answer {
        let Ok(order) = serde_json::from_slice::<OrderCall>(&call.body) else {
            return full(StatusCode::BAD_REQUEST, "epoch is needed");
        };
        self.lock().execute_order(order)
    }
}
