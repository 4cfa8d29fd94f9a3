//! A storing node at work: one replica of the job table, and the running of items while it leads.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use stallmoor_core::gateway::workers::WorkerId;
use stallmoor_core::identity::NodeId;
use stallmoor_core::jobs::command::{ItemKey, JobCommand, JobKey};
use stallmoor_core::jobs::dispatch::{Dispatcher, PartialOutput, RunEnd};
use stallmoor_core::jobs::load_share::LoadShare;
use stallmoor_core::jobs::members::{EmptyingState, Members, MembersAction};
use stallmoor_core::jobs::node::{JobsChange, JobsEffect, JobsNode, NotProposed, Waiter};
use stallmoor_core::jobs::pair::{PairRecord, StoredPair};
use stallmoor_core::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::node::{GroupRefusal, PeerMessage};
use stallmoor_core::replication::GroupMembership;
use stallmoor_core::time::{Millis, Timestamp, UnixMillis};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::AbortHandle;

use crate::attempt::WorkerClient;
use crate::disk_writer::{DiskWriter, WriteNumber, WriteResult};
use crate::item_run::ItemRun;
use crate::journal::{Field, record};
use crate::metadata::{FleetUpdate, MetadataItem, MetadataStore, PutOutcome};
use crate::peer_link::PeerLinks;
use crate::registration::PAIR_KEY;
use crate::storage_server::{PeerEvent, Reply};

/// The time between two looks at the clock.
const TICK: Duration = Duration::from_millis(40);
/// The time between two greetings of a spare.
const GREETING_INTERVAL: Millis = Millis(400);
/// An item is given up this long after its submitter allows it, since clocks may be off.
const GIVE_UP_MARGIN: Millis = Millis(10_000);
/// Jobs that are over are remembered this long after they came.
const REMEMBERED: Millis = Millis(600_000);
/// The time between two rounds of forgetting.
const FORGET_INTERVAL: Millis = Millis(60_000);
/// The wait before an emptying is reported again.
const EMPTYING_RETRY: Duration = Duration::from_millis(250);
/// The wait before the pair's record is read after a write that did not succeed.
const PAIR_RETRY: Duration = Duration::from_millis(200);
/// Most bytes of text in one page of results.
const PAGE_BYTES: usize = 900_000;

/// A run that ended.
pub struct RunReport {
    key: ItemKey,
    run: u64,
    end: RunEnd,
    output: PartialOutput,
}

struct Running {
    run: u64,
    worker: WorkerId,
    task: AbortHandle,
    /// Asks the run to stop and hand back what it has.
    pause: Arc<Notify>,
    is_pausing: bool,
}

struct HeldRead {
    job: JobKey,
    first: u32,
    deadline: Timestamp,
    reply: Reply,
}

/// What the service is made of.
pub struct StorageParts {
    /// The replica.
    pub node: JobsNode,
    /// The node's identity.
    pub id: NodeId,
    /// The machine's name.
    pub machine: Arc<str>,
    /// The way to workers, and what is known of the fleet.
    pub workers: Arc<WorkerClient>,
    /// The metadata store's writes.
    pub metadata: Arc<dyn MetadataStore>,
    /// The disk.
    pub disk: DiskWriter,
}

