//! Guards against streams that are joined from two software versions after gateways were killed, because a node deduces
//! their version from a view of the workers that is not current, or was not throughout.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use proptest::prelude::*;
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::configuration::tenant::CallerIdentity;
use stallmoor_core::serving::jobs::directory::{StorageDirectory, StorageRecord};
use stallmoor_core::serving::regions::AllowedRegions;
use stallmoor_core::serving::relay::continuity::{Continuity, MAX_VIEW_AGE, Observation, ViewUpdate};
use stallmoor_core::serving::stream_origins::holders::{COPIES, holders, lookup_quorum};
use stallmoor_core::serving::stream_origins::message::OriginRecord;
use stallmoor_core::serving::stream_origins::rule::KnownOrigin;
use stallmoor_core::serving::stream_origins::sharing::{Sharing, is_deducible};
use stallmoor_core::serving::stream_origins::unconfirmed::{UnconfirmedOrigin, UnconfirmedOrigins};
use stallmoor_core::serving::stream_origins::{
    Confirmation, NodeKnowledge, OriginDirectory, OriginOutbox, Resumption, Statement, StreamKey, StreamOrigin,
    UnknownOrigin, resume_rule,
};
use stallmoor_core::serving::workers::versions::KnownVersions;
use stallmoor_core::serving::workers::{SoftwareVersion, WorkerId, WorkerQuery, WorkerRecord, WorkerTable};
use stallmoor_core::time::{Millis, Timestamp};

const SERVICE: &str = "lm";
const LIFETIME: Millis = Millis(10_000);
/// Time after which connected nodes confirm their views.
const CONFIRM_INTERVAL: Millis = Millis(500);
/// Time for which a fleet has been up when a test begins.
const CALM: u64 = 60_000;
/// All storage nodes, and none of them.
const ALL: Reach = Reach([true; 3]);
const NONE: Reach = Reach([false; 3]);

/// Which storage nodes a gateway reaches.
#[derive(Clone, Copy, Debug)]
struct Reach([bool; 3]);

impl Reach {
    fn all_but(silent: usize) -> Self {
        Self(std::array::from_fn(|node| node != silent))
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn key(stream: usize) -> StreamKey {
    StreamKey::of(&CallerIdentity::Unchecked, &format!("stream-{stream}"))
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { service: Arc::from(SERVICE), version: SoftwareVersion::new(version) }
}

fn record(id: &str, version: &str) -> WorkerRecord {
    WorkerRecord {
        id: WorkerId(Arc::from(id)),
        service: Arc::from(SERVICE),
        address: SocketAddr::from(([10, 1, 0, 1], 80)),
        zone: Arc::from("a"),
        version: SoftwareVersion::new(version),
        slots: 8,
        draining: false,
        started_at: None,
        cold_remaining: Millis(0),
    }
}

fn query(version: Option<&SoftwareVersion>) -> WorkerQuery<'_> {
    WorkerQuery {
        service: SERVICE,
        zone: "a",
        prefix: &[],
        prompt_tokens: 0,
        body_bytes: 0,
        tried: &[],
        regions: &AllowedRegions::Any,
        may_run_again: true,
        version,
    }
}

/// A change of the workers' records in the store.
#[derive(Clone)]
enum Change {
    Written(WorkerRecord),
    Removed(WorkerId),
}

/// A node's view of the workers. A node that is cut off from the store still answers others.
struct View {
    table: WorkerTable,
    continuity: Continuity,
    records: BTreeMap<WorkerId, WorkerRecord>,
    is_cut_off: bool,
    missed: Vec<Change>,
}

impl View {
    /// Creates the view of a node that starts with records that were complete at `confirmed_at`.
    fn new(records: &BTreeMap<WorkerId, WorkerRecord>, confirmed_at: Timestamp, now: Timestamp) -> Self {
        let mut view = Self {
            table: WorkerTable::default(),
            continuity: Continuity::default(),
            records: records.clone(),
            is_cut_off: false,
            missed: Vec::new(),
        };
        for worker in records.values() {
            view.table.apply_record(worker.clone(), now);
        }
        view.continuity.record(ViewUpdate::Replaced, confirmed_at);
        view
    }

