//! Implements `stallmoor node`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::ArgMatches;
use snafu::ResultExt;
use stallmoor_core::node::configuration::SourceFile;
use stallmoor_node::{NodeFileSettings, parse_settings};
use tokio::signal::unix::{SignalKind, signal};

use crate::arguments::text;
use crate::logging;
use crate::outcome::{CommandError, FileSnafu, StartSnafu};
use crate::output::CommandOutput;

/// Runs a node until it receives SIGTERM or SIGINT, or stops by itself.
pub async fn run(arguments: &ArgMatches, output: &mut CommandOutput) -> Result<(), CommandError> {
    let settings = read_settings(arguments)?;
    let log_path = settings.log_file.clone().unwrap_or_default();
    logging::install_logger(settings.log_level, settings.log_file.as_deref()).context(FileSnafu { path: log_path })?;
    let adopt = arguments.get_flag("adopt-data-folder");
    let mut node = stallmoor_node::start(&settings, adopt).await.context(StartSnafu)?;
    output.line(format_args!("callers {} peers {}", node.caller_address, node.peer_address))?;
    let mut terminate = signal(SignalKind::terminate()).context(FileSnafu { path: PathBuf::new() })?;
    let mut interrupt = signal(SignalKind::interrupt()).context(FileSnafu { path: PathBuf::new() })?;
    tokio::select! {
        () = node.stopped() => return Ok(()),
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.stop().await;
    node.stopped().await;
    Ok(())
}

/// Reads the settings file and applies the overrides given on the command line.
fn read_settings(arguments: &ArgMatches) -> Result<NodeFileSettings, CommandError> {
    let path = arguments.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    let content = std::fs::read_to_string(&path).context(FileSnafu { path: path.clone() })?;
    let file = SourceFile { name: path.display().to_string(), text: content };
    let mut settings = parse_settings(&file).map_err(|errors| CommandError::Invalid { errors })?;
    if let Some(zone) = text(arguments, "zone") {
        settings.zone = zone.to_owned();
    }
    if let Some(address) = arguments.get_one::<SocketAddr>("peer-address") {
        settings.peer_address = *address;
    }
    if let Some(address) = arguments.get_one::<SocketAddr>("caller-address") {
        settings.caller_address = *address;
    }
    if let Some(folder) = arguments.get_one::<PathBuf>("data-folder") {
        settings.data_folder = Some(folder.clone());
    }
    Ok(settings)
}
