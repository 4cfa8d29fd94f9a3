//! Checks the generated tables in `docs/` against the code. `STALLMOOR_WRITE_DOCUMENTS=1` regenerates them.

use std::fmt::Write;
use std::path::PathBuf;

use stallmoor_core::error::ErrorKind;
use stallmoor_core::log_event::LogEvent;

const BEGIN: &str = "<!-- generated table: begin -->";
const END: &str = "<!-- generated table: end -->";

fn error_table() -> String {
    let mut table = "| kind | status | ran | come back after | meaning |\n|---|---|---|---|---|\n".to_owned();
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        let after = answer.retry_after_ms.map_or_else(|| "never".to_owned(), |millis| format!("{millis} ms"));
        let ran = answer.ran.as_str();
        writeln!(table, "| `{}` | {} | `{ran}` | {after} | {} |", kind.code(), answer.status, answer.meaning)
            .expect("written to a string");
    }
    table
}

fn event_table() -> String {
    let mut table = "| number | event | severity | meaning |\n|---|---|---|---|\n".to_owned();
    for event in LogEvent::ALL {
        writeln!(table, "| E{:03} | `{event:?}` | {:?} | {} |", event.number(), event.severity(), event.meaning())
            .expect("written to a string");
    }
    table
}

fn check_document(name: &str, table: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name);
    let text = std::fs::read_to_string(&path).expect("the document exists");
    let begin = text.find(BEGIN).expect("the begin marker") + BEGIN.len();
    let end = text.find(END).expect("the end marker");
    let expected = format!("\n\n{table}\n");
    if std::env::var_os("STALLMOOR_WRITE_DOCUMENTS").is_some() {
        let written = format!("{}{expected}{}", &text[..begin], &text[end..]);
        std::fs::write(&path, written).expect("the document is written");
        return;
    }
    assert_eq!(&text[begin..end], expected, "{name}: run this test with STALLMOOR_WRITE_DOCUMENTS=1");
}

#[test]
fn error_catalog_matches_code() {
    check_document("ERRORS.md", &error_table());
}

#[test]
fn event_catalog_matches_code() {
    check_document("EVENTS.md", &event_table());
}

#[test]
fn event_numbers_are_unique() {
    let mut numbers: Vec<u16> = LogEvent::ALL.iter().map(|event| event.number()).collect();
    let count = numbers.len();
    numbers.sort_unstable();
    numbers.dedup();
    assert_eq!(numbers.len(), count);
}
