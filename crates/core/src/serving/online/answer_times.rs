//! Durations of complete answers by route, from which a stopping gateway estimates whether a request ends in time.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::time::{Millis, Timestamp};

/// Number of answers of a route that an estimate covers.
const ANSWERS_PER_ROUTE: usize = 64;
/// Maximum number of routes that are remembered; the one without an answer for longest is forgotten first.
const MAX_ROUTES: usize = 1_024;
/// Minimum margin of an estimate, as a divisor of the longest duration.
const MIN_MARGIN_DIVISOR: u64 = 16;

/// One in this many answers may exceed the usual duration.
const UNUSUAL_DIVISOR: usize = 16;
/// Number of answers on which a reliable estimate rests.
const MIN_RELIABLE_ANSWERS: usize = 16;

/// What the latest complete answers of a route say about the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerEstimate {
    /// Time within which nearly all answers were complete.
    pub usual: Millis,
    /// Time within which any answer is expected to be complete.
    pub within: Millis,
    /// Number of answers on which the estimate rests.
    pub answers: usize,
}

impl AnswerEstimate {
    /// Returns whether the estimate rests on enough answers. A node that has just started has seen only short ones.
    pub fn is_reliable(&self) -> bool {
        self.answers >= MIN_RELIABLE_ANSWERS
    }
}

/// Durations of a route's latest complete answers.
#[derive(Clone, Debug, Default)]
struct RecentTimes {
    durations: VecDeque<Millis>,
    updated_at: Timestamp,
}

impl RecentTimes {
    fn record(&mut self, elapsed: Millis, now: Timestamp) {
        if self.durations.len() == ANSWERS_PER_ROUTE {
            self.durations.pop_front();
        }
        self.durations.push_back(elapsed);
        self.updated_at = now;
    }

    fn usual(&self) -> Option<Millis> {
        let mut sorted: Vec<Millis> = self.durations.iter().copied().collect();
        sorted.sort_unstable();
        let unusual = sorted.len() / UNUSUAL_DIVISOR;
        sorted.get(sorted.len().checked_sub(unusual + 1)?).copied()
    }

    /// Returns the usual duration, and the longest one plus a margin that grows with the spread.
    fn expected(&self) -> Option<AnswerEstimate> {
        let longest = self.durations.iter().max()?.0;
        let sum = self.durations.iter().fold(0_u64, |sum, duration| sum.saturating_add(duration.0));
        let mean = sum / self.durations.len() as u64;
        let margin = ((longest - mean) / 2).max(longest / MIN_MARGIN_DIVISOR);
        let within = Millis(longest.saturating_add(margin));
        Some(AnswerEstimate { usual: self.usual()?, within, answers: self.durations.len() })
    }
}

/// Durations of the latest complete answers of each route.
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    routes: BTreeMap<Arc<str>, RecentTimes>,
}

impl AnswerTimes {
    /// Records a complete answer of a route, `elapsed` after its request was complete.
    pub fn record(&mut self, route: &Arc<str>, elapsed: Millis, now: Timestamp) {
        if let Some(times) = self.routes.get_mut(route) {
            times.record(elapsed, now);
            return;
        }
        if self.routes.len() >= MAX_ROUTES {
            self.forget_oldest();
        }
        self.routes.entry(route.clone()).or_default().record(elapsed, now);
    }

    /// Returns the time within which an answer of a route is expected to be complete, or `None` if there was none yet.
    pub fn expected(&self, route: &str) -> Option<AnswerEstimate> {
        self.routes.get(route).and_then(RecentTimes::expected)
    }

    fn forget_oldest(&mut self) {
        let oldest = self.routes.iter().min_by_key(|(_, times)| times.updated_at).map(|(route, _)| route.clone());
        if let Some(oldest) = oldest {
            self.routes.remove(&oldest);
        }
    }
}
