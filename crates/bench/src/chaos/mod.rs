//! Load under failure against a running fleet, and the check of what came of it.
//!
//! `scripts/chaos.sh` starts the fleet and breaks it; this client sends online and batch load, writes
//! down what it was told, and at the end holds that against the engines' own count of runs.

mod batch;
mod online;
mod verdict;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::fleet_client::{FleetClient, FleetTarget};

pub use verdict::ChaosVerdict;

/// What to send, and where.
#[derive(Clone, Debug)]
pub struct ChaosOptions {
    /// Where to.
    pub target: FleetTarget,
    /// Files in which engines write down their runs.
    pub runs_files: Vec<PathBuf>,
    /// How long load is sent.
    pub load: Duration,
    /// How long jobs may take to complete after the load.
    pub settle: Duration,
    /// Decides what is sent.
    pub seed: u64,
}

/// Most tokens of each answer.
pub(crate) const MAX_TOKENS: u32 = 64;

/// Sends load, waits until jobs are complete, and checks.
pub async fn run(options: ChaosOptions) -> ChaosVerdict {
    let options = Arc::new(options);
    let client = FleetClient::new(options.target.clone());
    let online = tokio::spawn(online::send_questions(client.clone(), options.clone()));
    let batch = tokio::spawn(batch::submit_jobs(client.clone(), options.clone()));
    let questions = online.await.unwrap_or_default();
    let jobs = batch.await.unwrap_or_default();
    let checked = batch::check_jobs(&client, &options, &jobs).await;
    verdict::judge(&options, &questions, checked)
}
