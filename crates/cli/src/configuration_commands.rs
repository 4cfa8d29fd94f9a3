//! Implements `stallmoor check`, `apply` and `diff`.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use clap::ArgMatches;
use indicatif::ProgressBar;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde_json::{Value, json};
use snafu::ResultExt;
use stallmoor_core::node::configuration::{FleetConfiguration, SourceFile, check_files};

use crate::arguments::{selected_node, wants_json};
use crate::client::NodeClient;
use crate::outcome::{CommandError, FileSnafu};
use crate::output::CommandOutput;

/// Polling interval of `apply --wait`.
const WAIT_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time `apply --wait` waits for all nodes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs `check`: validates a set of files locally.
pub fn check(arguments: &ArgMatches, output: &mut CommandOutput) -> Result<(), CommandError> {
    let files = read_folder(arguments)?;
    let fleet = match check_files(&files) {
        Ok(fleet) => fleet,
        Err(errors) => {
            if wants_json(arguments) {
                output.line(json!({"ok": false, "errors": errors}))?;
            }
            return Err(CommandError::Invalid { errors });
        }
    };
    if wants_json(arguments) {
        output.line(json!({"ok": true, "summary": summary(&fleet)}))
    } else {
        output.line(format_args!("ok: {}", text_summary(&fleet)))
    }
}

/// Runs `apply`: validates a set of files and submits it to a node.
pub async fn apply(arguments: &ArgMatches, output: &mut CommandOutput) -> Result<(), CommandError> {
    let files = read_folder(arguments)?;
    check_files(&files).map_err(|errors| CommandError::Invalid { errors })?;
    let client = NodeClient::new(selected_node(arguments));
    let expected = match arguments.get_one::<u64>("expect") {
        Some(revision) => *revision,
        None => client.get("/operator/configuration").await?["revision"].as_u64().unwrap_or(0),
    };
    // Limited to 53 bits because some JSON parsers read numbers as doubles.
    let apply_id = Xoshiro256PlusPlus::from_os_rng().random::<u64>() >> 11;
    let contents: BTreeMap<&str, &str> = files.iter().map(|file| (file.name.as_str(), file.text.as_str())).collect();
    let body = json!({"apply_id": apply_id, "expected_revision": expected, "files": contents});
    let answer = client.post("/operator/configuration", &[], Bytes::from(body.to_string())).await?;
    let revision = answer["revision"].as_u64().unwrap_or(0);
    if arguments.get_flag("wait") {
        wait_in_force(&client, revision).await?;
    }
    if wants_json(arguments) {
        output.line(answer)
    } else if answer["changed"] == json!(true) {
        output.line(format_args!("applied: revision {revision}"))
    } else {
        output.line(format_args!("unchanged: revision {revision} is in force"))
    }
}

async fn wait_in_force(client: &NodeClient, revision: u64) -> Result<(), CommandError> {
    let progress = ProgressBar::new_spinner().with_message(format!("waiting for revision {revision} on every node"));
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    loop {
        progress.tick();
        let status = client.get("/operator/status").await?;
        let nodes = status["nodes"].as_array().cloned().unwrap_or_default();
        let behind = nodes.iter().filter(|node| node["configuration_revision"].as_u64().unwrap_or(0) < revision);
        let behind = behind.count();
        if behind == 0 && status["silent"].as_array().is_none_or(Vec::is_empty) {
            progress.finish_and_clear();
            return Ok(());
        }
        if tokio::time::Instant::now() >= deadline {
            let message = format!("revision {revision} was accepted, but {behind} nodes don't have it yet");
            return Err(CommandError::Refused {
                code: "not_in_force_everywhere".to_owned(),
                ran: "ran".to_owned(),
                message,
                retry_after_ms: None,
            });
        }
        tokio::time::sleep(WAIT_INTERVAL).await;
    }
}

/// Runs `diff`: compares a set of files with the revision in force.
pub async fn diff(arguments: &ArgMatches, output: &mut CommandOutput) -> Result<(), CommandError> {
    let files = read_folder(arguments)?;
    let answer = NodeClient::new(selected_node(arguments)).get("/operator/configuration").await?;
    let revision = answer["revision"].as_u64().unwrap_or(0);
    let in_force = answer["files"].as_object().cloned().unwrap_or_default();
    let mut changes = Vec::new();
    for file in &files {
        match in_force.get(&file.name).and_then(Value::as_str) {
            None => changes.push(json!({"file": file.name, "change": "added"})),
            Some(text) if text != file.text => {
                let lines = changed_lines(text, &file.text);
                changes.push(json!({"file": file.name, "change": "changed", "lines": lines}));
            }
            Some(_) => {}
        }
    }
    for name in in_force.keys().filter(|name| files.iter().all(|file| file.name != **name)) {
        changes.push(json!({"file": name, "change": "removed"}));
    }
    if wants_json(arguments) {
        output.line(json!({"revision": revision, "changes": changes}))?;
    } else {
        print_changes(&changes, output)?;
    }
    if changes.is_empty() { Ok(()) } else { Err(CommandError::Differs { revision }) }
}

fn print_changes(changes: &[Value], output: &mut CommandOutput) -> Result<(), CommandError> {
    for change in changes {
        let kind = change["change"].as_str().unwrap_or_default();
        let file = change["file"].as_str().unwrap_or_default();
        output.line(format_args!("{kind} {file}"))?;
        for line in change["lines"].as_array().into_iter().flatten() {
            output.line(format_args!("  {}", line.as_str().unwrap_or_default()))?;
        }
    }
    Ok(())
}

/// Returns lines that occur in only one of the texts: removed lines marked `-`, then added lines marked `+`.
fn changed_lines(before: &str, after: &str) -> Vec<String> {
    let mut remaining: Vec<&str> = after.lines().collect();
    let mut changed = Vec::new();
    for line in before.lines() {
        match remaining.iter().position(|other| *other == line) {
            Some(index) => {
                remaining.remove(index);
            }
            None => changed.push(format!("- {line}")),
        }
    }
    changed.extend(remaining.into_iter().map(|line| format!("+ {line}")));
    changed
}

/// Reads the `*.toml` files of a folder, sorted by name.
fn read_folder(arguments: &ArgMatches) -> Result<Vec<SourceFile>, CommandError> {
    let folder = arguments.get_one::<PathBuf>("folder").cloned().unwrap_or_default();
    let entries = std::fs::read_dir(&folder).context(FileSnafu { path: folder.clone() })?;
    let is_toml = |path: &PathBuf| path.extension().is_some_and(|extension| extension == "toml");
    let mut paths: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).filter(is_toml).collect();
    paths.sort();
    paths.iter().map(|path| read_file(path)).collect()
}

fn read_file(path: &Path) -> Result<SourceFile, CommandError> {
    let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
    let name = path.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
    Ok(SourceFile { name, text })
}

fn summary(fleet: &FleetConfiguration) -> Value {
    json!({
        "fleet": &*fleet.fleet.name,
        "zones": fleet.zones.len(),
        "services": fleet.services.len(),
        "models": fleet.models.len(),
        "machines": fleet.engines.len(),
        "tenants": fleet.tenants.len(),
    })
}

fn text_summary(fleet: &FleetConfiguration) -> String {
    format!(
        "fleet {}: {} zones, {} services, {} models, {} machines, {} tenants",
        fleet.fleet.name,
        fleet.zones.len(),
        fleet.services.len(),
        fleet.models.len(),
        fleet.engines.len(),
        fleet.tenants.len()
    )
}
