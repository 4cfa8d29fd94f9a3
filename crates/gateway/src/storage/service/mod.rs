//! A storing node at work: one replica of the job table, and the running of items while it leads.
//!
//! | module | owns |
//! |---|---|
//! | `gathering` | gathering the loads of a zone |
//! | `requests` | what other nodes ask of the leader |
//! | `running` | running items |
//! | `membership` | carrying out what is due of the membership |

mod gathering;
mod membership;
mod requests;
mod running;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use stallmoor_core::identity::NodeId;
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::peer_message::PeerMessage;
use stallmoor_core::replication::GroupMembership;
use stallmoor_core::serving::jobs::command::ItemKey;
use stallmoor_core::serving::jobs::disk_budget::DiskBudget;
use stallmoor_core::serving::jobs::dispatch::{Dispatcher, ItemPacing};
use stallmoor_core::serving::jobs::held_reads::HeldReads;
use stallmoor_core::serving::jobs::load_aggregator::LoadAggregator;
use stallmoor_core::serving::jobs::members::Members;
use stallmoor_core::serving::jobs::node::{JobsChange, JobsEffect, JobsNode, Waiter};
use stallmoor_core::serving::jobs::pair::StoredPair;
use stallmoor_core::serving::jobs::request::JobsRequest;
use stallmoor_core::serving::jobs::retention::Retention;
use stallmoor_core::serving::quota::coordinator::RateCoordinator;
use stallmoor_core::serving::workers::LoadReport;
use stallmoor_core::time::{Millis, Timestamp};
use tokio::sync::{mpsc, watch};

use crate::adapter::metadata::{FleetUpdate, MetadataStore};
use crate::leader::client::LeaderClient;
use crate::observe::journal::{Field, record};
use crate::observe::measures;
use crate::peers::peer_link::PeerLinks;
use crate::storage::disk_writer::{DiskWriter, WriteNumber, WriteResult, Written};
use crate::storage::peer_listener::{PeerEvent, Reply};
use crate::storage::registration::PAIR_KEY;
use crate::workers::attempt::WorkerClient;
use gathering::LeaderExchange;
use membership::read_pair;
use running::{ActiveRun, RunReport};

/// The time between two looks at the clock.
const TICK: Duration = Duration::from_millis(40);

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

/// A storing node at work.
pub struct StorageService {
    node: JobsNode,
    id: NodeId,
    workers: Arc<WorkerClient>,
    metadata: Arc<dyn MetadataStore>,
    disk: DiskWriter,
    budget: DiskBudget,
    retention: Retention,
    links: PeerLinks,
    /// Effects that wait for the disk, in order.
    queue: VecDeque<JobsEffect>,
    /// The write that the head of the queue waits for.
    awaited_write: Option<WriteNumber>,
    replies: HashMap<Waiter, Reply>,
    next_waiter: u64,
    reads: HeldReads,
    dispatcher: Dispatcher,
    load_aggregator: LoadAggregator,
    /// What tenants have left, while this node leads.
    quotas: RateCoordinator,
    /// The way to the leader, for a gatherer of a zone.
    leader_client: Arc<LeaderClient>,
    leader_exchange: LeaderExchange,
    leader_loads: mpsc::UnboundedSender<Option<LoadReport>>,
    running: BTreeMap<ItemKey, ActiveRun>,
    next_run: u64,
    leads: bool,
    pacing: ItemPacing,
    proposed: HashSet<ItemKey>,
    members: Members,
    founding: Option<GroupMembership>,
    reports: mpsc::UnboundedSender<RunReport>,
    pair_reads: mpsc::UnboundedSender<Option<StoredPair>>,
}

/// The ends of the channels that feed the service.
pub struct StorageInputs {
    /// From other nodes.
    pub peers: mpsc::Receiver<PeerEvent>,
    /// From the disk.
    pub writes: mpsc::UnboundedReceiver<WriteResult>,
    /// From the metadata store.
    pub updates: mpsc::UnboundedReceiver<FleetUpdate>,
    /// The founding membership, once it is known.
    pub founding: mpsc::UnboundedReceiver<GroupMembership>,
    /// The planned stop.
    pub stop: watch::Receiver<bool>,
}

