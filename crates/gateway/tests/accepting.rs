//! Failed accepts must be logged once and retried with a delay, not in a busy loop.

use std::net::Shutdown;
use std::sync::Mutex;
use std::time::Duration;

use stallmoor_gateway::sockets::{accept_next, listen};

static LOG_LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct LogCapture;

impl log::Log for LogCapture {
    fn enabled(&self, _metadata: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        LOG_LINES.lock().expect("not poisoned").push(format!("{} {}", record.level(), record.args()));
    }

    fn flush(&self) {}
}

/// Returns the log lines about failed accepts.
fn accept_warnings() -> Vec<String> {
    let lines = LOG_LINES.lock().expect("not poisoned");
    lines.iter().filter(|line| line.contains("failed to accept")).cloned().collect()
}

#[tokio::test(start_paused = true)]
async fn consecutive_accept_failures_are_logged_once() {
    log::set_logger(&LogCapture).expect("no other logger is set");
    log::set_max_level(log::LevelFilter::Warn);
    let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    // Every accept on a listener that was shut down fails immediately.
    socket2::SockRef::from(&listener).shutdown(Shutdown::Both).expect("the listener is open");
    let accepting = tokio::time::timeout(Duration::from_secs(1), accept_next(&listener));
    assert!(accepting.await.is_err(), "accept_next returned although no connection can be accepted");
    let accept_warnings = accept_warnings();
    assert_eq!(accept_warnings.len(), 1, "{accept_warnings:?}");
    assert!(accept_warnings[0].starts_with("WARN failed to accept a connection"), "{accept_warnings:?}");
}
