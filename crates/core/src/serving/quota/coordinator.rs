//! The leader's side of tenants' limits: what each tenant has left over all gateways.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::bucket::{BucketLimit, TokenBucket};
use super::fleet_size::FleetSize;
use super::message::{QuotaLevels, QuotaReport, TenantLevel, TenantUsage};
use super::tenant_level::{DISCONNECTED_PART, DemandPart};
use super::{LEASE, RECENT_WINDOW};
use crate::identity::NodeId;
use crate::serving::configuration::tenant::{MilliRequests, RateLimit, TenantName};
use crate::time::{Millis, Timestamp};

/// A gateway that did not report for this long counts as silent, in milliseconds: it goes on with its part of the
/// limits, which is reserved for it.
const SILENT_AFTER: Millis = Millis(1_500);
/// The time between two checks for silent gateways, in milliseconds: saves the leader's processor.
const RESERVE_INTERVAL: Millis = Millis(100);
/// Gateways that fall out of reach are missed this long after, in milliseconds: the loads that they reported are gone by
/// for so long.
const NOTICED_AFTER: Millis = Millis(1_000);
/// At most what is gained in this time is owed after too much was admitted, in milliseconds: a tenant is shut out no
/// longer than it takes to gain this.
const MAX_DEBT: Millis = Millis(1_000);
/// Demand that is less than this share of what it was before this node led is taken to be at gateways out of reach:
/// keeps the limit there.
const UNCHANGED_SHARE: f64 = 0.9;
/// A tenant that asked for less than this share of its rate before this node led begins with a full bucket, another one
/// with an empty one: keeps the limit at a new leader without refusing modest tenants.
const MODEST_SHARE: f64 = 0.9;
/// The time between two reviews of all accounts, in milliseconds: saves the leader's processor.
const REVIEW_INTERVAL: Millis = Millis(1_000);
/// Demand below this, in requests a second, is what rounding leaves of sums that should be zero.
const NEGLIGIBLE_DEMAND: f64 = 1e-6;

/// What a tenant has left.
#[derive(Clone, Debug)]
struct Account {
    bucket: TokenBucket,
    limit: BucketLimit,
    /// Requests asked for in a second, over all gateways.
    demand: f64,
    /// The same as it was before this node led.
    demand_before: f64,
}

impl Account {
    /// Books requests that were admitted. Returns how many of them were booked.
    fn spend(&mut self, requests: f64) -> f64 {
        self.bucket.spend(requests, -self.limit.gained(MAX_DEBT))
    }

    /// The share of the demand from before this node led that no gateway has reported to it.
    fn lost_demand(&self) -> f64 {
        if self.demand_before <= 0.0 {
            return 0.0;
        }
        (UNCHANGED_SHARE - self.demand / self.demand_before).max(0.0)
    }
}

/// What a gateway reported of a tenant.
#[derive(Clone, Copy, Debug)]
struct ReportedUsage {
    /// Requests admitted since the gateway's process started.
    spent: u64,
    /// Requests asked for in a second.
    demand: f64,
    /// The share of the limit with which it goes on while it is out of reach, by what it was answered.
    share: f64,
    /// The same by the answer before, which may be the last that it got.
    former_share: f64,
    /// Requests reserved for it while it was silent.
    reserved: f64,
}

/// What a gateway reported.
#[derive(Clone, Debug)]
struct GatewayUsage {
    node: NodeId,
    reported_at: Timestamp,
    /// Up to when its part was reserved.
    reserved_to: Timestamp,
    tenants: BTreeMap<TenantName, ReportedUsage>,
}

/// What all tenants have left.
#[derive(Clone, Debug, Default)]
pub struct RateCoordinator {
    opened_at: Timestamp,
    accounts: BTreeMap<TenantName, Account>,
    gateways: BTreeMap<Arc<str>, GatewayUsage>,
    size: FleetSize,
    /// Gateways that are out of reach.
    missing: u32,
    missing_before: u32,
    /// Up to when the parts of those were reserved.
    missing_reserved_to: Timestamp,
    reserved_at: Timestamp,
    reviewed_at: Timestamp,
    exhausted: usize,
}

