//! Timestamps and durations. This crate never reads a clock; callers pass in the current time.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A point in time on the node's monotonic clock, in milliseconds since an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(u64);

/// A duration in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Millis(pub u64);

/// A wall-clock time, in milliseconds since the Unix epoch. Used for deadlines given by callers, start times of
/// workers, and times that are persisted or exchanged between nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UnixMillis(pub u64);

impl Timestamp {
    /// Creates a timestamp from milliseconds since the clock's origin.
    pub fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the clock's origin.
    pub fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is in the future.
    pub fn since(self, earlier: Timestamp) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, span: Millis) -> Millis {
        Millis(self.0.saturating_add(span.0))
    }
}

impl Add<Millis> for Timestamp {
    type Output = Timestamp;

    fn add(self, span: Millis) -> Timestamp {
        Timestamp(self.0.saturating_add(span.0))
    }
}

impl Sub<Millis> for Timestamp {
    type Output = Timestamp;

    fn sub(self, span: Millis) -> Timestamp {
        Timestamp(self.0.saturating_sub(span.0))
    }
}

impl Sub for Timestamp {
    type Output = Millis;

    fn sub(self, earlier: Timestamp) -> Millis {
        self.since(earlier)
    }
}
