//! The log and snapshot of one replica, in files of its own.
//!
//! A replica has one generation of files at a time: `replica-G.N.snapshot` with the state that the
//! snapshot stands for, and `replica-G.N.log` with records that are appended and synced. A new snapshot
//! begins generation N + 1; the files of generation N are removed once those of N + 1 are durable, names
//! included. So the disk holds two snapshots at most, and nothing is ever written in place.
//!
//! After a loss of power the last record may be torn or missing; it was never acknowledged and is cut off.

use std::ffi::OsStr;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

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
        let log = Self { folder, group, generation: number, file, contents, bytes, snapshot_bytes };
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
        Ok(Self { folder: folder.to_owned(), group, generation: 1, file, contents, bytes, snapshot_bytes })
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

    fn try_write(&mut self, writes: &[LogWrite]) -> io::Result<()> {
        let mut records = Vec::new();
        let mut is_new_snapshot = false;
        for write in writes {
            self.contents.write(write);
            is_new_snapshot |= write.snapshot.is_some();
            let change = Change {
                hard_state: write.hard_state,
                truncate_from: write.truncate_from,
                entries: write.entries.clone(),
            };
            records.extend(record::encode(&change)?);
        }
        if is_new_snapshot {
            return self.begin_generation();
        }
        self.file.write_all(&records)?;
        self.file.sync_data()?;
        self.bytes += records.len() as u64;
        Ok(())
    }

    /// Writes everything to files of their own, and removes the earlier ones.
    fn begin_generation(&mut self) -> io::Result<()> {
        let next = Generation::new(&self.folder, self.group, self.generation + 1);
        let (file, bytes) = write_generation(&next, &self.contents)?;
        sync_folder(&self.folder)?;
        let former = Generation::new(&self.folder, self.group, self.generation);
        self.file = file;
        self.bytes = bytes;
        self.generation = next.number;
        self.snapshot_bytes = next.snapshot_bytes()?;
        former.remove()
    }
}

/// Writes both files of a generation and syncs their contents.
fn write_generation(generation: &Generation, contents: &PersistedReplica) -> io::Result<(File, u64)> {
    if contents.snapshot.index > LogIndex(0) {
        let mut file = File::create(&generation.snapshot)?;
        file.write_all(&record::encode(&contents.snapshot.state)?)?;
        file.sync_all()?;
    }
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
