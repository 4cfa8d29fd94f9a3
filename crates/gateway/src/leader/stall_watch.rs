//! Reports at a gateway that accepted items make no progress, as far as this gateway knows.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::json;
use stallmoor_core::serving::jobs::standstill::{StallLog, Standstill};
use stallmoor_core::serving::leader::leader_watch::LeaderWatch;
use stallmoor_core::serving::leader::load_schedule::LoadPartner;
use stallmoor_core::time::Timestamp;

use crate::batch::job_calls::JobCalls;
use crate::fleet::fleet_view::FleetView;
use crate::observe::stall_reports::report_stalls;
use crate::observe::status;

/// Interval of the reviews.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

/// What the answers to load reports said, shared with the exchange of loads.
pub struct StallWatch {
    state: Mutex<LeaderWatch>,
}

impl StallWatch {
    /// Creates the state of a gateway that starts.
    pub fn new(now: Timestamp) -> Self {
        Self { state: Mutex::new(LeaderWatch::new(now)) }
    }

    /// Records an answer to a load report.
    pub fn record_answer(&self, partner: LoadPartner, standstill: Option<Standstill>, now: Timestamp) {
        self.lock().record_answer(partner, standstill, now);
    }

    fn lock(&self) -> MutexGuard<'_, LeaderWatch> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reports until the process ends.
pub async fn report_periodically(watch: Arc<StallWatch>, view: Arc<FleetView>, jobs: Arc<JobCalls>, node: String) {
    let mut log = StallLog::default();
    let mut ticks = tokio::time::interval(REVIEW_INTERVAL);
    loop {
        ticks.tick().await;
        let now = view.clock.now();
        let (leader, storage_nodes) = (jobs.client.leader(), view.storage().records().count());
        let standstill = watch.lock().standstill(leader, storage_nodes, now);
        report_stalls(&mut log, &standstill, &node, now);
        let leader = leader.map(|leader| leader.to_string());
        status::set_part(
            &format!("gateway {node}"),
            json!({
                "leader": leader, "storage_nodes": storage_nodes, "standstill": status::standstill(&standstill),
            }),
        );
    }
}
