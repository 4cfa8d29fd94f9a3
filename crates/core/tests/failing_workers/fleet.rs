//! Nodes that send requests to workers and exchange reports through an aggregator, on a virtual clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stallmoor_core::serving::regions::AllowedRegions;
use stallmoor_core::serving::workers::outcome_report::{MilliCount, OutcomeReport, RouteOutcomes, WorkerOutcomes};
use stallmoor_core::serving::workers::outcomes::{Outcome, SuspicionChange};
use stallmoor_core::serving::workers::{
    SoftwareVersion, WorkerId, WorkerIncarnation, WorkerQuery, WorkerRecord, WorkerTable,
};
use stallmoor_core::time::{Millis, Timestamp, UnixMillis};

pub const SERVICE: &str = "service";
pub const ZONES: usize = 4;
/// Time between two exchanges of reports, and between two reviews.
const INTERVAL_MS: u64 = 100;
/// Probability of a request to a suspected worker.
const TRIAL_PROBABILITY: f64 = 0.25;

pub fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

pub fn random(seed: u64) -> Xoshiro256PlusPlus {
    Xoshiro256PlusPlus::seed_from_u64(seed)
}

pub fn zone(index: usize) -> Arc<str> {
    Arc::from(format!("zone-{}", index % ZONES))
}

pub fn id(worker: usize) -> WorkerId {
    WorkerId(Arc::from(format!("w-{worker:05}")))
}

pub fn record(worker: usize) -> WorkerRecord {
    WorkerRecord {
        id: id(worker),
        service: Arc::from(SERVICE),
        address: SocketAddr::from(([10, 0, (worker / 256) as u8, worker as u8], 80)),
        zone: zone(worker),
        slots: 8,
        draining: false,
        started_at: Some(UnixMillis(1_000)),
        cold_remaining: Millis(0),
        version: SoftwareVersion::new("v1"),
    }
}

pub fn incarnation(worker: usize) -> WorkerIncarnation {
    record(worker).incarnation()
}

pub fn table(workers: usize) -> WorkerTable {
    let mut table = WorkerTable::default();
    for worker in 0..workers {
        table.upsert(record(worker));
    }
    table
}

pub fn query<'a>(zone: &'a str, may_run_again: bool, tried: &'a [WorkerId]) -> WorkerQuery<'a> {
    WorkerQuery {
        service: SERVICE,
        zone,
        prefix: &[],
        prompt_tokens: 0,
        body_bytes: 0,
        tried,
        regions: &AllowedRegions::Any,
        may_run_again,
        version: None,
    }
}

/// A route of the simulated fleet.
#[derive(Clone, Debug)]
pub struct Route {
    pub name: Arc<str>,
    /// Share of the requests.
    pub share: f64,
    pub may_run_again: bool,
    /// Fraction of requests that fail at every worker.
    pub bad_requests: f64,
}

pub fn route(name: &str, share: f64, may_run_again: bool, bad_requests: f64) -> Route {
    Route { name: Arc::from(name), share, may_run_again, bad_requests }
}

pub fn usual_routes() -> Vec<Route> {
    vec![route("chat", 0.6, true, 0.0), route("once", 0.35, false, 0.0), route("items", 0.05, true, 0.01)]
}

/// Failure rate of a worker for a request of a node in a zone.
pub type FailureRate = Box<dyn Fn(usize, usize) -> f64>;

pub struct Fleet {
    pub nodes: Vec<WorkerTable>,
    pub workers: usize,
    pub routes: Vec<Route>,
    pub failure_rate: FailureRate,
    pub requests_per_s: f64,
    pub random: Xoshiro256PlusPlus,
    pub now_ms: u64,
    /// Runs of each worker over all nodes.
    pub runs: Vec<u32>,
    pub exchanges: bool,
    /// Whether nodes send few requests to workers that they suspect.
    pub avoids_suspected: bool,
}

