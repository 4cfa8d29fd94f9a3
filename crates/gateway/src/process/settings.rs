//! The settings file of a gateway or storing node: read and checked once, at the start; at a reload only the log level
//! is taken.
//!
//! Owns the names of tables and fields, and their defaults. Deploy files fill it in.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;

use serde::Deserialize;
use snafu::{ResultExt, Snafu};
use stallmoor_core::serving::regions::{RegionMap, RegionName};
use stallmoor_core::serving::relay::bounds::WatchBounds;
use stallmoor_core::time::Millis;

/// The bounds on a change of the configuration and on a draining worker where the file names none, in milliseconds.
const DEFAULT_CHANGE_MS: f64 = 2_000.0;
/// The contact bound where the file names none, in milliseconds.
const DEFAULT_CONTACT_MS: f64 = 3_000.0;
/// The time between two writes of a worker's record where the file names none, in milliseconds.
const DEFAULT_HEARTBEAT_MS: f64 = 1_200.0;
/// How long results are kept where the file does not say, in seconds.
const DEFAULT_RESULTS_KEPT_S: f64 = 600.0;
/// How long a planned stop may take where the file does not say, in seconds.
const DEFAULT_GRACE_S: f64 = 8.0;

/// Why settings can't be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file is not a settings file. The library names line and field.
    #[snafu(display("{}: {source}", path.display()))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What is wrong, and where.
        source: Box<toml::de::Error>,
    },
    /// A field holds what it must not.
    #[snafu(display("{}: {field} {problem}", path.display()))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The field.
        field: &'static str,
        /// What is wrong with it.
        problem: &'static str,
    },
}

/// The settings of one process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServingSettings {
    /// The node.
    pub node: NodeTable,
    /// Where it listens.
    pub listen: ListenTable,
    /// The metadata store.
    pub metadata: MetadataTable,
    /// What the system must bear.
    #[serde(default)]
    pub tolerance: ToleranceTable,
    /// In which region each zone lies, by the zone's name.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Batch jobs, at a storing node.
    #[serde(default)]
    pub jobs: JobsTable,
    /// The planned stop.
    #[serde(default)]
    pub stop: StopTable,
    /// Logs.
    #[serde(default)]
    pub log: LogTable,
}

/// The table `[node]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeTable {
    /// The machine's name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its address.
    pub address: IpAddr,
    /// The folder of a storing node.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
}

/// The table `[listen]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenTable {
    /// For callers; a gateway needs it.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// For the question whether the node is ready; a gateway needs it.
    #[serde(default)]
    pub readiness: Option<SocketAddr>,
    /// For other nodes, on the node's address.
    pub peer_port: u16,
    /// For the figures, on the node's address; without it none are gathered.
    #[serde(default)]
    pub metrics_port: Option<u16>,
}

/// The table `[metadata]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MetadataTable {
    /// The address of the metadata store.
    pub address: SocketAddr,
    /// A change of the configuration must be in force within this time, in milliseconds.
    #[serde(default = "MetadataTable::default_config_ms")]
    pub config_ms: f64,
    /// A worker that leaves must get no requests after this time, in milliseconds.
    #[serde(default = "MetadataTable::default_drain_ms")]
    pub drain_ms: f64,
    /// The workers of a zone that is evacuated must get no requests after this time, in milliseconds; absent where it is
    /// no shorter than the two bounds above.
    #[serde(default)]
    pub evacuate_ms: Option<f64>,
    /// A node that had no way to the store must be up to date this long after it has one again, in
    /// milliseconds.
    #[serde(default = "MetadataTable::default_contact_ms")]
    pub contact_ms: f64,
    /// A worker writes its record about this often, in milliseconds.
    #[serde(default = "MetadataTable::default_heartbeat_ms")]
    pub heartbeat_ms: f64,
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

    /// The times in which the node must know of changes.
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
    /// How many storing machines may be lost at once.
    #[serde(default)]
    pub machines: usize,
    /// How many zones may be lost at once.
    #[serde(default)]
    pub zones: usize,
    /// How many regions may be lost at once.
    #[serde(default)]
    pub regions: usize,
}

impl Default for ToleranceTable {
    fn default() -> Self {
        Self { machines: 1, zones: 0, regions: 0 }
    }
}

impl ToleranceTable {
    /// How many replicas may be lost at once. Replicas lie in as many zones as there are, so each lost
    /// zone or region costs one of those that are needed, at the least.
    pub fn replicas(&self) -> usize {
        self.machines.max(self.zones).max(self.regions)
    }
}

/// The table `[jobs]`.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobsTable {
    /// How long a job's results are kept, from its submission on, in seconds.
    #[serde(default = "JobsTable::default_results_kept")]
    pub results_kept_s: f64,
    /// Bytes of the disk, in megabytes (1,000,000 bytes); 0 if there is no known end.
    #[serde(default)]
    pub disk_mb: f64,
}

impl JobsTable {
    const fn default_results_kept() -> f64 {
        DEFAULT_RESULTS_KEPT_S
    }

    /// How long results are kept, from the submission on.
    pub fn results_kept(&self) -> Millis {
        Millis((self.results_kept_s * 1_000.0) as u64)
    }

    /// Bytes of the disk, if it has a known end.
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
    /// How long a planned stop may take, in seconds.
    pub grace_s: f64,
}

impl StopTable {
    /// How long a planned stop may take.
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
    /// The least level that is written: off, error, warn, info, debug or trace.
    pub level: log::LevelFilter,
}

impl Default for LogTable {
    fn default() -> Self {
        Self { level: log::LevelFilter::Info }
    }
}

impl ServingSettings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// The file can't be read, or holds what it must not; the error names the place.
    pub fn read(path: &std::path::Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        Self::parse(&text, path)
    }

    /// Checks the text of a file.
    ///
    /// # Errors
    ///
    /// As [`ServingSettings::read`].
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

    /// In which region each zone lies.
    pub fn regions(&self) -> RegionMap {
        let zones = self.zones.iter();
        RegionMap::new(zones.map(|(zone, region)| (Arc::from(zone.as_str()), RegionName::new(region))))
    }

    /// Where the figures are served.
    pub fn metrics_address(&self) -> Option<SocketAddr> {
        self.listen.metrics_port.map(|port| SocketAddr::new(self.node.address, port))
    }

    /// Where other nodes reach this one.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.node.address, self.listen.peer_port)
    }
}
