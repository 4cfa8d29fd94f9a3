//! Writes log lines to standard output from a dedicated thread, so that logging never blocks.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{SystemTime, UNIX_EPOCH};

use log::LevelFilter;

use crate::observe::journal::TARGET;

/// Maximum number of lines waiting to be written. Further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// Queue of lines for the writer thread.
struct LineQueue {
    lines: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Enqueues a line, or drops and counts it if the queue is full.
    fn push(&self, line: String) {
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Installs the process's logger, which writes one JSON object per line to standard output.
///
/// # Errors
///
/// Fails if a logger is already installed or the writer thread cannot be spawned.
pub fn install_logger(level: LevelFilter) -> io::Result<()> {
    let (lines, queued) = sync_channel(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let dropped_count = dropped.clone();
    std::thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&queued, &dropped_count))?;
    let queue = LineQueue { lines, dropped };
    fern::Dispatch::new()
        .format(|out, message, record| {
            if record.target() == TARGET {
                out.finish(format_args!("{{\"at\":{},\"level\":\"{}\",{message}", now(), record.level()));
            } else {
                let text = serde_json::Value::String(message.to_string());
                out.finish(format_args!("{{\"at\":{},\"level\":\"{}\",\"text\":{text}}}", now(), record.level()));
            }
        })
        .level(LevelFilter::Warn)
        .level_for(TARGET, LevelFilter::Trace)
        .chain(fern::Output::call(move |record| queue.push(record.args().to_string())))
        .apply()
        .map_err(io::Error::other)?;
    log::set_max_level(level);
    Ok(())
}

fn write_lines(lines: &Receiver<String>, dropped: &AtomicU64) {
    let mut out = io::stdout();
    while let Ok(first) = lines.recv() {
        let mut text = first;
        text.push('\n');
        while let Ok(next) = lines.try_recv() {
            text.push_str(&next);
            text.push('\n');
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            text.push_str(&format!("{{\"at\":{},\"level\":\"WARN\",\"dropped\":{lost}}}\n", now()));
        }
        // A closed standard output must not stop the process.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
fn now() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}
