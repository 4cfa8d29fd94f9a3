//! Guards against streams that hold events of workers of two software versions: the decision where a stream is resumed,
//! the bounds of the records it relies on, and both together under faults, at the size of a small fleet and ten times it.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::configuration::tenant::CallerIdentity;
use stallmoor_core::serving::jobs::directory::{StorageDirectory, StorageRecord};
use stallmoor_core::serving::regions::AllowedRegions;
use stallmoor_core::serving::stream_origins::directory::{MAX_STREAMS, RETENTION, RecordedOrigin};
use stallmoor_core::serving::stream_origins::holders::{ASKED, COPIES, holders};
use stallmoor_core::serving::stream_origins::message::OriginRecord;
use stallmoor_core::serving::stream_origins::rule::KnownOrigin;
use stallmoor_core::serving::stream_origins::{
    Basis, Confirmation, Informant, NodeKnowledge, OriginDirectory, OriginOutbox, Resumption, Statement, StreamKey,
    StreamOrigin, UnknownOrigin, resume_rule, stream_lifetime,
};
use stallmoor_core::serving::workers::versions::KnownVersions;
use stallmoor_core::serving::workers::{SoftwareVersion, WorkerId, WorkerQuery, WorkerRecord, WorkerTable};
use stallmoor_core::time::{Millis, Timestamp};

const SERVICE: &str = "lm";
const LIFETIME: Millis = Millis(10_000);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::new(name)
}

fn origin(name: &str) -> StreamOrigin {
    StreamOrigin { service: Arc::from(SERVICE), version: version(name) }
}

fn key(stream: usize) -> StreamKey {
    StreamKey::of(&CallerIdentity::Unchecked, &format!("stream-{stream}"))
}

fn sole(name: &str, lasted: u64) -> KnownVersions {
    KnownVersions::Sole { version: version(name), lasted: Millis(lasted) }
}

fn node(origin: KnownOrigin, versions: KnownVersions) -> NodeKnowledge {
    NodeKnowledge { origin, versions }
}

/// Returns the statement of a node whose view was confirmed after the request arrived.
fn after(known: NodeKnowledge) -> Statement {
    Statement { known, confirmation: Confirmation::After }
}

/// Returns the statement of a node whose view was confirmed before the request arrived.
fn before(known: NodeKnowledge) -> Statement {
    Statement { known, confirmation: Confirmation::Before }
}

fn resume(own: Statement, answers: &[Statement]) -> Resumption {
    resume_rule(&Arc::from(SERVICE), &own, answers, ASKED, LIFETIME).resumption
}

/// Guards against logs that do not tell how the origin of a resumed stream was known, and by which node.
#[test]
fn a_decision_names_what_it_rests_on() {
    let basis = |own, answers: &[Statement]| resume_rule(&Arc::from(SERVICE), &own, answers, ASKED, LIFETIME).basis;
    let known = || KnownOrigin::Known(origin("v1"));
    let blank = || before(node(KnownOrigin::Unknown, KnownVersions::Unknown));
    assert_eq!(basis(before(node(known(), KnownVersions::Several)), &[]), Basis::Record(Informant::Own));
    let answers = [blank(), before(node(known(), KnownVersions::Several))];
    assert_eq!(basis(blank(), &answers), Basis::Record(Informant::Answer(1)));
    let versions = |lasted| node(KnownOrigin::Unknown, sole("v1", lasted));
    let long = LIFETIME.0;
    assert_eq!(basis(before(versions(10)), &[blank(), after(versions(long))]), Basis::Versions(Informant::Answer(1)));
    assert_eq!(basis(after(versions(long)), &[]), Basis::Versions(Informant::Own));
    let quorum = [blank(), before(versions(long)), before(versions(long))];
    assert_eq!(basis(blank(), &quorum), Basis::Quorum(Informant::Answer(1)));
    let several = before(node(KnownOrigin::Unknown, KnownVersions::Several));
    assert_eq!(basis(after(versions(long)), &[several]), Basis::Versions(Informant::Answer(0)));
    assert_eq!(basis(blank(), &[blank()]), Basis::Nothing);
}

