//! Why the data folder can't be used.

use std::path::PathBuf;

use snafu::Snafu;

/// Why the data folder can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// Another process has it open.
    #[snafu(display("data folder {} is in use by another process", folder.display()))]
    Locked {
        /// The folder.
        folder: PathBuf,
    },
    /// It was formatted by a node at another address.
    #[snafu(display(
        "data folder {} belongs to the node at {owner}; if that node is gone for good and this one takes its place, \
         start once with --adopt-data-folder",
        folder.display()
    ))]
    Foreign {
        /// The folder.
        folder: PathBuf,
        /// Whose it is.
        owner: String,
    },
    /// It was written by a version that this one can't read.
    #[snafu(display("data folder {} has format {found}, not {expected}", folder.display()))]
    OtherFormat {
        /// The folder.
        folder: PathBuf,
        /// Its format.
        found: u32,
        /// The format of this version.
        expected: u32,
    },
    /// The file system refused something.
    #[snafu(display("data folder {}: {source}", folder.display()))]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// What it said.
        source: std::io::Error,
    },
    /// The database refused something, for want of space for instance.
    #[snafu(display("data folder {}: {source}", folder.display()))]
    Database {
        /// The folder.
        folder: PathBuf,
        /// What it said.
        source: redb::Error,
    },
}
