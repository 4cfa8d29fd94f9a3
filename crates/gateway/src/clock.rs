//! The node's monotonic clock and wall clock.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use stallmoor_core::time::{Timestamp, UnixMillis};
use tokio::time::Instant;

/// First value of the monotonic clock. Nonzero, so that timestamps before the start can be represented.
const ORIGIN_MILLIS: u64 = 1_000_000;

/// Monotonic time since the start of the process, and wall-clock time.
///
/// Monotonic time includes suspensions of the machine, which the runtime's clock omits: leases, ages and deadlines that
/// were agreed on with other nodes expire during a suspension.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    origin: Instant,
    suspended: fn() -> Duration,
    suspended_at_start: Duration,
}

impl NodeClock {
    /// Starts a clock that counts the suspensions of this machine.
    pub fn start() -> Self {
        Self::with_suspensions(time_suspended)
    }

    /// Starts a clock that gets the total duration of suspensions from `suspended`, which must never decrease.
    pub fn with_suspensions(suspended: fn() -> Duration) -> Self {
        Self { origin: Instant::now(), suspended, suspended_at_start: suspended() }
    }

    /// Returns the monotonic time: the runtime's clock, which tests can pause, plus the time of suspensions.
    pub fn now(&self) -> Timestamp {
        let suspended = (self.suspended)().saturating_sub(self.suspended_at_start);
        let elapsed = self.origin.elapsed() + suspended;
        Timestamp::from_millis(ORIGIN_MILLIS + elapsed.as_millis() as u64)
    }

    /// Returns the wall-clock time, which may jump.
    pub fn wall_time(&self) -> UnixMillis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        UnixMillis(since.map_or(0, |since| since.as_millis() as u64))
    }
}

/// Returns the total duration of suspensions since this machine was booted. Never decreases.
fn time_suspended() -> Duration {
    /// Maximum result so far, in nanoseconds.
    static MAX_OBSERVED: AtomicU64 = AtomicU64::new(0);

    // In this order, a delay between the two readings can only make the result too small.
    let with_suspensions = read_clock(ClockId::CLOCK_BOOTTIME);
    let without_suspensions = read_clock(ClockId::CLOCK_MONOTONIC);
    let suspended = with_suspensions.saturating_sub(without_suspensions).as_nanos() as u64;
    Duration::from_nanos(MAX_OBSERVED.fetch_max(suspended, Ordering::Relaxed).max(suspended))
}

/// Returns the time of a system clock; zero if it is not available, so that no suspension is counted.
fn read_clock(clock: ClockId) -> Duration {
    clock_gettime(clock).map_or(Duration::ZERO, Duration::from)
}
