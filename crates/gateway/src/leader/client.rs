//! Client for requests to the job table's leader. [`LeaderSearch`] decides which node to try and when to time out.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::serving::leader::search::{
    LeaderSearch, LeaderTarget, NoLeader, SearchDecision, SearchStep, TryOutcome, UnresponsiveNode,
};
use stallmoor_core::time::{Millis, Timestamp};

use crate::fleet::fleet_view::FleetView;
use crate::leader::log_unexpected;
use crate::leader::storage_reach::ReachMonitor;
use crate::peers::peer_link::{PeerCallError, PeerLinks};

/// Finds the leader and sends requests to it.
pub struct LeaderClient {
    pub(super) view: Arc<FleetView>,
    pub(super) reach: ReachMonitor,
    links: PeerLinks,
    /// The last known leader, shared by all requests.
    leader: Mutex<Option<NodeId>>,
    /// The node that left the latest submission unanswered, shared by all submissions.
    unresponsive: Mutex<Option<UnresponsiveNode>>,
    /// Number of attempts of all searches, so that each search continues where the previous one ended.
    tries: AtomicUsize,
}

impl LeaderClient {
    /// Creates a client for the node `id` without a known leader.
    pub fn new(view: Arc<FleetView>, id: NodeId) -> Self {
        Self {
            view,
            reach: ReachMonitor::default(),
            links: PeerLinks::new(id),
            leader: Mutex::default(),
            unresponsive: Mutex::default(),
            tries: AtomicUsize::new(0),
        }
    }

    /// Sends a request to the leader, with retries until there is an answer or the deadline has passed.
    ///
    /// A refusal applies only to the attempt that it answers. If an earlier attempt may have reached a leader and may
    /// still take effect, [`JobsAnswer::Indeterminate`] is returned instead.
    ///
    /// # Errors
    ///
    /// [`NoLeader`]: no leader answered before the deadline.
    pub async fn send_request(&self, request: JobsRequest, until: Timestamp) -> Result<JobsAnswer, NoLeader> {
        let mut search = self.search(&request, until);
        loop {
            if let Some(failure) = self.give_up_early(&request, &search) {
                return Err(failure);
            }
            let step = self.next_step(&mut search);
            let (target, timeout) = match step {
                SearchStep::Send { target, timeout } => (target, timeout),
                SearchStep::Wait(span) => {
                    sleep(span).await;
                    continue;
                }
                SearchStep::TimedOut(failure) => return Err(failure),
            };
            let outcome = self.try_node(target, request.clone(), timeout).await;
            let decision = search.record_outcome(target.node, outcome, self.view.clock.now());
            if let Some(unresponsive) = search.unresponsive() {
                *lock(&self.unresponsive) = Some(unresponsive);
            }
            match decision {
                SearchDecision::Done(answer) => {
                    log_unexpected(target.address, &request, &answer);
                    self.set_leader(Some(target.node));
                    return Ok(answer);
                }
                SearchDecision::Retry { leader, wait } => {
                    self.set_leader(leader);
                    if wait > Millis(0) {
                        sleep(wait).await;
                    }
                }
            }
        }
    }

    pub(super) fn search(&self, request: &JobsRequest, until: Timestamp) -> LeaderSearch {
        LeaderSearch::new(request, until)
            .with_previous_tries(self.tries.load(Ordering::Relaxed))
            .with_unresponsive(*lock(&self.unresponsive))
    }

    pub(super) fn next_step(&self, search: &mut LeaderSearch) -> SearchStep {
        let step = search.next(self.leader(), &self.view.storage(), &self.view.zone, self.view.clock.now());
        self.tries.store(search.tries(), Ordering::Relaxed);
        step
    }

    pub(super) async fn try_node(&self, target: LeaderTarget, request: JobsRequest, timeout: Millis) -> TryOutcome {
        let started_at = self.view.clock.now();
        let outcome = match self.links.send_request(target.address, request, Duration::from_millis(timeout.0)).await {
            Ok(answer) => TryOutcome::Answered(answer),
            Err(PeerCallError::Refused(refusal)) => TryOutcome::Refused(refusal),
            Err(PeerCallError::NotSent) => TryOutcome::NotSent,
            Err(PeerCallError::NoAnswer) => TryOutcome::NoAnswer,
        };
        self.reach.record(target.node, &outcome, started_at, self.view.clock.now());
        outcome
    }

    /// Returns the last known leader.
    pub fn leader(&self) -> Option<NodeId> {
        *lock(&self.leader)
    }

    /// Sends a request to the last known leader, if any, without waiting for the answer.
    pub fn notify_leader(&self, request: JobsRequest) {
        let leader = self.leader();
        let address = leader.and_then(|leader| self.view.storage().of_node(leader).map(|record| record.address));
        if let Some(address) = address {
            self.links.notify(address, request);
        }
    }

    /// Uses `leader` as the last known leader if this client knows none.
    pub fn suggest_leader(&self, leader: Option<NodeId>) {
        let mut known = lock(&self.leader);
        *known = known.or(leader);
    }

    fn set_leader(&self, leader: Option<NodeId>) {
        *lock(&self.leader) = leader;
    }
}

fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn sleep(span: Millis) {
    tokio::time::sleep(Duration::from_millis(span.0)).await;
}
