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
use stallmoor_core::time::Timestamp;
use stallmoor_storage::{FolderOwner, ReplicaFolder, ReplicaLog};
use tokio::sync::{mpsc, watch};

use super::parts::{NodeComponents, log_node_start, new_node_id, open_listener, random_u64, start_metrics};
use super::reload::wait_for_stop;
use super::settings::ServingSettings;
use super::signals::ProcessSignals;
use super::{DiskSnafu, ProcessError, SystemSnafu};
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
    let folder =
        settings.node.data_folder.as_deref().ok_or(ProcessError::MissingSetting { field: "node.data_folder" })?;
    start_metrics(settings)?;
    let clock = NodeClock::start();
    let replica = OpenReplica::open(folder, settings, clock.now())?;
    let components = NodeComponents::new(settings, adapter, clock, replica.id);
    let (stop, stopping) = watch::channel(false);
    let service = start_service(replica, folder, components, settings, adapter, stopping)?;
    log_node_start(settings, "storage");
    let service = StorageService::run(service.components, service.inputs);
    tokio::pin!(service);
    tokio::select! {
        ended = service.as_mut() => return ended.context(DiskSnafu),
        () = wait_for_stop(signals, settings_path) => {}
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

/// This node's replica of the job table, loaded from disk.
struct OpenReplica {
    id: NodeId,
    node: JobsNode,
    log: ReplicaLog,
}

impl OpenReplica {
    /// Opens the data folder, or formats it if it is empty.
    fn open(folder: &Path, settings: &ServingSettings, now: Timestamp) -> Result<Self, ProcessError> {
        let owner = FolderOwner {
            peer_address: settings.peer_address().to_string(),
            adopt: false,
            new_identity: new_node_id(),
        };
        let is_readable = |state: &[u8]| JobTable::decode(state).is_some();
        let mut opened = ReplicaFolder::open(folder, &owner, is_readable).context(DiskSnafu)?;
        if opened.formatted {
            record(LogEvent::StoreFormatted, &[Field::text("node", opened.identity)]);
        }
        let log = opened.take(JOBS_GROUP).context(DiskSnafu)?;
        let (id, persisted) = (opened.identity, log.contents().clone());
        let node = JobsNode::new(id, replica_settings(), persisted, now, random_u64());
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
    replica: OpenReplica,
    folder: &Path,
    components: NodeComponents,
    settings: &ServingSettings,
    adapter: &dyn PlatformAdapter,
    stop: watch::Receiver<bool>,
) -> Result<ServiceSetup, ProcessError> {
    let OpenReplica { id, node, log } = replica;
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
    tokio::spawn(accept_peers(open_listener(settings.peer_address())?, answerers));
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
