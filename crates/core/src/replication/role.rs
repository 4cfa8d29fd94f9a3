//! What a replica is in its term, and what a leader keeps.

use std::collections::{BTreeMap, BTreeSet};

use super::log::LogIndex;
use super::progress::Progress;
use crate::identity::NodeId;
use crate::time::Timestamp;

/// What a replica is in its term.
#[derive(Clone, Debug)]
pub enum Role {
    /// Follows a leader, if known.
    Follower {
        /// The leader of this term.
        leader: Option<NodeId>,
    },
    /// Asks whether it would win an election.
    PreCandidate {
        /// Who would vote for it.
        votes: BTreeSet<NodeId>,
    },
    /// Stands for election.
    Candidate {
        /// Who voted for it.
        votes: BTreeSet<NodeId>,
    },
    /// Leads.
    Leader(LeaderState),
}

/// What a leader keeps.
#[derive(Clone, Debug)]
pub struct LeaderState {
    pub(super) progress: BTreeMap<NodeId, Progress>,
    pub(super) elected_at: Timestamp,
    pub(super) first_index: LogIndex,
    pub(super) last_heartbeat: Timestamp,
    pub(super) transfer: Option<Transfer>,
}

/// A hand-over of leadership under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Transfer {
    pub(super) target: NodeId,
    pub(super) deadline: Timestamp,
}
