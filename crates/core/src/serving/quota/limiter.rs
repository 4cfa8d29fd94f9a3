//! A gateway's side of tenants' limits: whether a request is let through.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use super::bucket::{BucketLimit, TokenBucket};
use super::message::{QuotaLevels, QuotaReport, TenantUsage};
use super::{LATEST, LEASE};
use crate::serving::configuration::tenant::{MilliRequests, RateLimit, TenantName};
use crate::time::{Millis, Timestamp};

/// What the leader told is gone by for this many intervals between reports, and for [`LEAST_FRESH`] at the least.
const FRESH_INTERVALS: u64 = 3;
/// The least time for which it is gone by.
const LEAST_FRESH: Millis = Millis(1_000);
/// While at least this share of the capacity is left, no gateway keeps to its part: what all let through between two
/// reports is covered by the rest.
const PLENTY: f64 = 0.5;
/// The part of a limit for a tenant of which the leader told nothing yet: what a few gateways let through until they
/// have its answer, together with what all others were told.
const UNTOLD_SHARE: f64 = 0.0625;
/// A gateway reports early once it let through this share of its part.
const EARLY_SHARE: f64 = 0.5;
/// The shortest time between two reports, of which the second is early.
const EARLY_INTERVAL: Millis = Millis(40);
/// The part of its part that a gateway without a leader uses, since demand moves on after the last report.
const LOST_SHARE: f64 = 0.9;
/// The time over which demand is smoothed.
const SMOOTHING: Millis = Millis(1_500);
/// A tenant that asked nothing for so long is not reported.
const IDLE: Millis = Millis(10_000);
/// A tenant that asked nothing for so long is forgotten. Longer than the leader remembers it.
const FORGOTTEN: Millis = Millis(60_000);
/// What was let through of late is counted in steps of this.
const LATEST_STEP: Millis = Millis(250);
/// The shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Millis = Millis(20);
/// The longest.
const MAX_RETRY_AFTER: Millis = Millis(2_000);

/// A request is over its tenant's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverLimit {
    /// When there should be room again.
    pub retry_after: Millis,
    /// What was left for this gateway.
    pub left: f64,
    /// How old the leader's word is; `None` if there is none.
    pub age: Option<Millis>,
}

/// What is asked of the limiter.
#[derive(Clone, Copy, Debug)]
pub struct TenantAsk<'a> {
    /// The tenant.
    pub tenant: &'a TenantName,
    /// Its limit over all gateways.
    pub limit: RateLimit,
    /// The request has waited for the leader's word already.
    pub has_waited: bool,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It is let through.
    Through,
    /// The leader has told nothing of its tenant of late and should be asked first: many gateways at once that each
    /// let one request through would be over a small limit.
    Untold,
    /// It must be refused.
    Refused(OverLimit),
}

/// How many requests are asked for in a second, smoothed.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    per_s: f64,
    at: Timestamp,
}

impl Demand {
    fn note(&mut self, now: Timestamp) {
        self.per_s = self.at_time(now) + 1_000.0 / SMOOTHING.0 as f64;
        self.at = now;
    }

    fn at_time(&self, now: Timestamp) -> f64 {
        self.per_s * (-(now.since(self.at).0 as f64) / SMOOTHING.0 as f64).exp()
    }
}

/// How many requests were let through in the last [`LATEST`], counted in steps of [`LATEST_STEP`].
#[derive(Clone, Debug, Default)]
struct LatestCount {
    steps: VecDeque<(Timestamp, u64)>,
}

impl LatestCount {
    fn note(&mut self, now: Timestamp) {
        match self.steps.back_mut() {
            Some((begun, count)) if now.since(*begun) < LATEST_STEP => *count += 1,
            _ => self.steps.push_back((now, 1)),
        }
        self.forget(now);
    }

