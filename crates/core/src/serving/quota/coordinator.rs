//! The leader's side of tenants' limits: what each tenant has left over all gateways.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::bucket::{BucketLimit, TokenBucket};
use super::message::{QuotaLevels, QuotaReport, TenantLevel, TenantUsage};
use super::{LATEST, LEASE};
use crate::identity::NodeId;
use crate::serving::configuration::tenant::{MilliRequests, RateLimit, TenantName};
use crate::time::{Millis, Timestamp};

/// A gateway that did not report for so long goes on with its part of the limits. Longer than the longest time between
/// two reports.
const SILENT: Millis = Millis(1_500);
/// The time between two looks for silent gateways.
const SILENCE_INTERVAL: Millis = Millis(100);
/// At most what is gained in this time is owed after too much was let through, in milliseconds.
const LONGEST_DEBT: Millis = Millis(1_000);
/// Demand that is less than this share of what it was before this node led is held to be at gateways out of reach.
const SAME_DEMAND: f64 = 0.9;
/// A tenant that asked for less than this share of its rate before this node led had a full bucket; another one none.
const MODEST: f64 = 0.9;
/// The time between two looks over all accounts.
const REVIEW_INTERVAL: Millis = Millis(1_000);
/// Demand below this, in requests a second, is what is left of sums that should be zero.
const NO_DEMAND: f64 = 1e-6;

/// What a tenant has left.
#[derive(Clone, Debug)]
struct Account {
    bucket: TokenBucket,
    limit: BucketLimit,
    /// Requests asked for in a second, over all gateways.
    asked: f64,
    /// The same as it was before this node led.
    asked_before: f64,
}

impl Account {
    /// Books requests that were let through. Returns how many of them were booked.
    fn spend(&mut self, requests: f64) -> f64 {
        self.bucket.spend(requests, -self.limit.gained(LONGEST_DEBT))
    }
}

/// What a gateway told of a tenant.
#[derive(Clone, Copy, Debug)]
struct Use {
    spent: u64,
    asked: f64,
    /// What was set aside for it while it was silent.
    reserved: f64,
}

/// What a gateway told.
#[derive(Clone, Debug)]
struct Gateway {
    node: NodeId,
    reported_at: Timestamp,
    /// Up to when its part was set aside.
    reserved_to: Timestamp,
    tenants: BTreeMap<TenantName, Use>,
}

/// What all tenants have left.
#[derive(Clone, Debug, Default)]
pub struct RateCoordinator {
    opened_at: Timestamp,
    accounts: BTreeMap<TenantName, Account>,
    gateways: BTreeMap<Arc<str>, Gateway>,
    looked_at: Timestamp,
    reviewed_at: Timestamp,
    exhausted: usize,
}

impl RateCoordinator {
    /// Begins anew: this node has become the leader.
    pub fn open(&mut self, now: Timestamp) {
        *self = Self { opened_at: now, ..Self::default() };
    }

    /// Takes a gateway's report and tells it what is left. `limit_of` gives the limits in force.
    pub fn report(
        &mut self,
        from: NodeId,
        report: &QuotaReport,
        limit_of: impl Fn(&TenantName) -> Option<RateLimit>,
        now: Timestamp,
    ) -> QuotaLevels {
        self.set_aside(now);
        let mut earlier = self.gateways.remove(&report.machine);
        let is_same_process = earlier.as_ref().is_some_and(|gateway| gateway.node == from);
        let mut uses = BTreeMap::new();
        for used in &report.tenants {
            let Some(limit) = limit_of(&used.tenant) else { continue };
            let known = earlier.as_mut().and_then(|gateway| gateway.tenants.remove(&used.tenant));
            let account = self.account(&used.tenant, BucketLimit::of(limit), used.known_per_s.requests(), now);
            uses.insert(used.tenant.clone(), take_use(account, used, known, is_same_process));
        }
        // What is left over of the earlier report was not asked for any more.
        for (name, gone) in earlier.into_iter().flat_map(|gateway| gateway.tenants) {
            self.forget_use(&name, gone, is_same_process);
        }
        let gateway = Gateway { node: from, reported_at: now, reserved_to: now, tenants: uses };
        let news = self.news_for(&gateway, now);
        self.gateways.insert(report.machine.clone(), gateway);
        QuotaLevels { gateways: u32::try_from(self.gateways.len()).unwrap_or(u32::MAX), ..news }
    }

    /// How many tenants were out of requests at the last review.
    pub fn exhausted(&self) -> usize {
        self.exhausted
    }

    /// How many tenants are kept account of.
    pub fn tenants(&self) -> usize {
        self.accounts.len()
    }

