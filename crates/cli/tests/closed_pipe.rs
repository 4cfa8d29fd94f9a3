//! Commands whose reader went away: they end quietly, with the exit code of their outcome.

use std::io::{BufRead, BufReader, Write, pipe};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, ExitStatus, Output, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// How long a process may take to do what is waited for.
const PATIENCE: Duration = Duration::from_secs(20);
/// SIGTERM's bit in the masks of `/proc/PID/status`, which count signals from 1.
const TERMINATE_BIT: u64 = 1 << (15 - 1);

/// A pipe that nobody reads.
fn unread() -> Stdio {
    let (reader, writer) = pipe().expect("a pipe");
    drop(reader);
    writer.into()
}

fn stallmoor(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stallmoor"));
    command.args(arguments).stdin(Stdio::null());
    command
}

/// Runs the program with nobody at its standard output.
fn unheard(arguments: &[&str]) -> Output {
    let child = stallmoor(arguments).stdout(unread()).stderr(Stdio::piped()).spawn().expect("the program runs");
    child.wait_with_output().expect("it ends")
}

fn assert_quiet(arguments: &[&str]) {
    let ended = unheard(arguments);
    assert_eq!((ended.status.code(), text(&ended.stderr).as_str()), (Some(0), ""), "{arguments:?}");
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn example() -> String {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/tubigwatch").display().to_string()
}

/// A folder whose one file has errors.
fn broken() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("a.toml"), "[fleet]\nname = \"f\"\ncolour = 1\n").expect("written");
    folder
}

/// A node that gives the same answer to every call, and counts the calls.
struct CannedNode {
    address: SocketAddr,
    calls: Arc<AtomicU32>,
}

impl CannedNode {
    fn answering(body: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let calls = Arc::new(AtomicU32::new(0));
        let counted = calls.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                counted.fetch_add(1, Ordering::Relaxed);
                answer(stream, body);
            }
        });
        Self { address, calls }
    }

    /// The arguments with this node's address.
    fn arguments(&self, arguments: &[&str]) -> Vec<String> {
        let address = ["--node".to_owned(), self.address.to_string()];
        arguments.iter().map(|argument| (*argument).to_owned()).chain(address).collect()
    }
}

/// Reads a request up to the end of its head; those of the tests have no body.
fn answer(mut stream: TcpStream, body: &str) {
    let head = BufReader::new(&stream).lines().map_while(Result::ok).take_while(|line| !line.is_empty());
    let _ = head.count();
    let length = body.len();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n");
    // The program may have gone; what it does is judged by its exit code.
    let _ = stream.write_all(format!("{head}{body}").as_bytes());
}

fn assert_quiet_at(node: &CannedNode, arguments: &[&str]) {
    let arguments = node.arguments(arguments);
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    assert_quiet(&arguments);
}

#[test]
fn a_check_ends_quietly() {
    assert_quiet(&["check", &example()]);
    assert_quiet(&["check", &example(), "--output", "json"]);
}

#[test]
fn a_story_from_logs_ends_quietly() {
    let folder = tempfile::tempdir().expect("a folder");
    let log = folder.path().join("gateway.log");
    let line = r#"{"at":2000,"level":"INFO","event":504,"name":"RequestMoved","request":"abc"}"#;
    std::fs::write(&log, format!("{line}\n{line}\n")).expect("written");
    assert_quiet(&["explain", "abc", "--log", &log.display().to_string()]);
}

