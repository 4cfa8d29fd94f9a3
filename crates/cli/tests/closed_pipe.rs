//! Guards against errors, output or wrong exit codes when the reader of standard output has closed the pipe.

use std::io::{BufRead, BufReader, Write, pipe};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, ExitStatus, Output, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Maximum time to wait for a process to reach the expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Bit of SIGTERM in the signal masks of `/proc/PID/status`.
const TERMINATE_BIT: u64 = 1 << (15 - 1);

/// Returns the write end of a pipe whose read end is closed.
fn closed_pipe() -> Stdio {
    let (reader, writer) = pipe().expect("a pipe");
    drop(reader);
    writer.into()
}

fn stallmoor(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stallmoor"));
    command.args(arguments).stdin(Stdio::null());
    command
}

fn run_with_closed_stdout(arguments: &[&str]) -> Output {
    let child = stallmoor(arguments).stdout(closed_pipe()).stderr(Stdio::piped()).spawn().expect("the program runs");
    child.wait_with_output().expect("it ends")
}

fn assert_silent_success(arguments: &[&str]) {
    let ended = run_with_closed_stdout(arguments);
    assert_eq!((ended.status.code(), text(&ended.stderr).as_str()), (Some(0), ""), "{arguments:?}");
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn example() -> String {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/tubigwatch").display().to_string()
}

/// Creates a folder with one invalid configuration file.
fn invalid_folder() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("a.toml"), "[fleet]\nname = \"f\"\ncolour = 1\n").expect("written");
    folder
}

/// HTTP server that sends the same response to every request and counts the requests.
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

    /// Appends `--node` with this server's address to the arguments.
    fn arguments(&self, arguments: &[&str]) -> Vec<String> {
        let address = ["--node".to_owned(), self.address.to_string()];
        arguments.iter().map(|argument| (*argument).to_owned()).chain(address).collect()
    }
}

/// Reads the request head and sends the response. The requests of these tests have no body.
fn answer(mut stream: TcpStream, body: &str) {
    let head = BufReader::new(&stream).lines().map_while(Result::ok).take_while(|line| !line.is_empty());
    let _ = head.count();
    let length = body.len();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n");
    // The client may have disconnected; the tests check its exit code.
    let _ = stream.write_all(format!("{head}{body}").as_bytes());
}

fn assert_silent_success_at(node: &CannedNode, arguments: &[&str]) {
    let arguments = node.arguments(arguments);
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    assert_silent_success(&arguments);
}

#[test]
fn check_ignores_closed_stdout() {
    assert_silent_success(&["check", &example()]);
    assert_silent_success(&["check", &example(), "--output", "json"]);
}

#[test]
fn explain_from_logs_ignores_closed_stdout() {
    let folder = tempfile::tempdir().expect("a folder");
    let log = folder.path().join("gateway.log");
    let line = r#"{"at":2000,"level":"INFO","event":504,"name":"RequestMoved","request":"abc"}"#;
    std::fs::write(&log, format!("{line}\n{line}\n")).expect("written");
    assert_silent_success(&["explain", "abc", "--log", &log.display().to_string()]);
}

