//! Telling the table's leader this node's online requests, and hearing those of all others.

use std::sync::Arc;
use std::time::Duration;

use stallmoor_core::gateway::workers::LoadNews;
use stallmoor_core::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::time::{Millis, Timestamp};

use crate::fleet_view::FleetView;
use crate::job_calls::JobCalls;

/// How long the leader's answer is waited for.
const PATIENCE: Millis = Millis(250);
/// The time between two exchanges while this node has no requests.
const IDLE_INTERVAL: Millis = Millis(600);

/// Exchanges loads until the process ends.
pub async fn share_loads(view: Arc<FleetView>, jobs: Arc<JobCalls>) {
    let mut rate = PlacedRate { placed: 0, at: view.clock.now(), per_s: 0 };
    let mut interval = LoadNews::default().interval();
    loop {
        let now = view.clock.now();
        let news = rate.news(&view, now);
        let is_idle = news.workers.is_empty();
        if let Ok(JobsAnswer::Loads(news)) = jobs.client.ask(JobsRequest::ShareLoad(news), now + PATIENCE).await {
            let now = view.clock.now();
            view.workers().hear(&news, now);
            interval = news.interval();
        }
        let rest = if is_idle { IDLE_INTERVAL } else { interval };
        tokio::time::sleep(Duration::from_millis(rest.0)).await;
    }
}

/// How fast this node places requests.
struct PlacedRate {
    placed: u64,
    at: Timestamp,
    per_s: u32,
}

impl PlacedRate {
    /// What this node has to tell, its rate since the last call smoothed with that before.
    fn news(&mut self, view: &FleetView, now: Timestamp) -> LoadNews {
        let workers = view.workers();
        let span = now.since(self.at).0.max(1);
        let per_s = (workers.placed() - self.placed) * 1_000 / span;
        self.per_s = (self.per_s + u32::try_from(per_s).unwrap_or(u32::MAX)).div_ceil(2);
        self.placed = workers.placed();
        self.at = now;
        LoadNews { workers: workers.own_news(now), placed_per_s: self.per_s, ..LoadNews::default() }
    }
}
