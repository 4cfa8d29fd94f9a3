//! A gateway or a storing node as a process: its parts put together, its stop and its reload.
//!
//! | module | owns |
//! |---|---|
//! | [`settings`] | the settings file |
//! | [`signals`] | the signals that a process gets |

pub mod settings;
pub mod signals;

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use snafu::{ResultExt, Snafu};
use stallmoor_core::identity::{GroupId, NodeId};
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::replication::ReplicaSettings;
use stallmoor_core::serving::jobs::directory::StorageRecord;
use stallmoor_core::serving::jobs::disk_budget::DiskBudget;
use stallmoor_core::serving::jobs::node::JobsNode;
use stallmoor_core::serving::jobs::table::JobTable;
use stallmoor_storage::{FolderOwner, ReplicaFolder, StorageError};
use tokio::sync::{mpsc, watch};

use crate::adapter::PlatformAdapter;
use crate::adapter::metadata::FleetUpdate;
use crate::batch::job_calls::JobCalls;
use crate::callers::server::{CallerServer, StopPhase};
use crate::clock::NodeClock;
use crate::fleet::fleet_view::FleetView;
use crate::fleet::metadata_view::MetadataView;
use crate::fleet::metadata_watch::MetadataWatch;
use crate::http::plain_listener::serve_readiness;
use crate::leader::client::LeaderClient;
use crate::leader::load_exchange::share_loads;
use crate::leader::rate_limits::{RateLimits, share_limits};
use crate::observe::journal::{Field, record};
use crate::observe::measures;
use crate::process::settings::ServingSettings;
use crate::process::signals::{ProcessSignals, SignalRequest};
use crate::sockets::listen;
use crate::storage::disk_writer::DiskWriter;
use crate::storage::peer_listener::accept_peers;
use crate::storage::registration;
use crate::storage::service::{StorageInputs, StorageParts, StorageService};
use crate::workers::attempt::WorkerClient;
use crate::workers::connections::ConnectionPool;

/// For how long a leaving gateway still takes new connections: its callers are told within two
/// questions a second apart.
const LEAVING: Duration = Duration::from_millis(2_600);
/// What is left of the grace when the process ends at the latest.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// How long a storing node hands its leadership over before it stops all the same.
const HAND_OVER: Duration = Duration::from_millis(1_500);
/// The group that holds the job table.
const JOBS_GROUP: GroupId = GroupId(0);
/// Messages of peers that wait.
const PEER_EVENTS: usize = 4_096;

/// Why a process ends.
#[derive(Debug, Snafu)]
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

/// Parts that both kinds of process have.
struct Common {
    view: Arc<FleetView>,
    metadata: Arc<MetadataView>,
    workers: Arc<WorkerClient>,
}

fn common(settings: &ServingSettings, adapter: &dyn PlatformAdapter) -> Common {
    let seed = draw();
    let view = Arc::new(FleetView::new(NodeClock::start(), Arc::from(settings.node.zone.as_str()), seed));
    let metadata = Arc::new(MetadataView::new(view.clock, settings.metadata.watch_bounds()));
    let connections = Arc::new(ConnectionPool::default());
    let workers = Arc::new(WorkerClient { view: view.clone(), dialect: adapter.dialect(), connections });
    Common { view, metadata, workers }
}

/// Starts to follow the metadata store, and to apply what it tells.
fn watch_metadata(
    id: NodeId,
    common: &Common,
    settings: &ServingSettings,
    adapter: &dyn PlatformAdapter,
    further: Option<mpsc::UnboundedSender<FleetUpdate>>,
) {
    let (updates, received) = mpsc::unbounded_channel();
    let (fleet, view) = (common.view.clone(), common.metadata.clone());
    let bounds = settings.metadata.watch_bounds();
    let watch = MetadataWatch::new(id, adapter.metadata(), fleet, view, bounds, updates);
    tokio::spawn(watch.run());
    tokio::spawn(follow_updates(common.view.clone(), received, further));
}

