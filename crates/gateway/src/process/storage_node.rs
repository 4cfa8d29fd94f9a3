//! Startup and graceful shutdown of a storage node.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use snafu::ResultExt;
use stallmoor_core::identity::NodeId;
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::serving::jobs::directory::StorageRecord;
use stallmoor_core::serving::jobs::disk_budget::DiskBudget;
use stallmoor_core::serving::jobs::node::{JobsNode, replica_settings};
use stallmoor_core::serving::jobs::table::JobTable;
use stallmoor_core::serving::stopping::LEADERSHIP_TRANSFER_TIMEOUT;
use stallmoor_storage::{FolderOwner, ReplicaFolder, ReplicaLog, StorageError};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use super::held::{open_listener, open_when_free};
use super::parts::{NodeComponents, log_node_start, new_node_id, random_u64, start_metrics};
use super::reload::{unless_stopped, wait_for_stop};
use super::settings::ServingSettings;
use super::signals::ProcessSignals;
use super::{DiskSnafu, ProcessError, SystemSnafu, log_failure};
use crate::adapter::PlatformAdapter;
use crate::clock::NodeClock;
use crate::observe::journal::{Field, record};
use crate::peers::peer_link::JOBS_GROUP;
use crate::storage::disk_writer::DiskWriter;
use crate::storage::kept_view::{ViewKeeper, apply_kept};
use crate::storage::peer_listener::{PeerAnswerers, accept_peers};
use crate::storage::registration;
use crate::storage::service::{OwnRecord, StorageComponents, StorageInputs, StorageService};

/// Maximum number of queued peer messages. When the queue is full, further messages stay in their connections.
const PEER_EVENT_QUEUE_CAPACITY: usize = 4_096;

/// Runs a storage node until it receives a stop signal.
///
/// # Errors
///
/// Returns a [`ProcessError`] if the node can't start or its disk fails.
pub async fn run_storage(
    settings: &ServingSettings,
    settings_path: &Path,
    adapter: &dyn PlatformAdapter,
    signals: ProcessSignals,
) -> Result<(), ProcessError> {
    log_failure(serve(settings, settings_path, adapter, signals).await)
}

async fn serve(
    settings: &ServingSettings,
    settings_path: &Path,
    adapter: &dyn PlatformAdapter,
    mut signals: ProcessSignals,
) -> Result<(), ProcessError> {
    let folder =
        settings.node.data_folder.as_deref().ok_or(ProcessError::MissingSetting { field: "node.data_folder" })?;
    let clock = NodeClock::start();
    let opening = OpenNode::open(folder, settings, clock);
    let Some(node) = unless_stopped(&mut signals, settings_path, opening).await else { return Ok(()) };
    let node = node?;
    let components = NodeComponents::new(settings, adapter, clock, node.replica.id);
    let (stop, stopping) = watch::channel(false);
    let service = start_service(node, folder, components, settings, adapter, stopping)?;
    log_node_start(settings, "storage");
    let service = StorageService::run(service.components, service.inputs);
    tokio::pin!(service);
    tokio::select! {
        ended = service.as_mut() => return ended.context(DiskSnafu),
        () = wait_for_stop(&mut signals, settings_path) => {}
    }
    record(LogEvent::NodeStopping, &[]);
    // The service owns the receiver until it completes.
    let _ = stop.send(true);
    if let Ok(ended) = tokio::time::timeout(Duration::from_millis(LEADERSHIP_TRANSFER_TIMEOUT.0), service).await {
        ended.context(DiskSnafu)?;
    }
    record(LogEvent::NodeStopped, &[]);
    Ok(())
}

/// What a node opens before it starts.
struct OpenNode {
    peers: TcpListener,
    replica: OpenReplica,
}

impl OpenNode {
    /// Opens the peer address before the data folder: a former process that still writes to the folder holds the address.
    async fn open(folder: &Path, settings: &ServingSettings, clock: NodeClock) -> Result<Self, ProcessError> {
        start_metrics(settings).await?;
        let peers = open_listener(settings.peer_address()).await?;
        Ok(Self { peers, replica: OpenReplica::open(folder, settings, clock).await? })
    }
}

/// This node's replica of the job table, loaded from disk.
struct OpenReplica {
    id: NodeId,
    node: JobsNode,
    log: ReplicaLog,
}

