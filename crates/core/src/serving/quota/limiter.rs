//! A gateway's side of tenants' limits: admits or refuses requests, and decides when to report to the leader.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::bucket::BucketLimit;
use super::fleet_size::FleetSize;
use super::message::{QuotaLevels, QuotaReport};
use super::refusal_cause::{Basis, RefusalCause};
use super::tenant_level::{INITIAL_SHARE, LeaderLevel, TenantState};
use crate::serving::configuration::tenant::{RateLimit, TenantName};
use crate::time::{Millis, Timestamp};

/// Maximum time for which a request waits for the leader's first answer for its tenant. Avoids refusing tenants below
/// their limits at a gateway that has no level for them yet.
pub const FIRST_ANSWER_TIMEOUT: Millis = Millis(60);
/// Time after which a report without an answer counts as lost, and this gateway continues with its own share of the
/// limits.
pub const REPORT_TIMEOUT: Millis = Millis(250);
/// Time after which an answer that arrives counts as lost. Longer than [`REPORT_TIMEOUT`], so that only a process that
/// stood still finds an older one.
const MAX_ANSWER_AGE: Millis = Millis(REPORT_TIMEOUT.0 * 2);
/// Interval between checks whether a report is due.
pub const REPORT_CHECK_INTERVAL: Millis = Millis(20);
/// Lifetime of a level in report intervals, so that it outlives two lost reports. At least [`MIN_LEVEL_LIFETIME`].
const LEVEL_LIFETIME_INTERVALS: u64 = 3;
/// Age in report intervals from which a level counts as outdated in the cause of a refusal.
const STALE_INTERVALS: u64 = 2;
/// Minimum lifetime of a level, for short report intervals.
const MIN_LEVEL_LIFETIME: Millis = Millis(1_000);
/// Minimum time between a report and a following early one. Limits the CPU time spent on the leader.
const MIN_EARLY_REPORT_INTERVAL: Millis = Millis(40);
/// Time without requests after which a tenant is no longer reported. Saves bytes.
const REPORT_RETENTION: Millis = Millis(10_000);
/// Time without requests after which the state of a tenant is dropped.
const STATE_RETENTION: Millis = Millis(60_000);
/// Minimum retry delay for refused callers, so that they do not retry immediately.
const MIN_RETRY_AFTER: Millis = Millis(20);
/// Maximum retry delay for refused callers. Callers wait no longer than they have.
const MAX_RETRY_AFTER: Millis = Millis(2_000);

/// Refusal of a request because its tenant is over its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverLimit {
    /// Time after which a retry is likely to be admitted.
    pub retry_after: Millis,
    /// Number of requests left for this gateway.
    pub remaining: f64,
    /// Age of the leader's level; `None` if there is none.
    pub age: Option<Millis>,
    /// What the refusal rested on; `None` if the limit is used up.
    pub cause: Option<RefusalCause>,
}

/// A request for which admission is decided.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Tenant that sent the request.
    pub tenant: &'a TenantName,
    /// Limit of the tenant over all gateways.
    pub limit: RateLimit,
    /// Whether the request has already waited for the leader's answer.
    pub has_waited: bool,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The request is admitted.
    Admitted,
    /// There is no recent level for the tenant. The request should wait for the leader's answer for at most
    /// [`FIRST_ANSWER_TIMEOUT`]: if many gateways admitted one request each, they would exceed a small limit.
    AwaitLevel,
    /// The request must be refused.
    Refused(OverLimit),
}

/// Admission of requests at one gateway.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    machine: Arc<str>,
    tenants: BTreeMap<TenantName, TenantState>,
    interval: Millis,
    size: FleetSize,
    /// Number of gateways that reach the leader, according to the last load report; 0 if unknown.
    reachable: u32,
    /// Whether the last report included any tenants.
    has_reported: bool,
    /// Whether the last report was lost.
    is_disconnected: bool,
}

impl RateLimiter {
    /// Creates a limiter for the gateway on this machine.
    pub fn new(machine: Arc<str>) -> Self {
        let interval = QuotaLevels::default().interval();
        let size = FleetSize::default();
        let tenants = BTreeMap::new();
        Self { machine, tenants, interval, size, reachable: 0, has_reported: false, is_disconnected: false }
    }

    /// Records the number of gateways observed, including this one.
    pub fn record_gateway_count(&mut self, gateways: u32, now: Timestamp) {
        self.size.record(gateways, now);
    }

    /// Records the number of gateways that reach the leader, including this one.
    pub fn record_reachable_gateways(&mut self, gateways: u32) {
        self.reachable = gateways;
    }

