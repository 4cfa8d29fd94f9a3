//! Questions under failure.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use tokio::task::JoinSet;

use super::{ChaosOptions, MAX_TOKENS};
use crate::fleet_client::{CompletionRequest, FleetClient, Outcome};

/// The mean time between two questions.
const MEAN_GAP_MS: u64 = 40;
/// Most times that one question is sent.
const MOST_SENDS: usize = 4;

/// One question and what came of each sending.
#[derive(Clone, Debug)]
pub struct QuestionLog {
    /// The prompts sent: a repeatable question is told apart at each sending.
    pub prompts: Vec<String>,
    /// What came of each.
    pub outcomes: Vec<Outcome>,
    /// Whether it may run at most once.
    pub once: bool,
}

/// Sends questions until the load is over.
pub async fn send_questions(client: FleetClient, options: Arc<ChaosOptions>) -> Vec<QuestionLog> {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(options.seed);
    let mut tasks = JoinSet::new();
    let ends = Instant::now() + options.load;
    let mut number = 0;
    while Instant::now() < ends {
        let gap = random.random_range(1..=2 * MEAN_GAP_MS);
        tokio::time::sleep(Duration::from_millis(gap)).await;
        number += 1;
        let seed = random.random();
        tasks.spawn(ask_until_answered(client.clone(), options.clone(), number, seed));
    }
    tasks.join_all().await
}

async fn ask_until_answered(client: FleetClient, options: Arc<ChaosOptions>, number: u64, seed: u64) -> QuestionLog {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    let once = random.random_bool(0.4);
    let session = random.random_bool(0.5).then(|| format!("session-{}", random.random_range(0..30)));
    let mut log = QuestionLog { prompts: Vec::new(), outcomes: Vec::new(), once };
    for send in 0..MOST_SENDS {
        let prompt = if once {
            format!("question {number} of {}", options.seed)
        } else {
            format!("question {number} of {}, sending {send}", options.seed)
        };
        let question = CompletionRequest {
            prompt: prompt.clone(),
            session: session.clone(),
            idempotency_key: once.then(|| format!("key-{}-{number}", options.seed)),
            max_tokens: MAX_TOKENS,
        };
        let node = client.random_node(&mut random);
        let outcome = client.complete(node, &question).await;
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
