//! The thread that writes a replica to disk, so that nothing else waits for it.
//!
//! It owns the replica's log on disk, and numbers the writes. It relies on its driver to let nothing out that a write
//! comes before until that write was reported. The queue to the thread has no bound of its own: the driver hands over
//! one write and waits for it, so one is queued at most. Nor has the one back: one report for each batch of writes.

use std::sync::mpsc;

use stallmoor_core::identity::GroupId;
use stallmoor_core::replication::LogWrite;
use stallmoor_storage::{ReplicaLog, StorageError};
use tokio::sync::mpsc::UnboundedSender;

/// Numbers the writes of one replica, in order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteNumber(pub u64);

struct Job {
    number: WriteNumber,
    write: LogWrite,
}

/// How far the disk is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Written {
    /// The last write that is durable.
    pub number: WriteNumber,
    /// Bytes that the replica's files have.
    pub bytes: u64,
}

/// How writes ended.
pub type WriteResult = Result<Written, StorageError>;

/// Hands writes to the thread.
pub struct DiskWriter {
    jobs: mpsc::Sender<Job>,
    last: WriteNumber,
}

impl DiskWriter {
    /// Starts the thread. It tells `results` how far the disk is.
    ///
    /// # Errors
    ///
    /// The system gives no thread.
    pub fn start(log: ReplicaLog, group: GroupId, results: UnboundedSender<WriteResult>) -> std::io::Result<Self> {
        let (jobs, receiver) = mpsc::channel();
        let thread = std::thread::Builder::new().name(format!("disk-{}", group.0));
        thread.spawn(move || write_all(log, &receiver, &results))?;
        Ok(Self { jobs, last: WriteNumber(0) })
    }

    /// Hands a write over. It is durable once its number was reported.
    pub fn write(&mut self, write: LogWrite) -> WriteNumber {
        self.last = WriteNumber(self.last.0 + 1);
        // The thread ends only with a failed write, which ends the process.
        let _ = self.jobs.send(Job { number: self.last, write });
        self.last
    }
}

/// Writes whatever waits at once, so that one sync serves many writes.
fn write_all(mut log: ReplicaLog, jobs: &mpsc::Receiver<Job>, results: &UnboundedSender<WriteResult>) {
    while let Ok(first) = jobs.recv() {
        let mut number = first.number;
        let mut writes = vec![first.write];
        while let Ok(next) = jobs.try_recv() {
            number = next.number;
            writes.push(next.write);
        }
        let result = log.write(&writes).map(|()| Written { number, bytes: log.bytes() });
        let failed = result.is_err();
        if results.send(result).is_err() || failed {
            return;
        }
    }
    // A planned stop: the next start has less to read. The log holds everything all the same.
    let _ = log.settle();
}
