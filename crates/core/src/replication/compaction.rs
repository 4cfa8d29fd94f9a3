//! Log compaction: replaces the applied prefix of the log with a snapshot.

use std::sync::Arc;

use super::log::Snapshot;
use super::replica::Replica;

impl Replica {
    /// Replaces the log up to the applied index with the encoded state machine.
    pub fn compact(&mut self, state: Arc<[u8]>) {
        if let Some(snapshot) = self.snapshot_of(state) {
            self.compact_to(snapshot);
        }
    }

    /// Returns whether entries were applied since the latest snapshot, so that another one can be created. After a
    /// restart that is not so until the replica learns the commit index.
    pub fn has_applied_since_snapshot(&self) -> bool {
        self.applied > self.log.snapshot().index
    }

    /// Creates a snapshot at the applied index from the encoded state machine. Returns `None` if nothing was applied
    /// since the latest snapshot.
    pub fn snapshot_of(&self, state: Arc<[u8]>) -> Option<Snapshot> {
        let index = self.applied;
        let term = self.log.term_at(index).filter(|_| index > self.log.snapshot().index)?;
        Some(Snapshot { index, term, membership: self.log.membership_at(index), state })
    }

    /// Replaces the log up to a snapshot that this replica took earlier. Later entries are retained, so that followers
    /// that lag slightly can still be sent entries instead of the snapshot.
    pub fn compact_to(&mut self, snapshot: Snapshot) {
        if snapshot.index <= self.log.snapshot().index || self.log.term_at(snapshot.index) != Some(snapshot.term) {
            return;
        }
        self.log.compact(snapshot.clone());
        self.write.snapshot = Some(snapshot);
        self.flush();
    }
}
