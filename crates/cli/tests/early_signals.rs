//! Signals that come while a process is still starting.

use std::io::Write;
use std::net::TcpListener;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// How long a process may take to do what is waited for.
const PATIENCE: Duration = Duration::from_secs(20);

fn run(program: &str, arguments: &[&str]) {
    let status = Command::new(program).args(arguments).status().expect("the program runs");
    assert!(status.success(), "{program} {arguments:?}");
}

fn signal(child: &Child, flag: &str) {
    run("kill", &[flag, &child.id().to_string()]);
}

/// Starts a storing node that reads its settings from a pipe: it waits until they are written there.
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
fn a_signal_to_reload_that_comes_while_a_process_starts_does_not_end_it() {
    let folder = tempfile::tempdir().expect("a folder");
    let (pipe, log) = (folder.path().join("settings.toml"), folder.path().join("log"));
    let mut child = start(&pipe, &log);
    // This waits until the process opens the pipe, so it is in the midst of its start.
    let mut writer = std::fs::File::options().write(true).open(&pipe).expect("the process reads its settings");
    signal(&child, "-HUP");
    writer.write_all(settings(folder.path()).as_bytes()).expect("the process still reads");
    drop(writer);
    let begun = Instant::now();
    while !std::fs::read_to_string(&log).unwrap_or_default().contains("NodeStarted") {
        let ended = child.try_wait().expect("it can be asked");
        assert!(ended.is_none(), "the process ended: {ended:?}");
        assert!(begun.elapsed() < PATIENCE, "the process does not start");
        std::thread::sleep(Duration::from_millis(10));
    }
    // The settings can't be read a second time from a pipe that nobody writes to.
    signal(&child, "-KILL");
    child.wait().expect("it ends");
}
