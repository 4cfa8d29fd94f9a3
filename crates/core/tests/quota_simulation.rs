//! Tenants' rate limits over many gateways on a virtual clock, compared with a single ideal bucket that sees all
//! requests.

use std::collections::VecDeque;
use std::sync::Arc;

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::configuration::tenant::{MilliRequests, RateLimit, TenantName};
use stallmoor_core::serving::quota::bucket::{BucketLimit, TokenBucket};
use stallmoor_core::serving::quota::coordinator::RateCoordinator;
use stallmoor_core::serving::quota::limiter::{Admission, AdmissionRequest, RateLimiter};
use stallmoor_core::serving::quota::message::{QuotaLevels, QuotaReport};
use stallmoor_core::time::{Millis, Timestamp};

mod support;

/// Window in which admitted requests are counted.
const WINDOW_MS: u64 = 5_000;
/// One-way delay between a gateway and the leader.
const DELAY_MS: u64 = 3;
/// Time for which a request waits for the leader's first answer for its tenant.
const FIRST_ANSWER_TIMEOUT_MS: u64 = 60;
const REPORT_TIMEOUT_MS: u64 = 250;
/// Allowed excess over the limit: a tenth, plus [`EXCESS_MARGIN`] requests.
const EXCESS_FRACTION: f64 = 0.1;
/// Time after a start within which a gateway learns the number of gateways. A partition before that may admit more
/// than the allowed excess; docs/design/shifted-work.md states the amount.
const SETTLING_MS: u64 = 3_000;
const EXCESS_MARGIN: f64 = 20.0;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn limit(per_s: f64, burst: f64) -> RateLimit {
    RateLimit { per_s: MilliRequests((per_s * 1e3) as i64), burst: MilliRequests((burst * 1e3) as i64) }
}

/// Half-open interval in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Span {
    from: u64,
    to: u64,
}

impl Span {
    fn contains(self, now: u64) -> bool {
        (self.from..self.to).contains(&now)
    }
}

/// A scenario with its load and faults.
#[derive(Clone, Debug)]
struct Scenario {
    gateways: usize,
    /// Number of gateways that receive requests, counted from the first.
    serving_gateways: usize,
    limit: RateLimit,
    /// Demand in requests per second, for each second of the run. The last value applies to the rest.
    demand_per_s: Vec<f64>,
    /// Number of gateways, counted from the first, that are disconnected from the leader during `disconnected_span`.
    disconnected: usize,
    disconnected_span: Span,
    /// Time at which a new leader without state takes over.
    new_leader_at: Option<u64>,
    /// Time at which all gateways are killed and restarted.
    kill_at: Option<u64>,
    /// Time at which a lower limit takes effect, and that limit.
    lowered_limit: Option<(u64, RateLimit)>,
    length_ms: u64,
    seed: u64,
}

impl Scenario {
    fn steady(gateways: usize, serving_gateways: usize, per_s: f64, burst: f64, demand_per_s: Vec<f64>) -> Self {
        Self {
            gateways,
            serving_gateways,
            limit: limit(per_s, burst),
            demand_per_s,
            disconnected: 0,
            disconnected_span: Span { from: 0, to: 0 },
            new_leader_at: None,
            kill_at: None,
            lowered_limit: None,
            length_ms: 20_000,
            seed: 1,
        }
    }

    fn limit_at(&self, now: u64) -> RateLimit {
        self.lowered_limit.filter(|(from, _)| now >= *from).map_or(self.limit, |(_, lowered_limit)| lowered_limit)
    }
}

/// Result of a scenario.
#[derive(Debug, Default)]
struct Outcome {
    sent: u64,
    admitted: u64,
    /// Requests that a single bucket would have admitted.
    ideal: u64,
    /// Maximum number of requests in a window beyond the limit.
    worst_excess: f64,
    /// Maximum excess in a window as a fraction of the allowed excess.
    worst_excess_ratio: f64,
}

enum Message {
    Report { gateway: usize, report: QuotaReport, sent_at: u64 },
    Levels { gateway: usize, report: QuotaReport, levels: QuotaLevels, sent_at: u64 },
}

