//! The leader's side of tenants' limits: the level of each tenant over all gateways.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::bucket::{BucketLimit, TokenBucket};
use super::fleet_size::FleetSize;
use super::message::{QuotaLevels, QuotaReport, TenantLevel, TenantUsage};
use super::tenant_level::{DISCONNECTED_SHARE_FACTOR, DemandShare};
use super::{LEASE, RECENT_WINDOW};
use crate::identity::NodeId;
use crate::serving::configuration::tenant::{MilliRequests, RateLimit, TenantName};
use crate::time::{Millis, Timestamp};

/// Time without a report after which a gateway is unresponsive. It continues with its share of the limits, which is
/// reserved for it.
const UNRESPONSIVE_TIMEOUT: Millis = Millis(1_500);
/// Interval between checks for unresponsive gateways. Limits the CPU time spent on the leader.
const RESERVE_INTERVAL: Millis = Millis(100);
/// Delay after which an unreachable gateway is detected, since the last loads that it reported are used for this
/// long.
const DETECTION_DELAY: Millis = Millis(1_000);
/// Maximum debt of a bucket after too many requests were admitted, as the time needed to accrue it. Bounds the time
/// for which all requests of a tenant are refused.
const MAX_DEBT_SPAN: Millis = Millis(1_000);
/// Ratio of reported to previous demand below which the difference is attributed to unreachable gateways. Protects
/// the limit after a change of the leader.
const UNCHANGED_DEMAND_RATIO: f64 = 0.9;
/// Fraction of its rate below which a tenant's previous demand lets its bucket start full at a new leader; other
/// buckets start with what accrues within [`RECENT_WINDOW`]. Protects the limit without refusing tenants with little
/// demand.
const LOW_DEMAND_SHARE: f64 = 0.9;
/// Fraction of the requests of [`RECENT_WINDOW`] that a new leader holds back from a tenant with high demand until it
/// knows whether gateways are unreachable. Covers what those admit until their share is reserved.
const CAUTION_FRACTION: f64 = 0.5;
/// Interval between reviews of all accounts. Limits the CPU time spent on the leader.
const REVIEW_INTERVAL: Millis = Millis(1_000);
/// Demand in requests per second that is treated as zero, since sums of floating-point numbers leave a remainder.
const NEGLIGIBLE_DEMAND: f64 = 1e-6;

/// Bucket and demand of a tenant.
#[derive(Clone, Debug)]
struct Account {
    bucket: TokenBucket,
    limit: BucketLimit,
    /// Requests per second at all gateways.
    demand: f64,
    /// Demand before this node became the leader, as reported by the gateways.
    previous_demand: f64,
    /// Requests that were deducted at the start as presumably admitted under the previous leader within
    /// [`RECENT_WINDOW`], less those that gateways have reported since.
    presumed: f64,
    /// Fraction of the previous demand that no gateway has reported to this leader; `None` until the first reports of
    /// all reachable gateways should have arrived.
    unreported: Option<f64>,
}

impl Account {
    /// Creates the account of a tenant. `previous_demand` is the demand before this node became the leader, 0 if it
    /// has been the leader for longer.
    fn new(limit: BucketLimit, previous_demand: f64, now: Timestamp) -> Self {
        let is_demand_low = previous_demand < limit.per_s * LOW_DEMAND_SHARE;
        let recent = limit.accrued(RECENT_WINDOW).min(limit.capacity);
        let presumed = if is_demand_low {
            BucketLimit { per_s: previous_demand, ..limit }.accrued(RECENT_WINDOW).min(recent)
        } else {
            recent * (1.0 + CAUTION_FRACTION)
        };
        let level = if is_demand_low { limit.capacity } else { recent };
        let bucket = TokenBucket::with_level(level - presumed, now);
        Self { bucket, limit, demand: 0.0, previous_demand: 0.0, presumed, unreported: None }
    }

    /// Deducts requests that a gateway admitted before its first report, except for those already presumed.
    fn spend_recent(&mut self, requests: f64) {
        let is_presumed = requests.min(self.presumed);
        self.presumed -= is_presumed;
        self.spend(requests - is_presumed);
    }

    /// Compares the reported with the previous demand once all reachable gateways should have reported, and puts back
    /// what was presumed and not reported. If gateways are unreachable, they may have admitted it.
    fn settle(&mut self, is_complete: bool) {
        let left = std::mem::take(&mut self.presumed);
        if is_complete {
            self.bucket.restore(left);
        }
        // Demand that falls later is no sign of unreachable gateways.
        let unreported = if is_complete { 0.0 } else { self.unreported_demand() };
        self.unreported = Some(self.unreported.map_or(unreported, |earlier| earlier.min(unreported)));
    }

    /// Deducts admitted requests. Returns the number deducted.
    fn spend(&mut self, requests: f64) -> f64 {
        self.bucket.spend(requests, -self.limit.accrued(MAX_DEBT_SPAN))
    }

