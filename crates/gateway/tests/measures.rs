//! Metrics are rendered with their recorded values, and the documentation page lists all of them.

use std::path::Path;

use stallmoor_core::time::Millis;
use stallmoor_gateway::observe::measures::{self, ALL};

#[test]
fn rendered_text_contains_recorded_values() {
    assert!(measures::render().is_empty(), "metrics were recorded before the start");
    measures::install_recorder();
    measures::record_request("route-a", "whole", Some(Millis(150)), Millis(400));
    measures::record_request("route-a", "whole", None, Millis(400));
    measures::count_failed_attempt("silent");
    measures::set_is_leader(true);
    let text = measures::render();
    for line in [
        "stallmoor_gateway_requests_total{route=\"route-a\",end=\"whole\"} 2",
        "stallmoor_gateway_first_event_seconds_bucket{route=\"route-a\",le=\"0.2\"} 1",
        "stallmoor_gateway_first_event_seconds_bucket{route=\"route-a\",le=\"0.1\"} 0",
        "stallmoor_gateway_request_seconds_count{route=\"route-a\"} 2",
        "stallmoor_gateway_failed_attempts_total{end=\"silent\"} 1",
        "stallmoor_storage_leads 1",
    ] {
        assert!(text.contains(line), "{line} is not in\n{text}");
    }
}

/// With `STALLMOOR_WRITE_DOCUMENTS=1`, the page is regenerated first.
#[test]
fn documentation_page_lists_every_metric() {
    let mut page = "# Metrics of gateways and storing nodes\n\nPrometheus text at `/metrics` on `node.address` and \
         `listen.metrics_port`; without that setting none\nare gathered.\n\n| name | kind | labels | meaning |\n|---|---|---|---|\n"
        .to_owned();
    for metric in ALL {
        page.push_str(&format!("| `{}` | {} | {} | {} |\n", metric.name, metric.kind, metric.labels, metric.help));
    }
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/METRICS.md");
    if std::env::var_os("STALLMOOR_WRITE_DOCUMENTS").is_some() {
        std::fs::write(&path, &page).expect("page is writable");
    }
    assert_eq!(std::fs::read_to_string(&path).expect("page exists"), page);
}
