//! A token bucket: it fills at a rate up to a capacity, and each request takes one token.

use crate::serving::configuration::tenant::RateLimit;
use crate::time::{Millis, Timestamp};

/// A limit, or a gateway's part of one, in floating point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketLimit {
    /// Requests in a second.
    pub per_s: f64,
    /// The most requests that are saved up.
    pub capacity: f64,
}

impl BucketLimit {
    /// Of a tenant's limit. One request always fits.
    pub fn of(limit: RateLimit) -> Self {
        Self { per_s: limit.per_s.requests(), capacity: limit.burst.requests().max(1.0) }
    }

    /// A part of it. One request always fits.
    pub fn part(self, share: f64) -> Self {
        Self { per_s: self.per_s * share, capacity: (self.capacity * share).max(1.0) }
    }

    /// What is gained in a span.
    pub fn gained(self, span: Millis) -> f64 {
        self.per_s * span.0 as f64 / 1_000.0
    }

    /// How long it takes to gain so much.
    pub fn time_for(self, requests: f64) -> Millis {
        if self.per_s <= 0.0 {
            return Millis(u64::MAX);
        }
        Millis((requests.max(0.0) * 1_000.0 / self.per_s).ceil() as u64)
    }
}

/// A bucket of tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    level: f64,
    at: Timestamp,
}

impl TokenBucket {
    /// A bucket that holds so much.
    pub fn with_level(level: f64, now: Timestamp) -> Self {
        Self { level, at: now }
    }

    /// Lets time pass. A lowered capacity takes effect at once.
    pub fn refill(&mut self, limit: BucketLimit, now: Timestamp) {
        self.level = (self.level + limit.gained(now.since(self.at))).min(limit.capacity);
        self.at = self.at.max(now);
    }

    /// Takes tokens, down to `floor` at the lowest. Returns how many were taken.
    pub fn spend(&mut self, requests: f64, floor: f64) -> f64 {
        let before = self.level;
        self.level = (before - requests).max(floor.min(before));
        before - self.level
    }

    /// Gives tokens back.
    pub fn restore(&mut self, requests: f64) {
        self.level += requests;
    }

    /// Tokens that it holds.
    pub fn level(&self) -> f64 {
        self.level
    }
}
