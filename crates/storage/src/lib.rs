//! What a storing node keeps on its disk: its identity, its replicas' logs and snapshots, and the
//! newest configuration.
//!
//! Everything lies in one `redb` file in the data folder, locked while open. Each value carries a
//! checksum. A folder that fails its checksums is set aside and formatted anew with a new identity:
//! what it acknowledged can't be relied on, so the node must not vote as the one it was; its replicas
//! are rebuilt from their peers.

mod checked;
mod error;
mod store;

pub use error::StorageError;
pub use store::{FolderOwner, OpenedStore, Store, StoreWrite};
