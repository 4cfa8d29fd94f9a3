//! A gateway's side of tenants' limits: whether a request is admitted, when the leader gets a report, and what a
//! missing answer means.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::bucket::BucketLimit;
use super::fleet_size::FleetSize;
use super::message::{QuotaLevels, QuotaReport};
use super::tenant_level::{LeaderLevel, TenantState, UNKNOWN_SHARE};
use crate::serving::configuration::tenant::{RateLimit, TenantName};
use crate::time::{Millis, Timestamp};

/// How long a request waits for the leader's first answer for its tenant, in milliseconds: tenants below their limits
/// aren't refused at a gateway that knows nothing of them.
pub const FIRST_ANSWER_TIMEOUT: Millis = Millis(60);
/// A report without an answer counts as lost after this long, in milliseconds: this gateway's own part of the limits
/// takes over.
pub const REPORT_TIMEOUT: Millis = Millis(250);
/// The time between two checks whether a report is due, in milliseconds: saves processor time.
pub const REPORT_CHECK_INTERVAL: Millis = Millis(20);
/// A level is gone by for this many intervals between reports, so that it outlives two lost reports, and for
/// [`LEAST_LEVEL_LIFETIME`] at the least.
const LEVEL_LIFETIME_INTERVALS: u64 = 3;
/// The least time for which a level is gone by, in milliseconds: the same at short intervals.
const LEAST_LEVEL_LIFETIME: Millis = Millis(1_000);
/// The shortest time between two reports of which the second is early, in milliseconds: saves the leader's processor.
const EARLY_REPORT_INTERVAL: Millis = Millis(40);
/// A tenant that asked for nothing for this long is not reported, in milliseconds: saves bytes.
const REPORTED_FOR: Millis = Millis(10_000);
/// A tenant that asked for nothing for this long is forgotten, in milliseconds: saves memory.
const REMEMBERED_FOR: Millis = Millis(60_000);
/// The shortest time after which a refused caller is asked to try again, in milliseconds: spares the gateway callers
/// that would be back at once.
const MIN_RETRY_AFTER: Millis = Millis(20);
/// The longest, in milliseconds: callers wait no longer than they have.
const MAX_RETRY_AFTER: Millis = Millis(2_000);

/// A request is over its tenant's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverLimit {
    /// When there should be room again.
    pub retry_after: Millis,
    /// What was left for this gateway, in requests.
    pub remaining: f64,
    /// How old the leader's level is; `None` if there is none.
    pub age: Option<Millis>,
}

/// What is asked of the limiter.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// The tenant.
    pub tenant: &'a TenantName,
    /// Its limit over all gateways.
    pub limit: RateLimit,
    /// The request has waited for the leader's answer already.
    pub has_waited: bool,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It is admitted.
    Admitted,
    /// The leader has not answered for its tenant of late and should be asked first, for [`FIRST_ANSWER_TIMEOUT`] at the
    /// most: many gateways that each admit one request at once would be over a small limit.
    AwaitLevel,
    /// It must be refused.
    Refused(OverLimit),
}

/// Decides at one gateway which requests are admitted.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    machine: Arc<str>,
    tenants: BTreeMap<TenantName, TenantState>,
    interval: Millis,
    size: FleetSize,
    /// The last report named tenants.
    has_reported: bool,
    /// The last report got no answer.
    is_disconnected: bool,
}

impl RateLimiter {
    /// A limiter that has admitted nothing yet.
    pub fn new(machine: Arc<str>) -> Self {
        let interval = QuotaLevels::default().interval();
        let size = FleetSize::default();
        Self { machine, tenants: BTreeMap::new(), interval, size, has_reported: false, is_disconnected: false }
    }

    /// So many gateways were seen, this one among them.
    pub fn record_gateway_count(&mut self, gateways: u32, now: Timestamp) {
        self.size.record(gateways, now);
    }

    /// Decides on a request. `drawn` is a random number from 0 to 1. A request that `has_waited` for the leader's
    /// answer is decided without it.
    pub fn admit(&mut self, ask: &AdmissionRequest<'_>, drawn: f64, now: Timestamp) -> Admission {
        let lifetime = self.level_lifetime();
        let limit = BucketLimit::of(ask.limit);
        let state = self.tenants.entry(ask.tenant.clone()).or_default();
        state.request_came(ask.has_waited, now);
        if !state.is_level_fresh(lifetime, now) && !ask.has_waited && !self.is_disconnected {
            return Admission::AwaitLevel;
        }
        let remaining = state.remaining(limit, lifetime, self.size, now);
        if remaining >= state.threshold(drawn) {
            state.admit(now);
            return Admission::Admitted;
        }
        let share = state.level().map_or(UNKNOWN_SHARE, |level| level.share());
        let retry_after = limit.part(share).time_for(1.0 - remaining);
        Admission::Refused(OverLimit {
            retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            remaining,
            age: state.level().map(|level| level.age(now)),
        })
    }

    /// When the next report is due after one at `last`: early where much was admitted since, or where the leader
    /// has not answered for a tenant yet.
    pub fn next_report(&self, last: Timestamp) -> Timestamp {
        let is_early = self.tenants.values().any(|state| state.needs_early_report(last, LEAST_LEVEL_LIFETIME));
        last + if is_early { EARLY_REPORT_INTERVAL } else { self.interval }
    }

    /// The report that is due after one at `last`; `None` if none is, or there is nothing to report.
    pub fn due_report(&mut self, last: Timestamp, now: Timestamp) -> Option<QuotaReport> {
        if self.next_report(last) > now {
            return None;
        }
        let report = self.report(now);
        // A last report without tenants tells the leader that this gateway is not out of reach.
        let had_reported = std::mem::replace(&mut self.has_reported, !report.tenants.is_empty());
        (self.has_reported || had_reported).then_some(report)
    }

    /// What there is to report to the leader.
    pub fn report(&mut self, now: Timestamp) -> QuotaReport {
        self.tenants.retain(|_, state| state.used_within(REMEMBERED_FOR, now));
        for state in self.tenants.values_mut().filter(|state| !state.used_within(REPORTED_FOR, now)) {
            state.forget_level();
        }
        let reported = self.tenants.iter_mut().filter(|(_, state)| state.used_within(REPORTED_FOR, now));
        let tenants = reported.map(|(name, state)| state.usage(name, now)).collect();
        QuotaReport { machine: self.machine.clone(), tenants }
    }

    /// Takes the leader's answer to a report. Its levels are counted from `at`.
    pub fn apply(&mut self, report: &QuotaReport, answer: &QuotaLevels, at: Timestamp) {
        self.interval = answer.interval();
        self.is_disconnected = false;
        for level in &answer.tenants {
            let usage = report.tenants.iter().find(|usage| usage.tenant == level.tenant);
            let (Some(usage), Some(state)) = (usage, self.tenants.get_mut(&level.tenant)) else { continue };
            state.set_level(LeaderLevel::new(level, usage, at));
        }
    }

    /// A report got no answer in time, or a wrong one. Until the next answer no request waits for the leader, and this
    /// gateway goes on with its own part of each limit once the last level is too old.
    pub fn report_failed(&mut self) {
        self.is_disconnected = true;
    }

    /// Whether no tenant asked for anything of late.
    pub fn is_idle(&self) -> bool {
        self.tenants.is_empty()
    }

    /// The time between two reports.
    pub fn interval(&self) -> Millis {
        self.interval
    }

    /// How long a level is gone by.
    fn level_lifetime(&self) -> Millis {
        Millis(self.interval.0 * LEVEL_LIFETIME_INTERVALS).max(LEAST_LEVEL_LIFETIME)
    }
}
