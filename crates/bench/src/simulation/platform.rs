//! Models of the key-value service and the machine list.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use rand::Rng;
use rand_xoshiro::Xoshiro256PlusPlus;
use stallmoor_core::identity::EngineName;
use stallmoor_core::node::{KeyValueOperation, KeyValueOutcome, MachineReport};

/// Number of previous values retained for stale reads.
const MAX_PREVIOUS_VALUES: usize = 3;
/// Rate limit of the service.
const MAX_CALLS_PER_SECOND: f64 = 60.0;

/// Active impairments of the key-value service.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeyValueImpairments {
    /// Whether all calls go unanswered.
    pub down: bool,
    /// Maximum extra delay of an answer, in milliseconds.
    pub slow_ms: u64,
    /// Fraction of calls that take effect but whose answer is lost.
    pub lost_answers: f64,
    /// Fraction of reads that return a previous value.
    pub stale: f64,
}

struct Stored {
    version: u64,
    value: Arc<str>,
    earlier: VecDeque<(u64, Arc<str>)>,
}

/// Model of a versioned key-value service with compare-and-swap.
#[derive(Default)]
pub struct KeyValueModel {
    values: BTreeMap<String, Stored>,
    /// Active impairments.
    pub impairments: KeyValueImpairments,
    tokens: f64,
    tokens_at_ms: u64,
    /// Number of calls rejected by the rate limit.
    pub limited: u64,
}

impl KeyValueModel {
    /// Executes a call. Returns the outcome and its delay in milliseconds.
    pub fn call(
        &mut self,
        operation: &KeyValueOperation,
        now_ms: u64,
        random: &mut Xoshiro256PlusPlus,
    ) -> (KeyValueOutcome, u64) {
        const TIMEOUT_MS: u64 = 2_500;
        if self.impairments.down {
            return (KeyValueOutcome::NoAnswer, random.random_range(5..=TIMEOUT_MS));
        }
        let delay = random.random_range(2..=8) + random.random_range(0..=self.impairments.slow_ms);
        let earned = (now_ms - self.tokens_at_ms) as f64 / 1_000.0 * MAX_CALLS_PER_SECOND;
        self.tokens = (self.tokens + earned).min(MAX_CALLS_PER_SECOND);
        self.tokens_at_ms = now_ms;
        if self.tokens < 1.0 {
            self.limited += 1;
            return (KeyValueOutcome::NoAnswer, delay);
        }
        self.tokens -= 1.0;
        let outcome = self.execute(operation, random);
        let is_lost = self.impairments.lost_answers > 0.0 && random.random_bool(self.impairments.lost_answers);
        if is_lost || delay > TIMEOUT_MS {
            return (KeyValueOutcome::NoAnswer, TIMEOUT_MS);
        }
        (outcome, delay)
    }

    /// Returns the current value, unaffected by impairments.
    pub fn value(&self, key: &str) -> Option<&Arc<str>> {
        self.values.get(key).map(|stored| &stored.value)
    }

    fn execute(&mut self, operation: &KeyValueOperation, random: &mut Xoshiro256PlusPlus) -> KeyValueOutcome {
        match operation {
            KeyValueOperation::Get { key } => self.get(key, random),
            KeyValueOperation::CompareAndSwap { key, expected, value } => self.compare_and_swap(key, *expected, value),
        }
    }

    fn get(&self, key: &str, random: &mut Xoshiro256PlusPlus) -> KeyValueOutcome {
        let Some(stored) = self.values.get(key) else { return KeyValueOutcome::NotFound };
        let is_stale = self.impairments.stale > 0.0 && random.random_bool(self.impairments.stale);
        if let Some((version, value)) = stored.earlier.front().filter(|_| is_stale) {
            return KeyValueOutcome::Value { version: *version, value: value.clone() };
        }
        KeyValueOutcome::Value { version: stored.version, value: stored.value.clone() }
    }

    fn compare_and_swap(&mut self, key: &str, expected: u64, value: &str) -> KeyValueOutcome {
        let current = self.values.get(key).map_or(0, |stored| stored.version);
        if current != expected {
            return KeyValueOutcome::VersionMismatch;
        }
        let mut earlier = VecDeque::new();
        if let Some(previous) = self.values.remove(key) {
            earlier = previous.earlier;
            earlier.push_back((previous.version, previous.value));
            while earlier.len() > MAX_PREVIOUS_VALUES {
                earlier.pop_front();
            }
        }
        let stored = Stored { version: current + 1, value: Arc::from(value), earlier };
        self.values.insert(key.to_owned(), stored);
        KeyValueOutcome::Written
    }
}

/// Model of the machine list, which readers see with a delay.
pub struct MachineModel {
    reports: Vec<(u64, MachineReport)>,
    /// Age of the list that readers see, in milliseconds.
    pub lag_ms: u64,
}

/// Delay of the machine list when it is not impaired.
pub const DEFAULT_LAG_MS: u64 = 1_500;

impl MachineModel {
    /// Creates an empty list that readers see `lag_ms` late.
    pub fn new(lag_ms: u64) -> Self {
        Self { reports: Vec::new(), lag_ms }
    }

    /// Records a report from a machine.
    pub fn report(&mut self, now_ms: u64, report: MachineReport) {
        self.reports.push((now_ms, report));
    }

    /// Returns the list as readers currently see it.
    pub fn read(&self, now_ms: u64) -> Vec<MachineReport> {
        let mut latest: BTreeMap<EngineName, MachineReport> = BTreeMap::new();
        for (at, report) in &self.reports {
            if at + self.lag_ms <= now_ms {
                latest.insert(report.engine.clone(), report.clone());
            }
        }
        latest.into_values().collect()
    }
}
