//! Requests to the job table's leader, wherever it is. Which node is asked, and when it is given up, is decided by
//! [`LeaderSearch`].

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::serving::leader::search::{
    LeaderSearch, LeaderTarget, NoLeader, SearchDecision, SearchStep, TryOutcome,
};
use stallmoor_core::time::{Millis, Timestamp};

use crate::fleet::fleet_view::FleetView;
use crate::leader::log_unexpected;
use crate::peers::peer_link::{PeerCallError, PeerLinks};

/// Finds the leader and asks it.
pub struct LeaderClient {
    view: Arc<FleetView>,
    links: PeerLinks,
    /// Who led last. All requests share it.
    leader: Mutex<Option<NodeId>>,
    /// Tries of all searches, so that each goes on where the one before ended.
    tries: AtomicUsize,
}

impl LeaderClient {
    /// A client that knows no leader yet.
    pub fn new(view: Arc<FleetView>, id: NodeId) -> Self {
        Self { view, links: PeerLinks::new(id), leader: Mutex::default(), tries: AtomicUsize::new(0) }
    }

    /// Asks until there is an answer or the time is over.
    ///
    /// A refusal says that nothing was taken by the try that it answers. Where an earlier try may have reached
    /// a leader, it is answered as [`JobsAnswer::Indeterminate`]: that try may yet take effect.
    ///
    /// # Errors
    ///
    /// [`NoLeader`]: nobody answered in time.
    pub async fn send_request(&self, request: JobsRequest, until: Timestamp) -> Result<JobsAnswer, NoLeader> {
        let mut search = LeaderSearch::new(&request, until).with_previous_tries(self.tries.load(Ordering::Relaxed));
        loop {
            let step = self.next_step(&mut search);
            self.tries.store(search.tries(), Ordering::Relaxed);
            let (target, timeout) = match step {
                SearchStep::Send { target, timeout } => (target, timeout),
                SearchStep::Wait(span) => {
                    sleep(span).await;
                    continue;
                }
                SearchStep::TimedOut(failure) => return Err(failure),
            };
            let outcome = self.try_node(target, request.clone(), timeout).await;
            match search.tried(target.node, outcome) {
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

    fn next_step(&self, search: &mut LeaderSearch) -> SearchStep {
        search.next(self.leader(), &self.view.storage(), &self.view.zone, self.view.clock.now())
    }

    async fn try_node(&self, target: LeaderTarget, request: JobsRequest, timeout: Millis) -> TryOutcome {
        match self.links.send_request(target.address, request, Duration::from_millis(timeout.0)).await {
            Ok(answer) => TryOutcome::Answered(answer),
            Err(PeerCallError::Refused(refusal)) => TryOutcome::Refused(refusal),
            Err(PeerCallError::NotSent) => TryOutcome::NotSent,
            Err(PeerCallError::NoAnswer) => TryOutcome::NoAnswer,
        }
    }

    /// Who led last, as far as this client knows.
    pub fn leader(&self) -> Option<NodeId> {
        *self.leader.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends the leader a request whose answer nobody waits for.
    pub fn notify_leader(&self, request: JobsRequest) {
        let leader = self.leader();
        let address = leader.and_then(|leader| self.view.storage().of_node(leader).map(|record| record.address));
        if let Some(address) = address {
            self.links.notify(address, request);
        }
    }

    fn set_leader(&self, leader: Option<NodeId>) {
        *self.leader.lock().unwrap_or_else(PoisonError::into_inner) = leader;
    }
}

async fn sleep(span: Millis) {
    tokio::time::sleep(Duration::from_millis(span.0)).await;
}
