//! Gathering the loads of a zone's gateways where there are many: telling the leader their sums.

use stallmoor_core::serving::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::serving::workers::LoadReport;
use stallmoor_core::time::{Millis, Timestamp};

use super::StorageService;

/// How long the leader's answer is waited for.
const ANSWER_TIMEOUT: Millis = Millis(250);

/// When the leader is told next.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LeaderExchange {
    /// An answer is waited for.
    is_under_way: bool,
    /// Not before.
    due: Timestamp,
}

impl StorageService {
    /// Tells the leader the loads of this zone, if that is due. Called as often as gateways tell theirs.
    pub(super) fn tell_leader_loads(&mut self, now: Timestamp) {
        if self.leads || self.leader_exchange.is_under_way || now < self.leader_exchange.due {
            return;
        }
        let Some(news) = self.load_aggregator.for_leader(now) else { return };
        self.leader_exchange.is_under_way = true;
        let (client, answers) = (self.leader_client.clone(), self.leader_loads.clone());
        tokio::spawn(async move {
            let answer = client.ask(JobsRequest::ReportLoad(news), now + ANSWER_TIMEOUT).await;
            let loads = match answer {
                Ok(JobsAnswer::Loads(loads)) => Some(loads),
                // There is no leader for the moment; the loads of the zone do meanwhile.
                Ok(_) | Err(_) => None,
            };
            // The service is gone only when the process ends.
            let _ = answers.send(loads);
        });
    }

    /// The leader answered, or did not.
    pub(super) fn on_leader_loads(&mut self, loads: Option<LoadReport>) {
        let now = self.now();
        let interval = loads.as_ref().map_or(LoadReport::default().interval(), LoadReport::interval);
        self.leader_exchange = LeaderExchange { is_under_way: false, due: now + interval };
        if let Some(loads) = loads.filter(|_| !self.leads) {
            self.load_aggregator.apply_leader_report(loads, now);
        }
    }
}
