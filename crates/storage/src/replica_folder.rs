//! A data folder that stores each replica in separate files, next to the node's identity.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use snafu::ResultExt;
use stallmoor_core::identity::{GroupId, NodeId};

use crate::error::{IoSnafu, StorageError};
use crate::replica_log::{OpenedReplica, ReplicaLog, list_groups, replica_files};
use crate::store::{FolderOwner, Store};

/// An open data folder and its replicas.
pub struct ReplicaFolder {
    folder: PathBuf,
    /// Identity of the node that the folder belongs to.
    pub identity: NodeId,
    /// Whether the folder was formatted while opening it, because it was empty or damaged.
    pub formatted: bool,
    /// Path to which a damaged store was moved, if there was one.
    pub damaged_path: Option<PathBuf>,
    replicas: BTreeMap<GroupId, ReplicaLog>,
    /// Stores the identity. Kept open to lock the folder against other processes.
    _store: Store,
}

impl ReplicaFolder {
    /// Opens a folder, or formats an empty one. If any replica is damaged, all replicas are removed and the folder
    /// gets a new identity, so that the node cannot vote under the previous one.
    ///
    /// A replica counts as damaged unless `is_readable` accepts the state of its snapshot.
    ///
    /// # Errors
    ///
    /// The folder is in use, belongs to another node, has an unsupported format, or cannot be read or written.
    pub fn open(folder: &Path, owner: &FolderOwner, is_readable: fn(&[u8]) -> bool) -> Result<Self, StorageError> {
        let opened = Store::open_checked(folder, owner, is_readable)?;
        if opened.formatted {
            // Replicas without their store belong to a previous identity.
            remove_replicas(folder)?;
        }
        let mut replicas = BTreeMap::new();
        for group in list_groups(folder)? {
            match ReplicaLog::open(folder, group)? {
                OpenedReplica::Valid(log) if is_readable(&log.contents().snapshot.state) => {
                    replicas.insert(group, *log);
                }
                OpenedReplica::Missing => {}
                OpenedReplica::Valid(_) | OpenedReplica::Damaged => {
                    drop((replicas, opened));
                    return Self::reformat(folder, owner, is_readable);
                }
            }
        }
        for (group, persisted) in opened.persisted.groups {
            // Migrates replicas that an earlier version kept in the store.
            if let std::collections::btree_map::Entry::Vacant(vacant) = replicas.entry(group) {
                vacant.insert(ReplicaLog::create(folder, group, persisted)?);
            }
        }
        opened.store.clear_replicas()?;
        Ok(Self {
            folder: folder.to_owned(),
            identity: opened.identity,
            formatted: opened.formatted,
            damaged_path: opened.damaged_path,
            replicas,
            _store: opened.store,
        })
    }

    fn reformat(folder: &Path, owner: &FolderOwner, is_readable: fn(&[u8]) -> bool) -> Result<Self, StorageError> {
        // The identity is removed first: if a crash interrupts this, the next open discards the remaining replicas.
        let aside = Store::move_damaged(folder)?;
        remove_replicas(folder)?;
        let reformatted = Self::open(folder, owner, is_readable)?;
        Ok(Self { damaged_path: Some(aside), ..reformatted })
    }

    /// Returns the groups whose replicas are in the folder and have not been taken.
    pub fn groups(&self) -> impl Iterator<Item = GroupId> + '_ {
        self.replicas.keys().copied()
    }

    /// Takes the replica of a group, and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// The files of a new replica cannot be written.
    pub fn take(&mut self, group: GroupId) -> Result<ReplicaLog, StorageError> {
        match self.replicas.remove(&group) {
            Some(log) => Ok(log),
            None => ReplicaLog::create(&self.folder, group, stallmoor_core::replication::PersistedReplica::default()),
        }
    }
}

fn remove_replicas(folder: &Path) -> Result<(), StorageError> {
    for path in replica_files(folder)? {
        fs::remove_file(path).context(IoSnafu { folder })?;
    }
    Ok(())
}