fn simulate(scenario: &Scenario) -> Outcome {
    let name = TenantName::new("tenant");
    let mut random = Xoshiro256PlusPlus::seed_from_u64(scenario.seed);
    let mut ids: Vec<NodeId> = (1..=scenario.gateways as u64).map(NodeId).collect();
    let machine = |number: usize| Arc::from(format!("gateway-{number}"));
    let mut limiters: Vec<RateLimiter> =
        (0..scenario.gateways).map(|number| RateLimiter::new(machine(number))).collect();
    let mut reported_at: Vec<u64> = (0..scenario.gateways as u64).map(|number| number * 7 % 100).collect();
    let mut leader = RateCoordinator::default();
    leader.reset(at(0));
    let mut ideal = TokenBucket::with_level(BucketLimit::of(scenario.limit).capacity, at(0));
    let mut messages: VecDeque<(u64, Message)> = VecDeque::new();
    let mut admitted_at: VecDeque<u64> = VecDeque::new();
    let mut waiting: VecDeque<(u64, usize)> = VecDeque::new();
    let mut answered_at = vec![0; scenario.gateways];
    let mut unanswered: Vec<Option<u64>> = vec![None; scenario.gateways];
    let mut outcome = Outcome::default();
    for now in 0..scenario.length_ms {
        let limit = scenario.limit_at(now);
        let is_disconnected =
            |gateway: usize| gateway < scenario.disconnected && scenario.disconnected_span.contains(now);
        if scenario.new_leader_at == Some(now) {
            leader.reset(at(now));
            messages.clear();
        }
        if scenario.kill_at == Some(now) {
            for (number, limiter) in limiters.iter_mut().enumerate() {
                *limiter = RateLimiter::new(machine(number));
                unanswered[number] = None;
                ids[number].0 += 1_000;
            }
        }
        if now % 100 == 0 {
            // Reported loads are used for one second, so an unreachable gateway is detected that much later.
            let undetected =
                Span { from: scenario.disconnected_span.from, to: scenario.disconnected_span.from + 1_000 };
            let unreachable = if scenario.disconnected_span.contains(now) && !undetected.contains(now) {
                scenario.disconnected
            } else {
                0
            };
            let (known, reachable) = (scenario.gateways as u32, (scenario.gateways - unreachable) as u32);
            leader.record_gateway_count(reachable, known, at(now));
            let connected = limiters.iter_mut().enumerate().filter(|(gateway, _)| !is_disconnected(*gateway));
            connected.for_each(|(_, limiter)| limiter.record_gateway_count(known, at(now)));
        }
        leader.tick(at(now));
        while messages.front().is_some_and(|(due, _)| *due <= now) {
            match messages.pop_front().expect("the queue is not empty").1 {
                Message::Report { gateway, report, sent_at } if !is_disconnected(gateway) => {
                    let levels = leader.report(ids[gateway], &report, |_| Some(limit), at(now));
                    messages.push_back((now + DELAY_MS, Message::Levels { gateway, report, levels, sent_at }));
                }
                Message::Levels { gateway, report, levels, sent_at } if !is_disconnected(gateway) => {
                    limiters[gateway].apply(&report, &levels, at(sent_at));
                    answered_at[gateway] = now;
                    unanswered[gateway] = None;
                }
                _ => {}
            }
        }
        for gateway in 0..scenario.gateways {
            if unanswered[gateway].is_some_and(|since| now >= since + REPORT_TIMEOUT_MS) {
                limiters[gateway].record_report_failure();
            }
            if limiters[gateway].next_report(at(reported_at[gateway])) <= at(now) {
                reported_at[gateway] = now;
                unanswered[gateway].get_or_insert(now);
                let report = limiters[gateway].report(at(now));
                messages.push_back((now + DELAY_MS, Message::Report { gateway, report, sent_at: now }));
            }
        }
        let second = (now / 1_000) as usize;
        let demand_per_s = scenario.demand_per_s.get(second).or(scenario.demand_per_s.last()).copied().unwrap_or(0.0);
        let mut due = demand_per_s / 1_000.0;
        while due > 0.0 && random.random::<f64>() < due {
            due -= 1.0;
            outcome.sent += 1;
            ideal.refill(BucketLimit::of(limit), at(now));
            if ideal.level() >= 1.0 {
                ideal.spend(1.0, 0.0);
                outcome.ideal += 1;
            }
            let gateway = random.random_range(0..scenario.serving_gateways);
            let request = AdmissionRequest { tenant: &name, limit, has_waited: false };
            match limiters[gateway].admit(&request, random.random(), at(now)) {
                Admission::Admitted => admitted_at.push_back(now),
                Admission::AwaitLevel => waiting.push_back((now, gateway)),
                Admission::Refused(_) => {}
            }
        }
        waiting.retain(|(since, gateway)| {
            if answered_at[*gateway] <= *since && now < since + FIRST_ANSWER_TIMEOUT_MS {
                return true;
            }
            let request = AdmissionRequest { tenant: &name, limit, has_waited: true };
            if limiters[*gateway].admit(&request, random.random(), at(now)) == Admission::Admitted {
                admitted_at.push_back(now);
            }
            false
        });
        outcome.admitted += admitted_at.iter().rev().take_while(|then| **then == now).count() as u64;
        while admitted_at.front().is_some_and(|then| then + WINDOW_MS <= now) {
            admitted_at.pop_front();
        }
        // A lowered limit applies to windows that start after it takes effect.
        let binding =
            if scenario.lowered_limit.is_some_and(|(from, _)| now < from + WINDOW_MS) { scenario.limit } else { limit };
        let bound = BucketLimit::of(binding).accrued(Millis(WINDOW_MS)) + binding.burst.0 as f64 / 1e3;
        let excess = admitted_at.len() as f64 - bound;
        outcome.worst_excess = outcome.worst_excess.max(excess);
        outcome.worst_excess_ratio = outcome.worst_excess_ratio.max(excess / (bound * EXCESS_FRACTION + EXCESS_MARGIN));
    }
    outcome
}

