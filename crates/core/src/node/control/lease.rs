//! The control lease: at most one node at a time gives orders to engines.
//!
//! The lease is one key of the key-value service, changed by compare-and-swap only. The holder writes it
//! anew before it runs out. Another node takes it once it has seen the same version for a whole lease
//! by its own clock: no clocks are compared. The holder counts its lease from before it sent the write,
//! and stops acting a margin earlier, so a holder that was paused or whose answers are late stops in
//! time. Each new holder raises the epoch, which engines check; an order from a former holder that was
//! already under way is refused there.

use serde::{Deserialize, Serialize};

use crate::identity::NodeId;
use crate::time::{Millis, Timestamp};

/// Where the lease is kept.
pub const LEASE_KEY: &str = "control/lease";
/// How long a lease lasts after the write that made it.
pub const LEASE_DURATION: Millis = Millis(12_000);
/// The holder stops acting this long before its lease runs out.
pub const LEASE_MARGIN: Millis = Millis(3_000);
/// Time between two looks, and between two renewals.
const LEASE_INTERVAL: Millis = Millis(3_000);

/// What the key holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Who holds it.
    pub holder: NodeId,
    /// Raised with each new holder.
    pub epoch: u64,
    /// Raised with each renewal.
    pub renewal: u64,
}

/// What the key-value service is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Read the key.
    Read,
    /// Write the key if its version is still `expected`.
    Write {
        /// The version that was read; 0 if there was none.
        expected: u64,
        /// The new record.
        record: LeaseRecord,
    },
}

/// What the key-value service answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// The record and its version, if there is one.
    Record(Option<(u64, LeaseRecord)>),
    /// The write took effect.
    Written,
    /// The version was another.
    VersionMismatch,
    /// No answer; a write may have taken effect.
    NoAnswer,
}

/// A version that was seen, and since when.
#[derive(Clone, Copy, Debug)]
struct Seen {
    version: u64,
    record: LeaseRecord,
    since: Timestamp,
}

/// A step that waits for its answer.
#[derive(Clone, Copy, Debug)]
struct Pending {
    step: LeaseStep,
    sent_at: Timestamp,
}

/// One node's part in the lease.
#[derive(Clone, Debug)]
pub struct ControlLease {
    node: NodeId,
    seen: Option<Seen>,
    pending: Option<Pending>,
    /// The epoch held, and until when this node may act on it.
    held: Option<(u64, Timestamp)>,
    next: Timestamp,
}

impl ControlLease {
    /// A node that holds nothing.
    pub fn new(node: NodeId, now: Timestamp) -> Self {
        Self { node, seen: None, pending: None, held: None, next: now }
    }

    /// The epoch to act under. Must be asked right before each act.
    pub fn epoch_held(&self, now: Timestamp) -> Option<u64> {
        self.held.filter(|(_, until)| now < *until).map(|(epoch, _)| epoch)
    }

    /// Lets time pass. `may_hold` says whether this node is among those that take the lease.
    pub fn tick(&mut self, may_hold: bool, now: Timestamp) -> Option<LeaseStep> {
        if now < self.next || self.pending.is_some() {
            return None;
        }
        let holds = self.epoch_held(now).is_some();
        if !may_hold && !holds {
            return None;
        }
        self.next = now + LEASE_INTERVAL;
        let step = match self.seen {
            Some(seen) if holds && seen.record.holder == self.node => self.renewal(seen),
            Some(seen) if may_hold && now.since(seen.since) >= LEASE_DURATION => self.takeover(seen),
            _ => LeaseStep::Read,
        };
        self.pending = Some(Pending { step, sent_at: now });
        Some(step)
    }

    /// Takes the answer to the step under way. May want another step at once.
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
                self.seen = Some(Seen { version: expected + 1, record, since: now });
                let until = pending.sent_at + Millis(LEASE_DURATION.0 - LEASE_MARGIN.0);
                self.held = Some((record.epoch, until));
            }
            (LeaseStep::Write { .. }, LeaseAnswer::VersionMismatch) => {
                // Another node wrote, or an earlier write of this one whose answer was lost.
                self.seen = None;
            }
            _ => {}
        }
        None
    }

    fn renewal(&self, seen: Seen) -> LeaseStep {
        let record = LeaseRecord { renewal: seen.record.renewal + 1, ..seen.record };
        LeaseStep::Write { expected: seen.version, record }
    }

    fn takeover(&self, seen: Seen) -> LeaseStep {
        let record = LeaseRecord { holder: self.node, epoch: seen.record.epoch + 1, renewal: 0 };
        LeaseStep::Write { expected: seen.version, record }
    }

    /// A version counts from when it was first seen. A lower one is a stale read.
    fn observe(&mut self, version: u64, record: LeaseRecord, now: Timestamp) {
        let is_newer = self.seen.is_none_or(|seen| version > seen.version);
        if is_newer {
            self.seen = Some(Seen { version, record, since: now });
        }
    }
}
