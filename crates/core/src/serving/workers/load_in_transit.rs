//! Estimate of the requests that other nodes have placed since their last load report.
//!
//! Load reports are up to a few hundred milliseconds old, so nodes that all select the least loaded worker would
//! overload it. Each node therefore assumes that the others kept placing requests on the cheapest workers: it raises
//! their cost to a common level (water filling) and ignores differences below that level.

/// Cost of a worker as a function of the number of additional requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostSlope {
    /// Cost of the next request, in milliseconds.
    pub cost: f64,
    /// Number of free slots.
    pub free_slots: f64,
    /// Cost added by each request that takes a free slot, in milliseconds.
    pub per_slot: f64,
    /// Cost added by each queued request, in milliseconds.
    pub per_queued: f64,
}

impl CostSlope {
    /// Returns the number of requests that raise the cost to `level`.
    fn requests_to_reach(&self, level: f64) -> f64 {
        let headroom = level - self.cost;
        if headroom <= 0.0 {
            return 0.0;
        }
        let in_slots = headroom / self.per_slot;
        if in_slots <= self.free_slots {
            return in_slots;
        }
        self.free_slots + (headroom - self.free_slots * self.per_slot) / self.per_queued
    }
}

/// Number of bisection steps when searching for the cost level.
const SEARCH_STEPS: u32 = 18;

/// Returns the cost level that the cheapest workers reach if `requests` more requests are placed one by one on the
/// cheapest worker, in milliseconds. `None` without workers or requests.
pub fn cost_level_after(workers: &[CostSlope], requests: f64) -> Option<f64> {
    if workers.is_empty() || requests <= 0.0 {
        return None;
    }
    let lowest = workers.iter().map(|worker| worker.cost).fold(f64::INFINITY, f64::min);
    let steepest = workers.iter().map(|worker| worker.per_queued).fold(0.0, f64::max);
    let (mut low, mut high) = (lowest, lowest + requests * steepest);
    for _ in 0..SEARCH_STEPS {
        let middle = (low + high) / 2.0;
        let placed: f64 = workers.iter().map(|worker| worker.requests_to_reach(middle)).sum();
        if placed < requests {
            low = middle;
        } else {
            high = middle;
        }
    }
    Some(high)
}
