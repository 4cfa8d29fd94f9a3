//! Follower behavior: accepts the leader's entries and snapshots.

use super::log::{Entry, LogIndex, Snapshot, Term};
use super::message::MessageKind;
use super::replica::{Replica, ReplicaEffect};
use crate::identity::NodeId;

impl Replica {
    /// Handles entries from the leader. Returns whether they were accepted, and the index to answer with: the last
    /// matching index if accepted, otherwise the index at which the leader is to probe next.
    pub(super) fn on_append(
        &mut self,
        previous_index: LogIndex,
        previous_term: Term,
        commit: LogIndex,
        entries: Vec<Entry>,
    ) -> (bool, LogIndex) {
        if previous_index < self.log.snapshot().index {
            // Entries up to the snapshot are committed and therefore match the leader's.
            return (true, self.log.snapshot().index);
        }
        if self.log.term_at(previous_index) != Some(previous_term) {
            return (false, self.log.last_index().min(previous_index.previous()));
        }
        let matched = entries.last().map_or(previous_index, |entry| entry.index);
        self.append_as_follower(entries);
        self.commit = self.commit.max(commit.min(matched));
        (true, matched)
    }

    pub(super) fn append_as_follower(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate_from(entry.index),
                None => {}
            }
            self.log.append(entry.clone());
            self.write.entries.push(entry);
        }
    }

    pub(super) fn truncate_from(&mut self, index: LogIndex) {
        debug_assert!(index > self.commit, "a committed entry must never be truncated");
        self.log.truncate_from(index);
        self.write.entries.retain(|entry| entry.index < index);
        let lowest = self.write.truncate_from.map_or(index, |earlier| earlier.min(index));
        self.write.truncate_from = Some(lowest);
    }

    pub(super) fn on_snapshot(&mut self, from: NodeId, snapshot: Snapshot) {
        let index = snapshot.index;
        if self.log.term_at(index) == Some(snapshot.term) {
            // The log contains the snapshot's last entry, so it matches up to there. The entries after it may already
            // be acknowledged and must be retained (Raft, section 7).
            self.commit = self.commit.max(index);
        } else if index > self.commit {
            self.write.truncate_from = Some(LogIndex(0));
            self.write.snapshot = Some(snapshot.clone());
            self.log.restore(snapshot.clone());
            self.commit = index;
            self.applied = index;
            self.effects.push(ReplicaEffect::Restore(snapshot));
        }
        let index = self.commit;
        self.send(from, MessageKind::AppendAnswer { accepted: true, index, echo: None });
    }
}
