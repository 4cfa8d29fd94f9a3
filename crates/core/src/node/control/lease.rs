//! The control lease: at most one node at a time sends orders to engines.
//!
//! The lease is a key in the key-value service that is changed only by compare-and-swap. The holder
//! renews it before it expires. Another node takes it over after observing the same version for a full
//! lease duration on its own clock, so clocks are never compared between nodes. The holder measures the
//! lease from before it sent the write and stops acting a safety margin before expiry, which covers
//! pauses and delayed responses. Each new holder increments the epoch, a fencing token: engines reject
//! in-flight orders of a former holder.

use serde::{Deserialize, Serialize};

use crate::identity::NodeId;
use crate::time::{Millis, Timestamp};

/// Key of the lease in the key-value service.
pub const LEASE_KEY: &str = "control/lease";
/// Validity of a lease after the write that created or renewed it.
pub const LEASE_DURATION: Millis = Millis(12_000);
/// Safety margin before the expiry of the lease, during which the holder no longer acts.
pub const LEASE_MARGIN: Millis = Millis(3_000);
/// Interval between reads by a candidate, and between renewals by the holder.
const LEASE_POLL_INTERVAL: Millis = Millis(3_000);

/// The stored value of the lease key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The node that holds the lease.
    pub holder: NodeId,
    /// The fencing epoch, incremented by each new holder.
    pub epoch: u64,
    /// The number of renewals by the current holder.
    pub renewal: u64,
}

/// A request to the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Read the key.
    Read,
    /// Write the key if its version is still `expected`.
    Write {
        /// The version that was read; 0 if the key does not exist.
        expected: u64,
        /// The new record.
        record: LeaseRecord,
    },
}

/// A response of the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// The version and the record; `None` if the key does not exist.
    Record(Option<(u64, LeaseRecord)>),
    /// The write succeeded.
    Written,
    /// The stored version differs from the expected one.
    VersionMismatch,
    /// The call failed or timed out; a write may have taken effect.
    NoAnswer,
}

/// The latest observed version of the lease and the time of its first observation.
#[derive(Clone, Copy, Debug)]
struct ObservedLease {
    version: u64,
    record: LeaseRecord,
    since: Timestamp,
}

/// A request that awaits its response.
#[derive(Clone, Copy, Debug)]
struct Pending {
    step: LeaseStep,
    sent_at: Timestamp,
}

/// The lease state machine of one node.
#[derive(Clone, Debug)]
pub struct ControlLease {
    node: NodeId,
    observed: Option<ObservedLease>,
    pending: Option<Pending>,
    /// The epoch of the held lease and the time until which this node may act under it.
    held: Option<(u64, Timestamp)>,
    next: Timestamp,
}

impl ControlLease {
    /// Creates the state of a node that does not hold the lease.
    pub fn new(node: NodeId, now: Timestamp) -> Self {
        Self { node, observed: None, pending: None, held: None, next: now }
    }

    /// Returns the epoch under which this node may act at `now`. Must be checked immediately before each action.
    pub fn active_epoch(&self, now: Timestamp) -> Option<u64> {
        self.held.filter(|(_, until)| now < *until).map(|(epoch, _)| epoch)
    }

    /// Returns the request that is due at `now`, if any. `may_hold` tells whether this node may acquire the lease.
    pub fn tick(&mut self, may_hold: bool, now: Timestamp) -> Option<LeaseStep> {
        if now < self.next || self.pending.is_some() {
            return None;
        }
        let holds = self.active_epoch(now).is_some();
        if !may_hold && !holds {
            return None;
        }
        self.next = now + LEASE_POLL_INTERVAL;
        let step = match self.observed {
            Some(observed) if holds && observed.record.holder == self.node => self.renewal(observed),
            Some(observed) if may_hold && now.since(observed.since) >= LEASE_DURATION => self.takeover(observed),
            _ => LeaseStep::Read,
        };
        self.pending = Some(Pending { step, sent_at: now });
        Some(step)
    }

    /// Processes the response to the pending request and returns a follow-up request, if any.
    pub fn on_answer(&mut self, answer: LeaseAnswer, now: Timestamp) -> Option<LeaseStep> {
        let pending = self.pending.take()?;
        match (pending.step, answer) {
            (LeaseStep::Read, LeaseAnswer::Record(Some((version, record)))) => self.observe(version, record, now),
            (LeaseStep::Read, LeaseAnswer::Record(None)) => {
                let record = LeaseRecord { holder: self.node, epoch: 1, renewal: 0 };
                let step = LeaseStep::Write { expected: 0, record };
                self.pending = Some(Pending { step, sent_at: now });
                return Some(step);
            }
            (LeaseStep::Write { expected, record }, LeaseAnswer::Written) => {
                self.observed = Some(ObservedLease { version: expected + 1, record, since: now });
                let until = pending.sent_at + Millis(LEASE_DURATION.0 - LEASE_MARGIN.0);
                self.held = Some((record.epoch, until));
            }
            (LeaseStep::Write { .. }, LeaseAnswer::VersionMismatch) => {
                // Another node wrote the key, or an earlier write of this node took effect but its response was lost.
                self.observed = None;
            }
            _ => {}
        }
        None
    }

    fn renewal(&self, observed: ObservedLease) -> LeaseStep {
        let record = LeaseRecord { renewal: observed.record.renewal + 1, ..observed.record };
        LeaseStep::Write { expected: observed.version, record }
    }

    fn takeover(&self, observed: ObservedLease) -> LeaseStep {
        let record = LeaseRecord { holder: self.node, epoch: observed.record.epoch + 1, renewal: 0 };
        LeaseStep::Write { expected: observed.version, record }
    }

    /// Records a newer version. Versions that are not newer are ignored: an equal one keeps the time of its
    /// first observation, and a lower one is a stale read.
    fn observe(&mut self, version: u64, record: LeaseRecord, now: Timestamp) {
        let is_newer = self.observed.is_none_or(|observed| version > observed.version);
        if is_newer {
            self.observed = Some(ObservedLease { version, record, since: now });
        }
    }
}
