//! Tenants' limits over many gateways on a virtual clock, against what an all-knowing bucket would admit.

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

/// The window in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 5_000;
/// One way between a gateway and the leader, in milliseconds.
const DELAY_MS: u64 = 3;
/// How long a request waits for the leader's first answer for its tenant, in milliseconds.
const FIRST_ANSWER_WAIT_MS: u64 = 60;
/// How long a gateway waits for the answer to a report, in milliseconds.
const REPORT_TIMEOUT_MS: u64 = 250;
/// How far the count may go over the limit: a tenth, and so many requests.
const EXCESS: f64 = 0.1;
/// A gateway knows how many others there are this long after it, or all of them, started. A cut before that may admit too
/// much: docs/design/shifted-work.md has by how much.
const SETTLING_MS: u64 = 3_000;
const MARGIN: f64 = 20.0;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn limit(per_s: f64, burst: f64) -> RateLimit {
    RateLimit { per_s: MilliRequests((per_s * 1e3) as i64), burst: MilliRequests((burst * 1e3) as i64) }
}

/// A span in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Span {
    from: u64,
    to: u64,
}

impl Span {
    fn holds(self, now: u64) -> bool {
        (self.from..self.to).contains(&now)
    }
}

/// What happens on a day.
#[derive(Clone, Debug)]
struct Day {
    gateways: usize,
    /// Gateways that requests reach, from the first on.
    used: usize,
    limit: RateLimit,
    /// Requests asked for in a second, by second of the day; the last goes on.
    asked_per_s: Vec<f64>,
    /// The first so many gateways lose the leader for a while.
    cut: usize,
    cut_span: Span,
    /// Another leader, which knows nothing, takes over then.
    new_leader_at: Option<u64>,
    /// All gateways are killed and started again then.
    kill_at: Option<u64>,
    /// Another limit from then on.
    lowered: Option<(u64, RateLimit)>,
    length_ms: u64,
    seed: u64,
}

impl Day {
    fn calm(gateways: usize, used: usize, per_s: f64, burst: f64, asked_per_s: Vec<f64>) -> Self {
        Self {
            gateways,
            used,
            limit: limit(per_s, burst),
            asked_per_s,
            cut: 0,
            cut_span: Span { from: 0, to: 0 },
            new_leader_at: None,
            kill_at: None,
            lowered: None,
            length_ms: 20_000,
            seed: 1,
        }
    }

    fn limit_at(&self, now: u64) -> RateLimit {
        self.lowered.filter(|(from, _)| now >= *from).map_or(self.limit, |(_, lowered)| lowered)
    }
}

/// What came of a day.
#[derive(Debug, Default)]
struct Outcome {
    asked: u64,
    through: u64,
    /// What one bucket that knew of all requests would have admitted.
    ideal: u64,
    /// Most requests in a window beyond what the limit allows, its slack not counted.
    worst_excess: f64,
    /// The same as a share of what its slack allows.
    worst_of_slack: f64,
}

enum Mail {
    Report { gateway: usize, report: QuotaReport, sent_at: u64 },
    Levels { gateway: usize, report: QuotaReport, levels: QuotaLevels, sent_at: u64 },
}

