//! Simulates zones that return cold, on a virtual clock. Guards against many gateways together exceeding the rate limit
//! of cold workers, with delayed and lost permit responses and a leader change.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stallmoor_core::serving::configuration::tenant::MilliRequests;
use stallmoor_core::serving::regions::AllowedRegions;
use stallmoor_core::serving::workers::cold_start::{ColdStart, PERMIT_INTERVAL, PERMIT_LIFETIME};
use stallmoor_core::serving::workers::permit_grants::PermitGrants;
use stallmoor_core::serving::workers::{
    SoftwareVersion, WorkerCount, WorkerId, WorkerQuery, WorkerRecord, WorkerTable,
};
use stallmoor_core::time::{Millis, Timestamp};

const SERVICE: &str = "service";
const STEP: Millis = Millis(5);
const COLD_START: ColdStart = ColdStart { per_s: MilliRequests(23_000), lasts: Millis(3_000) };
/// Limit on requests to one cold worker within a second: 1.5 times its rate limit, plus 5.
const MAX_REQUESTS_PER_SECOND: usize = 39;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn record(index: usize, zone: &str) -> WorkerRecord {
    WorkerRecord {
        id: WorkerId(Arc::from(format!("{zone}-{index}"))),
        service: Arc::from(SERVICE),
        address: SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 80)),
        zone: Arc::from(zone),
        slots: 8,
        draining: false,
        started_at: None,
        cold_remaining: Millis(0),
        version: SoftwareVersion::new("v1"),
    }
}

#[derive(Clone, Copy)]
struct Scenario {
    gateways: usize,
    /// Number of workers in each of the two zones.
    workers: usize,
    /// Requests per second of each gateway.
    per_s: f64,
    /// Time of a leader change, in milliseconds. The former leader keeps granting to a third of the gateways for as
    /// long as it may still respond.
    new_leader_at: Option<u64>,
    /// Fraction of permit responses that are lost.
    loss_rate: f64,
    /// Percentage of the gateways that reach no leader and use their shares of the rate.
    leaderless_percent: usize,
}

struct Gateway {
    table: WorkerTable,
    wanted: Vec<WorkerId>,
    next_permit_request_at: Timestamp,
    answers: VecDeque<Answer>,
}

struct Answer {
    at: Timestamp,
    granted: Vec<WorkerCount>,
    until: Timestamp,
}

/// Arrival times of requests at each cold worker.
type Arrivals = BTreeMap<WorkerId, Vec<Timestamp>>;

struct World {
    scenario: Scenario,
    random: Xoshiro256PlusPlus,
    gateways: Vec<Gateway>,
    leader: PermitGrants,
    former_leader: PermitGrants,
    arrivals: Arrivals,
    request_count: usize,
}

impl World {
    /// Creates a world in which the zone `back` returns cold at the start and all workers of the other zone are full.
    fn new(scenario: Scenario, seed: u64) -> Self {
        let random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut world = Self {
            scenario,
            random,
            gateways: Vec::new(),
            leader: PermitGrants::default(),
            former_leader: PermitGrants::default(),
            arrivals: Arrivals::new(),
            request_count: 0,
        };
        for index in 0..scenario.gateways {
            let gateway = world.gateway(index);
            world.gateways.push(gateway);
        }
        world
    }

    fn is_leaderless(&self, index: usize) -> bool {
        index * 100 < self.scenario.gateways * self.scenario.leaderless_percent
    }

    fn gateway(&mut self, index: usize) -> Gateway {
        let mut table = WorkerTable::default();
        table.set_cold_starts([(Arc::from(SERVICE), COLD_START)].into());
        let zone: Arc<str> = Arc::from("back");
        table.set_evacuated(&zone, true, at(0));
        for index in 0..self.scenario.workers {
            table.apply_record(record(index, "back"), at(0));
            table.apply_record(record(index, "full"), at(0));
        }
        table.set_evacuated(&zone, false, at(0));
        table.set_node_count(self.scenario.gateways as u32 + 1, at(0), &mut self.random);
        table.set_permit_leader(!self.is_leaderless(index));
        Gateway { table, wanted: Vec::new(), next_permit_request_at: at(0), answers: VecDeque::new() }
    }

