//! The log and snapshot of one replica, in files of its own.
//!
//! A replica has one generation of files at a time: `replica-G.N.snapshot` with the state that the
//! snapshot stands for, and `replica-G.N.log` with records that are appended and synced. A new snapshot
//! begins generation N + 1; the files of generation N are removed once those of N + 1 are durable, names
//! included. So the disk holds two snapshots at most, and nothing is ever written in place.
//!
//! A snapshot that the replica took itself is written by a thread of its own, since compressing a large
//! state takes longer than a leader may be silent; until it is durable, the log of generation N goes on and
//! still holds everything. A snapshot that came from a leader has to be durable before it is answered.
//!
//! After a loss of power the last record may be torn or missing; it was never acknowledged and is cut off.

use std::ffi::OsStr;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread::JoinHandle;

use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use stallmoor_core::identity::GroupId;
use stallmoor_core::replication::{
    Entry, GroupMembership, HardState, LogIndex, LogWrite, PersistedReplica, Snapshot, Term,
};

use crate::error::{FolderSnafu, StorageError};
use crate::record;

/// The first record of a log file: all of the replica but the snapshot's state.
#[derive(Serialize, Deserialize)]
struct Beginning {
    hard_state: HardState,
    index: LogIndex,
    term: Term,
    membership: GroupMembership,
    entries: Vec<Entry>,
}

/// Each further record: a write without a snapshot.
#[derive(Serialize, Deserialize)]
struct Change {
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

    /// Reads the generation. Returns what it holds and how many bytes of the log are sound; `None` if it
    /// was never complete.
    fn read(&self) -> io::Result<Option<(PersistedReplica, u64)>> {
        let bytes = fs::read(&self.log)?;
        let Some((beginning, mut place)) = record::decode::<Beginning>(&bytes) else { return Ok(None) };
        let Some(state) = self.read_state(beginning.index)? else { return Ok(None) };
        let Beginning { hard_state, index, term, membership, entries } = beginning;
        let snapshot = Snapshot { index, term, membership, state };
        let mut replica = PersistedReplica { hard_state, snapshot, entries };
        while let Some((change, length)) = record::decode::<Change>(&bytes[place..]) {
            let Change { hard_state, truncate_from, entries } = change;
            replica.write(&LogWrite { hard_state, truncate_from, entries, snapshot: None });
            place += length;
        }
        Ok(Some((replica, place as u64)))
    }

