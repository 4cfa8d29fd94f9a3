//! Reloads the settings on each reload signal until a stop signal arrives.

use std::path::Path;

use stallmoor_core::log_event::LogEvent;

use super::settings::ServingSettings;
use super::signals::{ProcessSignals, SignalRequest};
use crate::observe::journal::{Field, record};

/// Waits for a stop signal. Reloads the settings on each reload signal.
pub(super) async fn wait_for_stop(signals: &mut ProcessSignals, settings_path: &Path) {
    while signals.next().await == SignalRequest::Reload {
        reload_settings(settings_path);
    }
}

/// Completes a part of the start; `None` if a stop signal arrives first.
pub(super) async fn unless_stopped<T>(
    signals: &mut ProcessSignals,
    settings_path: &Path,
    start: impl Future<Output = T>,
) -> Option<T> {
    tokio::select! {
        biased;
        started = start => Some(started),
        () = wait_for_stop(signals, settings_path) => None,
    }
}

/// Applies the one setting that may change at runtime, the log level. Invalid settings are logged and ignored.
fn reload_settings(settings_path: &Path) {
    match ServingSettings::read(settings_path) {
        Ok(settings) => {
            log::set_max_level(settings.log.level);
            record(LogEvent::SettingsReloaded, &[Field::flag("taken", true)]);
        }
        Err(error) => {
            record(LogEvent::SettingsReloaded, &[Field::flag("taken", false), Field::text("detail", error)]);
        }
    }
}
