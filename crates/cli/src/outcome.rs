//! Errors of commands, with their messages and exit codes.

use std::path::PathBuf;

use snafu::Snafu;
use stallmoor_core::node::configuration::ConfigurationError;
use stallmoor_gateway::process::ProcessError;
use stallmoor_gateway::process::settings::SettingsError;
use stallmoor_node::NodeError;

/// Error of a command. The exit codes are documented in the help text.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CommandError {
    /// The node rejected the request.
    #[snafu(display("refused ({code}, {ran}): {message}{}", retry_hint(*retry_after_ms)))]
    Refused {
        /// Error code from the response, or the HTTP status if the response has none.
        code: String,
        /// Whether the request was executed, as reported by the node.
        ran: String,
        /// Error message from the response.
        message: String,
        /// Suggested delay before a retry.
        retry_after_ms: Option<u64>,
    },
    /// The configuration or settings files have errors.
    #[snafu(display("{} errors; nothing was applied{}", errors.len(), format_errors(errors)))]
    Invalid {
        /// All errors found.
        errors: Vec<ConfigurationError>,
    },
    /// Another revision was accepted in the meantime.
    #[snafu(display("conflict: {message}"))]
    Conflict {
        /// Error message from the response.
        message: String,
    },
    /// The node did not respond.
    #[snafu(display("no answer from {node}: {detail}"))]
    Unreachable {
        /// Address of the node.
        node: String,
        /// Cause of the failure.
        detail: String,
    },
    /// A file or stream can't be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// Path of the file, or a description of the stream.
        path: PathBuf,
        /// Underlying I/O error.
        source: std::io::Error,
    },
    /// The node failed to start.
    #[snafu(display("{source}"))]
    Start {
        /// Underlying error.
        source: NodeError,
    },
    /// The settings of a gateway or storage node are invalid.
    #[snafu(display("{source}"))]
    Settings {
        /// Underlying error.
        source: SettingsError,
    },
    /// A gateway or storage node failed to start or to continue running.
    #[snafu(display("{source}"))]
    Serving {
        /// Underlying error.
        source: ProcessError,
    },
    /// No log line mentions the requested id.
    #[snafu(display("no log line mentions {id}"))]
    NotInLogs {
        /// The requested id.
        id: String,
    },
    /// No settings file is given, on the command line or by the platform.
    #[snafu(display("no settings file: give --settings"))]
    NoSettings,
    /// The files differ from those in force.
    #[snafu(display("the files differ from revision {revision}"))]
    Differs {
        /// The revision in force.
        revision: u64,
    },
}

impl CommandError {
    /// Returns the exit code of the process for this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused { .. } | Self::File { .. } | Self::Start { .. } | Self::Differs { .. } => 1,
            Self::Serving { .. } | Self::NotInLogs { .. } => 1,
            Self::NoSettings => 2,
            Self::Invalid { .. } | Self::Settings { .. } => 3,
            Self::Conflict { .. } => 4,
            Self::Unreachable { .. } => 5,
        }
    }
}

fn retry_hint(millis: Option<u64>) -> String {
    millis.map_or_else(String::new, |millis| format!("; come back in {millis} ms"))
}

fn format_errors(errors: &[ConfigurationError]) -> String {
    errors.iter().map(|error| format!("\n  {error}")).collect()
}
