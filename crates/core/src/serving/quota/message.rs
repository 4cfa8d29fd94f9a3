//! Gateways' reports to the leader about tenants' limits, and the answers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::serving::configuration::tenant::{MilliRequests, TenantName};
use crate::time::Millis;

/// Maximum number of reports per second at the leader. Bounds its CPU time.
const MAX_REPORTS_PER_S: u64 = 300;
/// Minimum interval between reports of a gateway, for a small number of gateways. Saves the leader's CPU time.
const MIN_REPORT_INTERVAL: Millis = Millis(100);
/// Maximum interval between reports of a gateway, so that levels stay fresh with a large number of gateways.
const MAX_REPORT_INTERVAL: Millis = Millis(1_000);

/// Usage of tenants at one gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// Machine of the gateway. A restarted process replaces the previous one on the same machine.
    pub machine: Arc<str>,
    /// Tenants that have sent requests recently.
    pub tenants: Vec<TenantUsage>,
}

/// Usage of one tenant at one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantUsage {
    /// Name of the tenant.
    pub tenant: TenantName,
    /// Requests admitted since the gateway's process started.
    pub spent: u64,
    /// Requests admitted within the last [`super::RECENT_WINDOW`].
    pub latest: u64,
    /// Smoothed demand at the gateway in requests per second, including refused requests.
    pub asked_per_s: MilliRequests,
    /// Demand at all gateways according to the leader's last answer. Lets a new leader detect that some gateways are
    /// unreachable.
    pub known_per_s: MilliRequests,
}

/// Answer of the leader: the level of each reported tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaLevels {
    /// Reported tenants that have a limit.
    pub tenants: Vec<TenantLevel>,
    /// Number of gateways that report.
    pub gateways: u32,
}

impl QuotaLevels {
    /// Returns the interval between reports of one gateway, which grows with the number of gateways.
    pub fn interval(&self) -> Millis {
        Millis(u64::from(self.gateways) * 1_000 / MAX_REPORTS_PER_S).clamp(MIN_REPORT_INTERVAL, MAX_REPORT_INTERVAL)
    }
}

/// Level of a tenant over all gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantLevel {
    /// Name of the tenant.
    pub tenant: TenantName,
    /// Requests that may be admitted at once. Negative after too many were admitted.
    pub level: MilliRequests,
    /// Demand at all gateways in requests per second.
    pub asked_per_s: MilliRequests,
}