    fn read_state(&self, index: LogIndex) -> io::Result<Option<Arc<[u8]>>> {
        if index == LogIndex(0) {
            return Ok(Some(Arc::from([])));
        }
        match fs::read(&self.snapshot) {
            Ok(bytes) => Ok(record::decode::<Arc<[u8]>>(&bytes).map(|(state, _)| state)),
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

/// The log and snapshot of one replica on the disk.
pub struct ReplicaLog {
    folder: PathBuf,
    group: GroupId,
    generation: u64,
    file: File,
    /// What the files hold. Payloads are shared with the replica in memory.
    contents: PersistedReplica,
    /// Bytes of the log file.
    bytes: u64,
    /// Bytes of the snapshot's file.
    snapshot_bytes: u64,
    /// The next generation's snapshot, while it is being written.
    next_snapshot: Option<JoinHandle<io::Result<()>>>,
}

/// A replica's files as they were found.
pub enum FoundReplica {
    /// There are none.
    Blank,
    /// They are sound.
    Sound(Box<ReplicaLog>),
    /// There are files, and none of them can be used.
    Damaged,
}

impl ReplicaLog {
    /// Opens a replica's files.
    ///
    /// # Errors
    ///
    /// The file system refused something.
    pub fn open(folder: &Path, group: GroupId) -> Result<FoundReplica, StorageError> {
        Self::try_open(folder, group).context(FolderSnafu { folder })
    }

    fn try_open(folder: &Path, group: GroupId) -> io::Result<FoundReplica> {
        let mut generations = find_generations(folder, group)?;
        if generations.is_empty() {
            return Ok(FoundReplica::Blank);
        }
        generations.sort_by_key(|generation| std::cmp::Reverse(generation.number));
        let mut found = None;
        for generation in &generations {
            if found.is_none()
                && let Some((contents, sound_bytes)) = generation.read()?
            {
                found = Some((generation.number, contents, sound_bytes));
            } else {
                generation.remove()?;
            }
        }
        let Some((number, contents, bytes)) = found else { return Ok(FoundReplica::Damaged) };
        let path = Generation::new(folder, group, number).log;
        let file = OpenOptions::new().append(true).open(path)?;
        file.set_len(bytes)?;
        file.sync_all()?;
        sync_folder(folder)?;
        let snapshot_bytes = Generation::new(folder, group, number).snapshot_bytes()?;
        let folder = folder.to_owned();
        let log =
            Self { folder, group, generation: number, file, contents, bytes, snapshot_bytes, next_snapshot: None };
        Ok(FoundReplica::Sound(Box::new(log)))
    }

    /// Makes the first generation of a replica's files.
    ///
    /// # Errors
    ///
    /// The file system refused something.
    pub fn create(folder: &Path, group: GroupId, contents: PersistedReplica) -> Result<Self, StorageError> {
        let make = || {
            let first = Generation::new(folder, group, 1);
            let (file, bytes) = write_generation(&first, &contents)?;
            sync_folder(folder)?;
            Ok((file, bytes, first.snapshot_bytes()?))
        };
        let (file, bytes, snapshot_bytes) = make().context(FolderSnafu { folder })?;
        let folder = folder.to_owned();
        Ok(Self { folder, group, generation: 1, file, contents, bytes, snapshot_bytes, next_snapshot: None })
    }

    /// What the files hold.
    pub fn contents(&self) -> &PersistedReplica {
        &self.contents
    }

    /// Bytes of both files.
    pub fn bytes(&self) -> u64 {
        self.bytes + self.snapshot_bytes
    }

    /// Carries out writes, in order and durably.
    ///
    /// # Errors
    ///
    /// The disk refused, for want of space for instance. Nothing of the writes may be relied on.
    pub fn write(&mut self, writes: &[LogWrite]) -> Result<(), StorageError> {
        self.try_write(writes).context(FolderSnafu { folder: &self.folder })
    }

    /// Waits until a snapshot that is being written stands in for the log.
    ///
    /// # Errors
    ///
    /// The disk refused.
    pub fn settle(&mut self) -> Result<(), StorageError> {
        self.finish_generation().context(FolderSnafu { folder: &self.folder })
    }

    fn try_write(&mut self, writes: &[LogWrite]) -> io::Result<()> {
        let mut records = Vec::new();
        let mut must_be_whole = false;
        for write in writes {
            if write.snapshot.is_some() {
                self.finish_generation()?;
            }
            self.contents.write(write);
            if write.snapshot.is_some() && is_own_snapshot(write) {
                self.start_generation()?;
            } else if write.snapshot.is_some() {
                must_be_whole = true;
            }
            let change = Change {
                hard_state: write.hard_state,
                truncate_from: write.truncate_from,
                entries: write.entries.clone(),
            };
            records.extend(record::encode(&change)?);
        }
        if must_be_whole {
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

    /// Starts to write the next generation's snapshot.
    fn start_generation(&mut self) -> io::Result<()> {
        if let Some(earlier) = self.next_snapshot.take() {
            join(earlier)?;
        }
        let (path, state) = (self.next_generation().snapshot, self.contents.snapshot.state.clone());
        let thread = std::thread::Builder::new().name(format!("snapshot-{}", self.group.0));
        self.next_snapshot = Some(thread.spawn(move || write_snapshot(&path, &state))?);
        Ok(())
    }

    /// Waits for the next generation's snapshot, if one is being written, puts its log beside it, and
    /// removes the earlier generation.
    fn finish_generation(&mut self) -> io::Result<()> {
        let Some(snapshot) = self.next_snapshot.take() else { return Ok(()) };
        join(snapshot)?;
        let next = self.next_generation();
        let (file, bytes) = write_log(&next, &self.contents)?;
        sync_folder(&self.folder)?;
        let former = Generation::new(&self.folder, self.group, self.generation);
        self.file = file;
        self.bytes = bytes;
        self.generation = next.number;
        self.snapshot_bytes = next.snapshot_bytes()?;
        former.remove()
    }
}

impl Drop for ReplicaLog {
    /// No thread may write to files that another opening may use.
    fn drop(&mut self) {
        if let Some(snapshot) = self.next_snapshot.take() {
            // The earlier generation holds everything, so a snapshot that failed is not missed.
            let _ = join(snapshot);
        }
    }
}

/// Whether a write's snapshot was taken by the replica itself: one from a leader replaces the whole log.
fn is_own_snapshot(write: &LogWrite) -> bool {
    write.truncate_from.is_none()
}

fn join(thread: JoinHandle<io::Result<()>>) -> io::Result<()> {
    thread.join().unwrap_or_else(|_| Err(io::Error::other("the thread that writes the snapshot panicked")))
}

/// Writes both files of a generation and syncs their contents.
fn write_generation(generation: &Generation, contents: &PersistedReplica) -> io::Result<(File, u64)> {
    if contents.snapshot.index > LogIndex(0) {
        write_snapshot(&generation.snapshot, &contents.snapshot.state)?;
    }
    write_log(generation, contents)
}

fn write_snapshot(path: &Path, state: &Arc<[u8]>) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(&record::encode(state)?)?;
    file.sync_all()
}

fn write_log(generation: &Generation, contents: &PersistedReplica) -> io::Result<(File, u64)> {
    let beginning = Beginning {
        hard_state: contents.hard_state,
        index: contents.snapshot.index,
        term: contents.snapshot.term,
        membership: contents.snapshot.membership.clone(),
        entries: contents.entries.clone(),
    };
    let bytes = record::encode(&beginning)?;
    let mut file = File::create(&generation.log)?;
    file.write_all(&bytes)?;
    file.sync_all()?;
    Ok((file, bytes.len() as u64))
}

/// The generations of a replica of which there is a log file, whole or not.
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

/// The groups that have files in a folder.
///
/// # Errors
///
/// The folder can't be read.
pub fn groups_in(folder: &Path) -> Result<Vec<GroupId>, StorageError> {
    let files = replica_files(folder)?;
    let mut groups: Vec<GroupId> = files.iter().filter_map(|path| group_of(path.file_name()?)).collect();
    groups.sort_unstable();
    groups.dedup();
    Ok(groups)
}

/// The files of all replicas in a folder.
pub(crate) fn replica_files(folder: &Path) -> Result<Vec<PathBuf>, StorageError> {
    let list = || -> io::Result<Vec<PathBuf>> {
        let mut files = Vec::new();
        for file in fs::read_dir(folder)? {
            let file = file?;
            if group_of(&file.file_name()).is_some() {
                files.push(file.path());
            }
        }
        Ok(files)
    };
    list().context(FolderSnafu { folder })
}

fn group_of(name: &OsStr) -> Option<GroupId> {
    let (group, _) = name.to_str()?.strip_prefix("replica-")?.split_once('.')?;
    group.parse().ok().map(GroupId)
}

/// Makes names that were made, renamed or removed in a folder durable.
fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}
