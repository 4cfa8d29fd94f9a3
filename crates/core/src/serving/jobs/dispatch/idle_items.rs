//! Items that have not run for some time.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::super::command::ItemKey;
use super::super::standstill::{STALL_REPORT_AFTER, Stall, StallCause};
use super::{Dispatcher, OpenItem, Phase};
use crate::time::{Millis, Timestamp};

/// Maximum number of single items in a review.
const MAX_LISTED_ITEMS: usize = 20;

/// An item that has not ended, and what it does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdleItem {
    /// The item.
    pub key: ItemKey,
    /// What it does or waits for.
    pub state: String,
    /// The time since it last ran; if it runs, since its run began.
    pub span: Millis,
    /// The number of its failed runs.
    pub failures: u32,
    /// The ID of the last event of its output; 0 for none.
    pub events: u64,
}

/// The items that have not run for some time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IdleReview {
    /// The reasons, but for those of [`Dispatcher::waiting`].
    pub stalls: Vec<Stall>,
    /// A bounded number of the items that have been open without an end for the longest time.
    pub items: Vec<IdleItem>,
}

#[derive(Clone, Debug, Default)]
struct Sum {
    items: u32,
    span: Millis,
    details: BTreeMap<&'static str, u32>,
}

impl Sum {
    fn stall(self, cause: StallCause) -> Stall {
        let details: Vec<String> = self.details.iter().map(|(name, items)| format!("{name} {items}")).collect();
        Stall { cause, items: self.items, span: self.span, detail: Arc::from(details.join(", ")) }
    }
}

impl Dispatcher {
    /// Reviews the items that have not run since earlier reviews. Visits every open item; to be called about once a
    /// second.
    pub fn review_idle(&mut self, now: Timestamp) -> IdleReview {
        let mut sums: BTreeMap<StallCause, Sum> = BTreeMap::new();
        let mut longest: BTreeMap<(std::cmp::Reverse<Millis>, &ItemKey), &OpenItem> = BTreeMap::new();
        for (key, open_item) in &mut self.items {
            let span = open_item.observe_idle(now);
            let needs_are_known = self.ready.has_known_needs(key);
            if let Some((cause, detail)) = open_item.wait(needs_are_known).filter(|_| span >= STALL_REPORT_AFTER) {
                let sum = sums.entry(cause).or_default();
                sum.items = sum.items.saturating_add(1);
                sum.span = sum.span.max(span);
                *sum.details.entry(detail).or_default() += 1;
            }
            longest.insert((std::cmp::Reverse(span), key), open_item);
            if longest.len() > MAX_LISTED_ITEMS {
                longest.pop_last();
            }
        }
        let listed = longest.iter().map(|((span, key), open_item)| open_item.listed(key, span.0, now));
        let items = listed.collect();
        IdleReview { stalls: sums.into_iter().map(|(cause, sum)| sum.stall(cause)).collect(), items }
    }
}

impl OpenItem {
    /// Returns for how long the item has not run, or its present run has lasted.
    fn observe_idle(&mut self, now: Timestamp) -> Millis {
        if matches!(self.phase, Phase::Running) {
            self.idle_since = None;
            return now.since(self.started_at);
        }
        now.since(*self.idle_since.get_or_insert(now))
    }

    /// Returns what the item waits for, unless it runs or its needs are known.
    fn wait(&self, needs_are_known: bool) -> Option<(StallCause, &'static str)> {
        match &self.phase {
            Phase::Running => None,
            Phase::Ready if needs_are_known => None,
            Phase::Ready => Some((StallCause::Untried, "ready")),
            Phase::Delayed { .. } => Some(match self.waits_for {
                Some(reason) => (StallCause::Quarantine, reason.name()),
                None => (StallCause::Delay, "after a run"),
            }),
            Phase::Finished { .. } => Some((StallCause::Result, "not committed")),
        }
    }

    fn listed(&self, key: &ItemKey, span: Millis, now: Timestamp) -> IdleItem {
        let state = match &self.phase {
            Phase::Running => "runs".to_owned(),
            Phase::Ready => "ready".to_owned(),
            Phase::Delayed { until } => {
                let reason = self.waits_for.map_or("run", |reason| reason.name());
                format!("delayed by {reason} for {} ms", until.since(now).0)
            }
            Phase::Finished { state } => format!("ended as {state:?}, not committed"),
        };
        IdleItem { key: key.clone(), state, span, failures: self.failures.total(), events: self.output.events() }
    }
}
