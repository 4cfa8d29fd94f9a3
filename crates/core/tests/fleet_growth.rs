//! What one node does, counted in fleets of two sizes: it must not grow with the fleet, or grow as the page on capacity
//! says.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stallmoor_core::identity::{GroupId, NodeId};
use stallmoor_core::replication::{LogIndex, PersistedReplica, Replica, ReplicaSettings};
use stallmoor_core::serving::jobs::directory::{StorageDirectory, StorageRecord};
use stallmoor_core::serving::jobs::members::{MembershipPlanner, spare_rank};
use stallmoor_core::serving::regions::AllowedRegions;
use stallmoor_core::serving::relay::bounds::WatchBounds;
use stallmoor_core::serving::relay::choice::rank_aggregators;
use stallmoor_core::serving::relay::contents::{ContentsAnswer, pack};
use stallmoor_core::serving::relay::item::{KeyState, MetadataItem, Revision};
use stallmoor_core::serving::relay::mirror::{Mirror, MissingKeys};
use stallmoor_core::serving::relay::policy::{ViewState, WatchPolicy, WatchStep};
use stallmoor_core::serving::relay::tiers::{RelayTier, plan_relays};
use stallmoor_core::serving::workers::{
    Slowdown, WorkerCount, WorkerId, WorkerLoad, WorkerQuery, WorkerRecord, WorkerTable,
};
use stallmoor_core::time::{Millis, Timestamp};

const ZONES: usize = 5;

/// A fleet's size.
#[derive(Clone, Copy, Debug)]
struct Size {
    gateways: usize,
    storage: usize,
    workers: usize,
}

const SMALL: Size = Size { gateways: 200, storage: 40, workers: 2_000 };
const LARGE: Size = Size { gateways: 800, storage: 160, workers: 8_000 };

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn zone(place: usize) -> Arc<str> {
    Arc::from(format!("zone-{}", place % ZONES))
}

fn storage_id(place: usize) -> NodeId {
    NodeId(1_000 + place as u64)
}

fn gateway_id(place: usize) -> NodeId {
    NodeId(1_000_000 + 7_919 * place as u64)
}

fn directory(size: Size) -> StorageDirectory {
    let mut directory = StorageDirectory::default();
    for place in 0..size.storage {
        directory.upsert(StorageRecord {
            name: Arc::from(format!("storage-{place}")),
            node: storage_id(place),
            address: SocketAddr::from(([10, 0, (place / 250) as u8, (place % 250) as u8], 7100)),
            zone: zone(place),
        });
    }
    directory
}

/// How many nodes ask each storing node for changes, where all that are asked answer.
fn askers(size: Size) -> BTreeMap<NodeId, usize> {
    let directory = directory(size);
    let gateways = (0..size.gateways).map(|place| (gateway_id(place), zone(place)));
    let storage = (0..size.storage).map(|place| (storage_id(place), zone(place)));
    let mut askers: BTreeMap<NodeId, usize> = BTreeMap::new();
    for (node, zone) in gateways.chain(storage) {
        let plan = plan_relays(&directory, &zone, node);
        // Roots watch the store.
        if plan.tier != RelayTier::Root {
            *askers.entry(plan.relays[0]).or_default() += 1;
        }
    }
    askers
}

#[test]
fn nobody_is_asked_for_changes_by_more_nodes_in_a_larger_fleet() {
    let most = |size| askers(size).into_values().max().unwrap_or(0);
    let (small, large) = (most(SMALL), most(LARGE));
    // Two forwarders of eight storing nodes serve 48 nodes of a zone; spread by hash, one has some more than the other.
    assert!(small <= 45, "{small}");
    assert!(large <= small * 3 / 2, "{small} and {large}: four times the fleet");
}

#[test]
fn those_who_watch_the_store_are_as_many_in_a_larger_fleet() {
    let watching = |size: Size| {
        let directory = directory(size);
        let tier = |place: usize| plan_relays(&directory, &zone(place), storage_id(place)).tier;
        (0..size.storage).filter(|place| tier(*place) == RelayTier::Root).count()
    };
    assert_eq!((watching(SMALL), watching(LARGE)), (15, 15), "three a zone");
}