#[test]
fn node_commands_ignore_closed_stdout() {
    let fleet = CannedNode::answering(r#"{"nodes":[],"silent":["127.0.0.1:1"]}"#);
    assert_silent_success_at(&fleet, &["status"]);
    assert_silent_success_at(&fleet, &["status", "--output", "json"]);
    let explanation =
        CannedNode::answering(r#"{"steps":[[0,"Queued"],[1,{"Chosen":{"among":["a"],"engine":"b","of":1}}]]}"#);
    assert_silent_success_at(&explanation, &["explain", "request-1"]);
    assert_silent_success_at(&explanation, &["explain", "request-1", "--output", "json"]);
    let job = CannedNode::answering(r#"{"id":"job-1","status":"completed","request_counts":{"total":1}}"#);
    assert_silent_success_at(&job, &["batch", "status", "job-1"]);
    assert_silent_success_at(&job, &["batch", "cancel", "job-1", "--output", "json"]);
}

#[test]
fn results_are_not_fetched_after_stdout_closes() {
    let node = CannedNode::answering(r#"{"results":[{"id":"a"},{"id":"b"}],"next":1}"#);
    assert_silent_success_at(&node, &["batch", "results", "job-1"]);
    assert_eq!(node.calls.load(Ordering::Relaxed), 1, "fetching stops after the first page");
}

#[test]
fn exit_code_is_kept_when_stdout_is_closed() {
    let folder = invalid_folder();
    let refused = run_with_closed_stdout(&["check", &folder.path().display().to_string(), "--output", "json"]);
    assert_eq!(refused.status.code(), Some(3), "{}", text(&refused.stderr));
    assert!(text(&refused.stderr).contains("a.toml:3: fleet.colour"), "{}", text(&refused.stderr));
    let node = CannedNode::answering(r#"{"revision":7,"files":{"old.toml":""}}"#);
    for form in ["text", "json"] {
        let example = example();
        let arguments = node.arguments(&["diff", &example, "--output", form]);
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let differs = run_with_closed_stdout(&arguments);
        assert_eq!(differs.status.code(), Some(1), "{}", text(&differs.stderr));
        assert_eq!(text(&differs.stderr), "stallmoor: the files differ from revision 7\n");
    }
}

#[test]
fn exit_code_is_kept_when_stderr_is_closed() {
    let folder = invalid_folder();
    let status = |arguments: &[&str]| -> ExitStatus {
        stallmoor(arguments).stdout(closed_pipe()).stderr(closed_pipe()).status().expect("the program runs")
    };
    assert_eq!(status(&["check", &folder.path().display().to_string()]).code(), Some(3));
    assert_eq!(status(&["check", "/nowhere/at/all"]).code(), Some(1));
    assert_eq!(status(&["check"]).code(), Some(2));
    assert_eq!(status(&["status", "--node", "127.0.0.1:9"]).code(), Some(5));
}

#[test]
fn write_error_on_stdout_is_a_failure() {
    let full = std::fs::File::options().write(true).open("/dev/full").expect("the device");
    let child = stallmoor(&["check", &example()]).stdout(full).stderr(Stdio::piped()).spawn().expect("it runs");
    let failed = child.wait_with_output().expect("it ends");
    assert_eq!(failed.status.code(), Some(1));
    assert!(text(&failed.stderr).starts_with("stallmoor: standard output: "), "{}", text(&failed.stderr));
}

/// Returns whether a process has a SIGTERM handler. A node installs it after printing its addresses.
fn catches_terminate(process: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:")).unwrap_or_default();
    u64::from_str_radix(caught.trim(), 16).unwrap_or(0) & TERMINATE_BIT != 0
}

#[test]
fn node_keeps_running_when_stdout_is_closed() {
    let folder = tempfile::tempdir().expect("a folder");
    let settings = format!(
        "[node]\nzone = \"a\"\npeer_address = \"127.0.0.1:0\"\ncaller_address = \"127.0.0.1:0\"\n\
         data_folder = \"{}\"\n[platform]\nkey_value = \"127.0.0.1:1\"\nmachine_list = \"127.0.0.1:1\"\n",
        folder.path().join("data").display()
    );
    let file = folder.path().join("node.toml");
    std::fs::write(&file, settings).expect("written");
    let mut command = stallmoor(&["node", "--settings", &file.display().to_string()]);
    let mut node = command.stdout(closed_pipe()).stderr(Stdio::null()).spawn().expect("the program starts");
    let started = Instant::now();
    while !catches_terminate(node.id()) {
        let ended = node.try_wait().expect("the status can be queried");
        assert!(ended.is_none(), "the node ended: {ended:?}");
        assert!(started.elapsed() < WAIT_TIMEOUT, "the node did not start in time");
        std::thread::sleep(Duration::from_millis(10));
    }
    let kill_status = Command::new("kill").arg(node.id().to_string()).status().expect("the program runs");
    assert!(kill_status.success());
    assert_eq!(node.wait().expect("it ends").code(), Some(0));
}
