//! Open-loop load against a running fleet.
//!
//! Requests are sent when they are due, whether or not earlier ones were answered, and times count from
//! when a request was due. A fleet that falls behind therefore shows it (no coordinated omission).

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

use crate::fleet_client::{FleetClient, FleetTarget, Outcome, Question};
use crate::latency::{LatencyHistogram, Percentiles};

/// Turns of a session.
const TURNS: u64 = 4;
/// Items of one batch job.
const JOB_ITEMS: u64 = 50;

/// What to send, and where.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Where to.
    pub target: FleetTarget,
    /// Online requests a second.
    pub rate: f64,
    /// Batch items a second.
    pub batch_rate: f64,
    /// How long.
    pub seconds: u64,
    /// Decides what is sent when.
    pub seed: u64,
    /// Most tokens of an answer.
    pub max_tokens: u32,
    /// Show a progress bar.
    pub progress: bool,
}

/// What came of it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Online requests sent.
    pub sent: u64,
    /// Answered whole.
    pub answered: u64,
    /// Refused.
    pub refused: u64,
    /// Lost.
    pub lost: u64,
    /// Tokens received.
    pub tokens: u64,
    /// From when a request was due to its first token.
    pub ttft_ms: Percentiles,
    /// Between pieces.
    pub itl_ms: Percentiles,
    /// Batch jobs accepted.
    pub jobs: u64,
    /// Batch jobs refused or lost.
    pub jobs_failed: u64,
}

/// One request's outcome.
struct Sample {
    waited: Duration,
    outcome: Outcome,
}

/// Sends the load.
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
    let mut gathered = Gathered::default();
    while let Some(sample) = received.recv().await {
        progress.inc(1);
        gathered.add(&sample);
    }
    progress.finish_and_clear();
    // A sender that panicked has been printed by the runtime; what it sent is counted.
    let _ = sender.await;
    let jobs = jobs.await.unwrap_or_default();
    let report = gathered.report;
    LoadReport {
        sent: sent.load(Ordering::Relaxed),
        ttft_ms: gathered.first_token.percentiles(),
        itl_ms: gathered.between.percentiles(),
        jobs: jobs.accepted,
        jobs_failed: jobs.failed,
        ..report
    }
}

#[derive(Default)]
struct Gathered {
    report: LoadReport,
    first_token: LatencyHistogram,
    between: LatencyHistogram,
}

impl Gathered {
    fn add(&mut self, sample: &Sample) {
        match &sample.outcome {
            Outcome::Answered(answer) => {
                self.report.answered += 1;
                self.report.tokens += answer.tokens;
                let first = (sample.waited + answer.first_token).as_micros() as u64;
                self.first_token.record(first);
                for gap in &answer.gaps {
                    self.between.record(gap.as_micros() as u64);
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
        let node = client.draw_node(&mut random);
        let question = question(&options, number);
        number += 1;
        sent.fetch_add(1, Ordering::Relaxed);
        let (client, samples) = (client.clone(), samples.clone());
        let due_at = (began + due).into_std();
        tokio::spawn(async move {
            let waited = Instant::now().saturating_duration_since(due_at);
            let outcome = client.ask(node, &question).await;
            // The receiver lives until the last sender is gone.
            let _ = samples.send(Sample { waited, outcome });
        });
    }
}

/// Turns of a session share their prefix.
fn question(options: &LoadOptions, number: u64) -> Question {
    let session = number / TURNS;
    let turn = number % TURNS;
    let history: String = (0..=turn).map(|turn| format!("turn {turn} of session {session} asks. ")).collect();
    Question {
        prompt: format!("load {} {history}", options.seed),
        session: Some(format!("load-{}-{session}", options.seed)),
        once_key: None,
        max_tokens: options.max_tokens,
    }
}

/// Jobs submitted.
#[derive(Default)]
struct JobTally {
    accepted: u64,
    failed: u64,
}

/// Submits jobs at the rate asked for.
async fn send_jobs(client: FleetClient, options: Arc<LoadOptions>) -> JobTally {
    let mut tally = JobTally::default();
    if options.batch_rate <= 0.0 {
        return tally;
    }
    let gap = Duration::from_secs_f64(JOB_ITEMS as f64 / options.batch_rate);
    let ends = Instant::now() + Duration::from_secs(options.seconds);
    let mut number = 0;
    while Instant::now() < ends {
        let lines: String = (0..JOB_ITEMS)
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
