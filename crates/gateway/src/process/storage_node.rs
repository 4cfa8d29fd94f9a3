//! A storing node's start and planned stop.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use snafu::ResultExt;
use stallmoor_core::identity::NodeId;
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::replication::ReplicaSettings;
use stallmoor_core::serving::jobs::directory::StorageRecord;
use stallmoor_core::serving::jobs::disk_budget::DiskBudget;
use stallmoor_core::serving::jobs::node::JobsNode;
use stallmoor_core::serving::jobs::table::JobTable;
use stallmoor_core::serving::stopping::LEADERSHIP_TRANSFER_TIMEOUT;
use stallmoor_core::time::Timestamp;
use stallmoor_storage::{FolderOwner, ReplicaFolder, ReplicaLog};
use tokio::sync::{mpsc, watch};

use super::parts::{NodeComponents, log_start, new_node_id, open_listener, random_u64, start_metrics};
use super::reload::wait_for_stop;
use super::settings::ServingSettings;
use super::signals::ProcessSignals;
use super::{DiskSnafu, ProcessError, SystemSnafu};
use crate::adapter::PlatformAdapter;
use crate::observe::journal::{Field, record};
use crate::peers::peer_link::JOBS_GROUP;
use crate::storage::disk_writer::DiskWriter;
use crate::storage::peer_listener::accept_peers;
use crate::storage::registration;
use crate::storage::service::{StorageInputs, StorageParts, StorageService};

/// Messages of peers that wait for the service: bounds memory. Further ones wait in their connections.
const PEER_EVENTS: usize = 4_096;

/// Runs a storing node until it gets the signal to stop.
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
    let folder = settings.node.data_folder.as_deref().ok_or(ProcessError::Lacking { field: "node.data_folder" })?;
    start_metrics(settings)?;
    let parts = NodeComponents::new(settings, adapter);
    let replica = OpenReplica::open(folder, settings, parts.view.clock.now())?;
    let (stop, stopping) = watch::channel(false);
    let service = start_service(replica, parts, settings, adapter, stopping)?;
    log_start(settings, "storage");
    let service = StorageService::run(service.parts, service.inputs);
    tokio::pin!(service);
    tokio::select! {
        ended = service.as_mut() => return ended.context(DiskSnafu),
        () = wait_for_stop(signals, settings_path) => {}
    }
    record(LogEvent::NodeStopping, &[]);
    // The service holds the receiver until it ends.
    let _ = stop.send(true);
    if let Ok(ended) = tokio::time::timeout(Duration::from_millis(LEADERSHIP_TRANSFER_TIMEOUT.0), service).await {
        ended.context(DiskSnafu)?;
    }
    record(LogEvent::NodeStopped, &[]);
    Ok(())
}

/// This node's replica of the job table, as its disk holds it.
struct OpenReplica {
    id: NodeId,
    node: JobsNode,
    log: ReplicaLog,
}

impl OpenReplica {
    /// Reads the folder, or formats it if it is blank.
    fn open(folder: &Path, settings: &ServingSettings, now: Timestamp) -> Result<Self, ProcessError> {
        let owner = FolderOwner {
            peer_address: settings.peer_address().to_string(),
            adopt: false,
            fresh_identity: new_node_id(),
        };
        let is_readable = |state: &[u8]| JobTable::decode(state).is_some();
        let mut opened = ReplicaFolder::open(folder, &owner, is_readable).context(DiskSnafu)?;
        if opened.formatted {
            record(LogEvent::StoreFormatted, &[Field::text("node", opened.identity)]);
        }
        let log = opened.take(JOBS_GROUP).context(DiskSnafu)?;
        let (id, persisted) = (opened.identity, log.contents().clone());
        let node = JobsNode::new(id, ReplicaSettings::default(), persisted, now, random_u64());
        Ok(Self { id, node: node.ok_or(ProcessError::UnreadableTable)?, log })
    }
}

/// What the service is made of.
struct ServiceStart {
    parts: StorageParts,
    inputs: StorageInputs,
}

/// Starts the tasks that the service gets its inputs from.
fn start_service(
    replica: OpenReplica,
    parts: NodeComponents,
    settings: &ServingSettings,
    adapter: &dyn PlatformAdapter,
    stop: watch::Receiver<bool>,
) -> Result<ServiceStart, ProcessError> {
    let OpenReplica { id, node, log } = replica;
    // Not bounded: the disk's thread reports once for each of the service's own writes at most.
    let (results, writes) = mpsc::unbounded_channel();
    let disk = DiskWriter::start(log, JOBS_GROUP, results).context(SystemSnafu { what: "the disk's thread" })?;
    let (peer_events, peers) = mpsc::channel(PEER_EVENTS);
    tokio::spawn(accept_peers(open_listener(settings.peer_address())?, peer_events, parts.metadata.clone()));
    // Not bounded: no more wait than the store's changes since the service last took one, a few a second.
    let (further, updates) = mpsc::unbounded_channel();
    parts.follow_metadata(id, settings, adapter, Some(further));
    tokio::spawn(registration::register(adapter.metadata(), own_record(settings, id)));
    let tolerated = settings.tolerance.replicas();
    // Not bounded: one message is sent in all.
    let (founders, founding) = mpsc::unbounded_channel();
    tokio::spawn(registration::bootstrap_group(parts.view.clone(), adapter.metadata(), id, tolerated, founders));
    let parts = StorageParts {
        node,
        id,
        tolerated,
        workers: parts.workers,
        metadata: adapter.metadata(),
        disk,
        budget: DiskBudget::new(settings.jobs.disk_bytes()),
        results_kept: settings.jobs.results_kept(),
    };
    Ok(ServiceStart { parts, inputs: StorageInputs { peers, writes, updates, founding, stop } })
}

/// This node's record in the metadata store.
fn own_record(settings: &ServingSettings, id: NodeId) -> StorageRecord {
    StorageRecord {
        name: Arc::from(settings.node.name.as_str()),
        node: id,
        address: settings.peer_address(),
        zone: Arc::from(settings.node.zone.as_str()),
    }
}
