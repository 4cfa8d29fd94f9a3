//! System time for the state machine.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use stallmoor_core::node::Clock;
use stallmoor_core::time::{Timestamp, UnixMillis};

/// Reads the monotonic clock and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    origin: Instant,
}

/// Initial value of the monotonic clock; above zero so that earlier timestamps can be represented.
const ORIGIN_MS: u64 = 3_600_000;

impl SystemClock {
    /// Creates a clock whose origin is the current time.
    pub fn new() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the current monotonic and wall-clock time.
    pub fn read(&self) -> Clock {
        let monotonic = self.origin.elapsed().as_millis() as u64;
        let wall_time = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        Clock { now: Timestamp::from_millis(ORIGIN_MS + monotonic), wall_time: UnixMillis(wall_time) }
    }
}
