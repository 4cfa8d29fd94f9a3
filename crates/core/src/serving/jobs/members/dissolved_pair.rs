//! A member of a pair whose other member is gone for good while the record of the pair is dissolved; see [`super::super::pair`].

use super::{MembershipAction, MembershipPlanner};
use crate::replication::Replica;
use crate::serving::jobs::directory::StorageDirectory;
use crate::serving::jobs::pair::StoredPair;
use crate::time::{Millis, Timestamp};

/// The interval between two campaigns for the vote of a learner. Longer than a learner that has been promoted, and refuses its
/// vote, waits before it campaigns itself.
const LEARNER_CAMPAIGN_INTERVAL: Millis = Millis(2_500);

/// What is known of the record of a dissolved pair.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DissolvedPair {
    /// The revision of the record that this member writes once more.
    writing: Option<u64>,
    /// The revision after that, if the record is still dissolved.
    confirmed: Option<u64>,
    campaigned_at: Option<Timestamp>,
}

impl DissolvedPair {
    /// Finishes a write of the record of the pair.
    pub(super) fn finish_write(&mut self, read: Option<&StoredPair>) {
        let Some(writing) = self.writing.take() else { return };
        self.confirmed = read.map(|pair| pair.revision).filter(|revision| *revision > writing);
    }

    fn is_campaign_due(&self, now: Timestamp) -> bool {
        self.campaigned_at.is_none_or(|at| now.since(at) >= LEARNER_CAMPAIGN_INTERVAL)
    }
}

impl MembershipPlanner {
    /// Returns the next action by which this member is elected by the learner of a dissolved pair, if that is possible.
    pub(super) fn plan_learner_election(
        &mut self,
        replica: &Replica,
        directory: &StorageDirectory,
        now: Timestamp,
    ) -> Option<MembershipAction> {
        let membership = replica.membership();
        let is_other_gone =
            membership.voters.iter().any(|voter| *voter != self.own && self.is_gone(replica, directory, *voter, now));
        let index = self.pair.first_index(replica.log(), false);
        let record = self.pair.dissolved(membership, index);
        let Some(record) = record.filter(|_| is_other_gone && replica.electing_learner().is_some()) else {
            self.dissolved_pair.confirmed = None;
            return None;
        };
        if self.pair_write_in_progress {
            return None;
        }
        let revision = self.pair.revision;
        if self.dissolved_pair.confirmed != Some(revision) {
            self.dissolved_pair.writing = Some(revision);
            self.pair_write_in_progress = true;
            return Some(MembershipAction::WritePair { record, revision });
        }
        if !self.dissolved_pair.is_campaign_due(now) {
            return None;
        }
        self.dissolved_pair.campaigned_at = Some(now);
        Some(MembershipAction::CampaignWithLearner)
    }
}