    fn observe(&mut self, change: &Change, now: Timestamp) {
        if self.is_cut_off {
            return self.missed.push(change.clone());
        }
        self.apply(change, now);
        self.continuity.record(ViewUpdate::Changed, now);
    }

    fn apply(&mut self, change: &Change, now: Timestamp) {
        match change {
            Change::Written(worker) => {
                self.records.insert(worker.id.clone(), worker.clone());
                self.table.apply_record(worker.clone(), now);
            }
            Change::Removed(id) => {
                self.records.remove(id);
                self.table.remove(id, now, now);
            }
        }
    }

    /// Brings the view up to date: after a short gap by each change, after a long one by a list of what is left.
    fn confirm(&mut self, present: &BTreeMap<WorkerId, WorkerRecord>, now: Timestamp) {
        if self.is_cut_off {
            return;
        }
        let missed = std::mem::take(&mut self.missed);
        if self.continuity.observed(now).is_current() {
            missed.iter().for_each(|change| self.apply(change, now));
            let update = if missed.is_empty() { ViewUpdate::Unchanged } else { ViewUpdate::Changed };
            return self.continuity.record(update, now);
        }
        let gone: Vec<_> = self.records.keys().filter(|id| !present.contains_key(*id)).cloned().collect();
        gone.into_iter().for_each(|id| self.apply(&Change::Removed(id), now));
        present.values().for_each(|worker| self.apply(&Change::Written(worker.clone()), now));
        self.continuity.record(ViewUpdate::Replaced, now);
    }

    /// Confirms the view for a request that has arrived, unless the node is cut off.
    fn confirm_for_request(&mut self, present: &BTreeMap<WorkerId, WorkerRecord>, now: Timestamp) -> Confirmation {
        if self.is_cut_off {
            return Confirmation::Before;
        }
        self.confirm(present, now);
        Confirmation::After
    }

    fn versions(&self, now: Timestamp) -> KnownVersions {
        self.table.known_versions(SERVICE, now).observed(&self.continuity.observed(now))
    }
}

struct Gateway {
    view: View,
    directory: OriginDirectory,
    outbox: OriginOutbox,
}

struct Storage {
    view: View,
    directory: OriginDirectory,
}

struct Stream {
    began_at: Timestamp,
    /// Versions of the workers whose events the client has received; empty if its gateway ended before the first one.
    versions: BTreeSet<SoftwareVersion>,
}

struct Worker {
    id: WorkerId,
    started_at: Timestamp,
}

/// Gateways, storage nodes, workers and streams, without the time that messages take.
struct Fleet {
    gateways: Vec<Gateway>,
    storage: Vec<Storage>,
    nodes: StorageDirectory,
    workers: Vec<Worker>,
    present: BTreeMap<WorkerId, WorkerRecord>,
    streams: Vec<Stream>,
    started_workers: usize,
    now: Timestamp,
    random: Xoshiro256PlusPlus,
}

impl Fleet {
    /// Starts a fleet of one version.
    fn new(gateways: usize, workers: usize, seed: u64) -> Self {
        let mut nodes = StorageDirectory::default();
        for number in 0..3_u64 {
            nodes.upsert(StorageRecord {
                name: Arc::from(format!("storage-{number}")),
                node: NodeId(number + 1),
                address: SocketAddr::from(([10, 0, number as u8, 1], 80)),
                zone: Arc::from(format!("zone-{number}")),
            });
        }
        let records = (0..workers).map(|worker| record(&format!("i-{worker}"), "v1"));
        let present: BTreeMap<_, _> = records.map(|worker| (worker.id.clone(), worker)).collect();
        let now = at(0);
        let view = || View::new(&present, now, now);
        let gateway =
            |_| Gateway { view: view(), directory: OriginDirectory::default(), outbox: OriginOutbox::default() };
        let storage = |_| Storage { view: view(), directory: OriginDirectory::default() };
        Self {
            gateways: (0..gateways).map(gateway).collect(),
            storage: (0..3).map(storage).collect(),
            nodes,
            workers: present.keys().map(|id| Worker { id: id.clone(), started_at: now }).collect(),
            present: present.clone(),
            streams: Vec::new(),
            started_workers: workers,
            now,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
        }
    }

