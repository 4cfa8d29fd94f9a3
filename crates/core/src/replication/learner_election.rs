//! Election of a member of a pair by the pair's only learner, after the other member was lost while it may have been promoting
//! the learner.
//!
//! Say the voters are B and C with the learner A, and B, which led, is gone for good. B may have appended the promotion of A. Then
//! A and B could have committed entries that C does not have, or C alone may have everything. Neither of the two memberships
//! lets C be elected if the promotion is not in its log. A can tell, by its vote:
//!
//! * an entry that was committed under {B, C} is in the log of C. One that was committed under {A, B, C} without C is in the log of
//!   A, and so is the promotion before it; A then refuses its vote, as the log of C lacks the promotion. Without it, what A has
//!   beyond the log of C was not committed, and A votes for C although that log is shorter;
//! * if A votes for C, A accepts nothing more of earlier terms, so nothing is committed under {A, B, C} without C afterwards. Nothing is
//!   committed under {B, C} either, since C has voted for itself;
//! * the new leader promotes A with its first entries. These need C and A, which is a majority of {A, B, C}, the membership that B
//!   may have appended as well: from then on there is only one membership, and two leaders need votes of one replica in one term.
//!
//! B can have begun no other change of voters: a change is proposed only after the one before it was committed, so a learner that
//! B could promote is in the log of C, and the only one there; and a member of a pair is not removed but by the survivor that the
//! metadata store names. The caller must ensure that it has named none, and that the other voter is gone for good.

use std::collections::BTreeSet;

use super::log::{EntryPayload, HardState, LogIndex, Term};
use super::membership::MembershipChange;
use super::message::MessageKind;
use super::replica::Replica;
use super::role::Role;
use crate::identity::NodeId;
use crate::time::Timestamp;

impl Replica {
    /// Returns the learner whose vote could replace that of the other member of a pair; `None` unless this replica is a member of a
    /// pair with exactly one learner, and knows no leader.
    pub fn electing_learner(&self) -> Option<NodeId> {
        let membership = self.log.membership();
        let is_pair = membership.voters.len() == 2 && membership.voters.contains(&self.id);
        let mut learners = membership.learners.iter().copied();
        let only = learners.next().filter(|_| learners.next().is_none());
        only.filter(|_| is_pair && self.leader().is_none())
    }

    /// Campaigns for the vote of the pair's only learner. Has no effect if there is no such learner.
    ///
    /// The caller must ensure that the other voter is gone for good, and that the metadata store has named no survivor.
    pub fn campaign_with_learner(&mut self, now: Timestamp) {
        let Some(learner) = self.electing_learner() else { return };
        self.record_campaign(false, now);
        self.proposed_change = None;
        self.hard_state = HardState { term: Term(self.hard_state.term.0 + 1), voted_for: Some(self.id) };
        self.write.hard_state = Some(self.hard_state);
        self.reset_campaign_deadline(now);
        self.role = Role::Candidate { votes: BTreeSet::from([self.id]) };
        self.learner_elector = Some((self.hard_state.term, learner));
        let kind =
            MessageKind::Vote { last_index: self.log.last_index(), last_term: self.log.last_term(), transfer: false };
        self.send(learner, kind);
        self.flush();
    }

    /// Returns whether this replica is the only learner of the candidate's pair, and has no change of members beyond the
    /// candidate's log. The vote of a learner counts in no other campaign.
    pub(super) fn may_elect_as_learner(&self, candidate: NodeId, last_index: LogIndex, last_term: Term) -> bool {
        let membership = self.log.membership();
        let is_member_of_pair = membership.voters.len() == 2 && membership.voters.contains(&candidate);
        let is_only_learner = membership.learners.len() == 1 && membership.learners.contains(&self.id);
        let extends_log = self.log.term_at(last_index) == Some(last_term)
            && self.log.membership_index() <= last_index
            && self.commit <= last_index;
        is_member_of_pair && is_only_learner && extends_log
    }

    pub(super) fn is_elected_by_learner(&self) -> bool {
        let elector = self.learner_elector.filter(|(term, _)| *term == self.hard_state.term);
        let Role::Candidate { votes } = &self.role else { return false };
        elector.is_some_and(|(_, learner)| votes.contains(&learner))
    }

    /// Leads, and promotes the learner that has elected this replica.
    pub(super) fn lead_with_learner(&mut self, now: Timestamp) {
        let Some((_, learner)) = self.learner_elector.take() else { return };
        let promoted = self.log.membership().after(MembershipChange::Promote(learner));
        self.become_leader(now);
        self.append_as_leader(EntryPayload::Membership(promoted));
        self.track_members(now);
        self.replicate(now);
    }
}
