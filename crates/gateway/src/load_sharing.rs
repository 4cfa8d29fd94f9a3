//! Telling the table's leader this node's online requests, and hearing those of all others.

use std::sync::Arc;
use std::time::Duration;

use stallmoor_core::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::time::Millis;

use crate::fleet_view::FleetView;
use crate::job_calls::JobCalls;

/// The time between two exchanges.
const INTERVAL: Duration = Duration::from_millis(150);
/// How long the leader's answer is waited for.
const PATIENCE: Millis = Millis(250);
/// The time between two exchanges while this node has no requests.
const IDLE_INTERVAL: Duration = Duration::from_millis(600);

/// Exchanges loads until the process ends.
pub async fn share_loads(view: Arc<FleetView>, jobs: Arc<JobCalls>) {
    loop {
        let own = view.workers().own_loads();
        let is_idle = own.is_empty();
        let until = view.clock.now() + PATIENCE;
        if let Ok(JobsAnswer::Loads(loads)) = jobs.client.ask(JobsRequest::ShareLoad(own), until).await {
            let now = view.clock.now();
            view.workers().set_shared_loads(&loads, now);
        }
        tokio::time::sleep(if is_idle { IDLE_INTERVAL } else { INTERVAL }).await;
    }
}
