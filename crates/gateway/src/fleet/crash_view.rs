//! The part of the fleet view that knows which requests, and which parts of prompts, crash workers.
//!
//! [`CrashLedger`] decides; this module applies what this node observes and what others report, and logs the results.

use std::collections::BTreeSet;
use std::sync::{Arc, MutexGuard};

use stallmoor_core::log_event::LogEvent;
use stallmoor_core::serving::crashes::report::{Crash, PartCrash};
use stallmoor_core::serving::crashes::{
    CrashCount, CrashLedger, CrashReport, CrashedRun, IncompleteEnd, ItemAdmission, PartQuarantine, Quarantine,
    RequestDigest, RequestKeys,
};
use stallmoor_core::serving::workers::continuation::RestartSign;
use stallmoor_core::serving::workers::{WorkerId, WorkerRecord};
use stallmoor_core::time::{Millis, UnixMillis};

use super::fleet_view::{FleetView, lock};
use crate::observe::journal::{Field, record};
use crate::observe::measures;

/// A worker crash that this node observed while the worker ran one of its requests.
#[derive(Clone, Debug)]
pub struct ObservedCrash {
    /// The request's ID.
    pub request: Arc<str>,
    /// The digests by which the request's crashes are counted.
    pub keys: RequestKeys,
    /// The worker that crashed.
    pub worker: WorkerId,
    /// Number of the last event received from the worker, 0 for none.
    pub progress: u64,
    /// Whether the worker went on with the request after its first event, so that no part of the prompt is the cause.
    pub has_survived: bool,
    /// Whether the request is a batch item.
    pub is_item: bool,
    /// How the run ended.
    pub end: IncompleteEnd,
    /// The run during which the worker crashed.
    pub run: CrashedRun,
}

