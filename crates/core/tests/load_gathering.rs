//! Loads aggregated per zone must equal the sum over all gateways.

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
const INTERVAL_MS: u64 = 50;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn worker(number: u32) -> WorkerId {
    WorkerId(Arc::from(format!("w{number}")))
}

fn gateway(number: usize) -> NodeId {
    NodeId(100 + number as u64)
}

fn aggregator_id(zone: usize) -> NodeId {
    NodeId(10 + zone as u64)
}

/// A leader, and an aggregator in each zone but the first, whose gateways report directly to the leader.
struct Fleet {
    now: u64,
    leader: LoadAggregator,
    aggregators: Vec<LoadAggregator>,
    /// Number of requests that each gateway runs on each worker.
    loads: Vec<BTreeMap<u32, u32>>,
    /// A worker and the load that it reported to the gateway, for each gateway.
    reported: Vec<Option<(u32, u32)>>,
    /// The last answer that each gateway received.
    received: Vec<LoadReport>,
}

impl Fleet {
    fn new(loads: Vec<BTreeMap<u32, u32>>) -> Self {
        Self {
            now: 0,
            leader: LoadAggregator::default(),
            aggregators: (0..ZONES).map(|_| LoadAggregator::default()).collect(),
            reported: vec![None; loads.len()],
            received: vec![LoadReport::default(); loads.len()],
            loads,
        }
    }

    fn report_of(&self, node: usize) -> LoadReport {
        let reported_by =
            |number: u32| self.reported[node].filter(|(worker, _)| *worker == number).map(|(_, load)| load);
        let workers = (0..WORKERS)
            .filter_map(|number| {
                let requests = self.loads[node].get(&number).copied().unwrap_or(0);
                let reported = reported_by(number);
                let is_reported = requests > 0 || reported.is_some();
                is_reported.then(|| WorkerReport {
                    worker: worker(number),
                    requests,
                    self_reported: reported,
                    ejected_by: 0,
                    batch: 0,
                })
            })
            .collect();
        LoadReport { workers, placed_per_s: 10, ..LoadReport::default() }
    }

    /// Makes one exchange for every node.
    fn round(&mut self) {
        self.now += INTERVAL_MS;
        let now = at(self.now);
        let reports: Vec<LoadReport> = (0..GATEWAYS).map(|node| self.report_of(node)).collect();
        for (node, reported) in reports.into_iter().enumerate() {
            let zone = node % ZONES;
            let aggregator = if zone == 0 { &mut self.leader } else { &mut self.aggregators[zone] };
            aggregator.record_report(gateway(node), reported, now);
            self.received[node] = aggregator.report_for(gateway(node), &[], now);
        }
        for zone in 1..ZONES {
            let Some(sums) = self.aggregators[zone].zone_report(now) else { continue };
            self.leader.record_report(aggregator_id(zone), sums, now);
            let rest = self.leader.report_for(aggregator_id(zone), &[], now);
            self.aggregators[zone].apply_leader_report(rest, now);
        }
    }

    fn requests_of_others(&self, node: usize, number: u32) -> u32 {
        let others = self.loads.iter().enumerate().filter(|(other, _)| *other != node);
        others.map(|(_, loads)| loads.get(&number).copied().unwrap_or(0)).sum()
    }

    fn report_at(&self, node: usize, number: u32) -> WorkerReport {
        let none = WorkerReport { worker: worker(number), requests: 0, self_reported: None, ejected_by: 0, batch: 0 };
        let mut workers = self.received[node].workers.iter();
        workers.find(|report| report.worker == none.worker).cloned().unwrap_or(none)
    }
}

fn loads() -> impl Strategy<Value = Vec<BTreeMap<u32, u32>>> {
    prop::collection::vec(prop::collection::btree_map(0..WORKERS, 1..9_u32, 0..4), GATEWAYS)
}

proptest! {
    #![proptest_config(support::fuzz_config())]

    #[test]
    fn every_gateway_receives_the_sum_of_all_others(first in loads(), second in loads()) {
        let mut fleet = Fleet::new(first);
        for loads in [None, Some(second)] {
            fleet.loads = loads.unwrap_or(fleet.loads);
            for _ in 0..6 {
                fleet.round();
            }
            for node in 0..GATEWAYS {
                for number in 0..WORKERS {
                    prop_assert_eq!(fleet.report_at(node, number).requests, fleet.requests_of_others(node, number));
                }
                prop_assert_eq!(fleet.received[node].nodes as usize, GATEWAYS - 1);
                prop_assert_eq!(fleet.received[node].placed_per_s as usize, 10 * (GATEWAYS - 1));
            }
        }
    }
}

#[test]
fn load_reported_by_a_worker_reaches_all_zones_and_expires() {
    let mut fleet = Fleet::new(vec![BTreeMap::new(); GATEWAYS]);
    fleet.reported[1] = Some((2, 7));
    for _ in 0..4 {
        fleet.round();
    }
    for node in 0..GATEWAYS {
        assert_eq!(fleet.report_at(node, 2).self_reported, Some(7), "gateway {node}");
    }
    fleet.reported[1] = None;
    // Each of the two aggregation steps keeps worker reports for up to 100 ms and takes one round.
    for _ in 0..8 {
        fleet.round();
    }
    for node in 0..GATEWAYS {
        assert_eq!(fleet.report_at(node, 2).self_reported, None, "gateway {node}");
    }
}

#[test]
fn age_of_an_aggregated_report_counts_from_the_gateways_reports() {
    let report = LoadReport { placed_per_s: 10, ..LoadReport::default() };
    let (mut zone_aggregator, mut leader) = (LoadAggregator::default(), LoadAggregator::default());
    zone_aggregator.record_report(gateway(1), report.clone(), at(0));
    let sums = zone_aggregator.zone_report(at(30)).expect("a gateway reported");
    assert_eq!(sums.age, Millis(30));
    leader.record_report(aggregator_id(1), sums, at(30));
    assert_eq!(leader.report_for(gateway(2), &[], at(50)).age, Millis(50));
    // A new report from a gateway with the same request rate halves the average age.
    leader.record_report(gateway(3), report, at(50));
    assert_eq!(leader.report_for(gateway(2), &[], at(50)).age, Millis(25));
}

#[test]
fn aggregator_without_gateways_sends_no_report() {
    let mut aggregator = LoadAggregator::default();
    aggregator.apply_leader_report(LoadReport { placed_per_s: 5, ..LoadReport::default() }, at(0));
    assert_eq!(aggregator.zone_report(at(1)), None);
}
