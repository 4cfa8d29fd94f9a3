//! Limits the disk space that jobs use on a storage node.

use super::command::Submission;
use super::node::JobsNode;

/// Jobs are accepted until this percentage of the disk is used. The rest is reserved for the output of accepted jobs.
const MAX_USED_PERCENT: u64 = 70;

/// Decides whether a job fits on the disk. A new snapshot is written before the files that it replaces are removed, so
/// all data counts twice.
#[derive(Clone, Copy, Debug, Default)]
pub struct DiskBudget {
    /// The size of the disk in bytes; `None` if unknown.
    limit: Option<u64>,
    used: u64,
}

impl DiskBudget {
    /// Creates a budget for a disk of `limit` bytes, or without a limit if `None`.
    pub fn new(limit: Option<u64>) -> Self {
        Self { limit, used: 0 }
    }

    /// Sets the size of the replica's files in bytes.
    pub fn set_used(&mut self, bytes: u64) {
        self.used = bytes;
    }

    /// Returns whether a job may be accepted. A job that is already stored or proposed needs no additional space.
    pub fn admits(&self, submission: &Submission, node: &JobsNode) -> bool {
        node.has_or_proposes(&submission.key) || self.has_capacity_for(submission.bytes())
    }

    /// Returns whether there is space for a job whose bodies have a total size of `bytes`.
    pub fn has_capacity_for(&self, bytes: u64) -> bool {
        let Some(limit) = self.limit else { return true };
        (self.used + bytes).saturating_mul(2) <= limit / 100 * MAX_USED_PERCENT
    }
}
