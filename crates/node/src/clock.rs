//! The node's clocks.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use stallmoor_core::node::Clock;
use stallmoor_core::time::{Timestamp, UnixMillis};

/// Reads both clocks.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    origin: Instant,
}

/// The monotonic clock starts here rather than at zero, so that "long ago" can be expressed.
const ORIGIN_MS: u64 = 3_600_000;

impl SystemClock {
    /// A clock whose origin is now.
    pub fn new() -> Self {
        Self { origin: Instant::now() }
    }

    /// The time.
    pub fn read(&self) -> Clock {
        let monotonic = self.origin.elapsed().as_millis() as u64;
        let civil = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        Clock { now: Timestamp::from_millis(ORIGIN_MS + monotonic), civil: UnixMillis(civil) }
    }
}
