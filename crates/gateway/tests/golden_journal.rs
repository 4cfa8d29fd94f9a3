//! The structured log as it is written today: each event's line, and the names of all fields.

#[path = "../../core/tests/support/golden.rs"]
mod golden;

use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::Path;
use std::sync::Mutex;

use stallmoor_core::log_event::LogEvent;
use stallmoor_gateway::observe::journal::{Field, TARGET, record};

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct CapturingLogger;

impl log::Log for CapturingLogger {
    fn enabled(&self, _metadata: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        if record.target() == TARGET {
            let line = format!("{:5} {}", record.level(), record.args());
            LINES.lock().expect("not poisoned").push(line);
        }
    }

    fn flush(&self) {}
}

/// Pins number, name and level of each event as they stand in a line. The writer puts `{"at":..,"level":..,` before.
#[test]
fn event_lines_match_golden_file() {
    log::set_logger(&CapturingLogger).expect("no other logger is set");
    log::set_max_level(log::LevelFilter::Trace);
    for event in LogEvent::ALL {
        record(*event, &[]);
    }
    record(LogEvent::NodeStarted, &[Field::text("b", "t \"q\""), Field::number("a", 7_u64), Field::flag("c", true)]);
    let lines = LINES.lock().expect("not poisoned").join("\n") + "\n";
    golden::check_text("events.txt", &lines);
}

/// Every `Field::{text,number,flag}("name"` of this crate's sources, as `kind name`.
///
/// Limits: it sees no field whose name is not a literal right behind the parenthesis or on the next line, and it does
/// not see which event a field belongs to. The test `golden_events` of the adapter runs a fleet for that.
#[test]
fn field_names_match_golden_file() {
    let mut fields = BTreeSet::new();
    collect_fields(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"), &mut fields);
    let mut text = String::new();
    for field in fields {
        writeln!(text, "{field}").expect("written to a string");
    }
    golden::check_text("fields.txt", &text);
}

fn collect_fields(directory: &Path, fields: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(directory).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_fields(&path, fields);
            continue;
        }
        let source = std::fs::read_to_string(&path).expect("a source");
        for kind in ["text", "number", "flag"] {
            for after in source.split(&format!("Field::{kind}(")).skip(1) {
                let name = after.trim_start().strip_prefix('"').and_then(|rest| rest.split('"').next());
                fields.extend(name.map(|name| format!("{kind} {name}")));
            }
        }
    }
}
