//! What a run, or many, came to.

use std::collections::BTreeMap;

use serde::Serialize;

use super::oracle::Tally;

/// Whether something came about in time after the failures ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LivenessTally {
    /// Times checked.
    pub checked: u64,
    /// Times it did not come about within its bound.
    pub violations: u64,
    /// The longest it took, in milliseconds.
    pub worst_ms: u64,
}

/// What a run, or many, came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SimulationReport {
    /// Seeds run.
    pub seeds: u64,
    /// Minutes simulated.
    pub simulated_minutes: f64,
    /// Tallies by invariant.
    pub invariants: BTreeMap<String, Tally>,
    /// Failures injected, by kind.
    pub faults: BTreeMap<String, u64>,
    /// What came about after the failures ended.
    pub liveness: BTreeMap<String, LivenessTally>,
    /// What callers did, by kind.
    pub operations: BTreeMap<String, u64>,
    /// How long the slowest spread of an accepted revision took in milliseconds, and its seed.
    #[serde(skip)]
    pub slowest_spread: (u64, u64),
    /// What was violated, by seed.
    #[serde(skip)]
    pub violations: Vec<(u64, String)>,
    /// The last events before the end, if a trace was asked for.
    #[serde(skip)]
    pub trace: Vec<String>,
}

impl SimulationReport {
    /// Adds another report to this one.
    pub fn merge(&mut self, other: SimulationReport) {
        self.seeds += other.seeds;
        self.simulated_minutes += other.simulated_minutes;
        for (name, tally) in other.invariants {
            let sum = self.invariants.entry(name).or_default();
            sum.checked += tally.checked;
            sum.violations += tally.violations;
        }
        for (name, count) in other.faults {
            *self.faults.entry(name).or_default() += count;
        }
        for (name, count) in other.operations {
            *self.operations.entry(name).or_default() += count;
        }
        for (name, tally) in other.liveness {
            let sum = self.liveness.entry(name).or_default();
            sum.checked += tally.checked;
            sum.violations += tally.violations;
            sum.worst_ms = sum.worst_ms.max(tally.worst_ms);
        }
        self.slowest_spread = self.slowest_spread.max(other.slowest_spread);
        self.violations.extend(other.violations);
        self.trace.extend(other.trace);
    }

    /// Whether anything was violated.
    pub fn has_violations(&self) -> bool {
        !self.violations.is_empty()
    }
}
