//! Invariants of the simulation, with counts of checks and violations.

use std::collections::BTreeMap;

use serde::Serialize;

/// Number of checks and violations of one invariant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    /// Number of checks.
    pub checked: u64,
    /// Number of checks that failed.
    pub violations: u64,
}

/// Every accepted item has exactly one result, which never changes.
pub const EXACTLY_ONCE: &str = "exactly_once";
/// Every node returns the same content for a result that has been read once.
pub const RESULTS_READABLE: &str = "results_readable";
/// No item of a job completes after its cancellation is acknowledged.
pub const CANCEL_STOPS: &str = "cancel_stops";
/// A caller receives the complete answer to its own request.
pub const COMPLETE_ANSWERS: &str = "whole_answers";
/// A refusal that reports "not run" agrees with the engines' execution counts.
pub const NOT_RUN_IS_ACCURATE: &str = "not_run_is_true";
/// A non-repeatable request runs at most once according to the engines' execution counts.
pub const AT_MOST_ONCE: &str = "at_most_once";
/// A leaving engine is offered no new work after the grace period.
pub const NO_WORK_FOR_LEAVING: &str = "leaving_gets_nothing";
/// A graceful shutdown interrupts no request.
pub const PLANNED_STOP_INTERRUPTS_NOTHING: &str = "planned_stop_cuts_nothing";
/// The revision in force at a node never decreases.
pub const REVISION_NEVER_DECREASES: &str = "configuration_never_reverts";
/// No two changes are accepted as the same revision.
pub const ONE_CHANGE_PER_REVISION: &str = "one_change_per_revision";
/// A change that was refused as not applied is never in force.
pub const REFUSED_CHANGE_NOT_APPLIED: &str = "refused_change_not_applied";
/// No two nodes act under the control lease at the same time.
pub const ONE_CONTROL_HOLDER: &str = "one_control_holder";
/// An engine executes no order from an epoch older than the latest one it has seen.
pub const ORDERS_ARE_FENCED: &str = "orders_are_fenced";
/// A refusal that may be retried includes a retry delay.
pub const REFUSAL_HAS_RETRY_DELAY: &str = "refusal_says_when";

const ALL: [&str; 14] = [
    ONE_CONTROL_HOLDER,
    ORDERS_ARE_FENCED,
    EXACTLY_ONCE,
    RESULTS_READABLE,
    CANCEL_STOPS,
    COMPLETE_ANSWERS,
    NOT_RUN_IS_ACCURATE,
    AT_MOST_ONCE,
    NO_WORK_FOR_LEAVING,
    PLANNED_STOP_INTERRUPTS_NOTHING,
    REVISION_NEVER_DECREASES,
    ONE_CHANGE_PER_REVISION,
    REFUSED_CHANGE_NOT_APPLIED,
    REFUSAL_HAS_RETRY_DELAY,
];

/// Invariant checks and violations of a run.
#[derive(Clone, Debug)]
pub struct Oracle {
    /// Checks and violations by invariant.
    pub tallies: BTreeMap<&'static str, Tally>,
    /// Descriptions of the violations, each with its time in milliseconds.
    pub violations: Vec<String>,
}

impl Oracle {
    /// Creates an oracle with no recorded checks.
    pub fn new() -> Self {
        Self { tallies: ALL.iter().map(|name| (*name, Tally::default())).collect(), violations: Vec::new() }
    }

    /// Records one check, and a violation if it failed.
    pub fn check(&mut self, name: &'static str, holds: bool, at_ms: u64, detail: impl FnOnce() -> String) {
        let tally = self.tallies.entry(name).or_default();
        tally.checked += 1;
        if !holds {
            tally.violations += 1;
            self.violations.push(format!("{at_ms} ms: {name}: {}", detail()));
        }
    }
}
