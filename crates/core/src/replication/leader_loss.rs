//! What a follower knows about the loss of its leader, and why it campaigns.

use super::log::Term;
use super::replica::Replica;
use super::role::Role;
use crate::identity::NodeId;
use crate::time::{Millis, Timestamp};

/// Delay between the campaigns of followers that know that the leader's process has ended, by their position among the
/// voters. Longer than the replicas' ticks and a pre-vote, so that one campaigns alone.
const CAMPAIGN_STAGGER: Millis = Millis(25);

/// Why a replica campaigns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CampaignReason {
    /// The leader was not heard from.
    Silence,
    /// The leader's process has ended.
    ProcessEnded,
    /// The leader handed over.
    Handover,
}

impl CampaignReason {
    /// Returns the name under which campaigns are counted and logged.
    pub fn name(self) -> &'static str {
        match self {
            Self::Silence => "silence",
            Self::ProcessEnded => "process_ended",
            Self::Handover => "handover",
        }
    }
}

/// The start of a campaign.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CampaignStart {
    /// The reason.
    pub reason: CampaignReason,
    /// The leader that was lost; `None` if this replica followed none.
    pub lost_leader: Option<NodeId>,
    /// The time since the last message of a leader, or since the start of this replica.
    pub silence: Millis,
}

impl Replica {
    /// Records that the process of a node has ended: its connections were reset, and new ones are refused. If the node
    /// leads, this replica campaigns right after its promise to the leader instead of after a random delay. Never
    /// earlier, since a partition can look the same.
    pub fn record_process_ended(&mut self, node: NodeId) {
        if matches!(self.role, Role::Follower { leader: Some(leader) } if leader == node) {
            self.ended_leader = Some((node, self.hard_state.term));
            self.hasten_election();
        }
    }

    /// Takes the latest campaign that the caller has not seen yet.
    pub fn take_campaign(&mut self) -> Option<CampaignStart> {
        self.campaign_start.take()
    }

    /// Moves the election deadline forward if the process of the current leader has ended.
    pub(super) fn hasten_election(&mut self) {
        let Role::Follower { leader: Some(leader) } = self.role else { return };
        let Some(promised) = self.promised_until.filter(|_| self.ended_leader == Some((leader, self.hard_state.term)))
        else {
            return;
        };
        let voters = self.log.membership().voters.iter().filter(|voter| **voter != leader);
        let position = voters.take_while(|voter| **voter != self.id).count() as u64;
        let deadline = promised + Millis(CAMPAIGN_STAGGER.0 * (position + 1));
        self.election_deadline = self.election_deadline.min(deadline);
    }

    pub(super) fn record_campaign(&mut self, handover: bool, now: Timestamp) {
        let lost_leader = if let Role::Follower { leader } = self.role { leader } else { None };
        let has_ended = lost_leader.is_some_and(|leader| self.ended_leader == Some((leader, self.hard_state.term)));
        let reason = match (handover, has_ended) {
            (true, _) => CampaignReason::Handover,
            (false, true) => CampaignReason::ProcessEnded,
            (false, false) => CampaignReason::Silence,
        };
        self.campaign_start = Some(CampaignStart { reason, lost_leader, silence: now.since(self.last_leader_contact) });
    }
}

/// The leader whose process has ended, and its term.
pub(super) type EndedLeader = Option<(NodeId, Term)>;
