//! How a command ends: its exit code and what it says.

use std::path::PathBuf;

use snafu::Snafu;
use stallmoor_core::node::configuration::ConfigurationError;
use stallmoor_gateway::process::ProcessError;
use stallmoor_gateway::process::settings::SettingsError;
use stallmoor_node::NodeError;

/// Why a command failed. The exit codes are documented in the help of the program.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CommandError {
    /// The node refused.
    #[snafu(display("refused ({code}, {ran}): {message}{}", retry(*retry_after_ms)))]
    Refused {
        /// The code of the refusal.
        code: String,
        /// Whether the request ran.
        ran: String,
        /// What happened.
        message: String,
        /// When to come back.
        retry_after_ms: Option<u64>,
    },
    /// Files have errors.
    #[snafu(display("{} errors; nothing was applied{}", errors.len(), list(errors)))]
    Invalid {
        /// The errors.
        errors: Vec<ConfigurationError>,
    },
    /// Another revision was accepted meanwhile.
    #[snafu(display("conflict: {message}"))]
    Conflict {
        /// What happened.
        message: String,
    },
    /// No node answered.
    #[snafu(display("no answer from {node}: {detail}"))]
    Unreachable {
        /// The node.
        node: String,
        /// What happened.
        detail: String,
    },
    /// A file can't be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The node can't start.
    #[snafu(display("{source}"))]
    Start {
        /// Why.
        source: NodeError,
    },
    /// The settings of a gateway or storing node can't be used.
    #[snafu(display("{source}"))]
    Settings {
        /// Why.
        source: SettingsError,
    },
    /// A gateway or storing node can't start or go on.
    #[snafu(display("{source}"))]
    Serving {
        /// Why.
        source: ProcessError,
    },
    /// No line of the logs is about what was asked for.
    #[snafu(display("no line of these logs is about {id}"))]
    NotInLogs {
        /// What was asked for.
        id: String,
    },
    /// No settings file is named.
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
    /// The exit code.
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

fn retry(millis: Option<u64>) -> String {
    millis.map_or_else(String::new, |millis| format!("; come back in {millis} ms"))
}

fn list(errors: &[ConfigurationError]) -> String {
    errors.iter().map(|error| format!("\n  {error}")).collect()
}
