//! A group of two: who goes on if one of them is lost.
//!
//! Two replicas commit only together, so each holds everything that was acknowledged, and either could
//! go on alone; but a majority of two can't decide which. The metadata store decides by one record,
//! changed by compare-and-swap only:
//!
//! * the leader of a committed pair writes the pair's record;
//! * a member that lost the other writes itself in as the survivor, and only then goes on alone;
//! * the leader dissolves the record before the group grows beyond the pair, so that a member that was
//!   cut off meanwhile can't become the survivor of a pair that is no more.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::identity::NodeId;
use crate::replication::{GroupMembership, LogIndex};

/// How far a pair is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PairState {
    /// Both count.
    Whole,
    /// Only this member goes on.
    Survived(NodeId),
    /// The group is a pair no longer.
    Dissolved,
}

/// The record in the metadata store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PairRecord {
    /// The place of the membership in the log.
    pub index: LogIndex,
    /// The two.
    pub voters: BTreeSet<NodeId>,
    /// How far the pair is.
    pub state: PairState,
}

/// A record together with the store's revision of it; 0 if there is none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredPair {
    /// The record.
    pub record: Option<PairRecord>,
    /// Its revision.
    pub revision: u64,
}

/// What a member knows of the group.
#[derive(Clone, Copy, Debug)]
pub struct PairView<'a> {
    /// The member.
    pub own: NodeId,
    /// It leads.
    pub leads: bool,
    /// The membership in its log.
    pub membership: &'a GroupMembership,
    /// The place of that membership.
    pub index: LogIndex,
    /// The member knows that the membership is committed.
    pub is_committed: bool,
    /// The other member is lost.
    pub other_is_lost: bool,
    /// The leader wants to change the voters.
    pub wants_change: bool,
}

impl StoredPair {
    /// Takes what the store answered, unless it is older than what is known.
    pub fn take(&mut self, other: StoredPair) {
        if other.revision >= self.revision {
            *self = other;
        }
    }

    /// The state of the pair that is in the member's log; `None` if the record is of another.
    pub fn state_of(&self, membership: &GroupMembership, index: LogIndex) -> Option<PairState> {
        let record = self.record.as_ref()?;
        (record.index == index && record.voters == membership.voters).then_some(record.state)
    }

    /// The record that the member should write now, if any.
    pub fn next_write(&self, view: &PairView<'_>) -> Option<PairRecord> {
        if view.membership.voters.len() != 2 || !view.membership.voters.contains(&view.own) {
            return None;
        }
        let record = |state| Some(PairRecord { index: view.index, voters: view.membership.voters.clone(), state });
        match self.state_of(view.membership, view.index) {
            _ if view.leads && view.wants_change && !self.allows_change(view.membership, view.index) => {
                record(PairState::Dissolved)
            }
            None | Some(PairState::Dissolved) if view.leads && view.is_committed && !view.wants_change => {
                record(PairState::Whole)
            }
            Some(PairState::Whole) if view.other_is_lost && !view.leads => record(PairState::Survived(view.own)),
            _ => None,
        }
    }

    /// Whether the voters may be changed. A pair must be dissolved first: its record, or a write of it
    /// that is still under way, could make the other member a survivor.
    pub fn allows_change(&self, membership: &GroupMembership, index: LogIndex) -> bool {
        membership.voters.len() != 2 || self.state_of(membership, index) == Some(PairState::Dissolved)
    }

    /// Whether the leader may count on the pair's record.
    pub fn is_whole(&self, membership: &GroupMembership, index: LogIndex) -> bool {
        membership.voters.len() != 2 || self.state_of(membership, index) == Some(PairState::Whole)
    }

    /// Whether the member is to go on alone.
    pub fn makes_survivor(&self, own: NodeId, membership: &GroupMembership, index: LogIndex) -> bool {
        self.state_of(membership, index) == Some(PairState::Survived(own))
    }
}