    fn run(&mut self, millis: u64) {
        let mut now = at(0);
        while now < at(millis) {
            for index in 0..self.gateways.len() {
                self.step(index, now);
            }
            now = now + STEP;
        }
    }

    fn step(&mut self, index: usize, now: Timestamp) {
        let due = self.gateways[index].answers.front().is_some_and(|answer| answer.at <= now);
        if due && let Some(answer) = self.gateways[index].answers.pop_front() {
            self.gateways[index].table.add_permits(&answer.granted, answer.until);
        }
        if self.random.random_bool(self.scenario.per_s * STEP.0 as f64 / 1_000.0) {
            self.request(index, now);
        }
        let has_leader = !self.is_leaderless(index);
        if has_leader && !self.gateways[index].wanted.is_empty() && self.gateways[index].next_permit_request_at <= now {
            self.request_permits(index, now);
        }
    }

    fn request(&mut self, index: usize, now: Timestamp) {
        self.request_count += 1;
        let gateway = &mut self.gateways[index];
        let full: Vec<WorkerCount> = (0..self.scenario.workers)
            .map(|index| WorkerCount { worker: record(index, "full").id, requests: 12 })
            .collect();
        gateway.table.set_shared_loads(&full, now);
        let query = WorkerQuery {
            service: SERVICE,
            zone: "back",
            prefix: &[],
            prompt_tokens: 100,
            body_bytes: 1_000,
            tried: &[],
            regions: &AllowedRegions::Any,
            may_run_again: true,
            version: None,
        };
        if gateway.table.has_cold_workers(now) {
            gateway.wanted = gateway.table.wanted_permits(&query, now, &mut self.random);
        }
        let choice = gateway.table.choose(&query, now, &mut self.random).expect("warm workers are available");
        gateway.table.record_start(&choice.incarnation(), &[], 0, now);
        gateway.table.record_end(&choice.incarnation());
        if choice.id.0.starts_with("back") {
            self.arrivals.entry(choice.id).or_default().push(now);
        }
    }

    fn request_permits(&mut self, index: usize, now: Timestamp) {
        let delay = Millis(self.random.random_range(1..40));
        let is_lost = self.random.random_bool(self.scenario.loss_rate);
        let uses_former_leader = match self.scenario.new_leader_at {
            Some(millis) if now < at(millis) => true,
            // A partitioned leader stops responding before its successor can take over.
            Some(millis) if now < at(millis + 200) => index.is_multiple_of(3),
            _ => false,
        };
        if self.scenario.new_leader_at.is_some_and(|millis| now >= at(millis) && now < at(millis) + STEP) {
            self.leader.reset(now);
        }
        let gateway = &mut self.gateways[index];
        let wanted = std::mem::take(&mut gateway.wanted);
        let leader = if uses_former_leader { &mut self.former_leader } else { &mut self.leader };
        let granted = leader.grant(&wanted, |_| Some(COLD_START), now + delay);
        gateway.next_permit_request_at = now + PERMIT_INTERVAL;
        if !is_lost {
            gateway.answers.push_back(Answer { at: now + delay + delay, granted, until: now + PERMIT_LIFETIME });
        }
    }

    /// Returns the maximum number of requests that reached one cold worker within a second.
    fn busiest_second(&self) -> usize {
        let max_per_second = |arrivals: &Vec<Timestamp>| {
            let counts = arrivals.iter().enumerate().map(|(first, window_start)| {
                arrivals[first..].iter().take_while(|arrived| arrived.since(*window_start) < Millis(1_000)).count()
            });
            counts.max().unwrap_or(0)
        };
        self.arrivals.values().map(max_per_second).max().unwrap_or(0)
    }

    fn requests_to_cold_workers(&self) -> usize {
        self.arrivals.values().map(Vec::len).sum()
    }
}

const BASE_SCENARIO: Scenario =
    Scenario { gateways: 77, workers: 20, per_s: 6.0, new_leader_at: None, loss_rate: 0.05, leaderless_percent: 0 };

