//! The order among jobs: those that may come late first, then fair shares by tenant.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::time::UnixMillis;

/// A job whose deadline is nearer than this goes before all that have more time.
const URGENT_WINDOW_MS: u64 = 600_000;

/// Where a job stands in the order; lower goes first.
#[derive(Clone, Debug, PartialEq, PartialOrd)]
pub struct JobRank {
    /// Urgent jobs by deadline; the others share rank `u64::MAX`.
    urgency: u64,
    /// Streams that the tenant has, for its weight.
    usage: f64,
    /// Earlier deadlines first.
    deadline: u64,
}

/// Streams in flight by tenant.
#[derive(Clone, Debug, Default)]
pub struct TenantUsage {
    streams: BTreeMap<Arc<str>, u32>,
}

impl TenantUsage {
    /// Counts a stream.
    pub fn started(&mut self, tenant: &Arc<str>) {
        *self.streams.entry(tenant.clone()).or_default() += 1;
    }

    /// Counts a stream off.
    pub fn ended(&mut self, tenant: &Arc<str>) {
        if let Some(count) = self.streams.get_mut(tenant) {
            *count -= 1;
            if *count == 0 {
                self.streams.remove(tenant);
            }
        }
    }

    /// Where a job of `tenant` stands.
    pub fn rank(&self, tenant: &Arc<str>, weight: u32, deadline: UnixMillis, civil: UnixMillis) -> JobRank {
        let is_urgent = deadline.0 < civil.0.saturating_add(URGENT_WINDOW_MS);
        let streams = self.streams.get(tenant).copied().unwrap_or(0);
        JobRank {
            urgency: if is_urgent { deadline.0 } else { u64::MAX },
            usage: f64::from(streams) / f64::from(weight.max(1)),
            deadline: deadline.0,
        }
    }
}
