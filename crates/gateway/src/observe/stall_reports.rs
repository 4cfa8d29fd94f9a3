//! Log events and gauges about items that make no progress.

use stallmoor_core::log_event::LogEvent;
use stallmoor_core::serving::jobs::standstill::{Stall, StallCause, StallLog, StallReport, Standstill};
use stallmoor_core::time::Timestamp;

use super::journal::{Field, record};
use super::measures;

/// Sets the gauges, and logs the reports that are due. `node` tells the nodes of one process apart.
pub fn report_stalls(log: &mut StallLog, standstill: &Standstill, node: &str, now: Timestamp) {
    for cause in StallCause::all() {
        let stall = standstill.of(cause).filter(|stall| stall.is_reportable());
        measures::set_stall(cause.name(), stall.map(|stall| (stall.items, stall.span)));
    }
    for report in log.poll(standstill, now) {
        log_report(&report, standstill.open_items, node);
    }
}

fn log_report(report: &StallReport, open_items: u32, node: &str) {
    match report {
        StallReport::Stalled(Stall { cause, items, span, detail }) => {
            let fields = [
                Field::text("node", node),
                Field::text("cause", cause.name()),
                Field::number("items", *items),
                Field::number("open", open_items),
                Field::number("for_ms", span.0),
                Field::text("detail", detail),
            ];
            record(LogEvent::ItemsStalled, &fields);
        }
        StallReport::Ended { cause, span } => {
            let fields = [
                Field::text("node", node),
                Field::text("cause", cause.name()),
                Field::number("open", open_items),
                Field::number("for_ms", span.0),
            ];
            record(LogEvent::ItemsGoOn, &fields);
        }
    }
}
