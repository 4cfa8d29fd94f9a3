//! The log and snapshot files of one replica.
//!
//! A replica of group G has one generation N of files at a time: `replica-G.N.snapshot` with the state of the snapshot,
//! and `replica-G.N.log`, to which records are appended and synced. A new snapshot starts generation N + 1. The files
//! of generation N are removed once those of N + 1 and their directory entries are durable, so there are at most two
//! snapshots on disk and no file is overwritten in place.
//!
//! A snapshot that the replica took itself is written by a separate thread, because compressing a large state can take
//! longer than the election timeout. Until it is durable, records are still appended to the complete log of generation
//! N. A snapshot received from the leader must be durable before it is acknowledged.
//!
//! After a power failure the last record may be torn or missing. It was never acknowledged, and is truncated.

use std::ffi::OsStr;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread::JoinHandle;

use serde::{Deserialize, Serialize};
use serde_bytes::{ByteBuf, Bytes};
use snafu::ResultExt;
use stallmoor_core::identity::GroupId;
use stallmoor_core::replication::{
    Entry, GroupMembership, HardState, LogIndex, LogWrite, PersistedReplica, Snapshot, Term,
};

use crate::error::{IoSnafu, StorageError};
use crate::record;

/// The first record of a log file: the replica without the state of its snapshot.
#[derive(Serialize, Deserialize)]
struct LogHeader {
    hard_state: HardState,
    index: LogIndex,
    term: Term,
    membership: GroupMembership,
    entries: Vec<Entry>,
}

/// Any record after the first: a write without its snapshot.
#[derive(Serialize, Deserialize)]
struct LogRecord {
    hard_state: Option<HardState>,
    truncate_from: Option<LogIndex>,
    entries: Vec<Entry>,
}

/// The files of one generation.
struct Generation {
    number: u64,
    log: PathBuf,
    snapshot: PathBuf,
}

impl Generation {
    fn new(folder: &Path, group: GroupId, number: u64) -> Self {
        let file = |kind: &str| folder.join(format!("replica-{}.{number}.{kind}", group.0));
        Self { number, log: file("log"), snapshot: file("snapshot") }
    }

    /// Reads the generation. Returns the replica and the length of the valid part of the log in bytes, or `None` if
    /// the log's first record or the snapshot is missing or invalid.
    fn read(&self) -> io::Result<Option<(PersistedReplica, u64)>> {
        let bytes = fs::read(&self.log)?;
        let Some((header, mut offset)) = record::decode::<LogHeader>(&bytes) else { return Ok(None) };
        let Some(state) = self.read_state(header.index)? else { return Ok(None) };
        let LogHeader { hard_state, index, term, membership, entries } = header;
        let snapshot = Snapshot { index, term, membership, state };
        let mut replica = PersistedReplica { hard_state, snapshot, entries };
        while let Some((log_record, length)) = record::decode::<LogRecord>(&bytes[offset..]) {
            let LogRecord { hard_state, truncate_from, entries } = log_record;
            replica.write(&LogWrite { hard_state, truncate_from, entries, snapshot: None });
            offset += length;
        }
        Ok(Some((replica, offset as u64)))
    }

    fn read_state(&self, index: LogIndex) -> io::Result<Option<Arc<[u8]>>> {
        if index == LogIndex(0) {
            return Ok(Some(Arc::from([])));
        }
        match fs::read(&self.snapshot) {
            Ok(bytes) => Ok(record::decode::<ByteBuf>(&bytes).map(|(state, _)| Arc::from(state.into_vec()))),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn snapshot_bytes(&self) -> io::Result<u64> {
        match fs::metadata(&self.snapshot) {
            Ok(found) => Ok(found.len()),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(0),
            Err(error) => Err(error),
        }
    }

    fn remove(&self) -> io::Result<()> {
        for path in [&self.log, &self.snapshot] {
            match fs::remove_file(path) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
                _ => {}
            }
        }
        Ok(())
    }
}

/// The log and snapshot of one replica on disk.
pub struct ReplicaLog {
    folder: PathBuf,
    group: GroupId,
    generation: u64,
    file: File,
    /// The replica as written to the files. Payloads are shared with the replica in memory.
    contents: PersistedReplica,
    /// Size of the log file.
    bytes: u64,
    /// Size of the snapshot file.
    snapshot_bytes: u64,
    /// Thread that writes the snapshot of the next generation.
    next_snapshot: Option<JoinHandle<io::Result<()>>>,
}

/// The result of opening the files of a replica.
pub enum OpenedReplica {
    /// The replica has no files.
    Missing,
    /// The replica was read from its latest complete generation.
    Valid(Box<ReplicaLog>),
    /// The replica has files, but no complete generation.
    Damaged,
}

impl ReplicaLog {
    /// Opens the files of a replica, truncates a torn record and removes other generations.
    ///
    /// # Errors
    ///
    /// A file cannot be read, truncated or removed.
    pub fn open(folder: &Path, group: GroupId) -> Result<OpenedReplica, StorageError> {
        Self::try_open(folder, group).context(IoSnafu { folder })
    }

