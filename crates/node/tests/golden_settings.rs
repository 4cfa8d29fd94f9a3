//! Guards against unintended changes of the settings file format of `stallmoor node` and its error messages.

#[path = "../../core/tests/support/golden.rs"]
mod golden;

use std::fmt::Write;

use stallmoor_core::node::configuration::SourceFile;
use stallmoor_node::{NodeFileSettings, parse_settings};

/// All fields, with values that differ from the defaults.
const FULL: &str = r#"
[node]
zone = "zone-c"
peer_address = "10.1.2.3:7100"
caller_address = "10.1.2.3:7200"
seeds = ["10.1.2.4:7100", "10.1.2.5:7100"]
data_folder = "/var/lib/stallmoor"
founding_stores = 5
stop_timeout_ms = 12345

[platform]
key_value = "10.9.9.9:1000"
machine_list = "10.9.9.9:1001"
key_value_calls_per_second = 2.5
configuration_poll_ms = 750

[log]
level = "trace"
file = "/var/log/stallmoor.log"

[limits]
body_bytes = 2048
head_bytes = 9000
connections = 17
request_timeout_ms = 4321
online_requests = 19
"#;

/// Only fields without a default.
const MINIMAL: &str = r#"
[node]
zone = "z"
peer_address = "[::1]:1"
caller_address = "[::1]:2"

[platform]
key_value = "[::1]:3"
machine_list = "[::1]:4"
"#;

/// Lists the parsed settings under their names in the file.
fn describe(settings: &NodeFileSettings) -> String {
    let limits = settings.limits;
    let lines = [
        format!("node.zone = {:?}", settings.zone),
        format!("node.peer_address = {}", settings.peer_address),
        format!("node.caller_address = {}", settings.caller_address),
        format!("node.seeds = {:?}", settings.seeds),
        format!("node.data_folder = {:?}", settings.data_folder),
        format!("node.founding_stores = {}", settings.founding_stores),
        format!("node.stop_timeout_ms = {}", settings.stop_timeout.0),
        format!("platform.key_value = {}", settings.key_value),
        format!("platform.machine_list = {}", settings.machine_list),
        format!("platform.key_value_calls_per_second = {:?}", settings.key_value_rate),
        format!("platform.configuration_poll_ms = {}", settings.configuration_poll.0),
        format!("log.level = {}", settings.log_level),
        format!("log.file = {:?}", settings.log_file),
        format!("limits.body_bytes = {}", limits.body_bytes),
        format!("limits.head_bytes = {}", limits.head_bytes),
        format!("limits.connections = {}", limits.connections),
        format!("limits.request_timeout_ms = {}", limits.request_timeout.0),
        format!("limits.online_requests = {}", limits.online_requests),
    ];
    lines.join("\n") + "\n"
}

fn file(text: &str) -> SourceFile {
    SourceFile { name: "node.toml".to_owned(), text: text.to_owned() }
}

#[test]
fn full_and_minimal_settings_match_the_golden_file() {
    let read = |text: &str| describe(&parse_settings(&file(text)).expect("valid settings"));
    let described = format!("# full\n{}\n# minimal\n{}", read(FULL), read(MINIMAL));
    golden::check_text("settings.txt", &described);
}

/// Each case changes one part of the full file; the last one contains several errors.
#[test]
fn settings_errors_match_the_golden_file() {
    let cases = [
        ("unknown table", "[limits]", "[limit]"),
        ("unknown field", "seeds = ", "seed = "),
        ("missing field", "zone = \"zone-c\"\n", ""),
        ("missing table", "[platform]", "[plattform]"),
        ("text for a number", "founding_stores = 5", "founding_stores = \"five\""),
        ("number for a text", "zone = \"zone-c\"", "zone = 3"),
        ("no address", "key_value = \"10.9.9.9:1000\"", "key_value = \"store.example:1000\""),
        ("address in a list", "\"10.1.2.5:7100\"]", "\"there\"]"),
        ("number beyond the range", "configuration_poll_ms = 750", "configuration_poll_ms = 99"),
        ("rate beyond the range", "key_value_calls_per_second = 2.5", "key_value_calls_per_second = 0.0"),
        ("limit beyond the range", "head_bytes = 9000", "head_bytes = 8191"),
        ("no level", "level = \"trace\"", "level = \"loud\""),
        ("no TOML", "[log]", "[log"),
        ("several", "zone = \"zone-c\"\npeer_address = \"10.1.2.3:7100\"", "zome = 1\npeer_address = 4"),
    ];
    let mut described = String::new();
    for (case, from, to) in cases {
        assert!(FULL.contains(from), "{case}: {from}");
        let errors = parse_settings(&file(&FULL.replacen(from, to, 1))).expect_err(case);
        writeln!(described, "# {case}").expect("writing to a String failed");
        for error in errors {
            writeln!(described, "{}", error.to_string().trim_end()).expect("writing to a String failed");
        }
        described.push('\n');
    }
    golden::check_text("settings_errors.txt", &described);
}
