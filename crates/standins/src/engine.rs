//! The engine: the emulator in real time behind HTTP, with its faults, its lagging load report, its
//! late and gappy cache events, and fenced orders.
//!
//! Owns the calls and what each is answered. Relies on `state` for what the engine does.

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
use crate::http::{Answer, Call, json, whole};

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

/// The engine.
#[derive(Clone)]
pub struct StandinEngine {
    state: Arc<Mutex<State>>,
    work: Arc<Notify>,
}

impl StandinEngine {
    /// An idle engine. [`run`](Self::run) makes it compute.
    pub fn new(options: EngineOptions) -> Self {
        Self { state: Arc::new(Mutex::new(State::new(options))), work: Arc::default() }
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
        let cache_from = call.parameter("cache_from").and_then(|from| from.parse().ok());
        json(StatusCode::OK, &self.lock().report(cache_from))
    }

    /// Carries out an order unless a later epoch was seen.
    fn order(&self, call: &Call) -> Answer {
        let Ok(order) = serde_json::from_slice::<OrderCall>(&call.body) else {
            return whole(StatusCode::BAD_REQUEST, "epoch is needed");
        };
        self.lock().obey(order)
    }
}
