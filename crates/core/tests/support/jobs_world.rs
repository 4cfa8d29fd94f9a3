//! Storage nodes on a virtual clock, with their disks, links and metadata store, and an oracle of what was acknowledged.
//! Runs the production [`JobsNode`] and [`MembershipPlanner`].

// Each test crate uses only some of these functions.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stallmoor_core::identity::NodeId;
use stallmoor_core::replication::{
    GroupMembership, MessageKind, PersistedReplica, ReplicaSettings, ReplicationMessage,
};
use stallmoor_core::serving::jobs::command::{
    ItemKey, ItemState, JobCommand, JobItem, JobKey, LoggedOutput, Submission,
};
use stallmoor_core::serving::jobs::directory::{StorageDirectory, StorageRecord};
use stallmoor_core::serving::jobs::members::{DrainState, MembershipAction, MembershipPlanner};
use stallmoor_core::serving::jobs::node::{JobsChange, JobsEffect, JobsNode, Waiter};
use stallmoor_core::serving::jobs::pair::{PairRecord, StoredPair};
use stallmoor_core::serving::jobs::request::JobsAnswer;
use stallmoor_core::serving::jobs::table::CommittedResult;
use stallmoor_core::time::{Millis, Timestamp, UnixMillis};

/// The step of the virtual clock in milliseconds.
pub const STEP_MS: u64 = 4;
/// The default duration of a disk sync in milliseconds.
const SYNC_MS: u64 = 8;
/// The minimum time between the replacement of a disk and the loss of the next one, in milliseconds.
pub const CATCH_UP_MS: u64 = 4_800;

pub struct Machine {
    pub zone: &'static str,
    pub id: NodeId,
    pub disk: PersistedReplica,
    pub process: Option<Process>,
    pub starts_at: Option<u64>,
    pub partitioned_until: u64,
    pub removed: bool,
    /// The process doesn't run until then; messages to it wait.
    pub frozen_until: u64,
    /// No sync completes until then.
    pub stalled_until: u64,
    pub settings: ReplicaSettings,
    /// Whether the machine runs the version that neither announces nor reads election timeouts.
    pub is_earlier_version: bool,
    /// The machine's monotonic clock: its value at time 0, and its rate in thousandths of the real time.
    pub clock_offset: u64,
    pub clock_rate: u64,
}

impl Machine {
    pub fn time(&self, now: u64) -> Timestamp {
        Timestamp::from_millis(self.clock_offset + now * self.clock_rate / 1_000)
    }
}

pub struct Process {
    pub node: JobsNode,
    pub members: MembershipPlanner,
    pub queue: VecDeque<JobsEffect>,
    pub syncing: Option<(u64, stallmoor_core::replication::LogWrite)>,
    pub contacted_at: u64,
    /// The directory as this process has last read it.
    pub directory: StorageDirectory,
}

/// A write of the pair's record on its way to the store. It arrives even if the writer loses power.
pub struct PairWrite {
    pub arrives_at: u64,
    pub writer: NodeId,
    pub record: PairRecord,
    pub revision: u64,
}

/// The metadata store: the directory, and the pair's record with its revision.
#[derive(Default)]
pub struct Store {
    pub directory: StorageDirectory,
    pub pair: StoredPair,
    pub revision: u64,
    pub completed: BTreeSet<Arc<str>>,
    pub down_until: u64,
}

#[derive(Default)]
pub struct Oracle {
    pub accepted: BTreeSet<JobKey>,
    pub observed: BTreeMap<(JobKey, u32), CommittedResult>,
}

