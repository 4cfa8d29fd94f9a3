//! Ranking of batch jobs: urgent jobs first, then weighted fair sharing among tenants.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::time::UnixMillis;

/// Jobs whose deadline is closer than this are urgent.
const URGENT_WINDOW_MS: u64 = 600_000;

/// Rank of a job; jobs with lower ranks are scheduled first.
#[derive(Clone, Debug, PartialEq, PartialOrd)]
pub struct JobRank {
    /// Deadline of an urgent job; `u64::MAX` for others.
    urgency: u64,
    /// Number of streams of the tenant divided by its weight.
    usage: f64,
    /// Deadline in Unix milliseconds, used as the tie-breaker.
    deadline: u64,
}

/// Number of streams in flight by tenant.
#[derive(Clone, Debug, Default)]
pub struct TenantUsage {
    streams: BTreeMap<Arc<str>, u32>,
}

impl TenantUsage {
    /// Increments the stream count of a tenant.
    pub fn increment(&mut self, tenant: &Arc<str>) {
        *self.streams.entry(tenant.clone()).or_default() += 1;
    }

    /// Decrements the stream count of a tenant.
    pub fn decrement(&mut self, tenant: &Arc<str>) {
        if let Some(count) = self.streams.get_mut(tenant) {
            *count -= 1;
            if *count == 0 {
                self.streams.remove(tenant);
            }
        }
    }

    /// Returns the rank of a job of `tenant` with the given deadline, at the wall-clock time `wall_time`.
    pub fn rank(&self, tenant: &Arc<str>, weight: u32, deadline: UnixMillis, wall_time: UnixMillis) -> JobRank {
        let is_urgent = deadline.0 < wall_time.0.saturating_add(URGENT_WINDOW_MS);
        let streams = self.streams.get(tenant).copied().unwrap_or(0);
        JobRank {
            urgency: if is_urgent { deadline.0 } else { u64::MAX },
            usage: f64::from(streams) / f64::from(weight.max(1)),
            deadline: deadline.0,
        }
    }
}
