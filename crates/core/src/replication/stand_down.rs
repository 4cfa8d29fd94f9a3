//! Why a leader stands down, and when it makes way because it can't commit.

use super::replica::Replica;
use super::role::Role;
use crate::time::{Millis, Timestamp};

/// Time for which a replica that made way does not campaign, beyond its usual wait. Longer than the others need to notice
/// that it no longer leads and to elect one of them.
const HOLD_BACK: Millis = Millis(3_000);
/// Maximum number of times that the commit timeout doubles.
const MAX_TIMEOUT_DOUBLINGS: u32 = 4;

/// Why a leader stood down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StandDownReason {
    /// No majority of voters answered.
    NoContact,
    /// Its disk completed no write.
    DiskStalled,
    /// Its entries waited without a commit.
    NoCommit,
    /// It handed over, and the other replica did not take over in time.
    TransferTimedOut,
}

impl StandDownReason {
    /// Returns the name that is used in log fields.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoContact => "no_contact",
            Self::DiskStalled => "disk_stalled",
            Self::NoCommit => "no_commit",
            Self::TransferTimedOut => "transfer_timed_out",
        }
    }
}

impl Replica {
    /// Takes the reason for which this replica last stood down, unless the caller has seen it. There is none if another
    /// replica was elected, or this one was removed.
    pub fn take_stand_down(&mut self) -> Option<StandDownReason> {
        self.stand_down.take()
    }

    /// Stands down as the leader.
    pub(super) fn stand_down(&mut self, reason: StandDownReason, now: Timestamp) {
        self.stand_down = Some(reason);
        self.become_follower(self.hard_state.term, None, now);
        if reason == StandDownReason::NoCommit {
            self.commitless_leaderships = self.commitless_leaderships.saturating_add(1);
            self.election_deadline = self.election_deadline + HOLD_BACK;
        }
    }

    /// Returns whether this leader should make way: its entries have waited for long, and the voters that answer can elect
    /// another leader without it. Heartbeats alone show only that it is heard.
    pub(super) fn should_make_way(&self, now: Timestamp) -> bool {
        let Some(timeout) = self.settings.commit_timeout else { return false };
        let timeout = Millis(timeout.0 << self.commitless_leaderships.min(MAX_TIMEOUT_DOUBLINGS));
        let is_due = self.uncommitted_since().is_some_and(|since| now.since(since) >= timeout);
        is_due && self.others_can_elect(now)
    }

    /// Returns whether the other voters that answered recently, and whose logs need no snapshot, are a majority. They may
    /// have fewer entries than this replica, which then refuses them its vote.
    fn others_can_elect(&self, now: Timestamp) -> bool {
        let Role::Leader(state) = &self.role else { return false };
        let membership = self.log.membership();
        let is_electable = |progress: &super::progress::Progress| {
            let answers = progress.last_answer.is_some_and(|at| now.since(at) < self.settings.quorum_timeout);
            answers && progress.pending_snapshot.is_none() && self.log.term_at(progress.next.previous()).is_some()
        };
        let others = membership.voters.iter().filter(|voter| **voter != self.id);
        let electable = others.filter(|voter| state.progress.get(voter).is_some_and(is_electable));
        electable.count() >= membership.majority()
    }
}