/// Guards against a recorded origin that is ignored because versions look alike, or the other way round.
#[test]
fn a_recorded_origin_decides_whatever_versions_are_known() {
    let known = |name: &str| KnownOrigin::Known(origin(name));
    for versions in [KnownVersions::Unknown, KnownVersions::Several, sole("v2", 60_000)] {
        for state in [before, after] {
            let own = node(known("v1"), versions.clone());
            assert_eq!(resume(state(own), &[]), Resumption::At(origin("v1")));
            let asked = node(KnownOrigin::Unknown, versions.clone());
            let answer = before(node(known("v1"), KnownVersions::Several));
            assert_eq!(resume(state(asked), &[answer]), Resumption::At(origin("v1")));
        }
    }
    let conflict = Resumption::Refused(UnknownOrigin::Conflicting);
    let own = after(node(known("v1"), sole("v1", 60_000)));
    assert_eq!(resume(own.clone(), &[before(node(known("v2"), KnownVersions::Several))]), conflict);
    assert_eq!(resume(own, &[before(node(KnownOrigin::Conflicting, KnownVersions::Several))]), conflict);
}

/// Guards against guesses: a stream without a record is resumed only if one version alone has served for long enough, up to
/// the request.
#[test]
fn an_unrecorded_stream_is_resumed_only_if_its_version_can_be_deduced() {
    let unknown = |versions| node(KnownOrigin::Unknown, versions);
    let refused = Resumption::Refused;
    let long = LIFETIME.0;
    assert_eq!(resume(after(unknown(sole("v1", long))), &[]), Resumption::At(origin("v1")));
    assert_eq!(resume(after(unknown(KnownVersions::Several)), &[]), refused(UnknownOrigin::SeveralVersions));
    assert_eq!(resume(after(unknown(sole("v1", long - 1))), &[]), refused(UnknownOrigin::UncertainPast));
    assert_eq!(resume(after(unknown(KnownVersions::Unknown)), &[]), refused(UnknownOrigin::UncertainPast));
    // A node that was restarted relies on one that was not.
    let restarted = after(unknown(sole("v1", 100)));
    let v1 = || after(unknown(sole("v1", long)));
    assert_eq!(resume(restarted.clone(), &[v1()]), Resumption::At(origin("v1")));
    assert_eq!(resume(restarted, &[after(unknown(sole("v2", long)))]), refused(UnknownOrigin::SeveralVersions));
    // A node that has just started knows no workers, which is no evidence of another version.
    let just_started = after(unknown(KnownVersions::Unknown));
    assert_eq!(resume(v1(), &[just_started]), Resumption::At(origin("v1")));
    let several = before(unknown(KnownVersions::Several));
    assert_eq!(resume(v1(), &[several]), refused(UnknownOrigin::SeveralVersions));
}

/// Guards against a version that joined after the last confirmation of a view and began the stream: views that were
/// confirmed before the request decide only by a quorum of storage nodes without a record.
#[test]
fn a_view_confirmed_before_the_request_decides_only_with_a_quorum() {
    let v1 = |lasted| before(node(KnownOrigin::Unknown, sole("v1", lasted)));
    let (long, refused) = (LIFETIME.0, Resumption::Refused(UnknownOrigin::UncertainPast));
    assert_eq!(resume(v1(long), &[]), refused);
    assert_eq!(resume(v1(long), &[v1(long)]), refused, "one of three storage nodes may lack the record");
    assert_eq!(resume(v1(long), &[v1(long), v1(long - 1)]), refused, "a node that has started since lost its records");
    assert_eq!(resume(v1(0), &[v1(long), v1(long)]), Resumption::At(origin("v1")));
    let with_holders = |holders, answers: &[Statement]| {
        resume_rule(&Arc::from(SERVICE), &v1(long), answers, holders, LIFETIME).resumption
    };
    assert_eq!(with_holders(0, &[]), refused, "without storage nodes there are no records");
    assert_eq!(with_holders(2, &[v1(long)]), Resumption::At(origin("v1")), "both hold a record");
}

