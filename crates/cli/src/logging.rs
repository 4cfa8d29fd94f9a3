//! Where log lines go: one line an event, with time, level and number.

use std::path::Path;
use std::time::SystemTime;

use log::LevelFilter;

/// Sets up logging for the process.
///
/// # Errors
///
/// The log file can't be opened, or logging was set up before.
pub fn set_up(level: LevelFilter, file: Option<&Path>) -> Result<(), std::io::Error> {
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

/// Milliseconds since the Unix epoch.
fn timestamp() -> u128 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |since| since.as_millis())
}
