//! Counters, gauges and histograms, served as Prometheus text on the metrics address of the settings.
//!
//! Owns the names of the metrics, which `docs/METRICS.md` is tested against, and the process's one recorder.

use std::sync::OnceLock;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use stallmoor_core::time::Millis;
use tokio::net::TcpListener;

use crate::http::answer_body::AnswerBody;
use crate::http::plain_listener::serve_plain;

/// The path that answers with the figures.
const PATH: &str = "/metrics";
/// The upper bounds of the histograms' buckets, in seconds.
const BUCKETS: [f64; 12] = [0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];

/// A metric and its meaning.
#[derive(Clone, Copy, Debug)]
pub struct Metric {
    /// Its name.
    pub name: &'static str,
    /// Its kind: counter, gauge or histogram.
    pub kind: &'static str,
    /// Its labels.
    pub labels: &'static str,
    /// What it counts or measures.
    pub help: &'static str,
}

macro_rules! define_metrics {
    ($($constant:ident = $name:literal, $kind:literal, $labels:literal, $help:literal;)*) => {
        $(const $constant: &str = $name;)*

        /// Every measure, in the order of `docs/METRICS.md`.
        pub const ALL: &[Metric] =
            &[$(Metric { name: $name, kind: $kind, labels: $labels, help: $help },)*];
    };
}

define_metrics! {
    REQUESTS = "stallmoor_gateway_requests_total", "counter", "route, end", "Requests that ended, by how.";
    FIRST_EVENT = "stallmoor_gateway_first_event_seconds", "histogram", "route", "Time from a request to its first event.";
    DURATION = "stallmoor_gateway_request_seconds", "histogram", "route", "Time from a request to its end.";
    ATTEMPTS = "stallmoor_gateway_failed_attempts_total", "counter", "end", "Attempts at workers that ended without a whole answer, by how.";
    RATE_REFUSALS = "stallmoor_gateway_rate_refusals_total", "counter", "", "Requests that were refused since their tenant had used up its limit.";
    SUBMISSIONS = "stallmoor_gateway_submissions_total", "counter", "result", "Batch jobs that were submitted here, by the answer.";
    STORE_CALLS = "stallmoor_metadata_calls_total", "counter", "call", "Reads and watches of the metadata store by this node.";
    PEER_MESSAGES = "stallmoor_peer_messages_total", "counter", "message", "Messages that this node sent to other nodes, by what they are about.";
    PEER_BYTES = "stallmoor_peer_bytes_total", "counter", "message", "The bytes of those messages.";
    VIEW_AGE = "stallmoor_metadata_view_age_seconds", "gauge", "", "How old this node's view of the metadata store was at its last call.";
    CONFIGURATION = "stallmoor_configuration_version", "gauge", "", "The version of the configuration in force.";
    LEADS = "stallmoor_storage_leads", "gauge", "", "1 while this node leads the job table, else 0.";
    RUNS = "stallmoor_storage_item_runs_total", "counter", "end", "Runs of batch items that ended at this node, by how.";
    OPEN_ITEMS = "stallmoor_storage_open_items", "gauge", "", "Items without a result, at the leader.";
    EXHAUSTED_TENANTS = "stallmoor_storage_exhausted_tenants", "gauge", "", "Tenants that have no request left under their limit, at the leader.";
}

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Starts to gather figures. Without this call nothing is gathered and nothing costs.
pub fn start() {
    RECORDER.get_or_init(|| {
        let builder = PrometheusBuilder::new();
        // The buckets are a constant that is not empty, which is all that could be refused.
        let builder = builder.set_buckets(&BUCKETS).unwrap_or_else(|_| PrometheusBuilder::new());
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        // A recorder that stands already, in a process of several nodes, gathers for all of them.
        let _ = metrics::set_global_recorder(recorder);
        handle
    });
}

/// The figures as Prometheus text; empty if none are gathered.
pub fn render() -> String {
    RECORDER.get().map(PrometheusHandle::render).unwrap_or_default()
}

/// Answers with the figures until the process ends.
pub async fn serve(listener: TcpListener) {
    serve_plain(listener, |request: &Request<Incoming>| {
        if request.uri().path() != PATH {
            let mut response = Response::new(AnswerBody::full(""));
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        }
        let mut response = Response::new(AnswerBody::full(render()));
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; version=0.0.4"));
        response
    })
    .await;
}

/// A request ended.
pub fn request_ended(route: &str, end: &str, first_event: Option<Millis>, elapsed: Millis) {
    counter!(REQUESTS, "route" => route.to_owned(), "end" => end.to_owned()).increment(1);
    histogram!(DURATION, "route" => route.to_owned()).record(seconds(elapsed));
    if let Some(first_event) = first_event {
        histogram!(FIRST_EVENT, "route" => route.to_owned()).record(seconds(first_event));
    }
}

/// An attempt at a worker ended without a whole answer.
pub fn attempt_failed(end: &'static str) {
    counter!(ATTEMPTS, "end" => end).increment(1);
}

/// A request was refused since its tenant had used up its limit.
pub fn rate_refused() {
    counter!(RATE_REFUSALS).increment(1);
}

/// A batch job was submitted.
pub fn submitted(result: &'static str) {
    counter!(SUBMISSIONS, "result" => result).increment(1);
}

/// This node calls the metadata store.
pub fn store_call(call: &'static str) {
    counter!(STORE_CALLS, "call" => call).increment(1);
}

/// A message was sent to another node.
pub fn peer_sent(message: &'static str, bytes: usize) {
    counter!(PEER_MESSAGES, "message" => message).increment(1);
    counter!(PEER_BYTES, "message" => message).increment(bytes as u64);
}

/// How old this node's view of the metadata store is.
pub fn view_age(age: Millis) {
    gauge!(VIEW_AGE).set(seconds(age));
}

/// A configuration came into force.
pub fn configuration_in_force(version: u64) {
    gauge!(CONFIGURATION).set(version as f64);
}

/// This node leads the job table, or does so no longer.
pub fn leads(leads: bool) {
    gauge!(LEADS).set(if leads { 1.0 } else { 0.0 });
}

/// A run of a batch item ended.
pub fn run_ended(end: &'static str) {
    counter!(RUNS, "end" => end).increment(1);
}

/// How many items have no result.
pub fn open_items(count: usize) {
    gauge!(OPEN_ITEMS).set(count as f64);
}

/// How many tenants have no request left under their limit.
pub fn exhausted_tenants(count: usize) {
    gauge!(EXHAUSTED_TENANTS).set(count as f64);
}

fn seconds(duration: Millis) -> f64 {
    duration.0 as f64 / 1_000.0
}
