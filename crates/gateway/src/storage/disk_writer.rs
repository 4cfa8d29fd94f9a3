//! The thread that writes a replica's log to disk, so that async tasks never block on disk I/O.
//!
//! Owns the log and numbers the writes. The caller must not release an effect that depends on a write until the write
//! is reported as durable. The queue to the thread is unbounded because the caller has at most one write in flight;
//! the channel back is unbounded because it carries one report per batch of writes.

use std::sync::mpsc;

use stallmoor_core::identity::GroupId;
use stallmoor_core::replication::LogWrite;
use stallmoor_storage::{ReplicaLog, StorageError};
use tokio::sync::mpsc::UnboundedSender;

/// Sequence number of a write of one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteNumber(pub u64);

struct QueuedWrite {
    number: WriteNumber,
    write: LogWrite,
}

/// Reports that writes up to a sequence number are durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteCompletion {
    /// The last durable write.
    pub number: WriteNumber,
    /// Total size of the replica's files, in bytes.
    pub bytes: u64,
}

/// Outcome of a batch of writes.
pub type WriteResult = Result<WriteCompletion, StorageError>;

/// Handle for submitting writes to the disk thread.
pub struct DiskWriter {
    queue: mpsc::Sender<QueuedWrite>,
    last: WriteNumber,
}

impl DiskWriter {
    /// Starts the disk thread, which sends the outcome of each batch of writes to `results`.
    ///
    /// # Errors
    ///
    /// Fails if the operating system can't create a thread.
    pub fn start(log: ReplicaLog, group: GroupId, results: UnboundedSender<WriteResult>) -> std::io::Result<Self> {
        let (queue, receiver) = mpsc::channel();
        let thread = std::thread::Builder::new().name(format!("disk-{}", group.0));
        thread.spawn(move || write_all(log, &receiver, &results))?;
        Ok(Self { queue, last: WriteNumber(0) })
    }

    /// Queues a write and returns its sequence number. The write is durable once that number is reported.
    pub fn write(&mut self, write: LogWrite) -> WriteNumber {
        self.last = WriteNumber(self.last.0 + 1);
        // The thread exits early only after a failed write, which terminates the process.
        let _ = self.queue.send(QueuedWrite { number: self.last, write });
        self.last
    }
}

/// Writes all queued entries as one batch, so that a single sync covers them.
fn write_all(mut log: ReplicaLog, queue: &mpsc::Receiver<QueuedWrite>, results: &UnboundedSender<WriteResult>) {
    while let Ok(first) = queue.recv() {
        let mut number = first.number;
        let mut writes = vec![first.write];
        while let Ok(next) = queue.try_recv() {
            number = next.number;
            writes.push(next.write);
        }
        let result = log.write(&writes).map(|()| WriteCompletion { number, bytes: log.bytes() });
        let failed = result.is_err();
        if results.send(result).is_err() || failed {
            return;
        }
    }
    // Finishing a pending snapshot shortens recovery at the next start. Errors are ignored: the log is complete without
    // the snapshot.
    let _ = log.finish_snapshot();
}
