//! Merging what others know into the view, and carrying changes along on messages.
//!
//! Owns how often a change is carried along. Relies on the order of records that `Member` gives.

use std::net::SocketAddr;

use super::member::{Member, MemberStatus};
use super::message::{MembershipMessage, MembershipPayload};
use super::swim::{Membership, MembershipEffect};
use crate::identity::NodeId;
use crate::time::Timestamp;

/// A change is carried along this many times the logarithm of the number of nodes.
const TRANSMISSION_FACTOR: u32 = 3;

/// What is kept of a member besides what is spread.
#[derive(Clone, Debug)]
pub(super) struct KnownMember {
    pub(super) member: Member,
    pub(super) changed_at: Timestamp,
    /// How many more times its record is carried along.
    pub(super) transmissions_left: u32,
}

impl Membership {
    pub(super) fn learn(&mut self, update: Member, now: Timestamp) {
        if update.id == self.own.id {
            self.refute(&update);
            return;
        }
        let known = self.members.get(&update.id);
        if known.is_some_and(|known| !update.supersedes(&known.member)) {
            return;
        }
        let status_changed = known.is_none_or(|known| known.member.status != update.status);
        let changed_at = match known {
            Some(known) if !status_changed => known.changed_at,
            _ => now,
        };
        let transmissions_left = self.transmissions();
        self.members.insert(update.id, KnownMember { member: update.clone(), changed_at, transmissions_left });
        if status_changed {
            self.effects.push(MembershipEffect::Changed { member: update });
        }
    }

    /// Only this node may raise its own incarnation; doing so overrides whatever others hold.
    fn refute(&mut self, update: &Member) {
        let holds_otherwise = update.incarnation > self.own.incarnation
            || (update.incarnation == self.own.incarnation && update.status > self.own.status);
        if holds_otherwise {
            self.own.incarnation = update.incarnation + 1;
        }
    }

    fn transmissions(&self) -> u32 {
        let count = self.members.len() as u32 + 2;
        TRANSMISSION_FACTOR * (count.ilog2() + 1)
    }

    pub(super) fn take_sequence(&mut self) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        sequence
    }

    pub(super) fn send(&mut self, to: SocketAddr, payload: MembershipPayload) {
        let sequence = self.take_sequence();
        self.send_with_sequence(to, sequence, payload);
    }

    pub(super) fn send_with_sequence(&mut self, to: SocketAddr, sequence: u64, payload: MembershipPayload) {
        let mut updates = self.take_updates();
        updates.extend(self.accusation_of(to));
        self.push_message(to, sequence, payload, updates);
    }

    pub(super) fn send_all(&mut self, to: SocketAddr, payload: MembershipPayload) {
        let sequence = self.take_sequence();
        let updates = self.others().cloned().collect();
        self.push_message(to, sequence, payload, updates);
    }

    fn push_message(&mut self, to: SocketAddr, sequence: u64, payload: MembershipPayload, updates: Vec<Member>) {
        let message = MembershipMessage {
            sender: self.own.clone(),
            sequence,
            configuration_revision: self.configuration_revision,
            payload,
            updates,
        };
        self.effects.push(MembershipEffect::Send { to, message });
    }

    /// A node that is recorded as other than alive is sent that record, so that it can refute.
    fn accusation_of(&self, address: SocketAddr) -> Option<Member> {
        let accused = |member: &&Member| member.peer_address == address && member.status != MemberStatus::Alive;
        self.others().find(accused).cloned()
    }

    /// The updates that were carried along least often so far.
    fn take_updates(&mut self) -> Vec<Member> {
        let mut waiting: Vec<(u32, NodeId)> = self
            .members
            .iter()
            .filter(|(_, known)| known.transmissions_left > 0)
            .map(|(id, known)| (known.transmissions_left, *id))
            .collect();
        waiting.sort_unstable_by(|left, right| right.cmp(left));
        waiting.truncate(self.settings.updates_per_message);
        let mut updates = Vec::new();
        for (_, id) in waiting {
            if let Some(known) = self.members.get_mut(&id) {
                known.transmissions_left -= 1;
                updates.push(known.member.clone());
            }
        }
        updates
    }
}