    /// Lets time pass: counts who is out of requests, and forgets tenants whose buckets are full again and who ask
    /// for nothing. A new account would begin alike.
    pub fn tick(&mut self, now: Timestamp) {
        if now.since(self.reviewed_at) < REVIEW_INTERVAL {
            return;
        }
        self.reviewed_at = now;
        self.set_aside(now);
        let is_opening = self.is_opening(now);
        self.accounts.retain(|_, account| {
            account.bucket.refill(account.limit, now);
            let is_unused = account.asked < NO_DEMAND && account.bucket.level() >= account.limit.capacity;
            is_opening || !is_unused
        });
        self.exhausted = self.accounts.values().filter(|account| account.bucket.level() < 1.0).count();
    }

    fn news_for(&self, gateway: &Gateway, now: Timestamp) -> QuotaLevels {
        let is_opening = self.is_opening(now);
        let level = |name: &TenantName| {
            let account = self.accounts.get(name)?;
            let level = MilliRequests::of(account.bucket.level());
            // Until all gateways have reported, what is known of them would make the parts of the first too large.
            let asked = if is_opening { account.asked.max(account.asked_before) } else { account.asked };
            Some(TenantLevel { tenant: name.clone(), level, asked_per_s: MilliRequests::of(asked) })
        };
        QuotaLevels { tenants: gateway.tenants.keys().filter_map(level).collect(), ..QuotaLevels::default() }
    }

    /// The account of a tenant, filled up to now. `asked_before` is what gateways know of its demand.
    fn account(&mut self, name: &TenantName, limit: BucketLimit, asked_before: f64, now: Timestamp) -> &mut Account {
        let is_opening = self.is_opening(now);
        let account = self.accounts.entry(name.clone()).or_insert_with(|| {
            let is_modest = !is_opening || asked_before < limit.per_s * MODEST;
            let level = if is_modest { limit.capacity } else { 0.0 };
            Account { bucket: TokenBucket::with_level(level, now), limit, asked: 0.0, asked_before: 0.0 }
        });
        if is_opening {
            account.asked_before = account.asked_before.max(asked_before);
        }
        account.limit = limit;
        account.bucket.refill(limit, now);
        account
    }

    /// Whether some gateways may not have reported to this leader yet.
    fn is_opening(&self, now: Timestamp) -> bool {
        now.since(self.opened_at) < LATEST
    }

    fn forget_use(&mut self, name: &TenantName, gone: Use, is_same_process: bool) {
        let Some(account) = self.accounts.get_mut(name) else { return };
        account.asked = (account.asked - gone.asked).max(0.0);
        if is_same_process {
            account.bucket.restore(gone.reserved);
        }
    }

    /// Sets aside what gateways may let through that don't report.
    fn set_aside(&mut self, now: Timestamp) {
        let span = now.since(self.looked_at);
        if span < SILENCE_INTERVAL {
            return;
        }
        self.looked_at = now;
        self.set_aside_for_unheard(span, now);
        self.set_aside_for_silent(now);
    }

    /// Of gateways that never reported to this leader only their part of the earlier demand is known.
    fn set_aside_for_unheard(&mut self, span: Millis, now: Timestamp) {
        let led_for = now.since(self.opened_at);
        if led_for < LATEST || led_for > LEASE {
            return;
        }
        for account in self.accounts.values_mut().filter(|account| account.asked_before > 0.0) {
            let share = SAME_DEMAND - account.asked / account.asked_before;
            account.spend(account.limit.gained(span) * share.max(0.0));
        }
    }

    fn set_aside_for_silent(&mut self, now: Timestamp) {
        let accounts = &mut self.accounts;
        self.gateways.retain(|_, gateway| {
            let silence = now.since(gateway.reported_at);
            if silence < SILENT {
                return true;
            }
            let span = now.since(gateway.reserved_to);
            gateway.reserved_to = now;
            for (name, used) in &mut gateway.tenants {
                let Some(account) = accounts.get_mut(name) else { continue };
                if silence >= LEASE {
                    account.asked = (account.asked - used.asked).max(0.0);
                    continue;
                }
                let share = if account.asked > 0.0 { (used.asked / account.asked).min(1.0) } else { 0.0 };
                used.reserved += account.spend(account.limit.gained(span) * share);
            }
            silence < LEASE
        });
    }
}

/// Books what a gateway let through since its last report.
fn take_use(account: &mut Account, used: &TenantUsage, known: Option<Use>, is_same_process: bool) -> Use {
    let asked = used.asked_per_s.requests();
    account.asked = (account.asked - known.map_or(0.0, |known| known.asked) + asked).max(0.0);
    let earlier = known.filter(|known| is_same_process && known.spent <= used.spent);
    match earlier {
        Some(known) => {
            account.bucket.restore(known.reserved);
            account.spend((used.spent - known.spent) as f64);
        }
        None => {
            account.spend(used.latest as f64);
        }
    }
    Use { spent: used.spent, asked, reserved: 0.0 }
}