    fn forget(&mut self, now: Timestamp) {
        while self.steps.front().is_some_and(|(begun, _)| now.since(*begun) > LATEST) {
            self.steps.pop_front();
        }
    }

    fn total(&mut self, now: Timestamp) -> u64 {
        self.forget(now);
        self.steps.iter().map(|(_, count)| count).sum()
    }
}

/// What the leader told of a tenant, and what stood in the report that it answered.
#[derive(Clone, Copy, Debug)]
struct Told {
    level: f64,
    asked_by_all: f64,
    asked_here: f64,
    spent_here: u64,
    /// When the report left.
    at: Timestamp,
    /// From which part of a request on one is let through, drawn once: what is left for this gateway is seldom whole,
    /// and must come out right in the mean however often callers try. `None` until the first of them does.
    threshold: Option<f64>,
}

impl Told {
    /// This gateway's part of the demand.
    fn share(&self) -> f64 {
        if self.asked_by_all <= 0.0 {
            return UNTOLD_SHARE;
        }
        (self.asked_here / self.asked_by_all).clamp(0.0, 1.0)
    }

    /// What is left for this gateway if the others go on asking as they did.
    fn left(&self, limit: BucketLimit, spent: u64, now: Timestamp) -> f64 {
        let age = now.since(self.at);
        let spent_here = spent.saturating_sub(self.spent_here) as f64;
        let asked_elsewhere = (self.asked_by_all - self.asked_here).max(0.0) * age.0 as f64 / 1_000.0;
        let filled = (self.level + limit.gained(age)).min(limit.capacity);
        let pooled = filled - asked_elsewhere - spent_here;
        if pooled >= limit.capacity * PLENTY {
            return pooled;
        }
        filled * self.share() - spent_here
    }
}

#[derive(Clone, Debug, Default)]
struct TenantState {
    spent: u64,
    latest: LatestCount,
    demand: Demand,
    told: Option<Told>,
    /// This gateway's part of the limit while the leader's word is missing or old.
    own: Option<TokenBucket>,
    used_at: Timestamp,
}

impl TenantState {
    fn left(&mut self, limit: BucketLimit, fresh: Millis, now: Timestamp) -> f64 {
        if let Some(told) = self.told.filter(|told| now.since(told.at) < fresh) {
            self.own = None;
            return told.left(limit, self.spent, now);
        }
        let leased = self.leased(now);
        let share = leased.map_or(UNTOLD_SHARE, |told| told.share() * LOST_SHARE);
        let part = limit.part(share);
        let spent = self.spent;
        let at_start = leased.map_or(part.capacity, |told| told.left(limit, spent, now).clamp(0.0, part.capacity));
        let own = self.own.get_or_insert_with(|| TokenBucket::with_level(at_start, now));
        own.refill(part, now);
        own.level()
    }

    /// What the leader told, while this gateway may go on with its part of the limit.
    fn leased(&self, now: Timestamp) -> Option<Told> {
        self.told.filter(|told| now.since(told.at) < LEASE)
    }

    /// What must be left for a request to be let through.
    fn threshold(&mut self, drawn: f64) -> f64 {
        match &mut self.told {
            Some(told) if self.own.is_none() => *told.threshold.get_or_insert(drawn),
            _ => 1.0,
        }
    }

    /// Whether the leader should hear of the tenant before the usual time.
    fn wants_report(&self, last: Timestamp) -> bool {
        let Some(told) = self.told else { return true };
        if self.used_at > last && last.since(told.at) >= LEAST_FRESH {
            return true;
        }
        let spent_here = self.spent.saturating_sub(told.spent_here) as f64;
        spent_here >= 1.0 && spent_here >= told.level * told.share() * EARLY_SHARE
    }

    fn let_through(&mut self, now: Timestamp) {
        self.spent += 1;
        self.latest.note(now);
        if let Some(own) = &mut self.own {
            own.spend(1.0, f64::NEG_INFINITY);
        }
    }
}

