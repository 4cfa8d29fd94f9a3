//! Number of gateways, including unreachable ones.
//!
//! An unreachable gateway continues with its share of each limit, so it must still be counted where a limit is
//! divided.

use crate::time::{Millis, Timestamp};

/// Time for which the largest observed number is retained. Longer than gateways are usually disconnected; afterwards
/// a fleet that has shrunk divides its limits among fewer gateways.
const RETENTION: Millis = Millis(300_000);

/// Largest number of gateways observed within the retention period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetSize {
    gateways: u32,
    seen_at: Timestamp,
}

impl FleetSize {
    /// Records an observed number of gateways.
    pub fn record(&mut self, gateways: u32, now: Timestamp) {
        if gateways >= self.gateways || now.since(self.seen_at) >= RETENTION {
            self.gateways = gateways;
            self.seen_at = now;
        }
    }

    /// Returns the number of gateways; 0 if unknown.
    pub fn gateways(self) -> u32 {
        self.gateways
    }

    /// Returns the share of each gateway in an even division; `None` if the number of gateways is unknown.
    pub fn even_share(self) -> Option<f64> {
        (self.gateways > 0).then(|| 1.0 / f64::from(self.gateways))
    }
}
