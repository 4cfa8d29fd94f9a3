//! Implements `stallmoor status` and `explain`.

use std::path::PathBuf;

use clap::ArgMatches;
use serde_json::Value;
use stallmoor_core::node::{FleetStatus, NodeStatus};

use crate::arguments::{selected_node, text, wants_json};
use crate::client::NodeClient;
use crate::log_story;
use crate::outcome::CommandError;
use crate::output::CommandOutput;

/// Runs `status`: prints one line per node.
pub async fn status(arguments: &ArgMatches, output: &mut CommandOutput) -> Result<(), CommandError> {
    let value = NodeClient::new(selected_node(arguments)).get("/operator/status").await?;
    if wants_json(arguments) {
        return output.line(value);
    }
    let status: FleetStatus = serde_json::from_value(value).unwrap_or_default();
    output.line(format_args!(
        "{:<21} {:<12} {:<21} {:>8} {:>6} {:>5} {:>7} {:>6}",
        "node", "zone", "callers", "revision", "ready", "leads", "online", "batch"
    ))?;
    for node in &status.nodes {
        print_node(node, output)?;
    }
    for node in &status.silent {
        output.line(format_args!("{node:<21} did not answer"))?;
    }
    Ok(())
}

fn print_node(node: &NodeStatus, output: &mut CommandOutput) -> Result<(), CommandError> {
    let leads = node.groups.iter().filter(|group| group.leads).count();
    let ready = if node.stopping {
        "stops"
    } else if node.ready {
        "yes"
    } else {
        "no"
    };
    output.line(format_args!(
        "{:<21} {:<12} {:<21} {:>8} {ready:>6} {leads:>5} {:>7} {:>6}",
        node.node,
        node.zone,
        node.caller_address,
        node.configuration_revision,
        node.online_requests,
        node.batch_streams
    ))
}

/// Runs `explain`: prints the decisions for a request, queried from a node or read from logs.
pub async fn explain(arguments: &ArgMatches, output: &mut CommandOutput) -> Result<(), CommandError> {
    let id = text(arguments, "id").unwrap_or_default();
    let logs: Vec<PathBuf> = arguments.get_many::<PathBuf>("log").into_iter().flatten().cloned().collect();
    if !logs.is_empty() {
        return log_story::print(id, &logs, output);
    }
    let value = NodeClient::new(selected_node(arguments)).get(&format!("/operator/explain/{id}")).await?;
    if wants_json(arguments) {
        return output.line(value);
    }
    output.line(id)?;
    for step in value["steps"].as_array().into_iter().flatten() {
        print_step(step, output)?;
    }
    Ok(())
}

fn print_step(step: &Value, output: &mut CommandOutput) -> Result<(), CommandError> {
    let after = step[0].as_u64().unwrap_or(0);
    match &step[1] {
        Value::String(name) => output.line(format_args!("{after:>7} ms  {name}"))?,
        Value::Object(fields) => {
            for (name, detail) in fields {
                output.line(format_args!("{after:>7} ms  {name}"))?;
                print_fields(detail, output)?;
            }
        }
        _ => {}
    }
    Ok(())
}

fn print_fields(detail: &Value, output: &mut CommandOutput) -> Result<(), CommandError> {
    for (field, value) in detail.as_object().into_iter().flatten() {
        match value {
            Value::Array(items) => {
                output.line(format_args!("            {field}:"))?;
                for item in items {
                    output.line(format_args!("              {}", item.as_str().unwrap_or_default()))?;
                }
            }
            Value::String(text) => output.line(format_args!("            {field}: {text}"))?,
            other => output.line(format_args!("            {field}: {other}"))?,
        }
    }
    Ok(())
}
