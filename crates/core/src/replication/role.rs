//! The role of a replica in the current term, and the state that a leader maintains.

use std::collections::{BTreeMap, BTreeSet};

use super::commit_watch::CommitWatch;
use super::log::LogIndex;
use super::progress::Progress;
use crate::identity::NodeId;
use crate::time::Timestamp;

/// The role of a replica in the current term.
#[derive(Clone, Debug)]
pub enum Role {
    /// The replica accepts entries from the leader.
    Follower {
        /// The leader of this term, if known.
        leader: Option<NodeId>,
    },
    /// The replica is running a pre-vote to determine whether it would win an election.
    PreCandidate {
        /// The voters that would vote for this replica, including itself.
        votes: BTreeSet<NodeId>,
    },
    /// The replica is running for election.
    Candidate {
        /// The voters that voted for this replica, including itself.
        votes: BTreeSet<NodeId>,
    },
    /// The replica is the leader of this term.
    Leader(LeaderState),
}

/// State that a replica maintains only while it leads.
#[derive(Clone, Debug)]
pub struct LeaderState {
    pub(super) progress: BTreeMap<NodeId, Progress>,
    pub(super) elected_at: Timestamp,
    pub(super) first_index: LogIndex,
    pub(super) last_heartbeat: Timestamp,
    pub(super) transfer: Option<Transfer>,
    pub(super) commit_watch: CommitWatch,
}

/// A leadership transfer in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Transfer {
    pub(super) target: NodeId,
    pub(super) deadline: Timestamp,
}
