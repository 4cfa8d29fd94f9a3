//! Aggregates the reports of nodes on failed and served runs, and exchanges the sums of a zone with the leader.
//!
//! Owns the aggregated reports and the exchange in progress. This node's own runs of items count as those of one node.

use std::sync::Arc;

use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::jobs::outcome_aggregator::{KnownWorker, OutcomeAggregator, Sender};
use stallmoor_core::serving::workers::WorkerId;
use stallmoor_core::serving::workers::outcome_report::{MIN_EXCHANGE_INTERVAL, OutcomeReport};
use stallmoor_core::time::{Millis, Timestamp};
use tokio::sync::mpsc;

use crate::fleet::fleet_view::FleetView;
use crate::leader::client::LeaderClient;
use crate::leader::outcome_exchange::{OutcomeClient, local_report, log_problems};

/// Minimum time between two log lines on invalid entries of reports.
const LOG_INTERVAL: Millis = Millis(1_000);

/// Reports of nodes on outcomes, and the exchange with the leader.
pub(super) struct OutcomeExchange {
    view: Arc<FleetView>,
    id: NodeId,
    aggregator: OutcomeAggregator,
    client: Arc<OutcomeClient>,
    /// The client of the load exchange, which knows the leader.
    leader: Arc<LeaderClient>,
    /// Whether an exchange with the leader is in progress.
    is_in_progress: bool,
    /// Earliest start of the next exchange with the leader, or of the next use of the sums by the leader itself.
    due: Timestamp,
    logged_at: Timestamp,
    /// Unbounded: at most one exchange is in progress.
    answers: mpsc::UnboundedSender<Option<OutcomeReport>>,
}

impl OutcomeExchange {
    pub(super) fn new(
        view: Arc<FleetView>,
        id: NodeId,
        leader: Arc<LeaderClient>,
        answers: mpsc::UnboundedSender<Option<OutcomeReport>>,
    ) -> Self {
        Self {
            client: Arc::new(OutcomeClient::new(view.clone(), id)),
            view,
            id,
            aggregator: OutcomeAggregator::default(),
            leader,
            is_in_progress: false,
            due: Timestamp::default(),
            logged_at: Timestamp::default(),
            answers,
        }
    }

    /// Discards all reports. Called when this node gains or loses leadership.
    pub(super) fn clear(&mut self) {
        self.aggregator.clear();
    }

    /// Returns whether a node is a storage node, which reports the sums over its zone.
    pub(super) fn is_aggregator(&self, node: NodeId) -> bool {
        self.view.storage().of_node(node).is_some()
    }

    /// Records a report and returns the sums over all other nodes.
    pub(super) fn report(&mut self, from: NodeId, report: OutcomeReport, now: Timestamp) -> OutcomeReport {
        let sender = if self.is_aggregator(from) { Sender::Aggregator(from) } else { Sender::Node(from) };
        let zone = report.zone.clone();
        let problems = self.aggregator.record_report(sender, report, |worker| known_worker(&self.view, worker), now);
        self.log(from, &problems, now);
        self.aggregator.answer_for(from, &zone, now)
    }

    /// As the leader, adds this node's own runs to the sums, and judges workers by those of the other nodes.
    pub(super) fn share_own_runs(&mut self, now: Timestamp) {
        if now < self.due {
            return;
        }
        self.due = now + MIN_EXCHANGE_INTERVAL;
        let own = local_report(&self.view);
        if own.is_empty() && self.aggregator.node_count() == 0 {
            return;
        }
        let others = self.report_own(own, now);
        let problems = self.view.workers().apply_outcomes(&others, now);
        self.log(self.id, &problems, now);
    }

    fn report_own(&mut self, own: OutcomeReport, now: Timestamp) -> OutcomeReport {
        let known = |worker: &WorkerId| known_worker(&self.view, worker);
        // Own reports are valid, except for workers that have left since.
        let _ = self.aggregator.record_report(Sender::Node(self.id), own, known, now);
        self.aggregator.answer_for(self.id, &self.view.zone, now)
    }

    /// As the aggregator of a zone, reports its sums to the leader if due. Called for each gateway's report.
    pub(super) fn exchange_with_leader(&mut self, now: Timestamp) {
        if self.is_in_progress || now < self.due {
            return;
        }
        let Some(leader) = self.leader.leader().filter(|leader| *leader != self.id) else { return };
        let report = self.aggregator.zone_report(&self.view.zone, now);
        self.is_in_progress = true;
        let (client, answers) = (self.client.clone(), self.answers.clone());
        tokio::spawn(async move {
            // The receiver is dropped only when the process ends.
            let _ = answers.send(client.exchange(leader, report).await);
        });
    }

    /// Completes the exchange. `answer` is the leader's answer, `None` if it failed.
    pub(super) fn on_leader_answer(&mut self, answer: Option<OutcomeReport>, is_leader: bool, now: Timestamp) {
        self.is_in_progress = false;
        self.due = now + MIN_EXCHANGE_INTERVAL;
        if let Some(answer) = answer.filter(|_| !is_leader) {
            let known = |worker: &WorkerId| known_worker(&self.view, worker);
            let problems = self.aggregator.apply_leader_answer(answer, known, now);
            if let Some(leader) = self.leader.leader() {
                self.log(leader, &problems, now);
            }
        }
    }

    fn log(&mut self, from: NodeId, problems: &[String], now: Timestamp) {
        if !problems.is_empty() && now.since(self.logged_at) >= LOG_INTERVAL {
            self.logged_at = now;
            log_problems(from, problems);
        }
    }
}

fn known_worker(view: &FleetView, worker: &WorkerId) -> Option<KnownWorker> {
    let started_at = view.workers().record(worker)?.started_at;
    Some(KnownWorker { started_at })
}