#[test]
fn the_nodes_of_a_zone_do_not_all_fall_upon_one_relay_when_theirs_is_gone() {
    let directory = directory(LARGE);
    let mut second: BTreeMap<NodeId, usize> = BTreeMap::new();
    let mut first: BTreeMap<NodeId, usize> = BTreeMap::new();
    for place in (0..LARGE.gateways).filter(|place| place % ZONES == 0) {
        let plan = plan_relays(&directory, &zone(place), gateway_id(place));
        assert_eq!(plan.tier, RelayTier::Leaf);
        *first.entry(plan.relays[0]).or_default() += 1;
        *second.entry(plan.relays[1]).or_default() += 1;
        let elsewhere = directory.of_node(plan.relays[2]).expect("it is known");
        assert_ne!(elsewhere.zone, zone(place), "the third is of another zone, which may be all that is left");
    }
    for counts in [first, second] {
        assert_eq!(counts.len(), 8, "a forwarder for four storing nodes");
        assert!(counts.values().all(|count| *count <= 40), "{counts:?}: 160 gateways");
    }
}

#[test]
fn small_fleets_have_one_tier() {
    let small = Size { gateways: 50, storage: 35, workers: 50 };
    let directory = directory(small);
    for place in 0..small.gateways {
        let plan = plan_relays(&directory, &zone(place), gateway_id(place));
        let first = directory.of_node(plan.relays[0]).expect("it is known");
        assert_eq!(first.zone, zone(place));
        let expected = plan_relays(&directory, &zone(place), gateway_id(place + ZONES));
        assert_eq!(plan.relays[0], expected.relays[0], "all nodes of a zone ask the same one");
    }
}

#[test]
fn aggregators_are_not_the_relays() {
    let directory = directory(LARGE);
    for place in 0..ZONES {
        let relay = plan_relays(&directory, &zone(place), gateway_id(place)).relays[0];
        assert_ne!(rank_aggregators(&directory, &zone(place), gateway_id(place))[0], relay);
    }
}

/// Join requests a second of all spares together.
fn joins_per_s(size: Size) -> usize {
    let directory = directory(size);
    let joins = |place: usize| {
        let rank = spare_rank(&directory, &zone(place), storage_id(place));
        let persisted = PersistedReplica::default();
        let replica = Replica::new(GroupId(0), storage_id(place), ReplicaSettings::default(), persisted, at(0), 1);
        assert_eq!(replica.log().last_index(), LogIndex(0));
        let mut members = MembershipPlanner::new(storage_id(place), 2, at(0));
        (0..20_000).step_by(40).filter(|millis| members.poll_join(&replica, rank, at(*millis))).count()
    };
    // Each of them is one question and one message to the leader.
    (0..size.storage).map(joins).sum::<usize>() / 20
}

#[test]
fn join_requests_grow_slower_than_the_storing_nodes_and_not_with_their_square() {
    let (small, large) = (joins_per_s(SMALL), joins_per_s(LARGE));
    assert!(large <= small * 2, "{small} and {large}: four times the storing nodes");
    assert!(large <= 100, "{large}");
}

fn worker(place: usize) -> WorkerRecord {
    WorkerRecord {
        id: WorkerId(Arc::from(format!("i-{place:010x}"))),
        service: Arc::from("service"),
        address: SocketAddr::from(([10, 1, (place / 250) as u8, (place % 250) as u8], 80)),
        zone: zone(place),
        slots: 8,
        draining: false,
        started_at: None,
        cold_remaining: Millis(0),
    }
}

fn item(place: usize, revision: u64) -> MetadataItem {
    let WorkerRecord { id, address, zone, .. } = worker(place);
    let value = format!(
        r#"{{"Service":"jefi35a","Address":"{address}","Zone":"{zone}","Version":"v1","Slots":8,"State":"ready","ColdLeftMs":0,"Phase":"dual","Models":[{{"Name":"m","Version":1,"Adapters":[]}}],"Sequence":{revision},"born":17680000{place:05}}}"#
    );
    let state = KeyState::Present(Arc::from(value.into_bytes()));
    MetadataItem { key: Arc::from(format!("servers/{id}")), state, revision: Revision(revision) }
}

/// The mirror of a node that has read all workers' records.
fn mirror(size: Size) -> Mirror {
    let mut mirror = Mirror::default();
    let items: Vec<MetadataItem> = (0..size.workers).map(|place| item(place, place as u64 + 1)).collect();
    mirror.replace(items, Revision(size.workers as u64), MissingKeys::Removed);
    mirror
}

#[test]
fn a_release_of_half_the_workers_is_told_as_changes_and_not_as_everything() {
    for size in [SMALL, LARGE] {
        let mut mirror = mirror(size);
        let before = mirror.at().expect("it has read the store");
        let mut revision = before.0;
        for place in 0..size.workers / 2 {
            let removed = MetadataItem { state: KeyState::Removed, revision: Revision(revision + 1), ..item(place, 1) };
            let added = item(size.workers + place, revision + 2);
            revision += 2;
            mirror.advance(vec![removed, added], Revision(revision));
        }
        let changes = mirror.changes_since(before).expect("it has read the store");
        assert_eq!(changes.base, Some(before), "{size:?}");
        assert_eq!(changes.items.len(), size.workers);
        let latest = mirror.changes_since(Revision(revision - 2)).expect("it has read the store");
        assert_eq!(latest.items.len(), 2, "who is up to date but for one step gets that step");
    }
}

