//! Reports of ready items that do not start: log events and the gauge by cause.

use stallmoor_core::log_event::LogEvent;
use stallmoor_core::serving::jobs::dispatch::{WaitCause, WaitLog, WaitReport, WaitingItems, WorkerNeeds, is_blocked};
use stallmoor_core::serving::workers::WorkerQuery;
use stallmoor_core::time::{Millis, Timestamp};

use crate::fleet::fleet_view::FleetView;
use crate::observe::journal::{Field, record};
use crate::observe::measures;

/// Interval at which waiting items are reviewed.
const REVIEW_INTERVAL: Millis = Millis(250);

/// The reports of the leader's items.
#[derive(Default)]
pub(super) struct BlockedItems {
    log: WaitLog,
    reviewed_at: Timestamp,
}

impl BlockedItems {
    /// Returns whether a review is due, and if so schedules the next one.
    pub(super) fn poll_review(&mut self, now: Timestamp) -> bool {
        let is_due = now.since(self.reviewed_at) >= REVIEW_INTERVAL;
        if is_due {
            self.reviewed_at = now;
        }
        is_due
    }

    /// Reports the items that do not start, and those that start again.
    pub(super) fn review(&mut self, waiting: &[WaitingItems], view: &FleetView, now: Timestamp) {
        for name in WaitCause::NAMES {
            let blocked = waiting.iter().filter(|items| items.cause.name() == name && is_blocked(items, now));
            measures::set_blocked_items(name, blocked.map(|items| items.items).sum());
        }
        for report in self.log.poll(waiting, now) {
            log_report(&report, view, now);
        }
    }

    /// Drops all reports because this node no longer leads.
    pub(super) fn clear(&mut self) {
        *self = Self { reviewed_at: self.reviewed_at, ..Self::default() };
        WaitCause::NAMES.into_iter().for_each(|name| measures::set_blocked_items(name, 0));
    }
}

fn log_report(report: &WaitReport, view: &FleetView, now: Timestamp) {
    match report {
        WaitReport::Blocked(WaitingItems { cause, items, since }) => {
            let fields = [
                Field::text("cause", cause.name()),
                Field::number("items", *items as u64),
                Field::number("for_ms", now.since(*since).0),
                Field::text("needs", cause),
                Field::text("room", describe_workers(cause, view, now)),
            ];
            record(LogEvent::ItemsBlocked, &fields);
        }
        WaitReport::Unblocked { cause, since } => {
            let fields = [
                Field::text("cause", cause.name()),
                Field::number("for_ms", now.since(*since).0),
                Field::text("needs", cause),
            ];
            record(LogEvent::ItemsUnblocked, &fields);
        }
    }
}

/// Returns the numbers of the workers that items may use; empty if they don't wait for a worker.
fn describe_workers(cause: &WaitCause, view: &FleetView, now: Timestamp) -> String {
    let WaitCause::Worker(WorkerNeeds { service, version, regions }) = cause else { return String::new() };
    let query = WorkerQuery {
        service,
        zone: &view.zone,
        prefix: &[],
        prompt_tokens: 0,
        body_bytes: 0,
        tried: &[],
        regions,
        may_run_again: true,
        version: version.as_ref(),
    };
    view.workers().batch_room(&query, now).to_string()
}
