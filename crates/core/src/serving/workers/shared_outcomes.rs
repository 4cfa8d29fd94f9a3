//! Counts of other nodes: checks and stores the answers to this node's reports.

use std::collections::BTreeSet;

use super::evidence::{Counts, FleetEvidence, MAX_ROUTES, SharedCounts, WorkerEvidence};
use super::outcome_report::{MilliCount, OutcomeReport, WorkerOutcomes};
use super::table::WorkerTable;
use super::worker::WorkerIncarnation;
use crate::time::Timestamp;

/// Maximum plausible count of runs.
const MAX_COUNT: MilliCount = MilliCount(100_000_000);
/// Maximum plausible number of nodes with failures.
const MAX_FAILING_NODES: u32 = 10_000;
/// Maximum number of reasons returned for one report.
const MAX_REASONS: usize = 8;

/// Reasons for which parts of a report were dropped or clamped.
#[derive(Debug, Default)]
struct Reasons {
    texts: Vec<String>,
    omitted: usize,
}

impl Reasons {
    fn add(&mut self, reason: impl FnOnce() -> String) {
        if self.texts.len() < MAX_REASONS {
            self.texts.push(reason());
        } else {
            self.omitted += 1;
        }
    }

    fn into_texts(mut self) -> Vec<String> {
        if self.omitted > 0 {
            self.texts.push(format!("{} more", self.omitted));
        }
        self.texts
    }
}

fn from_milli(count: MilliCount) -> f64 {
    f64::from(count.0) / 1_000.0
}

fn clamped_counts(served: MilliCount, failed: MilliCount, source: &str, reasons: &mut Reasons) -> Counts {
    if served > MAX_COUNT || failed > MAX_COUNT {
        reasons.add(|| format!("{source}: implausible count clamped"));
    }
    Counts { served: from_milli(served.min(MAX_COUNT)), failed: from_milli(failed.min(MAX_COUNT)) }
}

fn clamped_nodes(outcomes: &WorkerOutcomes, reasons: &mut Reasons) -> u32 {
    if outcomes.failing_nodes > MAX_FAILING_NODES {
        reasons.add(|| format!("worker {}: implausible number of nodes clamped", outcomes.worker));
    }
    outcomes.failing_nodes.min(MAX_FAILING_NODES)
}

impl WorkerTable {
    /// Applies the sums over all other nodes. Returns what was dropped or clamped, for logging.
    pub fn apply_outcomes(&mut self, report: &OutcomeReport, now: Timestamp) -> Vec<String> {
        let mut reasons = Reasons::default();
        self.clear_shared();
        self.evidence.shared_at = now;
        self.evidence.has_new = true;
        let mut seen = BTreeSet::new();
        for outcomes in &report.workers {
            if !seen.insert((&outcomes.worker, &outcomes.route)) {
                reasons.add(|| format!("worker {}: second entry of a route dropped", outcomes.worker));
                continue;
            }
            let counts = clamped_counts(outcomes.served, outcomes.failed, &outcomes.worker.0, &mut reasons);
            let failing_nodes = clamped_nodes(outcomes, &mut reasons);
            if let Some(shared) = self.shared_of(outcomes, true, &mut reasons) {
                *shared = SharedCounts { all: counts, failing_nodes, ..SharedCounts::default() };
            }
        }
        for outcomes in &report.zone_workers {
            let counts = clamped_counts(outcomes.served, outcomes.failed, &outcomes.worker.0, &mut reasons);
            let failing_nodes = clamped_nodes(outcomes, &mut reasons);
            if let Some(shared) = self.shared_of(outcomes, false, &mut reasons) {
                let (served, failed) = (counts.served.min(shared.all.served), counts.failed.min(shared.all.failed));
                shared.zone = Counts { served, failed };
                shared.failing_zone_nodes = failing_nodes.min(shared.failing_nodes);
            }
        }
        self.evidence.apply_totals(report, &mut reasons);
        reasons.into_texts()
    }

    fn clear_shared(&mut self) {
        for id in &self.evidence.reviewed {
            if let Some(known) = self.workers.get_mut(id).and_then(|entry| entry.evidence.as_mut()) {
                known.shared.clear();
            }
        }
    }

    /// Returns where the counts of an entry are stored; `None` if the entry is dropped. Entries of the zone's nodes are
    /// part of those of all nodes and don't create new ones.
    fn shared_of(
        &mut self,
        outcomes: &WorkerOutcomes,
        may_create: bool,
        reasons: &mut Reasons,
    ) -> Option<&mut SharedCounts> {
        let incarnation = WorkerIncarnation { id: outcomes.worker.clone(), started_at: outcomes.started_at };
        let Some(entry) = self.workers.get_mut(&outcomes.worker) else {
            reasons.add(|| format!("worker {} is unknown", outcomes.worker));
            return None;
        };
        if !entry.is_incarnation(&incarnation) {
            reasons.add(|| format!("worker {}: another incarnation", outcomes.worker));
            return None;
        }
        if may_create && !self.evidence.reviewed.contains(&outcomes.worker) {
            self.evidence.reviewed.insert(outcomes.worker.clone());
        }
        let known: &mut WorkerEvidence = entry.evidence.get_or_insert_default();
        if !may_create && !known.shared.iter().any(|(route, _)| *route == outcomes.route) {
            reasons.add(|| format!("worker {}: entry of a zone without one of all nodes", outcomes.worker));
            return None;
        }
        let shared = known.shared_mut(&outcomes.route);
        if shared.is_none() {
            reasons.add(|| format!("worker {}: too many routes", outcomes.worker));
        }
        shared
    }
}

impl FleetEvidence {
    fn apply_totals(&mut self, report: &OutcomeReport, reasons: &mut Reasons) {
        self.shared_totals.clear();
        for outcomes in &report.routes {
            if self.shared_totals.len() >= MAX_ROUTES {
                reasons.add(|| "too many routes".to_owned());
                break;
            }
            let counts = clamped_counts(outcomes.served, outcomes.failed, &outcomes.route, reasons);
            self.shared_totals.insert(outcomes.route.clone(), counts);
        }
    }
}