/// Guards against a client that uses an ID twice, and against records that arrive twice.
#[test]
fn records_of_different_origins_conflict_and_repeated_ones_do_not() {
    let mut directory = OriginDirectory::default();
    for _ in 0..2 {
        directory.record(key(1), &origin("v1"), at(0));
    }
    assert_eq!(directory.look_up(key(1), at(1)), Some(RecordedOrigin::Known(Arc::new(origin("v1")))));
    directory.record(key(1), &origin("v2"), at(2));
    directory.record(key(1), &origin("v1"), at(3));
    assert_eq!(directory.look_up(key(1), at(4)), Some(RecordedOrigin::Conflicting));
    assert_eq!(directory.look_up(key(2), at(4)), None);
}

/// Guards against memory that grows with the number of streams, and against evicting streams that may still be resumed.
#[test]
fn a_directory_evicts_the_streams_used_least_recently_at_its_bound_and_at_twice_it() {
    let mut directory = OriginDirectory::default();
    for stream in 0..MAX_STREAMS {
        directory.record(key(stream), &origin("v1"), at(stream as u64 / 10_000));
    }
    assert_eq!((directory.len(), directory.evicted()), (MAX_STREAMS, 0));
    assert!(directory.look_up(key(0), at(10)).is_some());
    for stream in MAX_STREAMS..2 * MAX_STREAMS - 1 {
        directory.record(key(stream), &origin("v1"), at(20));
    }
    assert_eq!((directory.len(), directory.evicted()), (MAX_STREAMS, MAX_STREAMS as u64 - 1));
    assert!(directory.look_up(key(0), at(20)).is_some(), "a stream that was used lately must be retained");
    assert!(directory.look_up(key(1), at(20)).is_none());
    assert!(directory.look_up(key(0), at(30) + RETENTION).is_none(), "streams must not be retained for good");
    assert!(directory.is_empty());
}

/// Guards against streams that began before the second version appeared and are known at their own gateway only.
#[test]
fn origins_are_due_once_they_can_no_longer_be_deduced() {
    let mut outbox = OriginOutbox::default();
    let record = |stream| OriginRecord { key: key(stream), origin: origin("v1") };
    outbox.add(record(1), LIFETIME, at(0));
    outbox.add(record(2), LIFETIME, at(6_000));
    assert_eq!(outbox.take_due(|_, _| true, at(6_000)), vec![]);
    assert_eq!(outbox.take_due(|_, _| false, at(11_000)), vec![record(2)], "the first stream has ended");
    assert_eq!(outbox.take_due(|_, _| false, at(11_000)), vec![]);
}

fn storage_nodes(count: usize, zones: usize) -> StorageDirectory {
    let mut directory = StorageDirectory::default();
    for number in 0..count {
        directory.upsert(StorageRecord {
            name: Arc::from(format!("storage-{number}")),
            node: NodeId(number as u64 + 1),
            address: SocketAddr::from(([10, 0, number as u8, 1], 80)),
            zone: Arc::from(format!("zone-{}", number % zones)),
        });
    }
    directory
}

