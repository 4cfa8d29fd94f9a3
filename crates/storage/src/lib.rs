//! What a storing node keeps on its disk: its identity, its replicas' logs and snapshots, and the
//! newest configuration.
//!
//! [`Store`] keeps everything in one `redb` file in the data folder, locked while open. Storing nodes of
//! the users' platform, whose disks are small, keep only their identity there and each replica in
//! [`ReplicaLog`] files. Each value carries a checksum. A folder that fails its checksums is set aside and formatted anew with a new identity:
//! what it acknowledged can't be relied on, so the node must not vote as the one it was; its replicas
//! are rebuilt from their peers.

mod checked;
mod error;
mod record;
mod replica_folder;
mod replica_log;
mod store;

pub use error::StorageError;
pub use replica_folder::ReplicaFolder;
pub use replica_log::{FoundReplica, ReplicaLog, groups_in};
pub use store::{FolderOwner, OpenedStore, Store, StoreWrite};
