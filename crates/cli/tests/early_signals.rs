//! Guards against a process being killed by a SIGHUP that arrives while it starts.

use std::io::Write;
use std::net::TcpListener;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Maximum time to wait for a process to reach the expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn run(program: &str, arguments: &[&str]) {
    let status = Command::new(program).args(arguments).status().expect("the program runs");
    assert!(status.success(), "{program} {arguments:?}");
}

fn signal(child: &Child, flag: &str) {
    run("kill", &[flag, &child.id().to_string()]);
}

/// Starts a storage node whose settings file is a named pipe, so that startup blocks until they are written.
fn start(pipe: &Path, log: &Path) -> Child {
    run("mkfifo", &[&pipe.display().to_string()]);
    Command::new(env!("CARGO_BIN_EXE_stallmoor"))
        .args(["storage", "--settings", &pipe.display().to_string()])
        .stdin(Stdio::null())
        .stdout(std::fs::File::create(log).expect("a file"))
        .spawn()
        .expect("the program starts")
}

fn settings(folder: &Path) -> String {
    let port = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a port").port();
    format!(
        "[node]\nname = \"a\"\nzone = \"z\"\naddress = \"127.0.0.1\"\ndata_folder = \"{}\"\n\
         [listen]\npeer_port = {port}\n[metadata]\naddress = \"127.0.0.1:1\"\n",
        folder.join("data").display()
    )
}

#[test]
fn sighup_during_startup_does_not_end_the_process() {
    let folder = tempfile::tempdir().expect("a folder");
    let (pipe, log) = (folder.path().join("settings.toml"), folder.path().join("log"));
    let mut child = start(&pipe, &log);
    // Opening the pipe blocks until the process opens it too, so the process is starting at this point.
    let mut writer = std::fs::File::options().write(true).open(&pipe).expect("the process reads its settings");
    signal(&child, "-HUP");
    writer.write_all(settings(folder.path()).as_bytes()).expect("the process still reads");
    drop(writer);
    let started = Instant::now();
    while !std::fs::read_to_string(&log).unwrap_or_default().contains("NodeStarted") {
        let ended = child.try_wait().expect("the status can be queried");
        assert!(ended.is_none(), "the process ended: {ended:?}");
        assert!(started.elapsed() < WAIT_TIMEOUT, "the process did not start in time");
        std::thread::sleep(Duration::from_millis(10));
    }
    // Killed because a reload would block on the pipe, which has no writer any more.
    signal(&child, "-KILL");
    child.wait().expect("it ends");
}
