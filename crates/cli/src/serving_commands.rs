//! Implements `stallmoor gateway` and `stallmoor storage`, the processes that run on the users' platform.

use std::path::PathBuf;

use clap::ArgMatches;
use snafu::ResultExt;
use stallmoor_adapter::Platform;
use stallmoor_gateway::observe::log_writer;
use stallmoor_gateway::process;
use stallmoor_gateway::process::settings::ServingSettings;
use stallmoor_gateway::process::signals::ProcessSignals;

use crate::outcome::{CommandError, FileSnafu, ServingSnafu, SettingsSnafu};

/// Runs a gateway until it is signaled to stop.
pub async fn gateway(arguments: &ArgMatches) -> Result<(), CommandError> {
    let signals = install_signals()?;
    let (path, settings) = prepare(arguments)?;
    let platform = Platform::new(&settings.metadata);
    let ended = process::run_gateway(&settings, &path, &platform, signals).await.context(ServingSnafu);
    log_writer::flush();
    ended
}

/// Runs a storage node until it is signaled to stop.
pub async fn storage(arguments: &ArgMatches) -> Result<(), CommandError> {
    let signals = install_signals()?;
    let (path, settings) = prepare(arguments)?;
    let platform = Platform::new(&settings.metadata);
    let ended = process::run_storage(&settings, &path, &platform, signals).await.context(ServingSnafu);
    log_writer::flush();
    ended
}

fn install_signals() -> Result<ProcessSignals, CommandError> {
    ProcessSignals::install().context(FileSnafu { path: PathBuf::new() })
}

/// Reads the settings and installs the logger.
fn prepare(arguments: &ArgMatches) -> Result<(PathBuf, ServingSettings), CommandError> {
    let named = arguments.get_one::<PathBuf>("settings").cloned();
    let path = named.or_else(stallmoor_adapter::settings_path).ok_or(CommandError::NoSettings)?;
    let settings = ServingSettings::read(&path).context(SettingsSnafu)?;
    log_writer::install_logger(settings.log.level).context(FileSnafu { path: PathBuf::new() })?;
    Ok((path, settings))
}
