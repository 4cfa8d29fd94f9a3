//! How long the leader's entries have waited without a commit.

use super::log::LogIndex;
use super::replica::Replica;
use super::role::Role;
use crate::time::Timestamp;

/// The leader's wait for a commit.
#[derive(Clone, Copy, Debug, Default)]
pub struct CommitWatch {
    commit: LogIndex,
    since: Option<Timestamp>,
}

impl CommitWatch {
    /// Updates the wait by the state of the log. Each commit starts it anew as long as further entries wait.
    pub fn observe(&mut self, commit: LogIndex, last: LogIndex, now: Timestamp) {
        let has_advanced = commit > self.commit;
        self.commit = commit;
        if last <= commit {
            self.since = None;
        } else if has_advanced || self.since.is_none() {
            self.since = Some(now);
        }
    }

    /// Returns the time since which entries have waited and none was committed.
    pub fn since(&self) -> Option<Timestamp> {
        self.since
    }
}

impl Replica {
    /// Returns the time since which this leader has had entries that are not committed, and committed none. Up to date as
    /// of the last tick.
    pub fn uncommitted_since(&self) -> Option<Timestamp> {
        match &self.role {
            Role::Leader(state) => state.commit_watch.since(),
            _ => None,
        }
    }

    /// Returns the time at which this leader was elected.
    pub fn elected_at(&self) -> Option<Timestamp> {
        match &self.role {
            Role::Leader(state) => Some(state.elected_at),
            _ => None,
        }
    }

    pub(super) fn watch_commit(&mut self, now: Timestamp) {
        let (commit, last) = (self.commit, self.log.last_index());
        if let Role::Leader(state) = &mut self.role {
            state.commit_watch.observe(commit, last, now);
        }
    }
}
