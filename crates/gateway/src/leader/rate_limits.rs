//! Keeping to tenants' limits: deciding on requests, and exchanging with the job table's leader what is left.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::Rng;
use stallmoor_core::error::{ErrorKind, Refusal};
use stallmoor_core::serving::configuration::tenant::{CallerIdentity, RateLimit, TenantName};
use stallmoor_core::serving::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::serving::quota::limiter::{Admission, OverLimit, RateLimiter, TenantAsk};
use stallmoor_core::serving::quota::message::QuotaReport;
use stallmoor_core::time::{Millis, Timestamp};
use tokio::sync::{Notify, watch};

use crate::batch::job_calls::JobCalls;
use crate::fleet::fleet_view::FleetView;
use crate::observe::measures;

/// How long a request waits for the leader's first word of its tenant: a few ways between zones.
const FIRST_WORD: Duration = Duration::from_millis(60);
/// How long the leader's answer to a report is waited for.
const ANSWER_TIMEOUT: Millis = Millis(250);
/// The time between two looks whether a report is due.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// The limits at one gateway.
pub struct RateLimits {
    view: Arc<FleetView>,
    limiter: Mutex<RateLimiter>,
    /// Told when a report is wanted at once.
    wanted: Notify,
    /// Counts the reports that were answered, or not in time.
    heard: watch::Sender<u64>,
}

impl RateLimits {
    /// Limits of a gateway on a machine of that name, which let nothing through yet.
    pub fn new(view: Arc<FleetView>, machine: &str) -> Self {
        let limiter = Mutex::new(RateLimiter::new(Arc::from(machine)));
        Self { view, limiter, wanted: Notify::new(), heard: watch::Sender::new(0) }
    }

    /// Decides on a request.
    ///
    /// # Errors
    ///
    /// A refusal: the tenant has used up its limit.
    pub async fn admit(&self, identity: &CallerIdentity) -> Result<(), Refusal> {
        let Some(tenant) = identity.tenant() else { return Ok(()) };
        let Some(limit) = self.limit_of(tenant) else { return Ok(()) };
        let mut heard = self.heard.subscribe();
        let mut admission = self.decide(tenant, limit, false);
        if admission == Admission::Untold {
            self.wanted.notify_one();
            // Without the leader's word this gateway's own part of the limit has to do.
            let _ = tokio::time::timeout(FIRST_WORD, heard.changed()).await;
            admission = self.decide(tenant, limit, true);
        }
        match admission {
            Admission::Through | Admission::Untold => Ok(()),
            Admission::Refused(over) => Err(refuse(tenant, over)),
        }
    }

    fn limit_of(&self, tenant: &TenantName) -> Option<RateLimit> {
        self.view.configuration()?.tenant(tenant)?.limit
    }

    fn decide(&self, tenant: &TenantName, limit: RateLimit, has_waited: bool) -> Admission {
        let drawn = self.view.random().random();
        let ask = TenantAsk { tenant, limit, has_waited };
        self.limiter().admit(&ask, drawn, self.view.clock.now())
    }

    fn limiter(&self) -> MutexGuard<'_, RateLimiter> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The report that is due, if there is one.
    fn due_report(&self, last: Timestamp) -> Option<QuotaReport> {
        let now = self.view.clock.now();
        let mut limiter = self.limiter();
        let is_due = limiter.next_report(last) <= now;
        is_due.then(|| limiter.report(now)).filter(|report| !report.tenants.is_empty())
    }

    /// Waits until a report may be due.
    async fn rest(&self) {
        let is_idle = self.limiter().is_idle();
        tokio::select! {
            () = self.wanted.notified() => {}
            () = tokio::time::sleep(LOOK_INTERVAL), if !is_idle => {}
        }
    }
}

/// Exchanges with the leader until the process ends.
pub async fn share_limits(limits: Arc<RateLimits>, jobs: Arc<JobCalls>) {
    let clock = limits.view.clock;
    let mut last = Timestamp::default();
    loop {
        limits.rest().await;
        let Some(report) = limits.due_report(last) else { continue };
        last = clock.now();
        let request = JobsRequest::ReportQuota(report.clone());
        match jobs.client.ask(request, last + ANSWER_TIMEOUT).await {
            Ok(JobsAnswer::Quota(news)) => limits.limiter().hear(&report, &news, clock.now()),
            // The gateway's own part of the limits has to do.
            Ok(_) | Err(_) => limits.limiter().lose(),
        }
        limits.heard.send_modify(|count| *count += 1);
    }
}

fn refuse(tenant: &TenantName, over: OverLimit) -> Refusal {
    measures::rate_refused();
    let age = over.age.map_or_else(|| "never told".to_owned(), |age| format!("told {} ms ago", age.0));
    let detail = format!("the tenant {tenant} has {:.2} requests left at this gateway, {age}", over.left);
    Refusal::new(ErrorKind::RateExceeded, detail).with_retry_after(over.retry_after.0)
}
