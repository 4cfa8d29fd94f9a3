//! Applies the evidence of runs to the worker table, and logs the suspicion of workers.
//!
//! [`attribution`](stallmoor_core::serving::online::attribution) decides what a run says about its worker, and the
//! worker table which workers are suspected.

use std::sync::Arc;
use std::time::Duration;

use stallmoor_core::log_event::LogEvent;
use stallmoor_core::serving::online::attribution::Evidence;
use stallmoor_core::serving::workers::outcomes::{Outcome, SuspicionChange};

use crate::fleet::fleet_view::FleetView;
use crate::observe::journal::{Field, record};
use crate::observe::measures;

/// Interval at which the suspicion of workers is reviewed without new failures, so that it ends in time.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);

/// Applies the evidence of a route's run to the worker table.
pub fn apply_evidence(view: &FleetView, route: &Arc<str>, evidence: &Evidence) {
    match evidence.trial {
        Some(Outcome::Served) => measures::count_trial("served"),
        Some(Outcome::Failed) => measures::count_trial("failed"),
        None => {}
    }
    if evidence.changes.is_empty() {
        return;
    }
    evidence.apply(route, &mut view.workers(), view.clock.now());
    if evidence.has_failure() {
        review_suspicion(view);
    }
}

/// Reviews the suspicion of workers until the process ends.
pub async fn review_periodically(view: Arc<FleetView>) {
    let mut ticks = tokio::time::interval(REVIEW_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        review_suspicion(&view);
    }
}

fn review_suspicion(view: &FleetView) {
    let (changes, suspected) = {
        // The leader of the job table also sends requests to workers.
        let nodes = view.gateways().checked_add(1).filter(|nodes| *nodes > 1).unwrap_or(0);
        let mut random = view.random();
        let mut workers = view.workers();
        workers.set_node_count(nodes, view.clock.now(), &mut *random);
        (workers.review_suspicion(view.clock.now()), workers.suspected_count())
    };
    if !changes.is_empty() {
        measures::set_suspected_workers(suspected);
    }
    changes.iter().for_each(log_change);
}

fn log_change(change: &SuspicionChange) {
    let event = if change.is_suspected { LogEvent::WorkerSuspected } else { LogEvent::WorkerTrusted };
    let fields = [
        Field::text("worker", &change.worker),
        Field::decimal("served", change.served),
        Field::decimal("failed", change.failed),
        Field::decimal("base_rate", change.base_rate),
        Field::decimal("ratio", change.ratio),
        Field::decimal("threshold", change.threshold),
        Field::number("nodes", change.failing_nodes),
    ];
    record(event, &fields);
}
