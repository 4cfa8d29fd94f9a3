//! Errors of the data folder.

use std::path::PathBuf;

use snafu::Snafu;

/// An error opening, reading or writing a data folder.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// Another process has the folder open.
    #[snafu(display("data folder {} is in use by another process", folder.display()))]
    Locked {
        /// Path of the data folder.
        folder: PathBuf,
    },
    /// The folder was formatted by a node at another address.
    #[snafu(display(
        "data folder {} belongs to the node at {owner}; if this node permanently replaces that one, \
         start it once with --adopt-data-folder",
        folder.display()
    ))]
    OwnedByOtherNode {
        /// Path of the data folder.
        folder: PathBuf,
        /// Peer address of the node that owns the folder.
        owner: String,
    },
    /// The folder has a format that this version does not support.
    #[snafu(display("data folder {} has unsupported format {found} (expected {expected})", folder.display()))]
    UnsupportedFormat {
        /// Path of the data folder.
        folder: PathBuf,
        /// Format version recorded in the folder.
        found: u32,
        /// Format version that this version reads and writes.
        expected: u32,
    },
    /// A file system operation failed.
    #[snafu(display("I/O error in data folder {}: {source}", folder.display()))]
    Io {
        /// Path of the data folder.
        folder: PathBuf,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// A database operation failed, for example because the disk is full.
    #[snafu(display("database error in data folder {}: {source}", folder.display()))]
    Database {
        /// Path of the data folder.
        folder: PathBuf,
        /// The underlying database error.
        source: redb::Error,
    },
}
