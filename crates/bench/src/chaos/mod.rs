//! Load generation under fault injection against a running fleet, and verification of the results.
//!
//! `scripts/chaos.sh` starts the fleet and injects faults. This client sends online and batch load, records the
//! answers, and checks them against the engines' records of runs at the end.

mod batch;
mod online;
mod verdict;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::fleet_client::{FleetClient, FleetTarget};

pub use verdict::ChaosVerdict;

/// Options of a chaos run.
#[derive(Clone, Debug)]
pub struct ChaosOptions {
    /// Fleet to send the load to.
    pub target: FleetTarget,
    /// Files in which engines record their runs.
    pub runs_files: Vec<PathBuf>,
    /// Duration of the load.
    pub load: Duration,
    /// Time allowed for jobs to complete after the load.
    pub settle: Duration,
    /// Seed of the random generator.
    pub seed: u64,
}

/// Maximum number of tokens in an answer.
pub(crate) const MAX_TOKENS: u32 = 64;

/// Sends the load, waits until jobs are complete and checks the results.
pub async fn run(options: ChaosOptions) -> ChaosVerdict {
    let options = Arc::new(options);
    let client = FleetClient::new(options.target.clone());
    let online = tokio::spawn(online::send_requests(client.clone(), options.clone()));
    let batch = tokio::spawn(batch::submit_jobs(client.clone(), options.clone()));
    let questions = online.await.unwrap_or_default();
    let jobs = batch.await.unwrap_or_default();
    let checked = batch::check_jobs(&client, &options, &jobs).await;
    verdict::check_run(&options, &questions, checked)
}