pub struct World {
    /// The number of disks that may be lost at the same time.
    pub tolerated: usize,
    pub now: u64,
    pub random: Xoshiro256PlusPlus,
    pub machines: BTreeMap<String, Machine>,
    pub in_flight: VecDeque<(u64, ReplicationMessage)>,
    pub contacts: VecDeque<(u64, NodeId)>,
    pub store: Store,
    pub oracle: Oracle,
    pub submitted: BTreeMap<Waiter, JobKey>,
    pub drained: Vec<Arc<str>>,
    pub next: u64,
    pub disk_lost_at: u64,
    /// The size of each item's body.
    pub body_bytes: usize,
    /// The number of snapshots sent to followers.
    pub snapshots_sent: u64,
    /// The settings of machines that are added.
    pub settings: ReplicaSettings,
    /// The duration of a disk sync in milliseconds.
    pub sync_ms: u64,
    /// The interval of each process's ticks in milliseconds.
    pub tick_ms: u64,
    /// The links that drop messages in one direction, by sender and receiver.
    pub cuts: BTreeSet<(NodeId, NodeId)>,
    /// The machines that the store does not answer, and until when. They know only what they have read before.
    pub unanswered_until: BTreeMap<String, u64>,
    /// The time that a write of the pair's record takes to arrive, in milliseconds; 0 if it is in effect at once.
    pub pair_write_ms: u64,
    pub pair_writes: VecDeque<PairWrite>,
    /// The links that drop entries and snapshots in one direction and deliver all else, by sender and receiver.
    pub entry_cuts: BTreeSet<(NodeId, NodeId)>,
}

pub fn address(id: NodeId) -> SocketAddr {
    SocketAddr::from(([10, 0, (id.0 >> 8) as u8, id.0 as u8], 7_700))
}

pub fn submission(key: &JobKey, at: u64, body_bytes: usize) -> Submission {
    let item = |number: u32| JobItem {
        id: Arc::from(format!("{key}-{number}")),
        path: Arc::from("/batch/x"),
        headers: Vec::new(),
        body: Arc::from(vec![number as u8; body_bytes]),
        token_count: 10,
    };
    Submission {
        key: key.clone(),
        route: Arc::from("route"),
        host: Arc::from("host"),
        tenant: None,
        items: (0..3).map(item).collect(),
        configuration_version: 1,
        received_at: UnixMillis(at),
        due: Millis(20_000),
        queued_token_limit: None,
    }
}

impl World {
    pub fn new(seed: u64, machine_count: u64) -> Self {
        Self::tolerating(1, seed, machine_count)
    }

    pub fn tolerating(tolerated: usize, seed: u64, machine_count: u64) -> Self {
        Self::with_settings(tolerated, seed, machine_count, ReplicaSettings::default())
    }

    pub fn with_settings(tolerated: usize, seed: u64, machine_count: u64, settings: ReplicaSettings) -> Self {
        let mut world = Self {
            tolerated,
            now: 1_000_000,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            machines: BTreeMap::new(),
            in_flight: VecDeque::new(),
            contacts: VecDeque::new(),
            store: Store::default(),
            oracle: Oracle::default(),
            submitted: BTreeMap::new(),
            drained: Vec::new(),
            next: 0,
            disk_lost_at: 0,
            body_bytes: 200,
            snapshots_sent: 0,
            settings,
            sync_ms: SYNC_MS,
            tick_ms: STEP_MS,
            cuts: BTreeSet::new(),
            unanswered_until: BTreeMap::new(),
            pair_write_ms: 0,
            pair_writes: VecDeque::new(),
            entry_cuts: BTreeSet::new(),
        };
        for _ in 0..machine_count {
            world.add_machine();
        }
        let founders: Vec<NodeId> = world.machines.values().map(|machine| machine.id).take(2 * tolerated + 1).collect();
        let now = world.time();
        let names: Vec<String> = world.machines.keys().cloned().collect();
        for name in &names {
            world.start(name);
            let machine = world.machines.get_mut(name).expect("the machine was added");
            if founders.contains(&machine.id) {
                let process = machine.process.as_mut().expect("the machine was started");
                let effects = process.node.bootstrap(GroupMembership::of_voters(founders.clone()), now);
                process.queue.extend(effects);
            }
        }
        world
    }

    pub fn time(&self) -> Timestamp {
        Timestamp::from_millis(self.now)
    }

    pub fn next_id(&mut self) -> NodeId {
        self.next += 1;
        NodeId(self.next)
    }