impl FleetView {
    /// Locks the ledger of requests that crashed workers.
    pub fn crashes(&self) -> MutexGuard<'_, CrashLedger> {
        lock(&self.crashes)
    }

    /// Returns whether the crash ledger is empty.
    pub fn has_no_crashes(&self) -> bool {
        self.crashes().is_empty()
    }

    /// Returns the time for which a request is refused because it, or a part of its prompt, is quarantined; `None` if it
    /// may run.
    pub fn admit_after_crashes(&self, keys: &RequestKeys) -> Option<Millis> {
        let now = self.clock.wall_time();
        let nodes = self.gateways();
        let mut crashes = self.crashes();
        let of_request = keys.digests().filter_map(|digest| crashes.quarantined_for(digest, now));
        let of_parts = keys.parts.iter().filter_map(|part| crashes.parts().quarantined_for(part.digest, now));
        let remaining = of_request.chain(of_parts).max();
        if remaining.is_some() {
            return remaining;
        }
        keys.parts.iter().filter_map(|part| crashes.parts_mut().admit(part.digest, nodes, now)).max()
    }

    /// Returns whether a batch item may run now; see [`CrashLedger::admit_item_with_parts`].
    pub fn admit_item_after_crashes(&self, keys: &RequestKeys) -> ItemAdmission {
        self.crashes().admit_item_with_parts(keys, self.gateways(), self.clock.wall_time())
    }

    /// Returns whether one more crash would quarantine a request or a part of its prompt.
    pub fn is_near_quarantine(&self, keys: &RequestKeys) -> bool {
        let crashes = self.crashes();
        let is_part_near = || keys.parts.iter().any(|part| crashes.parts().is_near_quarantine(part.digest));
        keys.digests().any(|digest| crashes.is_near_quarantine(digest)) || is_part_near()
    }

    /// Records that a worker crashed while running a request, and logs a resulting quarantine.
    pub fn record_crash(&self, crash: &ObservedCrash) {
        self.workers().record_restart_sign_of(&crash.worker, RestartSign::Refused, self.clock.now());
        for digest in crash.keys.digests() {
            let (quarantine, count) = {
                let mut crashes = self.crashes();
                let quarantine = crashes.record_local_crash_of_run(Crash {
                    digest,
                    worker: crash.worker.clone(),
                    at: self.clock.wall_time(),
                    progress: crash.progress,
                    run: Some(crash.run.clone()),
                });
                (quarantine, crashes.count(digest))
            };
            let fields = [
                Field::text("worker", &crash.worker),
                Field::text("request", &crash.request),
                Field::text("digest", digest),
                Field::number("events", crash.progress),
                Field::number("known", count.observed as u64),
                Field::number("counted", count.counted as u64),
                Field::decimal("expected", count.expected),
                Field::text("end", crash.end.name()),
                Field::number("ran_ms", crash.run.lasted.0),
            ];
            record(LogEvent::WorkerCrashed, &fields);
            self.log_quarantine(quarantine);
        }
        if !crash.has_survived {
            self.record_part_crashes(crash);
        }
        self.update_crash_measures();
        self.crash_report_needed.notify_one();
    }

    /// Records that the record of a worker was removed. Unless the worker was draining, it has crashed.
    pub(super) fn record_worker_loss(&self, worker: &WorkerId) {
        let Some(service) = self.workers().ready_service(worker) else { return };
        let crashed_at = UnixMillis(self.clock.wall_time().0.saturating_sub(self.record_lapse.0));
        self.crashes().record_worker_loss(worker.clone(), &service, crashed_at);
    }

    /// Records that a worker has crashed if `record` is of a later start than the one that is known.
    pub(super) fn record_worker_restart(&self, record: &WorkerRecord) {
        let known = self.workers().record(&record.id).and_then(|known| known.started_at);
        let Some(restarted_at) = record.started_at.filter(|at| known.is_some_and(|known| known < *at)) else { return };
        if let Some(service) = self.workers().ready_service(&record.id) {
            self.crashes().record_worker_loss(record.id.clone(), &service, restarted_at);
        }
    }

    fn record_part_crashes(&self, crash: &ObservedCrash) {
        let now = self.clock.wall_time();
        for part in crash.keys.parts.iter() {
            let observed = PartCrash {
                part: part.digest,
                worker: crash.worker.clone(),
                at: now,
                request: crash.keys.request(),
                position: part.position,
            };
            let quarantine = {
                let mut crashes = self.crashes();
                let ledger = if crash.is_item { crashes.item_parts_mut() } else { crashes.parts_mut() };
                ledger.record_local_crash(observed, now)
            };
            let scope = if crash.is_item { "items" } else { "all" };
            self.log_part_quarantine(quarantine, &part.id, scope);
        }
    }

    /// Records that a worker went on with a request after its first event, which clears the crashes of its parts.
    pub fn record_survival(&self, request: &str, keys: &RequestKeys) {
        let now = self.clock.wall_time();
        for part in keys.parts.iter() {
            let Some(cleared) = self.crashes().record_local_survival(part.digest, now) else { continue };
            self.crash_report_needed.notify_one();
            if cleared > 0 {
                let fields = [
                    Field::text("request", request),
                    Field::text("part", &part.id),
                    Field::text("digest", part.digest),
                    Field::number("crashes", cleared as u64),
                ];
                record(LogEvent::PartCleared, &fields);
            }
        }
    }

    fn update_crash_measures(&self) {
        let (size, parts) = {
            let crashes = self.crashes();
            (crashes.size(), crashes.parts().counts())
        };
        measures::set_crash_ledger_size(size);
        measures::set_part_counts(parts);
    }

    /// Logs the quarantine of a prompt part. `id` is empty if other nodes have observed its crashes; `scope` tells which requests
    /// with the part wait.
    fn log_part_quarantine(&self, quarantine: Option<PartQuarantine>, id: &str, scope: &str) {
        let Some(PartQuarantine { part, crashes, until }) = quarantine else { return };
        let mut workers: Vec<&str> = crashes.iter().map(|crash| &*crash.worker.0).collect();
        workers.dedup();
        let requests: BTreeSet<_> = crashes.iter().map(|crash| crash.request).collect();
        let fields = [
            Field::text("part", id),
            Field::text("digest", part),
            Field::text("workers", workers.join(" ")),
            Field::number("requests", requests.len() as u64),
            Field::text("scope", scope),
            Field::number("for_ms", until.0.saturating_sub(self.clock.wall_time().0)),
        ];
        record(LogEvent::PartQuarantined, &fields);
    }

    /// Records that a request ran to completion, which clears its crashes.
    pub fn record_completion(&self, request: &str, keys: &RequestKeys) {
        let now = self.clock.wall_time();
        for digest in keys.digests() {
            let Some(before) = self.crashes().record_local_completion(digest, now) else { continue };
            self.crash_report_needed.notify_one();
            log_crashes_cleared(request, digest, before);
        }
    }

    /// Merges a crash report from the store. `is_local` marks the report that this machine has written.
    pub fn merge_crashes(&self, report: &CrashReport, is_local: bool) {
        let now = self.clock.wall_time();
        self.record_reported_ends(report, now);
        let (quarantines, parts, item_parts) = {
            let mut crashes = self.crashes();
            (
                crashes.merge(report, is_local, now),
                crashes.merge_parts(report, is_local, now),
                crashes.merge_item_parts(report, is_local, now),
            )
        };
        self.update_crash_measures();
        for quarantine in quarantines {
            self.log_quarantine(Some(quarantine));
        }
        for quarantine in parts.quarantines {
            self.log_part_quarantine(Some(quarantine), "", "all");
        }
        if parts.has_survivals || item_parts.has_survivals {
            self.crash_report_needed.notify_one();
        }
    }

    /// Records that the processes of workers have ended whose crashes were reported.
    fn record_reported_ends(&self, report: &CrashReport, now: UnixMillis) {
        let reported_at = self.clock.now();
        let mut workers = self.workers();
        for crash in &report.crashes {
            let crashed_at = reported_at - Millis(now.0.saturating_sub(crash.at.0));
            workers.record_restart_sign_of(&crash.worker, RestartSign::Refused, crashed_at);
        }
    }

    /// Waits until the crash ledger has changes to report.
    pub async fn crashes_changed(&self) {
        self.crash_report_needed.notified().await;
    }

    fn log_quarantine(&self, quarantine: Option<Quarantine>) {
        let Some(Quarantine { digest, crashes, until }) = quarantine else { return };
        let fields = [
            Field::text("digest", digest),
            Field::number("crashes", crashes as u64),
            Field::number("for_ms", until.0.saturating_sub(self.clock.wall_time().0)),
        ];
        record(LogEvent::RequestQuarantined, &fields);
    }
}

fn log_crashes_cleared(request: &str, digest: RequestDigest, before: CrashCount) {
    if before.counted == 0 {
        return;
    }
    let fields = [
        Field::text("request", request),
        Field::text("digest", digest),
        Field::number("known", before.observed as u64),
        Field::number("counted", before.counted as u64),
    ];
    record(LogEvent::CrashesCleared, &fields);
}