fn play(day: &Day) -> Outcome {
    let name = TenantName::new("tenant");
    let mut random = Xoshiro256PlusPlus::seed_from_u64(day.seed);
    let mut ids: Vec<NodeId> = (1..=day.gateways as u64).map(NodeId).collect();
    let machine = |number: usize| Arc::from(format!("gateway-{number}"));
    let mut limiters: Vec<RateLimiter> = (0..day.gateways).map(|number| RateLimiter::new(machine(number))).collect();
    let mut reported_at: Vec<u64> = (0..day.gateways as u64).map(|number| number * 7 % 100).collect();
    let mut leader = RateCoordinator::default();
    leader.reset(at(0));
    let mut ideal = TokenBucket::with_level(BucketLimit::of(day.limit).capacity, at(0));
    let mut mail: VecDeque<(u64, Mail)> = VecDeque::new();
    let mut passed: VecDeque<u64> = VecDeque::new();
    let mut waiting: VecDeque<(u64, usize)> = VecDeque::new();
    let mut answered_at = vec![0; day.gateways];
    let mut unanswered: Vec<Option<u64>> = vec![None; day.gateways];
    let mut outcome = Outcome::default();
    for now in 0..day.length_ms {
        let limit = day.limit_at(now);
        let is_cut = |gateway: usize| gateway < day.cut && day.cut_span.holds(now);
        if day.new_leader_at == Some(now) {
            leader.reset(at(now));
            mail.clear();
        }
        if day.kill_at == Some(now) {
            for (number, limiter) in limiters.iter_mut().enumerate() {
                *limiter = RateLimiter::new(machine(number));
                unanswered[number] = None;
                ids[number].0 += 1_000;
            }
        }
        if now % 100 == 0 {
            // Loads that were reported are gone by for a second, so a gateway is missed that much later.
            let unnoticed = Span { from: day.cut_span.from, to: day.cut_span.from + 1_000 };
            let missing = if day.cut_span.holds(now) && !unnoticed.holds(now) { day.cut } else { 0 };
            let (known, reachable) = (day.gateways as u32, (day.gateways - missing) as u32);
            leader.record_gateway_count(reachable, known, at(now));
            let in_touch = limiters.iter_mut().enumerate().filter(|(gateway, _)| !is_cut(*gateway));
            in_touch.for_each(|(_, limiter)| limiter.record_gateway_count(known, at(now)));
        }
        leader.tick(at(now));
        while mail.front().is_some_and(|(due, _)| *due <= now) {
            match mail.pop_front().expect("there is one").1 {
                Mail::Report { gateway, report, sent_at } if !is_cut(gateway) => {
                    let levels = leader.report(ids[gateway], &report, |_| Some(limit), at(now));
                    mail.push_back((now + DELAY_MS, Mail::Levels { gateway, report, levels, sent_at }));
                }
                Mail::Levels { gateway, report, levels, sent_at } if !is_cut(gateway) => {
                    limiters[gateway].apply(&report, &levels, at(sent_at));
                    answered_at[gateway] = now;
                    unanswered[gateway] = None;
                }
                _ => {}
            }
        }
        for gateway in 0..day.gateways {
            if unanswered[gateway].is_some_and(|since| now >= since + REPORT_TIMEOUT_MS) {
                limiters[gateway].report_failed();
            }
            if limiters[gateway].next_report(at(reported_at[gateway])) <= at(now) {
                reported_at[gateway] = now;
                unanswered[gateway].get_or_insert(now);
                let report = limiters[gateway].report(at(now));
                mail.push_back((now + DELAY_MS, Mail::Report { gateway, report, sent_at: now }));
            }
        }
        let second = (now / 1_000) as usize;
        let asked_per_s = day.asked_per_s.get(second).or(day.asked_per_s.last()).copied().unwrap_or(0.0);
        let mut due = asked_per_s / 1_000.0;
        while due > 0.0 && random.random::<f64>() < due {
            due -= 1.0;
            outcome.asked += 1;
            ideal.refill(BucketLimit::of(limit), at(now));
            if ideal.level() >= 1.0 {
                ideal.spend(1.0, 0.0);
                outcome.ideal += 1;
            }
            let gateway = random.random_range(0..day.used);
            let ask = AdmissionRequest { tenant: &name, limit, has_waited: false };
            match limiters[gateway].admit(&ask, random.random(), at(now)) {
                Admission::Admitted => passed.push_back(now),
                Admission::AwaitLevel => waiting.push_back((now, gateway)),
                Admission::Refused(_) => {}
            }
        }
        waiting.retain(|(since, gateway)| {
            if answered_at[*gateway] <= *since && now < since + FIRST_ANSWER_WAIT_MS {
                return true;
            }
            let ask = AdmissionRequest { tenant: &name, limit, has_waited: true };
            if limiters[*gateway].admit(&ask, random.random(), at(now)) == Admission::Admitted {
                passed.push_back(now);
            }
            false
        });
        outcome.through += passed.iter().rev().take_while(|then| **then == now).count() as u64;
        while passed.front().is_some_and(|then| then + WINDOW_MS <= now) {
            passed.pop_front();
        }
        // A lowered limit binds one window after it is in force.
        let binding = if day.lowered.is_some_and(|(from, _)| now < from + WINDOW_MS) { day.limit } else { limit };
        let bound = BucketLimit::of(binding).gained(Millis(WINDOW_MS)) + binding.burst.0 as f64 / 1e3;
        let excess = passed.len() as f64 - bound;
        outcome.worst_excess = outcome.worst_excess.max(excess);
        outcome.worst_of_slack = outcome.worst_of_slack.max(excess / (bound * EXCESS + MARGIN));
    }
    outcome
}

