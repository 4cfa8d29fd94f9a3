//! Guards against limits that are exceeded by a gateway that stood still while the leader's answer waited for it: the answer
//! says what was left then, and the other gateways have used it since.

use std::sync::Arc;

use stallmoor_core::serving::configuration::tenant::{MilliRequests, RateLimit, TenantName};
use stallmoor_core::serving::quota::limiter::{Admission, AdmissionRequest, REPORT_TIMEOUT, RateLimiter};
use stallmoor_core::serving::quota::message::{QuotaLevels, QuotaReport, TenantLevel};
use stallmoor_core::time::{Millis, Timestamp};

const GATEWAYS: u32 = 49;
const LIMIT: RateLimit = RateLimit { per_s: MilliRequests(20_000), burst: MilliRequests(20_000) };

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn tenant() -> TenantName {
    TenantName::new("tenant")
}

/// Returns a gateway that has reported at 0 ms, and its report.
fn reported() -> (RateLimiter, QuotaReport) {
    let mut limiter = RateLimiter::new(Arc::from("gateway"));
    limiter.record_gateway_count(GATEWAYS, at(0));
    limiter.record_reachable_gateways(GATEWAYS);
    limiter.admit(&AdmissionRequest { tenant: &tenant(), limit: LIMIT, has_waited: true }, 0.5, at(0));
    let report = limiter.report(at(0));
    (limiter, report)
}

/// Returns an answer by which the whole limit is left, while the other gateways admit all of it each second.
fn full(report: &QuotaReport) -> QuotaLevels {
    let asked_per_s = MilliRequests(report.tenants[0].asked_per_s.0 + 20_000);
    let level = TenantLevel { tenant: tenant(), level: MilliRequests(20_000), asked_per_s };
    QuotaLevels { tenants: vec![level], gateways: GATEWAYS }
}

/// Returns how many of many requests at once are admitted.
fn admitted(limiter: &mut RateLimiter, now: Timestamp) -> usize {
    let name = tenant();
    let request = AdmissionRequest { tenant: &name, limit: LIMIT, has_waited: true };
    (0..200).filter(|_| limiter.admit(&request, 0.5, now) == Admission::Admitted).count()
}

/// Guards against a level that counts from when a stopped process comes to read it.
#[test]
fn an_answer_that_waited_for_a_stopped_gateway_counts_as_lost() {
    let resumed = at(REPORT_TIMEOUT.0 + 4_000);
    let (mut lost, _) = reported();
    lost.record_report_failure();
    let (mut late, report) = reported();
    late.apply_answer(&report, &full(&report), at(0), resumed);
    assert_eq!(admitted(&mut late, resumed), admitted(&mut lost, resumed));
}

/// Guards against answers that are dropped although they came in time.
#[test]
fn an_answer_in_time_sets_the_level() {
    let (mut limiter, report) = reported();
    let arrived = at(REPORT_TIMEOUT.0);
    limiter.apply_answer(&report, &full(&report), at(0), arrived);
    assert!(admitted(&mut limiter, arrived + Millis(1)) >= 10);
}