    fn wait(&mut self, span: u64) {
        let end = self.now + Millis(span);
        while self.now < end {
            self.now = self.now + CONFIRM_INTERVAL.min(end.since(self.now));
            let (now, present) = (self.now, &self.present);
            let gateways = self.gateways.iter_mut().map(|gateway| &mut gateway.view);
            for view in gateways.chain(self.storage.iter_mut().map(|node| &mut node.view)) {
                view.confirm(present, now);
                view.table.evict_departed(now);
            }
            self.share();
        }
    }

    /// Starts a gateway again, with the present records or with those of a storage node that are current.
    fn restart_gateway(&mut self, gateway: usize, source: Option<usize>) {
        let source = source.map(|node| &self.storage[node].view);
        let observation = source.map(|view| view.continuity.observed(self.now)).unwrap_or_default();
        let view = match (source, observation) {
            (Some(source), Observation { age: Some(age), .. }) if observation.is_current() => {
                let mut view = View::new(&source.records, self.now - age, self.now);
                view.missed.clone_from(&source.missed);
                view
            }
            _ => View::new(&self.present, self.now, self.now),
        };
        self.gateways[gateway] =
            Gateway { view, directory: OriginDirectory::default(), outbox: OriginOutbox::default() };
    }

    fn kill_all_gateways(&mut self) {
        (0..self.gateways.len()).for_each(|gateway| self.restart_gateway(gateway, None));
    }

    fn restart_storage(&mut self, node: usize) {
        let view = View::new(&self.present, self.now, self.now);
        self.storage[node] = Storage { view, directory: OriginDirectory::default() };
    }

    /// Replaces a worker, under the same ID or another one, unless it has only just started.
    fn replace_worker(&mut self, worker: usize, version: &str, keeps_id: bool) {
        if self.now.since(self.workers[worker].started_at) <= MAX_VIEW_AGE {
            return;
        }
        let former = self.workers[worker].id.clone();
        if !keeps_id {
            self.publish(&Change::Removed(former.clone()));
            self.present.remove(&former);
        }
        let id = if keeps_id { former } else { WorkerId(Arc::from(format!("i-{}", self.started_workers))) };
        self.started_workers += 1;
        let current = record(&id.0, version);
        self.publish(&Change::Written(current.clone()));
        self.present.insert(id.clone(), current);
        self.workers[worker] = Worker { id, started_at: self.now };
        self.share();
    }

    fn replace_all(&mut self, version: &str) {
        (0..self.workers.len()).for_each(|worker| self.replace_worker(worker, version, false));
    }

    fn publish(&mut self, change: &Change) {
        let now = self.now;
        self.gateways.iter_mut().for_each(|gateway| gateway.view.observe(change, now));
        self.storage.iter_mut().for_each(|node| node.view.observe(change, now));
    }

    /// Cuts a storage node or a gateway off from the store, or connects it again; its next confirmation follows.
    fn set_cut_off(&mut self, node: usize, is_cut_off: bool) {
        let count = self.storage.len();
        let view = match node.checked_sub(count) {
            None => &mut self.storage[node].view,
            Some(gateway) => &mut self.gateways[gateway].view,
        };
        view.is_cut_off = is_cut_off;
    }

    /// Stores the origins that are due.
    fn share(&mut self) {
        for gateway in 0..self.gateways.len() {
            let entry = &mut self.gateways[gateway];
            let versions = entry.view.versions(self.now);
            for due in entry.outbox.take_due(|_, lifetime| is_deducible(&versions, lifetime), self.now) {
                self.store(&due, COPIES, ALL);
            }
        }
    }

    /// Stores an origin at the first `count` of its holders that are in reach. Returns how many these are.
    fn store(&mut self, due: &OriginRecord, count: usize, reach: Reach) -> usize {
        let holders = holders(due.key, &self.nodes).into_iter().map(|holder| holder.node.0 as usize - 1);
        let stored: Vec<_> = holders.filter(|node| reach.0[*node]).take(count).collect();
        stored.iter().for_each(|node| self.storage[*node].directory.record(due.key, &due.origin, self.now));
        stored.len()
    }

