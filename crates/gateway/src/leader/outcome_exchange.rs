//! Reports what this node's requests showed about workers, and receives what those of all other nodes showed.
//!
//! The partner is that of the load exchange. Nodes of versions without this exchange close the connection on its
//! request, so a separate connection is used. Nothing is sent while no node has failures to report.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use stallmoor_core::identity::NodeId;
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::serving::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::serving::leader::load_schedule::{EXCHANGE_TIMEOUT, LoadPartner};
use stallmoor_core::serving::workers::outcome_report::{MIN_EXCHANGE_INTERVAL, OutcomeReport};
use stallmoor_core::time::{Millis, Timestamp};
use tokio::sync::watch;

use crate::batch::job_calls::JobCalls;
use crate::fleet::fleet_view::FleetView;
use crate::leader::log_unexpected;
use crate::observe::journal::{Field, record};
use crate::peers::peer_link::{PeerCallError, PeerLinks};

/// Delay after a node closed the connection on the request, because it runs a version that does not know it.
const UNKNOWN_REQUEST_PAUSE: Millis = Millis(5_000);

/// What the load exchange learned that decides on the exchange of outcomes.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeStatus {
    /// The partner of the last load exchange.
    pub partner: LoadPartner,
    /// Whether several nodes have ejected a worker.
    pub has_ejections: bool,
    /// Number of nodes that report to the partner.
    pub reporters: u32,
}

impl Default for ExchangeStatus {
    fn default() -> Self {
        Self { partner: LoadPartner::Leader, has_ejections: false, reporters: 0 }
    }
}

/// Exchanges reports on outcomes until the process ends.
pub async fn exchange_outcomes(
    view: Arc<FleetView>,
    jobs: Arc<JobCalls>,
    id: NodeId,
    loads: watch::Receiver<ExchangeStatus>,
) {
    let client = OutcomeClient::new(view.clone(), id);
    let mut is_told = false;
    let mut last_partner = None;
    let mut interval = MIN_EXCHANGE_INTERVAL;
    loop {
        tokio::time::sleep(Duration::from_millis(interval.0)).await;
        let report = local_report(&view);
        let ExchangeStatus { partner, has_ejections, reporters } = *loads.borrow();
        if report.is_empty() && !is_told && !has_ejections {
            continue;
        }
        let partner = match partner {
            LoadPartner::Leader => jobs.client.leader(),
            LoadPartner::Aggregator(aggregator) | LoadPartner::Acting(aggregator) => Some(aggregator),
        };
        let Some(partner) = partner else { continue };
        if let Some(former) = last_partner.replace(partner).filter(|former| *former != partner) {
            client.withdraw(former);
        }
        // Without an answer, the sums received earlier fade.
        if let Some(answer) = client.exchange(partner, report).await {
            is_told = !answer.workers.is_empty();
            interval = answer.exchange_interval(reporters);
            let problems = view.workers().apply_outcomes(&answer, view.clock.now());
            log_problems(partner, &problems);
        }
    }
}

/// Returns this node's report.
pub fn local_report(view: &FleetView) -> OutcomeReport {
    let report = view.workers().outcome_report(view.clock.now());
    OutcomeReport { zone: view.zone.clone(), ..report }
}

/// Logs what was dropped or clamped from a node's report.
pub fn log_problems(from: NodeId, problems: &[String]) {
    for problem in problems {
        record(LogEvent::MessageRefused, &[Field::text("peer", from), Field::text("detail", problem)]);
    }
}

/// Sends reports on outcomes to storage nodes.
pub struct OutcomeClient {
    view: Arc<FleetView>,
    links: PeerLinks,
    /// A node that does not know the request, and the time until which nothing is sent to it.
    paused: Mutex<Option<(NodeId, Timestamp)>>,
}

impl OutcomeClient {
    /// Creates a client for the node `id`.
    pub fn new(view: Arc<FleetView>, id: NodeId) -> Self {
        Self { view, links: PeerLinks::new(id), paused: Mutex::default() }
    }

    /// Sends a report. Returns the sums over all other nodes, or `None` if there is no valid answer.
    pub async fn exchange(&self, node: NodeId, report: OutcomeReport) -> Option<OutcomeReport> {
        let sent_at = self.view.clock.now();
        if self.is_paused(node, sent_at) {
            return None;
        }
        let address = self.view.storage().of_node(node).map(|record| record.address)?;
        let request = JobsRequest::ReportOutcomes(report);
        let timeout = Duration::from_millis(EXCHANGE_TIMEOUT.0);
        match self.links.send_request(address, request.clone(), timeout).await {
            Ok(JobsAnswer::Outcomes(answer)) => Some(answer),
            Ok(answer) => {
                log_unexpected(address, &request, &answer);
                None
            }
            Err(PeerCallError::NoAnswer) => {
                let now = self.view.clock.now();
                if now.since(sent_at) < EXCHANGE_TIMEOUT {
                    self.pause(node, now + UNKNOWN_REQUEST_PAUSE);
                }
                None
            }
            Err(PeerCallError::NotSent | PeerCallError::Refused(_)) => None,
        }
    }

    /// Sends an empty report to a former partner, without waiting for the answer. The counts that it still has would be
    /// summed with those that the next partner receives.
    pub fn withdraw(&self, node: NodeId) {
        let address = self.view.storage().of_node(node).map(|record| record.address);
        if let Some(address) = address.filter(|_| !self.is_paused(node, self.view.clock.now())) {
            let report = OutcomeReport { zone: self.view.zone.clone(), ..OutcomeReport::default() };
            self.links.notify(address, JobsRequest::ReportOutcomes(report));
        }
    }

    fn is_paused(&self, node: NodeId, now: Timestamp) -> bool {
        let paused = self.paused.lock().unwrap_or_else(PoisonError::into_inner);
        paused.is_some_and(|(paused, until)| paused == node && now < until)
    }

    fn pause(&self, node: NodeId, until: Timestamp) {
        *self.paused.lock().unwrap_or_else(PoisonError::into_inner) = Some((node, until));
    }
}
