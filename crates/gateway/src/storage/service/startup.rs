//! What the service is made of, and the channels that feed it.

use std::sync::Arc;

use stallmoor_core::identity::NodeId;
use stallmoor_core::replication::GroupMembership;
use stallmoor_core::serving::jobs::disk_budget::DiskBudget;
use stallmoor_core::serving::jobs::members::MembershipPlanner;
use stallmoor_core::serving::jobs::node::JobsNode;
use stallmoor_core::serving::jobs::pair::StoredPair;
use stallmoor_core::serving::jobs::retention::Retention;
use stallmoor_core::serving::quota::coordinator::RateCoordinator;
use stallmoor_core::serving::workers::LoadReport;
use stallmoor_core::serving::workers::permit_grants::PermitGrants;
use stallmoor_core::time::Millis;
use tokio::sync::{mpsc, watch};

use super::StorageService;
use super::answers::PendingAnswers;
use super::item_runner::{ItemRunner, RunReport};
use super::joins::JoinRequests;
use super::load_exchange::LoadExchange;
use super::membership::Membership;
use super::replica_driver::ReplicaDriver;
use crate::adapter::metadata::{FleetUpdate, MetadataStore};
use crate::leader::client::LeaderClient;
use crate::storage::disk_writer::{DiskWriter, WriteResult};
use crate::storage::peer_listener::PeerEvent;
use crate::workers::attempt::WorkerClient;

/// What the service is made of.
pub struct StorageParts {
    /// The replica.
    pub node: JobsNode,
    /// The node's identity.
    pub id: NodeId,
    /// Losses of disks that must be borne at once.
    pub tolerated: usize,
    /// The way to workers, and what is known of the fleet.
    pub workers: Arc<WorkerClient>,
    /// The metadata store's writes.
    pub metadata: Arc<dyn MetadataStore>,
    /// The disk.
    pub disk: DiskWriter,
    /// How much of the disk may be used.
    pub budget: DiskBudget,
    /// How long results are kept, from the submission on.
    pub results_kept: Millis,
}

/// The ends of the channels that feed the service.
pub struct StorageInputs {
    /// From other nodes.
    pub peers: mpsc::Receiver<PeerEvent>,
    /// From the disk. Without a bound, as each write reports once, and writes are bounded as the replica's effects are.
    pub writes: mpsc::UnboundedReceiver<WriteResult>,
    /// From the metadata store. Without a bound, so that the watch never waits for this task: one message
    /// for each change of a record.
    pub updates: mpsc::UnboundedReceiver<FleetUpdate>,
    /// The founding membership, once it is known. One message ever.
    pub founding: mpsc::UnboundedReceiver<GroupMembership>,
    /// The planned stop.
    pub stop: watch::Receiver<bool>,
}

/// What tasks that the service started hand back. Without bounds, as the tasks themselves are bounded: see the parts
/// that start them.
pub(super) struct TaskResults {
    pub(super) runs: mpsc::UnboundedReceiver<RunReport>,
    pub(super) pairs: mpsc::UnboundedReceiver<Option<StoredPair>>,
    pub(super) loads: mpsc::UnboundedReceiver<Option<LoadReport>>,
}

/// The service, and what its tasks hand back to it.
pub(super) struct StartedService {
    pub(super) service: StorageService,
    pub(super) results: TaskResults,
}

impl StartedService {
    pub(super) fn new(parts: StorageParts) -> Self {
        let (reports, runs) = mpsc::unbounded_channel();
        let (pair_reads, pairs) = mpsc::unbounded_channel();
        let (leader_answers, loads) = mpsc::unbounded_channel();
        let StorageParts { node, id, tolerated, workers, metadata, disk, budget, results_kept } = parts;
        let view = workers.view.clone();
        let now = view.clock.now();
        let members = MembershipPlanner::new(id, tolerated, now);
        let client = Arc::new(LeaderClient::new(view.clone(), id));
        let service = StorageService {
            replica: ReplicaDriver::new(node, id, disk, budget, view.clone()),
            answers: PendingAnswers::default(),
            items: ItemRunner::new(workers.clone(), reports, now),
            membership: Membership::new(id, members, metadata, pair_reads),
            joins: JoinRequests::new(client.clone()),
            loads: LoadExchange::new(view, client, leader_answers),
            quotas: RateCoordinator::default(),
            permits: PermitGrants::default(),
            retention: Retention::new(results_kept, now),
            leads: false,
            workers,
        };
        Self { service, results: TaskResults { runs, pairs, loads } }
    }
}
