//! What a gateway knows of one tenant's limit: the level in the leader's last answer, its own count since, and its
//! share of the demand.

use std::collections::VecDeque;

use super::bucket::{BucketLimit, TokenBucket};
use super::fleet_size::FleetSize;
use super::message::{TenantLevel, TenantUsage};
use super::{LEASE, RECENT_WINDOW};
use crate::serving::configuration::tenant::{MilliRequests, TenantName};
use crate::time::{Millis, Timestamp};

/// While at least this share of a tenant's capacity is left, all gateways draw on it freely: a small tenant isn't cut
/// into parts of less than a request, and what all admit between two reports is covered by the rest.
const POOLED_SHARE: f64 = 0.5;
/// The share of a tenant's limit that a gateway admits before the leader has answered for the tenant: keeps the limit
/// meanwhile.
pub(super) const UNKNOWN_SHARE: f64 = 0.0625;
/// What a gateway without a leader takes for itself goes by the demand that it was told, and by an even division among all
/// gateways as if this share of the rate were asked for evenly: demand that was learned from few requests says little.
const EVEN_DEMAND: f64 = 0.25;
/// The part of its share that a gateway without a leader uses: keeps the limit where demand moved on after the last
/// report.
pub(super) const DISCONNECTED_PART: f64 = 0.9;
/// A gateway reports early once it has admitted this part of its share: keeps the limit where much is admitted between
/// two reports.
const EARLY_REPORT_PART: f64 = 0.5;
/// The time over which demand is smoothed, in milliseconds, so that shares don't jump with each request.
const DEMAND_SMOOTHING: Millis = Millis(1_500);
/// Recent admissions are counted in steps of this, in milliseconds, to save memory.
const RECENT_STEP: Millis = Millis(250);

/// How many requests are asked for in a second, smoothed.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    per_s: f64,
    at: Timestamp,
}

impl Demand {
    fn record(&mut self, now: Timestamp) {
        self.per_s = self.at_time(now) + 1_000.0 / DEMAND_SMOOTHING.0 as f64;
        self.at = now;
    }

    fn at_time(&self, now: Timestamp) -> f64 {
        self.per_s * (-(now.since(self.at).0 as f64) / DEMAND_SMOOTHING.0 as f64).exp()
    }
}

/// How many requests were admitted in the last [`RECENT_WINDOW`], counted in steps of [`RECENT_STEP`].
#[derive(Clone, Debug, Default)]
struct RecentCount {
    steps: VecDeque<(Timestamp, u64)>,
}

impl RecentCount {
    fn record(&mut self, now: Timestamp) {
        match self.steps.back_mut() {
            Some((begun, count)) if now.since(*begun) < RECENT_STEP => *count += 1,
            _ => self.steps.push_back((now, 1)),
        }
        self.forget(now);
    }

    fn forget(&mut self, now: Timestamp) {
        while self.steps.front().is_some_and(|(begun, _)| now.since(*begun) > RECENT_WINDOW) {
            self.steps.pop_front();
        }
    }

    fn total(&mut self, now: Timestamp) -> u64 {
        self.forget(now);
        self.steps.iter().map(|(_, count)| count).sum()
    }
}

/// A gateway's part of a tenant's demand, as the leader answered it. Gateway and leader conclude the same from it.
#[derive(Clone, Copy, Debug)]
pub(super) struct DemandPart {
    /// Requests a second that are asked for at the gateway.
    pub(super) here: f64,
    /// The same at all gateways.
    pub(super) total: f64,
}

impl DemandPart {
    /// The share of the limit that is the gateway's while it is out of the leader's reach.
    pub(super) fn share(self, limit: BucketLimit, size: FleetSize) -> f64 {
        let even = size.even_share().unwrap_or(UNKNOWN_SHARE);
        let spread = limit.per_s * EVEN_DEMAND;
        let total = self.total + spread;
        if total <= 0.0 {
            return even;
        }
        ((self.here + spread * even) / total).clamp(0.0, 1.0)
    }
}

/// What the leader answered for a tenant, and what stood in the report that it answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaderLevel {
    level: f64,
    demand_total: f64,
    demand_here: f64,
    admitted_here: u64,
    /// The time that the level is counted from.
    at: Timestamp,
    /// From which part of a request on one is admitted, drawn once: what is left for this gateway is seldom whole,
    /// and must come out right in the mean however often callers try. `None` until the first of them does.
    threshold: Option<f64>,
}

impl LeaderLevel {
    /// The level of an answer to a report with this usage.
    pub(super) fn new(answer: &TenantLevel, reported: &TenantUsage, at: Timestamp) -> Self {
        Self {
            level: answer.level.requests(),
            demand_total: answer.asked_per_s.requests(),
            demand_here: reported.asked_per_s.requests(),
            admitted_here: reported.spent,
            at,
            threshold: None,
        }
    }

    /// How old it is.
    pub(super) fn age(&self, now: Timestamp) -> Millis {
        now.since(self.at)
    }

    /// This gateway's share of the demand.
    pub(super) fn share(&self) -> f64 {
        if self.demand_total <= 0.0 {
            return UNKNOWN_SHARE;
        }
        (self.demand_here / self.demand_total).clamp(0.0, 1.0)
    }

