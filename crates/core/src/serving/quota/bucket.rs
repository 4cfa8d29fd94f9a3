//! Token bucket: refills at a constant rate up to a capacity, and each request takes one token.

use crate::serving::configuration::tenant::RateLimit;
use crate::time::{Millis, Timestamp};

/// Rate and capacity of a bucket, for a tenant's whole limit or a gateway's fraction of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketLimit {
    /// Requests per second.
    pub per_s: f64,
    /// Maximum number of requests that accumulate.
    pub capacity: f64,
}

impl BucketLimit {
    /// Converts a tenant's limit. The capacity is at least one request.
    pub fn of(limit: RateLimit) -> Self {
        Self { per_s: limit.per_s.requests(), capacity: limit.burst.requests().max(1.0) }
    }

    /// Scales the limit to a fraction. The capacity is at least one request.
    pub fn scaled(self, share: f64) -> Self {
        Self { per_s: self.per_s * share, capacity: (self.capacity * share).max(1.0) }
    }

    /// Returns the number of requests that the limit allows over a span.
    pub fn accrued(self, span: Millis) -> f64 {
        self.per_s * span.0 as f64 / 1_000.0
    }

    /// Returns the time after which the limit allows the given number of requests.
    pub fn time_to_accrue(self, requests: f64) -> Millis {
        if self.per_s <= 0.0 {
            return Millis(u64::MAX);
        }
        Millis((requests.max(0.0) * 1_000.0 / self.per_s).ceil() as u64)
    }
}

/// Token bucket whose limit is passed to each refill.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    level: f64,
    at: Timestamp,
}

impl TokenBucket {
    /// Creates a bucket with the given number of tokens.
    pub fn with_level(level: f64, now: Timestamp) -> Self {
        Self { level, at: now }
    }

    /// Adds the tokens gained since the last refill. A lowered capacity takes effect immediately.
    pub fn refill(&mut self, limit: BucketLimit, now: Timestamp) {
        self.level = (self.level + limit.accrued(now.since(self.at))).min(limit.capacity);
        self.at = self.at.max(now);
    }

    /// Takes tokens, but does not lower the level below `floor`. Returns the number taken.
    pub fn spend(&mut self, requests: f64, floor: f64) -> f64 {
        let before = self.level;
        self.level = (before - requests).max(floor.min(before));
        before - self.level
    }

    /// Puts tokens back into the bucket.
    pub fn restore(&mut self, requests: f64) {
        self.level += requests;
    }

    /// Returns the number of tokens in the bucket; negative while it is in debt.
    pub fn level(&self) -> f64 {
        self.level
    }
}