#[test]
fn commands_that_ask_a_node_end_quietly() {
    let fleet = CannedNode::answering(r#"{"nodes":[],"silent":["127.0.0.1:1"]}"#);
    assert_quiet_at(&fleet, &["status"]);
    assert_quiet_at(&fleet, &["status", "--output", "json"]);
    let story = CannedNode::answering(r#"{"steps":[[0,"Queued"],[1,{"Chosen":{"among":["a"],"engine":"b","of":1}}]]}"#);
    assert_quiet_at(&story, &["explain", "request-1"]);
    assert_quiet_at(&story, &["explain", "request-1", "--output", "json"]);
    let job = CannedNode::answering(r#"{"id":"job-1","status":"completed","request_counts":{"total":1}}"#);
    assert_quiet_at(&job, &["batch", "status", "job-1"]);
    assert_quiet_at(&job, &["batch", "cancel", "job-1", "--output", "json"]);
}

#[test]
fn results_that_nobody_reads_are_not_fetched() {
    let node = CannedNode::answering(r#"{"results":[{"id":"a"},{"id":"b"}],"next":1}"#);
    assert_quiet_at(&node, &["batch", "results", "job-1"]);
    assert_eq!(node.calls.load(Ordering::Relaxed), 1, "one page tells that the reader is gone");
}

#[test]
fn an_outcome_keeps_its_exit_code() {
    let folder = broken();
    let refused = unheard(&["check", &folder.path().display().to_string(), "--output", "json"]);
    assert_eq!(refused.status.code(), Some(3), "{}", text(&refused.stderr));
    assert!(text(&refused.stderr).contains("a.toml:3: fleet.colour"), "{}", text(&refused.stderr));
    let node = CannedNode::answering(r#"{"revision":7,"files":{"old.toml":""}}"#);
    for form in ["text", "json"] {
        let example = example();
        let arguments = node.arguments(&["diff", &example, "--output", form]);
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let differs = unheard(&arguments);
        assert_eq!(differs.status.code(), Some(1), "{}", text(&differs.stderr));
        assert_eq!(text(&differs.stderr), "stallmoor: the files differ from revision 7\n");
    }
}

#[test]
fn an_outcome_keeps_its_exit_code_with_nobody_at_standard_error() {
    let folder = broken();
    let status = |arguments: &[&str]| -> ExitStatus {
        stallmoor(arguments).stdout(unread()).stderr(unread()).status().expect("the program runs")
    };
    assert_eq!(status(&["check", &folder.path().display().to_string()]).code(), Some(3));
    assert_eq!(status(&["check", "/nowhere/at/all"]).code(), Some(1));
    assert_eq!(status(&["check"]).code(), Some(2));
    assert_eq!(status(&["status", "--node", "127.0.0.1:9"]).code(), Some(5));
}

#[test]
fn output_that_can_not_be_written_is_a_failure() {
    let full = std::fs::File::options().write(true).open("/dev/full").expect("the device");
    let child = stallmoor(&["check", &example()]).stdout(full).stderr(Stdio::piped()).spawn().expect("it runs");
    let failed = child.wait_with_output().expect("it ends");
    assert_eq!(failed.status.code(), Some(1));
    assert!(text(&failed.stderr).starts_with("stallmoor: standard output: "), "{}", text(&failed.stderr));
}

/// Whether a process catches the signal to terminate; a node does from when it has said its addresses.
fn catches_terminate(process: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:")).unwrap_or_default();
    u64::from_str_radix(caught.trim(), 16).unwrap_or(0) & TERMINATE_BIT != 0
}

#[test]
fn a_node_serves_on() {
    let folder = tempfile::tempdir().expect("a folder");
    let settings = format!(
        "[node]\nzone = \"a\"\npeer_address = \"127.0.0.1:0\"\ncaller_address = \"127.0.0.1:0\"\n\
         data_folder = \"{}\"\n[platform]\nkey_value = \"127.0.0.1:1\"\nmachine_list = \"127.0.0.1:1\"\n",
        folder.path().join("data").display()
    );
    let file = folder.path().join("node.toml");
    std::fs::write(&file, settings).expect("written");
    let mut command = stallmoor(&["node", "--settings", &file.display().to_string()]);
    let mut node = command.stdout(unread()).stderr(Stdio::null()).spawn().expect("the program starts");
    let begun = Instant::now();
    while !catches_terminate(node.id()) {
        let ended = node.try_wait().expect("it can be asked");
        assert!(ended.is_none(), "the node ended: {ended:?}");
        assert!(begun.elapsed() < PATIENCE, "the node does not start");
        std::thread::sleep(Duration::from_millis(10));
    }
    let told = Command::new("kill").arg(node.id().to_string()).status().expect("the program runs");
    assert!(told.success());
    assert_eq!(node.wait().expect("it ends").code(), Some(0));
}
