//! Failover of a group with two voters.
//!
//! Two replicas commit only together, so each stores everything that was acknowledged and either could continue alone,
//! but two voters cannot form a majority that decides which. A record in the metadata store, changed by
//! compare-and-swap only, decides instead:
//!
//! * the leader of a committed pair writes the record of the pair;
//! * a member that lost contact with the other one records itself as the survivor before it continues alone;
//! * the leader dissolves the record before the group grows, so that a member that was disconnected in the meantime
//!   cannot become the survivor of a former pair.
//!
//! If the pair is formed by a change that was not committed, or not yet recorded, when one of its members is lost, there is
//! no record of it. The other member may then record itself as the survivor, unless the member that proposed the change
//! has dissolved the pair before, in order to withdraw the change. Compare-and-swap admits one of the two.
//!
//! The leader records a pair anew for each change of its learners. Until it has done so, the record of before is that of the
//! same pair still, as its voters are the same: the other member may become the survivor by it, and if it names the survivor,
//! that one and nobody else continues. The voters are changed only under a record that was dissolved for the latest change, so
//! a record that was dissolved for an earlier one does not keep a member from becoming the survivor.
//!
//! If one member is gone for good while the record is dissolved, the other one can't tell whether the group has grown. It writes the
//! record once more, unchanged, which shows that no survivor was named and keeps one from being named by an earlier write, and
//! then asks the learner (`core/replication/learner_election.rs`).
//!
//! A record belongs to the latest pair of its voters if its index is not below that of the membership. A replica that has
//! compacted its log may not know that index; the record is then the latest one of these voters all the same, since
//! the leader writes the record of a pair right after the membership is committed, and both members hold all that was
//! committed under it.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::identity::NodeId;
use crate::replication::{GroupMembership, LogIndex, ReplicatedLog};

/// The state of a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PairState {
    /// Both members are required to commit.
    Whole,
    /// Only this member continues.
    Survived(NodeId),
    /// The group is no longer a pair.
    Dissolved,
}

/// The record of a pair in the metadata store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PairRecord {
    /// The log index of the membership, or a later one if the leader that wrote the record did not know it.
    pub index: LogIndex,
    /// The two voters.
    pub voters: BTreeSet<NodeId>,
    /// The state of the pair.
    pub state: PairState,
}

/// The record together with its revision in the metadata store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredPair {
    /// The record; `None` if the store has none.
    pub record: Option<PairRecord>,
    /// The revision; 0 if there is no record.
    pub revision: u64,
}

/// A member's view of the group.
#[derive(Clone, Copy, Debug)]
pub struct PairView<'a> {
    /// The member that has this view.
    pub own: NodeId,
    /// Whether the member is the leader.
    pub leads: bool,
    /// The membership in the member's log.
    pub membership: &'a GroupMembership,
    /// The log index from which on a record is that of this membership; `None` if the log no longer holds it.
    pub index: Option<LogIndex>,
    /// The index of the record that the member writes if it is the first one: that of the membership, or a later one.
    pub record_index: LogIndex,
    /// Whether the member knows that the membership is committed.
    pub is_committed: bool,
    /// Whether the other member is considered lost.
    pub other_is_lost: bool,
    /// Whether the leader wants to change the voters.
    pub wants_change: bool,
    /// Whether the member, which does not lead, wants to withdraw the change that formed the pair.
    pub wants_withdrawal: bool,
}

impl StoredPair {
    /// Replaces the record by `other` unless that is older.
    pub fn update(&mut self, other: StoredPair) {
        if other.revision >= self.revision {
            *self = other;
        }
    }

    /// Returns the log index from which on the record is that of the pair in a member's log, if known.
    pub fn first_index(&self, log: &ReplicatedLog, leads: bool) -> Option<LogIndex> {
        let latest = log.known_membership_index();
        match self.record.as_ref().map(|record| record.state) {
            Some(PairState::Whole) if leads => latest,
            // Without the entry that formed the pair, any record of its voters is the latest one.
            Some(PairState::Whole | PairState::Survived(_)) => {
                latest.map(|_| log.known_voters_index().unwrap_or_default())
            }
            Some(PairState::Dissolved) | None => latest,
        }
    }