    /// This gateway's part of the limit while it is out of the leader's reach.
    pub(super) fn part(&self, limit: BucketLimit, size: FleetSize) -> f64 {
        let demand = DemandPart { here: self.demand_here, total: self.demand_total };
        demand.share(limit, size)
    }

    /// What is left for this gateway if the others go on asking as they did.
    fn remaining(&self, limit: BucketLimit, admitted: u64, now: Timestamp) -> f64 {
        let age = self.age(now);
        let admitted_since = admitted.saturating_sub(self.admitted_here) as f64;
        let asked_elsewhere = (self.demand_total - self.demand_here).max(0.0) * age.0 as f64 / 1_000.0;
        let filled = (self.level + limit.gained(age)).min(limit.capacity);
        let pooled = filled - asked_elsewhere - admitted_since;
        if pooled >= limit.capacity * POOLED_SHARE {
            return pooled;
        }
        filled * self.share() - admitted_since
    }
}

/// One tenant at one gateway.
#[derive(Clone, Debug, Default)]
pub(super) struct TenantState {
    /// Requests admitted since the process started.
    admitted: u64,
    recent: RecentCount,
    demand: Demand,
    level: Option<LeaderLevel>,
    /// This gateway's part of the limit while the leader's level is missing or old.
    own: Option<TokenBucket>,
    used_at: Timestamp,
}

impl TenantState {
    /// A request came. One that has waited already is no further demand.
    pub(super) fn request_came(&mut self, has_waited: bool, now: Timestamp) {
        self.used_at = now;
        if !has_waited {
            self.demand.record(now);
        }
    }

    /// Whether the tenant asked for something within a span.
    pub(super) fn used_within(&self, span: Millis, now: Timestamp) -> bool {
        now.since(self.used_at) < span
    }

    /// The level in the leader's last answer.
    pub(super) fn level(&self) -> Option<LeaderLevel> {
        self.level
    }

    /// Whether that level is younger than `lifetime`.
    pub(super) fn is_level_fresh(&self, lifetime: Millis, now: Timestamp) -> bool {
        self.level.is_some_and(|level| level.age(now) < lifetime)
    }

    /// Takes the leader's answer.
    pub(super) fn set_level(&mut self, level: LeaderLevel) {
        self.level = Some(level);
    }

    /// What is left for this gateway: by the leader's level while it is younger than `lifetime`, else by a bucket of
    /// its own.
    pub(super) fn remaining(&mut self, limit: BucketLimit, lifetime: Millis, size: FleetSize, now: Timestamp) -> f64 {
        if let Some(level) = self.level.filter(|level| level.age(now) < lifetime) {
            self.own = None;
            return level.remaining(limit, self.admitted, now);
        }
        let leased = self.leased(now);
        let unknown = size.even_share().map_or(UNKNOWN_SHARE, |even| even * DISCONNECTED_PART);
        let share = leased.map_or(unknown, |level| level.part(limit, size) * DISCONNECTED_PART);
        let part = limit.part(share);
        let admitted = self.admitted;
        let at_start =
            leased.map_or(part.capacity, |level| level.remaining(limit, admitted, now).clamp(0.0, part.capacity));
        let own = self.own.get_or_insert_with(|| TokenBucket::with_level(at_start, now));
        own.refill(part, now);
        own.level()
    }

    /// The leader's level, while this gateway may go on with its part of the limit.
    fn leased(&self, now: Timestamp) -> Option<LeaderLevel> {
        self.level.filter(|level| level.age(now) < LEASE)
    }

    /// What must be left for a request to be admitted.
    pub(super) fn threshold(&mut self, drawn: f64) -> f64 {
        match &mut self.level {
            Some(level) if self.own.is_none() => *level.threshold.get_or_insert(drawn),
            _ => 1.0,
        }
    }

    /// A request was admitted.
    pub(super) fn admit(&mut self, now: Timestamp) {
        self.admitted += 1;
        self.recent.record(now);
        if let Some(own) = &mut self.own {
            own.spend(1.0, f64::NEG_INFINITY);
        }
    }

    /// Whether the leader should get a report before the usual time, after one at `last`: the level is missing, is
    /// older than `lifetime` though the tenant asks, or a good part of this gateway's share is used up.
    pub(super) fn needs_early_report(&self, last: Timestamp, lifetime: Millis) -> bool {
        let Some(level) = self.level else { return true };
        if self.used_at > last && last.since(level.at) >= lifetime {
            return true;
        }
        let admitted_since = self.admitted.saturating_sub(level.admitted_here) as f64;
        admitted_since >= 1.0 && admitted_since >= level.level * level.share() * EARLY_REPORT_PART
    }

    /// The tenant is not reported any more, so the leader counts on no part of this gateway's but an even one.
    pub(super) fn forget_level(&mut self) {
        self.level = None;
    }

    /// What the leader is to know.
    pub(super) fn usage(&mut self, tenant: &TenantName, now: Timestamp) -> TenantUsage {
        TenantUsage {
            tenant: tenant.clone(),
            spent: self.admitted,
            latest: self.recent.total(now),
            asked_per_s: MilliRequests::of(self.demand.at_time(now)),
            known_per_s: MilliRequests::of(self.leased(now).map_or(0.0, |level| level.demand_total)),
        }
    }
}
