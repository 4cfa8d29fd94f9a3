//! The thread that writes to disk, so that nothing else waits for it.

use std::sync::mpsc;

use stallmoor_core::identity::GroupId;
use stallmoor_core::replication::LogWrite;
use stallmoor_storage::{StorageError, Store, StoreWrite};
use tokio::sync::mpsc::UnboundedSender;

/// Numbers the writes of one process, in order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteNumber(pub u64);

struct Job {
    number: WriteNumber,
    write: LogWrite,
}

/// How the writes up to a number ended.
pub type WriteResult = Result<WriteNumber, StorageError>;

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
    pub fn start(store: Store, results: UnboundedSender<WriteResult>) -> std::io::Result<Self> {
        let (jobs, receiver) = mpsc::channel();
        std::thread::Builder::new().name("disk".to_owned()).spawn(move || write_all(&store, &receiver, &results))?;
        Ok(Self { jobs, last: WriteNumber(0) })
    }

    /// Hands a write over. It is durable once its number was told.
    pub fn write(&mut self, write: LogWrite) -> WriteNumber {
        self.last = WriteNumber(self.last.0 + 1);
        // The thread ends only with a failed write, which ends the process.
        let _ = self.jobs.send(Job { number: self.last, write });
        self.last
    }
}

/// Writes whatever waits in one transaction, so that one sync serves many writes.
fn write_all(store: &Store, jobs: &mpsc::Receiver<Job>, results: &UnboundedSender<WriteResult>) {
    while let Ok(first) = jobs.recv() {
        let mut number = first.number;
        let mut batch = StoreWrite::default();
        batch.groups.push((GroupId(0), first.write));
        while let Ok(next) = jobs.try_recv() {
            number = next.number;
            batch.groups.push((GroupId(0), next.write));
        }
        let result = store.write(&batch).map(|()| number);
        let failed = result.is_err();
        if results.send(result).is_err() || failed {
            return;
        }
    }
}
