//! Reading the settings again at a signal, until the signal to stop.

use std::path::Path;

use stallmoor_core::log_event::LogEvent;

use super::settings::ServingSettings;
use super::signals::{ProcessSignals, SignalRequest};
use crate::observe::journal::{Field, record};

/// Waits for the signal to stop, and reads the settings again at each signal to reload.
pub(super) async fn wait_for_stop(mut signals: ProcessSignals, settings_path: &Path) {
    while signals.next().await == SignalRequest::Reload {
        reload_settings(settings_path);
    }
}

/// Takes what may change while the process runs: the log level. Settings that can't be used change nothing.
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
