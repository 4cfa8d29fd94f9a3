//! Simulates storage nodes on a virtual clock under power losses, lost disks, drained machines and network partitions,
//! and checks against an oracle that acknowledged data is retained. Runs the production [`JobsNode`] and
//! [`MembershipPlanner`].

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stallmoor_core::identity::NodeId;
use stallmoor_core::replication::{
    GroupMembership, LogIndex, MessageKind, PersistedReplica, ReplicaSettings, ReplicationMessage,
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
const STEP_MS: u64 = 4;
/// The duration of a disk sync in milliseconds.
const SYNC_MS: u64 = 8;
/// The minimum time between the replacement of a disk and the loss of the next one, in milliseconds.
const CATCH_UP_MS: u64 = 4_800;

struct Machine {
    zone: &'static str,
    id: NodeId,
    disk: PersistedReplica,
    process: Option<Process>,
    starts_at: Option<u64>,
    partitioned_until: u64,
    removed: bool,
}

struct Process {
    node: JobsNode,
    members: MembershipPlanner,
    queue: VecDeque<JobsEffect>,
    syncing: Option<(u64, stallmoor_core::replication::LogWrite)>,
    contacted_at: u64,
}

/// The metadata store: the directory, and the pair's record with its revision.
#[derive(Default)]
struct Store {
    directory: StorageDirectory,
    pair: StoredPair,
    revision: u64,
    completed: BTreeSet<Arc<str>>,
    down_until: u64,
}

#[derive(Default)]
struct Oracle {
    accepted: BTreeSet<JobKey>,
    observed: BTreeMap<(JobKey, u32), CommittedResult>,
}

struct World {
    /// The number of disks that may be lost at the same time.
    tolerated: usize,
    now: u64,
    random: Xoshiro256PlusPlus,
    machines: BTreeMap<String, Machine>,
    in_flight: VecDeque<(u64, ReplicationMessage)>,
    contacts: VecDeque<(u64, NodeId)>,
    store: Store,
    oracle: Oracle,
    submitted: BTreeMap<Waiter, JobKey>,
    drained: Vec<Arc<str>>,
    next: u64,
    disk_lost_at: u64,
    /// The size of each item's body.
    body_bytes: usize,
    /// The number of snapshots sent to followers.
    snapshots_sent: u64,
}

fn address(id: NodeId) -> SocketAddr {
    SocketAddr::from(([10, 0, (id.0 >> 8) as u8, id.0 as u8], 7_700))
}

fn submission(key: &JobKey, at: u64, body_bytes: usize) -> Submission {
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
    fn new(seed: u64, machine_count: u64) -> Self {
        Self::tolerating(1, seed, machine_count)
    }

    fn tolerating(tolerated: usize, seed: u64, machine_count: u64) -> Self {
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

    fn time(&self) -> Timestamp {
        Timestamp::from_millis(self.now)
    }

    fn next_id(&mut self) -> NodeId {
        self.next += 1;
        NodeId(self.next)
    }

    fn add_machine(&mut self) -> String {
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
        };
        self.machines.insert(name.clone(), machine);
        name
    }

    fn start(&mut self, name: &str) {
        let now = self.time();
        let seed = self.random.random();
        let machine = self.machines.get_mut(name).expect("the machine exists");
        let settings = ReplicaSettings::default();
        let node =
            JobsNode::new(machine.id, settings, machine.disk.clone(), now, seed).expect("the disk can be decoded");
        let members = MembershipPlanner::new(machine.id, self.tolerated, now);
        machine.process = Some(Process { node, members, queue: VecDeque::new(), syncing: None, contacted_at: 0 });
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
    fn lose_power(&mut self, name: &str, restart_after: u64) {
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

    fn lose_disk(&mut self, name: &str, restart_after: u64) {
        self.lose_power(name, restart_after);
        let id = self.next_id();
        let machine = self.machines.get_mut(name).expect("the machine exists");
        machine.disk = PersistedReplica::default();
        machine.id = id;
        self.disk_lost_at = self.now + restart_after;
    }

    fn step(&mut self) {
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
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            self.run_process(&name);
        }
    }

    fn deliver(&mut self) {
        let now = self.time();
        let messages: Vec<(u64, ReplicationMessage)> = self.in_flight.drain(..).collect();
        for (at, message) in messages {
            if at > self.now {
                self.in_flight.push_back((at, message));
                continue;
            }
            let (from, to) = (message.from, message.to);
            if self.is_partitioned(from) || self.is_partitioned(to) {
                continue;
            }
            let target = self.machines.values_mut().find(|machine| machine.id == to);
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
                for process in self.machines.values_mut().filter_map(|machine| machine.process.as_mut()) {
                    process.members.record_contact(from, now);
                }
            }
        }
    }

    fn is_partitioned(&self, node: NodeId) -> bool {
        self.machines.values().any(|machine| machine.id == node && machine.partitioned_until > self.now)
    }

    fn run_process(&mut self, name: &str) {
        let now = self.time();
        let store_is_up = self.store.down_until <= self.now;
        let directory = self.store.directory.clone();
        let Some(machine) = self.machines.get_mut(name) else { return };
        let is_partitioned = machine.partitioned_until > self.now;
        let Some(process) = machine.process.as_mut() else { return };
        let effects = process.node.tick(now);
        process.queue.extend(effects);
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
        let actions = process.members.plan(process.node.replica(), leads, &directory, |_| true, now);
        let mut changes = Vec::new();
        for action in actions {
            match action {
                MembershipAction::Change(change) => process.queue.extend(process.node.change_membership(change, now)),
                MembershipAction::TransferLeadership(target) => {
                    process.queue.extend(process.node.transfer_leadership(target, now));
                }
                MembershipAction::ContinueAlone => process.queue.extend(process.node.become_sole_voter(now)),
                MembershipAction::WritePair { record, revision } => {
                    let reachable = store_is_up && !is_partitioned;
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
            if done_at <= self.now {
                machine.disk.write(&write);
            } else {
                process.syncing = Some((done_at, write));
            }
        }
        while process.syncing.is_none() {
            let Some(effect) = process.queue.pop_front() else { break };
            match effect {
                JobsEffect::Persist(write) => process.syncing = Some((self.now + SYNC_MS, write)),
                JobsEffect::Send(message) => {
                    self.snapshots_sent += u64::from(matches!(message.kind, MessageKind::InstallSnapshot(_)));
                    let delay = 1 + self.random.random_range(0..4);
                    if self.random.random_range(0..100) > 0 {
                        self.in_flight.push_back((self.now + delay, message));
                    }
                }
                JobsEffect::Restore(snapshot) => {
                    process.node.restore(&snapshot).expect("a snapshot of a table can be decoded")
                }
                JobsEffect::ApplyUpTo(index) => changes.extend(process.node.apply_up_to(index, now)),
            }
        }
        self.record_answers(changes);
    }

    fn record_answers(&mut self, changes: Vec<JobsChange>) {
        for change in changes {
            if let JobsChange::Answer { waiter, answer } = change
                && let Some(key) = self.submitted.remove(&waiter)
                && answer == JobsAnswer::Accepted
            {
                self.oracle.accepted.insert(key);
            }
        }
    }

    /// Lets a client submit a job, a worker finish an item, and a client read, at each node that leads.
    fn run_clients(&mut self) {
        let now = self.time();
        let number = self.next;
        self.next += 1;
        let leaders: Vec<String> = self
            .machines
            .iter()
            .filter(|(_, machine)| machine.partitioned_until <= self.now)
            .filter(|(_, machine)| machine.process.as_ref().is_some_and(|process| process.node.may_answer(now)))
            .map(|(name, _)| name.clone())
            .collect();
        for name in leaders {
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

    fn run_for(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.step();
            if self.now.is_multiple_of(80) {
                self.run_clients();
            }
        }
    }

    fn random_machine(&mut self) -> String {
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

    fn can_lose_disk(&self) -> bool {
        let all_up = self
            .machines
            .values()
            .filter(|machine| !machine.removed)
            .all(|machine| machine.process.is_some() && machine.partitioned_until <= self.now);
        all_up && self.now > self.disk_lost_at + CATCH_UP_MS
    }

    fn inject_fault(&mut self) {
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
    fn drain_one(&mut self) {
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

    fn check(&mut self) {
        for machine in self.machines.values_mut() {
            machine.partitioned_until = 0;
        }
        self.store.down_until = 0;
        self.run_for(9_000);
        let now = self.time();
        let leader = self
            .machines
            .values()
            .filter_map(|machine| machine.process.as_ref())
            .find(|process| process.node.may_answer(now));
        let leader = leader.expect("there is a leader once all machines are back");
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

fn write_pair(store: &mut Store, record: PairRecord, revision: u64) -> StoredPair {
    if store.pair.revision == revision {
        store.revision += 1;
        store.pair = StoredPair { record: Some(record), revision: store.revision };
    }
    store.pair.clone()
}

#[test]
fn accepted_data_survives_power_losses_lost_disks_and_partitions() {
    for seed in 1..=24 {
        let mut world = World::new(seed, 3 + seed % 2);
        world.run_for(3_000);
        for _ in 0..8 {
            world.inject_fault();
            let pause = world.random.random_range(200..3_000);
            world.run_for(pause);
        }
        world.check();
    }
}

#[test]
fn group_of_two_survives_the_loss_of_either_disk() {
    for seed in 1..=12 {
        let mut world = World::new(seed, 3);
        world.run_for(3_000);
        world.drain_one();
        assert_eq!(world.store.completed.len(), 1, "the machine was drained");
        world.run_for(200);
        let name = world.random_machine();
        world.lose_disk(&name, 2_000);
        world.run_for(6_000);
        world.check();
    }
}

#[test]
fn lost_disk_is_replaced_within_the_catch_up_time() {
    for seed in 1..=8 {
        let mut world = World::new(seed, 3);
        world.run_for(3_000);
        let first = world.random_machine();
        world.lose_disk(&first, 1_000);
        world.run_for(1_000 + CATCH_UP_MS);
        let others: Vec<String> = world.machines.keys().filter(|name| **name != first).cloned().collect();
        let second = others[seed as usize % others.len()].clone();
        world.lose_disk(&second, 1_000);
        world.run_for(8_000);
        world.check();
    }
}

#[test]
fn two_disks_lost_at_once_are_tolerated_if_configured() {
    for seed in 1..=24 {
        let mut world = World::tolerating(2, seed, 6 + seed % 3);
        world.run_for(3_000);
        for _ in 0..6 {
            world.inject_fault();
            let pause = world.random.random_range(200..3_000);
            world.run_for(pause);
        }
        world.check();
    }
}

#[test]
fn two_lost_disks_during_a_power_loss_of_all_others_lose_nothing() {
    for seed in 1..=16 {
        let mut world = World::tolerating(2, seed, 7);
        world.run_for(3_000);
        for _ in 0..2 {
            let name = world.random_machine();
            world.lose_disk(&name, 1_000);
        }
        for name in world.machines.keys().cloned().collect::<Vec<_>>() {
            if world.machines[&name].process.is_some() {
                world.lose_power(&name, 1_000);
            }
        }
        world.run_for(6_000);
        world.check();
    }
}

/// A follower that was unreachable for a moment must not be sent the whole state because the leader has just compacted
/// its log.
#[test]
fn slightly_lagging_followers_need_no_snapshot() {
    for seed in 1..=2 {
        let mut world = World::new(seed, 3);
        world.run_for(2_000);
        world.body_bytes = 60_000;
        let now = world.time();
        let follows = |machine: &Machine| machine.process.as_ref().is_some_and(|process| !process.node.may_answer(now));
        let follower_entry = world.machines.iter().find(|(_, machine)| follows(machine));
        let follower = follower_entry.map(|(name, _)| name.clone()).expect("there are two followers");
        for _ in 0..14 {
            world.machines.get_mut(&follower).expect("the machine exists").partitioned_until = world.now + 600;
            world.run_for(1_000);
        }
        let replicas = world.machines.values().filter_map(|machine| machine.process.as_ref());
        let compacted = replicas.filter(|process| process.node.replica().log().snapshot().index > LogIndex(0));
        assert_eq!(compacted.count(), 3, "every replica has compacted its log");
        assert_eq!(world.snapshots_sent, 0);
    }
}

#[test]
fn machine_is_not_drained_if_too_few_replicas_would_remain() {
    for seed in 1..=8 {
        let mut world = World::new(seed, 3);
        world.run_for(3_000);
        world.drain_one();
        assert_eq!(world.store.completed.len(), 1, "two replicas tolerate the loss of one");
        world.drain_one();
        assert_eq!(world.store.completed.len(), 1, "a single replica would not");
        let name = world.random_machine();
        world.lose_disk(&name, 2_000);
        world.run_for(6_000);
        world.check();
    }
}

/// With all remaining machines to be drained, leadership must not move back and forth between them: each change
/// restarts the items and drops the connections to workers.
#[test]
fn leadership_is_stable_while_all_members_are_drained() {
    for seed in 1..=8 {
        let mut world = World::new(seed, 3);
        world.run_for(3_000);
        let names: Vec<String> = world.machines.keys().cloned().collect();
        world.drained.extend(names.iter().map(|name| Arc::from(name.as_str())));
        world.run_for(2_000);
        let term = |world: &World| {
            let processes = world.machines.values().filter_map(|machine| machine.process.as_ref());
            processes.map(|process| process.node.replica().term().0).max()
        };
        let before = term(&world);
        world.run_for(10_000);
        assert_eq!(term(&world), before, "seed {seed}");
        // New machines that are not drained take over all replicas.
        for _ in 0..3 {
            let name = world.add_machine();
            world.start(&name);
        }
        world.run_for(20_000);
        for name in &names {
            assert!(
                world.store.completed.iter().any(|machine| **machine == **name),
                "{name} was not drained, seed {seed}"
            );
        }
        world.check();
    }
}