impl OpenReplica {
    /// Opens the data folder, or formats it if it is empty. Waits while another process has it open.
    async fn open(folder: &Path, settings: &ServingSettings, clock: NodeClock) -> Result<Self, ProcessError> {
        let owner = FolderOwner {
            peer_address: settings.peer_address().to_string(),
            adopt: false,
            new_identity: new_node_id(),
        };
        let is_readable = |state: &[u8]| JobTable::decode(state).is_some();
        let open = || ReplicaFolder::open(folder, &owner, is_readable);
        let is_held = |error: &StorageError| matches!(error, StorageError::Locked { .. });
        let resource = format!("data folder {}", folder.display());
        let mut opened = open_when_free(resource, open, is_held).await.context(DiskSnafu)?;
        if opened.formatted {
            record(LogEvent::StoreFormatted, &[Field::text("node", opened.identity)]);
        }
        let log = opened.take(JOBS_GROUP).context(DiskSnafu)?;
        let (id, persisted) = (opened.identity, log.contents().clone());
        let node = JobsNode::new(id, replica_settings(), persisted, clock.now(), random_u64());
        Ok(Self { id, node: node.ok_or(ProcessError::UnreadableTable)?, log })
    }
}

/// Components and input channels of the service.
struct ServiceSetup {
    components: StorageComponents,
    inputs: StorageInputs,
}

/// Starts the tasks that feed the service.
fn start_service(
    node: OpenNode,
    folder: &Path,
    components: NodeComponents,
    settings: &ServingSettings,
    adapter: &dyn PlatformAdapter,
    stop: watch::Receiver<bool>,
) -> Result<ServiceSetup, ProcessError> {
    let OpenNode { peers: listener, replica: OpenReplica { id, node, log } } = node;
    // Unbounded: the disk thread sends at most one report for each write of the service.
    let (results, writes) = mpsc::unbounded_channel();
    let disk =
        DiskWriter::start(log, JOBS_GROUP, results).context(SystemSnafu { operation: "starting the disk thread" })?;
    let (peer_events, peers) = mpsc::channel(PEER_EVENT_QUEUE_CAPACITY);
    let answerers = PeerAnswerers {
        events: peer_events,
        metadata: components.metadata.clone(),
        origins: components.workers.origins.clone(),
    };
    tokio::spawn(accept_peers(listener, answerers));
    // Unbounded: the queue holds only the changes of the store since the service last received one, a few per second.
    let (update_sender, updates) = mpsc::unbounded_channel();
    let (view, store) = (components.view.clone(), adapter.metadata());
    let kept = apply_kept(folder, id, &*store, &view);
    components.follow_metadata(id, settings, adapter, Some(update_sender), kept);
    let keeper =
        ViewKeeper { folder: folder.to_owned(), node: id, fleet: view, view: components.metadata.clone(), store };
    tokio::spawn(keeper.run());
    let own_record = OwnRecord::new(&settings.node.name);
    let overwritten = own_record.overwritten.clone();
    tokio::spawn(registration::keep_registered(adapter.metadata(), local_record(settings, id), overwritten));
    let tolerated_losses = settings.tolerance.replicas();
    // Unbounded: only one message is ever sent.
    let (membership_sender, initial_membership) = mpsc::unbounded_channel();
    tokio::spawn(registration::bootstrap_group(
        components.view.clone(),
        adapter.metadata(),
        id,
        tolerated_losses,
        membership_sender,
    ));
    let components = StorageComponents {
        node,
        id,
        own_record,
        tolerated_losses,
        workers: components.workers,
        metadata_view: components.metadata,
        metadata: adapter.metadata(),
        disk,
        budget: DiskBudget::new(settings.jobs.disk_bytes()),
        results_kept: settings.jobs.results_kept(),
    };
    Ok(ServiceSetup { components, inputs: StorageInputs { peers, writes, updates, initial_membership, stop } })
}

/// Returns this node's record for the metadata store.
fn local_record(settings: &ServingSettings, id: NodeId) -> StorageRecord {
    StorageRecord {
        name: Arc::from(settings.node.name.as_str()),
        node: id,
        address: settings.peer_address(),
        zone: Arc::from(settings.node.zone.as_str()),
    }
}