impl Fleet {
    pub fn new(nodes: usize, workers: usize, seed: u64, failure_rate: FailureRate) -> Self {
        Self {
            nodes: (0..nodes).map(|_| table(workers)).collect(),
            workers,
            routes: usual_routes(),
            failure_rate,
            requests_per_s: 200.0,
            random: random(seed),
            now_ms: 0,
            runs: vec![0; workers],
            exchanges: true,
            avoids_suspected: false,
        }
    }

    pub fn now(&self) -> Timestamp {
        at(self.now_ms)
    }

    /// Runs the fleet until `until_ms`, each request at a worker drawn at random. Returns the changes with their nodes.
    pub fn run(&mut self, until_ms: u64) -> Vec<(usize, SuspicionChange)> {
        let mut changes = Vec::new();
        while self.now_ms < until_ms {
            let expected = self.requests_per_s * INTERVAL_MS as f64 / 1_000.0;
            let requests = (expected + self.random.random::<f64>()) as u32;
            for _ in 0..requests {
                self.request();
            }
            self.now_ms += INTERVAL_MS;
            if self.exchanges {
                self.exchange();
            }
            changes.extend(self.review());
        }
        changes
    }

    fn request(&mut self) {
        let node = self.random.random_range(0..self.nodes.len());
        let mut first = self.random.random_range(0..self.workers);
        // Roughly one trial per second of each suspected worker.
        while self.avoids_suspected && self.nodes[node].is_suspected(&id(first), self.now()) {
            if self.random.random_bool(TRIAL_PROBABILITY) {
                break;
            }
            first = self.random.random_range(0..self.workers);
        }
        self.request_at(node, first);
    }

    /// Sends one request from a node to a worker, and to a second one if it fails and may run again.
    pub fn request_at(&mut self, node: usize, first: usize) {
        let route = self.draw_route();
        let is_bad = self.random.random_bool(route.bad_requests);
        let now = self.now();
        if !self.attempt(node, first, is_bad) {
            self.nodes[node].record_outcome(&incarnation(first), &route.name, Outcome::Served, now);
            return;
        }
        self.nodes[node].record_outcome(&incarnation(first), &route.name, Outcome::Failed, now);
        if !route.may_run_again || self.workers < 2 {
            return;
        }
        let second = (first + self.random.random_range(1..self.workers)) % self.workers;
        if !self.attempt(node, second, is_bad) {
            self.nodes[node].record_outcome(&incarnation(second), &route.name, Outcome::Served, now);
        } else if self.nodes[node].is_suspected(&id(second), now) {
            self.nodes[node].record_outcome(&incarnation(second), &route.name, Outcome::Failed, now);
        } else {
            self.nodes[node].retract_failure(&incarnation(first), &route.name, now, now);
        }
    }

    fn attempt(&mut self, node: usize, worker: usize, is_bad: bool) -> bool {
        self.runs[worker] += 1;
        is_bad || self.random.random_bool((self.failure_rate)(worker, node % ZONES))
    }

    fn draw_route(&mut self) -> Route {
        let mut drawn = self.random.random::<f64>() * self.routes.iter().map(|route| route.share).sum::<f64>();
        for route in &self.routes {
            drawn -= route.share;
            if drawn < 0.0 {
                return route.clone();
            }
        }
        self.routes.last().expect("there are routes").clone()
    }

    /// Exchanges the reports of all nodes.
    pub fn exchange(&mut self) {
        let now = self.now();
        let reports: Vec<OutcomeReport> = self.nodes.iter().map(|node| node.outcome_report(now)).collect();
        let sums = Sums::of(&reports);
        for (node, table) in self.nodes.iter_mut().enumerate() {
            if reports[node].is_empty() {
                continue;
            }
            let dropped = table.apply_outcomes(&sums.answer(node, &reports[node]), now);
            assert!(dropped.is_empty(), "sums of sound reports are plausible: {dropped:?}");
        }
    }

