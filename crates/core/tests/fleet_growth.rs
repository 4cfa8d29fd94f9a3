//! Work of a single node, counted in fleets of two sizes. It must not grow with the fleet, or only as stated on the
//! capacity page.

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
    Slowdown, SoftwareVersion, WorkerCount, WorkerId, WorkerLoad, WorkerQuery, WorkerRecord, WorkerTable,
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

fn zone(index: usize) -> Arc<str> {
    Arc::from(format!("zone-{}", index % ZONES))
}

fn storage_id(index: usize) -> NodeId {
    NodeId(1_000 + index as u64)
}

fn gateway_id(index: usize) -> NodeId {
    NodeId(1_000_000 + 7_919 * index as u64)
}

fn directory(size: Size) -> StorageDirectory {
    let mut directory = StorageDirectory::default();
    for index in 0..size.storage {
        directory.upsert(StorageRecord {
            name: Arc::from(format!("storage-{index}")),
            node: storage_id(index),
            address: SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7100)),
            zone: zone(index),
        });
    }
    directory
}

/// Returns the number of nodes that query each storage node for changes while all relays answer.
fn requesters_per_relay(size: Size) -> BTreeMap<NodeId, usize> {
    let directory = directory(size);
    let gateways = (0..size.gateways).map(|index| (gateway_id(index), zone(index)));
    let storage = (0..size.storage).map(|index| (storage_id(index), zone(index)));
    let mut requesters_per_relay: BTreeMap<NodeId, usize> = BTreeMap::new();
    for (node, zone) in gateways.chain(storage) {
        let plan = plan_relays(&directory, &zone, node);
        // Roots watch the store.
        if plan.tier != RelayTier::Root {
            *requesters_per_relay.entry(plan.relays[0]).or_default() += 1;
        }
    }
    requesters_per_relay
}

#[test]
fn the_number_of_nodes_that_query_a_relay_does_not_grow_with_the_fleet() {
    let max_requesters = |size| requesters_per_relay(size).into_values().max().unwrap_or(0);
    let (small, large) = (max_requesters(SMALL), max_requesters(LARGE));
    // Two forwarders of eight storage nodes serve the 48 nodes of a zone; the hash does not distribute them exactly
    // evenly.
    assert!(small <= 45, "{small}");
    assert!(large <= small * 3 / 2, "{small} and {large}: the fleet is four times as large");
}

#[test]
fn the_number_of_nodes_that_watch_the_store_does_not_grow_with_the_fleet() {
    let watching_nodes = |size: Size| {
        let directory = directory(size);
        let tier = |index: usize| plan_relays(&directory, &zone(index), storage_id(index)).tier;
        (0..size.storage).filter(|index| tier(*index) == RelayTier::Root).count()
    };
    assert_eq!((watching_nodes(SMALL), watching_nodes(LARGE)), (15, 15), "three per zone");
}

#[test]
fn the_nodes_of_a_failed_relay_are_distributed_over_the_other_relays() {
    let directory = directory(LARGE);
    let mut second: BTreeMap<NodeId, usize> = BTreeMap::new();
    let mut first: BTreeMap<NodeId, usize> = BTreeMap::new();
    for index in (0..LARGE.gateways).filter(|index| index % ZONES == 0) {
        let plan = plan_relays(&directory, &zone(index), gateway_id(index));
        assert_eq!(plan.tier, RelayTier::Leaf);
        *first.entry(plan.relays[0]).or_default() += 1;
        *second.entry(plan.relays[1]).or_default() += 1;
        let third = directory.of_node(plan.relays[2]).expect("the directory has it");
        assert_ne!(third.zone, zone(index), "the third is in another zone, in case this zone fails");
    }
    for counts in [first, second] {
        assert_eq!(counts.len(), 8, "one forwarder per four storage nodes");
        assert!(counts.values().all(|count| *count <= 40), "{counts:?}: 160 gateways");
    }
}

#[test]
fn small_fleets_have_one_tier_of_relays() {
    let small = Size { gateways: 50, storage: 35, workers: 50 };
    let directory = directory(small);
    for index in 0..small.gateways {
        let plan = plan_relays(&directory, &zone(index), gateway_id(index));
        let first = directory.of_node(plan.relays[0]).expect("the directory has it");
        assert_eq!(first.zone, zone(index));
        let expected = plan_relays(&directory, &zone(index), gateway_id(index + ZONES));
        assert_eq!(plan.relays[0], expected.relays[0], "all nodes of a zone query the same relay");
    }
}