impl StorageService {
    /// Runs until a planned stop is complete or the disk fails.
    ///
    /// # Errors
    ///
    /// The disk failed: nothing more may be acknowledged.
    pub async fn run(parts: StorageParts, mut inputs: StorageInputs) -> Result<(), stallmoor_storage::StorageError> {
        let (reports, mut run_reports) = mpsc::unbounded_channel();
        let (pair_reads, mut pairs) = mpsc::unbounded_channel();
        let (leader_loads, mut heard_loads) = mpsc::unbounded_channel();
        let leader_client = Arc::new(LeaderClient::new(parts.workers.view.clone(), parts.id));
        let now = parts.workers.view.clock.now();
        let mut service = Self {
            links: PeerLinks::new(parts.id),
            node: parts.node,
            id: parts.id,
            workers: parts.workers,
            metadata: parts.metadata,
            disk: parts.disk,
            budget: parts.budget,
            retention: Retention::new(parts.results_kept, now),
            queue: VecDeque::new(),
            awaited_write: None,
            replies: HashMap::new(),
            next_waiter: 0,
            reads: HeldReads::default(),
            dispatcher: Dispatcher::default(),
            load_aggregator: LoadAggregator::default(),
            quotas: RateCoordinator::default(),
            leader_client,
            leader_exchange: LeaderExchange::default(),
            leader_loads,
            running: BTreeMap::new(),
            next_run: 0,
            leads: false,
            pacing: ItemPacing::new(now),
            proposed: HashSet::new(),
            members: Members::new(parts.id, parts.tolerated, now),
            founding: None,
            reports,
            pair_reads,
        };
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(event) = inputs.peers.recv() => service.on_peer(event),
                Some(result) = inputs.writes.recv() => service.on_written(result?),
                Some(report) = run_reports.recv() => service.on_run_ended(report),
                Some(update) = inputs.updates.recv() => service.on_update(&update),
                Some(founding) = inputs.founding.recv() => service.founding = Some(founding),
                Some(read) = pairs.recv() => {
                    service.members.pair_written(read);
                }
                Some(loads) = heard_loads.recv() => service.on_leader_loads(loads),
                _ = ticks.tick() => service.tick(),
                Ok(()) = inputs.stop.changed() => {}
            }
            service.follow_leadership();
            if *inputs.stop.borrow() {
                if service.stop() {
                    return Ok(());
                }
            } else {
                service.dispatch();
            }
        }
    }

    fn now(&self) -> Timestamp {
        self.workers.view.clock.now()
    }

    // Effects, in order, each after the writes before it.

    fn take(&mut self, effects: Vec<JobsEffect>) {
        self.queue.extend(effects);
        self.advance();
    }

    fn advance(&mut self) {
        while self.awaited_write.is_none() {
            let Some(effect) = self.queue.pop_front() else { return };
            match effect {
                JobsEffect::Persist(write) => self.awaited_write = Some(self.disk.write(write)),
                JobsEffect::Send(message) => {
                    if let Some(address) = self.address_of(message.to) {
                        self.links.send(address, &PeerMessage::Replication(message));
                    }
                }
                JobsEffect::Restore(snapshot) => {
                    self.node.restore(&snapshot);
                    record(LogEvent::SnapshotInstalled, &[Field::number("index", snapshot.index.0)]);
                }
                JobsEffect::ApplyUpTo(index) => {
                    let now = self.now();
                    let changes = self.node.apply_up_to(index, now);
                    self.on_changes(changes);
                }
            }
        }
    }

    fn on_written(&mut self, written: Written) {
        self.budget.used(written.bytes);
        if self.awaited_write.is_some_and(|awaited| awaited <= written.number) {
            self.awaited_write = None;
            self.advance();
        }
    }

    fn address_of(&self, node: NodeId) -> Option<std::net::SocketAddr> {
        self.workers.view.storage().of_node(node).map(|record| record.address)
    }

    // Events.

    fn on_peer(&mut self, event: PeerEvent) {
        match event {
            PeerEvent::Replication(message) => {
                let now = self.now();
                self.members.heard(message.from, now);
                let effects = self.node.step(message, now);
                self.take(effects);
                let changes = self.node.release_answers(now);
                self.on_changes(changes);
            }
            PeerEvent::Request { from, request, reply } => self.on_request(from, request, reply),
        }
    }

    fn on_update(&mut self, update: &FleetUpdate) {
        match update {
            FleetUpdate::DrainMachine { machine } => {
                self.members.empty(machine.clone());
            }
            FleetUpdate::Item(item) if &*item.key == PAIR_KEY => self.members.pair_told(read_pair(item)),
            _ => {}
        }
    }

    fn on_changes(&mut self, changes: Vec<JobsChange>) {
        let mut reads_may_go_on = false;
        for change in changes {
            match change {
                JobsChange::Answer { waiter, answer } => {
                    if let Some(reply) = self.replies.remove(&waiter) {
                        let _ = reply.send(Ok(answer));
                    }
                }
                JobsChange::Accepted(key) => {
                    if let Some(job) = self.node.table().job(&key).filter(|_| self.leads) {
                        self.dispatcher.add_job(job);
                    }
                }
                JobsChange::Listed(key) => {
                    self.dispatcher.remove(&key);
                    self.proposed.remove(&key);
                    if let Some(running) = self.running.remove(&key) {
                        running.task.abort();
                    }
                    let listed = self.node.table().job(&key.job).and_then(|job| job.results.last());
                    let state = listed.map_or_else(String::new, |result| format!("{:?}", result.state));
                    let fields =
                        [Field::text("job", &key.job), Field::number("item", key.item), Field::text("state", state)];
                    record(LogEvent::ItemListed, &fields);
                    reads_may_go_on = true;
                }
                JobsChange::NotListed(key) => {
                    self.dispatcher.remove(&key);
                    self.proposed.remove(&key);
                    if let Some(job) = self.node.table().job(&key.job).filter(|_| self.leads) {
                        self.dispatcher.add_job(job);
                    }
                }
                JobsChange::Ended(job) => {
                    for key in self.dispatcher.remove_job(&job) {
                        if let Some(running) = self.running.remove(&key) {
                            running.task.abort();
                        }
                    }
                    record(LogEvent::JobCancelled, &[Field::text("job", &job)]);
                    reads_may_go_on = true;
                }
            }
        }
        if reads_may_go_on {
            self.answer_reads();
        }
    }

    // Time.

    fn tick(&mut self) {
        let now = self.now();
        let effects = self.node.tick(now);
        self.take(effects);
        let mut changes = self.node.release_answers(now);
        changes.extend(self.node.abandon_lost_proposals());
        self.on_changes(changes);
        self.answer_reads();
        self.found_if_due();
        self.request_join();
        self.keep_members();
        if self.leads {
            measures::open_items(self.dispatcher.open_count());
            self.quotas.tick(now);
            measures::exhausted_tenants(self.quotas.exhausted());
            let dead = self.load_aggregator.dead(now);
            self.workers.view.workers().eject_reported(dead.iter(), now);
            self.propose_results();
            self.propose_progress();
            self.forget();
        }
        self.workers.connections.close_stale();
    }

    fn found_if_due(&mut self) {
        let Some(founding) = self.founding.clone() else { return };
        if self.node.replica().log().last_index().0 == 0 && founding.voters.contains(&self.id) {
            record(LogEvent::GroupFounded, &[Field::text("members", format!("{founding:?}"))]);
            let effects = self.node.found(founding, self.now());
            self.take(effects);
        }
    }

    /// A node outside the membership asks all to join, so that the leader may take it in.
    fn request_join(&mut self) {
        let now = self.now();
        if !self.members.take_join_turn(self.node.replica(), now) {
            return;
        }
        let view = self.workers.view.clone();
        let others: Vec<_> =
            view.storage().records().filter(|record| record.node != self.id).map(|record| record.address).collect();
        for address in others {
            self.links.notify(address, JobsRequest::Join);
        }
    }

    fn follow_leadership(&mut self) {
        let now = self.now();
        let leads = self.node.may_answer(now) || (self.leads && self.node.replica().is_leader());
        if leads == self.leads {
            return;
        }
        self.leads = leads;
        measures::leads(leads);
        let term = self.node.replica().term().0;
        if leads {
            record(LogEvent::LeaderElected, &[Field::number("term", term)]);
            self.dispatcher.restart(self.node.table());
        } else {
            record(LogEvent::LeaderStoodDown, &[Field::number("term", term)]);
            self.dispatcher.clear();
        }
        // What the other kind of gatherer heard must not count twice.
        self.load_aggregator.clear();
        self.quotas.open(now);
        self.proposed.clear();
        for (_, running) in std::mem::take(&mut self.running) {
            running.task.abort();
        }
    }

    fn forget(&mut self) {
        let now = self.now();
        let Some(round) = self.retention.take_round(now, self.workers.view.clock.civil()) else { return };
        // A leader that can't propose now forgets with the next round.
        if let Ok(effects) = self.node.propose(&round, None, now) {
            self.take(effects);
        }
    }

    /// Begins or goes on with a planned stop. Returns whether the process may end.
    fn stop(&mut self) -> bool {
        if !self.node.replica().is_leader() {
            return self.queue.is_empty() && self.awaited_write.is_none();
        }
        if let Some(target) = self.members.successor(self.node.replica()) {
            let effects = self.node.transfer_leadership(target, self.now());
            self.take(effects);
        }
        false
    }
}
