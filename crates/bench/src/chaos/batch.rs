//! Batch jobs under fault injection.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde_json::{Value, json};
use stallmoor_emulator::answer_text;

use super::{ChaosOptions, MAX_TOKENS};
use crate::fleet_client::{FleetClient, Refusal};

/// Mean interval between two jobs.
const MEAN_INTERVAL_MS: u64 = 2_500;
/// Interval between two attempts to read a job's status or results.
const JOB_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time allowed for a job's results to become readable at a node.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// A job that the fleet accepted.
#[derive(Clone, Debug)]
pub struct AcceptedJob {
    id: String,
    prompts: Vec<String>,
}

/// Results of checking all jobs.
#[derive(Clone, Debug, Default)]
pub struct CheckedJobs {
    /// Number of jobs accepted.
    pub jobs: usize,
    /// Number of items accepted.
    pub items: usize,
    /// Descriptions of the violations found.
    pub violations: Vec<String>,
}

/// Submits jobs for the duration of the load, retrying each until it is accepted.
pub async fn submit_jobs(client: FleetClient, options: Arc<ChaosOptions>) -> Vec<AcceptedJob> {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(options.seed ^ 0x6a6f_6273);
    let deadline = Instant::now() + options.load;
    let mut jobs = Vec::new();
    let mut number = 0;
    while Instant::now() < deadline {
        number += 1;
        let items = random.random_range(20..=150);
        let prompts: Vec<String> =
            (0..items).map(|item| format!("item {item} of job {number} of {}", options.seed)).collect();
        let key = format!("chaos-{}-{number}", options.seed);
        if let Some(id) = submit_until_accepted(&client, &key, &prompts, &mut random).await {
            jobs.push(AcceptedJob { id, prompts });
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(1..=2 * MEAN_INTERVAL_MS))).await;
    }
    jobs
}

async fn submit_until_accepted(
    client: &FleetClient,
    key: &str,
    prompts: &[String],
    random: &mut Xoshiro256PlusPlus,
) -> Option<String> {
    const MAX_SUBMISSIONS: usize = 40;
    let lines: String = prompts
        .iter()
        .enumerate()
        .map(|(index, prompt)| json!({"custom_id": index.to_string(), "prompt": prompt}).to_string() + "\n")
        .collect();
    for _ in 0..MAX_SUBMISSIONS {
        let node = client.random_node(random);
        match client.submit(node, key, lines.clone()).await {
            Ok(id) => return Some(id),
            Err(refusal) => {
                let wait = refusal.as_ref().and_then(|refusal: &Refusal| refusal.retry_after_ms).unwrap_or(500);
                tokio::time::sleep(Duration::from_millis(wait)).await;
            }
        }
    }
    None
}

/// Waits until all jobs are complete and checks the results read from every node.
pub async fn check_jobs(client: &FleetClient, options: &ChaosOptions, jobs: &[AcceptedJob]) -> CheckedJobs {
    let mut checked =
        CheckedJobs { jobs: jobs.len(), items: jobs.iter().map(|job| job.prompts.len()).sum(), violations: Vec::new() };
    let deadline = Instant::now() + options.settle;
    for job in jobs {
        if !wait_complete(client, job, deadline).await {
            checked.violations.push(format!("{} is not complete", job.id));
        }
    }
    for job in jobs {
        let mut first: Option<BTreeMap<u64, Value>> = None;
        for node in &options.target.nodes {
            let Some(results) = read_until_available(client, *node, &job.id).await else {
                checked.violations.push(format!("results of {} are not readable at {node}", job.id));
                continue;
            };
            checked.violations.extend(check_results(options, job, &results));
            let by_item: BTreeMap<u64, Value> =
                results.into_iter().filter_map(|result| Some((result["item"].as_u64()?, result))).collect();
            match &first {
                None => first = Some(by_item),
                Some(first) if *first != by_item => {
                    checked.violations.push(format!("{} has different results at {node}", job.id));
                }
                Some(_) => {}
            }
        }
    }
    checked
}

async fn wait_complete(client: &FleetClient, job: &AcceptedJob, deadline: Instant) -> bool {
    let nodes = &client.target().nodes;
    let mut index = 0;
    while Instant::now() < deadline {
        let node = nodes[index % nodes.len()];
        index += 1;
        let status = client.get(node, &format!("/v1/batches/{}", job.id)).await;
        if status.is_some_and(|status| status["status"] == "completed") {
            return true;
        }
        tokio::time::sleep(JOB_POLL_INTERVAL).await;
    }
    false
}

async fn read_until_available(client: &FleetClient, node: std::net::SocketAddr, job: &str) -> Option<Vec<Value>> {
    let deadline = Instant::now() + READ_TIMEOUT;
    loop {
        if let Some(results) = client.results(node, job).await {
            return Some(results);
        }
        if Instant::now() >= deadline {
            return None;
        }
        tokio::time::sleep(JOB_POLL_INTERVAL).await;
    }
}

/// Checks that each item has exactly one result, which is the complete answer to its prompt.
fn check_results(options: &ChaosOptions, job: &AcceptedJob, results: &[Value]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut seen = vec![0; job.prompts.len()];
    for result in results {
        let item = result["item"].as_u64().unwrap_or(u64::MAX) as usize;
        let Some(prompt) = job.prompts.get(item) else {
            violations.push(format!("{} has a result for item {item}", job.id));
            continue;
        };
        seen[item] += 1;
        let expected = answer_text(&options.target.model, prompt, MAX_TOKENS);
        if result["text"].as_str() != Some(&expected) || result["custom_id"].as_str() != Some(&item.to_string()) {
            violations.push(format!("{} item {item}: not the complete answer to its prompt", job.id));
        }
    }
    for (item, count) in seen.iter().enumerate().filter(|(_, count)| **count != 1) {
        violations.push(format!("{} item {item} has {count} results", job.id));
    }
    violations
}
