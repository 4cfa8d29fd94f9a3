//! The loads of gateways that report to this node, and the exchange of a zone's sums with the leader.
//!
//! It owns the aggregated reports and the one exchange with the leader that is under way. It relies on the service to
//! clear it when leadership changes: what was reported to a leader and what was reported to an aggregator of a zone
//! must not count twice.

use std::sync::Arc;

use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::jobs::load_aggregator::{GatewayCount, LoadAggregator};
use stallmoor_core::serving::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::serving::workers::{LoadReport, WorkerCount};
use stallmoor_core::time::{Millis, Timestamp};
use tokio::sync::mpsc;

use crate::fleet::fleet_view::FleetView;
use crate::leader::client::LeaderClient;

/// How long the leader's answer is waited for, in milliseconds. The next exchange need not wait for a leader that is
/// silent.
const ANSWER_TIMEOUT: Millis = Millis(250);

/// Reports of gateways, and the exchange with the leader.
pub(super) struct LoadExchange {
    view: Arc<FleetView>,
    aggregator: LoadAggregator,
    client: Arc<LeaderClient>,
    /// An answer of the leader is waited for.
    is_under_way: bool,
    /// No exchange before.
    due: Timestamp,
    /// Without a bound, as one exchange is under way at most.
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
            client,
            is_under_way: false,
            due: Timestamp::default(),
            answers,
        }
    }

    /// Forgets all reports: this node became the leader, or leads no longer.
    pub(super) fn clear(&mut self) {
        self.aggregator.clear();
    }

    /// Online requests that all nodes place in a second.
    pub(super) fn placed_per_s(&mut self, now: Timestamp) -> u32 {
        self.aggregator.placed_per_s(now)
    }

    /// How many gateways there are, as far as they report to this node.
    pub(super) fn gateways(&mut self, now: Timestamp) -> GatewayCount {
        self.aggregator.gateways(now)
    }

    /// As the leader, takes a report and returns the loads of all others, this node's batch items among them.
    pub(super) fn report_to_leader(&mut self, from: NodeId, loads: LoadReport, now: Timestamp) -> LoadReport {
        self.aggregator.record_report(from, loads, now);
        let batch = self.view.workers().local_loads();
        let totals = self.aggregator.report_for(from, &batch, now);
        let online_requests: Vec<WorkerCount> = self.aggregator.online_requests(now);
        self.view.workers().set_shared_loads(&online_requests, now);
        totals
    }

    /// As the aggregator of a zone, takes a report and returns the loads of all others.
    pub(super) fn report_to_aggregator(&mut self, from: NodeId, loads: LoadReport, now: Timestamp) -> LoadReport {
        self.aggregator.record_report(from, loads, now);
        self.aggregator.report_for(from, &[], now)
    }

    /// As the leader, ejects the workers that several nodes report as dead.
    pub(super) fn eject_reported(&mut self, now: Timestamp) {
        let failed_workers = self.aggregator.failed_workers(now);
        self.view.workers().eject_reported(failed_workers.iter(), now);
    }

    /// As the aggregator of a zone, reports its sums to the leader, if that is due. Called with each gateway's report.
    pub(super) fn exchange_with_leader(&mut self, now: Timestamp) {
        if self.is_under_way || now < self.due {
            return;
        }
        let Some(report) = self.aggregator.zone_report(now) else { return };
        self.is_under_way = true;
        let (client, answers) = (self.client.clone(), self.answers.clone());
        tokio::spawn(async move {
            let answer = client.send_request(JobsRequest::ReportLoad(report), now + ANSWER_TIMEOUT).await;
            let loads = match answer {
                Ok(JobsAnswer::Loads(loads)) => Some(loads),
                // There is no leader for the moment; the loads of the zone do meanwhile.
                Ok(_) | Err(_) => None,
            };
            // The service is gone only when the process ends.
            let _ = answers.send(loads);
        });
    }

    /// The exchange ended; `loads` is the leader's answer, if there was one.
    pub(super) fn on_leader_answer(&mut self, loads: Option<LoadReport>, leads: bool, now: Timestamp) {
        let interval = loads.as_ref().map_or(LoadReport::default().interval(), LoadReport::interval);
        self.is_under_way = false;
        self.due = now + interval;
        if let Some(loads) = loads.filter(|_| !leads) {
            self.aggregator.apply_leader_report(loads, now);
        }
    }
}
