//! Durable state of a storage node: its identity, the logs and snapshots of its replicas, and the latest
//! configuration.
//!
//! [`Store`] keeps everything in one `redb` file in the data folder, which is locked while open. Storage nodes with
//! small disks use [`ReplicaFolder`] instead, which stores only the identity in the database and each replica in
//! [`ReplicaLog`] files.
//!
//! Every value has a checksum. If one does not match, the store is set aside and the folder is formatted with a new
//! identity: acknowledged writes may be lost, so the node must not vote under its previous identity. Its replicas are
//! rebuilt from their peers.

mod checked;
mod error;
mod kept_view;
mod record;
mod replica_folder;
mod replica_log;
mod store;

pub use error::StorageError;
pub use kept_view::KeptView;
pub use replica_folder::ReplicaFolder;
pub use replica_log::{OpenedReplica, ReplicaLog, list_groups};
pub use store::{FolderOwner, OpenedStore, Store, StoreWrite};