#[test]
fn aggregators_are_not_relays() {
    let directory = directory(LARGE);
    for index in 0..ZONES {
        let relay = plan_relays(&directory, &zone(index), gateway_id(index)).relays[0];
        assert_ne!(rank_aggregators(&directory, &zone(index), gateway_id(index))[0], relay);
    }
}

/// Returns the join requests per second of all spares together.
fn joins_per_s(size: Size) -> usize {
    let directory = directory(size);
    let joins = |index: usize| {
        let rank = spare_rank(&directory, &zone(index), storage_id(index));
        let persisted = PersistedReplica::default();
        let replica = Replica::new(GroupId(0), storage_id(index), ReplicaSettings::default(), persisted, at(0), 1);
        assert_eq!(replica.log().last_index(), LogIndex(0));
        let mut members = MembershipPlanner::new(storage_id(index), 2, at(0));
        (0..20_000).step_by(40).filter(|millis| members.poll_join(&replica, rank, at(*millis))).count()
    };
    // Each join request is one query and one message to the leader.
    (0..size.storage).map(joins).sum::<usize>() / 20
}

#[test]
fn join_requests_grow_more_slowly_than_the_number_of_storage_nodes() {
    let (small, large) = (joins_per_s(SMALL), joins_per_s(LARGE));
    assert!(large <= small * 2, "{small} and {large}: there are four times as many storage nodes");
    assert!(large <= 100, "{large}");
}

fn worker(index: usize) -> WorkerRecord {
    WorkerRecord {
        id: WorkerId(Arc::from(format!("i-{index:010x}"))),
        service: Arc::from("service"),
        address: SocketAddr::from(([10, 1, (index / 250) as u8, (index % 250) as u8], 80)),
        zone: zone(index),
        slots: 8,
        draining: false,
        started_at: None,
        cold_remaining: Millis(0),
        version: SoftwareVersion::new("v1"),
    }
}

fn item(index: usize, revision: u64) -> MetadataItem {
    let WorkerRecord { id, address, zone, .. } = worker(index);
    let value = format!(
        r#"{{"Service":"jefi35a","Address":"{address}","Zone":"{zone}","Version":"v1","Slots":8,"State":"ready","ColdLeftMs":0,"Phase":"dual","Models":[{{"Name":"m","Version":1,"Adapters":[]}}],"Sequence":{revision},"born":17680000{index:05}}}"#
    );
    let state = KeyState::Present(Arc::from(value.into_bytes()));
    MetadataItem { key: Arc::from(format!("servers/{id}")), state, revision: Revision(revision) }
}

/// Returns the mirror of a node that has read all workers' records.
fn mirror(size: Size) -> Mirror {
    let mut mirror = Mirror::default();
    let items: Vec<MetadataItem> = (0..size.workers).map(|index| item(index, index as u64 + 1)).collect();
    mirror.replace(items, Revision(size.workers as u64), MissingKeys::Removed);
    mirror
}

#[test]
fn a_release_of_half_the_workers_is_sent_as_changes_and_not_as_all_items() {
    for size in [SMALL, LARGE] {
        let mut mirror = mirror(size);
        let before = mirror.at().expect("the mirror has a view");
        let mut revision = before.0;
        for index in 0..size.workers / 2 {
            let removed = MetadataItem { state: KeyState::Removed, revision: Revision(revision + 1), ..item(index, 1) };
            let added = item(size.workers + index, revision + 2);
            revision += 2;
            mirror.advance(vec![removed, added], Revision(revision));
        }
        let changes = mirror.changes_since(before).expect("the mirror has a view");
        assert_eq!(changes.base, Some(before), "{size:?}");
        assert_eq!(changes.items.len(), size.workers);
        let latest = mirror.changes_since(Revision(revision - 2)).expect("the mirror has a view");
        assert_eq!(latest.items.len(), 2, "a node that is one update behind receives only that update");
    }
}