/// A storing node at work.
pub struct StorageService {
    node: JobsNode,
    id: NodeId,
    workers: Arc<WorkerClient>,
    metadata: Arc<dyn MetadataStore>,
    disk: DiskWriter,
    links: PeerLinks,
    /// Effects that wait for the disk, in order.
    queue: VecDeque<JobsEffect>,
    /// The write that the head of the queue waits for.
    awaited_write: Option<WriteNumber>,
    replies: HashMap<Waiter, Reply>,
    next_waiter: u64,
    reads: Vec<HeldRead>,
    dispatcher: Dispatcher,
    load_share: LoadShare,
    running: BTreeMap<ItemKey, Running>,
    next_run: u64,
    leads: bool,
    proposed: HashSet<ItemKey>,
    members: Members,
    founding: Option<GroupMembership>,
    last_greeting: Timestamp,
    last_forget: Timestamp,
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
        let now = parts.workers.view.clock.now();
        let mut service = Self {
            links: PeerLinks::new(parts.id),
            node: parts.node,
            id: parts.id,
            workers: parts.workers,
            metadata: parts.metadata,
            disk: parts.disk,
            queue: VecDeque::new(),
            awaited_write: None,
            replies: HashMap::new(),
            next_waiter: 0,
            reads: Vec::new(),
            dispatcher: Dispatcher::default(),
            load_share: LoadShare::default(),
            running: BTreeMap::new(),
            next_run: 0,
            leads: false,
            proposed: HashSet::new(),
            members: Members::new(parts.id, now),
            founding: None,
            last_greeting: now,
            last_forget: now,
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

    fn on_written(&mut self, number: WriteNumber) {
        if self.awaited_write.is_some_and(|awaited| awaited <= number) {
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
            FleetUpdate::EmptyMachine { machine } => {
                self.members.empty(machine.clone());
            }
            FleetUpdate::Item(item) if &*item.key == PAIR_KEY => self.members.pair_told(read_pair(item)),
            _ => {}
        }
    }

    fn on_request(&mut self, from: NodeId, request: JobsRequest, reply: Reply) {
        let now = self.now();
        match request {
            JobsRequest::Greet => {
                self.members.heard(from, now);
                let _ = reply.send(Ok(JobsAnswer::Accepted));
            }
            JobsRequest::ShareLoad(loads) if self.leads => {
                self.load_share.tell(from, loads, now);
                let batch = self.workers.view.workers().own_loads();
                let totals = self.load_share.without(Some(from), &batch, now);
                let online = self.load_share.without(None, &[], now);
                self.workers.view.workers().set_shared_loads(&online, now);
                let _ = reply.send(Ok(JobsAnswer::Loads(totals)));
                self.yield_to_online(now);
            }
            _ if !self.node.may_answer(now) => {
                let _ = reply.send(Err(self.refusal()));
            }
            JobsRequest::ShareLoad(_) => {
                let _ = reply.send(Err(self.refusal()));
            }
            JobsRequest::Submit(submission) => {
                let waiter = self.wait(reply);
                let proposed = self.node.submit(submission, waiter, now);
                self.on_proposed(waiter, proposed);
            }
            JobsRequest::End { job } => {
                let waiter = self.wait(reply);
                let proposed = self.node.propose(&JobCommand::End { job }, Some(waiter), now);
                self.on_proposed(waiter, proposed);
            }
            JobsRequest::Read { job, first, wait } => {
                self.reads.push(HeldRead { job, first, deadline: now + wait, reply });
                self.answer_reads();
            }
            JobsRequest::Body { job, item } => {
                let found = self.node.table().job(&job).map(|found| found.open_item_named(&item));
                let answer = match found {
                    None => JobsAnswer::UnknownJob,
                    Some(None) => JobsAnswer::UnknownItem,
                    Some(Some(item)) => JobsAnswer::Body(item.body.clone()),
                };
                let _ = reply.send(Ok(answer));
            }
        }
    }

    fn wait(&mut self, reply: Reply) -> Waiter {
        self.next_waiter += 1;
        let waiter = Waiter(self.next_waiter);
        self.replies.insert(waiter, reply);
        waiter
    }

    fn on_proposed(&mut self, waiter: Waiter, proposed: Result<Vec<JobsEffect>, NotProposed>) {
        match proposed {
            Ok(effects) => self.take(effects),
            Err(not_proposed) => {
                let result = match not_proposed {
                    NotProposed::OverQuota { waiting } => Ok(JobsAnswer::OverQuota { waiting }),
                    NotProposed::Busy => Err(GroupRefusal::Busy),
                    NotProposed::NotLeader(_) => Err(self.refusal()),
                };
                if let Some(reply) = self.replies.remove(&waiter) {
                    let _ = reply.send(result);
                }
            }
        }
    }

    fn refusal(&self) -> GroupRefusal {
        let replica = self.node.replica();
        if replica.is_leader() {
            return GroupRefusal::Busy;
        }
        GroupRefusal::NotLeader { term: replica.term(), leader: replica.leader() }
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

    /// Answers the reads that have something to answer, or have waited long enough.
    fn answer_reads(&mut self) {
        let now = self.now();
        let may_answer = self.node.may_answer(now);
        let reads = std::mem::take(&mut self.reads);
        for read in reads {
            if !may_answer {
                let _ = read.reply.send(Err(self.refusal()));
                continue;
            }
            let Some(job) = self.node.table().job(&read.job) else {
                let _ = read.reply.send(Ok(JobsAnswer::UnknownJob));
                continue;
            };
            let has_more = job.results.len() > read.first as usize;
            if has_more || job.is_over() || now >= read.deadline {
                let _ = read.reply.send(Ok(JobsAnswer::Page(job.page(read.first, PAGE_BYTES))));
            } else {
                self.reads.push(read);
            }
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
        self.found_if_told();
        self.greet();
        self.keep_members();
        if self.leads {
            self.propose_results();
            self.forget();
        }
        self.workers.connections.close_stale();
    }

    fn found_if_told(&mut self) {
        let Some(founding) = self.founding.clone() else { return };
        if self.node.replica().log().last_index().0 == 0 && founding.voters.contains(&self.id) {
            record(LogEvent::GroupFounded, &[Field::text("members", format!("{founding:?}"))]);
            let effects = self.node.found(founding, self.now());
            self.take(effects);
        }
    }

    /// A node outside the membership tells all that it is there, so that the leader may take it in.
    fn greet(&mut self) {
        let now = self.now();
        if self.node.replica().membership().contains(self.id) && self.node.replica().leader().is_some() {
            return;
        }
        if now.since(self.last_greeting) < GREETING_INTERVAL {
            return;
        }
        self.last_greeting = now;
        let view = self.workers.view.clone();
        let others: Vec<_> =
            view.storage().records().filter(|record| record.node != self.id).map(|record| record.address).collect();
        for address in others {
            self.links.notify(address, JobsRequest::Greet);
        }
    }

    fn follow_leadership(&mut self) {
        let now = self.now();
        let leads = self.node.may_answer(now) || (self.leads && self.node.replica().is_leader());
        if leads == self.leads {
            return;
        }
        self.leads = leads;
        let term = self.node.replica().term().0;
        if leads {
            record(LogEvent::LeaderElected, &[Field::number("term", term)]);
            self.dispatcher.restart(self.node.table());
        } else {
            record(LogEvent::LeaderStoodDown, &[Field::number("term", term)]);
            self.dispatcher.clear();
            self.load_share.clear();
        }
        self.proposed.clear();
        for (_, running) in std::mem::take(&mut self.running) {
            running.task.abort();
        }
    }

    /// Takes batch items off workers that are full. They go on later, after their last event.
    fn yield_to_online(&mut self, now: Timestamp) {
        let overfull = self.workers.view.workers().overfull(now);
        for count in overfull {
            let there = self.running.iter().filter(|(_, running)| running.worker == count.worker);
            let (leaving, staying): (Vec<_>, Vec<_>) = there.partition(|(_, running)| running.is_pausing);
            let mut staying: Vec<(u64, ItemKey)> =
                staying.into_iter().map(|(key, running)| (running.run, key.clone())).collect();
            // The youngest has the least to read again.
            staying.sort_by_key(|(run, _)| std::cmp::Reverse(*run));
            let due = (count.requests as usize).saturating_sub(leaving.len());
            for (_, key) in staying.into_iter().take(due) {
                if let Some(running) = self.running.get_mut(&key) {
                    running.is_pausing = true;
                    running.pause.notify_one();
                }
            }
            let fields = [
                Field::text("worker", &count.worker),
                Field::number("items", count.requests),
                Field::text("inputs", self.workers.view.workers().describe(&count.worker, now)),
            ];
            record(LogEvent::BatchYielded, &fields);
        }
    }

    // Running items.

    fn dispatch(&mut self) {
        let now = self.now();
        if !self.leads || !self.dispatcher.has_ready(now) {
            return;
        }
        let Some(configuration) = self.workers.view.configuration() else { return };
        let civil = self.workers.view.clock.civil();
        while let Some((key, output)) = self.dispatcher.take_next(now, civil) {
            let Some(job) = self.node.table().job(&key.job) else { continue };
            let submission = &job.submission;
            let Some(item) = submission.items.get(key.item as usize).cloned() else { continue };
            let Some(route) = configuration.route_for(&submission.host, &item.path).cloned() else {
                let is_known_gone = configuration.version >= submission.configuration_version;
                if is_known_gone {
                    self.dispatcher.give_up(&key);
                } else {
                    self.dispatcher.put_back(&key, output);
                    return;
                }
                continue;
            };
            let age = Millis(civil.0.saturating_sub(submission.received_at.0));
            if route.give_up_after.is_some_and(|limit| age > limit + GIVE_UP_MARGIN) {
                self.dispatcher.give_up(&key);
                continue;
            }
            let host = submission.host.clone();
            if !self.start_run(&key, item, host, &route, output, now) {
                return;
            }
        }
        self.propose_results();
    }

    /// Starts an item at the worker with the most room. Returns false if none has any.
    fn start_run(
        &mut self,
        key: &ItemKey,
        item: stallmoor_core::jobs::command::JobItem,
        host: Arc<str>,
        route: &stallmoor_core::gateway::configuration::Route,
        output: PartialOutput,
        now: Timestamp,
    ) -> bool {
        let view = self.workers.view.clone();
        let facts = self.workers.dialect.item_facts(&item);
        let choice = view.draw_service(route).and_then(|service| {
            let ask = stallmoor_core::gateway::workers::WorkerAsk {
                service: &service,
                zone: &view.zone,
                prefix: &facts.prefix,
                prompt_tokens: facts.prompt_tokens,
                body_bytes: item.body.len(),
                tried: &[],
            };
            let mut random = view.random();
            let choice = view.workers().choose_for_batch(&ask, now, &mut *random);
            choice.map(|choice| (service, choice))
        });
        let Some((service, choice)) = choice else {
            self.dispatcher.put_back(key, output);
            return false;
        };
        self.next_run += 1;
        let run = self.next_run;
        let (client, reports, report_key) = (self.workers.clone(), self.reports.clone(), key.clone());
        let worker = choice.id.clone();
        let pause = Arc::new(Notify::new());
        let fields = [
            Field::text("job", &key.job),
            Field::number("item", key.item),
            Field::text("worker", &choice.id),
            Field::number("after_event", output.last_event.unwrap_or(0)),
            Field::number("load", choice.load),
            Field::number("candidates", choice.candidates as u64),
        ];
        record(LogEvent::ItemRunStarted, &fields);
        let in_flight = self.workers.place(&choice, &service, &facts.prefix, true);
        let item_run = ItemRun { item, host, service, choice, output, pause: pause.clone() };
        let task = tokio::spawn(async move {
            let (end, output) = item_run.run(&client, in_flight).await;
            // The service is gone only when the process ends.
            let _ = reports.send(RunReport { key: report_key, run, end, output });
        });
        self.running.insert(key.clone(), Running { run, worker, task: task.abort_handle(), pause, is_pausing: false });
        true
    }

    fn on_run_ended(&mut self, report: RunReport) {
        let is_current = self.running.get(&report.key).is_some_and(|running| running.run == report.run);
        if !is_current {
            return;
        }
        self.running.remove(&report.key);
        let fields = [
            Field::text("job", &report.key.job),
            Field::number("item", report.key.item),
            Field::text("end", format!("{:?}", report.end)),
            Field::number("events", report.output.last_event.unwrap_or(0)),
        ];
        record(LogEvent::ItemRunEnded, &fields);
        let max_attempts = self.max_attempts(&report.key.job);
        let now = self.now();
        if self.dispatcher.run_ended(&report.key, &report.end, report.output, max_attempts, now) {
            self.propose_results();
        }
    }

    fn max_attempts(&self, job: &JobKey) -> u32 {
        const USUAL: u32 = 3;
        let Some(job) = self.node.table().job(job) else { return USUAL };
        let configuration = self.workers.view.configuration();
        let route = configuration.and_then(|known| known.route_named(&job.submission.route).cloned());
        route.map_or(USUAL, |route| route.max_attempts.max(1))
    }

    fn propose_results(&mut self) {
        let now = self.now();
        for command in self.dispatcher.unlisted() {
            let JobCommand::Finish { key, .. } = &command else { continue };
            if !self.proposed.insert(key.clone()) {
                continue;
            }
            match self.node.propose(&command, None, now) {
                Ok(effects) => self.take(effects),
                Err(_) => {
                    self.proposed.remove(key);
                    return;
                }
            }
        }
    }

    // Membership.

    /// Carries out what is due of the membership.
    fn keep_members(&mut self) {
        let now = self.now();
        let directory = self.workers.view.storage().clone();
        let actions = self.members.plan(self.node.replica(), self.leads, &directory, now);
        for action in actions {
            match action {
                MembersAction::Change(change) => {
                    record(LogEvent::MembershipChanging, &[Field::text("change", format!("{change:?}"))]);
                    let effects = self.node.change_membership(change, now);
                    self.take(effects);
                }
                MembersAction::HandOver(target) => {
                    let effects = self.node.transfer_leadership(target, now);
                    self.take(effects);
                }
                MembersAction::WritePair { record, revision } => self.write_pair(record, revision),
                MembersAction::GoOnAlone => {
                    let index = self.node.replica().log().membership_index().0;
                    record(LogEvent::WentOnAlone, &[Field::number("membership", index)]);
                    let effects = self.node.continue_alone(now);
                    self.take(effects);
                }
                MembersAction::ReportEmptying { machine, state } => self.report_emptying(machine, state),
            }
        }
    }

    fn write_pair(&self, pair: PairRecord, revision: u64) {
        record(LogEvent::PairRecorded, &[Field::text("record", format!("{pair:?}"))]);
        let (metadata, reads) = (self.metadata.clone(), self.pair_reads.clone());
        tokio::spawn(async move {
            let value = serde_json::to_vec(&pair).unwrap_or_default();
            let read = match metadata.put(PAIR_KEY.to_owned(), value, revision).await {
                PutOutcome::Written(revision) => Some(StoredPair { record: Some(pair), revision }),
                // Whatever became of it, the store knows.
                PutOutcome::Conflict | PutOutcome::Unknown => {
                    tokio::time::sleep(PAIR_RETRY).await;
                    metadata.get(PAIR_KEY.to_owned()).await.map(|item| read_pair(&item))
                }
            };
            let _ = reads.send(read);
        });
    }

    fn report_emptying(&self, machine: Arc<str>, state: EmptyingState) {
        let fields = [Field::text("machine", &machine), Field::text("state", format!("{state:?}"))];
        record(LogEvent::EmptyingReported, &fields);
        let metadata = self.metadata.clone();
        tokio::spawn(async move {
            while !metadata.report_emptying(machine.clone(), state).await {
                tokio::time::sleep(EMPTYING_RETRY).await;
            }
        });
    }

    fn forget(&mut self) {
        let now = self.now();
        if now.since(self.last_forget) < FORGET_INTERVAL {
            return;
        }
        self.last_forget = now;
        let before = UnixMillis(self.workers.view.clock.civil().0.saturating_sub(REMEMBERED.0));
        if let Ok(effects) = self.node.propose(&JobCommand::Forget { before }, None, now) {
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

/// The pair's record as the store holds it.
fn read_pair(item: &MetadataItem) -> StoredPair {
    let record = item.value.as_ref().and_then(|value| serde_json::from_slice(value).ok());
    StoredPair { record, revision: item.revision }
}