#[test]
fn removals_take_no_more_memory_than_the_items() {
    let mut mirror = mirror(SMALL);
    let mut revision = mirror.at().expect("it has read the store").0;
    for round in 0..10 {
        for place in 0..SMALL.workers {
            let key = round * SMALL.workers + place;
            revision += 2;
            let removed = MetadataItem { state: KeyState::Removed, revision: Revision(revision - 1), ..item(key, 1) };
            mirror.advance(vec![removed, item(key + SMALL.workers, revision)], Revision(revision));
        }
    }
    assert_eq!(mirror.present().count(), SMALL.workers);
    let oldest = (0..revision).find(|since| mirror.knows_changes_since(Revision(*since)));
    let told = mirror.changes_since(Revision(oldest.expect("the latest changes are known"))).expect("it has a view");
    assert!(told.items.len() <= 2 * SMALL.workers + 1, "{}", told.items.len());
}

#[test]
fn all_items_are_packed_into_a_tenth() {
    let items = mirror(SMALL).all_items().expect("it has read the store").items;
    let plain: usize = items.iter().map(|item| item.key.len() + item.value().map_or(0, <[u8]>::len)).sum();
    let packed = pack(&items);
    assert!(packed.len() * 8 <= plain, "{} of {plain} bytes", packed.len());
    let answer = ContentsAnswer { at: Revision(7), age: Millis(3), away: Millis(0), held: Millis(0), packed };
    let read = answer.unpack().expect("it is whole");
    assert_eq!(read.changes.items, items);
    assert_eq!((read.changes.base, read.changes.at, read.age), (None, Revision(7), Millis(3)));
}

#[test]
fn contents_that_are_cut_short_or_no_contents_are_not_believed() {
    let packed = pack(&mirror(SMALL).all_items().expect("it has read the store").items);
    let answer = |packed: &[u8]| {
        let packed = Arc::from(packed);
        ContentsAnswer { at: Revision(7), age: Millis(3), away: Millis(0), held: Millis(0), packed }
    };
    for length in [0, 1, packed.len() / 2, packed.len() - 1] {
        assert!(answer(&packed[..length]).unpack().is_err(), "{length} of {} bytes", packed.len());
    }
    assert!(answer(b"no contents").unpack().is_err());
}

/// Counts how much randomness is taken.
struct CountedDraws {
    source: Xoshiro256PlusPlus,
    draws: u64,
}

impl RngCore for CountedDraws {
    fn next_u32(&mut self) -> u32 {
        self.draws += 1;
        self.source.next_u32()
    }

    fn next_u64(&mut self) -> u64 {
        self.draws += 1;
        self.source.next_u64()
    }

    fn fill_bytes(&mut self, bytes: &mut [u8]) {
        self.draws += 1;
        self.source.fill_bytes(bytes);
    }
}

/// What nodes that start at once do first, where the storing nodes' records are in the store.
#[test]
fn of_a_fleet_that_starts_at_once_only_a_few_nodes_read_all_that_the_store_holds() {
    let bounds = WatchBounds { change: Millis(5_000), contact: Millis(6_000), heartbeat: Millis(5_000) };
    for size in [SMALL, LARGE] {
        let directory = directory(size);
        let gateways = (0..size.gateways).map(|place| (gateway_id(place), zone(place)));
        let storage = (0..size.storage).map(|place| (storage_id(place), zone(place)));
        let mut lists = 0;
        for (node, zone) in gateways.chain(storage) {
            let mut policy = WatchPolicy::new(bounds);
            let view = ViewState { now: at(0), at: None, age: None, asked_at: None };
            assert_eq!(policy.next(view, &[]), WatchStep::DiscoverRelays, "first it looks who can tell");
            policy.relays_discovered(at(0));
            let plan = plan_relays(&directory, &zone, node);
            policy.set_tier(plan.tier);
            match policy.next(view, &plan.relays) {
                WatchStep::ListStore => lists += 1,
                WatchStep::AskRelay { relay, .. } => assert_eq!(relay, plan.relays[0]),
                step => panic!("{step:?}"),
            }
            // Its relay is starting too: it is asked again soon, and the store only when all of it takes too long.
            if plan.tier != RelayTier::Root {
                plan.relays.iter().take(3).for_each(|relay| policy.first_view_failed(*relay, at(10)));
                let view = ViewState { now: at(10), ..view };
                assert!(matches!(policy.next(view, &plan.relays), WatchStep::Wait(_)));
                let view = ViewState { now: at(200), ..view };
                assert!(matches!(policy.next(view, &plan.relays), WatchStep::AskRelay { .. }));
                let view = ViewState { now: at(6_000), ..view };
                assert_eq!(policy.next(view, &plan.relays), WatchStep::ListStore);
            }
        }
        assert_eq!(lists, 15, "{size:?}: three a zone");
    }
}