    pub fn add_machine(&mut self) -> String {
        const ZONES: [&str; 3] = ["a", "b", "c"];
        let id = self.next_id();
        let name = format!("machine-{:02}", id.0);
        let zone = ZONES[self.machines.len() % ZONES.len()];
        let machine = Machine {
            zone,
            id,
            disk: PersistedReplica::default(),
            process: None,
            starts_at: None,
            partitioned_until: 0,
            removed: false,
            frozen_until: 0,
            stalled_until: 0,
            settings: self.settings,
            is_earlier_version: false,
            clock_offset: 0,
            clock_rate: 1_000,
        };
        self.machines.insert(name.clone(), machine);
        name
    }

    pub fn start(&mut self, name: &str) {
        let seed = self.random.random();
        let machine = self.machines.get_mut(name).expect("the machine exists");
        let now = machine.time(self.now);
        let node = JobsNode::new(machine.id, machine.settings, machine.disk.clone(), now, seed)
            .expect("the disk can be decoded");
        let members = MembershipPlanner::new(machine.id, self.tolerated, now);
        machine.process = Some(Process {
            node,
            members,
            queue: VecDeque::new(),
            syncing: None,
            contacted_at: 0,
            directory: StorageDirectory::default(),
        });
        machine.starts_at = None;
        let record = StorageRecord {
            name: Arc::from(name),
            node: machine.id,
            address: address(machine.id),
            zone: Arc::from(machine.zone),
        };
        self.store.directory.upsert(record);
    }

    /// Cuts the power of a machine. A sync in progress either completed or is lost.
    pub fn lose_power(&mut self, name: &str, restart_after: u64) {
        let sync_completed = self.random.random::<bool>();
        let at = self.now + restart_after;
        let machine = self.machines.get_mut(name).expect("the machine exists");
        if let Some(Process { syncing: Some((_, write)), .. }) = machine.process.take()
            && sync_completed
        {
            machine.disk.write(&write);
        }
        machine.starts_at = Some(at);
    }

    pub fn lose_disk(&mut self, name: &str, restart_after: u64) {
        self.lose_power(name, restart_after);
        let id = self.next_id();
        let machine = self.machines.get_mut(name).expect("the machine exists");
        machine.disk = PersistedReplica::default();
        machine.id = id;
        self.disk_lost_at = self.now + restart_after;
    }

    pub fn step(&mut self) {
        self.now += STEP_MS;
        let due: Vec<String> = self
            .machines
            .iter()
            .filter(|(_, machine)| !machine.removed && machine.starts_at.is_some_and(|at| at <= self.now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.start(&name);
        }
        self.deliver();
        self.apply_pair_writes();
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            self.run_process(&name);
        }
    }

    /// Carries out the writes of the pair's record that have arrived.
    fn apply_pair_writes(&mut self) {
        let (arrived, pending): (VecDeque<_>, VecDeque<_>) =
            self.pair_writes.drain(..).partition(|write| write.arrives_at <= self.now);
        self.pair_writes = pending;
        for write in arrived {
            let read = write_pair(&mut self.store, write.record, write.revision);
            let writer = self.machines.values_mut().find(|machine| machine.id == write.writer);
            if let Some(process) = writer.and_then(|machine| machine.process.as_mut()) {
                process.members.finish_pair_write(Some(read));
            }
        }
    }

    pub fn deliver(&mut self) {
        let messages: Vec<(u64, ReplicationMessage)> = self.in_flight.drain(..).collect();
        for (at, message) in messages {
            if at > self.now {
                self.in_flight.push_back((at, message));
                continue;
            }
            let (from, to) = (message.from, message.to);
            if self.is_partitioned(from) || self.is_partitioned(to) || self.cuts.contains(&(from, to)) {
                continue;
            }
            if self.entry_cuts.contains(&(from, to)) && carries_state(&message) {
                continue;
            }
            if self.machines.values().any(|machine| machine.id == to && machine.frozen_until > self.now) {
                self.in_flight.push_back((at, message));
                continue;
            }
            let message = self.as_read_by_receiver(message);
            let target = self.machines.values_mut().find(|machine| machine.id == to);
            let now = target.as_ref().map_or_else(Timestamp::default, |machine| machine.time(self.now));
            if let Some(process) = target.and_then(|machine| machine.process.as_mut()) {
                process.members.record_contact(from, now);
                let effects = process.node.step(message, now);
                process.queue.extend(effects);
            }
        }
        let contacts: Vec<(u64, NodeId)> = self.contacts.drain(..).collect();
        for (at, from) in contacts {
            if at > self.now {
                self.contacts.push_back((at, from));
            } else if !self.is_partitioned(from) {
                for machine in self.machines.values_mut() {
                    let now = machine.time(self.now);
                    if let Some(process) = machine.process.as_mut() {
                        process.members.record_contact(from, now);
                    }
                }
            }
        }
    }

