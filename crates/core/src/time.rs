//! Time as the decision code sees it: a monotonic count of milliseconds handed in by the driver.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A point on the node's monotonic clock, in milliseconds since an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(u64);

/// A span of time in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Millis(pub u64);

/// A point in civil time, in milliseconds since the Unix epoch. Deadlines given by callers use it, starts of workers, and what
/// nodes share and keep beyond their own start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UnixMillis(pub u64);

impl Timestamp {
    /// Builds a timestamp from milliseconds since the clock's origin.
    pub fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the clock's origin.
    pub fn as_millis(self) -> u64 {
        self.0
    }

    /// The time passed since `earlier`, or zero if `earlier` lies ahead.
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