    /// Returns the state of the pair in the member's log, or `None` if the record describes another membership.
    /// `index` is the log index of the membership, if known.
    pub fn state_of(&self, membership: &GroupMembership, index: Option<LogIndex>) -> Option<PairState> {
        self.current(membership, index).map(|record| record.state)
    }

    /// Returns the record if it describes the pair in the member's log.
    fn current(&self, membership: &GroupMembership, index: Option<LogIndex>) -> Option<&PairRecord> {
        let is_of_former_pair = |record: &PairRecord| index.is_some_and(|index| record.index < index);
        let record = self.record.as_ref().filter(|record| record.voters == membership.voters);
        record.filter(|record| !is_of_former_pair(record))
    }

    /// Returns the record, which is dissolved, for writing it once more; `None` if it is not that of the pair, or not dissolved.
    pub fn dissolved(&self, membership: &GroupMembership, index: Option<LogIndex>) -> Option<PairRecord> {
        self.current(membership, index).filter(|record| record.state == PairState::Dissolved).cloned()
    }

    /// Returns the record that the member should write now, if any.
    pub fn next_write(&self, view: &PairView<'_>) -> Option<PairRecord> {
        if view.membership.voters.len() != 2 || !view.membership.voters.contains(&view.own) {
            return None;
        }
        // A change of the state keeps the index, so that both members go on reading the record as that of their pair.
        let index = self.current(view.membership, view.index).map_or(view.record_index, |record| record.index);
        let record = |state| Some(PairRecord { index, voters: view.membership.voters.clone(), state });
        // A member of an earlier version recognizes only a record of the latest change.
        let latest = if view.index.is_some() { index.max(view.record_index) } else { index };
        let survived = || {
            let state = PairState::Survived(view.own);
            Some(PairRecord { index: latest, voters: view.membership.voters.clone(), state })
        };
        match self.state_of(view.membership, view.index) {
            _ if view.leads && view.wants_change && !self.allows_change(view.membership, view.index) => {
                record(PairState::Dissolved)
            }
            None | Some(PairState::Dissolved) if view.leads && view.is_committed && !view.wants_change => {
                record(PairState::Whole)
            }
            // The member leads the pair, so the other one is back, or the record is of a former pair.
            Some(PairState::Survived(survivor))
                if survivor == view.own && view.leads && view.is_committed && !view.wants_change =>
            {
                record(PairState::Whole)
            }
            None if view.wants_withdrawal && self.precedes(view.index) => record(PairState::Dissolved),
            None if view.other_is_lost && !view.leads && self.precedes(view.index) => survived(),
            Some(PairState::Whole) if view.other_is_lost && !view.leads => survived(),
            _ => None,
        }
    }

    /// Returns whether the pair with this index has no record yet: the stored one, if any, is of a former pair, which was
    /// dissolved or survived. A record of a later pair means that the group has moved on.
    fn precedes(&self, index: Option<LogIndex>) -> bool {
        let Some(index) = index else { return false };
        self.record.as_ref().is_none_or(|record| record.index < index && record.state != PairState::Whole)
    }

    /// Returns whether the voters may be changed. A pair must be dissolved first, because its record, or a write of it
    /// that is still in flight, could make the other member a survivor.
    pub fn allows_change(&self, membership: &GroupMembership, index: Option<LogIndex>) -> bool {
        membership.voters.len() != 2 || self.state_of(membership, index) == Some(PairState::Dissolved)
    }

    /// Returns whether the group is not a pair, or its record says that both members are required.
    pub fn is_intact(&self, membership: &GroupMembership, index: Option<LogIndex>) -> bool {
        membership.voters.len() != 2 || self.state_of(membership, index) == Some(PairState::Whole)
    }

    /// Returns whether the record names this member as the survivor.
    pub fn is_survivor(&self, own: NodeId, membership: &GroupMembership, index: Option<LogIndex>) -> bool {
        self.state_of(membership, index) == Some(PairState::Survived(own))
    }
}
