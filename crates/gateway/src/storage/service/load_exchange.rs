//! Aggregates the load reports of gateways and exchanges the totals of a zone with the leader.
//!
//! Owns the aggregated reports and the exchange in progress. The service clears them when leadership changes, so that
//! loads reported to this node both as the leader and as the aggregator of a zone are not counted twice.

use std::sync::Arc;

use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::jobs::load_aggregator::{GatewayCount, LoadAggregator};
use stallmoor_core::serving::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::serving::jobs::standstill::Standstill;
use stallmoor_core::serving::workers::{LoadReport, WorkerCount};
use stallmoor_core::time::{Millis, Timestamp};
use tokio::sync::mpsc;

use crate::fleet::fleet_view::FleetView;
use crate::leader::client::LeaderClient;

/// Maximum wait for the leader's answer, so that an unresponsive leader does not delay the next exchange.
const ANSWER_TIMEOUT: Millis = Millis(250);

/// Time for which what the leader said of items that make no progress is passed on. Outlasts a few exchanges.
const LEADER_STANDSTILL_LIFETIME: Millis = Millis(1_000);

/// Load reports of gateways, and the exchange with the leader.
pub(super) struct LoadExchange {
    view: Arc<FleetView>,
    aggregator: LoadAggregator,
    /// This node's batch items by worker, as of the last update of its own view.
    batch_loads: Vec<WorkerCount>,
    /// What this node knows of items that make no progress.
    standstill: Option<Standstill>,
    /// What the leader said of them, and when.
    leader_standstill: Option<(Standstill, Timestamp)>,
    client: Arc<LeaderClient>,
    /// Whether an exchange with the leader is in progress.
    is_in_progress: bool,
    /// Earliest start of the next exchange.
    due: Timestamp,
    /// Unbounded: at most one exchange is in progress.
    answers: mpsc::UnboundedSender<Option<LoadReport>>,
}

impl LoadExchange {
    pub(super) fn new(
        view: Arc<FleetView>,
        client: Arc<LeaderClient>,
        answers: mpsc::UnboundedSender<Option<LoadReport>>,
    ) -> Self {
        Self {
            view,
            aggregator: LoadAggregator::default(),
            batch_loads: Vec::new(),
            standstill: None,
            leader_standstill: None,
            client,
            is_in_progress: false,
            due: Timestamp::default(),
            answers,
        }
    }

    /// Discards all reports. Called when this node gains or loses leadership.
    pub(super) fn clear(&mut self) {
        self.aggregator.clear();
        self.batch_loads.clear();
    }

    /// Sets what this node knows of items that make no progress.
    pub(super) fn set_standstill(&mut self, standstill: Standstill) {
        self.standstill = Some(standstill);
    }

    /// Returns what the leader said of items that make no progress, or else what this node knows.
    fn passed_standstill(&self, now: Timestamp) -> Option<Standstill> {
        let recent = self.leader_standstill.as_ref().filter(|(_, at)| now.since(*at) < LEADER_STANDSTILL_LIFETIME);
        recent.map(|(standstill, at)| standstill.aged(now.since(*at))).or_else(|| self.standstill.clone())
    }

    /// Returns the rate at which all nodes together place online requests, per second.
    pub(super) fn placed_per_s(&mut self, now: Timestamp) -> u32 {
        self.aggregator.placed_per_s(now)
    }

    /// Returns the number of gateways, based on the reports to this node.
    pub(super) fn gateways(&mut self, now: Timestamp) -> GatewayCount {
        self.aggregator.gateways(now)
    }

    /// As the leader, records a report and returns the loads of all other nodes, including this node's batch items.
    pub(super) fn report_to_leader(&mut self, from: NodeId, loads: LoadReport, now: Timestamp) -> LoadReport {
        self.aggregator.record_report(from, loads, now);
        LoadReport { standstill: self.standstill.clone(), ..self.aggregator.report_for(from, &self.batch_loads, now) }
    }

    /// As the leader, applies the loads of all gateways to its own view if due. Returns whether it did.
    pub(super) fn update_own_view(&mut self, now: Timestamp) -> bool {
        let Some(online_requests) = self.aggregator.poll_own_view(now) else { return false };
        let mut workers = self.view.workers();
        workers.set_shared_loads(&online_requests, now);
        self.batch_loads = workers.local_loads();
        true
    }

    /// As the aggregator of a zone, records a report and returns the loads of all other nodes.
    pub(super) fn report_to_aggregator(&mut self, from: NodeId, loads: LoadReport, now: Timestamp) -> LoadReport {
        self.aggregator.record_report(from, loads, now);
        LoadReport { standstill: self.passed_standstill(now), ..self.aggregator.report_for(from, &[], now) }
    }

    /// As the leader, ejects the workers that several nodes report as failed.
    pub(super) fn eject_reported(&mut self, now: Timestamp) {
        let failed_workers = self.aggregator.failed_workers(now);
        self.view.workers().eject_reported(failed_workers.iter(), now);
    }

    /// As the aggregator of a zone, reports its totals to the leader if due. Called for each gateway's report.
    pub(super) fn exchange_with_leader(&mut self, now: Timestamp) {
        if self.is_in_progress || now < self.due || !self.aggregator.aggregates_zone() {
            return;
        }
        let Some(report) = self.aggregator.zone_report(now) else { return };
        self.is_in_progress = true;
        let (client, answers) = (self.client.clone(), self.answers.clone());
        tokio::spawn(async move {
            let answer = client.send_request(JobsRequest::ReportLoad(report), now + ANSWER_TIMEOUT).await;
            let loads = match answer {
                Ok(JobsAnswer::Loads(loads)) => Some(loads),
                // No leader is reachable. Until the next exchange the zone uses only the loads reported to this node.
                Ok(_) | Err(_) => None,
            };
            // The receiver is dropped only when the process ends.
            let _ = answers.send(loads);
        });
    }

    /// Completes the exchange. `loads` is the leader's answer, `None` if it failed.
    pub(super) fn on_leader_answer(&mut self, loads: Option<LoadReport>, is_leader: bool, now: Timestamp) {
        let interval = loads.as_ref().map_or(LoadReport::default().interval(), LoadReport::interval);
        self.is_in_progress = false;
        self.due = now + interval;
        if let Some(mut loads) = loads.filter(|_| !is_leader) {
            self.leader_standstill = loads.standstill.take().map(|standstill| (standstill, now));
            self.aggregator.apply_leader_report(loads, now);
        }
    }
}
