//! Key-value service stand-in with versioned values and compare-and-swap. Faults: rate limit, outage, latency,
//! lost responses after a write took effect, and stale reads.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::http::{Answer, Call, full, json};

/// Number of previous values retained per key for stale reads.
const MAX_PREVIOUS_VALUES: usize = 4;

/// Injected faults, all off by default. Fractions range from 0 to 1.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeyValueFaults {
    /// Responds to every request with status 503.
    pub outage: bool,
    /// Delay added before each response.
    pub slow_ms: u64,
    /// Fraction of writes that take effect but get a response with status 503.
    pub lost_answers: f64,
    /// Fraction of reads that return a previous value.
    pub stale_reads: f64,
    /// Rate limit in requests per second; 0 disables it.
    pub calls_per_second: u32,
}

struct Stored {
    version: u64,
    value: String,
    earlier: VecDeque<(u64, String)>,
}

struct State {
    values: BTreeMap<String, Stored>,
    faults: KeyValueFaults,
    tokens: f64,
    tokens_at: Instant,
    random: Xoshiro256PlusPlus,
}

/// In-memory key-value service.
#[derive(Clone)]
pub struct KeyValue {
    state: Arc<Mutex<State>>,
}

impl KeyValue {
    /// Creates an empty service. `seed` determines which requests are affected by faults.
    pub fn new(faults: KeyValueFaults, seed: u64) -> Self {
        let state = State {
            values: BTreeMap::new(),
            faults,
            tokens: 1.0,
            tokens_at: Instant::now(),
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
        };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Handles one request.
    pub async fn handle(self, call: Call) -> Answer {
        let path: Vec<&str> = call.path.iter().map(String::as_str).collect();
        if let (&Method::POST, ["fault"]) = (&call.method, path.as_slice()) {
            return self.set_faults(&call);
        }
        if let Some(rejected) = self.rejection().await {
            return rejected;
        }
        match (&call.method, path.as_slice()) {
            (&Method::GET, ["v1", "keys", key @ ..]) => self.get(&key.join("/")),
            (&Method::PUT, ["v1", "keys", key @ ..]) => self.put(&key.join("/"), &call),
            _ => full(StatusCode::NOT_FOUND, ""),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, call: &Call) -> Answer {
        match serde_json::from_slice::<KeyValueFaults>(&call.body) {
            Ok(faults) => {
                self.lock().faults = faults;
                full(StatusCode::OK, "")
            }
            Err(error) => full(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    async fn rejection(&self) -> Option<Answer> {
        let (outage, slow_ms, limited) = {
            let mut state = self.lock();
            let limited = !state.take_token();
            (state.faults.outage, state.faults.slow_ms, limited)
        };
        if slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        }
        if outage {
            return Some(full(StatusCode::SERVICE_UNAVAILABLE, ""));
        }
        limited.then(|| full(StatusCode::TOO_MANY_REQUESTS, ""))
    }

    fn get(&self, key: &str) -> Answer {
        match self.read(key) {
            Some((version, value)) => json(StatusCode::OK, &json!({"version": version, "value": value})),
            None => full(StatusCode::NOT_FOUND, ""),
        }
    }

    fn read(&self, key: &str) -> Option<(u64, String)> {
        let mut state = self.lock();
        let probability = state.faults.stale_reads;
        let is_stale = probability > 0.0 && state.random.random_bool(probability.min(1.0));
        let stored = state.values.get(key)?;
        if is_stale && let Some(earlier) = stored.earlier.front() {
            return Some(earlier.clone());
        }
        Some((stored.version, stored.value.clone()))
    }

    fn put(&self, key: &str, call: &Call) -> Answer {
        let expected = call.parameter("expected").and_then(|expected| expected.parse::<u64>().ok());
        let value = String::from_utf8_lossy(&call.body).into_owned();
        let mut state = self.lock();
        let current = state.values.get(key).map_or(0, |stored| stored.version);
        if expected.is_some_and(|expected| expected != current) {
            return json(StatusCode::PRECONDITION_FAILED, &json!({"version": current}));
        }
        let version = current + 1;
        let mut earlier = VecDeque::new();
        if let Some(previous) = state.values.remove(key) {
            earlier = previous.earlier;
            earlier.push_back((previous.version, previous.value));
            earlier.truncate(MAX_PREVIOUS_VALUES);
        }
        state.values.insert(key.to_owned(), Stored { version, value, earlier });
        let probability = state.faults.lost_answers;
        if probability > 0.0 && state.random.random_bool(probability.min(1.0)) {
            return full(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        json(StatusCode::OK, &json!({"version": version}))
    }
}

impl State {
    fn take_token(&mut self) -> bool {
        let limit = f64::from(self.faults.calls_per_second);
        if limit == 0.0 {
            return true;
        }
        let now = Instant::now();
        let earned = now.duration_since(self.tokens_at).as_secs_f64() * limit;
        self.tokens = (self.tokens + earned).min(limit.max(1.0));
        self.tokens_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
