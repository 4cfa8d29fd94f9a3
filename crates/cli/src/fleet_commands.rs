//! `stallmoor status` and `explain`.

use std::path::PathBuf;

use clap::ArgMatches;
use serde_json::Value;
use stallmoor_core::node::{FleetStatus, NodeStatus};

use crate::arguments::{node_of, text, wants_json};
use crate::client::NodeClient;
use crate::log_story;
use crate::outcome::CommandError;

/// Shows every node.
pub async fn status(arguments: &ArgMatches) -> Result<(), CommandError> {
    let value = NodeClient::new(node_of(arguments)).get("/operator/status").await?;
    if wants_json(arguments) {
        println!("{value}");
        return Ok(());
    }
    let status: FleetStatus = serde_json::from_value(value).unwrap_or_default();
    println!(
        "{:<21} {:<12} {:<21} {:>8} {:>6} {:>5} {:>7} {:>6}",
        "node", "zone", "callers", "revision", "ready", "leads", "online", "batch"
    );
    for node in &status.nodes {
        print_node(node);
    }
    for silent in &status.silent {
        println!("{silent:<21} did not answer");
    }
    Ok(())
}

fn print_node(node: &NodeStatus) {
    let leads = node.groups.iter().filter(|group| group.leads).count();
    let ready = if node.stopping {
        "stops"
    } else if node.ready {
        "yes"
    } else {
        "no"
    };
    println!(
        "{:<21} {:<12} {:<21} {:>8} {ready:>6} {leads:>5} {:>7} {:>6}",
        node.node,
        node.zone,
        node.caller_address,
        node.configuration_revision,
        node.online_requests,
        node.batch_streams
    );
}

/// Shows the decisions for a request.
pub async fn explain(arguments: &ArgMatches) -> Result<(), CommandError> {
    let id = text(arguments, "id").unwrap_or_default();
    let logs: Vec<PathBuf> = arguments.get_many::<PathBuf>("log").into_iter().flatten().cloned().collect();
    if !logs.is_empty() {
        return log_story::print(id, &logs);
    }
    let value = NodeClient::new(node_of(arguments)).get(&format!("/operator/explain/{id}")).await?;
    if wants_json(arguments) {
        println!("{value}");
        return Ok(());
    }
    println!("{id}");
    for step in value["steps"].as_array().into_iter().flatten() {
        print_step(step);
    }
    Ok(())
}

fn print_step(step: &Value) {
    let after = step[0].as_u64().unwrap_or(0);
    match &step[1] {
        Value::String(name) => println!("{after:>7} ms  {name}"),
        Value::Object(fields) => {
            for (name, detail) in fields {
                println!("{after:>7} ms  {name}");
                print_fields(detail);
            }
        }
        _ => {}
    }
}

fn print_fields(detail: &Value) {
    for (field, value) in detail.as_object().into_iter().flatten() {
        match value {
            Value::Array(items) => {
                println!("            {field}:");
                for item in items {
                    println!("              {}", item.as_str().unwrap_or_default());
                }
            }
            Value::String(text) => println!("            {field}: {text}"),
            other => println!("            {field}: {other}"),
        }
    }
}