    fn try_open(folder: &Path, group: GroupId) -> io::Result<OpenedReplica> {
        let mut generations = find_generations(folder, group)?;
        if generations.is_empty() {
            return Ok(OpenedReplica::Missing);
        }
        generations.sort_by_key(|generation| std::cmp::Reverse(generation.number));
        let mut found = None;
        for generation in &generations {
            if found.is_none()
                && let Some((contents, valid_bytes)) = generation.read()?
            {
                found = Some((generation.number, contents, valid_bytes));
            } else {
                generation.remove()?;
            }
        }
        let Some((number, contents, bytes)) = found else { return Ok(OpenedReplica::Damaged) };
        let path = Generation::new(folder, group, number).log;
        let file = OpenOptions::new().append(true).open(path)?;
        file.set_len(bytes)?;
        file.sync_all()?;
        sync_folder(folder)?;
        let snapshot_bytes = Generation::new(folder, group, number).snapshot_bytes()?;
        let folder = folder.to_owned();
        let log =
            Self { folder, group, generation: number, file, contents, bytes, snapshot_bytes, next_snapshot: None };
        Ok(OpenedReplica::Valid(Box::new(log)))
    }

    /// Writes the first generation of a replica's files.
    ///
    /// # Errors
    ///
    /// A file cannot be written.
    pub fn create(folder: &Path, group: GroupId, contents: PersistedReplica) -> Result<Self, StorageError> {
        let make = || {
            let first = Generation::new(folder, group, 1);
            let (file, bytes) = write_generation(&first, &contents)?;
            sync_folder(folder)?;
            Ok((file, bytes, first.snapshot_bytes()?))
        };
        let (file, bytes, snapshot_bytes) = make().context(IoSnafu { folder })?;
        let folder = folder.to_owned();
        Ok(Self { folder, group, generation: 1, file, contents, bytes, snapshot_bytes, next_snapshot: None })
    }

    /// Returns the replica as written to the files, including a snapshot that is still being written.
    pub fn contents(&self) -> &PersistedReplica {
        &self.contents
    }

    /// Returns the total size of the log and snapshot files in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes + self.snapshot_bytes
    }

    /// Applies writes in order and makes them durable. A snapshot taken by the replica itself may become durable later.
    ///
    /// # Errors
    ///
    /// A file cannot be written, for example because the disk is full. Any part of the writes may be lost.
    pub fn write(&mut self, writes: &[LogWrite]) -> Result<(), StorageError> {
        self.try_write(writes).context(IoSnafu { folder: &self.folder })
    }

    /// Waits until a snapshot that is being written is durable and has replaced the previous generation.
    ///
    /// # Errors
    ///
    /// The snapshot or the new log cannot be written.
    pub fn finish_snapshot(&mut self) -> Result<(), StorageError> {
        self.finish_generation().context(IoSnafu { folder: &self.folder })
    }

    fn try_write(&mut self, writes: &[LogWrite]) -> io::Result<()> {
        let mut records = Vec::new();
        let mut must_be_durable = false;
        for write in writes {
            if write.snapshot.is_some() {
                self.finish_generation()?;
            }
            self.contents.write(write);
            if write.snapshot.is_some() && is_local_snapshot(write) {
                self.start_generation()?;
            } else if write.snapshot.is_some() {
                must_be_durable = true;
            }
            let log_record = LogRecord {
                hard_state: write.hard_state,
                truncate_from: write.truncate_from,
                entries: write.entries.clone(),
            };
            records.extend(record::encode(&log_record)?);
        }
        if must_be_durable {
            self.start_generation()?;
            return self.finish_generation();
        }
        self.file.write_all(&records)?;
        self.file.sync_data()?;
        self.bytes += records.len() as u64;
        if self.next_snapshot.as_ref().is_some_and(JoinHandle::is_finished) {
            self.finish_generation()?;
        }
        Ok(())
    }

    fn next_generation(&self) -> Generation {
        Generation::new(&self.folder, self.group, self.generation + 1)
    }

