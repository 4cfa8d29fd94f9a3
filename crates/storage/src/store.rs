//! The `redb` database of a node.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use redb::{Database, ReadableDatabase, ReadableTable, ReadableTableMetadata, TableDefinition};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use stallmoor_core::identity::{GroupId, NodeId};
use stallmoor_core::node::PersistedNode;
use stallmoor_core::node::configuration::bundle::PartContents;
use stallmoor_core::node::configuration::{ActiveConfiguration, Manifest};
use stallmoor_core::node::partition::PartitionState;
use stallmoor_core::replication::{Entry, HardState, LogIndex, LogWrite, PersistedReplica, Snapshot};

use crate::checked::{self, Damaged};
use crate::error::{DatabaseSnafu, IoSnafu, StorageError};

/// Version of the data folder's format.
const FORMAT: u32 = 1;
const FILE_NAME: &str = "store.redb";

const HEADER: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("header");
const HARD_STATES: TableDefinition<'_, u32, &[u8]> = TableDefinition::new("hard_states");
const SNAPSHOTS: TableDefinition<'_, u32, &[u8]> = TableDefinition::new("snapshots");
const ENTRIES: TableDefinition<'_, (u32, u64), &[u8]> = TableDefinition::new("entries");
const CONFIGURATION: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("configuration");

const HEADER_KEY: &str = "header";
const CONFIGURATION_KEY: &str = "newest";

/// The node that opens a data folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FolderOwner {
    /// Address at which peers reach the node.
    pub peer_address: String,
    /// Whether to take over a folder that belongs to a node at another address.
    pub adopt: bool,
    /// Identity assigned to the folder if it is formatted.
    pub new_identity: NodeId,
}

/// Format, identity and owner of a data folder. Written when the folder is formatted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Header {
    format: u32,
    identity: NodeId,
    owner: String,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct StoredConfiguration {
    manifest: Manifest,
    contents: PartContents,
}

/// Writes that are committed in one transaction.
#[derive(Default)]
pub struct StoreWrite {
    /// Writes to the logs of groups, in order.
    pub groups: Vec<(GroupId, LogWrite)>,
    /// The latest configuration, if it changed.
    pub configuration: Option<Arc<ActiveConfiguration>>,
}

impl StoreWrite {
    /// Returns whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty() && self.configuration.is_none()
    }
}

/// An open store and its contents.
pub struct OpenedStore {
    /// The store, which stays locked until it is dropped.
    pub store: Store,
    /// Identity of the node that the folder belongs to.
    pub identity: NodeId,
    /// State read from the store; empty if the folder was formatted.
    pub persisted: PersistedNode,
    /// Whether the folder was formatted while opening it, because it was empty or damaged.
    pub formatted: bool,
    /// Path to which a damaged store was moved, if there was one.
    pub damaged_path: Option<PathBuf>,
}

/// The database in a node's data folder.
pub struct Store {
    folder: PathBuf,
    database: Database,
}

/// Reason why an existing database file cannot be opened.
enum OpenFailure {
    Damaged,
    Fatal(StorageError),
}

impl From<Damaged> for OpenFailure {
    fn from(_: Damaged) -> Self {
        Self::Damaged
    }
}

impl Store {
    /// Opens the store in a folder, or formats an empty folder. A damaged store is set aside and replaced by a new one.
    ///
    /// # Errors
    ///
    /// The folder is in use, belongs to another node, has an unsupported format, or cannot be read or written.
    pub fn open(folder: &Path, owner: &FolderOwner) -> Result<OpenedStore, StorageError> {
        Self::open_checked(folder, owner, |state| PartitionState::decode(state).is_some())
    }

    /// Like [`Store::open`], for replicas of another state machine. A snapshot counts as damaged unless `is_readable`
    /// accepts its state.
    ///
    /// # Errors
    ///
    /// See [`Store::open`].
    pub fn open_checked(
        folder: &Path,
        owner: &FolderOwner,
        is_readable: fn(&[u8]) -> bool,
    ) -> Result<OpenedStore, StorageError> {
        fs::create_dir_all(folder).context(IoSnafu { folder })?;
        let path = folder.join(FILE_NAME);
        if !path.exists() {
            return Self::format(folder, owner, None);
        }
        match Self::open_existing(folder, owner, is_readable) {
            Ok(opened) => Ok(opened),
            Err(OpenFailure::Fatal(error)) => Err(error),
            Err(OpenFailure::Damaged) => {
                let aside = move_damaged(folder)?;
                Self::format(folder, owner, Some(aside))
            }
        }
    }

    fn format(folder: &Path, owner: &FolderOwner, damaged_path: Option<PathBuf>) -> Result<OpenedStore, StorageError> {
        let identity = owner.new_identity;
        let database = match Database::create(folder.join(FILE_NAME)) {
            Ok(database) => database,
            Err(error) => return Err(database_error(folder, error)),
        };
        let store = Self { folder: folder.to_owned(), database };
        store.write_header(&Header { format: FORMAT, identity, owner: owner.peer_address.clone() })?;
        let persisted = PersistedNode::default();
        Ok(OpenedStore { store, identity, persisted, formatted: true, damaged_path })
    }

