//! Implements `stallmoor batch submit`, `status`, `results` and `cancel`.

use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use clap::ArgMatches;
use indicatif::ProgressBar;
use serde_json::Value;
use snafu::ResultExt;

use crate::arguments::{selected_node, text, wants_json};
use crate::client::{Header, NodeClient};
use crate::outcome::{CommandError, FileSnafu};
use crate::output::CommandOutput;

/// Polling interval of `--wait`.
const WAIT_INTERVAL: Duration = Duration::from_millis(250);

/// Runs the selected `batch` subcommand.
pub async fn run(arguments: &ArgMatches, output: &mut CommandOutput) -> Result<(), CommandError> {
    match arguments.subcommand() {
        Some(("submit", arguments)) => submit(arguments, output).await,
        Some(("status", arguments)) => status(arguments, output).await,
        Some(("results", arguments)) => results(arguments, output).await,
        Some(("cancel", arguments)) => cancel(arguments, output).await,
        _ => Ok(()),
    }
}

async fn submit(arguments: &ArgMatches, output: &mut CommandOutput) -> Result<(), CommandError> {
    let path = arguments.get_one::<PathBuf>("file").cloned().unwrap_or_default();
    let content = std::fs::read(&path).context(FileSnafu { path })?;
    let client = NodeClient::new(selected_node(arguments));
    let mut headers: Vec<Header<'_>> = vec![("content-type", "application/jsonl")];
    headers.extend(text(arguments, "tenant").map(|tenant| ("stallmoor-tenant", tenant)));
    headers.extend(text(arguments, "key").map(|key| ("idempotency-key", key)));
    let mut parameters = Vec::new();
    parameters.extend(text(arguments, "model").map(|model| format!("model={model}")));
    parameters.extend(text(arguments, "adapter").map(|adapter| format!("adapter={adapter}")));
    parameters.extend(arguments.get_one::<u64>("within-ms").map(|within| format!("within_ms={within}")));
    let path = format!("/v1/batches?{}", parameters.join("&"));
    let mut job = client.post(&path, &headers, Bytes::from(content)).await?;
    if arguments.get_flag("wait") {
        job = wait(&client, &job).await?;
    }
    print_job(arguments, &job, output)
}

async fn wait(client: &NodeClient, job: &Value) -> Result<Value, CommandError> {
    let id = job_id(job).to_owned();
    let progress = ProgressBar::new(job["request_counts"]["total"].as_u64().unwrap_or(0));
    loop {
        let job = client.get(&format!("/v1/batches/{id}")).await?;
        let counts = &job["request_counts"];
        let done = counts["completed"].as_u64().unwrap_or(0) + counts["failed"].as_u64().unwrap_or(0);
        progress.set_position(done);
        if !matches!(job["status"].as_str(), Some("in_progress" | "validating")) {
            progress.finish_and_clear();
            return Ok(job);
        }
        tokio::time::sleep(WAIT_INTERVAL).await;
    }
}

async fn status(arguments: &ArgMatches, output: &mut CommandOutput) -> Result<(), CommandError> {
    let id = text(arguments, "job").unwrap_or_default();
    let job = NodeClient::new(selected_node(arguments)).get(&format!("/v1/batches/{id}")).await?;
    print_job(arguments, &job, output)
}

async fn cancel(arguments: &ArgMatches, output: &mut CommandOutput) -> Result<(), CommandError> {
    let id = text(arguments, "job").unwrap_or_default();
    let client = NodeClient::new(selected_node(arguments));
    let job = client.post(&format!("/v1/batches/{id}/cancel"), &[], Bytes::new()).await?;
    print_job(arguments, &job, output)
}

async fn results(arguments: &ArgMatches, output: &mut CommandOutput) -> Result<(), CommandError> {
    let id = text(arguments, "job").unwrap_or_default();
    let client = NodeClient::new(selected_node(arguments));
    match arguments.get_one::<PathBuf>("to") {
        Some(path) => write_results(&client, id, &mut CommandOutput::file(path)?).await,
        None => write_results(&client, id, output).await,
    }
}

/// Writes the results page by page and stops fetching once the output is closed.
async fn write_results(client: &NodeClient, id: &str, output: &mut CommandOutput) -> Result<(), CommandError> {
    let mut first = Some(0);
    while let Some(from) = first.filter(|_| output.has_reader()) {
        let page = client.get(&format!("/v1/batches/{id}/results?first={from}")).await?;
        for result in page["results"].as_array().into_iter().flatten() {
            output.line(result)?;
        }
        first = page["next"].as_u64();
    }
    Ok(())
}

fn print_job(arguments: &ArgMatches, job: &Value, output: &mut CommandOutput) -> Result<(), CommandError> {
    if wants_json(arguments) {
        return output.line(job);
    }
    let counts = &job["request_counts"];
    output.line(format_args!(
        "{} {}: {} of {} items completed, {} failed",
        job_id(job),
        job["status"].as_str().unwrap_or_default(),
        counts["completed"],
        counts["total"],
        counts["failed"]
    ))
}

fn job_id(job: &Value) -> &str {
    job["id"].as_str().unwrap_or_default()
}
