//! Confirmations of a view on request.
//!
//! A statement about the past, for example that no other worker has served, holds only up to the last time at which the
//! view was known to be complete. Whoever needs one that holds for its own request asks for a read that begins after it.
//! One read serves all requests that were made before it began.

use crate::time::{Millis, Timestamp};

/// Maximum time for a read that confirms a view. Whoever waits for it has a caller waiting.
pub const CONFIRMATION_TIMEOUT: Millis = Millis(150);
/// Time after a read that failed for which no other is made. A node that is cut off from the store decides at once then.
pub const FAILED_READ_BACKOFF: Millis = Millis(500);
/// Minimum time from one read to the next, so that a node with many requests makes a bounded number of calls.
pub const MIN_READ_INTERVAL: Millis = Millis(25);

/// A request for a confirmation. Later requests have higher numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfirmationRequest(pub u64);

/// The requests for which reads have ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfirmedReads {
    /// The last request before a read that ended.
    pub ended: ConfirmationRequest,
    /// The last request before a read that succeeded.
    pub succeeded: ConfirmationRequest,
}

impl ConfirmedReads {
    /// Returns whether the view was confirmed after a request; `None` while its read has not ended.
    pub fn outcome(&self, request: ConfirmationRequest) -> Option<bool> {
        if self.succeeded >= request {
            return Some(true);
        }
        (self.ended >= request).then_some(false)
    }
}

/// The requests for confirmations that a node has made, and the reads that served them.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfirmationRequests {
    last: ConfirmationRequest,
    reads: ConfirmedReads,
    last_read_at: Option<Timestamp>,
    last_failure_at: Option<Timestamp>,
}

impl ConfirmationRequests {
    /// Adds a request; `None` if a read has failed lately.
    pub fn add(&mut self, now: Timestamp) -> Option<ConfirmationRequest> {
        if self.last_failure_at.is_some_and(|failed| now.since(failed) < FAILED_READ_BACKOFF) {
            return None;
        }
        self.last.0 += 1;
        Some(self.last)
    }

    /// Returns the time to wait until a read may begin.
    pub fn wait_before_read(&self, now: Timestamp) -> Millis {
        self.last_read_at.map_or(Millis(0), |last| (last + MIN_READ_INTERVAL).since(now))
    }

    /// Records that a read begins, and returns the last request that it serves.
    pub fn begin_read(&mut self, now: Timestamp) -> ConfirmationRequest {
        self.last_read_at = Some(now);
        self.last
    }

    /// Records that the read that serves the requests up to `served` has ended at `now`.
    pub fn end_read(&mut self, served: ConfirmationRequest, is_confirmed: bool, now: Timestamp) -> ConfirmedReads {
        self.reads.ended = self.reads.ended.max(served);
        if is_confirmed {
            self.reads.succeeded = self.reads.succeeded.max(served);
        }
        self.last_failure_at = (!is_confirmed).then_some(now);
        self.reads
    }
}
