//! A reader for TOML tables that collects all errors with file, line and field.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::ops::{Range, RangeInclusive};

use serde::{Deserialize, Serialize};
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// The name and contents of a configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceFile {
    /// The file name used in error messages.
    pub name: String,
    /// The contents of the file.
    pub text: String,
}

/// An error in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ConfigurationError {
    /// The name of the file.
    pub file: String,
    /// The line number, starting at 1.
    pub line: usize,
    /// The path of the field, such as `machine.zone`; empty if the file is not valid TOML.
    pub field: String,
    /// A description of the error and the accepted values.
    pub message: String,
}

impl fmt::Display for ConfigurationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: ", self.file, self.line)?;
        if !self.field.is_empty() {
            write!(formatter, "{}: ", self.field)?;
        }
        formatter.write_str(&self.message)
    }
}

/// A value with its source location, for errors found after parsing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Located<T> {
    /// The parsed value.
    pub value: T,
    /// The name of the file.
    pub file: String,
    /// The line number, starting at 1.
    pub line: usize,
    /// The path of the field.
    pub field: String,
}

impl<T> Located<T> {
    /// Returns an error at the location of this value.
    pub fn error(&self, message: impl Into<String>) -> ConfigurationError {
        ConfigurationError {
            file: self.file.clone(),
            line: self.line,
            field: self.field.clone(),
            message: message.into(),
        }
    }
}

/// A parsed TOML file.
pub struct Document<'a> {
    source: &'a SourceFile,
    root: DeTable<'a>,
}

impl<'a> Document<'a> {
    /// Parses a file, or returns an error with the line of the first syntax error.
    pub fn parse(source: &'a SourceFile) -> Result<Self, ConfigurationError> {
        match DeTable::parse(&source.text) {
            Ok(root) => Ok(Self { source, root: root.into_inner() }),
            Err(error) => Err(ConfigurationError {
                file: source.name.clone(),
                line: line_of(&source.text, error.span().map_or(0, |span| span.start)),
                field: String::new(),
                message: error.message().to_owned(),
            }),
        }
    }

    /// Returns a reader for the root table.
    pub fn reader<'r>(&'r self, errors: &'r mut Vec<ConfigurationError>) -> TableReader<'r> {
        TableReader {
            source: self.source,
            path: String::new(),
            table: &self.root,
            span: 0..0,
            read: BTreeSet::new(),
            errors,
        }
    }
}

/// Reads the fields of a table. [`finish`](Self::finish) reports the fields that were never read as unknown.
pub struct TableReader<'a> {
    source: &'a SourceFile,
    path: String,
    table: &'a DeTable<'a>,
    span: Range<usize>,
    read: BTreeSet<String>,
    errors: &'a mut Vec<ConfigurationError>,
}

impl<'a> TableReader<'a> {
    /// Reports an error at a field of this table, or at the table if the field is absent.
    pub fn report(&mut self, field: &str, message: impl Into<String>) {
        let start = self.table.get(field).map_or(self.span.start, |value| value.span().start);
        let error = ConfigurationError {
            file: self.source.name.clone(),
            line: line_of(&self.source.text, start),
            field: self.field_path(field),
            message: message.into(),
        };
        self.errors.push(error);
    }

    /// Reports every field that was never read as unknown.
    pub fn finish(mut self) {
        let unknown: Vec<String> =
            self.table.keys().map(|key| key.get_ref().to_string()).filter(|key| !self.read.contains(key)).collect();
        for key in unknown {
            let known: Vec<&str> = self.read.iter().map(String::as_str).collect();
            let message = format!("unknown field; known here: {}", known.join(", "));
            self.report(&key, message);
        }
    }

    /// Reads a required, non-empty string.
    pub fn text(&mut self, field: &str) -> Option<Located<String>> {
        let located = self.optional_text(field);
        if located.is_none() && !self.table.contains_key(field) {
            self.report(field, "missing");
        }
        located
    }

    /// Reads an optional, non-empty string.
    pub fn optional_text(&mut self, field: &str) -> Option<Located<String>> {
        let value = self.take(field)?;
        let Some(text) = value.get_ref().as_str() else {
            self.report(field, "must be a string");
            return None;
        };
        if text.is_empty() {
            self.report(field, "must not be empty");
            return None;
        }
        Some(self.locate(field, text.to_owned()))
    }

    /// Reads a required IP address with port.
    pub fn address(&mut self, field: &str) -> Option<Located<SocketAddr>> {
        let text = self.text(field)?;
        self.parse_address(field, &text)
    }

    /// Reads a list of IP addresses with ports; empty if absent.
    pub fn addresses(&mut self, field: &str) -> Vec<Located<SocketAddr>> {
        let texts = self.texts(field);
        texts.iter().filter_map(|text| self.parse_address(field, text)).collect()
    }

