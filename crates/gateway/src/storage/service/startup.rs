//! Construction of the storage service and its input channels.

use std::net::SocketAddr;
use std::sync::Arc;

use stallmoor_core::identity::NodeId;
use stallmoor_core::replication::{GroupMembership, Snapshot};
use stallmoor_core::serving::jobs::disk_budget::DiskBudget;
use stallmoor_core::serving::jobs::members::MembershipPlanner;
use stallmoor_core::serving::jobs::node::JobsNode;
use stallmoor_core::serving::jobs::pair::StoredPair;
use stallmoor_core::serving::jobs::retention::Retention;
use stallmoor_core::serving::quota::coordinator::RateCoordinator;
use stallmoor_core::serving::workers::LoadReport;
use stallmoor_core::serving::workers::outcome_report::OutcomeReport;
use stallmoor_core::serving::workers::permit_grants::PermitGrants;
use stallmoor_core::time::Millis;
use tokio::sync::{mpsc, watch};

use super::StorageService;
use super::answers::PendingAnswers;
use super::item_runner::{ItemRunner, RunReport};
use super::joins::JoinRequests;
use super::load_exchange::LoadExchange;
use super::membership::{Membership, OwnRecord};
use super::outcome_exchange::OutcomeExchange;
use super::replica_driver::ReplicaDriver;
use super::stalls::StallReports;
use super::step_times::StepTimes;
use crate::adapter::metadata::{FleetUpdate, MetadataStore};
use crate::fleet::metadata_view::MetadataView;
use crate::leader::client::LeaderClient;
use crate::peers::peer_link::PeerLinks;
use crate::storage::disk_writer::{DiskWriter, WriteResult};
use crate::storage::peer_listener::PeerEvent;
use crate::workers::attempt::WorkerClient;

/// Components from which the service is built.
pub struct StorageComponents {
    /// Replica of the job table.
    pub node: JobsNode,
    /// Identity of this node.
    pub id: NodeId,
    /// This node's record in the metadata store.
    pub own_record: OwnRecord,
    /// Number of replicas whose simultaneous loss must be tolerated.
    pub tolerated_losses: usize,
    /// Client for workers, which also provides the view of the fleet.
    pub workers: Arc<WorkerClient>,
    /// This node's view of the metadata store.
    pub metadata_view: Arc<MetadataView>,
    /// Client for writes to the metadata store.
    pub metadata: Arc<dyn MetadataStore>,
    /// Handle of the disk thread.
    pub disk: DiskWriter,
    /// Limit on the disk space used.
    pub budget: DiskBudget,
    /// Retention period of results, counted from the submission of their job.
    pub results_kept: Millis,
}

/// Receivers of the service's input channels.
pub struct StorageInputs {
    /// Messages of other nodes.
    pub peers: mpsc::Receiver<PeerEvent>,
    /// Outcomes of writes. Unbounded: each write is reported at most once, and the replica's effects bound the writes.
    pub writes: mpsc::UnboundedReceiver<WriteResult>,
    /// Updates of the metadata store, one message per changed record. Unbounded so that the watch never blocks on the
    /// service.
    pub updates: mpsc::UnboundedReceiver<FleetUpdate>,
    /// The initial membership, sent once when it is known.
    pub initial_membership: mpsc::UnboundedReceiver<GroupMembership>,
    /// Set to true to start a graceful shutdown.
    pub stop: watch::Receiver<bool>,
}

/// Receivers for the results of tasks that the service spawns. Unbounded: the components that spawn the tasks limit
/// their number.
pub(super) struct TaskResults {
    pub(super) runs: mpsc::UnboundedReceiver<RunReport>,
    pub(super) pairs: mpsc::UnboundedReceiver<Option<StoredPair>>,
    pub(super) loads: mpsc::UnboundedReceiver<Option<LoadReport>>,
    pub(super) outcomes: mpsc::UnboundedReceiver<Option<OutcomeReport>>,
    pub(super) ended_peers: mpsc::UnboundedReceiver<SocketAddr>,
    pub(super) snapshots: mpsc::UnboundedReceiver<Snapshot>,
}

/// The service and the results of its tasks.
pub(super) struct StartedService {
    pub(super) service: StorageService,
    pub(super) results: TaskResults,
}

impl StartedService {
    pub(super) fn new(components: StorageComponents) -> Self {
        let (reports, runs) = mpsc::unbounded_channel();
        let (pair_reads, pairs) = mpsc::unbounded_channel();
        let (leader_answers, loads) = mpsc::unbounded_channel();
        let (leader_outcomes, outcomes) = mpsc::unbounded_channel();
        let (ended, ended_peers) = mpsc::unbounded_channel();
        let (encoded, snapshots) = mpsc::unbounded_channel();
        let StorageComponents {
            node,
            id,
            own_record,
            tolerated_losses,
            workers,
            metadata_view,
            metadata,
            disk,
            budget,
            results_kept,
        } = components;
        let view = workers.view.clone();
        let now = view.clock.now();
        let planner = MembershipPlanner::new(id, tolerated_losses, now);
        let client = Arc::new(LeaderClient::new(view.clone(), id));
        let service = StorageService {
            replica: ReplicaDriver::new(
                node,
                PeerLinks::new(id).reporting_ended_peers(ended),
                disk,
                budget,
                view.clone(),
                encoded,
            ),
            answers: PendingAnswers::default(),
            items: ItemRunner::new(workers.clone(), metadata_view, reports, now),
            membership: Membership::new(id, planner, metadata, pair_reads, own_record),
            joins: JoinRequests::new(client.clone()),
            loads: LoadExchange::new(view.clone(), client.clone(), leader_answers),
            outcomes: OutcomeExchange::new(view, id, client, leader_outcomes),
            quotas: RateCoordinator::default(),
            permits: PermitGrants::default(),
            retention: Retention::new(results_kept, now),
            steps: StepTimes::new(now),
            stalls: StallReports::default(),
            is_leader: false,
            workers,
        };
        Self { service, results: TaskResults { runs, pairs, loads, outcomes, ended_peers, snapshots } }
    }
}