    /// Starts a thread that writes the snapshot of the next generation.
    fn start_generation(&mut self) -> io::Result<()> {
        if let Some(unfinished) = self.next_snapshot.take() {
            join(unfinished)?;
        }
        let (path, state) = (self.next_generation().snapshot, self.contents.snapshot.state.clone());
        let thread = std::thread::Builder::new().name(format!("snapshot-{}", self.group.0));
        self.next_snapshot = Some(thread.spawn(move || write_snapshot(&path, &state))?);
        Ok(())
    }

    /// If the snapshot of the next generation is being written, waits for it, writes the log of that generation and
    /// removes the previous one.
    fn finish_generation(&mut self) -> io::Result<()> {
        let Some(snapshot) = self.next_snapshot.take() else { return Ok(()) };
        join(snapshot)?;
        let next = self.next_generation();
        let (file, bytes) = write_log(&next, &self.contents)?;
        sync_folder(&self.folder)?;
        let previous = Generation::new(&self.folder, self.group, self.generation);
        self.file = file;
        self.bytes = bytes;
        self.generation = next.number;
        self.snapshot_bytes = next.snapshot_bytes()?;
        previous.remove()
    }
}

impl Drop for ReplicaLog {
    /// Waits for the snapshot thread, so that it cannot write to files that are opened again.
    fn drop(&mut self) {
        if let Some(snapshot) = self.next_snapshot.take() {
            // The current generation is complete, so a failed snapshot loses no data.
            let _ = join(snapshot);
        }
    }
}

/// Returns whether the replica took the snapshot of a write itself. A snapshot from the leader truncates the log.
fn is_local_snapshot(write: &LogWrite) -> bool {
    write.truncate_from.is_none()
}

fn join(thread: JoinHandle<io::Result<()>>) -> io::Result<()> {
    thread.join().unwrap_or_else(|_| Err(io::Error::other("snapshot writer thread panicked")))
}

/// Writes the snapshot, if there is one, and the log of a generation, and syncs both files.
fn write_generation(generation: &Generation, contents: &PersistedReplica) -> io::Result<(File, u64)> {
    if contents.snapshot.index > LogIndex(0) {
        write_snapshot(&generation.snapshot, &contents.snapshot.state)?;
    }
    write_log(generation, contents)
}

fn write_snapshot(path: &Path, state: &Arc<[u8]>) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(&record::encode(&Bytes::new(state))?)?;
    file.sync_all()
}

fn write_log(generation: &Generation, contents: &PersistedReplica) -> io::Result<(File, u64)> {
    let header = LogHeader {
        hard_state: contents.hard_state,
        index: contents.snapshot.index,
        term: contents.snapshot.term,
        membership: contents.snapshot.membership.clone(),
        entries: contents.entries.clone(),
    };
    let bytes = record::encode(&header)?;
    let mut file = File::create(&generation.log)?;
    file.write_all(&bytes)?;
    file.sync_all()?;
    Ok((file, bytes.len() as u64))
}

/// Returns the generations of a replica that have a log file, complete or not.
fn find_generations(folder: &Path, group: GroupId) -> io::Result<Vec<Generation>> {
    let prefix = format!("replica-{}.", group.0);
    let mut found = Vec::new();
    for file in fs::read_dir(folder)? {
        let name = file?.file_name();
        let number = name.to_str().and_then(|name| name.strip_prefix(&prefix)?.strip_suffix(".log")?.parse().ok());
        found.extend(number.map(|number| Generation::new(folder, group, number)));
    }
    Ok(found)
}

/// Returns the groups that have replica files in a folder, in ascending order.
///
/// # Errors
///
/// The folder cannot be read.
pub fn list_groups(folder: &Path) -> Result<Vec<GroupId>, StorageError> {
    let files = replica_files(folder)?;
    let mut groups: Vec<GroupId> = files.iter().filter_map(|path| parse_group(path.file_name()?)).collect();
    groups.sort_unstable();
    groups.dedup();
    Ok(groups)
}

/// Returns the paths of all replica files in a folder.
pub(crate) fn replica_files(folder: &Path) -> Result<Vec<PathBuf>, StorageError> {
    let list = || -> io::Result<Vec<PathBuf>> {
        let mut files = Vec::new();
        for file in fs::read_dir(folder)? {
            let file = file?;
            if parse_group(&file.file_name()).is_some() {
                files.push(file.path());
            }
        }
        Ok(files)
    };
    list().context(IoSnafu { folder })
}

fn parse_group(name: &OsStr) -> Option<GroupId> {
    let (group, _) = name.to_str()?.strip_prefix("replica-")?.split_once('.')?;
    group.parse().ok().map(GroupId)
}

/// Makes the creation, renaming and removal of files in a folder durable.
fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}
