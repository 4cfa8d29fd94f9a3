//! A gateway's state for one tenant's limit: the level in the leader's last answer, the requests admitted since, and
//! the gateway's share of the demand.

use std::collections::VecDeque;

use super::bucket::{BucketLimit, TokenBucket};
use super::fleet_size::FleetSize;
use super::message::{TenantLevel, TenantUsage};
use super::{LEASE, RECENT_WINDOW};
use crate::serving::configuration::tenant::{MilliRequests, TenantName};
use crate::time::{Millis, Timestamp};

/// Fraction of a tenant's capacity down to which all gateways draw from the shared level freely. Keeps a small limit
/// from being divided into parts of less than a request; the remainder covers what all gateways admit between two
/// reports.
const MIN_POOLED_FRACTION: f64 = 0.5;
/// Requests below that fraction down to which gateways draw freely if they admit less between two reports. Half of the
/// requests by which a window may exceed the limit. Without it, a gateway's part of a small limit is less than a
/// request, and tenants below their limits are refused.
const POOLED_MARGIN: f64 = 10.0;
/// Time after the first level for which the estimated demand of a tenant is too uncertain for a lower floor. Twice
/// the time constant of the demand.
const DEMAND_SETTLING: Millis = Millis(3_000);
/// Share of a tenant's limit that a gateway uses before the leader has answered for the tenant. Protects the limit
/// until then.
pub(super) const INITIAL_SHARE: f64 = 0.0625;
/// Demand, as a fraction of the rate, that is added evenly over all gateways when the share of a disconnected gateway
/// is computed. A demand estimated from few requests is unreliable.
const EVEN_DEMAND_FRACTION: f64 = 0.25;
/// Fraction of its share that a disconnected gateway uses. Protects the limit when demand shifts between gateways
/// after the last report.
pub(super) const DISCONNECTED_SHARE_FACTOR: f64 = 0.9;
/// Fraction of a gateway's share that must be used up for an early report.
const EARLY_REPORT_FRACTION: f64 = 0.5;
/// Time constant of the smoothed demand, so that shares do not jump with each request.
const DEMAND_TIME_CONSTANT: Millis = Millis(1_500);
/// Resolution of the count of recent admissions. Limits its memory.
const RECENT_RESOLUTION: Millis = Millis(250);

/// Exponentially smoothed rate of requests.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    per_s: f64,
    at: Timestamp,
}

impl Demand {
    fn record(&mut self, now: Timestamp) {
        self.per_s = self.at_time(now) + 1_000.0 / DEMAND_TIME_CONSTANT.0 as f64;
        self.at = now;
    }

    fn at_time(&self, now: Timestamp) -> f64 {
        self.per_s * (-(now.since(self.at).0 as f64) / DEMAND_TIME_CONSTANT.0 as f64).exp()
    }
}

/// Number of requests admitted within the last [`RECENT_WINDOW`], counted in steps of [`RECENT_RESOLUTION`].
#[derive(Clone, Debug, Default)]
struct RecentCount {
    steps: VecDeque<(Timestamp, u64)>,
}

impl RecentCount {
    fn record(&mut self, now: Timestamp) {
        match self.steps.back_mut() {
            Some((step_start, count)) if now.since(*step_start) < RECENT_RESOLUTION => *count += 1,
            _ => self.steps.push_back((now, 1)),
        }
        self.evict(now);
    }

    fn evict(&mut self, now: Timestamp) {
        while self.steps.front().is_some_and(|(step_start, _)| now.since(*step_start) > RECENT_WINDOW) {
            self.steps.pop_front();
        }
    }

    fn total(&mut self, now: Timestamp) -> u64 {
        self.evict(now);
        self.steps.iter().map(|(_, count)| count).sum()
    }
}

/// Demand at a gateway and in total, according to the leader's answer. Gateway and leader compute the same share from
/// it.
#[derive(Clone, Copy, Debug)]
pub(super) struct DemandShare {
    /// Requests per second at the gateway.
    pub(super) local: f64,
    /// Requests per second at all gateways.
    pub(super) total: f64,
}

