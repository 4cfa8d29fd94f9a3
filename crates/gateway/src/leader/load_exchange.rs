//! Telling this node's online requests, and hearing those of all others: from the table's leader, or, where there are
//! many nodes, from a storing node of the zone.

use std::sync::Arc;
use std::time::Duration;

use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::serving::relay::choice::{RelayChoice, rank_relays};
use stallmoor_core::serving::workers::LoadReport;
use stallmoor_core::time::{Millis, Timestamp};

use crate::batch::job_calls::JobCalls;
use crate::fleet::fleet_view::FleetView;
use crate::peers::peer_link::PeerLinks;

/// How long an answer is waited for.
const ANSWER_TIMEOUT: Millis = Millis(250);
/// The time between two exchanges while this node has no requests.
const IDLE_INTERVAL: Millis = Millis(600);
/// A gatherer that gave no answer is avoided for this long at first. Loads that were gathered are believed for about
/// as long.
const AVOID_GATHERER: Millis = Millis(1_000);

/// Exchanges loads until the process ends.
pub async fn share_loads(view: Arc<FleetView>, jobs: Arc<JobCalls>, id: NodeId) {
    let mut rate = PlacedRate { placed: 0, at: view.clock.now(), per_s: 0 };
    let mut exchange = LoadExchange::new(view.clone(), jobs, id);
    loop {
        let news = rate.news(&view, view.clock.now());
        let is_idle = news.workers.is_empty();
        if let Some(heard) = exchange.exchange(news).await {
            view.workers().apply_report(&heard, view.clock.now());
        }
        let rest = if is_idle { IDLE_INTERVAL } else { exchange.interval };
        tokio::time::sleep(Duration::from_millis(rest.0)).await;
    }
}

/// Where loads are exchanged, and how often.
struct LoadExchange {
    view: Arc<FleetView>,
    jobs: Arc<JobCalls>,
    links: PeerLinks,
    id: NodeId,
    gatherers: RelayChoice,
    /// There are so many gateways that loads are gathered in each zone first.
    is_by_zone: bool,
    interval: Millis,
}

impl LoadExchange {
    fn new(view: Arc<FleetView>, jobs: Arc<JobCalls>, id: NodeId) -> Self {
        let (links, interval) = (PeerLinks::new(id), LoadReport::default().interval());
        Self { view, jobs, links, id, gatherers: RelayChoice::default(), is_by_zone: false, interval }
    }

    /// Tells this node's requests and hears those of all others.
    async fn exchange(&mut self, news: LoadReport) -> Option<LoadReport> {
        let gatherer = if self.is_by_zone { self.gatherer() } else { None };
        let heard = match gatherer {
            Some(gatherer) => self.ask_gatherer(gatherer, news).await,
            None => self.ask_leader(news).await,
        }?;
        self.is_by_zone = heard.is_by_zone();
        self.interval = heard.interval();
        Some(heard)
    }

    fn gatherer(&self) -> Option<NodeId> {
        let relays = rank_relays(&self.view.storage(), &self.view.zone, self.id);
        self.gatherers.usable(self.view.clock.now(), &relays)
    }

    async fn ask_leader(&self, news: LoadReport) -> Option<LoadReport> {
        let until = self.view.clock.now() + ANSWER_TIMEOUT;
        match self.jobs.client.ask(JobsRequest::ReportLoad(news), until).await {
            Ok(JobsAnswer::Loads(heard)) => Some(heard),
            Ok(_) | Err(_) => None,
        }
    }

    async fn ask_gatherer(&mut self, gatherer: NodeId, news: LoadReport) -> Option<LoadReport> {
        let address = self.view.storage().of_node(gatherer).map(|record| record.address)?;
        let within = Duration::from_millis(ANSWER_TIMEOUT.0);
        match self.links.ask(address, JobsRequest::AggregateLoad(news), within).await {
            Ok(Ok(JobsAnswer::Loads(heard))) => {
                self.gatherers.answered(gatherer);
                Some(heard)
            }
            Ok(_) | Err(_) => {
                self.gatherers.failed(gatherer, AVOID_GATHERER, self.view.clock.now());
                None
            }
        }
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
    fn news(&mut self, view: &FleetView, now: Timestamp) -> LoadReport {
        let workers = view.workers();
        let span = now.since(self.at).0.max(1);
        let per_s = (workers.placed() - self.placed) * 1_000 / span;
        self.per_s = (self.per_s + u32::try_from(per_s).unwrap_or(u32::MAX)).div_ceil(2);
        self.placed = workers.placed();
        self.at = now;
        LoadReport { workers: workers.own_report(now), placed_per_s: self.per_s, ..LoadReport::default() }
    }
}
