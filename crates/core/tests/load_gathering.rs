//! Loads that are gathered in each zone first, against the plain sum over all gateways.

use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::prelude::*;
use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::jobs::load_aggregator::LoadAggregator;
use stallmoor_core::serving::workers::{LoadReport, WorkerId, WorkerReport};
use stallmoor_core::time::{Millis, Timestamp};

mod support;

const ZONES: usize = 3;
const GATEWAYS: usize = 9;
const WORKERS: u32 = 4;
/// The time between two exchanges.
const INTERVAL: u64 = 50;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn worker(number: u32) -> WorkerId {
    WorkerId(Arc::from(format!("w{number}")))
}

fn gateway(number: usize) -> NodeId {
    NodeId(100 + number as u64)
}

fn gatherer(zone: usize) -> NodeId {
    NodeId(10 + zone as u64)
}

/// A leader, and a gatherer in each zone but the first, whose gateways tell the leader.
struct World {
    now: u64,
    leader: LoadAggregator,
    gatherers: Vec<LoadAggregator>,
    /// What each gateway has at each worker.
    loads: Vec<BTreeMap<u32, u32>>,
    /// What each gateway was told by a worker of late.
    told: Vec<Option<(u32, u32)>>,
    heard: Vec<LoadReport>,
}

impl World {
    fn new(loads: Vec<BTreeMap<u32, u32>>) -> Self {
        Self {
            now: 0,
            leader: LoadAggregator::default(),
            gatherers: (0..ZONES).map(|_| LoadAggregator::default()).collect(),
            told: vec![None; loads.len()],
            heard: vec![LoadReport::default(); loads.len()],
            loads,
        }
    }

    fn news_of(&self, node: usize) -> LoadReport {
        let told_by = |number: u32| self.told[node].filter(|(worker, _)| *worker == number).map(|(_, load)| load);
        let workers = (0..WORKERS)
            .filter_map(|number| {
                let requests = self.loads[node].get(&number).copied().unwrap_or(0);
                let told = told_by(number);
                let has_news = requests > 0 || told.is_some();
                has_news.then(|| WorkerReport {
                    worker: worker(number),
                    requests,
                    self_reported: told,
                    ejected_by: 0,
                    batch: 0,
                })
            })
            .collect();
        LoadReport { workers, placed_per_s: 10, ..LoadReport::default() }
    }

    /// Every node exchanges once.
    fn round(&mut self) {
        self.now += INTERVAL;
        let now = at(self.now);
        let news: Vec<LoadReport> = (0..GATEWAYS).map(|node| self.news_of(node)).collect();
        for (node, told) in news.into_iter().enumerate() {
            let zone = node % ZONES;
            let share = if zone == 0 { &mut self.leader } else { &mut self.gatherers[zone] };
            share.record_report(gateway(node), told, now);
            self.heard[node] = share.report_for(gateway(node), &[], now);
        }
        for zone in 1..ZONES {
            let Some(sums) = self.gatherers[zone].zone_report(now) else { continue };
            self.leader.record_report(gatherer(zone), sums, now);
            let rest = self.leader.report_for(gatherer(zone), &[], now);
            self.gatherers[zone].apply_leader_report(rest, now);
        }
    }

    fn others_at(&self, node: usize, number: u32) -> u32 {
        let others = self.loads.iter().enumerate().filter(|(other, _)| *other != node);
        others.map(|(_, loads)| loads.get(&number).copied().unwrap_or(0)).sum()
    }

    fn heard_at(&self, node: usize, number: u32) -> WorkerReport {
        let none = WorkerReport { worker: worker(number), requests: 0, self_reported: None, ejected_by: 0, batch: 0 };
        let mut workers = self.heard[node].workers.iter();
        workers.find(|news| news.worker == none.worker).cloned().unwrap_or(none)
    }
}

fn loads() -> impl Strategy<Value = Vec<BTreeMap<u32, u32>>> {
    prop::collection::vec(prop::collection::btree_map(0..WORKERS, 1..9_u32, 0..4), GATEWAYS)
}

proptest! {
    #![proptest_config(support::fuzz_config())]

    #[test]
    fn every_gateway_hears_the_sum_of_all_others(first in loads(), second in loads()) {
        let mut world = World::new(first);
        for loads in [None, Some(second)] {
            world.loads = loads.unwrap_or(world.loads);
            for _ in 0..6 {
                world.round();
            }
            for node in 0..GATEWAYS {
                for number in 0..WORKERS {
                    prop_assert_eq!(world.heard_at(node, number).requests, world.others_at(node, number));
                }
                prop_assert_eq!(world.heard[node].nodes as usize, GATEWAYS - 1);
                prop_assert_eq!(world.heard[node].placed_per_s as usize, 10 * (GATEWAYS - 1));
            }
        }
    }
}

#[test]
fn what_a_worker_told_one_gateway_reaches_all_zones_and_does_not_go_round() {
    let mut world = World::new(vec![BTreeMap::new(); GATEWAYS]);
    world.told[1] = Some((2, 7));
    for _ in 0..4 {
        world.round();
    }
    for node in 0..GATEWAYS {
        assert_eq!(world.heard_at(node, 2).self_reported, Some(7), "gateway {node}");
    }
    world.told[1] = None;
    // The sums keep what workers told for up to 100 ms at each of two steps, and each step takes a round.
    for _ in 0..8 {
        world.round();
    }
    for node in 0..GATEWAYS {
        assert_eq!(world.heard_at(node, 2).self_reported, None, "gateway {node}");
    }
}

#[test]
fn the_age_of_what_is_heard_counts_from_the_gateways_word_on() {
    let news = LoadReport { placed_per_s: 10, ..LoadReport::default() };
    let (mut gatherer_share, mut leader) = (LoadAggregator::default(), LoadAggregator::default());
    gatherer_share.record_report(gateway(1), news.clone(), at(0));
    let sums = gatherer_share.zone_report(at(30)).expect("a gateway told it");
    assert_eq!(sums.age, Millis(30));
    leader.record_report(gatherer(1), sums, at(30));
    assert_eq!(leader.report_for(gateway(2), &[], at(50)).age, Millis(50));
    // One that tells just now, and places as much, halves it.
    leader.record_report(gateway(3), news, at(50));
    assert_eq!(leader.report_for(gateway(2), &[], at(50)).age, Millis(25));
}

#[test]
fn a_gatherer_without_gateways_tells_nothing() {
    let mut share = LoadAggregator::default();
    share.apply_leader_report(LoadReport { placed_per_s: 5, ..LoadReport::default() }, at(0));
    assert_eq!(share.zone_report(at(1)), None);
}