    fn open_existing(
        folder: &Path,
        owner: &FolderOwner,
        is_readable: fn(&[u8]) -> bool,
    ) -> Result<OpenedStore, OpenFailure> {
        let database = match Database::open(folder.join(FILE_NAME)) {
            Ok(database) => database,
            Err(redb::DatabaseError::DatabaseAlreadyOpen) => {
                return Err(OpenFailure::Fatal(StorageError::Locked { folder: folder.to_owned() }));
            }
            Err(redb::DatabaseError::Storage(redb::StorageError::Io(source)))
                if source.kind() != std::io::ErrorKind::InvalidData =>
            {
                return Err(OpenFailure::Fatal(StorageError::Io { folder: folder.to_owned(), source }));
            }
            Err(_) => return Err(OpenFailure::Damaged),
        };
        let store = Self { folder: folder.to_owned(), database };
        let header = store.read_header()?;
        store.check_header(&header, owner).map_err(OpenFailure::Fatal)?;
        let persisted = store.read_all(is_readable)?;
        Ok(OpenedStore { store, identity: header.identity, persisted, formatted: false, damaged_path: None })
    }

    fn check_header(&self, header: &Header, owner: &FolderOwner) -> Result<(), StorageError> {
        if header.format != FORMAT {
            let folder = self.folder.clone();
            return Err(StorageError::UnsupportedFormat { folder, found: header.format, expected: FORMAT });
        }
        if header.owner == owner.peer_address {
            return Ok(());
        }
        if !owner.adopt {
            return Err(StorageError::OwnedByOtherNode { folder: self.folder.clone(), owner: header.owner.clone() });
        }
        self.write_header(&Header { owner: owner.peer_address.clone(), ..header.clone() })
    }

    /// Writes a batch atomically and durably.
    ///
    /// # Errors
    ///
    /// The transaction fails, for example because the disk is full. The batch may not have been written.
    pub fn write(&self, batch: &StoreWrite) -> Result<(), StorageError> {
        self.try_write(batch).context(DatabaseSnafu { folder: &self.folder })
    }

    fn try_write(&self, batch: &StoreWrite) -> Result<(), redb::Error> {
        let transaction = self.database.begin_write()?;
        {
            let mut hard_states = transaction.open_table(HARD_STATES)?;
            let mut snapshots = transaction.open_table(SNAPSHOTS)?;
            let mut entries = transaction.open_table(ENTRIES)?;
            for (group, write) in &batch.groups {
                let group = group.0;
                if let Some(hard_state) = &write.hard_state {
                    hard_states.insert(group, &checked::encode(hard_state)[..])?;
                }
                if let Some(from) = write.truncate_from {
                    entries.retain_in((group, from.0)..=(group, u64::MAX), |_, _| false)?;
                }
                if let Some(snapshot) = &write.snapshot {
                    snapshots.insert(group, &checked::encode(snapshot)[..])?;
                    entries.retain_in((group, 0)..=(group, snapshot.index.0), |_, _| false)?;
                }
                for entry in &write.entries {
                    entries.insert((group, entry.index.0), &checked::encode(entry)[..])?;
                }
            }
            if let Some(active) = &batch.configuration {
                let stored =
                    StoredConfiguration { manifest: active.manifest.clone(), contents: active.contents.clone() };
                let mut configuration = transaction.open_table(CONFIGURATION)?;
                configuration.insert(CONFIGURATION_KEY, &checked::encode(&stored)[..])?;
            }
        }
        transaction.commit()?;
        Ok(())
    }

    /// Removes all logs and snapshots.
    pub(crate) fn clear_replicas(&self) -> Result<(), StorageError> {
        self.try_clear_replicas().context(DatabaseSnafu { folder: &self.folder })
    }

    fn try_clear_replicas(&self) -> Result<(), redb::Error> {
        let read_transaction = self.database.begin_read()?;
        if read_transaction.open_table(HARD_STATES)?.is_empty()? && read_transaction.open_table(ENTRIES)?.is_empty()? {
            return Ok(());
        }
        drop(read_transaction);
        let transaction = self.database.begin_write()?;
        transaction.open_table(HARD_STATES)?.retain(|_, _| false)?;
        transaction.open_table(SNAPSHOTS)?.retain(|_, _| false)?;
        transaction.open_table(ENTRIES)?.retain(|_, _| false)?;
        transaction.commit()?;
        Ok(())
    }

    /// Sets the store in a folder aside, so that the folder is formatted when it is next opened.
    pub(crate) fn move_damaged(folder: &Path) -> Result<PathBuf, StorageError> {
        move_damaged(folder)
    }

