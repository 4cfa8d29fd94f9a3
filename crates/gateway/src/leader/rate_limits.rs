//! Enforces tenants' rate limits: admits requests through [`RateLimiter`] and sends its reports to the job table's
//! leader.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::Rng;
use stallmoor_core::error::{ErrorKind, Refusal};
use stallmoor_core::serving::configuration::tenant::{CallerIdentity, RateLimit, TenantName};
use stallmoor_core::serving::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::serving::quota::limiter::{
    Admission, AdmissionRequest, FIRST_ANSWER_TIMEOUT, OverLimit, REPORT_CHECK_INTERVAL, REPORT_TIMEOUT, RateLimiter,
};
use stallmoor_core::serving::quota::message::QuotaReport;
use stallmoor_core::serving::quota::refusal_cause::RefusalCause;
use stallmoor_core::time::Timestamp;
use tokio::sync::{Notify, watch};

use crate::batch::job_calls::JobCalls;
use crate::fleet::fleet_view::FleetView;
use crate::observe::measures;

/// Rate limits of one gateway.
pub struct RateLimits {
    view: Arc<FleetView>,
    limiter: Mutex<RateLimiter>,
    /// Notified when a request waits for the answer to a report.
    report_needed: Notify,
    /// Counts completed reports, including failed ones.
    reports_done: watch::Sender<u64>,
}

impl RateLimits {
    /// Creates the limits of the gateway on `machine`, with no admissions recorded.
    pub fn new(view: Arc<FleetView>, machine: &str) -> Self {
        let limiter = Mutex::new(RateLimiter::new(Arc::from(machine)));
        Self { view, limiter, report_needed: Notify::new(), reports_done: watch::Sender::new(0) }
    }

    /// Admits or refuses a request of a caller.
    ///
    /// # Errors
    ///
    /// A refusal of the kind [`ErrorKind::RateExceeded`]: the tenant has reached its limit.
    pub async fn admit(&self, identity: &CallerIdentity) -> Result<(), Refusal> {
        let Some(tenant) = identity.tenant() else { return Ok(()) };
        let Some(limit) = self.limit_of(tenant) else { return Ok(()) };
        let mut reports = self.reports_done.subscribe();
        let mut admission = self.decide(tenant, limit, false);
        if admission == Admission::AwaitLevel {
            self.report_needed.notify_one();
            // After a timeout, this gateway's share of the limit applies.
            let _ = tokio::time::timeout(Duration::from_millis(FIRST_ANSWER_TIMEOUT.0), reports.changed()).await;
            admission = self.decide(tenant, limit, true);
        }
        match admission {
            Admission::Admitted | Admission::AwaitLevel => Ok(()),
            Admission::Refused(over_limit) => Err(rate_refusal(tenant, over_limit)),
        }
    }

    fn limit_of(&self, tenant: &TenantName) -> Option<RateLimit> {
        self.view.configuration()?.tenant(tenant)?.limit
    }

    fn decide(&self, tenant: &TenantName, limit: RateLimit, has_waited: bool) -> Admission {
        let random = self.view.random().random();
        let request = AdmissionRequest { tenant, limit, has_waited };
        let now = self.view.clock.now();
        let mut limiter = self.limiter();
        limiter.record_gateway_count(self.view.gateways(), now);
        limiter.record_reachable_gateways(self.view.reachable_gateways());
        limiter.admit(&request, random, now)
    }

    fn limiter(&self) -> MutexGuard<'_, RateLimiter> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the report that is due, if any.
    fn due_report(&self, last_report_at: Timestamp) -> Option<QuotaReport> {
        let now = self.view.clock.now();
        self.limiter().due_report(last_report_at, now)
    }

    /// Waits until a report may be due.
    async fn wait_until_report_due(&self) {
        let is_idle = self.limiter().is_idle();
        tokio::select! {
            () = self.report_needed.notified() => {}
            () = tokio::time::sleep(Duration::from_millis(REPORT_CHECK_INTERVAL.0)), if !is_idle => {}
        }
    }
}

/// Sends reports to the leader and applies its answers until the process ends.
pub async fn exchange_limits(limits: Arc<RateLimits>, jobs: Arc<JobCalls>) {
    let clock = limits.view.clock;
    let mut last_report_at = Timestamp::default();
    loop {
        limits.wait_until_report_due().await;
        let Some(report) = limits.due_report(last_report_at) else { continue };
        last_report_at = clock.now();
        let request = JobsRequest::ReportQuota(report.clone());
        match jobs.client.send_request(request, last_report_at + REPORT_TIMEOUT).await {
            // The age of the levels counts from the arrival of the answer.
            Ok(JobsAnswer::Quota(levels)) => {
                limits.limiter().apply_answer(&report, &levels, last_report_at, clock.now());
            }
            // This gateway's share of the limits applies. The client has logged an unexpected answer.
            Ok(_) | Err(_) => limits.limiter().record_report_failure(),
        }
        limits.reports_done.send_modify(|count| *count += 1);
    }
}

fn rate_refusal(tenant: &TenantName, over_limit: OverLimit) -> Refusal {
    measures::count_rate_refusal();
    let cause = over_limit.cause.map(RefusalCause::name);
    cause.into_iter().for_each(measures::count_rate_refusal_cause);
    let age = over_limit.age.map_or_else(|| "never told".to_owned(), |age| format!("told {} ms ago", age.0));
    let detail = format!(
        "the tenant {tenant} has {:.2} requests left at this gateway, {age}, cause {}",
        over_limit.remaining,
        cause.unwrap_or("limit_used_up")
    );
    Refusal::new(ErrorKind::RateExceeded, detail).with_retry_after(over_limit.retry_after.0)
}
