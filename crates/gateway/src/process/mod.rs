//! Runs a gateway or a storage node as a process: startup, graceful shutdown and reload.
//!
//! Owns the process's tasks and the channels between them, and determines the order in which components start and stop.
//! The timeouts of a shutdown are defined in [`stallmoor_core::serving::stopping`].
//!
//! | module | contents |
//! |---|---|
//! | [`settings`] | the settings file |
//! | [`signals`] | signal handlers |
//! | `parts` | components common to both kinds of process |
//! | `held` | waiting for what another process still holds |
//! | `gateway` | startup and graceful shutdown of a gateway |
//! | `storage_node` | startup and graceful shutdown of a storage node |
//! | `reload` | reloading the settings on a signal |

mod gateway;
mod held;
mod parts;
mod reload;
pub mod settings;
pub mod signals;
mod storage_node;

pub use gateway::run_gateway;
use snafu::Snafu;
use stallmoor_core::log_event::LogEvent;
use stallmoor_storage::StorageError;
pub use storage_node::run_storage;

use crate::observe::journal::{Field, record};

/// Error that prevents a process from starting or makes it exit.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProcessError {
    /// An operating system call failed.
    #[snafu(display("{operation} failed: {source}"))]
    System {
        /// Operation that failed.
        operation: &'static str,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A disk operation failed.
    #[snafu(display("{source}"))]
    Disk {
        /// Error of the storage layer.
        source: StorageError,
    },
    /// A setting that this kind of process requires is missing.
    #[snafu(display("the settings lack {field}"))]
    MissingSetting {
        /// Name of the missing setting, including its table.
        field: &'static str,
    },
    /// This version can't decode the job table on disk.
    #[snafu(display("job table on disk cannot be decoded by this version"))]
    UnreadableTable,
}

/// Logs the error that ends a process. Settings that are missing are reported like those that can't be read, on standard
/// error alone.
fn log_failure(ended: Result<(), ProcessError>) -> Result<(), ProcessError> {
    if let Err(error) = &ended
        && !matches!(error, ProcessError::MissingSetting { .. })
    {
        record(LogEvent::NodeFailed, &[Field::text("detail", error)]);
    }
    ended
}
