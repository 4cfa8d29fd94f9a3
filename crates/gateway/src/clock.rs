//! The node's clocks, in the units of the decision code.

use std::time::{SystemTime, UNIX_EPOCH};

use stallmoor_core::time::{Timestamp, UnixMillis};
use tokio::time::Instant;

/// Steady time since the start of the process, and the time of day.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    origin: Instant,
}

/// The clock starts here, in milliseconds, so that spans before the start can be distinguished from none.
const ORIGIN_MILLIS: u64 = 1_000_000;

impl NodeClock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Steady time: the runtime's, which tests pause.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_millis(ORIGIN_MILLIS + self.origin.elapsed().as_millis() as u64)
    }

    /// The time of day. It may jump.
    pub fn civil(&self) -> UnixMillis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        UnixMillis(since.map_or(0, |since| since.as_millis() as u64))
    }
}