    /// Removes what an earlier version does not write or read.
    fn as_read_by_receiver(&self, mut message: ReplicationMessage) -> ReplicationMessage {
        let is_earlier = |id| self.machines.values().any(|machine| machine.id == id && machine.is_earlier_version);
        if let MessageKind::Append { election_timeout, .. } = &mut message.kind
            && (is_earlier(message.from) || is_earlier(message.to))
        {
            *election_timeout = None;
        }
        message
    }

    pub fn is_partitioned(&self, node: NodeId) -> bool {
        self.machines.values().any(|machine| machine.id == node && machine.partitioned_until > self.now)
    }

    pub fn run_process(&mut self, name: &str) {
        let is_answered = self.unanswered_until.get(name).is_none_or(|until| *until <= self.now);
        let store_is_up = self.store.down_until <= self.now && is_answered;
        let Some(machine) = self.machines.get_mut(name) else { return };
        let now = machine.time(self.now);
        if machine.frozen_until > self.now {
            return;
        }
        let is_partitioned = machine.partitioned_until > self.now;
        let Some(process) = machine.process.as_mut() else { return };
        if is_answered {
            process.directory = self.store.directory.clone();
        }
        let directory = &process.directory;
        // Processes tick at different times.
        if (self.now + machine.id.0 * STEP_MS).is_multiple_of(self.tick_ms) {
            let effects = process.node.tick(now);
            process.queue.extend(effects);
        }
        if !process.node.replica().membership().contains(machine.id) && self.now - process.contacted_at > 400 {
            process.contacted_at = self.now;
            self.contacts.push_back((self.now + 2, machine.id));
        }
        if store_is_up && !is_partitioned {
            process.members.apply_pair_record(self.store.pair.clone());
            for drained in &self.drained {
                process.members.drain(drained.clone());
            }
        }
        let leads = process.node.may_answer(now);
        let actions = process.members.plan(process.node.replica(), leads, directory, |_| true, now);
        let mut changes = Vec::new();
        for action in actions {
            match action {
                MembershipAction::Change(change) => process.queue.extend(process.node.change_membership(change, now)),
                MembershipAction::TransferLeadership(target) => {
                    process.queue.extend(process.node.transfer_leadership(target, now));
                }
                MembershipAction::WithdrawChange => process.queue.extend(process.node.withdraw_membership_change()),
                MembershipAction::CampaignWithLearner => {
                    process.queue.extend(process.node.campaign_with_learner(now));
                }
                MembershipAction::ContinueAlone => process.queue.extend(process.node.become_sole_voter(now)),
                MembershipAction::WritePair { record, revision } => {
                    let reachable = store_is_up && !is_partitioned;
                    if reachable && self.pair_write_ms > 0 {
                        let arrives_at = self.now + self.random.random_range(1..=self.pair_write_ms);
                        self.pair_writes.push_back(PairWrite { arrives_at, writer: machine.id, record, revision });
                        continue;
                    }
                    let read = reachable.then(|| write_pair(&mut self.store, record, revision));
                    process.members.finish_pair_write(read);
                }
                MembershipAction::ReportDrain { machine, state } => {
                    if state == DrainState::Completed {
                        self.store.completed.insert(machine);
                    }
                }
            }
        }
        changes.extend(process.node.release_answers(now));
        changes.extend(process.node.abandon_lost_proposals());
        if let Some((done_at, write)) = process.syncing.take() {
            if done_at <= self.now && machine.stalled_until <= self.now {
                machine.disk.write(&write);
                process.node.record_durable();
            } else {
                process.syncing = Some((done_at, write));
            }
        }
        let is_urgent = |effect: &JobsEffect| matches!(effect, JobsEffect::SendNow(_));
        let (mut urgent, ordered): (VecDeque<_>, VecDeque<_>) = process.queue.drain(..).partition(is_urgent);
        process.queue = ordered;
        loop {
            let effect = match urgent.pop_front() {
                Some(effect) => effect,
                None if process.syncing.is_some() => break,
                None => match process.queue.pop_front() {
                    Some(effect) => effect,
                    None => break,
                },
            };
            match effect {
                JobsEffect::Persist(write) => process.syncing = Some((self.now + self.sync_ms, write)),
                JobsEffect::Send(message) | JobsEffect::SendNow(message) => {
                    self.snapshots_sent += u64::from(matches!(message.kind, MessageKind::InstallSnapshot(_)));
                    let delay = 1 + self.random.random_range(0..4);
                    if self.random.random_range(0..100) > 0 {
                        self.in_flight.push_back((self.now + delay, message));
                    }
                }
                JobsEffect::Restore(snapshot) => {
                    process.node.restore(&snapshot).expect("a snapshot of a table can be decoded")
                }
                JobsEffect::EncodeSnapshot(source) => process.node.finish_snapshot(source.encode()),
                JobsEffect::ApplyUpTo(index) => changes.extend(process.node.apply_up_to(index, now)),
            }
        }
        self.record_answers(changes);
    }

