//! Storing nodes on a virtual clock: power losses, lost disks, emptied machines and cuts, against an
//! oracle of what was acknowledged. The decision code is the one that runs: [`JobsNode`], [`MembershipPlanner`].

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

/// The clock's step, in milliseconds.
const STEP: u64 = 4;
/// A sync of the disk takes this long, in milliseconds.
const SYNC: u64 = 8;
/// A disk may be lost this long after the last one was replaced, in milliseconds.
const CATCH_UP: u64 = 4_800;

struct Machine {
    zone: &'static str,
    id: NodeId,
    disk: PersistedReplica,
    process: Option<Process>,
    starts_at: Option<u64>,
    cut_until: u64,
    removed: bool,
}

struct Process {
    node: JobsNode,
    members: MembershipPlanner,
    queue: VecDeque<JobsEffect>,
    syncing: Option<(u64, stallmoor_core::replication::LogWrite)>,
    greeted_at: u64,
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
    listed: BTreeMap<(JobKey, u32), CommittedResult>,
}

struct World {
    /// Disks that may be lost at once.
    tolerated: usize,
    now: u64,
    random: Xoshiro256PlusPlus,
    machines: BTreeMap<String, Machine>,
    under_way: VecDeque<(u64, ReplicationMessage)>,
    greetings: VecDeque<(u64, NodeId)>,
    store: Store,
    oracle: Oracle,
    submitted: BTreeMap<Waiter, JobKey>,
    emptied: Vec<Arc<str>>,
    next: u64,
    disk_lost_at: u64,
    /// Bytes of each item's body.
    body_bytes: usize,
    /// Snapshots that were sent to a follower.
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
            under_way: VecDeque::new(),
            greetings: VecDeque::new(),
            store: Store::default(),
            oracle: Oracle::default(),
            submitted: BTreeMap::new(),
            emptied: Vec::new(),
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
            let machine = world.machines.get_mut(name).expect("it was added");
            if founders.contains(&machine.id) {
                let process = machine.process.as_mut().expect("it was started");
                let effects = process.node.bootstrap(GroupMembership::of_voters(founders.clone()), now);
                process.queue.extend(effects);
            }
        }
        world
    }

    fn time(&self) -> Timestamp {
        Timestamp::from_millis(self.now)
    }

    fn draw_id(&mut self) -> NodeId {
        self.next += 1;
        NodeId(self.next)
    }

    fn add_machine(&mut self) -> String {
        const ZONES: [&str; 3] = ["a", "b", "c"];
        let id = self.draw_id();
        let name = format!("machine-{:02}", id.0);
        let zone = ZONES[self.machines.len() % ZONES.len()];
        let machine = Machine {
            zone,
            id,
            disk: PersistedReplica::default(),
            process: None,
            starts_at: None,
            cut_until: 0,
            removed: false,
        };
        self.machines.insert(name.clone(), machine);
        name
    }

    fn start(&mut self, name: &str) {
        let now = self.time();
        let seed = self.random.random();
        let machine = self.machines.get_mut(name).expect("it exists");
        let settings = ReplicaSettings::default();
        let node = JobsNode::new(machine.id, settings, machine.disk.clone(), now, seed).expect("it can be read");
        let members = MembershipPlanner::new(machine.id, self.tolerated, now);
        machine.process = Some(Process { node, members, queue: VecDeque::new(), syncing: None, greeted_at: 0 });
        machine.starts_at = None;
        let record = StorageRecord {
            name: Arc::from(name),
            node: machine.id,
            address: address(machine.id),
            zone: Arc::from(machine.zone),
        };
        self.store.directory.upsert(record);
    }

    /// Power is lost: what was being synced is there or not.
    fn lose_power(&mut self, name: &str, back_after: u64) {
        let torn = self.random.random::<bool>();
        let at = self.now + back_after;
        let machine = self.machines.get_mut(name).expect("it exists");
        if let Some(Process { syncing: Some((_, write)), .. }) = machine.process.take()
            && torn
        {
            machine.disk.write(&write);
        }
        machine.starts_at = Some(at);
    }

    fn lose_disk(&mut self, name: &str, back_after: u64) {
        self.lose_power(name, back_after);
        let id = self.draw_id();
        let machine = self.machines.get_mut(name).expect("it exists");
        machine.disk = PersistedReplica::default();
        machine.id = id;
        self.disk_lost_at = self.now + back_after;
    }

    fn step(&mut self) {
        self.now += STEP;
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
        let messages: Vec<(u64, ReplicationMessage)> = self.under_way.drain(..).collect();
        for (at, message) in messages {
            if at > self.now {
                self.under_way.push_back((at, message));
                continue;
            }
            let (from, to) = (message.from, message.to);
            if self.is_cut(from) || self.is_cut(to) {
                continue;
            }
            let target = self.machines.values_mut().find(|machine| machine.id == to);
            if let Some(process) = target.and_then(|machine| machine.process.as_mut()) {
                process.members.record_contact(from, now);
                let effects = process.node.step(message, now);
                process.queue.extend(effects);
            }
        }
        let greetings: Vec<(u64, NodeId)> = self.greetings.drain(..).collect();
        for (at, from) in greetings {
            if at > self.now {
                self.greetings.push_back((at, from));
            } else if !self.is_cut(from) {
                for process in self.machines.values_mut().filter_map(|machine| machine.process.as_mut()) {
                    process.members.record_contact(from, now);
                }
            }
        }
    }

    fn is_cut(&self, node: NodeId) -> bool {
        self.machines.values().any(|machine| machine.id == node && machine.cut_until > self.now)
    }

    fn run_process(&mut self, name: &str) {
        let now = self.time();
        let store_is_up = self.store.down_until <= self.now;
        let directory = self.store.directory.clone();
        let Some(machine) = self.machines.get_mut(name) else { return };
        let is_cut = machine.cut_until > self.now;
        let Some(process) = machine.process.as_mut() else { return };
        let effects = process.node.tick(now);
        process.queue.extend(effects);
        if !process.node.replica().membership().contains(machine.id) && self.now - process.greeted_at > 400 {
            process.greeted_at = self.now;
            self.greetings.push_back((self.now + 2, machine.id));
        }
        if store_is_up && !is_cut {
            process.members.apply_pair_record(self.store.pair.clone());
            for emptied in &self.emptied {
                process.members.drain(emptied.clone());
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
                    let reachable = store_is_up && !is_cut;
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
                JobsEffect::Persist(write) => process.syncing = Some((self.now + SYNC, write)),
                JobsEffect::Send(message) => {
                    self.snapshots_sent += u64::from(matches!(message.kind, MessageKind::InstallSnapshot(_)));
                    let delay = 1 + self.random.random_range(0..4);
                    if self.random.random_range(0..100) > 0 {
                        self.under_way.push_back((self.now + delay, message));
                    }
                }
                JobsEffect::Restore(snapshot) => {
                    process.node.restore(&snapshot).expect("a snapshot of a table can be read")
                }
                JobsEffect::ApplyUpTo(index) => changes.extend(process.node.apply_up_to(index, now)),
            }
        }
        self.note(changes);
    }

    fn note(&mut self, changes: Vec<JobsChange>) {
        for change in changes {
            if let JobsChange::Answer { waiter, answer } = change
                && let Some(key) = self.submitted.remove(&waiter)
                && answer == JobsAnswer::Accepted
            {
                self.oracle.accepted.insert(key);
            }
        }
    }

    /// A client submits a job, a worker finishes an item, and a client reads, each at whoever leads.
    fn use_leader(&mut self) {
        let now = self.time();
        let number = self.next;
        self.next += 1;
        let leaders: Vec<String> = self
            .machines
            .iter()
            .filter(|(_, machine)| machine.cut_until <= self.now)
            .filter(|(_, machine)| machine.process.as_ref().is_some_and(|process| process.node.may_answer(now)))
            .map(|(name, _)| name.clone())
            .collect();
        for name in leaders {
            let process = self.machines.get_mut(&name).and_then(|machine| machine.process.as_mut());
            let Some(process) = process else { continue };
            for (key, job) in process.node.table().jobs() {
                for (position, result) in job.results.iter().enumerate() {
                    let place = (key.clone(), position as u32);
                    let earlier = self.oracle.listed.entry(place).or_insert_with(|| result.clone());
                    assert_eq!(earlier, result, "a position of {key} changed");
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
                self.use_leader();
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

    fn may_lose_disk(&self) -> bool {
        let all_up = self
            .machines
            .values()
            .filter(|machine| !machine.removed)
            .all(|machine| machine.process.is_some() && machine.cut_until <= self.now);
        all_up && self.now > self.disk_lost_at + CATCH_UP
    }

    fn strike(&mut self) {
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
            2 | 3 if self.may_lose_disk() => {
                // Those that are struck have no process, so that none is drawn twice.
                for _ in 0..self.random.random_range(1..=self.tolerated) {
                    let name = self.random_machine();
                    self.lose_disk(&name, 1_500);
                }
                // At times all others lose power at the same moment.
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
                self.machines.get_mut(&name).expect("it exists").cut_until = until;
            }
            5 => self.store.down_until = self.now + 3_000,
            _ => {}
        }
    }

    /// A machine is emptied by order and taken away as soon as that is said to be complete.
    fn empty_one(&mut self) {
        let name = self.random_machine();
        let machine: Arc<str> = Arc::from(name.as_str());
        self.emptied.push(machine.clone());
        for _ in 0..60 {
            self.run_for(100);
            if self.store.completed.contains(&machine) {
                let taken = self.machines.get_mut(&name).expect("it exists");
                taken.process = None;
                taken.removed = true;
                return;
            }
        }
    }

    fn check(&mut self) {
        for machine in self.machines.values_mut() {
            machine.cut_until = 0;
        }
        self.store.down_until = 0;
        self.run_for(9_000);
        let now = self.time();
        let leader = self
            .machines
            .values()
            .filter_map(|machine| machine.process.as_ref())
            .find(|process| process.node.may_answer(now));
        let leader = leader.expect("there is a leader once all are back");
        for key in &self.oracle.accepted {
            assert!(leader.node.table().job(key).is_some(), "{key} was accepted and is gone");
        }
        for ((key, position), result) in &self.oracle.listed {
            let job = leader.node.table().job(key).expect("it was read before");
            assert_eq!(job.results.get(*position as usize), Some(result), "{key} at {position}");
        }
        assert!(!self.oracle.accepted.is_empty(), "something was accepted");
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
fn nothing_that_was_accepted_is_lost_under_power_losses_lost_disks_and_cuts() {
    for seed in 1..=24 {
        let mut world = World::new(seed, 3 + seed % 2);
        world.run_for(3_000);
        for _ in 0..8 {
            world.strike();
            let pause = world.random.random_range(200..3_000);
            world.run_for(pause);
        }
        world.check();
    }
}

#[test]
fn a_group_of_two_outlives_the_disk_of_either_member() {
    for seed in 1..=12 {
        let mut world = World::new(seed, 3);
        world.run_for(3_000);
        world.empty_one();
        assert_eq!(world.store.completed.len(), 1, "the machine was emptied");
        world.run_for(200);
        let name = world.random_machine();
        world.lose_disk(&name, 2_000);
        world.run_for(6_000);
        world.check();
    }
}

#[test]
fn a_lost_disk_is_made_good_within_the_time_to_catch_up() {
    for seed in 1..=8 {
        let mut world = World::new(seed, 3);
        world.run_for(3_000);
        let first = world.random_machine();
        world.lose_disk(&first, 1_000);
        world.run_for(1_000 + CATCH_UP);
        let others: Vec<String> = world.machines.keys().filter(|name| **name != first).cloned().collect();
        let second = others[seed as usize % others.len()].clone();
        world.lose_disk(&second, 1_000);
        world.run_for(8_000);
        world.check();
    }
}

#[test]
fn two_disks_lost_at_once_are_borne_where_two_have_to_be() {
    for seed in 1..=24 {
        let mut world = World::tolerating(2, seed, 6 + seed % 3);
        world.run_for(3_000);
        for _ in 0..6 {
            world.strike();
            let pause = world.random.random_range(200..3_000);
            world.run_for(pause);
        }
        world.check();
    }
}

#[test]
fn two_disks_lost_while_all_others_lose_power_lose_nothing() {
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

/// A follower that was out of reach for a moment lags by what came meanwhile. A leader that has compacted
/// its log just then must not send it the whole state for that.
#[test]
fn followers_that_lag_a_little_need_no_snapshot() {
    for seed in 1..=2 {
        let mut world = World::new(seed, 3);
        world.run_for(2_000);
        world.body_bytes = 60_000;
        let now = world.time();
        let follows = |machine: &Machine| machine.process.as_ref().is_some_and(|process| !process.node.may_answer(now));
        let found = world.machines.iter().find(|(_, machine)| follows(machine));
        let follower = found.map(|(name, _)| name.clone()).expect("two follow");
        for _ in 0..14 {
            world.machines.get_mut(&follower).expect("it exists").cut_until = world.now + 600;
            world.run_for(1_000);
        }
        let replicas = world.machines.values().filter_map(|machine| machine.process.as_ref());
        let compacted = replicas.filter(|process| process.node.replica().log().snapshot().index > LogIndex(0));
        assert_eq!(compacted.count(), 3, "every replica has compacted its log");
        assert_eq!(world.snapshots_sent, 0);
    }
}

#[test]
fn a_machine_is_not_emptied_where_too_few_copies_would_be_left() {
    for seed in 1..=8 {
        let mut world = World::new(seed, 3);
        world.run_for(3_000);
        world.empty_one();
        assert_eq!(world.store.completed.len(), 1, "two copies bear the loss of one");
        world.empty_one();
        assert_eq!(world.store.completed.len(), 1, "one copy would not");
        let name = world.random_machine();
        world.lose_disk(&name, 2_000);
        world.run_for(6_000);
        world.check();
    }
}

/// Seen: with two machines left and both to be emptied, each leader handed over to the other one at once, 470 terms in 26 s. Items
/// began anew with each leader, which kept what had failed in its memory, and connections to workers were opened and dropped.
#[test]
fn leadership_stays_where_all_members_are_to_be_emptied() {
    for seed in 1..=8 {
        let mut world = World::new(seed, 3);
        world.run_for(3_000);
        let names: Vec<String> = world.machines.keys().cloned().collect();
        world.emptied.extend(names.iter().map(|name| Arc::from(name.as_str())));
        world.run_for(2_000);
        let term = |world: &World| {
            let processes = world.machines.values().filter_map(|machine| machine.process.as_ref());
            processes.map(|process| process.node.replica().term().0).max()
        };
        let before = term(&world);
        world.run_for(10_000);
        assert_eq!(term(&world), before, "seed {seed}");
        // Machines that are to stay take over all copies.
        for _ in 0..3 {
            let name = world.add_machine();
            world.start(&name);
        }
        world.run_for(20_000);
        for name in &names {
            assert!(world.store.completed.iter().any(|machine| **machine == **name), "{name}, seed {seed}");
        }
        world.check();
    }
}