impl DemandShare {
    /// Returns the share of the limit that the gateway uses while it is disconnected from the leader.
    pub(super) fn limit_share(self, limit: BucketLimit, size: FleetSize) -> f64 {
        let even = size.even_share().unwrap_or(INITIAL_SHARE);
        let even_demand = limit.per_s * EVEN_DEMAND_FRACTION;
        let total = self.total + even_demand;
        if total <= 0.0 {
            return even;
        }
        ((self.local + even_demand * even) / total).clamp(0.0, 1.0)
    }
}

/// Level of a tenant in the leader's answer, and the usage in the report that it answers.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaderLevel {
    level: f64,
    total_demand: f64,
    local_demand: f64,
    admitted_at_report: u64,
    /// Time since this gateway received its first level of the tenant.
    known_for: Millis,
    /// Time from which the level refills.
    at: Timestamp,
    /// Fraction of a request that must be left to admit one, drawn once per level. What is left for this gateway is
    /// rarely an integer, and the number admitted must be right on average however often callers retry. `None` until
    /// the first request.
    threshold: Option<f64>,
}

impl LeaderLevel {
    /// Builds the level from an answer to a report with this usage.
    pub(super) fn new(answer: &TenantLevel, reported: &TenantUsage, at: Timestamp) -> Self {
        Self {
            level: answer.level.requests(),
            total_demand: answer.asked_per_s.requests(),
            local_demand: reported.asked_per_s.requests(),
            admitted_at_report: reported.spent,
            known_for: Millis(0),
            at,
            threshold: None,
        }
    }

    pub(super) fn age(&self, now: Timestamp) -> Millis {
        now.since(self.at)
    }

    /// Returns this gateway's share of the demand.
    pub(super) fn share(&self) -> f64 {
        if self.total_demand <= 0.0 {
            return INITIAL_SHARE;
        }
        (self.local_demand / self.total_demand).clamp(0.0, 1.0)
    }

    /// Returns this gateway's share of the limit while it is disconnected from the leader.
    pub(super) fn disconnected_share(&self, limit: BucketLimit, size: FleetSize) -> f64 {
        let demand = DemandShare { local: self.local_demand, total: self.total_demand };
        demand.limit_share(limit, size)
    }

    /// Returns the number of requests left over all gateways, before those admitted since the report.
    pub(super) fn filled(&self, limit: BucketLimit, now: Timestamp) -> f64 {
        (self.level + limit.accrued(self.age(now))).min(limit.capacity)
    }

    /// Returns the number of requests down to which all gateways draw from the shared level freely: what they admit
    /// between two reports, but at least [`MIN_POOLED_FRACTION`] of the capacity less the requests by which a window may
    /// exceed the limit anyway. The estimate of demand is not relied on while it is new.
    fn pooled_floor(&self, limit: BucketLimit, interval: Millis) -> f64 {
        let half = limit.capacity * MIN_POOLED_FRACTION;
        let is_settled = limit.capacity <= POOLED_MARGIN || self.known_for >= DEMAND_SETTLING;
        if !is_settled {
            return half;
        }
        let between_reports = self.total_demand * interval.0 as f64 / 1_000.0;
        between_reports.max(half - POOLED_MARGIN).min(half)
    }

    /// Returns the number of requests left for this gateway if demand at the others continues unchanged.
    fn remaining(&self, limit: BucketLimit, interval: Millis, admitted: u64, now: Timestamp) -> f64 {
        let age = self.age(now);
        let admitted_since = admitted.saturating_sub(self.admitted_at_report) as f64;
        let demand_elsewhere = (self.total_demand - self.local_demand).max(0.0) * age.0 as f64 / 1_000.0;
        let filled = self.filled(limit, now);
        let pooled = filled - demand_elsewhere - admitted_since;
        if pooled >= self.pooled_floor(limit, interval) {
            return pooled;
        }
        filled * self.share() - admitted_since
    }
}

/// State of one tenant at one gateway.
#[derive(Clone, Debug, Default)]
pub(super) struct TenantState {
    /// Requests admitted since the process started.
    admitted: u64,
    recent: RecentCount,
    demand: Demand,
    level: Option<LeaderLevel>,
    /// Time of the first level.
    known_since: Option<Timestamp>,
    /// Bucket with this gateway's share of the limit, used while the leader's level is missing or has expired.
    local_bucket: Option<TokenBucket>,
    used_at: Timestamp,
}

