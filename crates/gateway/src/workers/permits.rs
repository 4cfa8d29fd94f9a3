//! Requests permits from the job table's leader for sending requests to workers that have just started.
//!
//! Collects the workers for which permits are wanted between two requests to the leader. The worker table decides when
//! a worker is cold and what a permit allows; the leader decides on the grants. Nodes of versions without permits close
//! the connection on such a request, so a separate connection is used.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use stallmoor_core::identity::NodeId;
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::serving::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::serving::workers::WorkerId;
use stallmoor_core::serving::workers::cold_start::{
    MAX_PERMIT_WAIT, MAX_WORKERS_PER_PERMIT_REQUEST, PERMIT_INTERVAL, PERMIT_LIFETIME,
};
use stallmoor_core::time::Millis;
use tokio::sync::{Notify, watch};

use crate::batch::job_calls::JobCalls;
use crate::leader::client::LeaderClient;
use crate::observe::journal::{Field, record};
use crate::observe::measures;
use crate::workers::attempt::WorkerClient;

/// Delay after a failed request: there is no leader, or it does not support permits.
const NO_LEADER_RETRY_INTERVAL: Millis = Millis(500);

/// The permits wanted by this node's requests.
pub struct PermitRequests {
    wanted: Mutex<BTreeSet<WorkerId>>,
    /// Notified when permits are wanted.
    permits_wanted: Notify,
    /// Counts completed requests to the leader, including failed ones.
    completed_requests: watch::Sender<u64>,
    /// Whether the last request to the leader failed, in which case requests don't wait for the next answer.
    has_no_leader: AtomicBool,
}

impl Default for PermitRequests {
    fn default() -> Self {
        Self {
            wanted: Mutex::default(),
            permits_wanted: Notify::new(),
            completed_requests: watch::Sender::new(0),
            has_no_leader: AtomicBool::new(false),
        }
    }
}

impl PermitRequests {
    /// Adds workers to the next request for permits, which names no more workers than one of the online requests
    /// wants, since its permits would otherwise expire unused.
    pub fn request(&self, workers: Vec<WorkerId>) {
        if workers.is_empty() {
            return;
        }
        let limit = workers.len().max(MAX_WORKERS_PER_PERMIT_REQUEST);
        let mut wanted = self.wanted.lock().unwrap_or_else(PoisonError::into_inner);
        for worker in workers {
            if wanted.len() < limit {
                wanted.insert(worker);
            }
        }
        self.permits_wanted.notify_one();
    }

    /// Waits up to [`MAX_PERMIT_WAIT`] for the leader's answer. Returns immediately while the leader is unreachable.
    pub async fn wait_for_answer(&self) {
        if self.has_no_leader() {
            return;
        }
        let mut answers = self.completed_requests.subscribe();
        // After a timeout, the next selection finds no permits.
        let _ = tokio::time::timeout(Duration::from_millis(MAX_PERMIT_WAIT.0), answers.changed()).await;
    }

    /// Returns whether the last request for permits reached no leader.
    pub fn has_no_leader(&self) -> bool {
        self.has_no_leader.load(Ordering::Relaxed)
    }

    fn take_wanted(&self) -> Vec<WorkerId> {
        let mut wanted = self.wanted.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *wanted).into_iter().collect()
    }
}

/// Requests wanted permits from the leader until the process ends. Starts the search for the leader at the one that
/// answers requests about jobs and loads.
pub async fn exchange_permits(workers: Arc<WorkerClient>, jobs: Arc<JobCalls>, id: NodeId) {
    let view = workers.view.clone();
    let client = LeaderClient::new(view.clone(), id);
    loop {
        workers.permits.permits_wanted.notified().await;
        let requested_at = view.clock.now();
        // The lifetime starts with the request, so that a late answer doesn't prolong a permit.
        let until = requested_at + PERMIT_LIFETIME;
        let wanted = workers.permits.take_wanted();
        let wanted_count = wanted.len();
        // Without an answer no permits are added, and this node uses its share of the workers' rate.
        client.suggest_leader(jobs.client.leader());
        let answer = client.send_request(JobsRequest::RequestPermits(wanted), until).await;
        workers.permits.has_no_leader.store(answer.is_err(), Ordering::Relaxed);
        let wait = if answer.is_ok() { PERMIT_INTERVAL } else { NO_LEADER_RETRY_INTERVAL };
        let granted = match &answer {
            Ok(JobsAnswer::Permits(granted)) => granted.as_slice(),
            _ => &[],
        };
        {
            let mut table = view.workers();
            table.set_permit_leader(answer.is_ok());
            table.add_permits(granted, until);
        }
        log_answer(answer.is_ok(), wanted_count, granted.len(), view.clock.now().since(requested_at));
        workers.permits.completed_requests.send_modify(|count| *count += 1);
        tokio::time::sleep(Duration::from_millis(wait.0)).await;
    }
}

fn log_answer(has_leader: bool, wanted: usize, granted: usize, elapsed: Millis) {
    let outcome = if has_leader { "answered" } else { "no_leader" };
    let fields = [
        Field::text("outcome", outcome),
        Field::number("wanted", wanted as u64),
        Field::number("granted", granted as u64),
        Field::number("age_ms", elapsed.0),
    ];
    record(LogEvent::PermitsAnswered, &fields);
    measures::count_permits("granted", granted);
    measures::count_permits(if has_leader { "denied" } else { "no_leader" }, wanted.saturating_sub(granted));
}
