//! The key-value service and the machine list.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use rand::Rng;
use rand_xoshiro::Xoshiro256PlusPlus;
use stallmoor_core::identity::EngineName;
use stallmoor_core::node::{KeyValueOperation, KeyValueOutcome, MachineReport};

/// Earlier values kept for stale reads.
const HISTORY: usize = 3;
/// Calls a second that the service takes.
const CALLS_PER_SECOND: f64 = 60.0;

/// What ails the service now.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeyValueAilments {
    /// It answers nothing.
    pub down: bool,
    /// Most milliseconds of extra delay.
    pub slow_ms: u64,
    /// Share of calls that take effect without an answer.
    pub lost_answers: f64,
    /// Share of reads that give an earlier value.
    pub stale: f64,
}

struct Stored {
    version: u64,
    value: Arc<str>,
    earlier: VecDeque<(u64, Arc<str>)>,
}

/// The service.
#[derive(Default)]
pub struct KeyValueModel {
    values: BTreeMap<String, Stored>,
    /// What ails it now.
    pub ailments: KeyValueAilments,
    tokens: f64,
    tokens_at_ms: u64,
    /// Calls refused by the rate limit.
    pub limited: u64,
}

impl KeyValueModel {
    /// Carries out a call. Returns the outcome and after how many milliseconds it arrives.
    pub fn call(
        &mut self,
        operation: &KeyValueOperation,
        now_ms: u64,
        random: &mut Xoshiro256PlusPlus,
    ) -> (KeyValueOutcome, u64) {
        const TIMEOUT_MS: u64 = 2_500;
        if self.ailments.down {
            return (KeyValueOutcome::NoAnswer, random.random_range(5..=TIMEOUT_MS));
        }
        let delay = random.random_range(2..=8) + random.random_range(0..=self.ailments.slow_ms);
        let earned = (now_ms - self.tokens_at_ms) as f64 / 1_000.0 * CALLS_PER_SECOND;
        self.tokens = (self.tokens + earned).min(CALLS_PER_SECOND);
        self.tokens_at_ms = now_ms;
        if self.tokens < 1.0 {
            self.limited += 1;
            return (KeyValueOutcome::NoAnswer, delay);
        }
        self.tokens -= 1.0;
        let outcome = self.carry_out(operation, random);
        let is_lost = self.ailments.lost_answers > 0.0 && random.random_bool(self.ailments.lost_answers);
        if is_lost || delay > TIMEOUT_MS {
            return (KeyValueOutcome::NoAnswer, TIMEOUT_MS);
        }
        (outcome, delay)
    }

    /// A value as it is, past all ailments.
    pub fn value(&self, key: &str) -> Option<&Arc<str>> {
        self.values.get(key).map(|stored| &stored.value)
    }

    fn carry_out(&mut self, operation: &KeyValueOperation, random: &mut Xoshiro256PlusPlus) -> KeyValueOutcome {
        match operation {
            KeyValueOperation::Get { key } => self.get(key, random),
            KeyValueOperation::CompareAndSwap { key, expected, value } => self.compare_and_swap(key, *expected, value),
        }
    }

    fn get(&self, key: &str, random: &mut Xoshiro256PlusPlus) -> KeyValueOutcome {
        let Some(stored) = self.values.get(key) else { return KeyValueOutcome::NotFound };
        let is_stale = self.ailments.stale > 0.0 && random.random_bool(self.ailments.stale);
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
            while earlier.len() > HISTORY {
                earlier.pop_front();
            }
        }
        let stored = Stored { version: current + 1, value: Arc::from(value), earlier };
        self.values.insert(key.to_owned(), stored);
        KeyValueOutcome::Written
    }
}

/// The machine list: readers see it as it was a while ago.
pub struct MachineModel {
    reports: Vec<(u64, MachineReport)>,
    /// How old the list is that readers see.
    pub lag_ms: u64,
}

/// The machine list's usual lag, in milliseconds.
pub const USUAL_LAG_MS: u64 = 1_500;

impl MachineModel {
    /// An empty list.
    pub fn new(lag_ms: u64) -> Self {
        Self { reports: Vec::new(), lag_ms }
    }

    /// A machine reports itself.
    pub fn report(&mut self, now_ms: u64, report: MachineReport) {
        self.reports.push((now_ms, report));
    }

    /// The list as readers see it now.
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