    /// Begins a stream at a gateway, which may be killed right after the first event.
    fn begin(&mut self, gateway: usize, is_killed: bool) {
        self.begin_within(gateway, is_killed, ALL);
    }

    /// Like [`Self::begin`], at a gateway that reaches some storage nodes. If it can't store the origin of a stream of a new
    /// version, it is killed while it holds the first event.
    fn begin_within(&mut self, gateway: usize, is_killed: bool, reach: Reach) {
        let (now, id) = (self.now, self.streams.len());
        let entry = &mut self.gateways[gateway];
        let Some(chosen) = entry.view.table.choose(&query(None), now, &mut self.random) else { return };
        // A worker that was replaced rejects requests that name its former ID.
        if self.present.get(&chosen.id).is_none_or(|worker| worker.version != chosen.version) {
            return;
        }
        let due = OriginRecord {
            key: key(id),
            origin: StreamOrigin { service: Arc::from(SERVICE), version: chosen.version.clone() },
        };
        let known_for = entry.view.table.version_known_for(SERVICE, &chosen.version, now);
        let sharing = Sharing::of(&entry.view.versions(now), known_for, LIFETIME);
        entry.directory.record(due.key, &due.origin, now);
        if sharing == Sharing::BeforeFirstEvent {
            let copies = COPIES.min(holders(due.key, &self.nodes).len());
            if self.store(&due, usize::MAX, reach) < copies {
                self.streams.push(Stream { began_at: now, versions: BTreeSet::new() });
                return self.restart_gateway(gateway, None);
            }
        } else {
            entry.outbox.add(due, LIFETIME, now);
        }
        self.streams.push(Stream { began_at: now, versions: BTreeSet::from([chosen.version]) });
        if is_killed {
            self.restart_gateway(gateway, None);
        }
        self.share();
    }

    /// Resumes a stream at a gateway that reaches some storage nodes. Returns whether it goes on.
    fn resume(&mut self, stream: usize, gateway: usize, reach: Reach) -> bool {
        if self.streams[stream].versions.is_empty() {
            return false;
        }
        let (now, id, service) = (self.now, key(stream), Arc::from(SERVICE));
        let mut answers = Vec::new();
        let asked: Vec<_> = holders(id, &self.nodes).into_iter().map(|holder| holder.node.0 as usize - 1).collect();
        for number in asked.iter().copied().filter(|node| reach.0[*node]) {
            let node = &mut self.storage[number];
            let confirmation = node.view.confirm_for_request(&self.present, now);
            let origin = node.directory.look_up(id, now).into();
            let known = NodeKnowledge { origin, versions: node.view.versions(now) };
            answers.push(Statement { known, confirmation });
        }
        let entry = &mut self.gateways[gateway];
        let origin: KnownOrigin = entry.directory.look_up(id, now).into();
        let state = |entry: &Gateway, confirmation| {
            let known = NodeKnowledge { origin: origin.clone(), versions: entry.view.versions(now) };
            Statement { known, confirmation }
        };
        let own = state(entry, Confirmation::Before);
        let mut decision = resume_rule(&service, &own, &answers, asked.len(), LIFETIME);
        if decision.resumption == Resumption::Refused(UnknownOrigin::UncertainPast) {
            let confirmation = entry.view.confirm_for_request(&self.present, now);
            decision = resume_rule(&service, &state(entry, confirmation), &answers, asked.len(), LIFETIME);
        }
        let Resumption::At(origin) = decision.resumption else { return false };
        entry.directory.record(id, &origin, now);
        let chosen = entry.view.table.choose(&query(Some(&origin.version)), now, &mut self.random);
        let serves = |worker: &WorkerId| self.present.get(worker).map(|worker| worker.version.clone());
        if chosen.is_none_or(|chosen| serves(&chosen.id) != Some(chosen.version)) {
            return false;
        }
        self.streams[stream].versions.insert(origin.version);
        true
    }

