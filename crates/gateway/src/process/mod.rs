//! A gateway or a storing node as a process: its parts put together, its stop and its reload.
//!
//! Owns the tasks of the process and the channels between them. Relies on every other room; decides nothing but the
//! order in which parts start and stop, and the times of a stop come from [`stallmoor_core::serving::stopping`].
//!
//! | module | owns |
//! |---|---|
//! | [`settings`] | the settings file |
//! | [`signals`] | the signals that a process gets |
//! | `parts` | the parts that both kinds of process have |
//! | `gateway` | a gateway's start and planned stop |
//! | `storage_node` | a storing node's start and planned stop |
//! | `reload` | reading the settings again at a signal |

mod gateway;
mod parts;
mod reload;
pub mod settings;
pub mod signals;
mod storage_node;

pub use gateway::run_gateway;
use snafu::Snafu;
use stallmoor_storage::StorageError;
pub use storage_node::run_storage;

/// Why a process ends.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProcessError {
    /// The system refused something.
    #[snafu(display("{what}: {source}"))]
    System {
        /// What it refused.
        what: &'static str,
        /// Why.
        source: std::io::Error,
    },
    /// The disk refused something.
    #[snafu(display("{source}"))]
    Disk {
        /// Why.
        source: StorageError,
    },
    /// The settings lack what this kind of process needs.
    #[snafu(display("the settings lack {field}"))]
    Lacking {
        /// The field.
        field: &'static str,
    },
    /// The disk holds a table that this version can't read.
    #[snafu(display("the job table on the disk can't be read"))]
    UnreadableTable,
}
