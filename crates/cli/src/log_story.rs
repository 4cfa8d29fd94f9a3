//! `stallmoor explain --log`: the decisions for a request, job or worker, from the logs of any processes.

use std::path::{Path, PathBuf};

use serde_json::{Map, Value};
use snafu::ResultExt;
use stallmoor_core::log_event::LogEvent;

use crate::outcome::{CommandError, FileSnafu};
use crate::output::CommandOutput;

/// Fields that the head of a line tells already.
const HEAD_FIELDS: [&str; 4] = ["at", "level", "event", "name"];

/// One structured line that concerns what is asked for.
#[derive(Clone, Debug, PartialEq)]
struct StoryLine {
    /// Milliseconds since the Unix epoch, by the writing machine's clock.
    at: u64,
    /// Who wrote it: what stands before the line's object, else the file's name.
    source: String,
    fields: Map<String, Value>,
}

/// Prints the lines about `id` in the files, in the order of time.
///
/// # Errors
///
/// A file can't be read, no line is about `id`, or the lines can't be written.
pub fn print(id: &str, files: &[PathBuf], output: &mut CommandOutput) -> Result<(), CommandError> {
    let mut lines = Vec::new();
    for file in files {
        let content = std::fs::read(file).context(FileSnafu { path: file.clone() })?;
        let content = String::from_utf8_lossy(&content);
        lines.extend(content.lines().filter_map(|line| read_line(line, file)).filter(|line| concerns(line, id)));
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

/// Reads a line; what stands before its object is a prefix of whoever collected the logs.
fn read_line(line: &str, file: &Path) -> Option<StoryLine> {
    let start = line.find('{')?;
    let Ok(Value::Object(fields)) = serde_json::from_str::<Value>(&line[start..]) else { return None };
    let at = fields.get("at")?.as_u64()?;
    let prefix = line[..start].trim();
    let source = if prefix.is_empty() { file.display().to_string() } else { prefix.to_owned() };
    Some(StoryLine { at, source, fields })
}

fn concerns(line: &StoryLine, id: &str) -> bool {
    ["request", "job", "worker", "machine"]
        .iter()
        .any(|name| line.fields.get(*name).and_then(Value::as_str) == Some(id))
}

fn describe(line: &StoryLine, first: u64) -> String {
    let number = line.fields.get("event").and_then(Value::as_u64).unwrap_or(0);
    let event = LogEvent::ALL.iter().find(|event| u64::from(event.number()) == number);
    let meaning = event.map_or("An event that this version does not know.", |event| event.meaning());
    let details: Vec<String> = line
        .fields
        .iter()
        .filter(|(name, _)| !HEAD_FIELDS.contains(&name.as_str()))
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        })
        .collect();
    format!("{:>7} ms  E{number:03} {meaning}  [{}]\n            {}", line.at - first, line.source, details.join("  "))
}
