//! A spare's join requests: they go to the leader alone, which a spare has to find first.
//!
//! Owns the one request that is under way. What a spare knows of the leader it also tells nodes that ask it, so that
//! whoever looks for the leader finds it in two steps, however many storing nodes there are.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::configuration::tenant::CallerIdentity;
use stallmoor_core::serving::jobs::command::JobKey;
use stallmoor_core::serving::jobs::request::JobsRequest;
use stallmoor_core::time::{Millis, Timestamp};

use crate::leader::client::LeaderClient;

/// How long the leader is looked for, in milliseconds, before the next request is due.
const SEARCH_FOR: Millis = Millis(350);

/// The join requests of a storing node.
pub(super) struct JoinRequests {
    client: Arc<LeaderClient>,
    is_under_way: Arc<AtomicBool>,
}

impl JoinRequests {
    pub(super) fn new(client: Arc<LeaderClient>) -> Self {
        Self { client, is_under_way: Arc::default() }
    }

    /// Who leads, as far as this node has found out.
    pub(super) fn leader(&self) -> Option<NodeId> {
        self.client.leader()
    }

    /// Asks the leader to let this node join, unless an earlier request is under way.
    pub(super) fn request(&self, now: Timestamp) {
        if self.is_under_way.swap(true, Ordering::Relaxed) {
            return;
        }
        let (client, is_under_way) = (self.client.clone(), self.is_under_way.clone());
        tokio::spawn(async move {
            // Only the leader says that there is no such job; any node takes a request to join.
            if client.send_request(question_for_the_leader(), now + SEARCH_FOR).await.is_ok() {
                client.notify_leader(JobsRequest::Join);
            }
            is_under_way.store(false, Ordering::Relaxed);
        });
    }
}

fn question_for_the_leader() -> JobsRequest {
    let job = JobKey(Arc::from(""));
    JobsRequest::Read { job, first: 0, wait: Millis(0), caller: CallerIdentity::Unchecked }
}
