//! Asking the job table's leader for permits to send requests to workers that have just started.
//!
//! Owns which workers permits are wanted for since the last question. When a worker is cold, and what a permit is good
//! for, is decided by the worker table; what is granted, by the leader. Nodes of a version that knows no permits close
//! the connection on such a question, so it has a connection of its own.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::serving::workers::WorkerId;
use stallmoor_core::serving::workers::cold_start::{
    MAX_PERMIT_WAIT, MAX_WORKERS_PER_PERMIT_REQUEST, PERMIT_INTERVAL, PERMIT_LIFETIME,
};
use stallmoor_core::time::Millis;
use tokio::sync::{Notify, watch};

use crate::leader::client::LeaderClient;
use crate::workers::attempt::WorkerClient;

/// The wait after a question without an answer, in milliseconds: there is no leader, or it knows no permits.
const NO_LEADER_RETRY_INTERVAL: Millis = Millis(500);

/// The permits that this node's requests want.
pub struct PermitRequests {
    wanted: Mutex<BTreeSet<WorkerId>>,
    /// Notified when permits are wanted.
    permits_wanted: Notify,
    /// Counts the questions that were answered, or not in time.
    answered: watch::Sender<u64>,
    /// The last question got no answer, so waiting for the next would be in vain.
    has_no_leader: AtomicBool,
}

impl Default for PermitRequests {
    fn default() -> Self {
        Self {
            wanted: Mutex::default(),
            permits_wanted: Notify::new(),
            answered: watch::Sender::new(0),
            has_no_leader: AtomicBool::new(false),
        }
    }
}

impl PermitRequests {
    /// A request could go to these workers if there were permits.
    pub fn want(&self, workers: Vec<WorkerId>) {
        if workers.is_empty() {
            return;
        }
        let mut wanted = self.wanted.lock().unwrap_or_else(PoisonError::into_inner);
        for worker in workers {
            if wanted.len() < MAX_WORKERS_PER_PERMIT_REQUEST {
                wanted.insert(worker);
            }
        }
        self.permits_wanted.notify_one();
    }

    /// Waits until the leader has answered, for a moment at most, and not while it is out of reach.
    pub async fn answered(&self) {
        if self.has_no_leader.load(Ordering::Relaxed) {
            return;
        }
        let mut answers = self.answered.subscribe();
        // Without an answer there are no permits, which the next choice shows.
        let _ = tokio::time::timeout(Duration::from_millis(MAX_PERMIT_WAIT.0), answers.changed()).await;
    }

    fn take_wanted(&self) -> Vec<WorkerId> {
        let mut wanted = self.wanted.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *wanted).into_iter().collect()
    }
}

/// Asks for permits when they are wanted, until the process ends.
pub async fn exchange_permits(workers: Arc<WorkerClient>, id: NodeId) {
    let view = workers.view.clone();
    let client = LeaderClient::new(view.clone(), id);
    loop {
        workers.permits.permits_wanted.notified().await;
        let requested_at = view.clock.now();
        // Counted from the question on, so that a late answer prolongs no permit.
        let until = requested_at + PERMIT_LIFETIME;
        let wanted = workers.permits.take_wanted();
        // Without a leader, or with one that knows no permits, there are none, and cold workers are passed over.
        let answer = client.send_request(JobsRequest::RequestPermits(wanted), until).await;
        workers.permits.has_no_leader.store(answer.is_err(), Ordering::Relaxed);
        let wait = if answer.is_ok() { PERMIT_INTERVAL } else { NO_LEADER_RETRY_INTERVAL };
        if let Ok(JobsAnswer::Permits(granted)) = answer {
            view.workers().add_permits(&granted, until);
        }
        workers.permits.answered.send_modify(|count| *count += 1);
        tokio::time::sleep(Duration::from_millis(wait.0)).await;
    }
}