impl RateCoordinator {
    /// Begins anew: this node has become the leader.
    pub fn reset(&mut self, now: Timestamp) {
        *self = Self { opened_at: now, ..Self::default() };
    }

    /// So many gateways are in reach now, of which one or the other knows that there were so many.
    pub fn record_gateway_count(&mut self, reachable: u32, known: u32, now: Timestamp) {
        self.size.record(reachable.max(known), now);
        self.missing = self.size.gateways().saturating_sub(reachable);
    }

    /// Takes a gateway's report and answers what is left. `limit_of` gives the limits in force.
    pub fn report(
        &mut self,
        from: NodeId,
        report: &QuotaReport,
        limit_of: impl Fn(&TenantName) -> Option<RateLimit>,
        now: Timestamp,
    ) -> QuotaLevels {
        self.reserve(now);
        let mut earlier = self.gateways.remove(&report.machine);
        let is_same_process = earlier.as_ref().is_some_and(|gateway| gateway.node == from);
        let mut usages = BTreeMap::new();
        for used in &report.tenants {
            let Some(limit) = limit_of(&used.tenant) else { continue };
            let known = earlier.as_mut().and_then(|gateway| gateway.tenants.remove(&used.tenant));
            let account = self.account(&used.tenant, BucketLimit::of(limit), used.known_per_s.requests(), now);
            let usage = take_usage(account, used, known, is_same_process);
            usages.insert(used.tenant.clone(), usage);
        }
        // Tenants of the earlier report that are missing in this one ask for nothing any more.
        for (name, gone) in earlier.into_iter().flat_map(|gateway| gateway.tenants) {
            self.forget_usage(&name, gone, is_same_process);
        }
        let mut gateway = GatewayUsage { node: from, reported_at: now, reserved_to: now, tenants: usages };
        let levels = self.levels_for(&gateway, now);
        self.note_shares(&mut gateway, &levels);
        self.gateways.insert(report.machine.clone(), gateway);
        QuotaLevels { gateways: u32::try_from(self.gateways.len()).unwrap_or(u32::MAX), ..levels }
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
        self.reserve(now);
        let is_opening = self.is_opening(now);
        self.accounts.retain(|_, account| {
            account.bucket.refill(account.limit, now);
            let is_unused = account.demand < NEGLIGIBLE_DEMAND && account.bucket.level() >= account.limit.capacity;
            is_opening || !is_unused
        });
        self.exhausted = self.accounts.values().filter(|account| account.bucket.level() < 1.0).count();
    }

    fn levels_for(&self, gateway: &GatewayUsage, now: Timestamp) -> QuotaLevels {
        let is_opening = self.is_opening(now);
        let level = |name: &TenantName| {
            let account = self.accounts.get(name)?;
            let level = MilliRequests::of(account.bucket.level());
            // Until all gateways have reported, what is known of them would make the parts of the first too large.
            let demand = if is_opening { account.demand.max(account.demand_before) } else { account.demand };
            Some(TenantLevel { tenant: name.clone(), level, asked_per_s: MilliRequests::of(demand) })
        };
        QuotaLevels { tenants: gateway.tenants.keys().filter_map(level).collect(), ..QuotaLevels::default() }
    }

    /// Notes the shares with which the gateway goes on if this answer is the last that it gets. Where that may be the one
    /// before, the greater share counts.
    fn note_shares(&self, gateway: &mut GatewayUsage, levels: &QuotaLevels) {
        for level in &levels.tenants {
            let Some(account) = self.accounts.get(&level.tenant) else { continue };
            let Some(usage) = gateway.tenants.get_mut(&level.tenant) else { continue };
            let demand = DemandPart { here: usage.demand, total: level.asked_per_s.requests() };
            let share = demand.share(account.limit, self.size) * DISCONNECTED_PART;
            (usage.former_share, usage.share) = (usage.share, share);
        }
    }

