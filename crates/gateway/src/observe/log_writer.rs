//! Writes log lines to standard output from a dedicated thread, so that logging never blocks.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::LevelFilter;

use crate::observe::journal::TARGET;

/// Maximum number of lines waiting to be written. Further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// Maximum time that the process waits at its end until the queued lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// An entry of the writer thread's queue.
enum Entry {
    Line(String),
    /// Signals that all lines before this entry are written.
    Flush(SyncSender<()>),
}

static QUEUE: OnceLock<SyncSender<Entry>> = OnceLock::new();

/// Queue of lines for the writer thread.
struct LineQueue {
    lines: SyncSender<Entry>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Enqueues a line, or drops and counts it if the queue is full.
    fn push(&self, line: String) {
        if self.lines.try_send(Entry::Line(line)).is_err() {
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
    // Set only once, since a second logger can't be installed.
    let _ = QUEUE.set(lines.clone());
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

/// Waits until the lines logged so far are written, for a limited time. Call it before the process exits, which ends the
/// writer thread.
pub fn flush() {
    let Some(queue) = QUEUE.get() else { return };
    let (written, is_written) = sync_channel(1);
    // Fails if the queue is full, which means that the output is blocked.
    if queue.try_send(Entry::Flush(written)).is_ok() {
        let _ = is_written.recv_timeout(FLUSH_TIMEOUT);
    }
}

fn write_lines(entries: &Receiver<Entry>, dropped: &AtomicU64) {
    let mut out = io::stdout();
    while let Ok(first) = entries.recv() {
        let mut text = String::new();
        let mut flushes = Vec::new();
        let mut next = Some(first);
        while let Some(entry) = next {
            match entry {
                Entry::Line(line) => {
                    text.push_str(&line);
                    text.push('\n');
                }
                Entry::Flush(written) => flushes.push(written),
            }
            next = entries.try_recv().ok();
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            text.push_str(&format!("{{\"at\":{},\"level\":\"WARN\",\"dropped\":{lost}}}\n", now()));
        }
        // A closed standard output must not stop the process.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        for written in flushes {
            // Nobody waits any more after the timeout.
            let _ = written.send(());
        }
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
fn now() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}
