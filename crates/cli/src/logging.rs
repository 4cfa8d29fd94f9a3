//! Logger setup of the node process: one line per event, with timestamp, level and event number.

use std::path::Path;
use std::time::SystemTime;

use log::LevelFilter;

/// Installs the process-wide logger, which writes to `file` or, if absent, to standard error.
///
/// # Errors
///
/// Fails if the log file can't be opened or a logger is already installed.
pub fn install_logger(level: LevelFilter, file: Option<&Path>) -> Result<(), std::io::Error> {
    let dispatch = fern::Dispatch::new()
        .format(|out, message, record| {
            out.finish(format_args!("{} {:5} {message}", timestamp(), record.level()));
        })
        .level(LevelFilter::Warn)
        .level_for("stallmoor", level);
    let dispatch = match file {
        Some(file) => dispatch.chain(fern::log_file(file)?),
        None => dispatch.chain(std::io::stderr()),
    };
    dispatch.apply().map_err(std::io::Error::other)
}

/// Returns the current time in milliseconds since the Unix epoch.
fn timestamp() -> u128 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |since| since.as_millis())
}
