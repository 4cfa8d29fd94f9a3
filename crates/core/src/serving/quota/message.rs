//! Reports of gateways to the leader on tenants' limits, and their answers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::serving::configuration::tenant::{MilliRequests, TenantName};
use crate::time::Millis;

/// Reports that the leader handles in a second: bounds its processor time.
const REPORTS_PER_S: u64 = 300;
/// The shortest time between two reports of a gateway, in milliseconds: saves the leader's processor where there are
/// few gateways.
const LEAST_INTERVAL: Millis = Millis(100);
/// The longest time between two reports of a gateway, in milliseconds: keeps levels fresh where there are many
/// gateways.
const LONGEST_INTERVAL: Millis = Millis(1_000);

/// What a gateway has admitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// The gateway's machine. A process that was started again there takes the place of the one before.
    pub machine: Arc<str>,
    /// Tenants that asked for something of late.
    pub tenants: Vec<TenantUsage>,
}

/// One tenant at one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantUsage {
    /// The tenant.
    pub tenant: TenantName,
    /// Requests admitted since the gateway's process started.
    pub spent: u64,
    /// Those of them that were admitted in the last [`super::RECENT_WINDOW`].
    pub latest: u64,
    /// Requests asked for in a second, refused ones too, smoothed.
    pub asked_per_s: MilliRequests,
    /// The same of all gateways, as the leader answered it last. A new leader sees by it whether some are out of reach.
    pub known_per_s: MilliRequests,
}

/// What the leader answers: of each tenant in the report, what is left.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaLevels {
    /// The tenants that have a limit.
    pub tenants: Vec<TenantLevel>,
    /// How many gateways report.
    pub gateways: u32,
}

impl QuotaLevels {
    /// The time between two reports of one gateway: as short as the leader can handle.
    pub fn interval(&self) -> Millis {
        Millis(u64::from(self.gateways) * 1_000 / REPORTS_PER_S).clamp(LEAST_INTERVAL, LONGEST_INTERVAL)
    }
}

/// What a tenant has left over all gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantLevel {
    /// The tenant.
    pub tenant: TenantName,
    /// Requests that may be admitted at once. Negative after too many were.
    pub level: MilliRequests,
    /// Requests asked for in a second at all gateways.
    pub asked_per_s: MilliRequests,
}
