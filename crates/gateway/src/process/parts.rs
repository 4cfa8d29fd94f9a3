//! The parts that both kinds of process have: the view of the fleet, the way to workers, the figures.

use std::net::SocketAddr;
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use snafu::ResultExt;
use stallmoor_core::identity::NodeId;
use stallmoor_core::log_event::LogEvent;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use super::settings::ServingSettings;
use super::{ProcessError, SystemSnafu};
use crate::adapter::PlatformAdapter;
use crate::adapter::metadata::FleetUpdate;
use crate::clock::NodeClock;
use crate::fleet::crash_reports::report_crashes;
use crate::fleet::fleet_view::FleetView;
use crate::fleet::metadata_view::MetadataView;
use crate::fleet::metadata_watch::MetadataWatch;
use crate::observe::journal::{Field, record};
use crate::observe::measures;
use crate::sockets::listen;
use crate::workers::attempt::WorkerClient;
use crate::workers::connections::ConnectionPool;
use crate::workers::permits::PermitRequests;

/// What a node knows of the fleet, and its way to workers.
pub(super) struct NodeComponents {
    /// The configuration in force, the workers, the storing nodes.
    pub(super) view: Arc<FleetView>,
    /// The metadata store's contents, which other nodes may ask for.
    pub(super) metadata: Arc<MetadataView>,
    /// The way to workers.
    pub(super) workers: Arc<WorkerClient>,
}

impl NodeComponents {
    /// The parts of a node that knows nothing yet.
    pub(super) fn new(settings: &ServingSettings, adapter: &dyn PlatformAdapter) -> Self {
        let zone = Arc::from(settings.node.zone.as_str());
        let view = Arc::new(FleetView::new(NodeClock::start(), zone, random_u64()).with_regions(settings.regions()));
        let metadata = Arc::new(MetadataView::new(view.clock, settings.metadata.watch_bounds()));
        let connections = Arc::new(ConnectionPool::new(view.clock));
        let permits = Arc::new(PermitRequests::default());
        let workers = Arc::new(WorkerClient { view: view.clone(), dialect: adapter.dialect(), connections, permits });
        Self { view, metadata, workers }
    }

    /// Starts to follow the metadata store, and to apply each update. Each goes to `further` too.
    pub(super) fn follow_metadata(
        &self,
        id: NodeId,
        settings: &ServingSettings,
        adapter: &dyn PlatformAdapter,
        further: Option<mpsc::UnboundedSender<FleetUpdate>>,
    ) {
        // Not bounded: updates are applied in memory, so no more wait than one answer of the store or a relay has.
        let (updates, received) = mpsc::unbounded_channel();
        let (fleet, view) = (self.view.clone(), self.metadata.clone());
        let bounds = settings.metadata.watch_bounds();
        let watch = MetadataWatch::new(id, adapter.metadata(), fleet, view, bounds, updates);
        tokio::spawn(watch.run());
        tokio::spawn(report_crashes(self.view.clone(), adapter.metadata(), settings.node.name.clone()));
        tokio::spawn(apply_updates(self.view.clone(), received, further));
    }
}

/// Applies updates of the fleet, and passes them on.
async fn apply_updates(
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

/// Serves figures where the settings name a port for them.
pub(super) fn start_metrics(settings: &ServingSettings) -> Result<(), ProcessError> {
    if let Some(address) = settings.metrics_address() {
        measures::start();
        tokio::spawn(measures::serve(open_listener(address)?));
    }
    Ok(())
}

/// A listener on an address of the settings.
pub(super) fn open_listener(address: SocketAddr) -> Result<TcpListener, ProcessError> {
    listen(address).context(SystemSnafu { what: "listening" })
}

/// A number from the system's source of randomness.
pub(super) fn random_u64() -> u64 {
    Xoshiro256PlusPlus::from_os_rng().random()
}

/// An identity that no other node has; 0 stands for none on the wire.
pub(super) fn new_node_id() -> NodeId {
    NodeId(random_u64().max(1))
}

/// Logs that the node is up.
pub(super) fn log_start(settings: &ServingSettings, role: &str) {
    let fields = [
        Field::text("machine", &settings.node.name),
        Field::text("role", role),
        Field::text("version", env!("CARGO_PKG_VERSION")),
    ];
    record(LogEvent::NodeStarted, &fields);
}
