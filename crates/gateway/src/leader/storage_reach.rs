//! Decides whether a submission is worth sending: not while no storage node is reachable.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::configuration::tenant::CallerIdentity;
use stallmoor_core::serving::jobs::command::JobKey;
use stallmoor_core::serving::jobs::request::JobsRequest;
use stallmoor_core::serving::leader::search::{LeaderSearch, NoLeader, SearchStep, TryOutcome};
use stallmoor_core::serving::leader::storage_reach::{PROBE_TIMEOUT, StorageReach, SubmissionStep};
use stallmoor_core::time::{Millis, Timestamp};

use crate::leader::client::LeaderClient;

/// Storage nodes' reachability, from the calls of one client.
#[derive(Debug, Default)]
pub struct ReachMonitor {
    state: Mutex<StorageReach>,
}

impl ReachMonitor {
    /// Records the outcome of an attempt.
    pub fn record(&self, node: NodeId, outcome: &TryOutcome, started_at: Timestamp, now: Timestamp) {
        match outcome {
            TryOutcome::Answered(_) | TryOutcome::Refused(_) => self.state().record_response(now),
            TryOutcome::NotSent | TryOutcome::NoAnswer => self.state().record_failure(node, started_at, now),
        }
    }

    fn state(&self) -> MutexGuard<'_, StorageReach> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LeaderClient {
    /// Returns whether any storage node seems reachable, after at most one probe.
    pub async fn reaches_storage(&self) -> bool {
        let step = self.reach.state().on_submission(self.known_storage_nodes(), self.view.clock.now());
        match step {
            SubmissionStep::Send => true,
            SubmissionStep::Refuse => false,
            SubmissionStep::Probe => self.probe().await,
        }
    }

    /// Returns the failure of a submission that is not worth another attempt, since no storage node is reachable and no
    /// earlier attempt may have arrived.
    pub(super) fn give_up_early(&self, request: &JobsRequest, search: &LeaderSearch) -> Option<NoLeader> {
        let is_unsent_submission = matches!(request, JobsRequest::Submit(_)) && !search.may_have_arrived();
        let now = self.view.clock.now();
        let is_unreachable = || self.reach.state().is_unreachable(self.known_storage_nodes(), now);
        (is_unsent_submission && is_unreachable()).then_some(NoLeader { may_have_arrived: false })
    }

    /// Sends a read of a job that does not exist to one storage node. Any response shows that it is reachable.
    async fn probe(&self) -> bool {
        let job = JobKey(Arc::from(""));
        let request = JobsRequest::Read { job, first: 0, wait: Millis(0), caller: CallerIdentity::Unchecked };
        let mut search = self.search(&request, self.view.clock.now() + PROBE_TIMEOUT);
        let SearchStep::Send { target, timeout } = self.next_step(&mut search) else { return false };
        matches!(self.try_node(target, request, timeout).await, TryOutcome::Answered(_) | TryOutcome::Refused(_))
    }

    fn known_storage_nodes(&self) -> usize {
        self.view.storage().records().count()
    }
}
