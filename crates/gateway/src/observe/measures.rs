//! Counters, gauges and histograms, served in the Prometheus text format on the configured metrics port.
//!
//! Owns the metric names, against which a test checks `docs/METRICS.md`, and the process-wide recorder.

use std::sync::OnceLock;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use stallmoor_core::serving::crashes::{LedgerSize, PartCounts};
use stallmoor_core::time::Millis;
use tokio::net::TcpListener;

use crate::http::answer_body::AnswerBody;
use crate::http::plain_listener::serve_plain;
use crate::observe::status;

const PATH: &str = "/metrics";
const STATUS_PATH: &str = "/status";
/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS: [f64; 12] = [0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];

/// Description of a metric.
#[derive(Clone, Copy, Debug)]
pub struct Metric {
    /// Name as exported to Prometheus.
    pub name: &'static str,
    /// Type: counter, gauge or histogram.
    pub kind: &'static str,
    /// Label names, separated by commas.
    pub labels: &'static str,
    /// Help text for the documentation.
    pub help: &'static str,
}

macro_rules! define_metrics {
    ($($constant:ident = $name:literal, $kind:literal, $labels:literal, $help:literal;)*) => {
        $(const $constant: &str = $name;)*

        /// All metrics, in the order of `docs/METRICS.md`.
        pub const ALL: &[Metric] =
            &[$(Metric { name: $name, kind: $kind, labels: $labels, help: $help },)*];
    };
}

define_metrics! {
    REQUESTS = "stallmoor_gateway_requests_total", "counter", "route, end", "Requests that ended, by how.";
    FIRST_EVENT = "stallmoor_gateway_first_event_seconds", "histogram", "route", "Time from a request to its first event.";
    DURATION = "stallmoor_gateway_request_seconds", "histogram", "route", "Time from a request to its end.";
    ATTEMPTS = "stallmoor_gateway_failed_attempts_total", "counter", "end", "Attempts at workers that ended without a whole answer, by how.";
    LARGE_ANSWERS = "stallmoor_answers_over_limit_total", "counter", "part", "Answers of workers, the metadata store and other nodes that exceeded a limit on their size, by the part that did.";
    HELD_BYTES = "stallmoor_held_answer_bytes", "gauge", "", "Memory that long answers of workers hold until they are complete or passed on.";
    STOPPED_REQUESTS = "stallmoor_gateway_stopped_requests_total", "counter", "end", "Requests that a planned stop refused, answered at its end with what was known, or cut.";
    RATE_REFUSALS = "stallmoor_gateway_rate_refusals_total", "counter", "", "Requests that were refused since their tenant had used up its limit.";
    RATE_REFUSALS_BY_CAUSE = "stallmoor_gateway_rate_refusals_by_cause_total", "counter", "cause", "Requests that were refused since their tenant had used up its limit, by what the refusal rested on.";
    SUSPECTED_WORKERS = "stallmoor_suspected_workers", "gauge", "", "Workers that this node suspects of failing requests.";
    TRIAL_REQUESTS = "stallmoor_trial_requests_total", "counter", "end", "Requests sent to suspected workers as trials, by how they ended.";
    PERMITS = "stallmoor_gateway_permits_total", "counter", "end", "Permits for workers in a cold start that this gateway asked for: granted, denied, or without an answer of a leader.";
    RESUMPTIONS = "stallmoor_gateway_resumptions_total", "counter", "origin", "Streams that callers resumed at this gateway, by whether the software version that began them was known.";
    SUBMISSIONS = "stallmoor_gateway_submissions_total", "counter", "result", "Batch jobs that were submitted here, by the answer.";
    STORE_CALLS = "stallmoor_metadata_calls_total", "counter", "call", "Reads and watches of the metadata store by this node.";
    PEER_MESSAGES = "stallmoor_peer_messages_total", "counter", "message", "Messages that this node sent to other nodes, by what they are about.";
    PEER_BYTES = "stallmoor_peer_bytes_total", "counter", "message", "The bytes of those messages.";
    VIEW_AGE = "stallmoor_metadata_view_age_seconds", "gauge", "", "How old this node's view of the metadata store was at its last call.";
    CRASH_DIGESTS = "stallmoor_crash_digests", "gauge", "", "Digests of requests during which workers crashed, as kept at this node.";
    CRASH_PARTS = "stallmoor_crash_parts", "gauge", "suspected", "Parts of prompts with which workers crashed, by whether the crashes are enough for a quarantine.";
    ITEM_WAITS = "stallmoor_item_waits_total", "counter", "reason", "Waits of quarantined batch items for their next trial, by reason.";
    CRASH_EVICTIONS = "stallmoor_crash_evictions_total", "counter", "quarantine", "Such digests that were evicted for lack of room: `yes` with enough crashes for a quarantine, else `no`.";
    CONFIGURATION = "stallmoor_configuration_version", "gauge", "", "The version of the configuration in force.";
    LEADS = "stallmoor_storage_leads", "gauge", "", "1 while this node leads the job table, else 0.";
    RUNS = "stallmoor_storage_item_runs_total", "counter", "end", "Runs of batch items that ended at this node, by how.";
    ELECTIONS = "stallmoor_storage_elections_total", "counter", "reason", "Times that this node campaigned for the lead of the job table, by the reason.";
    STEPS = "stallmoor_storage_steps_total", "counter", "step", "Steps of this node's storage service, by kind.";
    STEP_TIME = "stallmoor_storage_step_microseconds_total", "counter", "step", "Processor time that those steps took.";
    LONGEST_STEP = "stallmoor_storage_longest_step_seconds", "gauge", "step", "Processor time of the longest of those steps since the start of the process.";
    OPEN_ITEMS = "stallmoor_storage_open_items", "gauge", "", "Items without a result, at the leader.";
    BLOCKED_ITEMS = "stallmoor_storage_blocked_items", "gauge", "cause", "Ready items of which none with the same needs has started for a second, at the leader, by what they lack.";
    STALLED_ITEMS = "stallmoor_stalled_items", "gauge", "cause", "Accepted items that have made no progress for a second, by cause, at the leader, at storage nodes that know no leader, and at gateways as far as they know.";
    STALLED_SECONDS = "stallmoor_stalled_seconds", "gauge", "cause", "How long there has been no progress for this cause; 0 without one.";
    EXHAUSTED_TENANTS = "stallmoor_storage_exhausted_tenants", "gauge", "", "Tenants that have no request left under their limit, at the leader.";
}

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the metrics recorder. Without this call, recording a metric is a no-op.
pub fn install_recorder() {
    RECORDER.get_or_init(|| {
        let builder = PrometheusBuilder::new();
        // `set_buckets` only fails for an empty list.
        let builder = builder.set_buckets(&BUCKETS).unwrap_or_else(|_| PrometheusBuilder::new());
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        // If the process has a global recorder already, that one stays installed.
        let _ = metrics::set_global_recorder(recorder);
        handle
    });
}