/// Serves figures where the settings name a port for them.
fn start_measures(settings: &ServingSettings) -> Result<(), ProcessError> {
    if let Some(address) = settings.metrics_address() {
        measures::start();
        tokio::spawn(measures::serve(listen(address).context(SystemSnafu { what: "listening" })?));
    }
    Ok(())
}

/// A number from the system's source of randomness.
fn draw() -> u64 {
    Xoshiro256PlusPlus::from_os_rng().random()
}

/// An identity that no other node has; 0 stands for none on the wire.
fn fresh_identity() -> NodeId {
    NodeId(draw().max(1))
}

fn log_start(settings: &ServingSettings, role: &str) {
    let fields = [
        Field::text("machine", &settings.node.name),
        Field::text("role", role),
        Field::text("version", env!("CARGO_PKG_VERSION")),
    ];
    record(LogEvent::NodeStarted, &fields);
}

/// Follows what the store tells, and passes it on.
async fn follow_updates(
    view: Arc<FleetView>,
    mut updates: mpsc::UnboundedReceiver<FleetUpdate>,
    further: Option<mpsc::UnboundedSender<FleetUpdate>>,
) {
    while let Some(update) = updates.recv().await {
        view.apply(&update);
        if let Some(further) = &further
            && further.send(update).is_err()
        {
            return;
        }
    }
}

/// Runs a gateway until it is told to stop.
///
/// # Errors
///
/// [`ProcessError`]: it can't start.
pub async fn run_gateway(
    settings: &ServingSettings,
    settings_path: &Path,
    adapter: &dyn PlatformAdapter,
    signals: ProcessSignals,
) -> Result<(), ProcessError> {
    let callers = settings.listen.callers.ok_or(ProcessError::Lacking { field: "listen.callers" })?;
    let readiness = settings.listen.readiness.ok_or(ProcessError::Lacking { field: "listen.readiness" })?;
    start_measures(settings)?;
    let common = common(settings, adapter);
    let id = fresh_identity();
    watch_metadata(id, &common, settings, adapter, None);
    let jobs = JobCalls {
        view: common.view.clone(),
        dialect: adapter.dialect(),
        client: LeaderClient::new(common.view.clone(), id),
    };
    let jobs = Arc::new(jobs);
    tokio::spawn(share_loads(common.view.clone(), jobs.clone(), id));
    let limits = Arc::new(RateLimits::new(common.view.clone(), &settings.node.name));
    tokio::spawn(share_limits(limits.clone(), jobs.clone()));
    let (stop, stopping) = watch::channel(StopPhase::Serving);
    let (alive, mut all_closed) = mpsc::channel(1);
    let server =
        Arc::new(CallerServer { workers: common.workers.clone(), jobs, limits, stop: stopping.clone(), alive });
    let caller_listener = listen(callers).context(SystemSnafu { what: "listening" })?;
    let readiness_listener = listen(readiness).context(SystemSnafu { what: "listening" })?;
    let accepting = tokio::spawn(server.run(caller_listener));
    let view = common.view.clone();
    let is_ready = move || *stopping.borrow() == StopPhase::Serving && view.configuration().is_some();
    tokio::spawn(serve_readiness(readiness_listener, is_ready));
    tokio::spawn(close_stale(common.workers.clone()));
    log_start(settings, "gateway");
    wait_for_stop(signals, settings_path).await;
    record(LogEvent::NodeStopping, &[]);
    // Callers hear first that the node leaves; connections that come meanwhile are served.
    let grace = Duration::from_secs_f64(settings.stop.grace_s).saturating_sub(GRACE_MARGIN);
    let leaving = LEAVING.min(grace / 2);
    let ends_at = tokio::time::Instant::now() + grace;
    let _ = stop.send(StopPhase::Leaving);
    tokio::time::sleep(leaving).await;
    accepting.abort();
    let _ = stop.send(StopPhase::Closing);
    // Every connection holds a sender; the channel ends with the last of them.
    let _ = tokio::time::timeout_at(ends_at, all_closed.recv()).await;
    record(LogEvent::NodeStopped, &[]);
    Ok(())
}

