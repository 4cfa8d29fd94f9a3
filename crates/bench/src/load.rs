//! Open-loop load generation against a running fleet.
//!
//! Requests are sent on schedule regardless of outstanding answers, and latency is measured from the scheduled
//! send time, which avoids coordinated omission.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use indicatif::ProgressBar;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::Serialize;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::Instant as TokioInstant;

use crate::fleet_client::{CompletionRequest, FleetClient, FleetTarget, Outcome};
use crate::latency::{LatencyHistogram, Percentiles};

/// Number of turns in a session.
const SESSION_TURNS: u64 = 4;
/// Number of items in a batch job.
const ITEMS_PER_JOB: u64 = 50;

/// Options of a load run.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Fleet to send the load to.
    pub target: FleetTarget,
    /// Online requests per second.
    pub rate: f64,
    /// Batch items per second.
    pub batch_rate: f64,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// Seed of the random generator.
    pub seed: u64,
    /// Maximum number of tokens in an answer.
    pub max_tokens: u32,
    /// Whether to show a progress bar.
    pub progress: bool,
}

/// Results of a load run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Number of online requests sent.
    pub sent: u64,
    /// Number of online requests answered completely.
    pub answered: u64,
    /// Number of online requests refused.
    pub refused: u64,
    /// Number of online requests lost to a broken connection or a timeout.
    pub lost: u64,
    /// Number of tokens received.
    pub tokens: u64,
    /// Time from a request's scheduled send time to its first token.
    pub ttft_ms: Percentiles,
    /// Intervals between consecutive chunks.
    pub itl_ms: Percentiles,
    /// Number of batch jobs accepted.
    pub jobs: u64,
    /// Number of batch jobs refused or lost.
    pub jobs_failed: u64,
}

/// Outcome of one request.
struct Sample {
    waited: Duration,
    outcome: Outcome,
}

/// Sends the load and returns its results.
pub async fn run(options: LoadOptions) -> LoadReport {
    let options = Arc::new(options);
    let client = FleetClient::new(options.target.clone());
    let jobs = tokio::spawn(send_jobs(client.clone(), options.clone()));
    let (samples, mut received) = mpsc::unbounded_channel();
    let sent = Arc::new(AtomicU64::new(0));
    let sender = tokio::spawn(send_online(client, options.clone(), samples, sent.clone()));
    let progress = if options.progress {
        ProgressBar::new((options.rate * options.seconds as f64) as u64)
    } else {
        ProgressBar::hidden()
    };
    let mut stats = LoadStats::default();
    while let Some(sample) = received.recv().await {
        progress.inc(1);
        stats.add(&sample);
    }
    progress.finish_and_clear();
    // The runtime reports a panic of the sender; requests sent before it are still counted.
    let _ = sender.await;
    let jobs = jobs.await.unwrap_or_default();
    let report = stats.report;
    LoadReport {
        sent: sent.load(Ordering::Relaxed),
        ttft_ms: stats.first_token.percentiles(),
        itl_ms: stats.inter_token.percentiles(),
        jobs: jobs.accepted,
        jobs_failed: jobs.failed,
        ..report
    }
}

#[derive(Default)]
struct LoadStats {
    report: LoadReport,
    first_token: LatencyHistogram,
    inter_token: LatencyHistogram,
}

impl LoadStats {
    fn add(&mut self, sample: &Sample) {
        match &sample.outcome {
            Outcome::Answered(answer) => {
                self.report.answered += 1;
                self.report.tokens += answer.tokens;
                let first = (sample.waited + answer.first_token).as_micros() as u64;
                self.first_token.record(first);
                for gap in &answer.gaps {
                    self.inter_token.record(gap.as_micros() as u64);
                }
            }
            Outcome::Refused(_) => self.report.refused += 1,
            Outcome::Lost => self.report.lost += 1,
        }
    }
}

async fn send_online(
    client: FleetClient,
    options: Arc<LoadOptions>,
    samples: mpsc::UnboundedSender<Sample>,
    sent: Arc<AtomicU64>,
) {
    if options.rate <= 0.0 {
        return;
    }
    let mut random = Xoshiro256PlusPlus::seed_from_u64(options.seed);
    let began = TokioInstant::now();
    let mut due = Duration::ZERO;
    let mut number = 0;
    loop {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-uniform.ln() / options.rate);
        if due.as_secs() >= options.seconds {
            return;
        }
        tokio::time::sleep_until(began + due).await;
        let node = client.random_node(&mut random);
        let completion_request = completion_request(&options, number);
        number += 1;
        sent.fetch_add(1, Ordering::Relaxed);
        let (client, samples) = (client.clone(), samples.clone());
        let due_at = (began + due).into_std();
        tokio::spawn(async move {
            let waited = Instant::now().saturating_duration_since(due_at);
            let outcome = client.complete(node, &completion_request).await;
            // The receiver outlives all senders.
            let _ = samples.send(Sample { waited, outcome });
        });
    }
}

/// Builds a request whose prompt extends the prompt of the session's previous turn.
fn completion_request(options: &LoadOptions, number: u64) -> CompletionRequest {
    let session = number / SESSION_TURNS;
    let turn = number % SESSION_TURNS;
    let history: String = (0..=turn).map(|turn| format!("turn {turn} of session {session} asks. ")).collect();
    CompletionRequest {
        prompt: format!("load {} {history}", options.seed),
        session: Some(format!("load-{}-{session}", options.seed)),
        idempotency_key: None,
        max_tokens: options.max_tokens,
    }
}

/// Number of jobs by result of their submission.
#[derive(Default)]
struct JobTally {
    accepted: u64,
    failed: u64,
}

/// Submits jobs at the configured rate.
async fn send_jobs(client: FleetClient, options: Arc<LoadOptions>) -> JobTally {
    let mut tally = JobTally::default();
    if options.batch_rate <= 0.0 {
        return tally;
    }
    let gap = Duration::from_secs_f64(ITEMS_PER_JOB as f64 / options.batch_rate);
    let deadline = Instant::now() + Duration::from_secs(options.seconds);
    let mut number = 0;
    while Instant::now() < deadline {
        let lines: String = (0..ITEMS_PER_JOB)
            .map(|item| json!({"prompt": format!("load {} job {number} item {item}", options.seed)}).to_string() + "\n")
            .collect();
        let node = options.target.nodes[number as usize % options.target.nodes.len()];
        let key = format!("load-{}-{number}", options.seed);
        match client.submit(node, &key, lines).await {
            Ok(_) => tally.accepted += 1,
            Err(_) => tally.failed += 1,
        }
        number += 1;
        tokio::time::sleep(gap).await;
    }
    tally
}
