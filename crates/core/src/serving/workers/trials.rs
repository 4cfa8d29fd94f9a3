//! Trial requests to suspected workers, which show whether they have recovered.
//!
//! A suspected worker gets one trial request per second over all nodes together. Each node takes an even share of that
//! rate by the number of nodes that it knows, at a random phase. This needs no messages, and partitioned nodes keep to
//! their shares.

use rand::Rng;

use super::choice::WorkerQuery;
use super::table::WorkerTable;
use super::worker::{WorkerEntry, WorkerId};
use crate::hashing::{hash_bytes, rendezvous_weight};
use crate::time::{Millis, Timestamp};

/// Time between two trial requests to a suspected worker, over all nodes together.
const TRIAL_INTERVAL: Millis = Millis(1_000);
/// Maximum number of trial intervals of this node by which requests to a suspected worker delay the next trial.
const MAX_DELAY_INTERVALS: u64 = 2;
/// Minimum number of requests of this node from one trial to the next. When many workers fail, their trials would
/// otherwise take most of the requests.
const MIN_REQUESTS_PER_TRIAL: u64 = 10;

/// This node's share of the trial requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Trials {
    /// Number of nodes that send requests to workers; 0 if unknown.
    nodes: u32,
    /// Random number of this node, which determines its phases.
    seed: u64,
    /// Number of requests that this node had placed at its last trial.
    placed_at_last: Option<u64>,
}

impl Trials {
    /// Returns the time between two trials of this node at a worker; `None` if the number of nodes is unknown.
    fn interval(&self) -> Option<Millis> {
        (self.nodes > 0).then(|| Millis(TRIAL_INTERVAL.0 * u64::from(self.nodes)))
    }

    /// Returns the time of the first trial of a worker that is suspected from `now` on: uniformly distributed over the
    /// node's interval.
    pub(super) fn first(&self, id: &WorkerId, now: Timestamp) -> Option<Timestamp> {
        let interval = self.interval()?;
        let phase = rendezvous_weight(self.seed ^ now.as_millis(), hash_bytes(id.0.as_bytes()));
        Some(now + Millis(phase % interval.0))
    }

    /// Returns the time of the trial after one at `now` that was due at `due`.
    fn next(&self, due: Timestamp, now: Timestamp) -> Option<Timestamp> {
        let interval = self.interval()?;
        Some((due.max(now) + interval).min(now + Millis(interval.0 * MAX_DELAY_INTERVALS)))
    }
}

impl WorkerTable {
    /// Sets the number of nodes that send requests to workers, all gateways and the leader, including unreachable ones.
    /// Without a known number (0), this node sends no trial requests.
    pub fn set_node_count(&mut self, nodes: u32, now: Timestamp, random: &mut impl Rng) {
        if nodes == self.trials.nodes {
            return;
        }
        let seed = random.random();
        self.trials = Trials { nodes, seed, ..self.trials };
        self.rate_share.set_gateways(nodes.saturating_sub(1), seed);
        for id in &self.evidence.suspected {
            let first = self.trials.first(id, now);
            let known = self.workers.get_mut(id).and_then(|entry| entry.evidence.as_mut());
            if let Some(suspicion) = known.and_then(|known| known.suspicion.as_mut()) {
                suspicion.next_trial = first;
            }
        }
    }

    /// Returns the suspected worker whose trial is due, if the request may be used for it.
    pub(super) fn due_trial(&self, query: &WorkerQuery<'_>, now: Timestamp) -> Option<&WorkerEntry> {
        if self.had_recent_trial() { None } else { self.due_sole_trial(query, now) }
    }

    /// Like [`Self::due_trial`], if no other worker can serve the request: it is then used for a trial however many requests
    /// were.
    pub(super) fn due_sole_trial(&self, query: &WorkerQuery<'_>, now: Timestamp) -> Option<&WorkerEntry> {
        // A repeated attempt may be the last one.
        let is_suitable = query.may_run_again && query.tried.is_empty();
        if !is_suitable || self.evidence.suspected.is_empty() {
            return None;
        }
        let due = |entry: &WorkerEntry| entry.suspicion()?.next_trial.filter(|due| *due <= now);
        let suspected = self.evidence.suspected.iter().filter_map(|id| self.workers.get(id));
        let usable = suspected.filter(|entry| self.is_usable_for_trial(entry, query, now));
        usable.filter_map(|entry| Some((due(entry)?, entry))).min_by_key(|(due, _)| *due).map(|(_, entry)| entry)
    }

    fn had_recent_trial(&self) -> bool {
        self.trials.placed_at_last.is_some_and(|last| self.placed - last < MIN_REQUESTS_PER_TRIAL)
    }

    fn is_usable_for_trial(&self, entry: &WorkerEntry, query: &WorkerQuery<'_>, now: Timestamp) -> bool {
        let has_free_slot = entry.present_load(now) < entry.record.slots;
        let is_available = entry.accepts_requests(now) && !entry.is_ejected(now) && has_free_slot;
        let is_allowed = self.is_eligible(entry, query) && self.may_continue(entry, query);
        is_available && is_allowed && self.is_warm_or_permitted(entry, now)
    }

    /// Schedules the next trial after a request was sent to a worker, if that worker is suspected.
    pub(super) fn schedule_next_trial(&mut self, id: &WorkerId, now: Timestamp) {
        let known = self.workers.get_mut(id).and_then(|entry| entry.evidence.as_mut());
        let Some(suspicion) = known.and_then(|known| known.suspicion.as_mut()) else { return };
        self.trials.placed_at_last = Some(self.placed);
        suspicion.next_trial = suspicion.next_trial.and_then(|due| self.trials.next(due, now));
    }
}