/// Runs a storing node until it is told to stop.
///
/// # Errors
///
/// [`ProcessError`]: it can't start, or its disk failed.
pub async fn run_storage(
    settings: &ServingSettings,
    settings_path: &Path,
    adapter: &dyn PlatformAdapter,
    signals: ProcessSignals,
) -> Result<(), ProcessError> {
    let folder = settings.node.data_folder.clone().ok_or(ProcessError::Lacking { field: "node.data_folder" })?;
    start_measures(settings)?;
    let common = common(settings, adapter);
    let owner = FolderOwner {
        peer_address: settings.peer_address().to_string(),
        adopt: false,
        fresh_identity: fresh_identity(),
    };
    let is_readable = |state: &[u8]| JobTable::decode(state).is_some();
    let mut opened = ReplicaFolder::open(&folder, &owner, is_readable).context(DiskSnafu)?;
    if opened.formatted {
        record(LogEvent::StoreFormatted, &[Field::text("node", opened.identity)]);
    }
    let log = opened.take(JOBS_GROUP).context(DiskSnafu)?;
    let persisted = log.contents().clone();
    let id = opened.identity;
    let now = common.view.clock.now();
    let node =
        JobsNode::new(id, ReplicaSettings::default(), persisted, now, draw()).ok_or(ProcessError::UnreadableTable)?;
    let (results, writes) = mpsc::unbounded_channel();
    let disk = DiskWriter::start(log, JOBS_GROUP, results).context(SystemSnafu { what: "the disk's thread" })?;
    let (peer_events, peers) = mpsc::channel(PEER_EVENTS);
    tokio::spawn(accept_peers(
        listen(settings.peer_address()).context(SystemSnafu { what: "listening" })?,
        peer_events,
        common.metadata.clone(),
    ));
    let (further, service_updates) = mpsc::unbounded_channel();
    watch_metadata(id, &common, settings, adapter, Some(further));
    let own = StorageRecord {
        name: Arc::from(settings.node.name.as_str()),
        node: id,
        address: settings.peer_address(),
        zone: Arc::from(settings.node.zone.as_str()),
    };
    tokio::spawn(registration::register(adapter.metadata(), own));
    let (founders, founding) = mpsc::unbounded_channel();
    tokio::spawn(registration::found(
        common.view.clone(),
        adapter.metadata(),
        id,
        settings.tolerance.replicas(),
        founders,
    ));
    let (stop, stopping) = watch::channel(false);
    let parts = StorageParts {
        node,
        id,
        tolerated: settings.tolerance.replicas(),
        workers: common.workers,
        metadata: adapter.metadata(),
        disk,
        budget: DiskBudget::new(settings.jobs.disk_bytes()),
        results_kept: settings.jobs.results_kept(),
    };
    let inputs = StorageInputs { peers, writes, updates: service_updates, founding, stop: stopping };
    log_start(settings, "storage");
    let service = StorageService::run(parts, inputs);
    tokio::pin!(service);
    tokio::select! {
        ended = service.as_mut() => return ended.context(DiskSnafu),
        () = wait_for_stop(signals, settings_path) => {}
    }
    record(LogEvent::NodeStopping, &[]);
    let _ = stop.send(true);
    if let Ok(ended) = tokio::time::timeout(HAND_OVER, service).await {
        ended.context(DiskSnafu)?;
    }
    record(LogEvent::NodeStopped, &[]);
    Ok(())
}

async fn close_stale(workers: Arc<WorkerClient>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(500));
    loop {
        ticks.tick().await;
        workers.connections.close_stale();
    }
}

/// Waits for the signal to stop, and reads the settings again at each signal to reload.
async fn wait_for_stop(mut signals: ProcessSignals, settings_path: &Path) {
    while signals.next().await == SignalRequest::Reload {
        reload_settings(settings_path);
    }
}

/// Takes what may change while the process runs. Settings that can't be used change nothing.
fn reload_settings(settings_path: &Path) {
    match ServingSettings::read(settings_path) {
        Ok(settings) => {
            log::set_max_level(settings.log.level);
            record(LogEvent::SettingsReloaded, &[Field::flag("taken", true)]);
        }
        Err(error) => {
            record(LogEvent::SettingsReloaded, &[Field::flag("taken", false), Field::text("detail", error)]);
        }
    }
}
