//! Components common to gateways and storage nodes: the fleet view, the worker client, the metrics endpoint.

use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stallmoor_core::identity::NodeId;
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::time::Millis;
use tokio::sync::mpsc;

use super::ProcessError;
use super::held::open_listener;
use super::settings::ServingSettings;
use crate::adapter::PlatformAdapter;
use crate::adapter::metadata::FleetUpdate;
use crate::clock::NodeClock;
use crate::fleet::crash_reports::report_crashes;
use crate::fleet::fleet_view::FleetView;
use crate::fleet::metadata_view::MetadataView;
use crate::fleet::metadata_watch::MetadataWatch;
use crate::observe::journal::{Field, record};
use crate::observe::measures;
use crate::streams::StreamOrigins;
use crate::workers::attempt::WorkerClient;
use crate::workers::connections::ConnectionPool;
use crate::workers::permits::PermitRequests;
use crate::workers::suspicion::review_periodically;

/// Number of heartbeats without which the record of a worker is removed from the metadata store.
const HEARTBEATS_TO_LAPSE: u64 = 3;

/// Fleet view and worker client of a node.
pub(super) struct NodeComponents {
    /// View of the active configuration, the workers and the storage nodes.
    pub(super) view: Arc<FleetView>,
    /// Contents of the metadata store, served to other nodes on request.
    pub(super) metadata: Arc<MetadataView>,
    /// Client for sending requests to workers.
    pub(super) workers: Arc<WorkerClient>,
}

impl NodeComponents {
    /// Creates the components of the node `id` with an empty fleet view.
    pub(super) fn new(settings: &ServingSettings, adapter: &dyn PlatformAdapter, clock: NodeClock, id: NodeId) -> Self {
        let zone = Arc::from(settings.node.zone.as_str());
        let bounds = settings.metadata.watch_bounds();
        let view = FleetView::new(clock, zone, random_u64())
            .with_regions(settings.regions())
            .with_record_lapse(Millis(HEARTBEATS_TO_LAPSE * bounds.heartbeat.0));
        let view = Arc::new(view);
        let metadata = Arc::new(MetadataView::new(view.clock, bounds));
        let connections = Arc::new(ConnectionPool::new(view.clock));
        let permits = Arc::new(PermitRequests::default());
        let origins = Arc::new(StreamOrigins::new(view.clone(), metadata.clone(), id));
        let dialect = adapter.dialect();
        let answers = settings.answers.bounds();
        let workers = Arc::new(WorkerClient { view: view.clone(), dialect, connections, permits, origins, answers });
        Self { view, metadata, workers }
    }

    /// Starts watching the metadata store and applying its updates. Each update is also forwarded to `subscriber`. `kept` are
    /// the keys whose values of a former process are in use.
    pub(super) fn follow_metadata(
        &self,
        id: NodeId,
        settings: &ServingSettings,
        adapter: &dyn PlatformAdapter,
        subscriber: Option<mpsc::UnboundedSender<FleetUpdate>>,
        kept: Vec<Arc<str>>,
    ) {
        // Unbounded: updates are applied in memory, so at most those of one answer of the store or a relay are queued.
        let (updates, received) = mpsc::unbounded_channel();
        let (fleet, view) = (self.view.clone(), self.metadata.clone());
        let bounds = settings.metadata.watch_bounds();
        let watch = MetadataWatch::new(id, adapter.metadata(), fleet, view, bounds, updates);
        tokio::spawn(watch.replacing(kept).run());
        tokio::spawn(report_crashes(self.view.clone(), adapter.metadata(), settings.node.name.clone()));
        tokio::spawn(review_periodically(self.view.clone()));
        tokio::spawn(self.workers.origins.clone().share());
        tokio::spawn(apply_updates(self.view.clone(), received, subscriber));
    }
}

/// Applies updates to the fleet view and forwards them to `subscriber`.
async fn apply_updates(
    view: Arc<FleetView>,
    mut updates: mpsc::UnboundedReceiver<FleetUpdate>,
    subscriber: Option<mpsc::UnboundedSender<FleetUpdate>>,
) {
    while let Some(update) = updates.recv().await {
        view.apply(&update);
        if let Some(subscriber) = &subscriber
            && subscriber.send(update).is_err()
        {
            return;
        }
    }
}

/// Starts the metrics endpoint if the settings specify a port for it.
pub(super) async fn start_metrics(settings: &ServingSettings) -> Result<(), ProcessError> {
    if let Some(address) = settings.metrics_address() {
        measures::install_recorder();
        let listener = open_listener(address).await?;
        tokio::spawn(measures::serve(listener));
    }
    Ok(())
}

/// Returns a random number seeded from the operating system.
pub(super) fn random_u64() -> u64 {
    Xoshiro256PlusPlus::from_os_rng().random()
}

/// Returns a random node ID. 0 is excluded because it means "no node" on the wire.
pub(super) fn new_node_id() -> NodeId {
    NodeId(random_u64().max(1))
}

pub(super) fn log_node_start(settings: &ServingSettings, role: &str) {
    let fields = [
        Field::text("machine", &settings.node.name),
        Field::text("role", role),
        Field::text("version", env!("CARGO_PKG_VERSION")),
    ];
    record(LogEvent::NodeStarted, &fields);
}
