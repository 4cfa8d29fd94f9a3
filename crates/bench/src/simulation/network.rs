//! The network between nodes: delays, losses, doubles and cuts.

use std::collections::BTreeSet;

use rand::Rng;
use rand_xoshiro::Xoshiro256PlusPlus;

/// A noisy spell.
#[derive(Clone, Copy, Debug, Default)]
pub struct Noise {
    /// Share of messages lost.
    pub lost: f64,
    /// Share of messages doubled.
    pub doubled: f64,
    /// Most milliseconds of extra delay, which also reorders.
    pub delay_ms: u64,
}

/// The network. Ends are numbers of node slots; zones are numbers too.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// Noise now.
    pub noise: Noise,
    /// Links cut, one way each.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Zones cut off from the others.
    pub cut_zones: BTreeSet<usize>,
}

/// Delays of the copies of one message that arrive; empty if it is lost.
pub type Deliveries = Vec<u64>;

impl Network {
    /// Decides what becomes of a message.
    pub fn route(&self, from: (usize, usize), to: (usize, usize), random: &mut Xoshiro256PlusPlus) -> Deliveries {
        let (from_slot, from_zone) = from;
        let (to_slot, to_zone) = to;
        let crosses_cut =
            from_zone != to_zone && (self.cut_zones.contains(&from_zone) || self.cut_zones.contains(&to_zone));
        if crosses_cut || self.cut_links.contains(&(from_slot, to_slot)) {
            return Vec::new();
        }
        if self.noise.lost > 0.0 && random.random_bool(self.noise.lost) {
            return Vec::new();
        }
        let copies = if self.noise.doubled > 0.0 && random.random_bool(self.noise.doubled) { 2 } else { 1 };
        (0..copies).map(|_| random.random_range(1..=2) + random.random_range(0..=self.noise.delay_ms)).collect()
    }

    /// Whether anything is cut.
    pub fn has_cuts(&self) -> bool {
        !self.cut_links.is_empty() || !self.cut_zones.is_empty()
    }
}