    /// Returns the fraction of the previous demand that no gateway has reported to this leader.
    fn unreported_demand(&self) -> f64 {
        if self.previous_demand <= 0.0 {
            return 0.0;
        }
        (UNCHANGED_DEMAND_RATIO - self.demand / self.previous_demand).max(0.0)
    }
}

/// A tenant's usage in the last report of a gateway.
#[derive(Clone, Copy, Debug)]
struct ReportedUsage {
    /// Requests admitted since the gateway's process started.
    spent: u64,
    /// Requests per second at the gateway.
    demand: f64,
    /// Share of the limit with which the gateway continues while it is disconnected, according to the last answer
    /// sent.
    share: f64,
    /// Share according to the answer before, which may be the last that the gateway received.
    previous_share: f64,
    /// Requests reserved for the gateway while it was unresponsive.
    reserved: f64,
}

/// Last report of a gateway.
#[derive(Clone, Debug)]
struct GatewayUsage {
    node: NodeId,
    reported_at: Timestamp,
    /// Time up to which its share has been reserved.
    reserved_until: Timestamp,
    tenants: BTreeMap<TenantName, ReportedUsage>,
}

/// Levels of all tenants, maintained by the leader.
#[derive(Clone, Debug, Default)]
pub struct RateCoordinator {
    leader_since: Timestamp,
    accounts: BTreeMap<TenantName, Account>,
    gateways: BTreeMap<Arc<str>, GatewayUsage>,
    size: FleetSize,
    /// Number of unreachable gateways.
    unreachable: u32,
    previously_unreachable: u32,
    /// Time up to which the shares of unreachable gateways have been reserved.
    unreachable_reserved_until: Timestamp,
    reserved_at: Timestamp,
    reviewed_at: Timestamp,
    exhausted: usize,
}

impl RateCoordinator {
    /// Discards all state. Called when this node becomes the leader.
    pub fn reset(&mut self, now: Timestamp) {
        *self = Self { leader_since: now, ..Self::default() };
    }

    /// Records the number of reachable gateways, and the highest number of gateways known to any of them.
    pub fn record_gateway_count(&mut self, reachable: u32, known: u32, now: Timestamp) {
        self.size.record(reachable.max(known), now);
        self.unreachable = self.size.gateways().saturating_sub(reachable);
    }