#[test]
fn tombstones_take_no_more_memory_than_the_items() {
    let mut mirror = mirror(SMALL);
    let mut revision = mirror.at().expect("the mirror has a view").0;
    for round in 0..10 {
        for index in 0..SMALL.workers {
            let key = round * SMALL.workers + index;
            revision += 2;
            let removed = MetadataItem { state: KeyState::Removed, revision: Revision(revision - 1), ..item(key, 1) };
            mirror.advance(vec![removed, item(key + SMALL.workers, revision)], Revision(revision));
        }
    }
    assert_eq!(mirror.present().count(), SMALL.workers);
    let oldest = (0..revision).find(|since| mirror.has_changes_since(Revision(*since)));
    let changes = mirror
        .changes_since(Revision(oldest.expect("the latest changes are retained")))
        .expect("the mirror has a view");
    assert!(changes.items.len() <= 2 * SMALL.workers + 1, "{}", changes.items.len());
}

#[test]
fn all_items_compress_to_an_eighth_of_their_size() {
    let items = mirror(SMALL).all_items().expect("the mirror has a view").items;
    let plain: usize = items.iter().map(|item| item.key.len() + item.value().map_or(0, <[u8]>::len)).sum();
    let packed = pack(&items);
    assert!(packed.len() * 8 <= plain, "{} of {plain} bytes", packed.len());
    let answer = ContentsAnswer { at: Revision(7), age: Millis(3), away: Millis(0), held: Millis(0), packed };
    let read = answer.unpack().expect("the contents are valid");
    assert_eq!(read.changes.items, items);
    assert_eq!((read.changes.base, read.changes.at, read.age), (None, Revision(7), Millis(3)));
}

#[test]
fn truncated_or_invalid_contents_are_rejected() {
    let packed = pack(&mirror(SMALL).all_items().expect("the mirror has a view").items);
    let answer = |packed: &[u8]| {
        let packed = Arc::from(packed);
        ContentsAnswer { at: Revision(7), age: Millis(3), away: Millis(0), held: Millis(0), packed }
    };
    for length in [0, 1, packed.len() / 2, packed.len() - 1] {
        assert!(answer(&packed[..length]).unpack().is_err(), "{length} of {} bytes", packed.len());
    }
    assert!(answer(b"no contents").unpack().is_err());
}

/// Random number generator that counts the draws.
struct CountingRng {
    source: Xoshiro256PlusPlus,
    draws: u64,
}

