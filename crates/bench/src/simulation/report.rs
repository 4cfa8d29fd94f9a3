//! Results of one or more simulation runs.

use std::collections::BTreeMap;

use serde::Serialize;

use super::oracle::Tally;

/// Outcome of checks that a condition held within its time limit after the faults ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LivenessTally {
    /// Number of checks.
    pub checked: u64,
    /// Number of checks in which the condition did not hold within its time limit.
    pub violations: u64,
    /// Longest time until the condition held, in milliseconds.
    pub worst_ms: u64,
}

/// Results of one or more simulation runs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SimulationReport {
    /// Number of seeds run.
    pub seeds: u64,
    /// Total simulated time, in minutes.
    pub simulated_minutes: f64,
    /// Checks and violations by invariant.
    pub invariants: BTreeMap<String, Tally>,
    /// Number of faults injected, by kind.
    pub faults: BTreeMap<String, u64>,
    /// Outcomes of the liveness checks after the faults ended.
    pub liveness: BTreeMap<String, LivenessTally>,
    /// Caller operations by kind.
    pub operations: BTreeMap<String, u64>,
    /// Longest time until an accepted revision reached all nodes, in milliseconds, and its seed.
    #[serde(skip)]
    pub slowest_propagation: (u64, u64),
    /// Violations with their seed.
    #[serde(skip)]
    pub violations: Vec<(u64, String)>,
    /// Last lines of the trace, if one was requested.
    #[serde(skip)]
    pub trace: Vec<String>,
}

impl SimulationReport {
    /// Merges another report into this one.
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
        self.slowest_propagation = self.slowest_propagation.max(other.slowest_propagation);
        self.violations.extend(other.violations);
        self.trace.extend(other.trace);
    }

    /// Returns whether any check failed.
    pub fn has_violations(&self) -> bool {
        !self.violations.is_empty()
    }
}
