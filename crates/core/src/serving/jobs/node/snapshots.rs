//! Snapshots of the table, which replace the start of the log.

use std::sync::Arc;

use super::JobsNode;
use super::messages::SnapshotSource;
use crate::replication::Snapshot;

/// The log size at which a snapshot is taken. Limits disk usage and startup time.
const COMPACTION_THRESHOLD_BYTES: usize = 8 << 20;
/// The number of bytes that must follow a snapshot before the log up to it is dropped. Followers that lag by less need
/// no snapshot.
const RETAINED_LOG_BYTES: usize = 2 << 20;

impl JobsNode {
    /// Returns what a snapshot has to be encoded from, once the log exceeds its size limit.
    pub(super) fn request_snapshot(&mut self) -> Option<SnapshotSource> {
        if !self.is_snapshot_due() {
            return None;
        }
        let header = self.replica.snapshot_of(Arc::from([]))?;
        self.is_encoding = true;
        Some(SnapshotSource::new(header, self.table.clone()))
    }

    /// Takes the snapshot that was requested by [`JobsEffect::EncodeSnapshot`](super::JobsEffect::EncodeSnapshot). Its
    /// entries were committed, so it stays valid unless a later snapshot has replaced the log.
    pub fn finish_snapshot(&mut self, snapshot: Snapshot) {
        self.is_encoding = false;
        if snapshot.index > self.replica.log().snapshot().index {
            self.prepared_snapshot = Some(snapshot);
        }
    }

    /// Compacts the log when enough entries follow the prepared snapshot.
    pub(super) fn compact(&mut self) {
        if self.awaiting_restore {
            self.prepared_snapshot = None;
            return;
        }
        match self.prepared_snapshot.take() {
            Some(snapshot) if self.replica.log().has_bytes_after(snapshot.index, RETAINED_LOG_BYTES) => {
                self.replica.compact_to(snapshot);
            }
            Some(snapshot) => self.prepared_snapshot = Some(snapshot),
            None => {}
        }
    }

    /// Returns whether the next tick requests a snapshot.
    pub fn is_snapshot_due(&self) -> bool {
        let is_log_full = self.replica.log().bytes() > COMPACTION_THRESHOLD_BYTES;
        let is_possible = !self.awaiting_restore && self.replica.has_applied_since_snapshot();
        self.prepared_snapshot.is_none() && !self.is_encoding && is_log_full && is_possible
    }
}