#[test]
fn a_tenant_below_its_limit_is_not_refused() {
    // Traffic in steps, a small tenant at three gateways and a large one at thirty.
    for (per_s, used) in [(8.0, 3), (120.0, 30), (120.0, 51)] {
        let usual = per_s / 1.6;
        let steps: Vec<f64> = (0..20).map(|second| if second % 6 < 3 { usual * 0.4 } else { usual * 1.87 }).collect();
        let outcome = play(&Day::calm(51, used, per_s, per_s, steps));
        let refused = outcome.ideal.saturating_sub(outcome.through);
        assert!(refused * 50 <= outcome.asked, "over two in a hundred refused: {outcome:?}");
        assert!(outcome.worst_of_slack <= 1.0, "{outcome:?}");
    }
}

#[test]
fn a_tenant_far_above_its_limit_gets_what_the_limit_allows_and_no_more() {
    for (per_s, used, factor) in [(8.0, 3, 10.0), (40.0, 51, 10.0), (120.0, 30, 3.0), (120.0, 51, 6.0)] {
        let outcome = play(&Day::calm(51, used, per_s, per_s, vec![per_s * factor]));
        assert!(outcome.worst_of_slack <= 1.0, "{per_s} {used} {factor}: {outcome:?}");
        assert!(outcome.through * 100 >= outcome.ideal * 95, "{per_s} {used} {factor}: {outcome:?}");
    }
}

#[test]
fn gateways_that_lose_the_leader_go_on_with_their_part() {
    let steps = vec![75.0; 20];
    let cut = Day { cut: 18, cut_span: Span { from: 4_000, to: 16_000 }, ..Day::calm(51, 51, 120.0, 120.0, steps) };
    let outcome = play(&cut);
    assert!(outcome.through * 100 >= outcome.ideal * 95, "{outcome:?}");
    let pressed = Day { asked_per_s: vec![600.0; 20], ..cut };
    let outcome = play(&pressed);
    assert!(outcome.worst_of_slack <= 1.0, "{outcome:?}");
}

/// A tenant turns to many times its usual while a third of the gateways has been cut off since before it was known what
/// they are asked for; the leader changes meanwhile.
#[test]
fn a_tenant_that_turns_hot_while_gateways_are_out_of_reach_keeps_its_limit() {
    for seed in 0..20 {
        for (cut_from, new_leader_at) in [(300, None), (1_000, Some(9_500)), (1_000, Some(7_000)), (4_000, Some(6_200))]
        {
            let mut asked = vec![100.0; 6];
            asked.extend(vec![750.0; 7]);
            asked.push(100.0);
            let cut_span = Span { from: cut_from, to: 13_000 };
            let calm = Day::calm(49, 49, 187.0, 187.0, asked);
            let day = Day { cut: 17, cut_span, new_leader_at, seed, ..calm };
            let outcome = play(&day);
            assert!(outcome.worst_of_slack <= 1.0, "{cut_from} {new_leader_at:?} {seed}: {outcome:?}");
            // Where the leader is out of reach, what is not asked for at one gateway is lost for the others.
            assert!(outcome.through * 100 >= outcome.ideal * 85, "{cut_from} {new_leader_at:?} {seed}: {outcome:?}");
        }
    }
}

#[test]
fn a_new_leader_knows_what_was_spent_before_it() {
    let day = Day { new_leader_at: Some(8_000), ..Day::calm(51, 51, 60.0, 120.0, vec![400.0]) };
    let outcome = play(&day);
    assert!(outcome.worst_of_slack <= 1.0, "{outcome:?}");
}

#[test]
fn many_gateways_report_less_often_and_still_keep_the_limit() {
    let outcome = play(&Day::calm(320, 320, 120.0, 120.0, vec![360.0]));
    assert!(outcome.worst_of_slack <= 1.0, "{outcome:?}");
    assert!(outcome.through * 100 >= outcome.ideal * 90, "{outcome:?}");
}

