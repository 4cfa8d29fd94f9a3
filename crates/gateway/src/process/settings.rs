//! The settings file of a gateway or a storage node. It is read and validated at startup; a reload applies only the log
//! level.
//!
//! Defines the names of tables and fields, and their defaults.

mod answers;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;

use serde::Deserialize;
use snafu::{ResultExt, Snafu};
use stallmoor_core::serving::regions::{RegionMap, RegionName};
use stallmoor_core::serving::relay::bounds::WatchBounds;
use stallmoor_core::time::Millis;

pub use self::answers::AnswersTable;

/// Default of `metadata.config_ms` and `metadata.drain_ms`.
const DEFAULT_CHANGE_MS: f64 = 2_000.0;
/// Default of `metadata.contact_ms`.
const DEFAULT_CONTACT_MS: f64 = 3_000.0;
/// Default of `metadata.heartbeat_ms`.
const DEFAULT_HEARTBEAT_MS: f64 = 1_200.0;
/// Default of `jobs.results_kept_s`.
const DEFAULT_RESULTS_KEPT_S: f64 = 600.0;
/// Default of `stop.grace_s`.
const DEFAULT_GRACE_S: f64 = 8.0;

/// Default of `metadata.answer_bytes`.
const DEFAULT_STORE_ANSWER_BYTES: usize = 16 << 20;

/// Error in reading or validating the settings file.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or a field is unknown, missing or of the wrong type.
    #[snafu(display("{}: {source}", path.display()))]
    Malformed {
        /// Path of the file.
        path: PathBuf,
        /// Error of the parser, with the position in the file.
        source: Box<toml::de::Error>,
    },
    /// The value of a field is out of range or not allowed.
    #[snafu(display("{}: {field} {problem}", path.display()))]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// Name of the field, including its table.
        field: &'static str,
        /// Constraint that the value violates.
        problem: &'static str,
    },
}

/// The settings of one process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServingSettings {
    /// Identity and location of this node.
    pub node: NodeTable,
    /// Addresses and ports to listen on.
    pub listen: ListenTable,
    /// Address of the metadata store, and time limits for its updates.
    pub metadata: MetadataTable,
    /// Losses that the deployment must tolerate.
    #[serde(default)]
    pub tolerance: ToleranceTable,
    /// Region of each zone, keyed by zone name.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Limits on the answers of workers.
    #[serde(default)]
    pub answers: AnswersTable,
    /// Batch jobs; used by storage nodes.
    #[serde(default)]
    pub jobs: JobsTable,
    /// Graceful shutdown of the process.
    #[serde(default)]
    pub stop: StopTable,
    /// Logging.
    #[serde(default)]
    pub log: LogTable,
}

/// The table `[node]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeTable {
    /// Name of the machine.
    pub name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Address at which other nodes reach this one.
    pub address: IpAddr,
    /// Folder for the replicated log; required by storage nodes.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
}

/// The table `[listen]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenTable {
    /// Address for requests of callers; required by gateways.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// Address for readiness checks; required by gateways.
    #[serde(default)]
    pub readiness: Option<SocketAddr>,
    /// Port for other nodes, on the node's address.
    pub peer_port: u16,
    /// Port for metrics, on the node's address. If absent, metrics are disabled.
    #[serde(default)]
    pub metrics_port: Option<u16>,
}

/// The table `[metadata]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MetadataTable {
    /// Address of the metadata store.
    pub address: SocketAddr,
    /// Maximum delay until a configuration change takes effect, in milliseconds.
    #[serde(default = "MetadataTable::default_config_ms")]
    pub config_ms: f64,
    /// Maximum delay until a draining worker stops receiving requests, in milliseconds.
    #[serde(default = "MetadataTable::default_drain_ms")]
    pub drain_ms: f64,
    /// Maximum delay until the workers of an evacuated zone stop receiving requests, in milliseconds. If absent, the
    /// shorter of the two limits above applies.
    #[serde(default)]
    pub evacuate_ms: Option<f64>,
    /// Maximum delay until a node is up to date after it has reconnected to the store, in milliseconds.
    #[serde(default = "MetadataTable::default_contact_ms")]
    pub contact_ms: f64,
    /// Approximate interval at which a worker writes its record, in milliseconds.
    #[serde(default = "MetadataTable::default_heartbeat_ms")]
    pub heartbeat_ms: f64,
    /// Maximum size of an answer of the metadata store, in bytes.
    #[serde(default = "MetadataTable::default_answer_bytes")]
    pub answer_bytes: usize,
}

impl MetadataTable {
    fn default_config_ms() -> f64 {
        DEFAULT_CHANGE_MS
    }

    fn default_drain_ms() -> f64 {
        DEFAULT_CHANGE_MS
    }

    fn default_contact_ms() -> f64 {
        DEFAULT_CONTACT_MS
    }

    fn default_heartbeat_ms() -> f64 {
        DEFAULT_HEARTBEAT_MS
    }

    fn default_answer_bytes() -> usize {
        DEFAULT_STORE_ANSWER_BYTES
    }

    /// Returns the time limits within which the node must receive changes.
    pub fn watch_bounds(&self) -> WatchBounds {
        let millis = |value: f64| Millis(value.max(0.0) as u64);
        WatchBounds {
            change: millis(self.config_ms.min(self.drain_ms).min(self.evacuate_ms.unwrap_or(f64::INFINITY))),
            contact: millis(self.contact_ms),
            heartbeat: millis(self.heartbeat_ms),
        }
    }
}

/// The table `[tolerance]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ToleranceTable {
    /// Number of storage machines that may be lost at once.
    #[serde(default)]
    pub machines: usize,
    /// Number of zones that may be lost at once.
    #[serde(default)]
    pub zones: usize,
    /// Number of regions that may be lost at once.
    #[serde(default)]
    pub regions: usize,
}

