//! The phases of a graceful shutdown, and which requests a stopping gateway still starts.

use crate::serving::online::answer_times::AnswerEstimate;
use crate::time::{Millis, Timestamp};

/// Time for which a stopping gateway continues to accept connections, so that callers can notice that it is not ready.
const DRAIN_PERIOD: Millis = Millis(2_600);
/// Part of the grace period left unused, so that the process exits before the platform kills it.
const GRACE_MARGIN: Millis = Millis(400);
/// Maximum time before the end of the process at which requests that are under way are answered.
const MAX_ANSWER_PERIOD: Millis = Millis(250);
/// Maximum part of the time until the end of the process that is used for these answers.
const ANSWER_PERIOD_DIVISOR: u64 = 32;
/// Maximum time that a stopping storage node waits for the transfer of its leadership to a caught-up voter. Without
/// the transfer, the group has no leader until an election timeout has passed.
pub const LEADERSHIP_TRANSFER_TIMEOUT: Millis = Millis(1_500);

/// The phases of a gateway's graceful shutdown, measured from its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayStop {
    /// Time for which the gateway reports that it is not ready but still accepts connections. Afterwards each
    /// connection is closed once its current request is complete.
    pub drain_period: Millis,
    /// Time after which the process exits, even if connections are still open.
    pub ends_after: Millis,
}

impl GatewayStop {
    /// Returns the phases of a shutdown that may take `grace`. The first phase gets at most half of the time.
    pub fn within(grace: Millis) -> Self {
        let ends_after = Millis(grace.0.saturating_sub(GRACE_MARGIN.0));
        Self { drain_period: DRAIN_PERIOD.min(Millis(ends_after.0 / 2)), ends_after }
    }

    /// Returns the time after which requests that are under way are answered, so that the answers are written before
    /// the process exits.
    pub fn answers_after(&self) -> Millis {
        let answer_period = MAX_ANSWER_PERIOD.min(Millis(self.ends_after.0 / ANSWER_PERIOD_DIVISOR));
        Millis(self.ends_after.0 - answer_period.0)
    }
}

/// A graceful shutdown of a gateway that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveStop {
    times: GatewayStop,
    started_at: Timestamp,
}

/// What is known of the time that a request takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTime {
    /// Duration within which an answer is expected to be complete, if it can be estimated.
    pub expected: Option<AnswerEstimate>,
    /// Time left until the request's deadline.
    pub allowed: Millis,
}

impl ActiveStop {
    /// Creates the state of a shutdown that started at `started_at`.
    pub fn new(times: GatewayStop, started_at: Timestamp) -> Self {
        Self { times, started_at }
    }

    /// Returns the time left until requests that are under way are answered.
    pub fn remaining(&self, now: Timestamp) -> Millis {
        (self.started_at + self.times.answers_after()).since(now)
    }

    /// Returns whether an attempt at a request may start, because it is expected to end in time. A request that is not
    /// started goes to another gateway. One whose duration is not reliably known is started only while connections are
    /// accepted, when a single long answer of its route refuses no other request.
    pub fn may_start(&self, time: RequestTime, now: Timestamp) -> bool {
        let remaining = self.remaining(now);
        // The deadline ends the request in time, whatever it takes.
        if time.allowed <= remaining {
            return true;
        }
        let accepts_connections = now.since(self.started_at) < self.times.drain_period;
        match time.expected {
            Some(expected) if accepts_connections => expected.usual <= remaining,
            Some(expected) => expected.is_reliable() && expected.within <= remaining,
            None => accepts_connections,
        }
    }
}
