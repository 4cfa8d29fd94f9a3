//! Sends the join requests of a spare, that is, of a storage node that is not a member of the group. The requests must
//! reach the leader, so the spare locates it first.
//!
//! Owns the request in progress. A spare also reports the leader it found to nodes that query it, so that a search for
//! the leader takes two steps regardless of the number of storage nodes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::configuration::tenant::CallerIdentity;
use stallmoor_core::serving::jobs::command::JobKey;
use stallmoor_core::serving::jobs::request::JobsRequest;
use stallmoor_core::time::{Millis, Timestamp};

use crate::leader::client::LeaderClient;

/// Maximum duration of a search for the leader; ends before the next join request is due.
const LEADER_SEARCH_TIMEOUT: Millis = Millis(350);

/// Sends the join requests of this node.
pub(super) struct JoinRequests {
    client: Arc<LeaderClient>,
    is_in_progress: Arc<AtomicBool>,
}

impl JoinRequests {
    pub(super) fn new(client: Arc<LeaderClient>) -> Self {
        Self { client, is_in_progress: Arc::default() }
    }

    /// Returns the leader that the last search found, if any.
    pub(super) fn leader(&self) -> Option<NodeId> {
        self.client.leader()
    }

    /// Sends a join request to the leader, unless an earlier one is in progress.
    pub(super) fn request(&self, now: Timestamp) {
        if self.is_in_progress.swap(true, Ordering::Relaxed) {
            return;
        }
        let (client, is_in_progress) = (self.client.clone(), self.is_in_progress.clone());
        tokio::spawn(async move {
            // Any node accepts a join request, but only the leader answers this read, so it locates the leader.
            if client.send_request(leader_probe(), now + LEADER_SEARCH_TIMEOUT).await.is_ok() {
                client.notify_leader(JobsRequest::Join);
            }
            is_in_progress.store(false, Ordering::Relaxed);
        });
    }
}

/// Returns a read of a job that does not exist, which only the leader answers.
fn leader_probe() -> JobsRequest {
    let job = JobKey(Arc::from(""));
    JobsRequest::Read { job, first: 0, wait: Millis(0), caller: CallerIdentity::Unchecked }
}