#[test]
fn a_tenant_below_its_limit_is_rarely_refused() {
    // Alternating demand, for a small tenant at three gateways and larger ones at thirty and more.
    for (per_s, serving_gateways) in [(8.0, 3), (120.0, 30), (120.0, 51)] {
        let usual_demand = per_s / 1.6;
        let steps: Vec<f64> =
            (0..20).map(|second| if second % 6 < 3 { usual_demand * 0.4 } else { usual_demand * 1.87 }).collect();
        let outcome = simulate(&Scenario::steady(51, serving_gateways, per_s, per_s, steps));
        let refused = outcome.ideal.saturating_sub(outcome.admitted);
        assert!(refused * 50 <= outcome.sent, "more than 2% were refused: {outcome:?}");
        assert!(outcome.worst_excess_ratio <= 1.0, "{outcome:?}");
    }
}

#[test]
fn a_tenant_far_above_its_limit_gets_its_limit_and_no_more() {
    for (per_s, serving_gateways, factor) in [(8.0, 3, 10.0), (40.0, 51, 10.0), (120.0, 30, 3.0), (120.0, 51, 6.0)] {
        let outcome = simulate(&Scenario::steady(51, serving_gateways, per_s, per_s, vec![per_s * factor]));
        assert!(outcome.worst_excess_ratio <= 1.0, "{per_s} {serving_gateways} {factor}: {outcome:?}");
        assert!(outcome.admitted * 100 >= outcome.ideal * 95, "{per_s} {serving_gateways} {factor}: {outcome:?}");
    }
}