/// Renders all metrics in the Prometheus text format; empty if no recorder is installed.
pub fn render() -> String {
    RECORDER.get().map(PrometheusHandle::render).unwrap_or_default()
}

/// Serves the metrics and the status over HTTP until the process exits.
pub async fn serve(listener: TcpListener) {
    serve_plain(listener, |request: &Request<Incoming>| {
        let (text, kind) = match request.uri().path() {
            PATH => (render(), "text/plain; version=0.0.4"),
            STATUS_PATH => (status::render(), "application/json"),
            _ => {
                let mut response = Response::new(AnswerBody::full(""));
                *response.status_mut() = StatusCode::NOT_FOUND;
                return response;
            }
        };
        let mut response = Response::new(AnswerBody::full(text));
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
        response
    })
    .await;
}

/// Counts a finished request by outcome, and records its duration and, if known, its time to first event.
pub fn record_request(route: &str, end: &str, first_event: Option<Millis>, elapsed: Millis) {
    counter!(REQUESTS, "route" => route.to_owned(), "end" => end.to_owned()).increment(1);
    histogram!(DURATION, "route" => route.to_owned()).record(seconds(elapsed));
    if let Some(first_event) = first_event {
        histogram!(FIRST_EVENT, "route" => route.to_owned()).record(seconds(first_event));
    }
}

/// Counts an attempt at a worker that ended without a complete answer.
pub fn count_failed_attempt(end: &'static str) {
    counter!(ATTEMPTS, "end" => end).increment(1);
}

/// Counts an answer that exceeded the limit of `part`.
pub fn count_large_answer(part: &'static str) {
    counter!(LARGE_ANSWERS, "part" => part).increment(1);
}

/// Sets the memory that long answers hold.
pub fn set_held_answer_bytes(bytes: usize) {
    gauge!(HELD_BYTES).set(bytes as f64);
}

/// Counts a request that a planned stop refused, answered or cut.
pub fn count_stopped_request(end: &'static str) {
    counter!(STOPPED_REQUESTS, "end" => end).increment(1);
}

/// Counts a request that was refused because its tenant's rate limit was exhausted.
pub fn count_rate_refusal() {
    counter!(RATE_REFUSALS).increment(1);
}

/// Counts a request refused because of its tenant's limit, by what the refusal rested on.
pub fn count_rate_refusal_cause(cause: &'static str) {
    counter!(RATE_REFUSALS_BY_CAUSE, "cause" => cause).increment(1);
}