/// Decides at one gateway which requests are let through.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    machine: Arc<str>,
    tenants: BTreeMap<TenantName, TenantState>,
    interval: Millis,
    /// The last report got no answer.
    is_lost: bool,
}

impl RateLimiter {
    /// A limiter that let nothing through yet.
    pub fn new(machine: Arc<str>) -> Self {
        Self { machine, tenants: BTreeMap::new(), interval: QuotaLevels::default().interval(), is_lost: false }
    }

    /// Decides on a request. `drawn` is a random number from 0 to 1. A request that `has_waited` for the leader's
    /// word is decided without it.
    pub fn admit(&mut self, ask: &TenantAsk<'_>, drawn: f64, now: Timestamp) -> Admission {
        let fresh = self.fresh();
        let limit = BucketLimit::of(ask.limit);
        let state = self.tenants.entry(ask.tenant.clone()).or_default();
        state.used_at = now;
        if !ask.has_waited {
            state.demand.note(now);
        }
        let is_told = state.told.is_some_and(|told| now.since(told.at) < fresh);
        if !is_told && !ask.has_waited && !self.is_lost {
            return Admission::Untold;
        }
        let left = state.left(limit, fresh, now);
        if left >= state.threshold(drawn) {
            state.let_through(now);
            return Admission::Through;
        }
        let share = state.told.map_or(UNTOLD_SHARE, |told| told.share());
        let retry_after = limit.part(share).time_for(1.0 - left);
        Admission::Refused(OverLimit {
            retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            left,
            age: state.told.map(|told| now.since(told.at)),
        })
    }

    /// When the next report is due after one at `last`: early where much was let through since, or where the leader
    /// has told nothing yet.
    pub fn next_report(&self, last: Timestamp) -> Timestamp {
        let is_early = self.tenants.values().any(|state| state.wants_report(last));
        last + if is_early { EARLY_INTERVAL } else { self.interval }
    }

    /// What there is to tell the leader.
    pub fn report(&mut self, now: Timestamp) -> QuotaReport {
        self.tenants.retain(|_, state| now.since(state.used_at) < FORGOTTEN);
        let reported = self.tenants.iter_mut().filter(|(_, state)| now.since(state.used_at) < IDLE);
        let tenants = reported.map(|(name, state)| TenantUsage {
            tenant: name.clone(),
            spent: state.spent,
            latest: state.latest.total(now),
            asked_per_s: MilliRequests::of(state.demand.at_time(now)),
            known_per_s: MilliRequests::of(state.leased(now).map_or(0.0, |told| told.asked_by_all)),
        });
        QuotaReport { machine: self.machine.clone(), tenants: tenants.collect() }
    }

    /// Takes the leader's answer to a report that left at `asked_at`.
    pub fn hear(&mut self, report: &QuotaReport, news: &QuotaLevels, asked_at: Timestamp) {
        self.interval = news.interval();
        self.is_lost = false;
        for heard in &news.tenants {
            let used = report.tenants.iter().find(|used| used.tenant == heard.tenant);
            let (Some(used), Some(state)) = (used, self.tenants.get_mut(&heard.tenant)) else { continue };
            state.told = Some(Told {
                level: heard.level.requests(),
                asked_by_all: heard.asked_per_s.requests(),
                asked_here: used.asked_per_s.requests(),
                spent_here: used.spent,
                at: asked_at,
                threshold: None,
            });
        }
    }

    /// A report got no answer.
    pub fn lose(&mut self) {
        self.is_lost = true;
    }

    /// Whether no tenant asked anything of late.
    pub fn is_idle(&self) -> bool {
        self.tenants.is_empty()
    }

    /// The time between two reports.
    pub fn interval(&self) -> Millis {
        self.interval
    }

    fn fresh(&self) -> Millis {
        Millis(self.interval.0 * FRESH_INTERVALS).max(LEAST_FRESH)
    }
}