#[test]
fn gateways_that_lose_the_leader_continue_with_their_share() {
    let steps = vec![75.0; 20];
    let disconnected = Scenario {
        disconnected: 18,
        disconnected_span: Span { from: 4_000, to: 16_000 },
        ..Scenario::steady(51, 51, 120.0, 120.0, steps)
    };
    let outcome = simulate(&disconnected);
    assert!(outcome.admitted * 100 >= outcome.ideal * 95, "{outcome:?}");
    let overloaded = Scenario { demand_per_s: vec![600.0; 20], ..disconnected };
    let outcome = simulate(&overloaded);
    assert!(outcome.worst_excess_ratio <= 1.0, "{outcome:?}");
}

/// Guards against exceeding the limit when demand rises to many times its usual level while a third of the gateways
/// has been disconnected since before their demand was known, also with a change of the leader meanwhile.
#[test]
fn a_tenant_keeps_its_limit_when_demand_rises_while_gateways_are_disconnected() {
    for seed in 0..20 {
        for (disconnected_from, new_leader_at) in
            [(300, None), (1_000, Some(9_500)), (1_000, Some(7_000)), (4_000, Some(6_200))]
        {
            let mut demand = vec![100.0; 6];
            demand.extend(vec![750.0; 7]);
            demand.push(100.0);
            let disconnected_span = Span { from: disconnected_from, to: 13_000 };
            let steady = Scenario::steady(49, 49, 187.0, 187.0, demand);
            let scenario = Scenario { disconnected: 17, disconnected_span, new_leader_at, seed, ..steady };
            let outcome = simulate(&scenario);
            assert!(outcome.worst_excess_ratio <= 1.0, "{disconnected_from} {new_leader_at:?} {seed}: {outcome:?}");
            // Without the leader, requests that are not used at one gateway are lost for the others.
            assert!(
                outcome.admitted * 100 >= outcome.ideal * 85,
                "{disconnected_from} {new_leader_at:?} {seed}: {outcome:?}"
            );
        }
    }
}

#[test]
fn a_new_leader_accounts_for_requests_admitted_before_it() {
    let scenario = Scenario { new_leader_at: Some(8_000), ..Scenario::steady(51, 51, 60.0, 120.0, vec![400.0]) };
    let outcome = simulate(&scenario);
    assert!(outcome.worst_excess_ratio <= 1.0, "{outcome:?}");
}

#[test]
fn many_gateways_report_less_often_and_still_keep_the_limit() {
    let outcome = simulate(&Scenario::steady(320, 320, 120.0, 120.0, vec![360.0]));
    assert!(outcome.worst_excess_ratio <= 1.0, "{outcome:?}");
    assert!(outcome.admitted * 100 >= outcome.ideal * 90, "{outcome:?}");
}

#[test]
fn the_leader_drops_idle_tenants_and_counts_exhausted_ones() {
    let name = TenantName::new("tenant");
    let (mut limiter, mut leader) = (RateLimiter::new(Arc::from("gateway")), RateCoordinator::default());
    leader.reset(at(0));
    let limit = limit(1.0, 4.0);
    let exchange = |limiter: &mut RateLimiter, leader: &mut RateCoordinator, now: u64| {
        let report = limiter.report(at(now));
        let levels = leader.report(NodeId(1), &report, |_| Some(limit), at(now));
        limiter.apply(&report, &levels, at(now));
        leader.tick(at(now));
    };
    for now in (2_000..3_000).step_by(50) {
        let request = AdmissionRequest { tenant: &name, limit, has_waited: false };
        if limiter.admit(&request, 0.5, at(now)) == Admission::AwaitLevel {
            exchange(&mut limiter, &mut leader, now);
            limiter.admit(&AdmissionRequest { has_waited: true, ..request }, 0.5, at(now));
        }
        exchange(&mut limiter, &mut leader, now);
    }
    exchange(&mut limiter, &mut leader, 3_001);
    assert_eq!((leader.tenants(), leader.exhausted()), (1, 1), "20 requests were sent and 5 allowed");
    exchange(&mut limiter, &mut leader, 9_000);
    assert_eq!((leader.tenants(), leader.exhausted()), (1, 0), "its bucket is full again");
    exchange(&mut limiter, &mut leader, 14_000);
    assert_eq!((leader.tenants(), leader.exhausted()), (0, 0), "it is idle and no longer reported");
}