    pub fn record_answers(&mut self, changes: Vec<JobsChange>) {
        for change in changes {
            if let JobsChange::Answer { waiter, answer } = change
                && let Some(key) = self.submitted.remove(&waiter)
                && answer == JobsAnswer::Accepted
            {
                self.oracle.accepted.insert(key);
            }
        }
    }

    /// Returns the machines whose process may answer reads now.
    pub fn leaders(&self) -> Vec<String> {
        let may_answer = |machine: &Machine| {
            let now = machine.time(self.now);
            machine.process.as_ref().is_some_and(|process| process.node.may_answer(now))
        };
        let running = self.machines.iter().filter(|(_, machine)| machine.frozen_until <= self.now);
        running.filter(|(_, machine)| may_answer(machine)).map(|(name, _)| name.clone()).collect()
    }

    /// Lets a client submit a job, a worker finish an item, and a client read, at each node that leads.
    pub fn run_clients(&mut self) {
        let number = self.next;
        self.next += 1;
        for name in self.leaders() {
            if self.machines[&name].partitioned_until > self.now {
                continue;
            }
            let now = self.machines[&name].time(self.now);
            let process = self.machines.get_mut(&name).and_then(|machine| machine.process.as_mut());
            let Some(process) = process else { continue };
            for (key, job) in process.node.table().jobs() {
                for (position, result) in job.results.iter().enumerate() {
                    let place = (key.clone(), position as u32);
                    let earlier = self.oracle.observed.entry(place).or_insert_with(|| result.clone());
                    assert_eq!(earlier, result, "the result of {key} at a fixed position changed");
                }
            }
            let key = JobKey(Arc::from(format!("job-{number}")));
            let waiter = Waiter(number);
            if let Ok(effects) = process.node.submit(submission(&key, self.now, self.body_bytes), waiter, now) {
                process.queue.extend(effects);
                self.submitted.insert(waiter, key);
            }
            let open: Vec<ItemKey> = process
                .node
                .table()
                .jobs()
                .flat_map(|(key, job)| {
                    job.open_items().map(|item| ItemKey { job: key.clone(), item }).collect::<Vec<_>>()
                })
                .collect();
            if !open.is_empty() {
                let key = open[self.random.random_range(0..open.len())].clone();
                let text = Arc::from(format!("output {number}"));
                let after = LoggedOutput::default();
                let command = JobCommand::Finish { key, state: ItemState::Completed, after, text };
                if let Ok(effects) = process.node.propose(&command, None, now) {
                    process.queue.extend(effects);
                }
            }
        }
    }

