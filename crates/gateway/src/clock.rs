//! The node's clocks, in the units of the decision code.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use stallmoor_core::time::{Timestamp, UnixMillis};
use tokio::time::Instant;

/// The clock starts here, in milliseconds, so that spans before the start can be distinguished from none.
const ORIGIN_MILLIS: u64 = 1_000_000;

/// Steady time since the start of the process, and the time of day.
///
/// Steady time counts suspensions of the machine, which the runtime's clock leaves out: leases, ages and deadlines that were
/// agreed on with others run out meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    origin: Instant,
    suspended: fn() -> Duration,
    /// What `suspended` returned at the start.
    suspended_before: Duration,
}

impl NodeClock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self::with_suspensions(time_suspended)
    }

    /// Starts a clock on a machine that was suspended for as long as `suspended` returns, which never falls.
    pub fn with_suspensions(suspended: fn() -> Duration) -> Self {
        Self { origin: Instant::now(), suspended, suspended_before: suspended() }
    }

    /// Steady time: the runtime's, which tests pause, and the time that the machine was suspended.
    pub fn now(&self) -> Timestamp {
        let suspended = (self.suspended)().saturating_sub(self.suspended_before);
        let passed = self.origin.elapsed() + suspended;
        Timestamp::from_millis(ORIGIN_MILLIS + passed.as_millis() as u64)
    }

    /// The time of day. It may jump.
    pub fn wall_time(&self) -> UnixMillis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        UnixMillis(since.map_or(0, |since| since.as_millis() as u64))
    }
}

/// How long this machine was suspended since it started. Never falls.
fn time_suspended() -> Duration {
    /// The longest that was found, in nanoseconds.
    static LONGEST: AtomicU64 = AtomicU64::new(0);

    // In this order a pause between the two readings makes the result too small, never too great.
    let with_suspensions = read(ClockId::CLOCK_BOOTTIME);
    let without = read(ClockId::CLOCK_MONOTONIC);
    let found = with_suspensions.saturating_sub(without).as_nanos() as u64;
    Duration::from_nanos(LONGEST.fetch_max(found, Ordering::Relaxed).max(found))
}

/// Zero where the machine lacks the clock, so that no suspension is found.
fn read(clock: ClockId) -> Duration {
    clock_gettime(clock).map_or(Duration::ZERO, Duration::from)
}