/// Guards against origins that are lost with one zone, and against loading a few storage nodes with all of them.
#[test]
fn origins_are_stored_in_different_zones_and_spread_over_the_storage_nodes() {
    for (count, zones) in [(3, 3), (30, 3), (4, 1), (1, 1), (0, 1)] {
        let directory = storage_nodes(count, zones);
        let mut stored: BTreeMap<NodeId, usize> = BTreeMap::new();
        for stream in 0..1_000 {
            let chosen = holders(key(stream), &directory);
            assert_eq!(chosen.len(), ASKED.min(count));
            let nodes: BTreeSet<_> = chosen.iter().map(|record| record.node).collect();
            assert_eq!(nodes.len(), chosen.len());
            let of_copies: BTreeSet<_> = chosen.iter().take(COPIES).map(|record| &record.zone).collect();
            assert_eq!(of_copies.len(), COPIES.min(zones).min(count));
            chosen.iter().take(COPIES).for_each(|record| *stored.entry(record.node).or_default() += 1);
        }
        let mean = 1_000 * COPIES.min(count) / count.max(1);
        assert!(stored.values().all(|stored| *stored < 2 * mean + 1), "{stored:?}");
    }
}

/// Guards against streams that are still resumed after they count as ended, so that their origin is deduced from versions
/// that served later: on routes with long timeouts, and at workers that have just left.
#[test]
fn a_stream_never_counts_as_ended_before_its_last_attempt_may_begin() {
    for timeout in [0, 1_000, 2_400, 5_000, 60_000, 3_600_000, u64::MAX] {
        let lifetime = stream_lifetime(Millis(timeout));
        assert!(lifetime >= Millis(5_000) && lifetime.0 >= timeout.saturating_mul(2), "{timeout}: {lifetime:?}");
        assert!(lifetime.0 >= timeout.saturating_add(3_000), "{timeout}: {lifetime:?}");
        assert!(timeout > 55_000 || lifetime < RETENTION, "{timeout}: {lifetime:?}");
    }
}

/// Guards against names that other writers can make arbitrarily long, and against confusing two of them.
#[test]
fn versions_are_bounded_and_stay_distinct() {
    let long = "x".repeat(100_000);
    let texts = ["", "v1", "v1 ", "\u{0}", &long, &format!("{long}y")];
    let versions: BTreeSet<SoftwareVersion> = texts.iter().map(|text| SoftwareVersion::new(text)).collect();
    assert_eq!(versions.len(), texts.len());
    assert!(versions.iter().all(|version| version.to_string().len() <= 64));
}

