//! Accepted items that make no progress: why, since when, how many, and when this is reported.
//!
//! The leader of the job table, a storage node that knows no leader, and each gateway make a [`Standstill`] of what they
//! know. Storage nodes send theirs with the answers to load reports, so that gateways know what holds up the items too.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::dispatch::{WaitCause, WaitingItems};
use crate::time::{Millis, Timestamp};

/// Time without progress after which a stall is reported. A change of leader or full workers rarely take longer.
pub const STALL_REPORT_AFTER: Millis = Millis(1_000);
/// Interval of the reports on a stall that goes on.
const STALL_REPORT_INTERVAL: Millis = Millis(5_000);
/// Maximum number of stalls in a message.
const MAX_STALLS: usize = 16;
/// Maximum length of a stall's detail in a message, in bytes.
const MAX_DETAIL_BYTES: usize = 320;

/// Why accepted items make no progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub enum StallCause {
    /// No leader of the job table is known, or none answers.
    NoLeader,
    /// The leader has entries that are not committed.
    Commit,
    /// Runs have ended, and their results are not committed.
    Result,
    /// The leader has no configuration.
    AnyConfiguration,
    /// The leader's configuration is older than that of the items' job.
    Configuration,
    /// No worker has room.
    Worker,
    /// No worker of the version that began the items' output has room.
    Version,
    /// The items are quarantined because workers crashed.
    Quarantine,
    /// The items wait after runs that failed.
    Delay,
    /// The items are ready, and the leader tries none.
    Untried,
    /// The view of the metadata store is old.
    OldView,
    /// A cause that this version does not know.
    Other,
}

impl StallCause {
    /// Returns all causes.
    pub fn all() -> [Self; 12] {
        [
            Self::NoLeader,
            Self::Commit,
            Self::Result,
            Self::AnyConfiguration,
            Self::Configuration,
            Self::Worker,
            Self::Version,
            Self::Quarantine,
            Self::Delay,
            Self::Untried,
            Self::OldView,
            Self::Other,
        ]
    }

    /// Returns the name that is used in messages, in log fields and as a metric label.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoLeader => "no_leader",
            Self::Commit => "commit",
            Self::Result => "result",
            Self::AnyConfiguration => "any_configuration",
            Self::Configuration => "configuration",
            Self::Worker => "worker",
            Self::Version => "version",
            Self::Quarantine => "quarantine",
            Self::Delay => "delay",
            Self::Untried => "untried",
            Self::OldView => "old_view",
            Self::Other => "other",
        }
    }
}

impl From<String> for StallCause {
    fn from(name: String) -> Self {
        Self::all().into_iter().find(|cause| cause.name() == name).unwrap_or(Self::Other)
    }
}

impl From<StallCause> for String {
    fn from(cause: StallCause) -> Self {
        cause.name().to_owned()
    }
}

/// One reason for which items make no progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stall {
    /// The cause.
    pub cause: StallCause,
    /// The number of items; 0 if it is not known.
    pub items: u32,
    /// How long there has been no progress.
    pub span: Millis,
    /// What the items lack, or what is known of the group.
    pub detail: Arc<str>,
}

impl Stall {
    /// Returns the stall of items that are ready and lack something.
    pub fn of_waiting(waiting: &WaitingItems, now: Timestamp) -> Self {
        let cause = match &waiting.cause {
            WaitCause::Worker(needs) if needs.version.is_some() => StallCause::Version,
            WaitCause::Worker(_) => StallCause::Worker,
            WaitCause::Configuration(_) => StallCause::Configuration,
            WaitCause::AnyConfiguration => StallCause::AnyConfiguration,
        };
        let items = count(waiting.items);
        Self { cause, items, span: now.since(waiting.since), detail: Arc::from(waiting.cause.to_string()) }
    }

    /// Returns whether there has been no progress for so long that it is reported.
    pub fn is_reportable(&self) -> bool {
        self.span >= STALL_REPORT_AFTER
    }

    fn aged(&self, age: Millis) -> Self {
        Self { span: Millis(self.span.0.saturating_add(age.0)), ..self.clone() }
    }
}

/// What a node knows of items that make no progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standstill {
    /// The number of items without a result.
    pub open_items: u32,
    /// The stalls, at most one for each cause.
    pub stalls: Vec<Stall>,
}

impl Standstill {
    /// Creates the standstill of a node from all that is reportable. Stalls of the same cause are added up.
    pub fn new(open_items: usize, stalls: impl IntoIterator<Item = Stall>) -> Self {
        let mut by_cause: BTreeMap<StallCause, Stall> = BTreeMap::new();
        for stall in stalls.into_iter().filter(Stall::is_reportable) {
            match by_cause.get_mut(&stall.cause) {
                Some(sum) => {
                    sum.items = sum.items.saturating_add(stall.items);
                    sum.span = sum.span.max(stall.span);
                    sum.detail = Arc::from(format!("{}; {}", sum.detail, stall.detail));
                }
                None => {
                    by_cause.insert(stall.cause, stall);
                }
            }
        }
        let stalls = by_cause.into_values().take(MAX_STALLS).map(Self::bounded).collect();
        Self { open_items: count(open_items), stalls }
    }

    fn bounded(mut stall: Stall) -> Stall {
        if stall.detail.len() > MAX_DETAIL_BYTES {
            let ends = (0..=MAX_DETAIL_BYTES).rev().find(|end| stall.detail.is_char_boundary(*end)).unwrap_or(0);
            stall.detail = Arc::from(&stall.detail[..ends]);
        }
        stall
    }

    /// Returns a standstill that was received `age` ago as it is now.
    pub fn aged(&self, age: Millis) -> Self {
        Self { stalls: self.stalls.iter().map(|stall| stall.aged(age)).collect(), ..*self }
    }

    /// Returns the stall of a cause, if there is one.
    pub fn of(&self, cause: StallCause) -> Option<&Stall> {
        self.stalls.iter().find(|stall| stall.cause == cause)
    }
}

/// A report on items that make no progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StallReport {
    /// There has been no progress for some time.
    Stalled(Stall),
    /// There is progress again, or nothing waits for this cause any more.
    Ended {
        /// The cause.
        cause: StallCause,
        /// How long there had been no progress.
        span: Millis,
    },
}

#[derive(Clone, Copy, Debug)]
struct Reported {
    since: Timestamp,
    at: Timestamp,
}

/// The reported stalls: one report when a stall begins, further ones while it goes on, one when it ends.
#[derive(Clone, Debug, Default)]
pub struct StallLog {
    reported: BTreeMap<StallCause, Reported>,
}

impl StallLog {
    /// Returns the reports that are due.
    pub fn poll(&mut self, standstill: &Standstill, now: Timestamp) -> Vec<StallReport> {
        let mut reports = Vec::new();
        self.reported.retain(|cause, reported| {
            let goes_on = standstill.of(*cause).is_some_and(Stall::is_reportable);
            if !goes_on {
                reports.push(StallReport::Ended { cause: *cause, span: now.since(reported.since) });
            }
            goes_on
        });
        for stall in standstill.stalls.iter().filter(|stall| stall.is_reportable()) {
            let last = self.reported.get(&stall.cause);
            if last.is_none_or(|last| now.since(last.at) >= STALL_REPORT_INTERVAL) {
                let since = last.map_or(now - stall.span, |last| last.since);
                self.reported.insert(stall.cause, Reported { since, at: now });
                reports.push(StallReport::Stalled(stall.clone()));
            }
        }
        reports
    }
}

fn count(items: usize) -> u32 {
    u32::try_from(items).unwrap_or(u32::MAX)
}
