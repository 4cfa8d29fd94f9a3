//! A listener that can't accept: it is logged once, tried again, and nothing spins.

use std::net::Shutdown;
use std::sync::Mutex;
use std::time::Duration;

use stallmoor_gateway::sockets::{accept_next, listen};

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Lines;

impl log::Log for Lines {
    fn enabled(&self, _metadata: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        LINES.lock().expect("not poisoned").push(format!("{} {}", record.level(), record.args()));
    }

    fn flush(&self) {}
}

/// Lines about connections that could not be accepted.
fn complaints() -> Vec<String> {
    let lines = LINES.lock().expect("not poisoned");
    lines.iter().filter(|line| line.contains("could not be accepted")).cloned().collect()
}

#[tokio::test(start_paused = true)]
async fn failed_accepts_are_logged_once_a_row() {
    log::set_logger(&Lines).expect("no other logger is set");
    log::set_max_level(log::LevelFilter::Warn);
    let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    // Every accept of a listener that was shut down fails at once.
    socket2::SockRef::from(&listener).shutdown(Shutdown::Both).expect("it listens");
    let accepting = tokio::time::timeout(Duration::from_secs(1), accept_next(&listener));
    assert!(accepting.await.is_err(), "nothing can be accepted, and it goes on trying");
    let complaints = complaints();
    assert_eq!(complaints.len(), 1, "{complaints:?}");
    assert!(complaints[0].starts_with("WARN a connection could not be accepted"), "{complaints:?}");
}