impl RngCore for CountingRng {
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

/// Guards against all nodes of a starting fleet listing the complete store. The storage nodes' records are already in
/// the store.
#[test]
fn only_the_roots_of_a_starting_fleet_list_the_complete_store() {
    let bounds = WatchBounds { change: Millis(5_000), contact: Millis(6_000), heartbeat: Millis(5_000) };
    for size in [SMALL, LARGE] {
        let directory = directory(size);
        let gateways = (0..size.gateways).map(|index| (gateway_id(index), zone(index)));
        let storage = (0..size.storage).map(|index| (storage_id(index), zone(index)));
        let mut lists = 0;
        for (node, zone) in gateways.chain(storage) {
            let mut policy = WatchPolicy::new(bounds);
            let view = ViewState { now: at(0), at: None, age: None, last_request_at: None };
            assert_eq!(policy.next(view, &[]), WatchStep::DiscoverRelays, "the storage nodes are looked up first");
            policy.relays_discovered(at(0));
            let plan = plan_relays(&directory, &zone, node);
            policy.set_tier(plan.tier);
            match policy.next(view, &plan.relays) {
                WatchStep::ListStore => lists += 1,
                WatchStep::QueryRelay { relay, .. } => assert_eq!(relay, plan.relays[0]),
                step => panic!("{step:?}"),
            }
            // Its relay is starting too: the relay is retried soon, and the store is listed only after the contact
            // bound.
            if plan.tier != RelayTier::Root {
                plan.relays.iter().take(3).for_each(|relay| policy.record_first_view_failure(*relay, at(10)));
                let view = ViewState { now: at(10), ..view };
                assert!(matches!(policy.next(view, &plan.relays), WatchStep::Wait(_)));
                let view = ViewState { now: at(200), ..view };
                assert!(matches!(policy.next(view, &plan.relays), WatchStep::QueryRelay { .. }));
                let view = ViewState { now: at(6_000), ..view };
                assert_eq!(policy.next(view, &plan.relays), WatchStep::ListStore);
            }
        }
        assert_eq!(lists, 15, "{size:?}: three per zone");
    }
}

#[test]
fn a_node_that_finds_no_storage_nodes_retries_and_then_lists_the_store() {
    let bounds = WatchBounds { change: Millis(2_000), contact: Millis(3_000), heartbeat: Millis(1_200) };
    let mut policy = WatchPolicy::new(bounds);
    let view = |millis| ViewState { now: at(millis), at: None, age: None, last_request_at: None };
    policy.relays_discovered(at(0));
    assert!(matches!(policy.next(view(0), &[]), WatchStep::Wait(_)));
    assert_eq!(policy.next(view(125), &[]), WatchStep::DiscoverRelays);
    policy.relays_discovered(at(125));
    assert!(matches!(policy.next(view(126), &[]), WatchStep::Wait(_)));
    assert_eq!(policy.next(view(500), &[]), WatchStep::ListStore);
}

/// Takes several load reports on a node that uses some of the workers while its peers use others. Returns the number
/// of workers considered for the last report.
fn workers_considered_for_a_report(size: Size, in_use: usize) -> usize {
    let mut table = WorkerTable::default();
    for index in 0..size.workers {
        table.upsert(worker(index));
    }
    for index in 0..in_use {
        let incarnation = worker(index).incarnation();
        table.record_start(&incarnation, &[], 0, at(0));
        table.record_load(&incarnation, WorkerLoad { running: 1, waiting: 0, slowdown: Slowdown::default() }, at(0));
    }
    let peer_loads = (0..in_use).map(|index| WorkerCount { worker: worker(in_use + index).id, requests: 2 });
    let peer_loads: Vec<_> = peer_loads.collect();
    for millis in [40, 80, 120] {
        table.set_shared_loads(&peer_loads, at(millis));
        assert_eq!(table.local_loads().len(), in_use);
        assert_eq!(table.local_report(at(millis)).len(), in_use);
    }
    table.active_count()
}

#[test]
fn the_cost_of_a_load_report_depends_on_the_workers_in_use() {
    assert_eq!(workers_considered_for_a_report(SMALL, 60), 120);
    assert_eq!(workers_considered_for_a_report(LARGE, 60), 120);
}

#[test]
fn workers_without_requests_soon_drop_out_of_load_reports() {
    let mut table = WorkerTable::default();
    for index in 0..SMALL.workers {
        table.upsert(worker(index));
        table.record_start(&worker(index).incarnation(), &[], 0, at(0));
        table.record_end(&worker(index).incarnation());
    }
    table.set_shared_loads(&[WorkerCount { worker: worker(7).id, requests: 1 }], at(100));
    assert_eq!(table.active_count(), 1);
    table.set_shared_loads(&[], at(200));
    assert_eq!(table.active_count(), 0);
    assert!(table.local_report(at(300)).is_empty());
}

#[test]
fn the_draws_for_a_choice_do_not_grow_with_the_fleet_and_find_idle_workers() {
    let mut draws = Vec::new();
    for size in [SMALL, LARGE] {
        let mut table = WorkerTable::default();
        for index in 0..size.workers {
            table.upsert(worker(index));
        }
        // Nine in ten workers of the zone are full.
        let full: Vec<_> = (0..size.workers)
            .filter(|index| index % ZONES == 0 && index % (10 * ZONES) != 0)
            .map(|index| WorkerCount { worker: worker(index).id, requests: 12 })
            .collect();
        table.set_shared_loads(&full, at(0));
        let mut random = CountingRng { source: Xoshiro256PlusPlus::seed_from_u64(3), draws: 0 };
        let query = WorkerQuery {
            service: "service",
            zone: "zone-0",
            prefix: &[],
            prompt_tokens: 100,
            body_bytes: 1_000,
            tried: &[],
            regions: &AllowedRegions::Any,
            may_run_again: true,
            version: None,
        };
        for _ in 0..200 {
            let choice = table.choose(&query, at(1), &mut random).expect("there are workers");
            assert_eq!((choice.load, choice.candidates), (0, size.workers), "an idle worker is found");
        }
        draws.push(random.draws);
    }
    // One draw per candidate considered, and a few to select the candidates.
    assert!(draws[1] <= draws[0] * 11 / 10, "{draws:?}: there are four times as many workers");
}
