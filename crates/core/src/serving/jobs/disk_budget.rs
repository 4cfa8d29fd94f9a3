//! How much of a storing node's disk may be used.

use super::command::Submission;
use super::node::JobsNode;

/// The share of the disk up to which jobs are taken, in percent. The rest is for the outputs of jobs that were taken
/// before.
const TAKEN_UP_TO_PERCENT: u64 = 70;

/// Decides whether a job fits on the disk. A new snapshot is written beside the files that it replaces, so
/// everything counts twice.
#[derive(Clone, Copy, Debug, Default)]
pub struct DiskBudget {
    /// Bytes of the disk; `None` if not known.
    limit: Option<u64>,
    used: u64,
}

impl DiskBudget {
    /// A budget for a disk of that many bytes, `None` for one without a known end.
    pub fn new(limit: Option<u64>) -> Self {
        Self { limit, used: 0 }
    }

    /// The replica's files have that many bytes.
    pub fn set_used(&mut self, bytes: u64) {
        self.used = bytes;
    }

    /// Whether a job may be taken. One that the table has, or may have soon, takes no further room.
    pub fn admits(&self, submission: &Submission, node: &JobsNode) -> bool {
        node.may_hold(&submission.key) || self.has_capacity_for(submission.bytes())
    }

    /// Whether a job with bodies of that many bytes may be taken.
    pub fn has_capacity_for(&self, bytes: u64) -> bool {
        let Some(limit) = self.limit else { return true };
        (self.used + bytes).saturating_mul(2) <= limit / 100 * TAKEN_UP_TO_PERCENT
    }
}