#[test]
fn returning_zone_is_used_within_cold_start_limits() {
    for seed in 0..10 {
        let mut world = World::new(BASE_SCENARIO, seed);
        world.run(2_500);
        assert!(world.busiest_second() <= MAX_REQUESTS_PER_SECOND, "seed {seed}: {}", world.busiest_second());
        // Half of the workers are in that zone and some permits expire unused, so a third of the requests is expected.
        let request_count = world.request_count;
        assert!(
            world.requests_to_cold_workers() * 3 > request_count,
            "seed {seed}: {} of {request_count}",
            world.requests_to_cold_workers()
        );
    }
}

#[test]
fn single_least_loaded_cold_worker_is_not_overloaded() {
    for seed in 0..10 {
        let mut world = World::new(Scenario { workers: 1, per_s: 20.0, ..BASE_SCENARIO }, seed);
        world.run(2_500);
        let busiest = world.busiest_second();
        assert!(busiest <= MAX_REQUESTS_PER_SECOND, "seed {seed}: {busiest}");
        assert!(busiest >= 10, "seed {seed}: {busiest}");
    }
}

#[test]
fn leader_change_does_not_exceed_cold_start_limits() {
    for seed in 0..10 {
        for new_leader_at in [100, 600, 1_100, 1_600] {
            let scenario = Scenario { workers: 2, per_s: 20.0, new_leader_at: Some(new_leader_at), ..BASE_SCENARIO };
            let mut world = World::new(scenario, seed);
            world.run(2_500);
            assert!(world.busiest_second() <= MAX_REQUESTS_PER_SECOND, "seed {seed}: {}", world.busiest_second());
        }
    }
}

#[test]
fn lost_permits_are_not_replaced() {
    let mut world = World::new(Scenario { loss_rate: 1.0, ..BASE_SCENARIO }, 1);
    world.run(2_500);
    assert_eq!(world.requests_to_cold_workers(), 0);
}

/// Guards against idle cold workers while there is no leader, and against gateways that exceed their limit together.
#[test]
fn gateways_share_the_rate_of_cold_workers_without_a_leader() {
    for gateways in [1, 2, 5, 20, 77, 300] {
        for seed in 0..10 {
            let per_s = (500.0 / gateways as f64).clamp(5.0, 150.0);
            let scenario = Scenario { gateways, workers: 4, per_s, leaderless_percent: 100, ..BASE_SCENARIO };
            let mut world = World::new(scenario, seed);
            world.run(3_000);
            let busiest = world.busiest_second();
            assert!(busiest <= MAX_REQUESTS_PER_SECOND, "{gateways} gateways, seed {seed}: {busiest}");
            // Four workers, three seconds, half of the share of 8 requests per second.
            let served = world.requests_to_cold_workers();
            assert!(served >= 4 * 3 * 4, "{gateways} gateways, seed {seed}: {served}");
        }
    }
}

/// Guards against an overload while the leader grants permits to some gateways and the others use their shares.
#[test]
fn shares_leave_room_for_the_permits_of_other_gateways() {
    for gateways in [2, 5, 20, 77, 300] {
        for leaderless_percent in [10, 50, 90] {
            for seed in 0..10 {
                let per_s = (1_500.0 / gateways as f64).min(150.0);
                let scenario = Scenario { gateways, workers: 2, per_s, leaderless_percent, ..BASE_SCENARIO };
                let mut world = World::new(scenario, seed);
                world.run(3_000);
                let busiest = world.busiest_second();
                let case = format!("{gateways} gateways, {leaderless_percent}% without a leader, seed {seed}");
                assert!(busiest <= MAX_REQUESTS_PER_SECOND, "{case}: {busiest}");
            }
        }
    }
}

#[test]
fn limit_holds_for_hundreds_of_gateways_and_workers() {
    let mut world = World::new(Scenario { gateways: 300, workers: 200, per_s: 3.0, ..BASE_SCENARIO }, 3);
    world.run(1_000);
    assert!(world.busiest_second() <= MAX_REQUESTS_PER_SECOND, "{}", world.busiest_second());
    assert!(
        world.requests_to_cold_workers() * 3 > world.request_count,
        "{} of {}",
        world.requests_to_cold_workers(),
        world.request_count
    );
}