#[test]
fn the_leader_forgets_tenants_that_ask_nothing_more_and_counts_those_out_of_requests() {
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
        let ask = AdmissionRequest { tenant: &name, limit, has_waited: false };
        if limiter.admit(&ask, 0.5, at(now)) == Admission::AwaitLevel {
            exchange(&mut limiter, &mut leader, now);
            limiter.admit(&AdmissionRequest { has_waited: true, ..ask }, 0.5, at(now));
        }
        exchange(&mut limiter, &mut leader, now);
    }
    exchange(&mut limiter, &mut leader, 3_001);
    assert_eq!((leader.tenants(), leader.exhausted()), (1, 1), "twenty were asked for and five allowed");
    exchange(&mut limiter, &mut leader, 9_000);
    assert_eq!((leader.tenants(), leader.exhausted()), (1, 0), "its bucket is full again");
    exchange(&mut limiter, &mut leader, 14_000);
    assert_eq!((leader.tenants(), leader.exhausted()), (0, 0), "it is idle and not reported any more");
}

#[test]
fn a_report_is_due_early_for_a_tenant_without_a_level_and_else_at_the_interval() {
    let name = TenantName::new("tenant");
    let mut limiter = RateLimiter::new(Arc::from("gateway"));
    assert_eq!(limiter.due_report(at(0), at(5_000)), None, "nothing is asked for, so there is nothing to report");
    let ask = AdmissionRequest { tenant: &name, limit: limit(100.0, 100.0), has_waited: false };
    assert_eq!(limiter.admit(&ask, 0.5, at(5_000)), Admission::AwaitLevel);
    assert_eq!(limiter.due_report(at(4_980), at(5_019)), None, "two reports are 40 ms apart at the least");
    let report = limiter.due_report(at(4_980), at(5_020)).expect("the leader has not answered for the tenant");
    let mut leader = RateCoordinator::default();
    leader.reset(at(0));
    let levels = leader.report(NodeId(1), &report, |_| Some(ask.limit), at(5_022));
    limiter.apply(&report, &levels, at(5_025));
    assert_eq!(limiter.admit(&ask, 0.5, at(5_030)), Admission::Admitted);
    assert_eq!(limiter.due_report(at(5_020), at(5_119)), None);
    assert!(limiter.due_report(at(5_020), at(5_120)).is_some(), "one gateway reports every 100 ms");
}

#[test]
fn a_report_without_an_answer_lets_requests_wait_no_longer() {
    let name = TenantName::new("tenant");
    let mut limiter = RateLimiter::new(Arc::from("gateway"));
    let ask = AdmissionRequest { tenant: &name, limit: limit(100.0, 160.0), has_waited: false };
    assert_eq!(limiter.admit(&ask, 0.5, at(0)), Admission::AwaitLevel);
    limiter.report_failed();
    let admitted = (0..20).filter(|_| limiter.admit(&ask, 0.5, at(250)) == Admission::Admitted).count();
    assert_eq!(admitted, 10, "a sixteenth of the burst");
}

fn days() -> impl Strategy<Value = Day> {
    let tenants = (2usize..60, 0.05f64..1.0, 2.0f64..120.0, 0.2f64..1.5, 0.2f64..5.0);
    let faults = (0usize..20, 200u64..6_000, 1_000u64..9_000, prop::option::of(2_000u64..14_000), any::<u64>());
    let changes = (prop::option::of(2_000u64..14_000), prop::option::of((2_000u64..9_000, 0.1f64..0.9)));
    (tenants, faults, changes).prop_map(|(tenants, faults, changes)| {
        let (gateways, used, per_s, burst, factor) = tenants;
        let (cut, cut_from, cut_for, new_leader_at, seed) = faults;
        let (kill_at, lowered) = changes;
        let used = ((gateways as f64 * used) as usize).clamp(1, gateways);
        let cut_span = Span { from: cut_from, to: cut_from + cut_for };
        let settled = Span { from: cut_from.saturating_sub(SETTLING_MS), to: cut_span.to };
        let apart = |time: Option<u64>| time.filter(|time| cut == 0 || !settled.holds(*time));
        Day {
            cut: cut.min(gateways / 3),
            cut_span,
            new_leader_at,
            kill_at: apart(kill_at),
            lowered: lowered.map(|(from, share)| (from, limit(per_s * share, per_s * burst * share))),
            length_ms: 16_000,
            seed,
            ..Day::calm(gateways, used, per_s, per_s * burst, vec![per_s * factor])
        }
    })
}

proptest! {
    #![proptest_config(support::fuzz_config())]

    /// Whatever is cut, killed, or lowered, no window holds more than the limit and its slack.
    #[test]
    fn no_window_holds_more_than_the_limit(day in days()) {
        let outcome = play(&day);
        prop_assert!(outcome.worst_of_slack <= 1.0, "{:?}", outcome);
    }
}