    /// The account of a tenant, filled up to now. `demand_before` is what gateways know of its demand.
    fn account(&mut self, name: &TenantName, limit: BucketLimit, demand_before: f64, now: Timestamp) -> &mut Account {
        let is_opening = self.is_opening(now);
        let account = self.accounts.entry(name.clone()).or_insert_with(|| {
            let is_modest = !is_opening || demand_before < limit.per_s * MODEST_SHARE;
            let level = if is_modest { limit.capacity } else { 0.0 };
            Account { bucket: TokenBucket::with_level(level, now), limit, demand: 0.0, demand_before: 0.0 }
        });
        if is_opening {
            account.demand_before = account.demand_before.max(demand_before);
        }
        account.limit = limit;
        account.bucket.refill(limit, now);
        account
    }

    /// Whether some gateways may not have reported to this leader yet.
    fn is_opening(&self, now: Timestamp) -> bool {
        now.since(self.opened_at) < RECENT_WINDOW
    }

    fn forget_usage(&mut self, name: &TenantName, gone: ReportedUsage, is_same_process: bool) {
        let Some(account) = self.accounts.get_mut(name) else { return };
        account.demand = (account.demand - gone.demand).max(0.0);
        if is_same_process {
            account.bucket.restore(gone.reserved);
        }
    }

    /// Reserves what gateways that don't report may admit.
    fn reserve(&mut self, now: Timestamp) {
        if now.since(self.reserved_at) < RESERVE_INTERVAL {
            return;
        }
        self.reserved_at = now;
        let listed = self.reserve_for_silent(now);
        self.reserve_for_missing(&listed, now);
    }

    /// Reserves the parts of gateways that have reported a tenant and fell silent. Returns how many those are.
    fn reserve_for_silent(&mut self, now: Timestamp) -> BTreeMap<TenantName, u32> {
        let is_complete = self.size.gateways() > 0 && self.missing == 0;
        let accounts = &mut self.accounts;
        let mut listed = BTreeMap::new();
        self.gateways.retain(|_, gateway| {
            let silence = now.since(gateway.reported_at);
            if silence < SILENT_AFTER {
                return true;
            }
            let span = now.since(gateway.reserved_to);
            gateway.reserved_to = now;
            for (name, used) in &mut gateway.tenants {
                let Some(account) = accounts.get_mut(name) else { continue };
                if silence >= LEASE {
                    account.demand = (account.demand - used.demand).max(0.0);
                } else if !is_complete {
                    used.reserved += account.spend(account.limit.gained(span) * used.share.max(used.former_share));
                    *listed.entry(name.clone()).or_default() += 1;
                }
            }
            silence < LEASE
        });
        listed
    }

    /// Reserves the parts of gateways that are out of reach and of which it is not known what they would admit: an even
    /// part each, or their part of the demand that there was before this node led, whichever is more.
    fn reserve_for_missing(&mut self, listed: &BTreeMap<TenantName, u32>, now: Timestamp) {
        let led_for = now.since(self.opened_at);
        if led_for < SILENT_AFTER {
            return;
        }
        let span = now.since(self.missing_reserved_to.max(self.opened_at));
        let newly_missing = self.missing.saturating_sub(self.missing_before);
        self.missing_reserved_to = now;
        self.missing_before = self.missing;
        let even_part = self.size.even_share().unwrap_or(0.0) * DISCONNECTED_PART;
        for (name, account) in &mut self.accounts {
            let unlisted = self.missing.saturating_sub(listed.get(name).copied().unwrap_or(0));
            let even = f64::from(unlisted) * even_part;
            let of_demand = if led_for < LEASE { account.lost_demand() } else { 0.0 };
            account.spend(account.limit.gained(span) * even.max(of_demand));
            let unnoticed = f64::from(newly_missing.min(unlisted)) * even_part;
            account.spend(account.limit.gained(NOTICED_AFTER) * unnoticed);
        }
    }
}

/// Books what a gateway admitted since its last report.
fn take_usage(
    account: &mut Account,
    used: &TenantUsage,
    known: Option<ReportedUsage>,
    is_same_process: bool,
) -> ReportedUsage {
    let demand = used.asked_per_s.requests();
    account.demand = (account.demand - known.map_or(0.0, |known| known.demand) + demand).max(0.0);
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
    let (share, former_share) = known.map_or((0.0, 0.0), |known| (known.share, known.former_share));
    ReportedUsage { spent: used.spent, demand, share, former_share, reserved: 0.0 }
}
