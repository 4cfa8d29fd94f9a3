//! Reports this node's online load and receives the load of all other nodes. The partner is the job table's leader or,
//! in large fleets, an aggregator, which is a storage node of the zone. [`LoadSchedule`] decides on partner and
//! interval.

use std::sync::Arc;
use std::time::Duration;

use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::serving::leader::load_schedule::{EXCHANGE_TIMEOUT, LoadPartner, LoadSchedule, PlacementRate};
use stallmoor_core::serving::workers::LoadReport;
use stallmoor_core::time::Millis;
use tokio::sync::watch;

use crate::batch::job_calls::JobCalls;
use crate::fleet::fleet_view::FleetView;
use crate::leader::log_unexpected;
use crate::leader::outcome_exchange::ExchangeStatus;
use crate::leader::stall_watch::StallWatch;
use crate::peers::peer_link::PeerLinks;

/// Exchanges load reports until the process ends. Publishes to `status` what the exchange of outcomes
/// depends on.
pub async fn exchange_loads(
    view: Arc<FleetView>,
    jobs: Arc<JobCalls>,
    id: NodeId,
    status: watch::Sender<ExchangeStatus>,
    stalls: Arc<StallWatch>,
) {
    let mut rate = PlacementRate::new(view.clock.now());
    let mut schedule = LoadSchedule::default();
    let exchange = LoadExchange { view: view.clone(), jobs, links: PeerLinks::new(id) };
    loop {
        let local_load = local_report(&view, &mut rate);
        let partner = schedule.partner(&view.storage(), &view.zone, id, view.clock.now());
        let timeout = schedule.timeout(partner);
        match exchange.exchange(partner, local_load.clone(), timeout).await {
            Some(mut loads) => {
                let now = view.clock.now();
                stalls.record_answer(partner, loads.standstill.take(), now);
                schedule.record_answer(partner, &loads, now);
                let (has_ejections, reporters) = (loads.has_ejections(), loads.reporters);
                status.send_replace(ExchangeStatus { partner, has_ejections, reporters });
                if schedule.is_usable(partner, &loads, now) {
                    view.workers().apply_report(&loads, now);
                }
                // An acting aggregator does not know how many gateways there are.
                if !matches!(partner, LoadPartner::Acting(_)) {
                    view.record_gateway_count(loads.nodes + 1);
                }
            }
            None => {
                let now = view.clock.now();
                schedule.record_failure(partner, now);
                let next = schedule.partner(&view.storage(), &view.zone, id, now);
                if schedule.follows_at_once(partner, next, &local_load) {
                    continue;
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(schedule.wait_after(&local_load).0)).await;
    }
}

fn local_report(view: &FleetView, rate: &mut PlacementRate) -> LoadReport {
    let now = view.clock.now();
    let workers = view.workers();
    let placed_per_s = rate.sample(workers.placed(), now);
    let reporters = view.gateways();
    LoadReport { workers: workers.local_report(now), placed_per_s, reporters, ..LoadReport::default() }
}

struct LoadExchange {
    view: Arc<FleetView>,
    jobs: Arc<JobCalls>,
    links: PeerLinks,
}

impl LoadExchange {
    /// Reports this node's load. Returns the load of all other nodes; `None` if there is no valid answer.
    async fn exchange(&self, partner: LoadPartner, local_load: LoadReport, timeout: Millis) -> Option<LoadReport> {
        match partner {
            LoadPartner::Leader => self.report_to_leader(local_load, timeout).await,
            LoadPartner::Aggregator(aggregator) | LoadPartner::Acting(aggregator) => {
                self.report_to_aggregator(aggregator, local_load).await
            }
        }
    }

    async fn report_to_leader(&self, local_load: LoadReport, timeout: Millis) -> Option<LoadReport> {
        let until = self.view.clock.now() + timeout;
        match self.jobs.client.send_request(JobsRequest::ReportLoad(local_load), until).await {
            Ok(JobsAnswer::Loads(loads)) => Some(loads),
            // The client has logged an unexpected answer. Without a leader, loads age out.
            Ok(_) | Err(_) => None,
        }
    }

    async fn report_to_aggregator(&self, aggregator: NodeId, local_load: LoadReport) -> Option<LoadReport> {
        let address = self.view.storage().of_node(aggregator).map(|record| record.address)?;
        let timeout = Duration::from_millis(EXCHANGE_TIMEOUT.0);
        let request = JobsRequest::AggregateLoad(local_load);
        match self.links.send_request(address, request.clone(), timeout).await {
            Ok(JobsAnswer::Loads(loads)) => Some(loads),
            Ok(answer) => {
                log_unexpected(address, &request, &answer);
                None
            }
            // Not logged: the schedule avoids this aggregator for a while and uses another one.
            Err(_) => None,
        }
    }
}
