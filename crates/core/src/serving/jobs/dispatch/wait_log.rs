//! When it is reported that ready items do not start.

use std::collections::BTreeMap;

use super::wait_cause::WaitCause;
use crate::time::{Millis, Timestamp};

/// Time without a start after which items are reported. Workers are rarely full for longer if all is well.
const REPORT_AFTER: Millis = Millis(1_000);
/// Interval of the reports on items that still do not start.
const REPORT_INTERVAL: Millis = Millis(10_000);

/// The ready items with the same needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingItems {
    /// What they need.
    pub cause: WaitCause,
    /// Their number.
    pub items: usize,
    /// The time since which items have waited and none of them has started.
    pub since: Timestamp,
}

/// A report on items that do not start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WaitReport {
    /// The items have not started for some time.
    Blocked(WaitingItems),
    /// One of the items has started, or none is ready any more.
    Unblocked {
        /// What the items needed.
        cause: WaitCause,
        /// The time since which none had started.
        since: Timestamp,
    },
}

#[derive(Clone, Copy, Debug)]
struct Reported {
    since: Timestamp,
    at: Timestamp,
}

/// The reported causes. At most one report is due at a time for each.
#[derive(Clone, Debug, Default)]
pub struct WaitLog {
    /// Bounded by the causes for which items wait.
    reported: BTreeMap<WaitCause, Reported>,
}

impl WaitLog {
    /// Returns the reports that are due.
    pub fn poll(&mut self, waiting: &[WaitingItems], now: Timestamp) -> Vec<WaitReport> {
        let blocked = || waiting.iter().filter(|items| is_blocked(items, now));
        let mut reports = Vec::new();
        self.reported.retain(|cause, reported| {
            let goes_on = blocked().any(|items| items.cause == *cause);
            if !goes_on {
                reports.push(WaitReport::Unblocked { cause: cause.clone(), since: reported.since });
            }
            goes_on
        });
        for items in blocked() {
            let is_due = self.reported.get(&items.cause).is_none_or(|last| now.since(last.at) >= REPORT_INTERVAL);
            if is_due {
                self.reported.insert(items.cause.clone(), Reported { since: items.since, at: now });
                reports.push(WaitReport::Blocked(items.clone()));
            }
        }
        reports
    }
}

/// Returns whether items have waited for long enough to be reported.
pub fn is_blocked(items: &WaitingItems, now: Timestamp) -> bool {
    now.since(items.since) >= REPORT_AFTER
}