/// Sets the number of workers that this node suspects of failing requests.
pub fn set_suspected_workers(workers: usize) {
    gauge!(SUSPECTED_WORKERS).set(workers as f64);
}

/// Counts a request sent to a suspected worker as a trial. `end` is `served` or `failed`.
pub fn count_trial(end: &'static str) {
    counter!(TRIAL_REQUESTS, "end" => end).increment(1);
}

/// Counts a stream that a caller resumed. `origin` is `known`, or the reason why it is not.
pub fn count_resumption(origin: &'static str) {
    counter!(RESUMPTIONS, "origin" => origin).increment(1);
}

/// Counts requested permits for workers in a cold start. `end` is `granted`, `denied` or `no_leader`.
pub fn count_permits(end: &'static str, count: usize) {
    counter!(PERMITS, "end" => end).increment(count as u64);
}

/// Counts a campaign of this node for the lead of the job table.
pub fn count_election(reason: &'static str) {
    counter!(ELECTIONS, "reason" => reason).increment(1);
}

/// Counts a batch job submission by result.
pub fn count_submission(result: &'static str) {
    counter!(SUBMISSIONS, "result" => result).increment(1);
}

/// Counts a call from this node to the metadata store.
pub fn count_store_call(call: &'static str) {
    counter!(STORE_CALLS, "call" => call).increment(1);
}

/// Counts a message sent to another node, and its bytes.
pub fn count_peer_message(message: &'static str, bytes: usize) {
    counter!(PEER_MESSAGES, "message" => message).increment(1);
    counter!(PEER_BYTES, "message" => message).increment(bytes as u64);
}

/// Sets the age of this node's view of the metadata store.
pub fn set_view_age(age: Millis) {
    gauge!(VIEW_AGE).set(seconds(age));
}

/// Sets the number of ready items of which none with the same needs starts, by what they lack.
pub fn set_blocked_items(cause: &'static str, count: usize) {
    gauge!(BLOCKED_ITEMS, "cause" => cause).set(count as f64);
}

/// Sets the number of items that make no progress for a cause, and for how long; `None` without any.
pub fn set_stall(cause: &'static str, stall: Option<(u32, Millis)>) {
    let (items, span) = stall.unwrap_or_default();
    gauge!(STALLED_ITEMS, "cause" => cause).set(items);
    gauge!(STALLED_SECONDS, "cause" => cause).set(seconds(span));
}

/// Counts a quarantined batch item that begins to wait for this reason.
pub fn count_item_wait(reason: &'static str) {
    counter!(ITEM_WAITS, "reason" => reason).increment(1);
}

/// Sets the size of the ledger of requests during which workers crashed.
pub fn set_crash_ledger_size(size: LedgerSize) {
    gauge!(CRASH_DIGESTS).set(size.tracked as f64);
    counter!(CRASH_EVICTIONS, "quarantine" => "yes").absolute(size.evicted_above_threshold);
    counter!(CRASH_EVICTIONS, "quarantine" => "no").absolute(size.evicted - size.evicted_above_threshold);
}

/// Sets the number of prompt parts with crashes.
pub fn set_part_counts(counts: PartCounts) {
    gauge!(CRASH_PARTS, "suspected" => "yes").set(counts.suspected as f64);
    gauge!(CRASH_PARTS, "suspected" => "no").set((counts.tracked - counts.suspected) as f64);
}

/// Sets the version of the active configuration.
pub fn set_configuration_version(version: u64) {
    gauge!(CONFIGURATION).set(version as f64);
}

/// Sets whether this node leads the job table.
pub fn set_is_leader(leads: bool) {
    gauge!(LEADS).set(if leads { 1.0 } else { 0.0 });
}

/// Counts a finished run of a batch item by outcome.
pub fn count_run(end: &'static str) {
    counter!(RUNS, "end" => end).increment(1);
}

/// Counts steps of the storage service. `longest` is the longest one of its kind so far.
pub fn record_steps(step: &'static str, count: u64, time: Duration, longest: Duration) {
    counter!(STEPS, "step" => step).increment(count);
    counter!(STEP_TIME, "step" => step).increment(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
    gauge!(LONGEST_STEP, "step" => step).set(longest.as_secs_f64());
}

/// Sets the number of items without a result.
pub fn set_open_items(count: usize) {
    gauge!(OPEN_ITEMS).set(count as f64);
}

/// Sets the number of tenants whose rate limit is exhausted.
pub fn set_exhausted_tenants(count: usize) {
    gauge!(EXHAUSTED_TENANTS).set(count as f64);
}

fn seconds(duration: Millis) -> f64 {
    duration.0 as f64 / 1_000.0
}