    /// Applies a gateway's report and returns the levels of the reported tenants. `limit_of` returns the configured
    /// limit of a tenant.
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
            let usage = apply_usage(account, used, known, is_same_process);
            usages.insert(used.tenant.clone(), usage);
        }
        // Tenants of the previous report that are missing in this one have no demand anymore.
        for (name, removed) in earlier.into_iter().flat_map(|gateway| gateway.tenants) {
            self.remove_usage(&name, removed, is_same_process);
        }
        let mut gateway = GatewayUsage { node: from, reported_at: now, reserved_until: now, tenants: usages };
        let levels = self.levels_for(&gateway, now);
        self.record_shares(&mut gateway, &levels);
        self.gateways.insert(report.machine.clone(), gateway);
        QuotaLevels { gateways: u32::try_from(self.gateways.len()).unwrap_or(u32::MAX), ..levels }
    }

    /// Returns the number of tenants without any requests left at the last review.
    pub fn exhausted(&self) -> usize {
        self.exhausted
    }

    /// Returns the number of tenants with an account.
    pub fn tenants(&self) -> usize {
        self.accounts.len()
    }

    /// Counts exhausted tenants, and removes the accounts of tenants without demand whose buckets are full: a new
    /// account would start in the same state.
    pub fn tick(&mut self, now: Timestamp) {
        if now.since(self.reviewed_at) < REVIEW_INTERVAL {
            return;
        }
        self.reviewed_at = now;
        self.reserve(now);
        let is_warming_up = self.is_warming_up(now);
        self.accounts.retain(|_, account| {
            account.bucket.refill(account.limit, now);
            let is_unused = account.demand < NEGLIGIBLE_DEMAND && account.bucket.level() >= account.limit.capacity;
            is_warming_up || !is_unused
        });
        self.exhausted = self.accounts.values().filter(|account| account.bucket.level() < 1.0).count();
    }

    fn levels_for(&self, gateway: &GatewayUsage, now: Timestamp) -> QuotaLevels {
        let is_warming_up = self.is_warming_up(now);
        let level = |name: &TenantName| {
            let account = self.accounts.get(name)?;
            let level = MilliRequests::of(account.bucket.level());
            // Until all gateways have reported, the sum of the reported demand is too small and would make the shares
            // of the first gateways too large.
            let demand = if is_warming_up { account.demand.max(account.previous_demand) } else { account.demand };
            Some(TenantLevel { tenant: name.clone(), level, asked_per_s: MilliRequests::of(demand) })
        };
        QuotaLevels { tenants: gateway.tenants.keys().filter_map(level).collect(), ..QuotaLevels::default() }
    }

    /// Records the shares with which the gateway continues if this is the last answer that it receives. If it may
    /// have received only the previous answer, the larger share applies.
    fn record_shares(&self, gateway: &mut GatewayUsage, levels: &QuotaLevels) {
        for level in &levels.tenants {
            let Some(account) = self.accounts.get(&level.tenant) else { continue };
            let Some(usage) = gateway.tenants.get_mut(&level.tenant) else { continue };
            let demand = DemandShare { local: usage.demand, total: level.asked_per_s.requests() };
            let share = demand.limit_share(account.limit, self.size) * DISCONNECTED_SHARE_FACTOR;
            (usage.previous_share, usage.share) = (usage.share, share);
        }
    }

    /// Returns the account of a tenant with its bucket refilled. `previous_demand` is the demand known to the gateway.
    fn account(&mut self, name: &TenantName, limit: BucketLimit, previous_demand: f64, now: Timestamp) -> &mut Account {
        let is_warming_up = self.is_warming_up(now);
        let previous = if is_warming_up { previous_demand } else { 0.0 };
        let account = self.accounts.entry(name.clone()).or_insert_with(|| Account::new(limit, previous, now));
        if is_warming_up {
            account.previous_demand = account.previous_demand.max(previous_demand);
        }
        account.limit = limit;
        account.bucket.refill(limit, now);
        account
    }

    /// Returns whether some gateways may not have reported to this leader yet.
    fn is_warming_up(&self, now: Timestamp) -> bool {
        now.since(self.leader_since) < RECENT_WINDOW
    }

    fn remove_usage(&mut self, name: &TenantName, removed: ReportedUsage, is_same_process: bool) {
        let Some(account) = self.accounts.get_mut(name) else { return };
        account.demand = (account.demand - removed.demand).max(0.0);
        if is_same_process {
            account.bucket.restore(removed.reserved);
        }
    }

    /// Reserves the requests that gateways without a recent report may admit.
    fn reserve(&mut self, now: Timestamp) {
        if now.since(self.reserved_at) < RESERVE_INTERVAL {
            return;
        }
        self.reserved_at = now;
        let already_reserved = self.reserve_for_unresponsive(now);
        self.reserve_for_unreachable(&already_reserved, now);
    }

    /// Returns whether all known gateways are reachable.
    fn is_complete(&self) -> bool {
        self.size.gateways() > 0 && self.unreachable == 0
    }

    /// Reserves the shares of unresponsive gateways that have reported a tenant. Returns their number per tenant.
    fn reserve_for_unresponsive(&mut self, now: Timestamp) -> BTreeMap<TenantName, u32> {
        let is_complete = self.is_complete();
        let accounts = &mut self.accounts;
        let mut already_reserved = BTreeMap::new();
        self.gateways.retain(|_, gateway| {
            let since_report = now.since(gateway.reported_at);
            if since_report < UNRESPONSIVE_TIMEOUT {
                return true;
            }
            let span = now.since(gateway.reserved_until);
            gateway.reserved_until = now;
            for (name, used) in &mut gateway.tenants {
                let Some(account) = accounts.get_mut(name) else { continue };
                if since_report >= LEASE {
                    account.demand = (account.demand - used.demand).max(0.0);
                } else if !is_complete {
                    used.reserved += account.spend(account.limit.accrued(span) * used.share.max(used.previous_share));
                    *already_reserved.entry(name.clone()).or_default() += 1;
                }
            }
            since_report < LEASE
        });
        already_reserved
    }

    /// Reserves the shares of unreachable gateways whose usage is unknown: an even share for each, or their part of
    /// the demand before this node became the leader, whichever is larger.
    fn reserve_for_unreachable(&mut self, already_reserved: &BTreeMap<TenantName, u32>, now: Timestamp) {
        let leader_for = now.since(self.leader_since);
        if leader_for < UNRESPONSIVE_TIMEOUT {
            return;
        }
        let span = now.since(self.unreachable_reserved_until.max(self.leader_since));
        let is_complete = self.is_complete();
        let newly_unreachable = self.unreachable.saturating_sub(self.previously_unreachable);
        self.unreachable_reserved_until = now;
        self.previously_unreachable = self.unreachable;
        let even_part = self.size.even_share().unwrap_or(0.0) * DISCONNECTED_SHARE_FACTOR;
        for (name, account) in &mut self.accounts {
            account.settle(is_complete);
            let not_reserved = self.unreachable.saturating_sub(already_reserved.get(name).copied().unwrap_or(0));
            let even = f64::from(not_reserved) * even_part;
            let by_demand = if leader_for < LEASE { account.unreported.unwrap_or(0.0) } else { 0.0 };
            account.spend(account.limit.accrued(span) * even.max(by_demand));
            let undetected = f64::from(newly_unreachable.min(not_reserved)) * even_part;
            account.spend(account.limit.accrued(DETECTION_DELAY) * undetected);
        }
    }
}

/// Deducts the requests that a gateway has admitted since its last report.
fn apply_usage(
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
            account.spend_recent(used.latest as f64);
        }
    }
    let (share, previous_share) = known.map_or((0.0, 0.0), |known| (known.share, known.previous_share));
    ReportedUsage { spent: used.spent, demand, share, previous_share, reserved: 0.0 }
}
