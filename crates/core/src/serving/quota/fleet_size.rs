//! How many gateways there are, those out of reach included.
//!
//! A gateway that is out of reach goes on with its part of each limit, so whoever divides a limit must not forget it when
//! it falls silent.

use crate::time::{Millis, Timestamp};

/// A number of gateways that was seen is gone by for this long, in milliseconds: longer than gateways are cut off. After
/// it a fleet that has shrunk divides its limits among fewer.
const REMEMBERED_FOR: Millis = Millis(300_000);

/// The greatest number of gateways that was seen of late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetSize {
    gateways: u32,
    seen_at: Timestamp,
}

impl FleetSize {
    /// So many gateways were seen.
    pub fn record(&mut self, gateways: u32, now: Timestamp) {
        if gateways >= self.gateways || now.since(self.seen_at) >= REMEMBERED_FOR {
            self.gateways = gateways;
            self.seen_at = now;
        }
    }

    /// How many there are; 0 if nothing is known.
    pub fn gateways(self) -> u32 {
        self.gateways
    }

    /// The share of each of them; `None` if nothing is known.
    pub fn even_share(self) -> Option<f64> {
        (self.gateways > 0).then(|| 1.0 / f64::from(self.gateways))
    }
}