fn record(worker: usize, name: &str) -> WorkerRecord {
    WorkerRecord {
        id: WorkerId(Arc::from(format!("i-{worker}"))),
        service: Arc::from(SERVICE),
        address: SocketAddr::from(([10, 1, (worker / 250) as u8, (worker % 250) as u8], 80)),
        zone: Arc::from("a"),
        version: version(name),
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

/// Guards against a table that takes a departed version for one that never served, or a new one for an old one.
#[test]
fn a_table_knows_the_versions_of_its_workers_and_of_those_that_departed_lately() {
    let mut table = WorkerTable::default();
    assert_eq!(table.known_versions(SERVICE, at(0)), KnownVersions::Unknown);
    table.apply_record(record(1, "v1"), at(0));
    table.apply_record(record(2, "v1"), at(500));
    assert_eq!(table.known_versions(SERVICE, at(2_000)), sole("v1", 2_000));
    table.apply_record(record(3, "v2"), at(3_000));
    assert_eq!(table.known_versions(SERVICE, at(3_000)), KnownVersions::Several);
    assert!(table.has_eligible(&query(Some(&version("v2"))), at(3_000)));
    table.apply_record(record(3, "v1"), at(4_000));
    assert_eq!(
        table.known_versions(SERVICE, at(5_000)),
        KnownVersions::Several,
        "an ID came back with another version"
    );
    table.apply_record(record(4, "v2"), at(6_000));
    table.remove(&WorkerId(Arc::from("i-4")), at(6_500), at(6_000));
    assert!(!table.has_eligible(&query(Some(&version("v2"))), at(7_000)));
    assert_eq!(table.known_versions(SERVICE, at(7_000)), KnownVersions::Several, "its streams may still be resumed");
    table.evict_departed(at(70_000));
    assert_eq!(table.known_versions(SERVICE, at(71_000)), sole("v1", 1_000));
}

/// Guards against forgetting the version of a worker that came back under its ID with another one: the streams that its
/// earlier incarnation began may still be resumed.
#[test]
fn the_version_of_an_earlier_incarnation_counts_as_long_as_that_of_a_departed_worker() {
    let mut table = WorkerTable::default();
    table.apply_record(record(1, "v1"), at(0));
    table.apply_record(record(2, "v2"), at(0));
    table.apply_record(record(2, "v1"), at(4_000));
    table.evict_departed(at(63_999));
    assert_eq!(table.known_versions(SERVICE, at(63_999)), KnownVersions::Several);
    table.evict_departed(at(64_000));
    assert_eq!(table.known_versions(SERVICE, at(65_000)), sole("v1", 1_000));
}

/// Guards against a worker that began streams and left between two updates of a view.
#[test]
fn the_removal_of_an_unknown_worker_ends_the_time_for_which_one_version_was_known() {
    let mut table = WorkerTable::default();
    table.apply_record(record(1, "v1"), at(0));
    table.remove(&WorkerId(Arc::from("i-unseen")), at(30_000), at(30_000));
    assert_eq!(table.known_versions(SERVICE, at(31_000)), sole("v1", 1_000));
}

/// A gateway of the simulated fleet.
#[derive(Default)]
struct Gateway {
    table: WorkerTable,
    directory: OriginDirectory,
    outbox: OriginOutbox,
    /// Records of workers that the gateway has not read yet.
    unread: Vec<WorkerRecord>,
    is_cut_off: bool,
}

/// A storage node of the simulated fleet.
#[derive(Default)]
struct Storage {
    directory: OriginDirectory,
    table: WorkerTable,
}

/// A stream of a simulated client.
struct Stream {
    id: usize,
    began_at: Timestamp,
    versions: BTreeSet<SoftwareVersion>,
}

/// Gateways, storage nodes and clients, without the time that messages take.
struct Fleet {
    gateways: Vec<Gateway>,
    storage: Vec<Storage>,
    nodes: StorageDirectory,
    workers: Vec<WorkerRecord>,
    streams: Vec<Stream>,
    now: Timestamp,
    random: Xoshiro256PlusPlus,
}

impl Fleet {
    fn new(gateways: usize, workers: usize, storage: usize, seed: u64) -> Self {
        let mut fleet = Self {
            gateways: (0..gateways).map(|_| Gateway::default()).collect(),
            storage: (0..storage).map(|_| Storage::default()).collect(),
            nodes: storage_nodes(storage, 3),
            workers: (0..workers).map(|worker| record(worker, "v1")).collect(),
            streams: Vec::new(),
            now: at(0),
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
        };
        (0..gateways).for_each(|gateway| fleet.restart_gateway(gateway));
        (0..storage).for_each(|node| fleet.restart_storage(node));
        fleet
    }

    fn restart_gateway(&mut self, gateway: usize) {
        self.gateways[gateway] = Gateway::default();
        for worker in &self.workers {
            self.gateways[gateway].table.apply_record(worker.clone(), self.now);
        }
    }

    fn restart_storage(&mut self, node: usize) {
        self.storage[node] = Storage::default();
        for worker in &self.workers {
            self.storage[node].table.apply_record(worker.clone(), self.now);
        }
    }

    /// Replaces a worker by one of another version. Gateways that are cut off read its record later.
    fn replace_worker(&mut self, worker: usize, name: &str) {
        self.workers[worker] = record(worker, name);
        let current = &self.workers[worker];
        for node in &mut self.storage {
            node.table.apply_record(current.clone(), self.now);
        }
        for gateway in &mut self.gateways {
            if gateway.is_cut_off {
                gateway.unread.push(current.clone());
            } else {
                gateway.table.apply_record(current.clone(), self.now);
            }
        }
        self.share();
    }

    fn set_cut_off(&mut self, gateway: usize, is_cut_off: bool) {
        let gateway = &mut self.gateways[gateway];
        gateway.is_cut_off = is_cut_off;
        if !is_cut_off {
            for worker in std::mem::take(&mut gateway.unread) {
                gateway.table.apply_record(worker, self.now);
            }
        }
        self.share();
    }

    /// Sends the origins that are due to their holders.
    fn share(&mut self) {
        for gateway in self.gateways.iter_mut().filter(|gateway| !gateway.is_cut_off) {
            let versions = gateway.table.known_versions(SERVICE, self.now);
            let is_deducible = |_: &OriginRecord, lifetime: Millis| matches!(versions, KnownVersions::Sole { lasted, .. } if lasted >= lifetime);
            for OriginRecord { key, origin } in gateway.outbox.take_due(is_deducible, self.now) {
                for holder in holders(key, &self.nodes).into_iter().take(COPIES) {
                    self.storage[holder.node.0 as usize - 1].directory.record(key, &origin, self.now);
                }
            }
        }
    }

    /// Begins a stream at a gateway, which delivers its first event.
    fn begin(&mut self, gateway: usize) {
        let Some(chosen) = self.gateways[gateway].table.choose(&query(None), self.now, &mut self.random) else {
            return;
        };
        // A worker that was replaced rejects requests that name its former ID.
        if self.workers.iter().all(|worker| worker.id != chosen.id || worker.version != chosen.version) {
            return;
        }
        let id = self.streams.len();
        let origin = StreamOrigin { service: Arc::from(SERVICE), version: chosen.version.clone() };
        let entry = &mut self.gateways[gateway];
        entry.directory.record(key(id), &origin, self.now);
        entry.outbox.add(OriginRecord { key: key(id), origin }, LIFETIME, self.now);
        self.streams.push(Stream { id, began_at: self.now, versions: BTreeSet::from([chosen.version]) });
        self.share();
    }

    fn knowledge(directory: &mut OriginDirectory, table: &WorkerTable, id: usize, now: Timestamp) -> NodeKnowledge {
        let origin = directory.look_up(key(id), now).into();
        NodeKnowledge { origin, versions: table.known_versions(SERVICE, now) }
    }

    /// Returns whether a client may still hold the stream.
    fn may_be_resumed(&self, stream: usize) -> bool {
        self.now.since(self.streams[stream].began_at) < LIFETIME
    }

    /// Resumes a stream at a gateway. Returns whether it goes on.
    fn resume(&mut self, stream: usize, gateway: usize) -> bool {
        let (now, id) = (self.now, self.streams[stream].id);
        let entry = &mut self.gateways[gateway];
        let confirmation = if entry.is_cut_off { Confirmation::Before } else { Confirmation::After };
        let known = Self::knowledge(&mut entry.directory, &entry.table, id, now);
        let mut answers = Vec::new();
        if !entry.is_cut_off {
            for holder in holders(key(id), &self.nodes) {
                let node = &mut self.storage[holder.node.0 as usize - 1];
                answers.push(after(Self::knowledge(&mut node.directory, &node.table, id, now)));
            }
        }
        let own = Statement { known, confirmation };
        let decision = resume_rule(&Arc::from(SERVICE), &own, &answers, ASKED, LIFETIME);
        let Resumption::At(origin) = decision.resumption else { return false };
        let table = &self.gateways[gateway].table;
        let Some(chosen) = table.choose(&query(Some(&origin.version)), now, &mut self.random) else { return false };
        if self.workers.iter().all(|worker| worker.id != chosen.id || worker.version != chosen.version) {
            return false;
        }
        self.streams[stream].versions.insert(chosen.version);
        true
    }

    fn mixed(&self) -> usize {
        self.streams.iter().filter(|stream| stream.versions.len() > 1).count()
    }
}

/// Replays the incident: three versions, and a zone's gateways are killed while their streams run.
fn resume_after_kills(scale: usize) {
    let (gateways, workers, streams) = (9 * scale, 12 * scale, 90 * scale);
    let mut fleet = Fleet::new(gateways, workers, 3 * scale, 7);
    fleet.now = at(60_000);
    // These streams begin while there is one version.
    (0..streams / 2).for_each(|number| fleet.begin(number % gateways));
    for worker in 0..workers {
        fleet.replace_worker(worker, ["v1", "v1.1", "v1.2"][worker % 3]);
    }
    (0..streams / 2).for_each(|number| fleet.begin(number % gateways));
    (0..gateways / 3).for_each(|gateway| fleet.restart_gateway(gateway));
    fleet.now = at(61_000);
    let going_on = (0..fleet.streams.len()).filter(|stream| fleet.resume(*stream, (stream + 1) % gateways)).count();
    assert_eq!(fleet.mixed(), 0);
    assert_eq!(going_on, streams, "two workers or more of each version serve, so no stream may be lost");
}

/// Guards against the incident at its size.
#[test]
fn streams_of_killed_gateways_go_on_at_their_version() {
    resume_after_kills(1);
}

/// Guards against the incident at ten times its size.
#[test]
fn streams_of_killed_gateways_go_on_at_their_version_in_a_large_fleet() {
    resume_after_kills(10);
}

#[derive(Clone, Debug)]
enum Step {
    Begin(usize),
    Resume(usize, usize),
    RestartGateway(usize),
    RestartStorage(usize),
    ReplaceWorker(usize, usize),
    CutOff(usize, bool),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..5_usize).prop_map(Step::Begin),
        8 => (0..64_usize, 0..5_usize).prop_map(|(stream, gateway)| Step::Resume(stream, gateway)),
        2 => (0..5_usize).prop_map(Step::RestartGateway),
        1 => (0..3_usize).prop_map(Step::RestartStorage),
        3 => (0..6_usize, 0..3_usize).prop_map(|(worker, version)| Step::ReplaceWorker(worker, version)),
        2 => (0..5_usize, any::<bool>()).prop_map(|(gateway, is_cut_off)| Step::CutOff(gateway, is_cut_off)),
        2 => (0..12_000_u64).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(support::fuzz_config())]

    /// Guards against any sequence of kills, rollouts and partitions that joins events of two versions in one stream.
    #[test]
    fn no_sequence_of_faults_joins_two_versions(steps in steps(), seed in any::<u64>()) {
        let mut fleet = Fleet::new(5, 6, 3, seed);
        for step in steps {
            match step {
                Step::Begin(gateway) => fleet.begin(gateway),
                Step::Resume(stream, gateway) => {
                    let count = fleet.streams.len();
                    if count > 0 && fleet.may_be_resumed(stream % count) {
                        fleet.resume(stream % count, gateway);
                    }
                }
                Step::RestartGateway(gateway) => fleet.restart_gateway(gateway),
                Step::RestartStorage(node) => fleet.restart_storage(node),
                Step::ReplaceWorker(worker, version) => {
                    fleet.replace_worker(worker, ["v1", "v2", "v3"][version]);
                }
                Step::CutOff(gateway, is_cut_off) => fleet.set_cut_off(gateway, is_cut_off),
                Step::Wait(millis) => {
                    fleet.now = fleet.now + Millis(millis);
                    fleet.share();
                }
            }
            prop_assert_eq!(fleet.mixed(), 0);
        }
    }
}

/// Guards against records of one stream that decide on another.
#[test]
fn keys_of_different_clients_and_attempts_differ() {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(3);
    let keys: BTreeSet<StreamKey> =
        (0..10_000).map(|_| StreamKey::of(&CallerIdentity::Unchecked, &random.random::<u128>().to_string())).collect();
    assert_eq!(keys.len(), 10_000);
}