#[test]
fn a_node_that_finds_no_storing_nodes_looks_again_and_then_reads_the_store() {
    let bounds = WatchBounds { change: Millis(2_000), contact: Millis(3_000), heartbeat: Millis(1_200) };
    let mut policy = WatchPolicy::new(bounds);
    let view = |millis| ViewState { now: at(millis), at: None, age: None, asked_at: None };
    policy.relays_discovered(at(0));
    assert!(matches!(policy.next(view(0), &[]), WatchStep::Wait(_)));
    assert_eq!(policy.next(view(125), &[]), WatchStep::DiscoverRelays);
    policy.relays_discovered(at(125));
    assert!(matches!(policy.next(view(126), &[]), WatchStep::Wait(_)));
    assert_eq!(policy.next(view(500), &[]), WatchStep::ListStore);
}

/// Takes reports for a while on a node that uses some of the workers, of which its peers use others. Returns how many
/// workers it looked at for the last of them.
fn looked_at_for_a_report(size: Size, in_use: usize) -> usize {
    let mut table = WorkerTable::default();
    for place in 0..size.workers {
        table.upsert(worker(place));
    }
    for place in 0..in_use {
        let incarnation = worker(place).incarnation();
        table.started(&incarnation, &[], 0, at(0));
        table.reported(&incarnation, WorkerLoad { running: 1, waiting: 0, slowdown: Slowdown::default() }, at(0));
    }
    let elsewhere = (0..in_use).map(|place| WorkerCount { worker: worker(in_use + place).id, requests: 2 });
    let elsewhere: Vec<_> = elsewhere.collect();
    for millis in [40, 80, 120] {
        table.set_shared_loads(&elsewhere, at(millis));
        assert_eq!(table.local_loads().len(), in_use);
        assert_eq!(table.local_report(at(millis)).len(), in_use);
    }
    table.active_count()
}

#[test]
fn a_report_of_loads_costs_by_the_workers_in_use_and_not_by_all() {
    assert_eq!(looked_at_for_a_report(SMALL, 60), 120);
    assert_eq!(looked_at_for_a_report(LARGE, 60), 120);
}

#[test]
fn workers_without_requests_are_not_looked_at_for_long() {
    let mut table = WorkerTable::default();
    for place in 0..SMALL.workers {
        table.upsert(worker(place));
        table.started(&worker(place).incarnation(), &[], 0, at(0));
        table.ended(&worker(place).incarnation());
    }
    table.set_shared_loads(&[WorkerCount { worker: worker(7).id, requests: 1 }], at(100));
    assert_eq!(table.active_count(), 1);
    table.set_shared_loads(&[], at(200));
    assert_eq!(table.active_count(), 0);
    assert!(table.local_report(at(300)).is_empty());
}

#[test]
fn a_choice_draws_no_more_often_in_a_larger_fleet_and_finds_free_workers() {
    let mut draws = Vec::new();
    for size in [SMALL, LARGE] {
        let mut table = WorkerTable::default();
        for place in 0..size.workers {
            table.upsert(worker(place));
        }
        // Nine in ten workers of the zone are full.
        let full: Vec<_> = (0..size.workers)
            .filter(|place| place % ZONES == 0 && place % (10 * ZONES) != 0)
            .map(|place| WorkerCount { worker: worker(place).id, requests: 12 })
            .collect();
        table.set_shared_loads(&full, at(0));
        let mut random = CountedDraws { source: Xoshiro256PlusPlus::seed_from_u64(3), draws: 0 };
        let ask = WorkerQuery {
            service: "service",
            zone: "zone-0",
            prefix: &[],
            prompt_tokens: 100,
            body_bytes: 1_000,
            tried: &[],
            regions: &AllowedRegions::Any,
        };
        for _ in 0..200 {
            let choice = table.choose(&ask, at(1), &mut random).expect("there are workers");
            assert_eq!((choice.load, choice.candidates), (0, size.workers), "a free one is found");
        }
        draws.push(random.draws);
    }
    // A draw for each worker that is considered, and some for which those are.
    assert!(draws[1] <= draws[0] * 11 / 10, "{draws:?}: four times the workers");
}
