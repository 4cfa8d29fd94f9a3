//! The structured log: one JSON object per line, with a numbered event and named fields.

use std::fmt::Display;

use log::Level;
use serde_json::{Map, Value};
use stallmoor_core::log_event::{LogEvent, Severity};

/// Log target of all structured lines.
pub const TARGET: &str = "stallmoor::journal";

/// A named value of a log line.
#[derive(Clone, Debug)]
pub struct Field {
    name: &'static str,
    value: Value,
}

impl Field {
    /// Creates a string field.
    pub fn text(name: &'static str, value: impl Display) -> Self {
        Self { name, value: Value::String(value.to_string()) }
    }

    /// Creates an integer field.
    pub fn number(name: &'static str, value: impl Into<u64>) -> Self {
        Self { name, value: Value::from(value.into()) }
    }

    /// Creates a number field, rounded to thousandths. Values that are not finite become null.
    pub fn decimal(name: &'static str, value: f64) -> Self {
        Self { name, value: Value::from((value * 1_000.0).round() / 1_000.0) }
    }

    /// Creates a boolean field.
    pub fn flag(name: &'static str, value: bool) -> Self {
        Self { name, value: Value::Bool(value) }
    }
}

/// Writes a line for an event. Nothing is formatted if the event's level is disabled.
pub fn record(event: LogEvent, fields: &[Field]) {
    let level = match event.severity() {
        Severity::Information => Level::Info,
        Severity::Warning => Level::Warn,
        Severity::Error => Level::Error,
    };
    if !log::log_enabled!(target: TARGET, level) {
        return;
    }
    let mut line = Map::with_capacity(fields.len() + 2);
    line.insert("event".to_owned(), Value::from(event.number()));
    line.insert("name".to_owned(), Value::String(format!("{event:?}")));
    for field in fields {
        line.insert(field.name.to_owned(), field.value.clone());
    }
    // The log writer inserts the opening brace, time and level before the fields.
    let text = Value::Object(line).to_string();
    log::log!(target: TARGET, level, "{}", &text[1..]);
}
