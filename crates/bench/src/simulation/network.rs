//! The network between nodes: delay, loss, duplication and partitions.

use std::collections::BTreeSet;

use rand::Rng;
use rand_xoshiro::Xoshiro256PlusPlus;

/// Temporary impairment of the network.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkImpairment {
    /// Fraction of messages lost.
    pub lost: f64,
    /// Fraction of messages duplicated.
    pub duplicated: f64,
    /// Maximum extra delay in milliseconds, which also reorders messages.
    pub delay_ms: u64,
}

/// Network state. Nodes are identified by slot and zones by index.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// Active impairment.
    pub impairment: NetworkImpairment,
    /// Partitioned links, one direction each.
    pub partitioned_links: BTreeSet<(usize, usize)>,
    /// Zones partitioned from the others.
    pub partitioned_zones: BTreeSet<usize>,
}

/// Delays in milliseconds of the delivered copies of one message; empty if it is lost.
pub type Deliveries = Vec<u64>;

impl Network {
    /// Returns the delivery delays of a message.
    pub fn route(&self, from: (usize, usize), to: (usize, usize), random: &mut Xoshiro256PlusPlus) -> Deliveries {
        let (from_slot, from_zone) = from;
        let (to_slot, to_zone) = to;
        let crosses_cut = from_zone != to_zone
            && (self.partitioned_zones.contains(&from_zone) || self.partitioned_zones.contains(&to_zone));
        if crosses_cut || self.partitioned_links.contains(&(from_slot, to_slot)) {
            return Vec::new();
        }
        if self.impairment.lost > 0.0 && random.random_bool(self.impairment.lost) {
            return Vec::new();
        }
        let copies =
            if self.impairment.duplicated > 0.0 && random.random_bool(self.impairment.duplicated) { 2 } else { 1 };
        (0..copies).map(|_| random.random_range(1..=2) + random.random_range(0..=self.impairment.delay_ms)).collect()
    }

    /// Returns whether any partition is active.
    pub fn has_partitions(&self) -> bool {
        !self.partitioned_links.is_empty() || !self.partitioned_zones.is_empty()
    }
}