    pub fn review(&mut self) -> Vec<(usize, SuspicionChange)> {
        let now = self.now();
        let review = |(node, table): (usize, &mut WorkerTable)| {
            table.review_suspicion(now).into_iter().map(move |change| (node, change)).collect::<Vec<_>>()
        };
        self.nodes.iter_mut().enumerate().flat_map(review).collect()
    }

    /// Returns the number of nodes at which a worker is suspected.
    pub fn suspecting(&self, worker: usize) -> usize {
        self.nodes.iter().filter(|node| node.is_suspected(&id(worker), self.now())).count()
    }
}

type Key = (WorkerId, Arc<str>);

/// Sums of reports, as an aggregator keeps them.
pub struct Sums {
    all: BTreeMap<Key, [u32; 3]>,
    by_zone: Vec<BTreeMap<Key, [u32; 3]>>,
    routes: BTreeMap<Arc<str>, [u32; 2]>,
}

fn figures(outcomes: &WorkerOutcomes) -> [u32; 3] {
    [outcomes.served.0, outcomes.failed.0, outcomes.failing_nodes]
}

fn plus<const N: usize>(sum: &mut [u32; N], figures: [u32; N]) {
    sum.iter_mut().zip(figures).for_each(|(sum, figure)| *sum += figure);
}

fn minus<const N: usize>(sum: [u32; N], figures: [u32; N]) -> [u32; N] {
    std::array::from_fn(|index| sum[index] - figures[index])
}

impl Sums {
    pub fn of(reports: &[OutcomeReport]) -> Self {
        let mut sums = Self { all: BTreeMap::new(), by_zone: vec![BTreeMap::new(); ZONES], routes: BTreeMap::new() };
        for (node, report) in reports.iter().enumerate() {
            for outcomes in &report.workers {
                let key = (outcomes.worker.clone(), outcomes.route.clone());
                plus(sums.all.entry(key.clone()).or_default(), figures(outcomes));
                plus(sums.by_zone[node % ZONES].entry(key).or_default(), figures(outcomes));
            }
            for outcomes in &report.routes {
                let figures = [outcomes.served.0, outcomes.failed.0];
                plus(sums.routes.entry(outcomes.route.clone()).or_default(), figures);
            }
        }
        sums
    }

    /// Returns the sums without those of the asker.
    pub fn answer(&self, node: usize, asker: &OutcomeReport) -> OutcomeReport {
        let own: BTreeMap<Key, [u32; 3]> =
            asker.workers.iter().map(|own| ((own.worker.clone(), own.route.clone()), figures(own))).collect();
        let rest = |sums: &BTreeMap<Key, [u32; 3]>| {
            let others = sums.iter().map(|(key, sum)| (key, minus(*sum, own.get(key).copied().unwrap_or_default())));
            let outcomes = |((worker, route), [served, failed, nodes]): (&Key, [u32; 3])| WorkerOutcomes {
                worker: worker.clone(),
                started_at: Some(UnixMillis(1_000)),
                route: route.clone(),
                served: MilliCount(served),
                failed: MilliCount(failed),
                failing_nodes: nodes,
            };
            others.map(outcomes).filter(|others| others.served.0 + others.failed.0 > 0).collect()
        };
        let own_route = |route: &Arc<str>| {
            let own = asker.routes.iter().find(|own| own.route == *route);
            own.map_or([0, 0], |own| [own.served.0, own.failed.0])
        };
        let totals = self.routes.iter().map(|(route, sum)| (route, minus(*sum, own_route(route))));
        let route_outcomes = |(route, [served, failed]): (&Arc<str>, [u32; 2])| RouteOutcomes {
            route: route.clone(),
            served: MilliCount(served),
            failed: MilliCount(failed),
        };
        OutcomeReport {
            zone: zone(node),
            workers: rest(&self.all),
            zone_workers: rest(&self.by_zone[node % ZONES]),
            routes: totals.map(route_outcomes).collect(),
        }
    }
}
