//! Snapshots that stand in for the beginning of the log.

use std::sync::Arc;

use super::log::Snapshot;
use super::replica::Replica;

impl Replica {
    /// Replaces the log up to the applied place by the encoded state machine.
    pub fn compact(&mut self, state: Arc<[u8]>) {
        if let Some(snapshot) = self.snapshot_of(state) {
            self.compact_to(snapshot);
        }
    }

    /// The snapshot of the applied place, whose encoded state machine is `state`. `None` if the log has
    /// nothing to compact.
    pub fn snapshot_of(&self, state: Arc<[u8]>) -> Option<Snapshot> {
        let index = self.applied;
        let term = self.log.term_at(index).filter(|_| index > self.log.snapshot().index)?;
        Some(Snapshot { index, term, membership: self.log.membership_at(index), state })
    }

    /// Replaces the log up to a snapshot of this replica, taken a while ago, by the snapshot. Entries that
    /// came since stay, so that followers that lag a little still get them.
    pub fn compact_to(&mut self, snapshot: Snapshot) {
        if snapshot.index <= self.log.snapshot().index || self.log.term_at(snapshot.index) != Some(snapshot.term) {
            return;
        }
        self.log.compact(snapshot.clone());
        self.write.snapshot = Some(snapshot);
        self.flush();
    }
}
