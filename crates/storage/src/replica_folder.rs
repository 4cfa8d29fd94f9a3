//! A data folder whose replicas lie in files of their own, and the identity that they belong to.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use snafu::ResultExt;
use stallmoor_core::identity::{GroupId, NodeId};

use crate::error::{FolderSnafu, StorageError};
use crate::replica_log::{FoundReplica, ReplicaLog, groups_in, replica_files};
use crate::store::{FolderOwner, Store};

/// A data folder that was opened, and the replicas that it holds.
pub struct ReplicaFolder {
    folder: PathBuf,
    /// The node's identity.
    pub identity: NodeId,
    /// The folder was blank, or what it held could not be used.
    pub formatted: bool,
    /// Where a damaged store was set aside to.
    pub set_aside: Option<PathBuf>,
    replicas: BTreeMap<GroupId, ReplicaLog>,
    /// Holds the identity, and keeps other processes out.
    _store: Store,
}

impl ReplicaFolder {
    /// Opens a folder, or formats a blank one. If any replica is damaged, everything is dropped and the
    /// folder gets a new identity: the node must not vote as the one it was.
    ///
    /// # Errors
    ///
    /// The folder is in use, belongs to another node, has another format, or can't be written.
    pub fn open(folder: &Path, owner: &FolderOwner, is_readable: fn(&[u8]) -> bool) -> Result<Self, StorageError> {
        let opened = Store::open_checked(folder, owner, is_readable)?;
        if opened.formatted {
            // Replicas that lie beside a store that is gone belong to another identity.
            remove_replicas(folder)?;
        }
        let mut replicas = BTreeMap::new();
        for group in groups_in(folder)? {
            match ReplicaLog::open(folder, group)? {
                FoundReplica::Sound(log) if is_readable(&log.contents().snapshot.state) => {
                    replicas.insert(group, *log);
                }
                FoundReplica::Blank => {}
                FoundReplica::Sound(_) | FoundReplica::Damaged => {
                    drop((replicas, opened));
                    return Self::start_anew(folder, owner, is_readable);
                }
            }
        }
        for (group, persisted) in opened.persisted.groups {
            // An earlier version kept replicas in the store.
            if let std::collections::btree_map::Entry::Vacant(place) = replicas.entry(group) {
                place.insert(ReplicaLog::create(folder, group, persisted)?);
            }
        }
        opened.store.clear_replicas()?;
        Ok(Self {
            folder: folder.to_owned(),
            identity: opened.identity,
            formatted: opened.formatted,
            set_aside: opened.set_aside,
            replicas,
            _store: opened.store,
        })
    }

    fn start_anew(folder: &Path, owner: &FolderOwner, is_readable: fn(&[u8]) -> bool) -> Result<Self, StorageError> {
        // The identity goes first: without it, what is left of the replicas is never used.
        let aside = Store::set_aside(folder)?;
        remove_replicas(folder)?;
        let anew = Self::open(folder, owner, is_readable)?;
        Ok(Self { set_aside: Some(aside), ..anew })
    }

    /// The groups that there are replicas of.
    pub fn groups(&self) -> impl Iterator<Item = GroupId> + '_ {
        self.replicas.keys().copied()
    }

    /// Hands over a group's replica, which is made if there is none.
    ///
    /// # Errors
    ///
    /// The disk refuses.
    pub fn take(&mut self, group: GroupId) -> Result<ReplicaLog, StorageError> {
        match self.replicas.remove(&group) {
            Some(log) => Ok(log),
            None => ReplicaLog::create(&self.folder, group, stallmoor_core::replication::PersistedReplica::default()),
        }
    }
}

fn remove_replicas(folder: &Path) -> Result<(), StorageError> {
    for path in replica_files(folder)? {
        fs::remove_file(path).context(FolderSnafu { folder })?;
    }
    Ok(())
}
