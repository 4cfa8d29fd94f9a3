//! `GET /metrics` in the Prometheus text format.

use std::fmt::Write;

use hyper::{Response, StatusCode};
use stallmoor_core::node::NodeStatus;

use super::answer;
use super::body::AnswerBody;

/// One counter or gauge.
struct Sample {
    name: &'static str,
    kind: &'static str,
    help: &'static str,
    value: u64,
}

/// Returns a node's status as metrics.
pub fn metrics(status: &NodeStatus) -> Response<AnswerBody> {
    let mut text = String::new();
    for sample in samples(status) {
        let Sample { name, kind, help, value } = sample;
        // Writing to a `String` can't fail.
        let _ =
            writeln!(text, "# HELP stallmoor_{name} {help}\n# TYPE stallmoor_{name} {kind}\nstallmoor_{name} {value}");
    }
    answer::text(StatusCode::OK, "text/plain; version=0.0.4", text)
}

fn samples(status: &NodeStatus) -> Vec<Sample> {
    let counters = &status.counters;
    let counter = |name, help, value| Sample { name, kind: "counter", help, value };
    let gauge = |name, help, value| Sample { name, kind: "gauge", help, value };
    let led = status.groups.iter().filter(|group| group.leads).count();
    vec![
        gauge("ready", "1 if the node takes requests.", u64::from(status.ready)),
        gauge("configuration_revision", "The revision in force.", status.configuration_revision),
        gauge("members_present", "Nodes held to be present.", status.members_present as u64),
        gauge("online_requests", "Online requests in hand.", status.online_requests as u64),
        gauge("batch_streams", "Batch streams in hand.", status.batch_streams as u64),
        gauge("replicas", "Replicas hosted.", status.groups.len() as u64),
        gauge("groups_led", "Groups led.", led as u64),
        counter("online_admitted_total", "Online requests taken in.", counters.online_admitted),
        counter("online_answered_total", "Online requests answered whole.", counters.online_answered),
        counter("online_refused_total", "Online requests refused.", counters.online_refused),
        counter("retries_total", "Attempts beyond the first.", counters.retries),
        counter("pieces_dropped_total", "Late, crossed or doubled pieces dropped.", counters.pieces_dropped),
        counter("batch_started_total", "Batch streams started.", counters.batch_started),
        counter("batch_completed_total", "Batch results committed.", counters.batch_completed),
        counter("batch_results_dropped_total", "Second results dropped.", counters.batch_results_dropped),
        counter("batch_paused_total", "Batch streams paused for online.", counters.batch_paused),
        counter("messages_refused_total", "Messages of peers refused.", counters.messages_refused),
        counter("key_value_failures_total", "Key-value calls without answer.", counters.key_value_failures),
    ]
}