impl TenantState {
    /// Records a request. One that has already waited does not count as demand again.
    pub(super) fn record_request(&mut self, has_waited: bool, now: Timestamp) {
        self.used_at = now;
        if !has_waited {
            self.demand.record(now);
        }
    }

    /// Returns whether the tenant has sent a request within a span.
    pub(super) fn used_within(&self, span: Millis, now: Timestamp) -> bool {
        now.since(self.used_at) < span
    }

    /// Returns the level in the leader's last answer.
    pub(super) fn level(&self) -> Option<LeaderLevel> {
        self.level
    }

    /// Returns whether that level is younger than `lifetime`.
    pub(super) fn is_level_fresh(&self, lifetime: Millis, now: Timestamp) -> bool {
        self.level.is_some_and(|level| level.age(now) < lifetime)
    }

    pub(super) fn set_level(&mut self, level: LeaderLevel) {
        let since = *self.known_since.get_or_insert(level.at);
        self.level = Some(LeaderLevel { known_for: level.at.since(since), ..level });
    }

    /// Returns the number of requests left for this gateway: from the leader's level while it is younger than
    /// `lifetime`, otherwise from a local bucket.
    pub(super) fn remaining(
        &mut self,
        limit: BucketLimit,
        interval: Millis,
        lifetime: Millis,
        size: FleetSize,
        now: Timestamp,
    ) -> f64 {
        if let Some(level) = self.level.filter(|level| level.age(now) < lifetime) {
            self.local_bucket = None;
            return level.remaining(limit, interval, self.admitted, now);
        }
        let leased = self.leased(now);
        let unknown = size.even_share().map_or(INITIAL_SHARE, |even| even * DISCONNECTED_SHARE_FACTOR);
        let share = leased.map_or(unknown, |level| level.disconnected_share(limit, size) * DISCONNECTED_SHARE_FACTOR);
        let scaled = limit.scaled(share);
        let admitted = self.admitted;
        let initial_level = leased.map_or(scaled.capacity, |level| {
            level.remaining(limit, interval, admitted, now).clamp(0.0, scaled.capacity)
        });
        let local_bucket = self.local_bucket.get_or_insert_with(|| TokenBucket::with_level(initial_level, now));
        local_bucket.refill(scaled, now);
        local_bucket.level()
    }

    /// Returns the leader's level while this gateway may continue with its share of the limit.
    fn leased(&self, now: Timestamp) -> Option<LeaderLevel> {
        self.level.filter(|level| level.age(now) < LEASE)
    }

    /// Returns the number of requests that must be left to admit one.
    pub(super) fn threshold(&mut self, random: f64) -> f64 {
        match &mut self.level {
            Some(level) if self.local_bucket.is_none() => *level.threshold.get_or_insert(random),
            _ => 1.0,
        }
    }

    pub(super) fn admit(&mut self, now: Timestamp) {
        self.admitted += 1;
        self.recent.record(now);
        if let Some(local_bucket) = &mut self.local_bucket {
            local_bucket.spend(1.0, f64::NEG_INFINITY);
        }
    }

    /// Returns whether a report is due before the regular interval after one at `last`: the level is missing, is
    /// older than `lifetime` while the tenant sends requests, or a large part of this gateway's share is used up.
    pub(super) fn needs_early_report(&self, last: Timestamp, lifetime: Millis) -> bool {
        let Some(level) = self.level else { return true };
        if self.used_at > last && last.since(level.at) >= lifetime {
            return true;
        }
        let admitted_since = self.admitted.saturating_sub(level.admitted_at_report) as f64;
        admitted_since >= 1.0 && admitted_since >= level.level * level.share() * EARLY_REPORT_FRACTION
    }

    /// Drops the level. Called when the tenant is no longer reported, since the leader then reserves only an even
    /// share for this gateway.
    pub(super) fn clear_level(&mut self) {
        self.level = None;
        self.known_since = None;
    }

    /// Returns the usage to report to the leader.
    pub(super) fn usage(&mut self, tenant: &TenantName, now: Timestamp) -> TenantUsage {
        TenantUsage {
            tenant: tenant.clone(),
            spent: self.admitted,
            latest: self.recent.total(now),
            asked_per_s: MilliRequests::of(self.demand.at_time(now)),
            known_per_s: MilliRequests::of(self.leased(now).map_or(0.0, |level| level.total_demand)),
        }
    }
}