    pub fn run_for(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.step();
            if self.now.is_multiple_of(80) {
                self.run_clients();
            }
        }
    }

    pub fn random_machine(&mut self) -> String {
        let live: Vec<String> = self
            .machines
            .iter()
            .filter(|(_, machine)| !machine.removed && machine.process.is_some())
            .map(|(name, _)| name.clone())
            .collect();
        if live.is_empty() {
            return self.machines.keys().next().cloned().unwrap_or_default();
        }
        live[self.random.random_range(0..live.len())].clone()
    }

    pub fn can_lose_disk(&self) -> bool {
        let all_up = self
            .machines
            .values()
            .filter(|machine| !machine.removed)
            .all(|machine| machine.process.is_some() && machine.partitioned_until <= self.now);
        all_up && self.now > self.disk_lost_at + CATCH_UP_MS
    }

    pub fn inject_fault(&mut self) {
        match self.random.random_range(0..8) {
            0 => {
                let name = self.random_machine();
                self.lose_power(&name, 600);
            }
            1 => {
                for name in self.machines.keys().cloned().collect::<Vec<_>>() {
                    if self.machines[&name].process.is_some() {
                        self.lose_power(&name, 900);
                    }
                }
            }
            2 | 3 if self.can_lose_disk() => {
                // Machines without a process are not chosen, so none is chosen twice.
                for _ in 0..self.random.random_range(1..=self.tolerated) {
                    let name = self.random_machine();
                    self.lose_disk(&name, 1_500);
                }
                // In half of the cases all other machines lose power at the same time.
                if self.random.random::<bool>() {
                    for other in self.machines.keys().cloned().collect::<Vec<_>>() {
                        if self.machines[&other].process.is_some() {
                            self.lose_power(&other, 900);
                        }
                    }
                }
            }
            4 => {
                let name = self.random_machine();
                let until = self.now + 4_000;
                self.machines.get_mut(&name).expect("the machine exists").partitioned_until = until;
            }
            5 => self.store.down_until = self.now + 3_000,
            _ => {}
        }
    }

    /// Drains a machine and removes it as soon as the drain is reported as completed.
    pub fn drain_one(&mut self) {
        let name = self.random_machine();
        let machine: Arc<str> = Arc::from(name.as_str());
        self.drained.push(machine.clone());
        for _ in 0..60 {
            self.run_for(100);
            if self.store.completed.contains(&machine) {
                let drained_machine = self.machines.get_mut(&name).expect("the machine exists");
                drained_machine.process = None;
                drained_machine.removed = true;
                return;
            }
        }
    }

    pub fn check(&mut self) {
        for machine in self.machines.values_mut() {
            machine.partitioned_until = 0;
            machine.frozen_until = 0;
            machine.stalled_until = 0;
        }
        self.cuts.clear();
        self.unanswered_until.clear();
        self.entry_cuts.clear();
        self.store.down_until = 0;
        self.run_for(9_000);
        let leaders = self.leaders();
        let name = leaders.first().expect("there is a leader once all machines are back");
        let leader = self.machines[name].process.as_ref().expect("a leader runs");
        for key in &self.oracle.accepted {
            assert!(leader.node.table().job(key).is_some(), "{key} was accepted and lost");
        }
        for ((key, position), result) in &self.oracle.observed {
            let job = leader.node.table().job(key).expect("a job whose results were read exists");
            assert_eq!(
                job.results.get(*position as usize),
                Some(result),
                "the result of {key} at position {position} changed"
            );
        }
        assert!(!self.oracle.accepted.is_empty(), "at least one job was accepted");
    }
}

fn carries_state(message: &ReplicationMessage) -> bool {
    match &message.kind {
        MessageKind::Append { entries, .. } => !entries.is_empty(),
        MessageKind::InstallSnapshot(_) => true,
        _ => false,
    }
}

pub fn write_pair(store: &mut Store, record: PairRecord, revision: u64) -> StoredPair {
    if store.pair.revision == revision {
        store.revision += 1;
        store.pair = StoredPair { record: Some(record), revision: store.revision };
    }
    store.pair.clone()
}
