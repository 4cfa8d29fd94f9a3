//! The node's settings file.

use std::net::SocketAddr;
use std::path::PathBuf;

use stallmoor_core::node::configuration::reader::{Document, TableReader};
use stallmoor_core::node::configuration::{ConfigurationError, SourceFile};
use stallmoor_core::time::Millis;

/// Minimum severity that is logged.
pub use log::LevelFilter as LogLevel;

/// Settings of a node, as read from its settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeFileSettings {
    /// Name of the zone that the node runs in.
    pub zone: String,
    /// Address that receives messages from other nodes.
    pub peer_address: SocketAddr,
    /// Address that serves callers and operators.
    pub caller_address: SocketAddr,
    /// Peer addresses of other nodes, contacted to join the cluster.
    pub seeds: Vec<SocketAddr>,
    /// Data folder; `None` if the node is not a storage node.
    pub data_folder: Option<PathBuf>,
    /// Number of storage nodes that must be present before the replica groups are bootstrapped.
    pub founding_stores: usize,
    /// Maximum time that a graceful shutdown waits for pending requests.
    pub stop_timeout: Millis,
    /// Address of the key-value service.
    pub key_value: SocketAddr,
    /// Address of the machine list.
    pub machine_list: SocketAddr,
    /// Maximum rate of calls to the key-value service, per second.
    pub key_value_rate: f64,
    /// Interval at which a watching node reads the configuration.
    pub configuration_poll: Millis,
    /// Minimum severity that is logged.
    pub log_level: log::LevelFilter,
    /// Log file; standard error if `None`.
    pub log_file: Option<PathBuf>,
    /// Limits on the requests of callers.
    pub limits: CallerLimits,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum size of a request head.
    pub head_bytes: usize,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Time limit for receiving a request.
    pub request_timeout: Millis,
    /// Maximum number of pending online requests.
    pub online_requests: usize,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            body_bytes: 64 << 20,
            head_bytes: 32 << 10,
            connections: 8_192,
            request_timeout: Millis(30_000),
            online_requests: 4_096,
        }
    }
}

/// Parses a settings file.
///
/// # Errors
///
/// Returns all errors in the file, each with its line and field.
pub fn parse_settings(file: &SourceFile) -> Result<NodeFileSettings, Vec<ConfigurationError>> {
    let document = Document::parse(file).map_err(|error| vec![error])?;
    let mut errors = Vec::new();
    let mut root = document.reader(&mut errors);
    let node = root.table("node", read_node).flatten();
    let platform = root.table("platform", read_platform).flatten();
    let log = root.table("log", read_log).unwrap_or((log::LevelFilter::Info, None));
    let limits = root.table("limits", read_limits).unwrap_or_default();
    if node.is_none() {
        root.report("node", "a [node] table with zone, peer_address and caller_address is needed");
    }
    if platform.is_none() {
        root.report("platform", "a [platform] table with key_value and machine_list is needed");
    }
    root.finish();
    let (Some(node), Some(platform), true) = (node, platform, errors.is_empty()) else {
        errors.sort();
        return Err(errors);
    };
    Ok(NodeFileSettings {
        zone: node.zone,
        peer_address: node.peer_address,
        caller_address: node.caller_address,
        seeds: node.seeds,
        data_folder: node.data_folder,
        founding_stores: node.founding_stores,
        stop_timeout: node.stop_timeout,
        key_value: platform.key_value,
        machine_list: platform.machine_list,
        key_value_rate: platform.key_value_rate,
        configuration_poll: platform.configuration_poll,
        log_level: log.0,
        log_file: log.1,
        limits,
    })
}

struct NodeTable {
    zone: String,
    peer_address: SocketAddr,
    caller_address: SocketAddr,
    seeds: Vec<SocketAddr>,
    data_folder: Option<PathBuf>,
    founding_stores: usize,
    stop_timeout: Millis,
}

fn read_node(table: &mut TableReader<'_>) -> Option<NodeTable> {
    let zone = table.text("zone");
    let peer_address = table.address("peer_address");
    let caller_address = table.address("caller_address");
    let seeds = table.addresses("seeds").into_iter().map(|seed| seed.value).collect();
    let data_folder = table.optional_text("data_folder").map(|folder| PathBuf::from(folder.value));
    let founding_stores = table.integer("founding_stores", 1..=64, 3) as usize;
    let stop_timeout = Millis(table.integer("stop_timeout_ms", 0..=3_600_000, 30_000));
    Some(NodeTable {
        zone: zone?.value,
        peer_address: peer_address?.value,
        caller_address: caller_address?.value,
        seeds,
        data_folder,
        founding_stores,
        stop_timeout,
    })
}

struct PlatformTable {
    key_value: SocketAddr,
    machine_list: SocketAddr,
    key_value_rate: f64,
    configuration_poll: Millis,
}

fn read_platform(table: &mut TableReader<'_>) -> Option<PlatformTable> {
    let key_value = table.address("key_value");
    let machine_list = table.address("machine_list");
    let key_value_rate = table.number("key_value_calls_per_second", 0.1..=10_000.0, 10.0);
    let configuration_poll = Millis(table.integer("configuration_poll_ms", 100..=60_000, 2_000));
    Some(PlatformTable {
        key_value: key_value?.value,
        machine_list: machine_list?.value,
        key_value_rate,
        configuration_poll,
    })
}

fn read_log(table: &mut TableReader<'_>) -> (log::LevelFilter, Option<PathBuf>) {
    let level = table.optional_text("level");
    let file = table.optional_text("file").map(|file| PathBuf::from(file.value));
    let parsed = level.as_ref().map(|level| level.value.parse::<log::LevelFilter>());
    match parsed {
        Some(Ok(level)) => (level, file),
        Some(Err(_)) => {
            table.report("level", "must be one of off, error, warn, info, debug, trace");
            (log::LevelFilter::Info, file)
        }
        None => (log::LevelFilter::Info, file),
    }
}

fn read_limits(table: &mut TableReader<'_>) -> CallerLimits {
    let defaults = CallerLimits::default();
    CallerLimits {
        body_bytes: table.integer("body_bytes", 1_024..=1 << 30, defaults.body_bytes as u64) as usize,
        head_bytes: table.integer("head_bytes", 8_192..=1 << 20, defaults.head_bytes as u64) as usize,
        connections: table.integer("connections", 1..=1_000_000, defaults.connections as u64) as usize,
        request_timeout: Millis(table.integer("request_timeout_ms", 10..=600_000, defaults.request_timeout.0)),
        online_requests: table.integer("online_requests", 1..=1_000_000, defaults.online_requests as u64) as usize,
    }
}
