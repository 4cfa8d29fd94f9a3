//! Golden tests of the command line: help, errors, exit codes, and the first log line.

#[path = "../../core/tests/support/golden.rs"]
mod golden;

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpListener;
use std::path::Path;
use std::process::{Command, Output, Stdio};

use stallmoor_adapter::names::SETTINGS_VARIABLE;

fn program(folder: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stallmoor"));
    command.current_dir(folder).env_clear().stdin(Stdio::null());
    command
}

fn describe(report: &mut String, case: &str, output: &Output) {
    let (out, error) = (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    writeln!(report, "# {case}\nexit code {:?}", output.status.code()).expect("written to a string");
    for (name, text) in [("stdout", out), ("stderr", error)] {
        if !text.is_empty() {
            writeln!(report, "--- {name}\n{}", text.trim_end()).expect("written to a string");
        }
    }
    report.push('\n');
}

#[test]
fn help_matches_golden_file() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut report = String::new();
    let commands = ["node", "gateway", "storage", "check", "apply", "diff", "status", "explain", "batch"];
    let batch = ["submit", "status", "results", "cancel"].map(|name| vec!["batch", name]);
    let all = std::iter::once(vec![]).chain(commands.map(|name| vec![name])).chain(batch);
    for mut arguments in all {
        arguments.push("--help");
        let output = program(folder.path()).args(&arguments).output().expect("the program runs");
        describe(&mut report, &arguments.join(" "), &output);
    }
    golden::check_text("help.txt", &report);
}

const SERVING: &str = "[node]\nname = \"a\"\nzone = \"z\"\naddress = \"127.0.0.1\"\n\
    [listen]\npeer_port = 7000\n[metadata]\naddress = \"127.0.0.1:1\"\n";
const NODE: &str = "[node]\nzone = \"z\"\npeer_address = \"127.0.0.1:0\"\ncaller_address = \"127.0.0.1:0\"\n\
    [platform]\nkey_value = \"127.0.0.1:1\"\nmachine_list = \"127.0.0.1:1\"\n";

#[test]
fn settings_errors_match_golden_file() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut report = String::new();
    let cases = [
        ("unknown field", "[node]\n", "[node]\nextra = 1\n"),
        ("missing field", "zone = \"z\"\n", ""),
        ("wrong type", "zone = \"z\"", "zone = 7"),
    ];
    for (command, valid) in [("gateway", SERVING), ("storage", SERVING), ("node", NODE)] {
        for (case, from, to) in cases {
            std::fs::write(folder.path().join("node.toml"), valid.replacen(from, to, 1)).expect("written");
            let output = program(folder.path()).args([command, "--settings", "node.toml"]).output();
            describe(&mut report, &format!("{command}, {case}"), &output.expect("the program runs"));
        }
        let output = program(folder.path()).args([command, "--settings", "none.toml"]).output();
        describe(&mut report, &format!("{command}, no such file"), &output.expect("the program runs"));
        let output = program(folder.path()).arg(command).output().expect("the program runs");
        describe(&mut report, &format!("{command}, no settings named"), &output);
    }
    // Valid settings that lack a value required by the role.
    std::fs::write(folder.path().join("node.toml"), SERVING).expect("written");
    for command in ["gateway", "storage"] {
        let output = program(folder.path()).env(SETTINGS_VARIABLE, "node.toml").arg(command).output();
        describe(&mut report, &format!("{command}, not enough"), &output.expect("the program runs"));
    }
    golden::check_text("settings.txt", &report);
}

/// Starts a server that sends one response, and returns its address.
fn answer_once(status: &'static str, body: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a call");
        let mut head = [0; 4_096];
        let _ = stream.read(&mut head).expect("a head");
        let length = body.len();
        write!(stream, "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}")
            .expect("it is read");
    });
    address
}

#[test]
fn node_responses_match_golden_file() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::create_dir(folder.path().join("files")).expect("a folder");
    std::fs::write(folder.path().join("files/fleet.toml"), "[fleet]\nname = \"f\"\n").expect("written");
    let refused = r#"{"error": {"code": "overloaded", "ran": "not_run", "message": "full.", "retry_after_ms": 9}}"#;
    let bare = r#"{"error": {"code": "internal", "ran": "unknown", "message": "broken."}}"#;
    let conflict = r#"{"error": {"code": "configuration_conflict", "message": "another was first."}}"#;
    let invalid = r#"{"errors": [{"file": "a.toml", "line": 3, "field": "zone.name", "message": "missing"}]}"#;
    let other = r#"{"revision": 4, "files": {"fleet.toml": "[fleet]\nname = \"g\"\n", "gone.toml": ""}}"#;
    let same = r#"{"revision": 4, "files": {"fleet.toml": "[fleet]\nname = \"f\"\n"}}"#;
    let cases: [(&str, &[&str], &str, &str); 7] = [
        ("refused", &["status"], "503 Service Unavailable", refused),
        ("refused without a time", &["status"], "500 Internal Server Error", bare),
        ("no JSON", &["status"], "404 Not Found", "nothing"),
        ("conflict", &["diff", "files"], "409 Conflict", conflict),
        ("invalid", &["diff", "files"], "422 Unprocessable Entity", invalid),
        ("differs", &["diff", "files"], "200 OK", other),
        ("the same", &["diff", "files"], "200 OK", same),
    ];
    let mut report = String::new();
    for (case, arguments, status, body) in cases {
        let address = answer_once(status, body);
        let output = program(folder.path()).args(arguments).args(["--node", &address]).output();
        describe(&mut report, case, &output.expect("the program runs"));
    }
    golden::check_text("outcomes.txt", &report);
}

/// Returns the first line that a process prints, with times, ports, identities and the version masked.
fn first_line(command: &str, settings: &str, from_stdout: bool) -> String {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("node.toml"), settings).expect("written");
    let mut started = program(folder.path());
    started.args([command, "--settings", "node.toml"]).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = started.spawn().expect("the program starts");
    let stream: Box<dyn Read> = match from_stdout {
        true => Box::new(child.stdout.take().expect("a pipe")),
        false => Box::new(child.stderr.take().expect("a pipe")),
    };
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).expect("a line");
    child.kill().expect("it can be ended");
    child.wait().expect("it ends");
    mask_variable_parts(line.trim_end()).replace(env!("CARGO_PKG_VERSION"), "VERSION")
}

/// Replaces words of at least five hexadecimal digits (times, ports, identities, but not event numbers) by `N`.
fn mask_variable_parts(line: &str) -> String {
    let mut text = String::new();
    for word in line.split_inclusive(|letter: char| !letter.is_ascii_hexdigit()) {
        let digits = word.trim_end_matches(|letter: char| !letter.is_ascii_hexdigit());
        let is_variable = digits.len() >= 5 && digits.contains(|letter: char| letter.is_ascii_digit());
        text.push_str(if is_variable { "N" } else { digits });
        text.push_str(&word[digits.len()..]);
    }
    text
}

#[test]
fn first_log_lines_match_golden_file() {
    let free = || TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a port");
    let (callers, readiness, peers) = (free(), free(), free().port());
    let gateway = SERVING.replace(
        "peer_port = 7000\n",
        &format!("peer_port = {peers}\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\n"),
    );
    let lines = format!("{}\n{}\n", first_line("gateway", &gateway, true), first_line("node", NODE, false));
    golden::check_text("first_lines.txt", &lines);
}
