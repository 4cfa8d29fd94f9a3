//! The invariants, and how often each was checked and violated.

use std::collections::BTreeMap;

use serde::Serialize;

/// How often something was checked, and how often it did not hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    /// Times checked.
    pub checked: u64,
    /// Times it did not hold.
    pub violations: u64,
}

/// Every accepted item has exactly one result, which never changes.
pub const EXACTLY_ONCE: &str = "exactly_once";
/// A result that was read once is read the same at every node ever after.
pub const RESULTS_READABLE: &str = "results_readable";
/// After a cancellation is acknowledged, nothing of the job completes.
pub const CANCEL_STOPS: &str = "cancel_stops";
/// A caller gets the whole answer to its own request.
pub const WHOLE_ANSWERS: &str = "whole_answers";
/// A refusal that says "not run" is true, by the engines' own count.
pub const NOT_RUN_IS_TRUE: &str = "not_run_is_true";
/// A not-repeatable request runs at most once, by the engines' own count.
pub const AT_MOST_ONCE: &str = "at_most_once";
/// A leaving engine is offered no new work after a few seconds.
pub const LEAVING_GETS_NOTHING: &str = "leaving_gets_nothing";
/// A planned stop cuts no request.
pub const PLANNED_STOP_CUTS_NOTHING: &str = "planned_stop_cuts_nothing";
/// The revision in force at a node never goes down.
pub const CONFIGURATION_NEVER_REVERTS: &str = "configuration_never_reverts";
/// No two changes are accepted as the same revision.
pub const ONE_CHANGE_PER_REVISION: &str = "one_change_per_revision";
/// A change that was refused as not applied is never in force.
pub const REFUSED_CHANGE_NOT_APPLIED: &str = "refused_change_not_applied";
/// No two nodes act under the control lease at the same moment.
pub const ONE_CONTROL_HOLDER: &str = "one_control_holder";
/// An engine carries out no order of an epoch before the latest that it has seen.
pub const ORDERS_ARE_FENCED: &str = "orders_are_fenced";
/// A refusal that may be tried again says when.
pub const REFUSAL_SAYS_WHEN: &str = "refusal_says_when";

const ALL: [&str; 14] = [
    ONE_CONTROL_HOLDER,
    ORDERS_ARE_FENCED,
    EXACTLY_ONCE,
    RESULTS_READABLE,
    CANCEL_STOPS,
    WHOLE_ANSWERS,
    NOT_RUN_IS_TRUE,
    AT_MOST_ONCE,
    LEAVING_GETS_NOTHING,
    PLANNED_STOP_CUTS_NOTHING,
    CONFIGURATION_NEVER_REVERTS,
    ONE_CHANGE_PER_REVISION,
    REFUSED_CHANGE_NOT_APPLIED,
    REFUSAL_SAYS_WHEN,
];

/// The tallies of a run, and what was violated.
#[derive(Clone, Debug)]
pub struct Oracle {
    /// Tallies by invariant.
    pub tallies: BTreeMap<&'static str, Tally>,
    /// What was violated, with the time in milliseconds.
    pub violations: Vec<String>,
}

impl Oracle {
    /// An oracle that has checked nothing.
    pub fn new() -> Self {
        Self { tallies: ALL.iter().map(|name| (*name, Tally::default())).collect(), violations: Vec::new() }
    }

    /// Notes one check.
    pub fn check(&mut self, name: &'static str, holds: bool, at_ms: u64, detail: impl FnOnce() -> String) {
        let tally = self.tallies.entry(name).or_default();
        tally.checked += 1;
        if !holds {
            tally.violations += 1;
            self.violations.push(format!("{at_ms} ms: {name}: {}", detail()));
        }
    }
}