    fn write_header(&self, header: &Header) -> Result<(), StorageError> {
        self.try_write_header(header).context(DatabaseSnafu { folder: &self.folder })
    }

    fn try_write_header(&self, header: &Header) -> Result<(), redb::Error> {
        let transaction = self.database.begin_write()?;
        {
            let mut table = transaction.open_table(HEADER)?;
            table.insert(HEADER_KEY, &checked::encode(header)[..])?;
            transaction.open_table(HARD_STATES)?;
            transaction.open_table(SNAPSHOTS)?;
            transaction.open_table(ENTRIES)?;
            transaction.open_table(CONFIGURATION)?;
        }
        transaction.commit()?;
        Ok(())
    }

    fn read_header(&self) -> Result<Header, OpenFailure> {
        let read = || -> Result<Option<Vec<u8>>, redb::Error> {
            let transaction = self.database.begin_read()?;
            let table = transaction.open_table(HEADER)?;
            Ok(table.get(HEADER_KEY)?.map(|value| value.value().to_vec()))
        };
        let bytes = read().map_err(|_| OpenFailure::Damaged)?.ok_or(OpenFailure::Damaged)?;
        Ok(checked::decode(&bytes)?)
    }

    fn read_all(&self, is_readable: fn(&[u8]) -> bool) -> Result<PersistedNode, OpenFailure> {
        let raw = self.read_raw().map_err(|_| OpenFailure::Damaged)?;
        let mut groups: BTreeMap<GroupId, PersistedReplica> = BTreeMap::new();
        for (group, bytes) in &raw.hard_states {
            groups.entry(GroupId(*group)).or_default().hard_state = checked::decode::<HardState>(bytes)?;
        }
        for (group, bytes) in &raw.snapshots {
            let snapshot = checked::decode::<Snapshot>(bytes)?;
            if !is_readable(&snapshot.state) {
                return Err(OpenFailure::Damaged);
            }
            groups.entry(GroupId(*group)).or_default().snapshot = snapshot;
        }
        for (group, bytes) in &raw.entries {
            groups.entry(GroupId(*group)).or_default().entries.push(checked::decode::<Entry>(bytes)?);
        }
        if groups.values().any(|replica| !is_contiguous(replica)) {
            return Err(OpenFailure::Damaged);
        }
        let configuration = match raw.configuration {
            Some(bytes) => {
                let stored: StoredConfiguration = checked::decode(&bytes)?;
                Some((stored.manifest, stored.contents))
            }
            None => None,
        };
        Ok(PersistedNode { groups, configuration })
    }

    fn read_raw(&self) -> Result<RawContents, redb::Error> {
        let transaction = self.database.begin_read()?;
        let mut raw = RawContents::default();
        for row in transaction.open_table(HARD_STATES)?.iter()? {
            let (group, value) = row?;
            raw.hard_states.push((group.value(), value.value().to_vec()));
        }
        for row in transaction.open_table(SNAPSHOTS)?.iter()? {
            let (group, value) = row?;
            raw.snapshots.push((group.value(), value.value().to_vec()));
        }
        for row in transaction.open_table(ENTRIES)?.iter()? {
            let (key, value) = row?;
            raw.entries.push((key.value().0, value.value().to_vec()));
        }
        let configuration = transaction.open_table(CONFIGURATION)?;
        raw.configuration = configuration.get(CONFIGURATION_KEY)?.map(|value| value.value().to_vec());
        Ok(raw)
    }
}

/// Rows of the database, still encoded.
#[derive(Default)]
struct RawContents {
    hard_states: Vec<(u32, Vec<u8>)>,
    snapshots: Vec<(u32, Vec<u8>)>,
    entries: Vec<(u32, Vec<u8>)>,
    configuration: Option<Vec<u8>>,
}

/// Returns whether the log has no gaps and starts immediately after its snapshot.
fn is_contiguous(replica: &PersistedReplica) -> bool {
    let mut expected = replica.snapshot.index.next();
    for entry in &replica.entries {
        if entry.index != expected {
            return false;
        }
        expected = LogIndex(expected.0 + 1);
    }
    true
}

fn database_error(folder: &Path, error: redb::DatabaseError) -> StorageError {
    match error {
        redb::DatabaseError::DatabaseAlreadyOpen => StorageError::Locked { folder: folder.to_owned() },
        other => StorageError::Database { folder: folder.to_owned(), source: other.into() },
    }
}

/// Renames the database file, so that an operator can inspect it, and returns its new path.
fn move_damaged(folder: &Path) -> Result<PathBuf, StorageError> {
    let mut number = 1;
    loop {
        let target = folder.join(format!("{FILE_NAME}.damaged-{number}"));
        if !target.exists() {
            fs::rename(folder.join(FILE_NAME), &target).context(IoSnafu { folder })?;
            return Ok(target);
        }
        number += 1;
    }
}
