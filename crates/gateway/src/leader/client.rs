//! Requests to the job table's leader, wherever it is.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use stallmoor_core::identity::NodeId;
use stallmoor_core::peer_message::GroupRefusal;
use stallmoor_core::serving::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::time::{Millis, Timestamp};

use crate::fleet::fleet_view::FleetView;
use crate::peers::peer_link::{LinkFailure, PeerLinks};

/// How long one node's answer is waited for, beyond what the request itself asks to wait.
const TRY_TIMEOUT: Duration = Duration::from_millis(900);
/// The wait after every node refused.
const ROUND_WAIT: Duration = Duration::from_millis(60);

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoLeader {
    /// The request may have reached a leader all the same.
    pub may_have_arrived: bool,
}

/// Finds the leader and asks it.
pub struct LeaderClient {
    view: Arc<FleetView>,
    links: PeerLinks,
    leader: Mutex<Option<NodeId>>,
}

impl LeaderClient {
    /// A client that knows no leader yet.
    pub fn new(view: Arc<FleetView>, id: NodeId) -> Self {
        Self { view, links: PeerLinks::new(id), leader: Mutex::default() }
    }

    /// Asks until there is an answer or the time is over.
    ///
    /// A refusal says that nothing was taken by the try that it answers. Where an earlier try may have reached
    /// a leader, it is answered as [`JobsAnswer::Indeterminate`]: that try may yet take effect.
    ///
    /// # Errors
    ///
    /// [`NoLeader`]: nobody answered in time.
    pub async fn ask(&self, request: JobsRequest, until: Timestamp) -> Result<JobsAnswer, NoLeader> {
        let mut may_have_arrived = false;
        let mut turn = 0;
        loop {
            let left = until.since(self.view.clock.now());
            if left == Millis(0) {
                return Err(NoLeader { may_have_arrived });
            }
            let Some(target) = self.target(turn) else {
                tokio::time::sleep(ROUND_WAIT).await;
                turn += 1;
                continue;
            };
            let timeout = (TRY_TIMEOUT + own_wait(&request)).min(Duration::from_millis(left.0));
            match self.links.ask(target.address, request.clone(), timeout).await {
                Ok(Ok(JobsAnswer::Indeterminate)) => {
                    may_have_arrived = true;
                    self.forget_leader();
                    tokio::time::sleep(ROUND_WAIT).await;
                }
                Ok(Ok(answer)) => {
                    self.set_leader(target.node);
                    let is_unsure = may_have_arrived && answer.took_nothing();
                    return Ok(if is_unsure { JobsAnswer::Indeterminate } else { answer });
                }
                Ok(Err(GroupRefusal::NotLeader { leader: Some(leader), .. })) if leader != target.node => {
                    self.set_leader(leader);
                }
                Ok(Err(_)) => {
                    self.forget_leader();
                    tokio::time::sleep(ROUND_WAIT).await;
                }
                Err(failure) => {
                    may_have_arrived |= failure == LinkFailure::NoAnswer;
                    self.forget_leader();
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
            turn += 1;
        }
    }

    /// The leader if it is known, else each storing node in turn, those of the zone first.
    fn target(&self, turn: usize) -> Option<Target> {
        let leader = *self.leader.lock().unwrap_or_else(PoisonError::into_inner);
        let storage = self.view.storage();
        if let Some(record) = leader.and_then(|leader| storage.of_node(leader)) {
            return Some(Target { node: record.node, address: record.address });
        }
        let mut records: Vec<_> = storage.records().collect();
        records.sort_by_key(|record| record.zone != self.view.zone);
        let count = records.len().max(1);
        let record = records.get(turn % count)?;
        Some(Target { node: record.node, address: record.address })
    }

    fn set_leader(&self, node: NodeId) {
        *self.leader.lock().unwrap_or_else(PoisonError::into_inner) = Some(node);
    }

    fn forget_leader(&self) {
        *self.leader.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }
}

struct Target {
    node: NodeId,
    address: std::net::SocketAddr,
}

fn own_wait(request: &JobsRequest) -> Duration {
    match request {
        JobsRequest::Read { wait, .. } => Duration::from_millis(wait.0),
        _ => Duration::ZERO,
    }
}
