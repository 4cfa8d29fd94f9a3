//! Requests that other nodes have placed since their last load report.
//!
//! Load reports are up to a few hundred milliseconds old. If every node chose the worker that looked least busy then, all
//! would choose the same one. So a node assumes that the others went on placing requests where it was cheapest: it raises
//! the cheapest workers to a common level and treats differences below that level as unknown.

/// How the cost of one worker rises with each further request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostSlope {
    /// The cost of the next request, in milliseconds.
    pub cost: f64,
    /// Slots that are free.
    pub free_slots: f64,
    /// How much a request in a free slot adds, in milliseconds.
    pub per_slot: f64,
    /// How much a request that waits adds, in milliseconds.
    pub per_wait: f64,
}

impl CostSlope {
    /// How many requests raise the worker's cost to `level`.
    fn requests_below(&self, level: f64) -> f64 {
        let room = level - self.cost;
        if room <= 0.0 {
            return 0.0;
        }
        let in_slots = room / self.per_slot;
        if in_slots <= self.free_slots {
            return in_slots;
        }
        self.free_slots + (room - self.free_slots * self.per_slot) / self.per_wait
    }
}

/// Steps of the search for the level; each halves what is uncertain.
const SEARCH_STEPS: u32 = 18;

/// The cost that all workers reach if `requests` more are placed one by one where it is cheapest, in
/// milliseconds. `None` without workers or requests.
pub fn level_after(workers: &[CostSlope], requests: f64) -> Option<f64> {
    if workers.is_empty() || requests <= 0.0 {
        return None;
    }
    let lowest = workers.iter().map(|worker| worker.cost).fold(f64::INFINITY, f64::min);
    let steepest = workers.iter().map(|worker| worker.per_wait).fold(0.0, f64::max);
    let (mut low, mut high) = (lowest, lowest + requests * steepest);
    for _ in 0..SEARCH_STEPS {
        let middle = (low + high) / 2.0;
        let placed: f64 = workers.iter().map(|worker| worker.requests_below(middle)).sum();
        if placed < requests {
            low = middle;
        } else {
            high = middle;
        }
    }
    Some(high)
}