    /// Decides on a request. `random` is a random number from 0 to 1. A request with `has_waited` set is decided
    /// without a recent level.
    pub fn admit(&mut self, request: &AdmissionRequest<'_>, random: f64, now: Timestamp) -> Admission {
        let lifetime = self.level_lifetime();
        let limit = BucketLimit::of(request.limit);
        let state = self.tenants.entry(request.tenant.clone()).or_default();
        state.record_request(request.has_waited, now);
        if !state.is_level_fresh(lifetime, now) && !request.has_waited && !self.is_disconnected {
            return Admission::AwaitLevel;
        }
        let remaining = state.remaining(limit, self.interval, lifetime, self.size, now);
        if remaining >= state.threshold(random) {
            state.admit(now);
            return Admission::Admitted;
        }
        let basis = Basis {
            level: state.level().map(|level| (level.age(now), level.filled(limit, now))),
            lifetime,
            stale_after: Millis(self.interval.0 * STALE_INTERVALS),
            is_disconnected: self.is_disconnected,
            has_unreachable: self.reachable > 0 && self.reachable < self.size.gateways(),
        };
        let share = state.level().map_or(INITIAL_SHARE, |level| level.share());
        let retry_after = limit.scaled(share).time_to_accrue(1.0 - remaining);
        Admission::Refused(OverLimit {
            retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            remaining,
            age: state.level().map(|level| level.age(now)),
            cause: basis.cause(),
        })
    }

    /// Returns when the next report is due after one at `last`. A report is due early if many requests were admitted
    /// since, or if the leader has not answered for a tenant yet.
    pub fn next_report(&self, last: Timestamp) -> Timestamp {
        let is_early = self.tenants.values().any(|state| state.needs_early_report(last, MIN_LEVEL_LIFETIME));
        last + if is_early { MIN_EARLY_REPORT_INTERVAL } else { self.interval }
    }

    /// Returns the report due after one at `last`; `None` if none is due or there is nothing to report.
    pub fn due_report(&mut self, last: Timestamp, now: Timestamp) -> Option<QuotaReport> {
        if self.next_report(last) > now {
            return None;
        }
        let report = self.report(now);
        // One report without tenants follows the last one with tenants, so that the leader does not treat this
        // gateway as unreachable.
        let had_reported = std::mem::replace(&mut self.has_reported, !report.tenants.is_empty());
        (self.has_reported || had_reported).then_some(report)
    }

    /// Builds a report of all recently used tenants.
    pub fn report(&mut self, now: Timestamp) -> QuotaReport {
        self.tenants.retain(|_, state| state.used_within(STATE_RETENTION, now));
        for state in self.tenants.values_mut().filter(|state| !state.used_within(REPORT_RETENTION, now)) {
            state.clear_level();
        }
        let reported = self.tenants.iter_mut().filter(|(_, state)| state.used_within(REPORT_RETENTION, now));
        let tenants = reported.map(|(name, state)| state.usage(name, now)).collect();
        QuotaReport { machine: self.machine.clone(), tenants }
    }

    /// Applies the leader's answer, which arrived at `now`, to a report sent at `reported_at`. An answer that waited for
    /// this process longer than a report may take counts as lost, since other gateways have admitted requests since.
    pub fn apply_answer(&mut self, report: &QuotaReport, answer: &QuotaLevels, reported_at: Timestamp, now: Timestamp) {
        if now.since(reported_at) > MAX_ANSWER_AGE {
            self.record_report_failure();
        } else {
            self.apply(report, answer, now);
        }
    }

    /// Applies the leader's answer to a report. The levels refill from `at` on.
    pub fn apply(&mut self, report: &QuotaReport, answer: &QuotaLevels, at: Timestamp) {
        self.interval = answer.interval();
        self.is_disconnected = false;
        for level in &answer.tenants {
            let usage = report.tenants.iter().find(|usage| usage.tenant == level.tenant);
            let (Some(usage), Some(state)) = (usage, self.tenants.get_mut(&level.tenant)) else { continue };
            state.set_level(LeaderLevel::new(level, usage, at));
        }
    }

    /// Records that a report received no valid answer in time. Until the next answer, requests do not wait for the
    /// leader, and this gateway uses its own share of each limit once the last level has expired.
    pub fn record_report_failure(&mut self) {
        self.is_disconnected = true;
    }

    /// Returns whether no tenant has sent requests recently.
    pub fn is_idle(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Returns the current interval between reports.
    pub fn interval(&self) -> Millis {
        self.interval
    }

    fn level_lifetime(&self) -> Millis {
        Millis(self.interval.0 * LEVEL_LIFETIME_INTERVALS).max(MIN_LEVEL_LIFETIME)
    }
}