impl Default for ToleranceTable {
    fn default() -> Self {
        Self { machines: 1, zones: 0, regions: 0 }
    }
}

impl ToleranceTable {
    /// Returns the number of replicas that may be lost at once. Replicas are spread over as many zones as possible, so
    /// each lost zone or region counts as one replica.
    pub fn replicas(&self) -> usize {
        self.machines.max(self.zones).max(self.regions)
    }
}

/// The table `[jobs]`.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobsTable {
    /// Retention period of results, counted from the submission of their job, in seconds.
    #[serde(default = "JobsTable::default_results_kept")]
    pub results_kept_s: f64,
    /// Disk size in megabytes (1,000,000 bytes); 0 if unlimited.
    #[serde(default)]
    pub disk_mb: f64,
}

impl JobsTable {
    const fn default_results_kept() -> f64 {
        DEFAULT_RESULTS_KEPT_S
    }

    /// Returns the retention period of results, counted from the submission of their job.
    pub fn results_kept(&self) -> Millis {
        Millis((self.results_kept_s * 1_000.0) as u64)
    }

    /// Returns the disk size in bytes, or `None` if it is unlimited.
    pub fn disk_bytes(&self) -> Option<u64> {
        (self.disk_mb > 0.0).then_some((self.disk_mb * 1e6) as u64)
    }
}

impl Default for JobsTable {
    fn default() -> Self {
        Self { results_kept_s: Self::default_results_kept(), disk_mb: 0.0 }
    }
}

/// The table `[stop]`.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopTable {
    /// Maximum duration of a graceful shutdown, in seconds.
    pub grace_s: f64,
}

impl StopTable {
    /// Returns the maximum duration of a graceful shutdown.
    pub fn grace(&self) -> Millis {
        Millis((self.grace_s * 1_000.0) as u64)
    }
}

impl Default for StopTable {
    fn default() -> Self {
        Self { grace_s: DEFAULT_GRACE_S }
    }
}

/// The table `[log]`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogTable {
    /// Minimum severity that is logged: off, error, warn, info, debug or trace.
    pub level: log::LevelFilter,
}

impl Default for LogTable {
    fn default() -> Self {
        Self { level: log::LevelFilter::Info }
    }
}

impl ServingSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, is malformed or contains an invalid value. The error names the file and the
    /// offending line or field.
    pub fn read(path: &std::path::Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        Self::parse(&text, path)
    }

    /// Parses and validates the contents of a settings file. `path` is used in error messages only.
    ///
    /// # Errors
    ///
    /// Fails if the text is malformed or contains an invalid value.
    pub fn parse(text: &str, path: &std::path::Path) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(Box::new).context(MalformedSnafu { path })?;
        let invalid = |field, problem| Err(SettingsError::Invalid { path: path.to_owned(), field, problem });
        if settings.node.name.is_empty() {
            return invalid("node.name", "must not be empty");
        }
        if settings.node.zone.is_empty() {
            return invalid("node.zone", "must not be empty");
        }
        let times = [
            ("metadata.config_ms", settings.metadata.config_ms),
            ("metadata.drain_ms", settings.metadata.drain_ms),
            ("metadata.evacuate_ms", settings.metadata.evacuate_ms.unwrap_or(DEFAULT_CHANGE_MS)),
            ("metadata.contact_ms", settings.metadata.contact_ms),
            ("metadata.heartbeat_ms", settings.metadata.heartbeat_ms),
        ];
        for (field, millis) in times {
            if !(1.0..=3_600_000.0).contains(&millis) {
                return invalid(field, "must be from 1 to 3600000");
            }
        }
        let sizes = [
            ("metadata.answer_bytes", settings.metadata.answer_bytes),
            ("answers.event_bytes", settings.answers.event_bytes),
            ("answers.body_bytes", settings.answers.body_bytes),
            ("answers.item_bytes", settings.answers.item_bytes),
            ("answers.held_bytes", settings.answers.held_bytes),
        ];
        for (field, bytes) in sizes {
            if !(1_024..=1_000_000_000).contains(&bytes) {
                return invalid(field, "must be from 1024 to 1000000000");
            }
        }
        if !(0.1..=3_600.0).contains(&settings.stop.grace_s) {
            return invalid("stop.grace_s", "must be from 0.1 to 3600");
        }
        if !(1.0..=1e7).contains(&settings.jobs.results_kept_s) {
            return invalid("jobs.results_kept_s", "must be from 1 to 10000000");
        }
        if !(0.0..=1e9).contains(&settings.jobs.disk_mb) {
            return invalid("jobs.disk_mb", "must be from 0 to 1000000000");
        }
        if settings.listen.peer_port == 0 {
            return invalid("listen.peer_port", "must not be 0");
        }
        if settings.listen.metrics_port == Some(settings.listen.peer_port) {
            return invalid("listen.metrics_port", "must not be listen.peer_port");
        }
        Ok(settings)
    }

    /// Returns the region of each zone.
    pub fn regions(&self) -> RegionMap {
        let zones = self.zones.iter();
        RegionMap::new(zones.map(|(zone, region)| (Arc::from(zone.as_str()), RegionName::new(region))))
    }

    /// Returns the address of the metrics endpoint, or `None` if metrics are disabled.
    pub fn metrics_address(&self) -> Option<SocketAddr> {
        self.listen.metrics_port.map(|port| SocketAddr::new(self.node.address, port))
    }

    /// Returns the address at which other nodes reach this one.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.node.address, self.listen.peer_port)
    }
}
