//! Online requests under fault injection.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use tokio::task::JoinSet;

use super::{ChaosOptions, MAX_TOKENS};
use crate::fleet_client::{CompletionRequest, FleetClient, Outcome};

/// Mean interval between two requests.
const MEAN_INTERVAL_MS: u64 = 40;
/// Maximum number of times that one request is sent.
const MAX_SENDS: usize = 4;

/// A request with the outcome of each send.
#[derive(Clone, Debug)]
pub struct RequestLog {
    /// Prompts sent. Each send of a repeatable request has a different prompt so that its runs can be counted.
    pub prompts: Vec<String>,
    /// Outcomes, one for each prompt.
    pub outcomes: Vec<Outcome>,
    /// Whether the request must run at most once.
    pub at_most_once: bool,
}

/// Sends requests for the duration of the load.
pub async fn send_requests(client: FleetClient, options: Arc<ChaosOptions>) -> Vec<RequestLog> {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(options.seed);
    let mut tasks = JoinSet::new();
    let deadline = Instant::now() + options.load;
    let mut number = 0;
    while Instant::now() < deadline {
        let gap = random.random_range(1..=2 * MEAN_INTERVAL_MS);
        tokio::time::sleep(Duration::from_millis(gap)).await;
        number += 1;
        let seed = random.random();
        tasks.spawn(send_until_answered(client.clone(), options.clone(), number, seed));
    }
    tasks.join_all().await
}

async fn send_until_answered(client: FleetClient, options: Arc<ChaosOptions>, number: u64, seed: u64) -> RequestLog {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    let at_most_once = random.random_bool(0.4);
    let session = random.random_bool(0.5).then(|| format!("session-{}", random.random_range(0..30)));
    let mut log = RequestLog { prompts: Vec::new(), outcomes: Vec::new(), at_most_once };
    for send in 0..MAX_SENDS {
        let prompt = if at_most_once {
            format!("question {number} of {}", options.seed)
        } else {
            format!("question {number} of {}, sending {send}", options.seed)
        };
        let request = CompletionRequest {
            prompt: prompt.clone(),
            session: session.clone(),
            idempotency_key: at_most_once.then(|| format!("key-{}-{number}", options.seed)),
            max_tokens: MAX_TOKENS,
        };
        let node = client.random_node(&mut random);
        let outcome = client.complete(node, &request).await;
        let wait = match &outcome {
            Outcome::Refused(refusal) => refusal.retry_after_ms,
            Outcome::Lost => Some(500),
            Outcome::Answered(_) => None,
        };
        log.prompts.push(prompt);
        log.outcomes.push(outcome);
        let Some(wait) = wait else { break };
        tokio::time::sleep(Duration::from_millis(wait + random.random_range(0..200))).await;
    }
    log
}
