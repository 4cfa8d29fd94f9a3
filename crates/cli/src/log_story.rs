//! Implements `stallmoor explain --log`: merges the log lines about a request, job, worker or machine
//! from the logs of several processes.

use std::path::{Path, PathBuf};

use serde_json::{Map, Value};
use snafu::ResultExt;
use stallmoor_core::log_event::LogEvent;

use crate::outcome::{CommandError, FileSnafu};
use crate::output::CommandOutput;

/// Fields that are not repeated among the details of a line.
const HEADER_FIELDS: [&str; 4] = ["at", "level", "event", "name"];

/// A parsed structured log line.
#[derive(Clone, Debug, PartialEq)]
struct LogLine {
    /// Milliseconds since the Unix epoch, by the clock of the logging machine.
    at: u64,
    /// Origin of the line: the text before the JSON object, or the file name if there is none.
    source: String,
    fields: Map<String, Value>,
}

/// Prints the lines of the files that mention `id`, in time order.
///
/// # Errors
///
/// Fails if a file can't be read, no line mentions `id`, or the output can't be written.
pub fn print(id: &str, files: &[PathBuf], output: &mut CommandOutput) -> Result<(), CommandError> {
    let mut lines = Vec::new();
    for file in files {
        let content = std::fs::read(file).context(FileSnafu { path: file.clone() })?;
        let content = String::from_utf8_lossy(&content);
        lines.extend(content.lines().filter_map(|line| read_line(line, file)).filter(|line| mentions(line, id)));
    }
    if lines.is_empty() {
        return Err(CommandError::NotInLogs { id: id.to_owned() });
    }
    lines.sort_by_key(|line| line.at);
    let first = lines[0].at;
    for line in &lines {
        output.line(describe(line, first))?;
    }
    Ok(())
}

/// Parses a line. Text before the JSON object is a prefix added by a log collector.
fn read_line(line: &str, file: &Path) -> Option<LogLine> {
    let start = line.find('{')?;
    let Ok(Value::Object(fields)) = serde_json::from_str::<Value>(&line[start..]) else { return None };
    let at = fields.get("at")?.as_u64()?;
    let prefix = line[..start].trim();
    let source = if prefix.is_empty() { file.display().to_string() } else { prefix.to_owned() };
    Some(LogLine { at, source, fields })
}

fn mentions(line: &LogLine, id: &str) -> bool {
    ["request", "job", "worker", "machine"]
        .iter()
        .any(|name| line.fields.get(*name).and_then(Value::as_str) == Some(id))
}

fn describe(line: &LogLine, first: u64) -> String {
    let number = line.fields.get("event").and_then(Value::as_u64).unwrap_or(0);
    let event = LogEvent::ALL.iter().find(|event| u64::from(event.number()) == number);
    let meaning = event.map_or("Event unknown to this version.", |event| event.meaning());
    let details: Vec<String> = line
        .fields
        .iter()
        .filter(|(name, _)| !HEADER_FIELDS.contains(&name.as_str()))
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        })
        .collect();
    format!("{:>7} ms  E{number:03} {meaning}  [{}]\n            {}", line.at - first, line.source, details.join("  "))
}