#[test]
fn a_report_is_due_early_for_a_tenant_without_a_level_and_otherwise_at_the_interval() {
    let name = TenantName::new("tenant");
    let mut limiter = RateLimiter::new(Arc::from("gateway"));
    assert_eq!(limiter.due_report(at(0), at(5_000)), None, "there is no demand to report");
    let request = AdmissionRequest { tenant: &name, limit: limit(100.0, 100.0), has_waited: false };
    assert_eq!(limiter.admit(&request, 0.5, at(5_000)), Admission::AwaitLevel);
    assert_eq!(limiter.due_report(at(4_980), at(5_019)), None, "reports are at least 40 ms apart");
    let report = limiter.due_report(at(4_980), at(5_020)).expect("the leader has not answered for the tenant");
    let mut leader = RateCoordinator::default();
    leader.reset(at(0));
    let levels = leader.report(NodeId(1), &report, |_| Some(request.limit), at(5_022));
    limiter.apply(&report, &levels, at(5_025));
    assert_eq!(limiter.admit(&request, 0.5, at(5_030)), Admission::Admitted);
    assert_eq!(limiter.due_report(at(5_020), at(5_119)), None);
    assert!(limiter.due_report(at(5_020), at(5_120)).is_some(), "a single gateway reports every 100 ms");
}

#[test]
fn requests_do_not_wait_after_a_report_without_an_answer() {
    let name = TenantName::new("tenant");
    let mut limiter = RateLimiter::new(Arc::from("gateway"));
    let request = AdmissionRequest { tenant: &name, limit: limit(100.0, 160.0), has_waited: false };
    assert_eq!(limiter.admit(&request, 0.5, at(0)), Admission::AwaitLevel);
    limiter.record_report_failure();
    let admitted = (0..20).filter(|_| limiter.admit(&request, 0.5, at(250)) == Admission::Admitted).count();
    assert_eq!(admitted, 10, "a sixteenth of the burst");
}

fn scenarios() -> impl Strategy<Value = Scenario> {
    let tenants = (2usize..60, 0.05f64..1.0, 2.0f64..120.0, 0.2f64..1.5, 0.2f64..5.0);
    let faults = (0usize..20, 200u64..6_000, 1_000u64..9_000, prop::option::of(2_000u64..14_000), any::<u64>());
    let changes = (prop::option::of(2_000u64..14_000), prop::option::of((2_000u64..9_000, 0.1f64..0.9)));
    (tenants, faults, changes).prop_map(|(tenants, faults, changes)| {
        let (gateways, serving_fraction, per_s, burst, factor) = tenants;
        let (disconnected, disconnected_from, disconnected_for, new_leader_at, seed) = faults;
        let (kill_at, lowered_limit) = changes;
        let serving_gateways = ((gateways as f64 * serving_fraction) as usize).clamp(1, gateways);
        let disconnected_span = Span { from: disconnected_from, to: disconnected_from + disconnected_for };
        let settled = Span { from: disconnected_from.saturating_sub(SETTLING_MS), to: disconnected_span.to };
        let apart = |time: Option<u64>| time.filter(|time| disconnected == 0 || !settled.contains(*time));
        Scenario {
            disconnected: disconnected.min(gateways / 3),
            disconnected_span,
            new_leader_at,
            kill_at: apart(kill_at),
            lowered_limit: lowered_limit.map(|(from, share)| (from, limit(per_s * share, per_s * burst * share))),
            length_ms: 16_000,
            seed,
            ..Scenario::steady(gateways, serving_gateways, per_s, per_s * burst, vec![per_s * factor])
        }
    })
}

proptest! {
    #![proptest_config(support::fuzz_config())]

    /// For any partition, restart or lowered limit, no window exceeds the limit and the allowed excess.
    #[test]
    fn no_window_exceeds_the_limit(scenario in scenarios()) {
        let outcome = simulate(&scenario);
        prop_assert!(outcome.worst_excess_ratio <= 1.0, "{:?}", outcome);
    }
}