    /// Resumes all streams and returns how many go on.
    fn resume_all(&mut self) -> usize {
        let gateways = self.gateways.len();
        (0..self.streams.len()).filter(|stream| self.resume(*stream, stream % gateways, ALL)).count()
    }

    fn mixed(&self) -> usize {
        self.streams.iter().filter(|stream| stream.versions.len() > 1).count()
    }
}

/// Guards against a storage node that claims to have known one version for long although it was cut off from the store
/// while the fleet went to the next version and back again.
#[test]
fn a_rollback_that_a_storage_node_missed_does_not_decide_on_the_streams_of_the_version_between() {
    for is_back in [false, true] {
        let mut fleet = Fleet::new(3, 6, 1);
        fleet.wait(CALM);
        fleet.set_cut_off(0, true);
        fleet.replace_all("v2");
        fleet.wait(5_000);
        (0..30).for_each(|number| fleet.begin(number % 3, true));
        fleet.replace_all("v1");
        fleet.wait(2_500);
        // The others lose what they know.
        (1..3).for_each(|node| fleet.restart_storage(node));
        fleet.kill_all_gateways();
        fleet.set_cut_off(0, !is_back);
        fleet.wait(500);
        fleet.resume_all();
        assert_eq!(fleet.mixed(), 0, "the node was connected again: {is_back}");
    }
}

/// Guards against streams of a new version that is deduced to be the earlier one by nodes that have not read its records
/// yet, after the gateway was killed with the first event.
#[test]
fn the_origin_of_a_stream_of_a_new_version_is_stored_before_its_first_event() {
    let mut fleet = Fleet::new(4, 6, 2);
    fleet.wait(CALM);
    (0..3).for_each(|node| fleet.set_cut_off(node, true));
    fleet.set_cut_off(3 + 3, true);
    fleet.replace_worker(0, "v2", false);
    (0..60).for_each(|number| fleet.begin(number % 3, true));
    let of_v2 = fleet.streams.iter().filter(|stream| stream.versions.contains(&SoftwareVersion::new("v2"))).count();
    assert!(of_v2 > 0, "no stream began at the new version");
    (0..60).for_each(|stream| {
        fleet.resume(stream, 3, ALL);
    });
    assert_eq!(fleet.mixed(), 0, "of {of_v2} streams of the new version");
}

/// Guards against streams of a version that comes back, which is deduced to be the other one by nodes that have started since
/// it left and have not read its records yet.
#[test]
fn the_origin_of_a_stream_of_a_version_that_comes_back_is_stored_before_its_first_event() {
    let (mut of_v1, mut mixed) = (0, 0);
    for seed in 0..40 {
        let mut fleet = Fleet::new(2, 6, seed);
        fleet.wait(CALM);
        fleet.replace_all("v2");
        fleet.wait(3_000);
        (0..3).for_each(|node| fleet.restart_storage(node));
        fleet.restart_gateway(1, None);
        fleet.wait(LIFETIME.0 + 5_000);
        (0..3).for_each(|node| fleet.set_cut_off(node, true));
        fleet.set_cut_off(3 + 1, true);
        (0..3).for_each(|worker| fleet.replace_worker(worker, "v1", false));
        fleet.begin(0, true);
        of_v1 += usize::from(fleet.streams[0].versions.contains(&SoftwareVersion::new("v1")));
        fleet.resume(0, 1, ALL);
        mixed += fleet.mixed();
    }
    assert!(of_v1 > 0, "no stream began at the version that came back");
    assert_eq!(mixed, 0, "of {of_v1} streams of the version that came back");
}

/// Guards against guesses on streams whose gateway was killed with the first event, before it stored the origin: also
/// right after the last worker of a version left, and where a storage node has just started.
#[test]
fn a_stream_of_the_last_milliseconds_before_a_kill_is_refused() {
    for starts_node in [false, true] {
        let mut fleet = Fleet::new(3, 6, 3);
        fleet.wait(CALM);
        (0..3).for_each(|worker| fleet.replace_worker(worker, "v2", false));
        fleet.wait(5_000);
        (0..30).for_each(|number| fleet.begin(number % 3, true));
        (3..6).for_each(|worker| fleet.replace_worker(worker, "v2", false));
        fleet.kill_all_gateways();
        if starts_node {
            fleet.restart_storage(0);
        }
        for _ in 0..8 {
            fleet.wait(1_000);
            fleet.resume_all();
            assert_eq!(fleet.mixed(), 0, "a storage node has just started: {starts_node}");
        }
    }
}

/// The other side of the guard: against refusing streams of a calm fleet after all gateways were killed.
#[test]
fn streams_of_a_calm_fleet_go_on_after_all_gateways_were_killed() {
    let mut fleet = Fleet::new(9, 12, 4);
    fleet.wait(CALM);
    (0..90).for_each(|number| fleet.begin(number % 9, false));
    fleet.kill_all_gateways();
    fleet.wait(1_000);
    fleet.restart_storage(0);
    fleet.set_cut_off(1, true);
    fleet.wait(3_000);
    assert_eq!(fleet.resume_all(), 90, "one storage node is up and current");
}

/// The other side of the guard: against refusing streams of several versions whose origins were stored.
#[test]
fn stored_streams_go_on_after_all_gateways_were_killed() {
    let mut fleet = Fleet::new(9, 12, 5);
    fleet.wait(CALM);
    (0..90).for_each(|number| fleet.begin(number % 9, false));
    (0..6).for_each(|worker| fleet.replace_worker(worker, "v2", false));
    (0..90).for_each(|number| fleet.begin(number % 9, false));
    fleet.kill_all_gateways();
    fleet.restart_storage(0);
    fleet.wait(1_000);
    assert_eq!((fleet.resume_all(), fleet.mixed()), (180, 0));
}

/// Guards against a gateway that was cut off from the store a moment before workers of a new version joined, and takes up
/// their streams: its view says that the former version alone has served up to now.
#[test]
fn a_gateway_cut_off_before_a_version_joined_does_not_deduce_the_former_one() {
    let mut begun = 0;
    for (has_storage, is_storage_cut_off) in [(false, false), (true, false), (true, true)] {
        for seed in 0..5 {
            let mut fleet = Fleet::new(2, 6, seed);
            if !has_storage {
                fleet.nodes = StorageDirectory::default();
            }
            fleet.wait(CALM);
            fleet.set_cut_off(3 + 1, true);
            (0..3).for_each(|node| fleet.set_cut_off(node, is_storage_cut_off));
            (0..3).for_each(|worker| fleet.replace_worker(worker, "v2", false));
            (0..20).for_each(|_| fleet.begin(0, false));
            fleet.restart_gateway(0, None);
            fleet.wait(1_000);
            let of_v2 = |stream: &&Stream| stream.versions.contains(&SoftwareVersion::new("v2"));
            begun += fleet.streams.iter().filter(of_v2).count();
            for stream in 0..fleet.streams.len() {
                fleet.resume(stream, 1, ALL);
            }
            assert_eq!(fleet.mixed(), 0, "storage nodes: {has_storage}, cut off: {is_storage_cut_off}");
        }
    }
    assert!(begun > 0, "no stream began at the new version");
}

/// Guards against a gateway that decides by a storage node that is as far behind as itself and does not hold the stream's
/// record.
#[test]
fn storage_nodes_that_are_behind_do_not_decide_below_the_quorum() {
    let mut fleet = Fleet::new(2, 6, 7);
    fleet.wait(CALM);
    (0..3).for_each(|node| fleet.set_cut_off(node, true));
    fleet.set_cut_off(3 + 1, true);
    (0..3).for_each(|worker| fleet.replace_worker(worker, "v2", false));
    (0..60).for_each(|_| fleet.begin_within(0, false, Reach::all_but(0)));
    fleet.restart_gateway(0, None);
    let only_first = Reach([true, false, false]);
    (0..60).for_each(|stream| {
        fleet.resume(stream, 1, only_first);
    });
    assert_eq!(fleet.mixed(), 0);
}

/// The other side of the guard: against refusing streams of a fleet of one version while the store is away, one storage
/// node is gone, or none is in reach.
#[test]
fn streams_of_one_version_go_on_without_the_store_and_without_storage_nodes() {
    let cases = [(ALL, false), (Reach::all_but(2), false), (NONE, false), (ALL, true), (Reach::all_but(1), true)];
    for (reach, is_store_away) in cases {
        let mut fleet = Fleet::new(3, 6, 8);
        fleet.wait(CALM);
        (0..30).for_each(|_| fleet.begin(0, false));
        fleet.restart_gateway(0, None);
        (0..6).for_each(|node| fleet.set_cut_off(node, is_store_away));
        fleet.wait(1_500);
        let going_on = (0..30).filter(|stream| fleet.resume(*stream, 1 + stream % 2, reach)).count();
        assert_eq!(going_on, 30, "{reach:?}, without the store: {is_store_away}");
    }
}

/// Guards against a quorum that has no node in common with the storage nodes that hold a record.
#[test]
fn a_lookup_meets_a_node_that_holds_the_record() {
    for count in 1..=10_usize {
        let asked = count.min(3);
        assert!(lookup_quorum(asked) + COPIES.min(asked) > asked && lookup_quorum(asked) <= asked, "{asked}");
    }
    assert!(lookup_quorum(0) > 0, "no answer is no quorum");
}

/// Guards against durations that go on while a view is not updated, and after it could have missed changes.
#[test]
fn a_view_is_observed_only_while_it_is_confirmed_in_time() {
    let mut continuity = Continuity::default();
    assert_eq!(continuity.observed(at(0)), Observation::default());
    for confirmed in [0, 2_000, 4_000] {
        continuity.record(ViewUpdate::Changed, at(confirmed));
    }
    let sole = |lasted| KnownVersions::Sole { version: SoftwareVersion::new("v1"), lasted: Millis(lasted) };
    assert_eq!(sole(5_000).observed(&continuity.observed(at(5_000))), sole(4_000));
    assert_eq!(sole(2_000).observed(&continuity.observed(at(5_000))), sole(1_000));
    assert_eq!(sole(6_001).observed(&continuity.observed(at(6_001))), sole(0), "the view is not current");
    assert_eq!(KnownVersions::Several.observed(&continuity.observed(at(9_000))), KnownVersions::Several);
    // A store that reports no changes since the view's revision shows that there were none.
    continuity.record(ViewUpdate::Unchanged, at(10_000));
    assert_eq!(continuity.observed(at(10_000)).lasted, Millis(10_000));
    for update in [ViewUpdate::Changed, ViewUpdate::Replaced] {
        let mut after_gap = continuity;
        after_gap.record(update, at(12_001));
        after_gap.record(ViewUpdate::Changed, at(13_000));
        assert_eq!(after_gap.observed(at(13_000)).lasted, Millis(999), "{update:?}");
    }
}

/// Guards against a wrong origin: a stream whose worker came back under its ID with another version before its record was
/// read.
#[test]
fn an_origin_is_contradicted_by_a_newer_record_of_its_worker() {
    let mut table = WorkerTable::default();
    for id in ["i-0", "i-1"] {
        table.apply_record(record(id, "v1"), at(0));
    }
    let mut unconfirmed = UnconfirmedOrigins::default();
    let begin = |unconfirmed: &mut UnconfirmedOrigins, stream, worker: &str, began_at| {
        let record = OriginRecord { key: key(stream), origin: origin("v1") };
        let worker = WorkerId(Arc::from(worker));
        unconfirmed.add(UnconfirmedOrigin { record, lifetime: LIFETIME, worker, began_at });
    };
    begin(&mut unconfirmed, 1, "i-0", at(1_000));
    assert!(unconfirmed.take_contradicted(|id| table.record(id), at(3_000)).is_empty());
    begin(&mut unconfirmed, 2, "i-0", at(4_000));
    begin(&mut unconfirmed, 3, "i-1", at(4_000));
    table.apply_record(record("i-0", "v2"), at(4_500));
    let contradicted = unconfirmed.take_contradicted(|id| table.record(id), at(4_500));
    let keys: Vec<_> = contradicted.iter().map(|contradiction| contradiction.recorded.record.key).collect();
    assert_eq!(keys, [key(2)], "the first stream was confirmed, the third has another worker");
    assert_eq!(contradicted[0].present, origin("v2"));
    assert!(unconfirmed.take_contradicted(|id| table.record(id), at(9_000)).is_empty());
}

#[derive(Clone, Debug)]
enum Step {
    Begin(usize, bool, Reach),
    Resume(usize, usize, Reach),
    RestartGateway(usize, Option<usize>),
    KillAllGateways,
    RestartStorage(usize),
    Replace(usize, usize, bool),
    ReplaceAll(usize),
    CutOff(usize, bool),
    /// Cuts all storage nodes off from the store, or connects them again.
    CutOffStore(bool),
    Wait(u64),
}

fn reach() -> impl Strategy<Value = Reach> {
    prop_oneof![4 => Just(ALL), 2 => (0..3_usize).prop_map(Reach::all_but), 1 => any::<[bool; 3]>().prop_map(Reach), 1 => Just(NONE)]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let node = || proptest::option::of(0..3_usize);
    let step = prop_oneof![
        8 => (0..3_usize, any::<bool>(), reach()).prop_map(|(gateway, is_killed, reach)| Step::Begin(gateway, is_killed, reach)),
        10 => (0..64_usize, 0..3_usize, reach()).prop_map(|(stream, gateway, reach)| Step::Resume(stream, gateway, reach)),
        1 => (0..3_usize, node()).prop_map(|(gateway, source)| Step::RestartGateway(gateway, source)),
        1 => Just(Step::KillAllGateways),
        1 => (0..3_usize).prop_map(Step::RestartStorage),
        2 => (0..2_usize, 0..2_usize, any::<bool>()).prop_map(|(worker, version, keeps_id)| Step::Replace(worker, version, keeps_id)),
        2 => (0..2_usize).prop_map(Step::ReplaceAll),
        3 => (0..6_usize, any::<bool>()).prop_map(|(node, is_cut_off)| Step::CutOff(node, is_cut_off)),
        1 => any::<bool>().prop_map(Step::CutOffStore),
        2 => (0..3_000_u64).prop_map(Step::Wait),
        1 => (3_000..90_000_u64).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 1..120)
}

/// Several rare steps must meet, so there are more cases than usual.
fn fuzz_config() -> ProptestConfig {
    let config = support::fuzz_config();
    ProptestConfig { cases: config.cases * 10, ..config }
}

proptest! {
    #![proptest_config(fuzz_config())]

    /// Guards against any sequence of kills, rollouts, rollbacks and cuts that joins two versions in one stream.
    #[test]
    fn no_sequence_of_cuts_and_rollbacks_joins_two_versions(steps in steps(), seed in any::<u64>()) {
        let mut fleet = Fleet::new(3, 2, seed);
        fleet.wait(CALM);
        for step in steps {
            match step {
                Step::Begin(gateway, is_killed, reach) => fleet.begin_within(gateway, is_killed, reach),
                Step::Resume(stream, gateway, reach) => {
                    let count = fleet.streams.len();
                    let stream = stream % count.max(1);
                    if count > 0 && fleet.now.since(fleet.streams[stream].began_at) < LIFETIME {
                        fleet.resume(stream, gateway, reach);
                    }
                }
                Step::RestartGateway(gateway, source) => fleet.restart_gateway(gateway, source),
                Step::KillAllGateways => fleet.kill_all_gateways(),
                Step::RestartStorage(node) => fleet.restart_storage(node),
                Step::Replace(worker, version, keeps_id) => fleet.replace_worker(worker, ["v1", "v2"][version], keeps_id),
                Step::ReplaceAll(version) => fleet.replace_all(["v1", "v2"][version]),
                Step::CutOff(node, is_cut_off) => fleet.set_cut_off(node, is_cut_off),
                Step::CutOffStore(is_cut_off) => (0..3).for_each(|node| fleet.set_cut_off(node, is_cut_off)),
                Step::Wait(span) => fleet.wait(span),
            }
            prop_assert_eq!(fleet.mixed(), 0);
        }
    }
}