    /// Reads a list of strings; empty if absent.
    pub fn texts(&mut self, field: &str) -> Vec<Located<String>> {
        let Some(value) = self.take(field) else { return Vec::new() };
        let Some(items) = value.get_ref().as_array() else {
            self.report(field, "must be a list of strings");
            return Vec::new();
        };
        let texts: Vec<Option<String>> = items.iter().map(|item| item.get_ref().as_str().map(str::to_owned)).collect();
        if texts.iter().any(Option::is_none) {
            self.report(field, "must be a list of strings");
        }
        texts.into_iter().flatten().map(|text| self.locate(field, text)).collect()
    }

    /// Reads an integer within `range`, or returns `default` if it is absent or invalid.
    pub fn integer(&mut self, field: &str, range: RangeInclusive<u64>, default: u64) -> u64 {
        let Some(value) = self.take(field) else { return default };
        let parsed = match value.get_ref() {
            DeValue::Integer(integer) => u64::from_str_radix(integer.as_str(), integer.radix()).ok(),
            _ => None,
        };
        match parsed {
            Some(number) if range.contains(&number) => number,
            _ => {
                self.report(field, format!("must be a whole number from {} to {}", range.start(), range.end()));
                default
            }
        }
    }

    /// Reads a number within `range`, or returns `default` if it is absent or invalid.
    pub fn number(&mut self, field: &str, range: RangeInclusive<f64>, default: f64) -> f64 {
        let Some(value) = self.take(field) else { return default };
        let parsed = match value.get_ref() {
            DeValue::Float(float) => float.as_str().parse::<f64>().ok(),
            DeValue::Integer(integer) => integer.as_str().parse::<f64>().ok(),
            _ => None,
        };
        match parsed {
            Some(number) if range.contains(&number) => number,
            _ => {
                self.report(field, format!("must be a number from {} to {}", range.start(), range.end()));
                default
            }
        }
    }

    /// Reads a boolean, or returns `default` if it is absent or invalid.
    pub fn boolean(&mut self, field: &str, default: bool) -> bool {
        let Some(value) = self.take(field) else { return default };
        if let DeValue::Boolean(boolean) = value.get_ref() {
            return *boolean;
        }
        self.report(field, "must be true or false");
        default
    }

    /// Reads a nested table with `read`; `None` if it is absent or not a table.
    pub fn table<T>(&mut self, field: &str, read: impl FnOnce(&mut TableReader<'_>) -> T) -> Option<T> {
        let value = self.take(field)?;
        let Some(table) = value.get_ref().as_table() else {
            self.report(field, "must be a table");
            return None;
        };
        Some(self.read_inner(field, table, value.span(), read))
    }

    /// Reads each table of an array with `read`; empty if absent.
    pub fn tables<T>(&mut self, field: &str, mut read: impl FnMut(&mut TableReader<'_>) -> T) -> Vec<T> {
        let Some(value) = self.take(field) else { return Vec::new() };
        let Some(items) = value.get_ref().as_array() else {
            self.report(field, format!("must be written as [[{field}]]"));
            return Vec::new();
        };
        let mut values = Vec::new();
        for item in items.iter() {
            match item.get_ref().as_table() {
                Some(table) => values.push(self.read_inner(field, table, item.span(), &mut read)),
                None => self.report(field, format!("must be written as [[{field}]]")),
            }
        }
        values
    }

    /// Attaches the source location of a field of this table to a value.
    pub fn locate<T>(&self, field: &str, value: T) -> Located<T> {
        let start = self.table.get(field).map_or(self.span.start, |found| found.span().start);
        Located {
            value,
            file: self.source.name.clone(),
            line: line_of(&self.source.text, start),
            field: self.field_path(field),
        }
    }

    fn take(&mut self, field: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.read.insert(field.to_owned());
        self.table.get(field)
    }

    fn parse_address(&mut self, field: &str, text: &Located<String>) -> Option<Located<SocketAddr>> {
        match text.value.parse() {
            Ok(address) => Some(self.locate(field, address)),
            Err(_) => {
                let message = format!("\"{}\" is not an IP address with port, such as 10.0.0.7:7100", text.value);
                self.report(field, message);
                None
            }
        }
    }

    fn read_inner<T>(
        &mut self,
        field: &str,
        table: &'a DeTable<'a>,
        span: Range<usize>,
        read: impl FnOnce(&mut TableReader<'_>) -> T,
    ) -> T {
        let mut inner = TableReader {
            source: self.source,
            path: self.field_path(field),
            table,
            span,
            read: BTreeSet::new(),
            errors: self.errors,
        };
        let value = read(&mut inner);
        inner.finish();
        value
    }

    fn field_path(&self, field: &str) -> String {
        if self.path.is_empty() { field.to_owned() } else { format!("{}.{field}", self.path) }
    }
}

/// Returns the line number of a byte offset, starting at 1.
fn line_of(text: &str, offset: usize) -> usize {
    let offset = offset.min(text.len());
    text.as_bytes()[..offset].iter().filter(|byte| **byte == b'\n').count() + 1
}
